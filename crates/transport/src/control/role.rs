//! Interface between the control thread and the part of it that differs between
//! a balancer and an agent.

use std::net::SocketAddrV4;
use std::sync::Arc;

use indexmap::IndexMap;
use ramp_coordination::configuration::Peer;
use ramp_protocol::message::Envelope;
use ramp_protocol::message::Load;
use ramp_protocol::message::Message;
use ramp_protocol::operator::Drain;
use ramp_protocol::operator::MemberStatus;
use ramp_protocol::operator::ServiceStatus;
use ramp_state::fleet::Fleet;
use ramp_state::fleet::ServerState;
use ramp_state::instances::InstanceList;
use ramp_state::key::InstanceId;
use ramp_state::key::Version;
use ramp_state::outcome::Record;
use ramp_state::routing_table::Group;
use ramp_state::routing_table::Member;
use ramp_state::time::Millis;

/// A control message to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// Control address of the receiver.
    pub to: SocketAddrV4,
    /// Message to send.
    pub message: Message,
}

/// What the core has to do for an event of the traffic thread.
#[derive(Clone, Debug)]
pub enum RoleOutput {
    /// Nothing: the role has handled the event.
    Handled,
    /// Confirm the configuration: the traffic thread was paused and holds
    /// traffic.
    Paused,
    /// Count this outcome in the ledger.
    Record(Record),
    /// Count this number of dropped records in the ledger.
    RecordsLost(u64),
    /// Tell this instance that its configuration is outdated.
    StaleSender(InstanceId),
    /// Fetch the configuration: another instance uses this newer version.
    NewerConfig(Version),
}

/// The part of the control thread that depends on the role of the process.
pub trait Role: 'static {
    /// Event that the role's traffic thread sends.
    type Event;

    /// Puts a configuration in force.
    fn install(&mut self, now: Millis, fleet: Arc<Fleet>);

    /// Applies a newer list of instances.
    fn install_instances(&mut self, now: Millis, list: &InstanceList);

    /// Handles a message. False when it is outdated or replayed; the caller must
    /// then discard it as well.
    fn on_message(&mut self, now: Millis, envelope: &Envelope) -> bool;

    /// Handles an event of the traffic thread.
    fn on_event(&mut self, now: Millis, event: Self::Event) -> RoleOutput;

    /// Tells the traffic thread that the configuration was confirmed and traffic
    /// may resume.
    fn confirm(&mut self);

    /// Starts the drain: the process was asked to end.
    fn drain(&mut self, now: Millis);

    /// Handles due timers.
    fn tick(&mut self, now: Millis);

    /// Live members of the process's own group; a balancer has none.
    fn peers(&self) -> Vec<Peer>;

    /// Whether the drain is complete, so that the process can end.
    fn is_done(&self, now: Millis) -> bool;

    /// Role of the process, balancer or agent.
    fn kind(&self) -> ramp_state::instances::Role;

    /// Services and their members, as this process sees them.
    fn services(&self) -> Vec<ServiceStatus>;

    /// Number of open flows that the process owns.
    fn flows(&self) -> u32;

    /// Drains in progress.
    fn drains(&self, _now: Millis) -> Vec<Drain> {
        Vec::new()
    }

    /// Takes the queued messages.
    fn take_sends(&mut self) -> Vec<Dispatch>;
}

/// Builds the status of a group. A member without an entry in `loads` has no
/// known load.
pub fn service_status(group: &Group, loads: &IndexMap<InstanceId, Load>) -> ServiceStatus {
    let members = group
        .members
        .iter()
        .map(|m| member_status(m, loads.get(&m.id).copied()))
        .collect();
    ServiceStatus {
        name: group.name.to_string(),
        address: group.address,
        members,
    }
}

fn member_status(member: &Member, load: Option<Load>) -> MemberStatus {
    MemberStatus {
        name: member.name.to_string(),
        data_centre: member.data_centre.to_string(),
        alive: member.alive,
        reachable: member.reachable,
        leaving: member.state == ServerState::Leaving,
        slots: member.policy.slots,
        connections: member.policy.connections,
        load,
    }
}

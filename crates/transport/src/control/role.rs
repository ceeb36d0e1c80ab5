//! What differs between the control threads of a balancer and an agent.

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

/// A message with the address that it goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// Control address of the receiver.
    pub to: SocketAddrV4,
    /// What is said.
    pub message: Message,
}

/// What a traffic thread's news mean to the core.
#[derive(Clone, Debug)]
pub enum RoleOutput {
    /// Dealt with by the role.
    Handled,
    /// The traffic thread was paused and holds traffic.
    Paused,
    /// Something for the ledger.
    Record(Record),
    /// Number of records that the ledger will never get.
    RecordsLost(u64),
    /// A process acts by an older configuration.
    StaleSender(InstanceId),
    /// Some process acts by a newer configuration.
    NewerConfig(Version),
}

/// The part of control state that depends on what the process does.
pub trait Role: 'static {
    /// News of its traffic thread.
    type Event;

    /// Takes a configuration into force.
    fn install(&mut self, now: Millis, fleet: Arc<Fleet>);

    /// Takes a list of instances.
    fn install_instances(&mut self, now: Millis, list: &InstanceList);

    /// Takes a message. False when it is late or repeated; then nobody else
    /// may use it either.
    fn on_message(&mut self, now: Millis, envelope: &Envelope) -> bool;

    /// Takes news of the traffic thread.
    fn on_event(&mut self, now: Millis, event: Self::Event) -> RoleOutput;

    /// Tells the traffic thread that the configuration was confirmed.
    fn confirm(&mut self);

    /// Begins to end: no new work.
    fn drain(&mut self, now: Millis);

    /// Does what has become due.
    fn tick(&mut self, now: Millis);

    /// Live members of the own group; a balancer has none.
    fn peers(&self) -> Vec<Peer>;

    /// Whether the process that was asked to end has done its work.
    fn is_done(&self, now: Millis) -> bool;

    /// What the process does.
    fn kind(&self) -> ramp_state::instances::Role;

    /// Services as the process sees them.
    fn services(&self) -> Vec<ServiceStatus>;

    /// Open flows that the process owns.
    fn flows(&self) -> u32;

    /// Drains in progress.
    fn drains(&self, _now: Millis) -> Vec<Drain> {
        Vec::new()
    }

    /// Takes the messages to be sent.
    fn take_sends(&mut self) -> Vec<Dispatch>;
}

/// Status of a group whose members have these loads.
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

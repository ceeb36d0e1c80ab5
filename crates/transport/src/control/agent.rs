//! Agent's part of the control thread: keeps the snapshot of the group, passes
//! messages between the traffic thread and other members, and tracks the drain.

use std::sync::Arc;
use std::time::Duration;

use flume::Sender;
use ramp_coordination::configuration::Peer;
use ramp_coordination::group::AgentMembership;
use ramp_coordination::group::Output;
use ramp_coordination::group_snapshot::GroupSnapshot;
use ramp_coordination::outgoing::Outgoing;
use ramp_coordination::pause::PauseId;
use ramp_protocol::message::Envelope;
use ramp_protocol::message::Load;
use ramp_protocol::message::Message;
use ramp_protocol::operator::Drain;
use ramp_protocol::operator::ServiceStatus;
use ramp_state::fleet::Fleet;
use ramp_state::instances;
use ramp_state::instances::InstanceList;
use ramp_state::key::InstanceId;
use ramp_state::policy::Policy;
use ramp_state::time::Millis;

use crate::agent::thread_messages::Event;
use crate::agent::thread_messages::Update;
use crate::control::role::Dispatch;
use crate::control::role::Role;
use crate::control::role::RoleOutput;
use crate::control::role::service_status;

/// Control state of an agent.
pub struct AgentRole {
    name: String,
    membership: AgentMembership,
    updates: Sender<Update>,
    pause_id: PauseId,
    snapshot: Option<Arc<GroupSnapshot>>,
    load: Load,
    /// When the drain limit passes; set once the process drains.
    drain_deadline: Option<Millis>,
    drained: bool,
    sends: Vec<Dispatch>,
}

impl AgentRole {
    /// Creates the role of the agent called `name`, which sends each new
    /// snapshot to the traffic thread through `updates`.
    pub fn new(name: &str, updates: Sender<Update>) -> AgentRole {
        AgentRole {
            name: name.to_string(),
            membership: AgentMembership::new(name),
            updates,
            pause_id: PauseId::default(),
            snapshot: None,
            load: Load::default(),
            drain_deadline: None,
            drained: false,
            sends: Vec::new(),
        }
    }

    /// Drain limit of the agent's backend server.
    fn drain_limit(&self) -> Duration {
        let me = InstanceId::of(&self.name);
        let snapshot = self.snapshot.as_ref();
        let member = snapshot.and_then(|s| s.group.member(me));
        member.map_or_else(|| Policy::default().drain_limit, |m| m.policy.drain_limit)
    }

    fn send_update(&self, update: Update) {
        // Fails only after the traffic thread has failed, which ends the process.
        let _ = self.updates.send(update);
    }

    /// Queues a message from the traffic thread to another member of the group.
    /// It is dropped if the member is unknown or its data centre is out.
    fn send_message(&mut self, outgoing: Outgoing) {
        let Some(snapshot) = &self.snapshot else {
            return;
        };
        let member = snapshot.group.member(outgoing.to);
        let Some(member) = member.filter(|m| m.reachable) else {
            return;
        };
        self.sends.push(Dispatch {
            to: member.control,
            message: outgoing.message,
        });
    }

    fn update_load(&mut self, now: Millis, load: Load) {
        self.load = Load {
            leaving: load.leaving || self.drain_deadline.is_some(),
            ..load
        };
        self.membership.set_load(now, self.load);
    }

    fn apply_outputs(&mut self) {
        let outputs: Vec<Output> = self.membership.take_outputs().collect();
        for output in outputs {
            match output {
                Output::Send { to, message } => self.sends.push(Dispatch { to, message }),
                Output::Snapshot(snapshot) => {
                    self.snapshot = Some(Arc::clone(&snapshot));
                    self.send_update(Update::Snapshot(snapshot));
                }
            }
        }
    }
}

impl Role for AgentRole {
    type Event = Event;

    fn install(&mut self, now: Millis, fleet: Arc<Fleet>) {
        self.membership.install(now, fleet);
        self.apply_outputs();
    }

    fn install_instances(&mut self, now: Millis, list: &InstanceList) {
        self.membership.install_instances(now, list);
    }

    fn on_message(&mut self, now: Millis, envelope: &Envelope) -> bool {
        if !self.membership.on_message(now, envelope) {
            return false;
        }
        if is_about_traffic(&envelope.message) {
            self.send_update(Update::Message {
                from: envelope.sender,
                message: envelope.message.clone(),
            });
        }
        true
    }

    fn on_event(&mut self, now: Millis, event: Event) -> RoleOutput {
        match event {
            Event::Paused(pause_id) => {
                self.pause_id = pause_id;
                return RoleOutput::Paused;
            }
            Event::Send(outgoing) => self.send_message(outgoing),
            Event::Load(load) => self.update_load(now, load),
            Event::StaleSender(sender) => return RoleOutput::StaleSender(sender),
            Event::NewerConfig(version) => return RoleOutput::NewerConfig(version),
            Event::Record(record) => return RoleOutput::Record(record),
            Event::RecordsLost(n) => return RoleOutput::RecordsLost(n),
            Event::Drained => self.drained = true,
        }
        RoleOutput::Handled
    }

    fn confirm(&mut self) {
        self.send_update(Update::Confirm(self.pause_id));
    }

    fn drain(&mut self, now: Millis) {
        self.drain_deadline = Some(now + self.drain_limit());
        self.update_load(now, self.load);
        self.send_update(Update::Drain);
    }

    fn tick(&mut self, now: Millis) {
        self.membership.tick(now);
        self.apply_outputs();
    }

    fn peers(&self) -> Vec<Peer> {
        let snapshot = self.snapshot.iter();
        let members = snapshot.flat_map(|s| &s.group.members);
        members
            .filter(|m| m.can_be_home())
            .map(|m| Peer {
                id: m.id,
                control: m.control,
            })
            .collect()
    }

    fn is_done(&self, _now: Millis) -> bool {
        self.drained
    }

    fn kind(&self) -> instances::Role {
        instances::Role::Agent
    }

    fn services(&self) -> Vec<ServiceStatus> {
        let snapshot = self.snapshot.iter();
        snapshot
            .map(|s| service_status(&s.group, &s.loads))
            .collect()
    }

    fn flows(&self) -> u32 {
        self.load.flows
    }

    fn drains(&self, now: Millis) -> Vec<Drain> {
        let drain = self.drain_deadline.map(|ends| Drain {
            server: self.name.clone(),
            flows: self.load.flows,
            in_progress: self.load.in_progress,
            time_left: ends.since(now),
        });
        drain.into_iter().collect()
    }

    fn take_sends(&mut self) -> Vec<Dispatch> {
        std::mem::take(&mut self.sends)
    }
}

/// Whether a message concerns flows or idempotency keys, which the traffic
/// thread handles.
fn is_about_traffic(message: &Message) -> bool {
    match message {
        Message::OwnerQuery { .. }
        | Message::OwnerReply { .. }
        | Message::Register { .. }
        | Message::Release { .. }
        | Message::Claim { .. }
        | Message::ClaimReply { .. }
        | Message::ClaimOutcome { .. } => true,
        Message::Heartbeat { .. }
        | Message::Digest { .. }
        | Message::VersionRequest
        | Message::Announce { .. }
        | Message::DeltaRequest { .. }
        | Message::Delta(_) => false,
    }
}

//! Control state of an agent: the picture of its group.

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

use crate::agent::news::Event;
use crate::agent::news::Update;
use crate::control::role::Dispatch;
use crate::control::role::News;
use crate::control::role::Role;
use crate::control::role::service_status;

/// Control state of an agent.
pub struct AgentRole {
    name: String,
    membership: AgentMembership,
    updates: Sender<Update>,
    wake: PauseId,
    picture: Option<Arc<GroupSnapshot>>,
    load: Load,
    /// When the drain limit cuts what is left, once the process drains.
    drain_ends: Option<Millis>,
    drained: bool,
    sends: Vec<Dispatch>,
}

impl AgentRole {
    /// Role of the agent called `name`, which hands its pictures to the
    /// traffic thread behind `updates`.
    pub fn new(name: &str, updates: Sender<Update>) -> AgentRole {
        AgentRole {
            name: name.to_string(),
            membership: AgentMembership::new(name),
            updates,
            wake: PauseId::default(),
            picture: None,
            load: Load::default(),
            drain_ends: None,
            drained: false,
            sends: Vec::new(),
        }
    }

    /// Drain limit of the own backend server.
    fn drain_limit(&self) -> Duration {
        let me = InstanceId::of(&self.name);
        let picture = self.picture.as_ref();
        let member = picture.and_then(|p| p.group.member(me));
        member.map_or_else(|| Policy::default().drain_limit, |m| m.policy.drain_limit)
    }

    fn tell(&self, update: Update) {
        // A traffic thread that is gone has ended the process already.
        let _ = self.updates.send(update);
    }

    /// Sends a message of the traffic thread to another member.
    fn send(&mut self, outgoing: Outgoing) {
        let Some(picture) = &self.picture else {
            return;
        };
        let member = picture.group.member(outgoing.to);
        let Some(member) = member.filter(|m| m.reachable) else {
            return;
        };
        self.sends.push(Dispatch {
            to: member.control,
            message: outgoing.message,
        });
    }

    fn take_load(&mut self, now: Millis, load: Load) {
        self.load = Load {
            leaving: load.leaving || self.drain_ends.is_some(),
            ..load
        };
        self.membership.set_load(now, self.load);
    }

    fn take_outputs(&mut self) {
        let outputs: Vec<Output> = self.membership.take_outputs().collect();
        for output in outputs {
            match output {
                Output::Send { to, message } => self.sends.push(Dispatch { to, message }),
                Output::Picture(picture) => {
                    self.picture = Some(Arc::clone(&picture));
                    self.tell(Update::Picture(picture));
                }
            }
        }
    }
}

impl Role for AgentRole {
    type Event = Event;

    fn install(&mut self, now: Millis, fleet: Arc<Fleet>) {
        self.membership.install(now, fleet);
        self.take_outputs();
    }

    fn instances(&mut self, now: Millis, list: &InstanceList) {
        self.membership.install_instances(now, list);
    }

    fn receive(&mut self, now: Millis, envelope: &Envelope) -> bool {
        if !self.membership.on_message(now, envelope) {
            return false;
        }
        if is_about_traffic(&envelope.message) {
            self.tell(Update::Message {
                from: envelope.sender,
                message: envelope.message.clone(),
            });
        }
        true
    }

    fn event(&mut self, now: Millis, event: Event) -> News {
        match event {
            Event::WokeLate(wake) => {
                self.wake = wake;
                return News::WokeLate;
            }
            Event::Send(outgoing) => self.send(outgoing),
            Event::Load(load) => self.take_load(now, load),
            Event::StaleSender(sender) => return News::StaleSender(sender),
            Event::NewerConfig(version) => return News::NewerConfig(version),
            Event::Record(record) => return News::Record(record),
            Event::RecordsLost(n) => return News::RecordsLost(n),
            Event::Drained => self.drained = true,
        }
        News::Done
    }

    fn confirm(&mut self) {
        self.tell(Update::Confirm(self.wake));
    }

    fn drain(&mut self, now: Millis) {
        self.drain_ends = Some(now + self.drain_limit());
        self.take_load(now, self.load);
        self.tell(Update::Drain);
    }

    fn tick(&mut self, now: Millis) {
        self.membership.tick(now);
        self.take_outputs();
    }

    fn peers(&self) -> Vec<Peer> {
        let picture = self.picture.iter();
        let members = picture.flat_map(|p| &p.group.members);
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
        let picture = self.picture.iter();
        picture
            .map(|p| service_status(&p.group, &p.loads))
            .collect()
    }

    fn flows(&self) -> u32 {
        self.load.flows
    }

    fn drains(&self, now: Millis) -> Vec<Drain> {
        let drain = self.drain_ends.map(|ends| Drain {
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

/// Whether a message concerns flows or idempotency keys.
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

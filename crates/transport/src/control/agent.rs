//! Control state of an agent: the picture of its group.

use std::collections::HashSet;
use std::sync::Arc;

use flume::Sender;
use indexmap::IndexMap;
use ramp_coordination::picture::GroupPicture;
use ramp_coordination::wake::Wake;
use ramp_protocol::message::Envelope;
use ramp_protocol::message::Load;
use ramp_protocol::message::Message;
use ramp_protocol::operator::ServiceStatus;
use ramp_state::fleet::Fleet;
use ramp_state::instances::InstanceList;
use ramp_state::key::InstanceId;
use ramp_state::time::Millis;
use ramp_state::view::View;

use crate::agent::traffic::Event;
use crate::agent::traffic::Update;
use crate::control::role::Dispatch;
use crate::control::role::News;
use crate::control::role::Role;
use crate::control::role::service_status;

/// Control state of an agent.
pub struct AgentRole {
    name: String,
    updates: Sender<Update>,
    wake: Wake,
    picture: Option<Arc<GroupPicture>>,
    load: Load,
    drained: bool,
    sends: Vec<Dispatch>,
}

impl AgentRole {
    /// Role of the agent called `name`, which hands its pictures to the
    /// traffic thread behind `updates`.
    pub fn new(name: &str, updates: Sender<Update>) -> AgentRole {
        AgentRole {
            name: name.to_string(),
            updates,
            wake: Wake::default(),
            picture: None,
            load: Load::default(),
            drained: false,
            sends: Vec::new(),
        }
    }

    fn tell(&self, update: Update) {
        // A traffic thread that is gone has ended the process already.
        let _ = self.updates.send(update);
    }

    fn send(&mut self, to: InstanceId, message: Message) {
        let Some(picture) = &self.picture else {
            return;
        };
        let Some(member) = picture.group.member(to).filter(|m| m.reachable) else {
            return;
        };
        self.sends.push(Dispatch {
            to: member.control,
            message,
        });
    }
}

impl Role for AgentRole {
    type Event = Event;

    fn install(&mut self, _now: Millis, fleet: Arc<Fleet>) {
        let Some(server) = fleet.servers.get(&self.name) else {
            return;
        };
        let view = View::compile(&fleet, &HashSet::new());
        let address = fleet.services[&server.service].address;
        let Some(group) = view.group(address) else {
            return;
        };
        let picture = Arc::new(GroupPicture {
            version: fleet.version,
            latest: fleet.version,
            group: Arc::clone(group),
            loads: IndexMap::new(),
            gone: HashSet::new(),
        });
        self.picture = Some(Arc::clone(&picture));
        self.tell(Update::Picture(picture));
    }

    fn instances(&mut self, _now: Millis, _list: &InstanceList) {}

    fn receive(&mut self, _now: Millis, envelope: &Envelope) {
        self.tell(Update::Message {
            from: envelope.sender,
            message: envelope.message.clone(),
        });
    }

    fn event(&mut self, _now: Millis, event: Event) -> News {
        match event {
            Event::WokeLate(wake) => {
                self.wake = wake;
                News::WokeLate
            }
            Event::Send(outgoing) => {
                self.send(outgoing.to, outgoing.message);
                News::Done
            }
            Event::Load(load) => {
                self.load = load;
                News::Done
            }
            Event::StaleSender(sender) => News::StaleSender(sender),
            Event::NewerConfig(version) => News::NewerConfig(version),
            Event::Record(record) => News::Record(record),
            Event::Drained => {
                self.drained = true;
                News::Done
            }
        }
    }

    fn confirm(&mut self) {
        self.tell(Update::Confirm(self.wake));
    }

    fn drain(&mut self, _now: Millis) {
        self.tell(Update::Drain);
    }

    fn tick(&mut self, _now: Millis) {}

    fn is_done(&self, _now: Millis) -> bool {
        self.drained
    }

    fn kind(&self) -> ramp_state::instances::Role {
        ramp_state::instances::Role::Agent
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

    fn take_sends(&mut self) -> Vec<Dispatch> {
        std::mem::take(&mut self.sends)
    }
}

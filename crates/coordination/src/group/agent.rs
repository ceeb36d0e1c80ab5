//! AgentMembership as an agent sees it.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use ramp_protocol::message::Envelope;
use ramp_protocol::message::Load;
use ramp_protocol::message::Message;
use ramp_state::fleet::Fleet;
use ramp_state::fleet::ServerState;
use ramp_state::instances::InstanceList;
use ramp_state::instances::Presence;
use ramp_state::instances::Role;
use ramp_state::key::InstanceId;
use ramp_state::key::Version;
use ramp_state::time::Millis;
use ramp_state::view::Group;
use ramp_state::view::Member;

use super::Output;
use super::digests::Digests;
use super::liveness::Liveness;
use super::replay_filter::ReplayFilter;
use crate::picture::GroupPicture;

/// Time between two heartbeats.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);

/// Shortest time between two heartbeats that tell of a growing load.
const GROWTH_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Change of flows that is worth a heartbeat before its time, in flows.
const GROWTH_MIN_FLOWS: u32 = 8;

/// The same as a part of the flows told last: one in so many.
const GROWTH_DIVISOR: u32 = 16;

/// AgentMembership of one agent in its group.
#[derive(Debug)]
pub struct AgentMembership {
    me: InstanceId,
    name: Arc<str>,
    fleet: Option<Arc<Fleet>>,
    /// The group as configured, all members alive.
    configured: Option<Group>,
    /// The group as last shown in a picture.
    group: Option<Arc<Group>>,
    gone: HashSet<InstanceId>,
    latest_version: Version,
    shown_latest_version: Version,
    ticked_at: Millis,
    list: InstanceList,
    liveness: Liveness,
    load: Load,
    replay_filter: ReplayFilter,
    next_heartbeat_at: Millis,
    /// When the last heartbeat was sent, and the flows that it told.
    heartbeat_sent_at: Millis,
    heartbeat_flows: u32,
    digests: Digests,
    outputs: Vec<Output>,
}

impl AgentMembership {
    /// AgentMembership of the agent called `name`, the name of its backend server.
    pub fn new(name: &str) -> AgentMembership {
        AgentMembership {
            me: InstanceId::of(name),
            name: Arc::from(name),
            fleet: None,
            configured: None,
            group: None,
            gone: HashSet::new(),
            latest_version: Version::default(),
            shown_latest_version: Version::default(),
            ticked_at: Millis(0),
            list: InstanceList::default(),
            liveness: Liveness::default(),
            load: Load::default(),
            replay_filter: ReplayFilter::default(),
            next_heartbeat_at: Millis(0),
            heartbeat_sent_at: Millis(0),
            heartbeat_flows: 0,
            digests: Digests::default(),
            outputs: Vec::new(),
        }
    }

    /// Takes a configuration into force, unless it is an older one.
    pub fn install(&mut self, now: Millis, fleet: Arc<Fleet>) {
        if self
            .fleet
            .as_ref()
            .is_some_and(|f| f.version >= fleet.version)
        {
            return;
        }
        let service = fleet.servers.get(&*self.name).map(|s| &s.service);
        self.configured = service.and_then(|service| Group::compile(&fleet, service));
        self.latest_version = self.latest_version.max(fleet.version);
        self.fleet = Some(fleet);
        self.update_peers(now);
        // Members that are new must hear at once that this one lives.
        self.next_heartbeat_at = self.next_heartbeat_at.min(now);
        self.refresh(now);
        // The group may be as it was, but the version is new.
        self.push_picture();
        self.assign_digests(now);
    }

    /// Takes the platform's list of instances, unless it is an older one.
    pub fn install_instances(&mut self, now: Millis, list: &InstanceList) {
        if list.version < self.list.version {
            return;
        }
        self.list = list.clone();
        self.update_unlisted(now);
        self.refresh(now);
        self.assign_digests(now);
    }

    /// Takes the load of this agent's own backend server.
    pub fn set_load(&mut self, now: Millis, load: Load) {
        let is_urgent = load.leaving != self.load.leaving || load.warmth != self.load.warmth;
        self.load = load;
        if is_urgent {
            self.next_heartbeat_at = self.next_heartbeat_at.min(now);
        }
        // In a burst of new flows the others would place theirs by loads that
        // are long out of date.
        let flow_change = load.flows.abs_diff(self.heartbeat_flows);
        if flow_change >= GROWTH_MIN_FLOWS.max(self.heartbeat_flows / GROWTH_DIVISOR) {
            self.next_heartbeat_at = self
                .next_heartbeat_at
                .min(self.heartbeat_sent_at + GROWTH_HEARTBEAT_INTERVAL);
        }
    }

    /// Takes a control message. False when it is late or repeated: then
    /// nobody else may use it either.
    pub fn on_message(&mut self, now: Millis, envelope: &Envelope) -> bool {
        if !self.replay_filter.accept(envelope) {
            return false;
        }
        let id = envelope.sender;
        if let Message::Heartbeat { config, .. } = &envelope.message
            && *config > self.latest_version
        {
            // Also of a sender that isn't known yet: it may be a new member.
            self.latest_version = *config;
            self.refresh(now);
        }
        if self.liveness.record_message(now, envelope) {
            let member = self.group.as_ref().and_then(|g| g.member(id));
            if member.is_some_and(|m| !m.alive) {
                self.refresh(now);
            } else {
                self.push_picture();
            }
        }
        true
    }

    /// Does what has become due.
    pub fn tick(&mut self, now: Millis) {
        self.ticked_at = now;
        self.refresh(now);
        if self.next_heartbeat_at <= now {
            self.next_heartbeat_at = now + HEARTBEAT_PERIOD;
            self.heartbeat_sent_at = now;
            self.heartbeat_flows = self.load.flows;
            self.send_heartbeats();
            self.push_picture();
        }
        self.send_digests(now);
    }

    /// Moment of the next [`AgentMembership::tick`].
    pub fn next_timer(&self) -> Option<Millis> {
        self.digests
            .next_timer()
            .into_iter()
            .chain(self.liveness.next_suspicion(self.ticked_at))
            .chain([self.next_heartbeat_at])
            .min()
    }

    /// What is to be done.
    pub fn take_outputs(&mut self) -> impl Iterator<Item = Output> {
        self.outputs.drain(..)
    }

    /// Keeps state of exactly the members that may be heard.
    fn update_peers(&mut self, now: Millis) {
        let me = self.me;
        let members = self.configured.iter().flat_map(|group| &group.members);
        let others = members.filter(|m| m.id != me && m.reachable);
        self.liveness.retain_members(now, others);
        self.update_unlisted(now);
    }

    fn update_unlisted(&mut self, now: Millis) {
        let listed: HashSet<InstanceId> = self
            .list
            .instances
            .iter()
            .filter(|(_, instance)| instance.role == Role::Agent)
            .map(|(name, _)| InstanceId::of(name))
            .collect();
        // A list that doesn't even have this agent lags too far to be believed.
        let is_plausible = listed.contains(&self.me);
        self.liveness
            .update_listed(now, |id| !is_plausible || listed.contains(&id));
    }

    /// Works out who is alive and who is gone, and shows a change.
    fn refresh(&mut self, now: Millis) {
        self.liveness.exclude_own_pause(now);
        let Some(base) = &self.configured else {
            return;
        };
        let dead = self.liveness.suspected(now);
        let mut group = base.with_dead(&dead);
        for member in &mut group.members {
            if self.is_listed_leaving(member) {
                member.state = ServerState::Leaving;
            }
        }
        let gone = self.gone(now, base);
        let old = self.group.as_deref();
        let latest_changed = self.latest_version != self.shown_latest_version;
        if old == Some(&group) && gone == self.gone && !latest_changed {
            return;
        }
        let deaths_changed = old.is_none_or(|old| dead_of(old) != dead_of(&group));
        self.group = Some(Arc::new(group));
        self.gone = gone;
        self.shown_latest_version = self.latest_version;
        if deaths_changed {
            self.assign_digests(now);
            self.digests.make_all_due(now);
        }
        self.push_picture();
    }

    fn assign_digests(&mut self, now: Millis) {
        let (Some(group), Some(fleet)) = (&self.group, &self.fleet) else {
            return;
        };
        self.digests.assign(now, self.me, group, fleet, &self.list);
    }

    fn gone(&self, now: Millis, base: &Group) -> HashSet<InstanceId> {
        let out = base.members.iter().filter(|m| !m.reachable).map(|m| m.id);
        let gone = out.chain(self.liveness.gone(now));
        gone.filter(|id| *id != self.me).collect()
    }

    fn is_listed_leaving(&self, member: &Member) -> bool {
        self.list
            .instances
            .get(&*member.name)
            .is_some_and(|i| i.role == Role::Agent && i.presence == Presence::Leaving)
    }

    /// Whether this agent may send anything: not while its data centre is out.
    fn is_reachable(&self) -> bool {
        self.configured
            .as_ref()
            .and_then(|group| group.member(self.me))
            .is_some_and(|m| m.reachable)
    }

    fn send_heartbeats(&mut self) {
        let (Some(base), Some(fleet)) = (&self.configured, &self.fleet) else {
            return;
        };
        if !self.is_reachable() {
            return;
        }
        let message = Message::Heartbeat {
            config: fleet.version,
            load: self.load,
        };
        let others = base
            .members
            .iter()
            .filter(|m| m.reachable && m.id != self.me);
        self.outputs.extend(others.map(|m| Output::Send {
            to: m.control,
            message: message.clone(),
        }));
    }

    fn send_digests(&mut self, now: Millis) {
        let (Some(group), Some(fleet)) = (&self.group, &self.fleet) else {
            return;
        };
        if !self.is_reachable() {
            return;
        }
        let message = Message::Digest {
            service: group.service,
            config: fleet.version,
            dead: dead_of(group),
        };
        let sends = self.digests.take_due(now).map(|to| Output::Send {
            to,
            message: message.clone(),
        });
        self.outputs.extend(sends);
    }

    /// Puts out a picture of the group as it stands.
    fn push_picture(&mut self) {
        let (Some(group), Some(fleet)) = (&self.group, &self.fleet) else {
            return;
        };
        let others = self.liveness.loads();
        let loads = others.chain([(self.me, self.load)]).collect();
        let picture = GroupPicture {
            version: fleet.version,
            latest: self.latest_version,
            group: group.clone(),
            loads,
            gone: self.gone.clone(),
        };
        self.outputs.push(Output::Picture(Arc::new(picture)));
    }
}

fn dead_of(group: &Group) -> Vec<InstanceId> {
    let dead = group.members.iter().filter(|m| m.reachable && !m.alive);
    dead.map(|m| m.id).collect()
}

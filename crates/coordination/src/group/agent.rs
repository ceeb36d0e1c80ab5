//! Membership of a group at one of its agents: sends heartbeats and digests, and
//! produces snapshots of the group for the traffic thread.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use ramp_protocol::message::Envelope;
use ramp_protocol::message::Load;
use ramp_protocol::message::Message;
use ramp_state::fleet::Fleet;
use ramp_state::fleet::ServerState;
use ramp_state::instances::InstanceList;
use ramp_state::instances::InstanceState;
use ramp_state::instances::Role;
use ramp_state::key::InstanceId;
use ramp_state::key::Version;
use ramp_state::routing_table::Group;
use ramp_state::routing_table::Member;
use ramp_state::time::Millis;

use super::Output;
use super::digests::Digests;
use super::liveness::Liveness;
use super::replay_filter::ReplayFilter;
use crate::group_snapshot::GroupSnapshot;

/// Time between two heartbeats.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);

/// Shortest time from a heartbeat to an early one because of a changed load.
const GROWTH_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Smallest change of the number of flows that causes an early heartbeat.
const GROWTH_MIN_FLOWS: u32 = 8;

/// A change of one in this many flows causes an early heartbeat, if that is more
/// than [`GROWTH_MIN_FLOWS`].
const GROWTH_DIVISOR: u32 = 16;

/// Membership of one agent in its group.
#[derive(Debug)]
pub struct AgentMembership {
    me: InstanceId,
    name: Arc<str>,
    fleet: Option<Arc<Fleet>>,
    /// The group as configured, with all members alive.
    configured: Option<Group>,
    /// The group in the last snapshot.
    group: Option<Arc<Group>>,
    gone: HashSet<InstanceId>,
    latest_version: Version,
    snapshot_latest_version: Version,
    ticked_at: Millis,
    list: InstanceList,
    liveness: Liveness,
    load: Load,
    replay_filter: ReplayFilter,
    next_heartbeat_at: Millis,
    /// When the last heartbeats were sent, and the number of flows in them.
    heartbeat_sent_at: Millis,
    heartbeat_flows: u32,
    digests: Digests,
    outputs: Vec<Output>,
}

impl AgentMembership {
    /// Creates the membership of the agent `name`; an agent has the name of its
    /// backend server.
    pub fn new(name: &str) -> AgentMembership {
        AgentMembership {
            me: InstanceId::of(name),
            name: Arc::from(name),
            fleet: None,
            configured: None,
            group: None,
            gone: HashSet::new(),
            latest_version: Version::default(),
            snapshot_latest_version: Version::default(),
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

    /// Applies a configuration if its version is newer than the current one.
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
        // New members must learn at once that this one is alive.
        self.next_heartbeat_at = self.next_heartbeat_at.min(now);
        self.refresh(now);
        // The version has changed even if the group has not.
        self.push_snapshot();
        self.assign_digests(now);
    }

    /// Applies the platform's list of instances, unless it is an older one.
    pub fn install_instances(&mut self, now: Millis, list: &InstanceList) {
        if list.version < self.list.version {
            return;
        }
        self.list = list.clone();
        self.update_unlisted(now);
        self.refresh(now);
        self.assign_digests(now);
    }

    /// Sets the load of this agent's backend server. A large change brings the
    /// next heartbeat forward.
    pub fn set_load(&mut self, now: Millis, load: Load) {
        let is_urgent = load.leaving != self.load.leaving || load.warmth != self.load.warmth;
        self.load = load;
        if is_urgent {
            self.next_heartbeat_at = self.next_heartbeat_at.min(now);
        }
        // In a burst of new flows, other members would otherwise place flows by
        // loads that are long out of date.
        let flow_change = load.flows.abs_diff(self.heartbeat_flows);
        if flow_change >= GROWTH_MIN_FLOWS.max(self.heartbeat_flows / GROWTH_DIVISOR) {
            self.next_heartbeat_at = self
                .next_heartbeat_at
                .min(self.heartbeat_sent_at + GROWTH_HEARTBEAT_INTERVAL);
        }
    }

    /// Handles a control message. False when it is late or repeated; then the
    /// caller must discard it too.
    pub fn on_message(&mut self, now: Millis, envelope: &Envelope) -> bool {
        if !self.replay_filter.accept(envelope) {
            return false;
        }
        let id = envelope.sender;
        if let Message::Heartbeat { config, .. } = &envelope.message
            && *config > self.latest_version
        {
            // This holds for unknown senders too: they may be new members.
            self.latest_version = *config;
            self.refresh(now);
        }
        if self.liveness.record_message(now, envelope) {
            let member = self.group.as_ref().and_then(|g| g.member(id));
            if member.is_some_and(|m| !m.alive) {
                self.refresh(now);
            } else {
                self.push_snapshot();
            }
        }
        true
    }

    /// Re-evaluates the group, and sends heartbeats and digests that are due.
    pub fn tick(&mut self, now: Millis) {
        self.ticked_at = now;
        self.refresh(now);
        if self.next_heartbeat_at <= now {
            self.next_heartbeat_at = now + HEARTBEAT_PERIOD;
            self.heartbeat_sent_at = now;
            self.heartbeat_flows = self.load.flows;
            self.send_heartbeats();
            self.push_snapshot();
        }
        self.send_digests(now);
    }

    /// When to call [`AgentMembership::tick`] next.
    pub fn next_timer(&self) -> Option<Millis> {
        self.digests
            .next_timer()
            .into_iter()
            .chain(self.liveness.next_suspicion(self.ticked_at))
            .chain([self.next_heartbeat_at])
            .min()
    }

    /// Removes and returns the outputs for the driver.
    pub fn take_outputs(&mut self) -> impl Iterator<Item = Output> {
        self.outputs.drain(..)
    }

    /// Tracks the liveness of the other members whose data centre is in service.
    fn update_peers(&mut self, now: Millis) {
        let me = self.me;
        let members = self.configured.iter().flat_map(|group| &group.members);
        let others = members.filter(|m| m.id != me && m.reachable);
        self.liveness.retain_members(now, others);
        self.update_unlisted(now);
    }

    /// Passes the members in the list of instances to the failure detector.
    fn update_unlisted(&mut self, now: Millis) {
        let listed: HashSet<InstanceId> = self
            .list
            .instances
            .iter()
            .filter(|(_, instance)| instance.role == Role::Agent)
            .map(|(name, _)| InstanceId::of(name))
            .collect();
        // A list without this agent itself is too stale to be used.
        let is_plausible = listed.contains(&self.me);
        self.liveness
            .update_listed(now, |id| !is_plausible || listed.contains(&id));
    }

    /// Recomputes which members are alive and which are gone, and produces a
    /// snapshot if anything has changed.
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
        let latest_changed = self.latest_version != self.snapshot_latest_version;
        if old == Some(&group) && gone == self.gone && !latest_changed {
            return;
        }
        let deaths_changed = old.is_none_or(|old| dead_of(old) != dead_of(&group));
        self.group = Some(Arc::new(group));
        self.gone = gone;
        self.snapshot_latest_version = self.latest_version;
        if deaths_changed {
            self.assign_digests(now);
            self.digests.make_all_due(now);
        }
        self.push_snapshot();
    }

    /// Recomputes which balancers get digests from this agent.
    fn assign_digests(&mut self, now: Millis) {
        let (Some(group), Some(fleet)) = (&self.group, &self.fleet) else {
            return;
        };
        self.digests.assign(now, self.me, group, fleet, &self.list);
    }

    /// Other members that can't own any flow: taken out, or silent and unlisted.
    fn gone(&self, now: Millis, base: &Group) -> HashSet<InstanceId> {
        let out = base.members.iter().filter(|m| !m.reachable).map(|m| m.id);
        let gone = out.chain(self.liveness.gone(now));
        gone.filter(|id| *id != self.me).collect()
    }

    fn is_listed_leaving(&self, member: &Member) -> bool {
        self.list
            .instances
            .get(&*member.name)
            .is_some_and(|i| i.role == Role::Agent && i.state == InstanceState::Leaving)
    }

    /// Whether this agent may send messages: its data centre is not taken out.
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

    /// Adds a snapshot of the current group to the outputs.
    fn push_snapshot(&mut self) {
        let (Some(group), Some(fleet)) = (&self.group, &self.fleet) else {
            return;
        };
        let others = self.liveness.loads();
        let loads = others.chain([(self.me, self.load)]).collect();
        let snapshot = GroupSnapshot {
            version: fleet.version,
            latest: self.latest_version,
            group: group.clone(),
            loads,
            gone: self.gone.clone(),
        };
        self.outputs.push(Output::Snapshot(Arc::new(snapshot)));
    }
}

fn dead_of(group: &Group) -> Vec<InstanceId> {
    let dead = group.members.iter().filter(|m| m.reachable && !m.alive);
    dead.map(|m| m.id).collect()
}

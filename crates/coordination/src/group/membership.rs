//! Membership as an agent sees it.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
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
use super::pause::PauseGuard;
use super::sequence::Mark;
use super::sequence::Sequences;
use crate::picture::GroupPicture;

/// Time between two heartbeats.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);

/// Silence after which a member is suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(3200);

/// Time for which a silent member must be missing from the platform's list
/// before it is gone.
const UNLISTED_LIMIT: Duration = Duration::from_secs(2);

/// What is known of another member.
#[derive(Clone, Copy, Debug)]
struct Peer {
    heard_at: Millis,
    /// Mark of the newest heartbeat.
    heartbeat: Mark,
    load: Option<Load>,
    unlisted_at: Option<Millis>,
}

/// Membership of one agent in its group.
#[derive(Debug)]
pub struct Membership {
    me: InstanceId,
    name: Arc<str>,
    fleet: Option<Arc<Fleet>>,
    /// The group as configured, all members alive.
    base: Option<Group>,
    /// The group as last shown in a picture.
    group: Option<Arc<Group>>,
    gone: HashSet<InstanceId>,
    latest: Version,
    shown_latest: Version,
    ticked_at: Millis,
    list: InstanceList,
    peers: IndexMap<InstanceId, Peer>,
    load: Load,
    sequences: Sequences,
    pause: PauseGuard,
    heartbeat_at: Millis,
    digests: Digests,
    outputs: Vec<Output>,
}

impl Membership {
    /// Membership of the agent called `name`, the name of its backend server.
    pub fn new(name: &str) -> Membership {
        Membership {
            me: InstanceId::of(name),
            name: Arc::from(name),
            fleet: None,
            base: None,
            group: None,
            gone: HashSet::new(),
            latest: Version::default(),
            shown_latest: Version::default(),
            ticked_at: Millis(0),
            list: InstanceList::default(),
            peers: IndexMap::new(),
            load: Load::default(),
            sequences: Sequences::default(),
            pause: PauseGuard::default(),
            heartbeat_at: Millis(0),
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
        self.base = service.and_then(|service| Group::compile(&fleet, service));
        self.latest = self.latest.max(fleet.version);
        self.fleet = Some(fleet);
        self.update_peers(now);
        // Members that are new must hear at once that this one lives.
        self.heartbeat_at = self.heartbeat_at.min(now);
        self.refresh(now);
        self.assign_digests(now);
    }

    /// Takes the platform's list of instances, unless it is an older one.
    pub fn instances(&mut self, now: Millis, list: &InstanceList) {
        if list.version < self.list.version {
            return;
        }
        self.list = list.clone();
        self.update_unlisted(now);
        self.refresh(now);
        self.assign_digests(now);
    }

    /// Takes the load of this agent's own backend server.
    pub fn load(&mut self, now: Millis, load: Load) {
        let urgent = load.leaving != self.load.leaving || load.warmth != self.load.warmth;
        self.load = load;
        if urgent {
            self.heartbeat_at = self.heartbeat_at.min(now);
        }
    }

    /// Takes a control message. False when it is late or repeated: then
    /// nobody else may use it either.
    pub fn receive(&mut self, now: Millis, envelope: &Envelope) -> bool {
        if !self.sequences.accept(envelope) {
            return false;
        }
        let id = envelope.sender;
        if let Message::Heartbeat { config, .. } = &envelope.message
            && *config > self.latest
        {
            // Also of a sender that isn't known yet: it may be a new member.
            self.latest = *config;
            self.refresh(now);
        }
        let Some(peer) = self.peers.get_mut(&id) else {
            return true;
        };
        peer.heard_at = peer.heard_at.max(now);
        let Message::Heartbeat { load, .. } = &envelope.message else {
            return true;
        };
        if Mark::of(envelope) < peer.heartbeat {
            return true;
        }
        peer.heartbeat = Mark::of(envelope);
        peer.load = Some(*load);
        let member = self.group.as_ref().and_then(|g| g.member(id));
        if member.is_some_and(|m| !m.alive) {
            self.refresh(now);
        } else {
            self.show();
        }
        true
    }

    /// Does what has become due.
    pub fn tick(&mut self, now: Millis) {
        self.ticked_at = now;
        self.refresh(now);
        if self.heartbeat_at <= now {
            self.heartbeat_at = now + HEARTBEAT_PERIOD;
            self.send_heartbeats();
            self.show();
        }
        self.send_digests(now);
    }

    /// Moment of the next [`Membership::tick`].
    pub fn next_timer(&self) -> Option<Millis> {
        let suspicion = self.peers.values().map(|p| p.heard_at + SUSPECT_AFTER);
        // Those already suspected wait for a message, not for a time.
        let suspicion = suspicion.filter(|at| *at > self.ticked_at);
        self.digests
            .next_timer()
            .into_iter()
            .chain(suspicion)
            .chain([self.heartbeat_at])
            .min()
    }

    /// What is to be done.
    pub fn take_outputs(&mut self) -> impl Iterator<Item = Output> {
        self.outputs.drain(..)
    }

    /// Keeps state of exactly the members that may be heard.
    fn update_peers(&mut self, now: Millis) {
        let members = self.base.iter().flat_map(|group| &group.members);
        let mut old = std::mem::take(&mut self.peers);
        for member in members.filter(|m| m.id != self.me && m.reachable) {
            let peer = old.swap_remove(&member.id).unwrap_or(Peer {
                heard_at: now,
                heartbeat: Mark::default(),
                load: None,
                unlisted_at: None,
            });
            self.peers.insert(member.id, peer);
        }
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
        let believed = listed.contains(&self.me);
        for (id, peer) in &mut self.peers {
            if !believed || listed.contains(id) {
                peer.unlisted_at = None;
            } else {
                peer.unlisted_at.get_or_insert(now);
            }
        }
    }

    /// Works out who is alive and who is gone, and shows a change.
    fn refresh(&mut self, now: Millis) {
        self.forgive_own_pause(now);
        let Some(base) = &self.base else {
            return;
        };
        let dead = self.dead(now);
        let mut group = base.with_dead(&dead);
        for member in &mut group.members {
            if self.is_listed_leaving(member) {
                member.state = ServerState::Leaving;
            }
        }
        let gone = self.gone(now, base, &dead);
        let old = self.group.as_deref();
        let latest_changed = self.latest != self.shown_latest;
        if old == Some(&group) && gone == self.gone && !latest_changed {
            return;
        }
        let deaths_changed = old.is_none_or(|old| dead_of(old) != dead_of(&group));
        self.group = Some(Arc::new(group));
        self.gone = gone;
        self.shown_latest = self.latest;
        if deaths_changed {
            self.assign_digests(now);
            self.digests.hurry(now);
        }
        self.show();
    }

    /// A pause of this process is not the silence of the others.
    fn forgive_own_pause(&mut self, now: Millis) {
        let Some(overslept) = self.pause.overslept(now) else {
            return;
        };
        for peer in self.peers.values_mut() {
            peer.heard_at = (peer.heard_at + overslept).min(now);
        }
    }

    fn assign_digests(&mut self, now: Millis) {
        let (Some(group), Some(fleet)) = (&self.group, &self.fleet) else {
            return;
        };
        self.digests.assign(now, self.me, group, fleet, &self.list);
    }

    fn dead(&self, now: Millis) -> HashSet<InstanceId> {
        self.peers
            .iter()
            .filter(|(_, peer)| now.since(peer.heard_at) >= SUSPECT_AFTER)
            .map(|(id, _)| *id)
            .collect()
    }

    fn gone(&self, now: Millis, base: &Group, dead: &HashSet<InstanceId>) -> HashSet<InstanceId> {
        let unlisted = |id: &InstanceId| {
            let at = self.peers.get(id).and_then(|peer| peer.unlisted_at);
            at.is_some_and(|at| now.since(at) >= UNLISTED_LIMIT)
        };
        let out = base.members.iter().filter(|m| !m.reachable).map(|m| m.id);
        let lost = dead.iter().copied().filter(unlisted);
        out.chain(lost).filter(|id| *id != self.me).collect()
    }

    fn is_listed_leaving(&self, member: &Member) -> bool {
        self.list
            .instances
            .get(&*member.name)
            .is_some_and(|i| i.role == Role::Agent && i.presence == Presence::Leaving)
    }

    /// Whether this agent may send anything: not while its data centre is out.
    fn is_reachable(&self) -> bool {
        self.base
            .as_ref()
            .and_then(|group| group.member(self.me))
            .is_some_and(|m| m.reachable)
    }

    fn send_heartbeats(&mut self) {
        let (Some(base), Some(fleet)) = (&self.base, &self.fleet) else {
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
        let sends = self.digests.due(now).map(|to| Output::Send {
            to,
            message: message.clone(),
        });
        self.outputs.extend(sends);
    }

    /// Puts out a picture of the group as it stands.
    fn show(&mut self) {
        let (Some(group), Some(fleet)) = (&self.group, &self.fleet) else {
            return;
        };
        let reported = self.peers.iter().filter_map(|(id, p)| Some((*id, p.load?)));
        let loads = reported.chain([(self.me, self.load)]).collect();
        let picture = GroupPicture {
            version: fleet.version,
            latest: self.latest,
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

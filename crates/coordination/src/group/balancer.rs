//! Membership of all groups at a balancer: decides from the digests of agents, or
//! else from the platform's list, which members get packets.

use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use ramp_protocol::message::Envelope;
use ramp_protocol::message::Message;
use ramp_state::fleet::Fleet;
use ramp_state::instances::InstanceList;
use ramp_state::instances::Role;
use ramp_state::key::InstanceId;
use ramp_state::key::ServiceId;
use ramp_state::routing_table::Group;
use ramp_state::routing_table::RoutingTable;
use ramp_state::time::Millis;

use super::digests::DIGEST_PERIOD;
use super::replay_filter::MessageOrder;
use super::replay_filter::ReplayFilter;
use super::tick_gap::TickGapDetector;

/// Time without a digest after which a member that disputes its death is
/// considered dead. Until then it is considered alive, since only the network
/// between it and the member that reported it dead may have failed.
const DISPUTED_DEATH_TIMEOUT: Duration = Duration::from_millis(4600);

/// Time for a member that has sent digests to dispute its reported death.
const DISPUTE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time without a digest of a group after which the platform's list is used.
const DIGEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time between two ticks.
const TICK_PERIOD: Duration = Duration::from_secs(1);

/// What digests have reported about one group.
#[derive(Clone, Debug)]
struct GroupState {
    address: SocketAddrV4,
    /// Members that the newest digest reports dead, and since when they have
    /// been reported without a break.
    reported_dead: IndexMap<InstanceId, Millis>,
    /// When the newest digest arrived.
    last_digest_at: Option<Millis>,
    senders: IndexMap<InstanceId, DigestSender>,
}

/// Newest digest of one sender, and when it arrived.
#[derive(Clone, Copy, Debug)]
struct DigestSender {
    last_digest_at: Millis,
    order: MessageOrder,
    /// Whether it sent this digest although it was reported dead, or reported
    /// another sender dead.
    disputes_death: bool,
}

/// Membership of all groups at one balancer.
#[derive(Debug)]
pub struct BalancerMembership {
    fleet: Option<Arc<Fleet>>,
    /// All groups as configured, with all members alive.
    configured: RoutingTable,
    view: Arc<RoutingTable>,
    changed: bool,
    groups: IndexMap<ServiceId, GroupState>,
    list: InstanceList,
    listed_agents: HashSet<InstanceId>,
    replay_filter: ReplayFilter,
    tick_gap: TickGapDetector,
    tick_at: Millis,
}

impl Default for BalancerMembership {
    fn default() -> BalancerMembership {
        BalancerMembership::new()
    }
}

impl BalancerMembership {
    /// Creates a membership without any group.
    pub fn new() -> BalancerMembership {
        BalancerMembership {
            fleet: None,
            configured: RoutingTable::default(),
            view: Arc::new(RoutingTable::default()),
            changed: false,
            groups: IndexMap::new(),
            list: InstanceList::default(),
            listed_agents: HashSet::new(),
            replay_filter: ReplayFilter::default(),
            tick_gap: TickGapDetector::default(),
            tick_at: Millis(0),
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
        self.configured = RoutingTable::compile(&fleet, &HashSet::new());
        self.fleet = Some(fleet);
        let mut old = std::mem::take(&mut self.groups);
        for group in self.configured.groups() {
            let state = old.swap_remove(&group.service).unwrap_or(GroupState {
                address: group.address,
                reported_dead: IndexMap::new(),
                last_digest_at: None,
                senders: IndexMap::new(),
            });
            let address = group.address;
            self.groups
                .insert(group.service, GroupState { address, ..state });
        }
        self.view = Arc::new(self.configured.clone());
        self.changed = true;
        self.refresh(now);
    }

    /// Applies the platform's list of instances, unless it is an older one.
    pub fn install_instances(&mut self, now: Millis, list: &InstanceList) {
        if list.version < self.list.version {
            return;
        }
        self.list = list.clone();
        self.listed_agents = list
            .instances
            .iter()
            .filter(|(_, instance)| instance.role == Role::Agent)
            .map(|(name, _)| InstanceId::of(name))
            .collect();
        self.refresh(now);
    }

    /// Handles a control message. False when it must be ignored: it is late or
    /// repeated, or a digest from a process outside of the group.
    pub fn on_message(&mut self, now: Millis, envelope: &Envelope) -> bool {
        self.exclude_own_pause(now);
        let Message::Digest { service, dead, .. } = &envelope.message else {
            return self.replay_filter.accept(envelope);
        };
        let Some(state) = self.groups.get_mut(service) else {
            return false;
        };
        let group = self.configured.group(state.address);
        let sender = group.and_then(|g| g.member(envelope.sender));
        if !sender.is_some_and(|m| m.reachable) || !self.replay_filter.accept(envelope) {
            return false;
        }
        let order = MessageOrder::of(envelope);
        let newest = state.senders.get(&envelope.sender);
        if newest.is_some_and(|newest| newest.order > order) {
            return false;
        }
        state.last_digest_at = Some(now);
        state.record_digest(now, envelope.sender, order, dead);
        let (service, address) = (*service, state.address);
        if let Some(at) = state.next_death(now) {
            self.tick_at = self.tick_at.min(at);
        }
        self.refresh_group(now, service, address);
        true
    }

    /// Re-evaluates all groups if a timer is due.
    pub fn tick(&mut self, now: Millis) {
        if self.tick_at > now {
            return;
        }
        self.refresh(now);
        let deaths = self.groups.values().filter_map(|g| g.next_death(now));
        let tick_at = now + TICK_PERIOD;
        self.tick_at = deaths.fold(tick_at, Millis::min);
    }

    /// When to call [`BalancerMembership::tick`] next.
    pub fn next_timer(&self) -> Option<Millis> {
        Some(self.tick_at)
    }

    /// The view for the traffic threads, if it has changed since the last call.
    pub fn take_view(&mut self) -> Option<Arc<RoutingTable>> {
        std::mem::take(&mut self.changed).then(|| self.view.clone())
    }

    /// Re-evaluates all groups.
    fn refresh(&mut self, now: Millis) {
        self.exclude_own_pause(now);
        let groups: Vec<(ServiceId, SocketAddrV4)> =
            self.groups.iter().map(|(id, s)| (*id, s.address)).collect();
        for (service, address) in groups {
            self.refresh_group(now, service, address);
        }
    }

    /// Adds a pause of this process to the times of the last digests, so that
    /// the pause doesn't count as missing digests.
    fn exclude_own_pause(&mut self, now: Millis) {
        let Some(gap) = self.tick_gap.long_gap(now) else {
            return;
        };
        for state in self.groups.values_mut() {
            let senders = state.senders.values_mut().map(|s| &mut s.last_digest_at);
            let digest_times = state.last_digest_at.iter_mut().chain(senders);
            for at in digest_times {
                *at = (*at + gap).min(now);
            }
        }
    }

    /// Re-evaluates which members of a group are dead, and updates the view if
    /// that has changed.
    fn refresh_group(&mut self, now: Millis, service: ServiceId, address: SocketAddrV4) {
        let Some(base) = self.configured.group(address) else {
            return;
        };
        let state = &self.groups[&service];
        let group = base.with_dead(&self.dead(now, base, state));
        if self.view.group(address).is_some_and(|old| **old == group) {
            return;
        }
        self.view = Arc::new(self.view.with_group(Arc::new(group)));
        self.changed = true;
    }

    /// Members of a group that are considered dead and get no packets.
    fn dead(&self, now: Millis, group: &Group, state: &GroupState) -> HashSet<InstanceId> {
        let is_fresh = state
            .last_digest_at
            .is_some_and(|at| now.since(at) < DIGEST_TIMEOUT);
        let ids = || group.members.iter().filter(|m| m.reachable).map(|m| m.id);
        let dead: HashSet<InstanceId> = if is_fresh {
            ids().filter(|id| state.is_dead(now, *id)).collect()
        } else {
            ids()
                .filter(|id| !self.listed_agents.contains(id))
                .collect()
        };
        // If all would be dead, the digests or the list are assumed to be wrong.
        if ids().all(|id| dead.contains(&id)) {
            return HashSet::new();
        }
        dead
    }
}

impl GroupState {
    /// Records the newest digest of `sender`, which reports the members `dead`.
    fn record_digest(
        &mut self,
        now: Millis,
        sender: InstanceId,
        order: MessageOrder,
        dead: &[InstanceId],
    ) {
        let reports_sender = dead.iter().any(|id| self.senders.contains_key(id));
        let disputes_death = self.reported_dead.contains_key(&sender) || reports_sender;
        let last_digest_at = now;
        self.senders.insert(
            sender,
            DigestSender {
                last_digest_at,
                order,
                disputes_death,
            },
        );
        let since = |id: &InstanceId| self.reported_dead.get(id).copied().unwrap_or(now);
        self.reported_dead = dead.iter().map(|id| (*id, since(id))).collect();
    }

    /// From when on a member is considered dead; none if it isn't reported dead.
    fn dead_from(&self, id: InstanceId) -> Option<Millis> {
        let reported_at = *self.reported_dead.get(&id)?;
        let Some(sender) = self.senders.get(&id) else {
            return Some(reported_at);
        };
        let silent_at = sender.last_digest_at + DISPUTED_DEATH_TIMEOUT;
        if sender.disputes_death {
            return Some(silent_at);
        }
        Some(silent_at.min(reported_at + DISPUTE_TIMEOUT))
    }

    fn is_dead(&self, now: Millis, id: InstanceId) -> bool {
        self.dead_from(id).is_some_and(|at| now >= at)
    }

    /// When the next member that is reported dead will be considered dead.
    fn next_death(&self, now: Millis) -> Option<Millis> {
        let deaths = self
            .reported_dead
            .keys()
            .filter_map(|id| self.dead_from(*id));
        deaths.filter(|at| *at > now).min()
    }
}

const _: () = assert!(DISPUTED_DEATH_TIMEOUT.as_millis() > DIGEST_PERIOD.as_millis());

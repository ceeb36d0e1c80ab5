//! Routing of SYN packets of new flows: the home assigns each to an owner, and
//! the owner opens it or reassigns it when it may not take it.

use ramp_protocol::header::HOP_LIMIT;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::key::InstanceId;
use ramp_state::routing_table::Member;
use ramp_state::time::Millis;

use super::Action;
use super::Arrival;
use super::DropReason;
use super::FlowRouter;
use super::ResetReason;
use crate::group_snapshot::GroupSnapshot;

impl FlowRouter {
    /// Routes a SYN of a flow that is not in the table.
    pub(super) fn route_new(
        &mut self,
        now: Millis,
        snapshot: &GroupSnapshot,
        arrival: Arrival,
        segment: &Segment,
    ) -> Action {
        let key = segment.key;
        let may_forward = arrival.hops.saturating_add(1) < HOP_LIMIT;
        let pointer = self.directory.get(&key).map(|p| p.owner);
        if let Some(to) = pointer.filter(|to| Some(*to) != arrival.sender && may_forward)
            && snapshot.group.member(to).is_some_and(Member::can_be_home)
        {
            return Action::Forward { to, to_owner: true };
        }
        if arrival.to_owner || !may_forward {
            return self.accept_flow(now, snapshot, arrival, key, may_forward);
        }
        match snapshot.group.home(key.hash64()) {
            None => Action::Drop(DropReason::NoHome),
            Some(home) if home.id == self.me => self.place_flow(now, snapshot, key),
            Some(home) => Action::Forward {
                to: home.id,
                to_owner: false,
            },
        }
    }

    /// Chooses the owner of a new flow whose home is this agent.
    pub(super) fn place_flow(
        &mut self,
        now: Millis,
        snapshot: &GroupSnapshot,
        key: FlowKey,
    ) -> Action {
        let own_flows = self.table.len();
        match self.placement.choose(now, snapshot, own_flows) {
            Some(to) if to != self.me => {
                self.counts.placed_elsewhere += 1;
                self.assign_flow(key, to)
            }
            _ => self.open_flow(now, snapshot, key, None),
        }
    }

    /// Opens a new flow that another member assigned to this agent, or
    /// reassigns it if this agent may not open it.
    pub(super) fn accept_flow(
        &mut self,
        now: Millis,
        snapshot: &GroupSnapshot,
        arrival: Arrival,
        key: FlowKey,
        may_forward: bool,
    ) -> Action {
        let own_flows = self.table.len();
        if !self.placement.may_open(now, snapshot, own_flows) && may_forward {
            let other = self
                .placement
                .choose_other(now, snapshot, own_flows, arrival.sender);
            if let Some(to) = other {
                self.counts.reassigned += 1;
                return self.assign_flow(key, to);
            }
        }
        let pointer_holder = arrival.sender.filter(|_| arrival.to_owner);
        self.open_flow(now, snapshot, key, pointer_holder)
    }

    /// Forwards a new flow to its owner `to` and stores an unconfirmed pointer.
    pub(super) fn assign_flow(&mut self, key: FlowKey, to: InstanceId) -> Action {
        self.placement.record_assignment(to);
        self.directory.insert(key, to, false);
        self.owner_queries.remove(&key);
        Action::Forward { to, to_owner: true }
    }

    /// Adds a half-open flow, unless the connection limit of the backend server
    /// is reached by established flows.
    pub(super) fn open_flow(
        &mut self,
        now: Millis,
        snapshot: &GroupSnapshot,
        key: FlowKey,
        pointer_holder: Option<InstanceId>,
    ) -> Action {
        let max_flows = snapshot
            .group
            .member(self.me)
            .map_or(0, |m| m.policy.connections as usize);
        if self.table.len() - self.table.half_open() >= max_flows {
            return self.reset_caller(ResetReason::Full);
        }
        // Under a SYN flood, the oldest half-open flow is evicted so that real
        // callers can still connect.
        if self.table.len() >= max_flows
            && let Some(oldest) = self.table.evict_oldest_half_open()
        {
            self.abandon_half_open(oldest.key);
        }
        self.directory.remove(&key);
        self.owner_queries.remove(&key);
        self.table.insert_half_open(now, key, pointer_holder);
        Action::Open
    }

    /// Counts a removed half-open flow and hands its TCP endpoint to the driver
    /// to drop.
    pub(super) fn abandon_half_open(&mut self, key: FlowKey) {
        self.counts.half_open_abandoned += 1;
        self.placement.record_flow_end();
        self.abandoned.push(key);
    }

    /// Counts a reset and returns it as the action.
    pub(super) fn reset_caller(&mut self, reason: ResetReason) -> Action {
        self.counts.resets.add(reason);
        Action::Reset(reason)
    }
}

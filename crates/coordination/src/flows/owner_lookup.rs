//! Routing of packets of existing flows that this agent does not own: follows
//! the pointer to the owner, queries the group for the owner, and resets the
//! caller when no member owns the flow.

use ramp_protocol::header::HOP_LIMIT;
use ramp_protocol::message::Message;
use ramp_protocol::message::Ownership;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::key::InstanceId;
use ramp_state::routing_table::Member;
use ramp_state::time::Millis;

use super::Action;
use super::Arrival;
use super::DropReason;
use super::FlowRouter;
use super::Outgoing;
use super::Reset;
use super::ResetReason;
use super::owner_queries::Progress;
use super::peer_messages::can_message;
use crate::group_snapshot::GroupSnapshot;

impl FlowRouter {
    /// Routes a packet other than a SYN of a flow that is not established here.
    pub(super) fn route_existing(
        &mut self,
        now: Millis,
        snapshot: &GroupSnapshot,
        arrival: Arrival,
        segment: &Segment,
    ) -> Action {
        if let Some(action) = self.follow_pointer(snapshot, arrival, &segment.key) {
            return action;
        }
        if arrival.to_owner {
            return self.deny_ownership(now, snapshot, arrival, segment.key);
        }
        match snapshot.group.home(segment.key.hash64()) {
            None => Action::Drop(DropReason::NoHome),
            Some(home) if home.id == self.me => self.query_owner(now, snapshot, segment),
            Some(_) if arrival.hops >= HOP_LIMIT => Action::Drop(DropReason::HopLimit),
            Some(home) => Action::Forward {
                to: home.id,
                to_owner: false,
            },
        }
    }

    /// Acts on the pointer of a flow; none when there is no usable pointer.
    pub(super) fn follow_pointer(
        &mut self,
        snapshot: &GroupSnapshot,
        arrival: Arrival,
        key: &FlowKey,
    ) -> Option<Action> {
        let pointer = self.directory.get(key)?;
        let owner = pointer.owner;
        // The sender would have kept the packet if it owned the flow.
        if Some(owner) == arrival.sender {
            self.directory.remove(key);
            return None;
        }
        if let Some(reason) = owner_loss(snapshot, owner) {
            // The owner may be a member in the newer configuration.
            if snapshot.latest > snapshot.version {
                return Some(Action::Drop(DropReason::Asked));
            }
            if !pointer.confirmed {
                self.directory.remove(key);
                return None;
            }
            if !pointer.reset_sent {
                pointer.reset_sent = true;
                self.counts.resets.add(reason);
            }
            return Some(Action::Reset(reason));
        }
        if arrival.hops >= HOP_LIMIT {
            return Some(Action::Drop(DropReason::HopLimit));
        }
        Some(Action::Forward {
            to: owner,
            to_owner: true,
        })
    }

    /// Replies to the member that forwarded the packet that this agent does not
    /// own the flow, so that it removes its stale pointer.
    pub(super) fn deny_ownership(
        &mut self,
        now: Millis,
        snapshot: &GroupSnapshot,
        arrival: Arrival,
        key: FlowKey,
    ) -> Action {
        if let Some(sender) = arrival.sender
            && can_message(snapshot, sender)
        {
            self.send_answer(now, sender, key, Ownership::NotOwner);
        }
        Action::Drop(DropReason::NotOwner)
    }

    /// Sends an owner query for the flow of `segment`, or applies the outcome
    /// of an earlier one.
    pub(super) fn query_owner(
        &mut self,
        now: Millis,
        snapshot: &GroupSnapshot,
        segment: &Segment,
    ) -> Action {
        let key = segment.key;
        if let Some(query) = self.owner_queries.get(&key) {
            match query.progress {
                Progress::Pending if !query.may_retry(now) => {
                    return Action::Drop(DropReason::Asked);
                }
                Progress::Pending => return self.retry_owner_query(now, snapshot, key),
                // The outcome only holds for the acknowledgement number of the
                // query: a flow opened since then acknowledges another one.
                Progress::Unowned(reason) if query.segment.ack == segment.ack => {
                    return Action::Reset(reason);
                }
                Progress::Unowned(_) => {
                    self.owner_queries.remove(&key);
                }
            }
        }
        let peers = possible_owners(snapshot, self.me).count();
        if !self.owner_queries.take_budget(now, &key, peers)
            || !self.owner_queries.insert(now, *segment)
        {
            self.counts.owner_queries_limited += 1;
            return Action::Drop(DropReason::QuestionLimited);
        }
        self.push_owner_query(snapshot, key);
        match self.conclude_owner_query(&key) {
            Some(reset) => Action::Reset(reset.reason),
            None => Action::Drop(DropReason::Asked),
        }
    }

    /// Sends the owner query again to the members that have not answered.
    pub(super) fn retry_owner_query(
        &mut self,
        now: Millis,
        snapshot: &GroupSnapshot,
        key: FlowKey,
    ) -> Action {
        let me = self.me;
        let Some(query) = self.owner_queries.get(&key) else {
            return Action::Drop(DropReason::Asked);
        };
        let unanswered = possible_owners(snapshot, me)
            .filter(|m| !query.denied.contains(&m.id))
            .count();
        if !self.owner_queries.take_budget(now, &key, unanswered) {
            self.counts.owner_queries_limited += 1;
            return Action::Drop(DropReason::QuestionLimited);
        }
        if let Some(query) = self.owner_queries.get(&key) {
            query.sent_at = now;
        }
        self.push_owner_query(snapshot, key);
        Action::Drop(DropReason::Asked)
    }

    /// Puts the owner query into the outbox for each member that has not denied
    /// ownership.
    pub(super) fn push_owner_query(&mut self, snapshot: &GroupSnapshot, key: FlowKey) {
        let Some(query) = self.owner_queries.get(&key) else {
            return;
        };
        let ack = query.segment.ack;
        let unanswered =
            possible_owners(snapshot, self.me).filter(|m| !query.denied.contains(&m.id));
        let before = self.outbox.len();
        self.outbox.extend(unanswered.map(|m| Outgoing {
            to: m.id,
            message: Message::OwnerQuery { key, ack },
        }));
        self.counts.owner_queries_sent += (self.outbox.len() - before) as u64;
    }

    /// Concludes an owner query once every member that could own the flow has
    /// denied ownership.
    pub(super) fn conclude_owner_query(&mut self, key: &FlowKey) -> Option<Reset> {
        let snapshot = self.snapshot.clone()?;
        let me = self.me;
        let query = self.owner_queries.get(key)?;
        let can_be_home = snapshot
            .group
            .home(key.hash64())
            .is_some_and(|home| home.id == me);
        let pending = query.progress == Progress::Pending;
        let denied = possible_owners(&snapshot, me).all(|m| query.denied.contains(&m.id));
        // A newer configuration may add members that were not queried.
        if !pending || !denied || !can_be_home || snapshot.latest > snapshot.version {
            return None;
        }
        let reason = match unowned_reason(&snapshot) {
            ResetReason::Unowned if self.ended_flows.contains(key) => ResetReason::Ended,
            reason => reason,
        };
        query.progress = Progress::Unowned(reason);
        let segment = query.segment;
        // A reset is never answered with a reset.
        if segment.rst {
            return None;
        }
        self.counts.resets.add(reason);
        Some(Reset { segment, reason })
    }
}

/// Members other than `me` that could own a flow.
fn possible_owners(snapshot: &GroupSnapshot, me: InstanceId) -> impl Iterator<Item = &Member> {
    snapshot
        .group
        .members
        .iter()
        .filter(move |m| m.id != me && m.reachable && !snapshot.gone.contains(&m.id))
}

/// Why `owner` can no longer have any flows; none if it may have some.
fn owner_loss(snapshot: &GroupSnapshot, owner: InstanceId) -> Option<ResetReason> {
    let Some(member) = snapshot.group.member(owner) else {
        return Some(ResetReason::OwnerLost);
    };
    if !member.reachable {
        return Some(ResetReason::GivenUp);
    }
    snapshot
        .gone
        .contains(&owner)
        .then_some(ResetReason::OwnerLost)
}

/// Reason for the reset of a flow that no member owns. If a member is missing,
/// the flow is assumed to have been there.
fn unowned_reason(snapshot: &GroupSnapshot) -> ResetReason {
    let members = &snapshot.group.members;
    if members.iter().any(|m| !m.reachable) {
        ResetReason::GivenUp
    } else if members.iter().any(|m| snapshot.gone.contains(&m.id)) {
        ResetReason::OwnerLost
    } else {
        ResetReason::Unowned
    }
}

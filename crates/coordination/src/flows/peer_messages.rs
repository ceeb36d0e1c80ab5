//! Handlers of the control messages of other members: registrations and releases
//! of flows, owner queries and their answers.

use ramp_protocol::message::Message;
use ramp_protocol::message::Ownership;
use ramp_state::key::FlowKey;
use ramp_state::key::InstanceId;
use ramp_state::time::Millis;

use super::FlowRouter;
use super::Outgoing;
use super::token_bucket::TokenBucket;
use crate::group_snapshot::GroupSnapshot;

/// Answers to owner queries sent to one member per second, on average.
const ANSWERS_PER_S: u64 = 64;

/// Answers to owner queries sent to one member at once.
const ANSWERS_BURST: u64 = 256;

impl FlowRouter {
    /// Whether this agent exchanges messages with `other`.
    pub(super) fn can_message(&self, other: InstanceId) -> bool {
        let snapshot = self.snapshot.as_ref();
        other != self.me && !self.is_out && snapshot.is_some_and(|p| can_message(p, other))
    }

    /// Stores pointers to `owner` for the displaced flows that it registers.
    pub(super) fn on_register(&mut self, owner: InstanceId, flows: &[FlowKey]) {
        let group = self.snapshot.as_ref().map(|snapshot| &snapshot.group);
        if owner == self.me || group.is_some_and(|g| g.member(owner).is_none()) {
            return;
        }
        for key in flows {
            self.record_owner(owner, key);
        }
    }

    /// Removes the pointers of flows that have ended at `owner`.
    pub(super) fn on_release(&mut self, now: Millis, owner: InstanceId, flows: &[FlowKey]) {
        for key in flows {
            self.directory.remove_if_owner(key, owner);
            self.ended_flows.insert(now, *key);
        }
    }

    /// Answers an owner query of `from`.
    pub(super) fn on_owner_query(&mut self, now: Millis, from: InstanceId, key: FlowKey, ack: u32) {
        if !self.can_message(from) {
            return;
        }
        if let Some(flow) = self.table.find_mut(&key)
            && flow.matches_ack(ack)
        {
            flow.pointer_holder = Some(from);
            self.counts.owner_queries_answered += 1;
            self.send_answer(now, from, key, Ownership::Owner);
            return;
        }
        // A member that is not the home in this agent's view gets no denial,
        // and so can't reset the flow: while the views differ, the flow may
        // have an owner that it does not know of.
        let snapshot = self.snapshot.as_ref();
        let home = snapshot.and_then(|p| p.group.home(key.hash64()));
        if home.is_some_and(|home| home.id == from) {
            self.counts.owner_queries_answered += 1;
            self.send_answer(now, from, key, Ownership::NotOwner);
        }
    }

    /// Ends an owner query: `from` owns the flow.
    pub(super) fn on_owned(&mut self, from: InstanceId, key: &FlowKey) {
        if self.owner_queries.remove(key) {
            self.record_owner(from, key);
        }
    }

    /// Records that `from` does not own the flow.
    pub(super) fn on_denied(&mut self, from: InstanceId, key: &FlowKey) {
        self.directory.remove_if_owner(key, from);
        let Some(query) = self.owner_queries.get(key) else {
            return;
        };
        if !query.denied.contains(&from) {
            query.denied.push(from);
        }
        if let Some(reset) = self.conclude_owner_query(key) {
            self.resets.push(reset);
        }
    }

    /// Stores a confirmed pointer to `owner`. A half-open flow here is removed;
    /// an established one stays and the conflict is counted.
    pub(super) fn record_owner(&mut self, owner: InstanceId, key: &FlowKey) {
        if self.is_established(*key) {
            self.counts.conflicts += 1;
            return;
        }
        if self.table.remove(key).is_some() {
            self.abandon_half_open(*key);
        }
        self.owner_queries.remove(key);
        self.directory.insert(*key, owner, true);
    }

    /// Answers an owner query, within the rate limit for the receiver.
    pub(super) fn send_answer(
        &mut self,
        now: Millis,
        to: InstanceId,
        key: FlowKey,
        answer: Ownership,
    ) {
        let bucket = self
            .answer_limits
            .entry(to)
            .or_insert_with(|| TokenBucket::new(ANSWERS_PER_S, ANSWERS_BURST));
        if !bucket.take(now, 1) {
            self.counts.answers_limited += 1;
            return;
        }
        self.outbox.push(Outgoing {
            to,
            message: Message::OwnerReply { key, answer },
        });
    }
}

/// Whether `id` is a member whose data centre is not taken out.
pub(super) fn can_message(snapshot: &GroupSnapshot, id: InstanceId) -> bool {
    snapshot.group.member(id).is_some_and(|m| m.reachable)
}

//! Messages of other members: answering questions, keeping pointers.

use ramp_protocol::message::Answer;
use ramp_protocol::message::Message;
use ramp_state::key::FlowKey;
use ramp_state::key::InstanceId;
use ramp_state::time::Millis;

use super::FlowRouter;
use super::Outgoing;
use super::token_bucket::TokenBucket;
use crate::picture::GroupPicture;

/// Answers that one member gets, a second.
const ANSWERS_PER_S: u64 = 64;

/// Answers that one member gets at once.
const ANSWERS_BURST: u64 = 256;

impl FlowRouter {
    /// Whether messages may pass between this agent and `other`.
    pub(super) fn hears(&self, other: InstanceId) -> bool {
        let picture = self.picture.as_ref();
        other != self.me && !self.is_out && picture.is_some_and(|p| hears(p, other))
    }

    pub(super) fn registered(&mut self, owner: InstanceId, flows: &[FlowKey]) {
        let group = self.picture.as_ref().map(|picture| &picture.group);
        if owner == self.me || group.is_some_and(|g| g.member(owner).is_none()) {
            return;
        }
        for key in flows {
            self.point_to(owner, key);
        }
    }

    pub(super) fn released(&mut self, now: Millis, owner: InstanceId, flows: &[FlowKey]) {
        for key in flows {
            self.directory.remove_if(key, owner);
            self.ended.insert(now, *key);
        }
    }

    pub(super) fn answer(&mut self, now: Millis, from: InstanceId, key: FlowKey, ack: u32) {
        if !self.hears(from) {
            return;
        }
        if let Some(flow) = self.table.find_mut(&key)
            && flow.is_proved_by(ack)
        {
            flow.pointer_at = Some(from);
            self.counts.owner_queries_answered += 1;
            self.tell(now, from, key, Answer::Owns);
            return;
        }
        // Silence keeps the asker from a reset while the views differ: there
        // may be an owner that it does not know of.
        let picture = self.picture.as_ref();
        let home = picture.and_then(|p| p.group.home(key.hash64()));
        if home.is_some_and(|home| home.id == from) {
            self.counts.owner_queries_answered += 1;
            self.tell(now, from, key, Answer::NotMine);
        }
    }

    pub(super) fn owned_by(&mut self, from: InstanceId, key: &FlowKey) {
        if self.owner_queries.remove(key) {
            self.point_to(from, key);
        }
    }

    pub(super) fn denied_by(&mut self, from: InstanceId, key: &FlowKey) {
        self.directory.remove_if(key, from);
        let Some(query) = self.owner_queries.get(key) else {
            return;
        };
        if !query.denied.contains(&from) {
            query.denied.push(from);
        }
        if let Some(reset) = self.settle(key) {
            self.resets.push(reset);
        }
    }

    /// Notes that `owner` has proved to own the flow.
    pub(super) fn point_to(&mut self, owner: InstanceId, key: &FlowKey) {
        if self.is_established(*key) {
            self.counts.conflicts += 1;
            return;
        }
        if self.table.remove(key).is_some() {
            self.abandon(*key);
        }
        self.owner_queries.remove(key);
        self.directory.insert(*key, owner, true);
    }

    pub(super) fn tell(&mut self, now: Millis, to: InstanceId, key: FlowKey, answer: Answer) {
        let bucket = self
            .answers
            .entry(to)
            .or_insert_with(|| TokenBucket::new(ANSWERS_PER_S, ANSWERS_BURST));
        if !bucket.take(now, 1) {
            self.counts.answers_limited += 1;
            return;
        }
        self.outbox.push(Outgoing {
            to,
            message: Message::OwnerIs { key, answer },
        });
    }
}

/// Whether `id` is a member that may be sent messages.
pub(super) fn hears(picture: &GroupPicture, id: InstanceId) -> bool {
    picture.group.member(id).is_some_and(|m| m.reachable)
}

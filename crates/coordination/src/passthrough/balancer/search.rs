//! One search for the owner of a flow.
//!
//! Agents that know their servers' flows are asked by name, which is cheap.
//! An answer may be lost on its way though the question was not, so an agent
//! that stays silent gets the packet itself: the flow is served also where
//! nobody hears who serves it.

use std::cmp::Reverse;
use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_protocol::packet::Segment;
use ramp_state::time::Millis;

use super::step::Question;
use super::step::ResetReason;
use crate::passthrough::view::rank;

/// Time between two copies of a packet to all holders of one flow.
const ASK_AGAIN: Duration = Duration::from_millis(100);

/// Silence of an agent that was asked by name after which it gets the packet.
const NAMED_LIMIT: Duration = Duration::from_millis(200);

/// Silent agents that get a copy of one packet.
const SILENT_COPIES: usize = 8;

/// Silent holders up to which each packet is copied to all of them.
const FEW_HOLDERS: usize = 4;

/// Silence after the first of at least two questions from which a holder that
/// is not listed counts as gone.
const SILENT_LIMIT: Duration = Duration::from_millis(300);

/// Time that a question must be left unanswered to count.
const ANSWER_LIMIT: Duration = Duration::from_millis(70);

/// Looking for the owner of a flow.
#[derive(Clone, Debug)]
pub(super) struct Search {
    /// Holders whose servers do not have it.
    pub(super) denied: Vec<Ipv4Addr>,
    /// Agents that can't tell without their servers.
    unsure: Vec<Ipv4Addr>,
    /// What the caller is told when nobody has it.
    pub(super) reason: ResetReason,
    /// Whether the next packet goes out at once.
    urgent: bool,
    /// When the holders were asked last.
    asked_at: Option<Millis>,
    /// When they were asked first.
    first_asked_at: Option<Millis>,
    /// How often they were asked.
    questions: u32,
    pub(super) seen_at: Millis,
    pub(super) seq: u32,
}

/// One holder that has not denied the flow.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) agent: Ipv4Addr,
    /// Whether it gets the flow's packets in any case.
    pub(super) likely: bool,
    /// Whether it knows every flow of its server.
    pub(super) complete: bool,
}

impl Search {
    pub(super) fn new(now: Millis, seg: &Segment, reason: ResetReason) -> Search {
        Search {
            denied: Vec::new(),
            unsure: Vec::new(),
            reason,
            urgent: false,
            asked_at: None,
            first_asked_at: None,
            questions: 0,
            seen_at: now,
            seq: seg.ack,
        }
    }

    /// Takes note of a packet of the caller.
    pub(super) fn note(&mut self, now: Millis, seg: &Segment) {
        self.seen_at = now;
        self.seq = seg.ack;
    }

    pub(super) fn note_denial(&mut self, agent: Ipv4Addr) {
        if !self.denied.contains(&agent) {
            self.denied.push(agent);
        }
    }

    /// An agent can't tell: its server must, so it gets the next packet at once.
    pub(super) fn note_unsure(&mut self, agent: Ipv4Addr) {
        if !self.unsure.contains(&agent) {
            self.unsure.push(agent);
        }
        self.urgent = true;
    }

    /// Whether anybody has been asked.
    pub(super) fn is_asked(&self) -> bool {
        self.first_asked_at.is_some()
    }

    /// Whether the holders are to be asked again, of whom `left` may have the
    /// flow.
    pub(super) fn is_due(&self, now: Millis, left: usize) -> bool {
        let pause_over = self.asked_at.is_none_or(|at| now.since(at) >= ASK_AGAIN);
        let few_left = left <= FEW_HOLDERS && self.is_long(now, SILENT_LIMIT);
        pause_over || few_left || self.urgent
    }

    /// Whom to ask with this packet; an opening packet goes to nobody, as it
    /// would open the flow.
    pub(super) fn question(
        &mut self,
        now: Millis,
        seg: &Segment,
        candidates: &[Candidate],
    ) -> Question {
        let mut question = Question::default();
        let mut silent = Vec::new();
        for candidate in candidates {
            let agent = candidate.agent;
            let by_packet = candidate.likely || !candidate.complete || self.unsure.contains(&agent);
            if seg.opens {
                question.named.push(agent);
            } else if by_packet {
                question.copies.push(agent);
            } else if self.is_long(now, NAMED_LIMIT) {
                silent.push(agent);
            } else {
                question.named.push(agent);
            }
        }
        silent.sort_by_key(|agent| Reverse(rank(&seg.key, *agent)));
        let groups = silent.len().div_ceil(SILENT_COPIES).max(1);
        let turn = self.questions as usize % groups;
        for (index, agent) in silent.into_iter().enumerate() {
            if index / SILENT_COPIES == turn {
                question.copies.push(agent);
            } else {
                question.named.push(agent);
            }
        }
        self.note_question(now);
        question
    }

    /// Since when a holder that is not listed has been silent, if for so long
    /// that it counts as gone. `known_gone`: its record is missing for long.
    pub(super) fn unanswered_since(&self, now: Millis, known_gone: bool) -> Option<Millis> {
        let since = self.first_asked_at?;
        let overdue = now.since(self.asked_at?) >= ANSWER_LIMIT;
        let silent = self.questions > 1 && self.is_long(now, SILENT_LIMIT);
        (overdue && (known_gone || silent)).then_some(since)
    }

    fn is_long(&self, now: Millis, limit: Duration) -> bool {
        self.first_asked_at.is_some_and(|at| now.since(at) >= limit)
    }

    fn note_question(&mut self, now: Millis) {
        self.urgent = false;
        self.asked_at = Some(now);
        self.first_asked_at.get_or_insert(now);
        self.questions += 1;
    }
}

//! One search for the owner of a flow.
//!
//! Agents that know their servers' flows are asked by name, which is cheap.
//! An answer may be lost on its way though the question was not, so an agent
//! that stays silent gets the packet itself: the flow is served also where
//! nobody hears who serves it.

use std::cmp::Reverse;
use std::net::Ipv4Addr;
use std::time::Duration;

use indexmap::IndexMap;
use ramp_protocol::packet::Segment;
use ramp_state::time::Millis;

use super::action::OwnerQuery;
use super::action::ResetReason;
use super::flow::OWNER_REPLY_TIMEOUT;
use crate::passthrough::published::RELIST_LIMIT;
use crate::passthrough::view::rank;

/// Time between two questions to all holders of one flow.
pub const OWNER_QUERY_INTERVAL: Duration = Duration::from_millis(100);

/// Silence of an agent that was asked by name after which it gets the packet.
const NAMED_LIMIT: Duration = Duration::from_millis(100);

/// Silent agents that get a copy of one packet.
const SILENT_COPIES: usize = 8;

/// Holders left in a search up to which each packet is copied to all of them.
const FEW_HOLDERS: usize = 4;

/// Silence after the first of at least two questions from which a holder that
/// is not listed counts as gone.
const SILENT_LIMIT: Duration = Duration::from_millis(300);

/// Time after which denials of a new flow are too old to refuse it: a copy of
/// its opening may have opened it since.
const OPENING_LIMIT: Duration = Duration::from_millis(100);

/// Looking for the owner of a flow.
#[derive(Clone, Debug)]
pub(super) struct Search {
    /// Holders whose servers do not have it.
    pub(super) denied: Vec<Ipv4Addr>,
    /// Agents that can't tell without their servers.
    unsure: Vec<Ipv4Addr>,
    /// Copies of packets that each silent agent got.
    copied: IndexMap<Ipv4Addr, u32>,
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
    /// When it was last told of as one that does not end.
    pub(super) told_at: Option<Millis>,
    pub(super) seen_at: Millis,
    /// Sequence number that the caller expects.
    pub(super) seq: u32,
}

/// One holder that has not denied the flow.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) agent: Ipv4Addr,
    /// Whether it gets the flow's packets in any case.
    pub(super) likely: bool,
    /// Whether its server is listed.
    pub(super) listed: bool,
    /// Whether it knows every flow of its server.
    pub(super) complete: bool,
}

impl Search {
    pub(super) fn new(now: Millis, seg: &Segment, reason: ResetReason) -> Search {
        Search {
            denied: Vec::new(),
            unsure: Vec::new(),
            copied: IndexMap::new(),
            reason,
            urgent: false,
            asked_at: None,
            first_asked_at: None,
            questions: 0,
            told_at: None,
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

    /// How long ago the holders were asked first; zero when they were not.
    pub(super) fn waited(&self, now: Millis) -> Duration {
        self.first_asked_at
            .map_or(Duration::ZERO, |at| now.since(at))
    }

    /// When the holders were asked first.
    pub(super) fn first_asked_at(&self) -> Option<Millis> {
        self.first_asked_at
    }

    /// Whether an agent has said that it can't tell.
    pub(super) fn is_unsure(&self, agent: Ipv4Addr) -> bool {
        self.unsure.contains(&agent)
    }

    /// Whether anybody has been asked.
    pub(super) fn is_asked(&self) -> bool {
        self.first_asked_at.is_some()
    }

    /// Whether the caller of a new flow may no longer be refused by what the
    /// holders have answered.
    pub(super) fn is_stale(&self, now: Millis) -> bool {
        self.is_of_opening() && self.is_long(now, OPENING_LIMIT)
    }

    /// Whether the flow is a new one that is about to be refused.
    pub(super) fn is_of_opening(&self) -> bool {
        self.reason != ResetReason::Unowned
    }

    /// Whether the holders that are left are to be asked again without another
    /// packet of the caller: where many stay silent, that would cost too much.
    pub(super) fn is_to_repeat(&self, left: &[Candidate]) -> bool {
        !self.is_asked() || is_few(left)
    }

    /// Whether the holders that are left are to be asked again.
    pub(super) fn is_due(&self, now: Millis, left: &[Candidate]) -> bool {
        let pause_over = self
            .asked_at
            .is_none_or(|at| now.since(at) >= OWNER_QUERY_INTERVAL);
        let few_left = is_few(left) && self.is_long(now, SILENT_LIMIT);
        pause_over || few_left || self.urgent
    }

    /// Whom to ask with this packet. `may_copy` bounds the copies to agents that
    /// were silent; it is asked for each.
    pub(super) fn question(
        &mut self,
        now: Millis,
        seg: &Segment,
        left: &[Candidate],
        may_copy: impl FnMut() -> bool,
    ) -> OwnerQuery {
        let mut question = OwnerQuery::default();
        let mut silent = Vec::new();
        // Mostly the agent that was asked first has it, and is only slow.
        let has_likely = left.iter().any(|c| c.likely);
        for candidate in left {
            let agent = candidate.agent;
            let needs_packet = !candidate.complete && !has_likely;
            let by_packet = candidate.likely || needs_packet || self.unsure.contains(&agent);
            if seg.opens {
                // A copy would open the flow.
                question.by_key.push(agent);
            } else if by_packet {
                question.packet_copies.push(agent);
            } else if !candidate.complete || self.is_long(now, NAMED_LIMIT) {
                silent.push(*candidate);
            } else {
                question.by_key.push(agent);
            }
        }
        self.ask_silent(seg, silent, may_copy, &mut question);
        self.note_question(now);
        question
    }

    /// Copies a packet to a few agents that are silent or can't tell: those that
    /// got fewest, the listed ones and the flow's home first.
    fn ask_silent(
        &mut self,
        seg: &Segment,
        mut silent: Vec<Candidate>,
        mut may_copy: impl FnMut() -> bool,
        question: &mut OwnerQuery,
    ) {
        silent.sort_by_key(|c| {
            let copies = self.copied.get(&c.agent).copied();
            let rank = rank(&seg.key, c.agent);
            (copies.unwrap_or(0), !c.listed, Reverse(rank))
        });
        for (index, candidate) in silent.into_iter().enumerate() {
            let agent = candidate.agent;
            if index < SILENT_COPIES && may_copy() {
                *self.copied.entry(agent).or_insert(0) += 1;
                question.packet_copies.push(agent);
            } else {
                question.by_key.push(agent);
            }
        }
    }

    /// Since when a holder that is not listed has been silent, if for so long
    /// that it counts as gone. `known_gone`: its record is missing for long.
    /// One answer may be lost, so one question proves nothing but after as long
    /// as a record may be missing.
    pub(super) fn silent_since(&self, now: Millis, known_gone: bool) -> Option<Millis> {
        let since = self.first_asked_at?;
        let overdue = now.since(self.asked_at?) >= OWNER_REPLY_TIMEOUT;
        let silent = known_gone || self.is_long(now, SILENT_LIMIT);
        let twice = self.questions > 1 && overdue && silent;
        let once = known_gone && self.is_long(now, RELIST_LIMIT);
        (twice || once).then_some(since)
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

/// Whether few enough listed holders are left to ask them with each packet.
fn is_few(left: &[Candidate]) -> bool {
    left.iter().filter(|c| c.listed).count() <= FEW_HOLDERS
}

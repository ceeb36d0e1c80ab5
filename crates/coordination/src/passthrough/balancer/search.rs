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
const KEY_QUERY_TIMEOUT: Duration = Duration::from_millis(100);

/// Silent agents that get a copy of one packet.
const SILENT_COPIES_PER_PACKET: usize = 8;

/// Holders left in a search up to which each packet is copied to all of them.
const FEW_HOLDERS: usize = 4;

/// Silence after the first of at least two questions from which a holder that
/// is not listed counts as gone.
const UNLISTED_SILENCE_LIMIT: Duration = Duration::from_millis(300);

/// Time after which denials of a new flow are too old to refuse it: a copy of
/// its opening may have opened it since.
const OPENING_DENIAL_TTL: Duration = Duration::from_millis(100);

/// Looking for the owner of a flow.
#[derive(Clone, Debug)]
pub(super) struct Search {
    /// Holders whose servers do not have it.
    pub(super) denied: Vec<Ipv4Addr>,
    /// Agents that can't tell without their servers.
    unsure: Vec<Ipv4Addr>,
    /// Copies of packets that each silent agent got.
    copies_sent: IndexMap<Ipv4Addr, u32>,
    /// What the caller is told when nobody has it.
    pub(super) reason: ResetReason,
    /// Whether the next packet goes out at once.
    urgent: bool,
    /// When the holders were asked last.
    last_query_at: Option<Millis>,
    /// When they were asked first.
    first_query_at: Option<Millis>,
    /// How often they were asked.
    query_count: u32,
    /// When it was last told of as one that does not end.
    pub(super) reported_at: Option<Millis>,
    pub(super) seen_at: Millis,
    /// Sequence number that the caller expects.
    pub(super) seq: u32,
}

/// One holder that has not denied the flow.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) agent: Ipv4Addr,
    /// Whether it gets the flow's packets in any case.
    pub(super) likely_owner: bool,
    /// Whether its server is listed.
    pub(super) listed: bool,
    /// Whether it knows every flow of its server.
    pub(super) knows_all_flows: bool,
}

impl Search {
    pub(super) fn new(now: Millis, seg: &Segment, reason: ResetReason) -> Search {
        Search {
            denied: Vec::new(),
            unsure: Vec::new(),
            copies_sent: IndexMap::new(),
            reason,
            urgent: false,
            last_query_at: None,
            first_query_at: None,
            query_count: 0,
            reported_at: None,
            seen_at: now,
            seq: seg.ack,
        }
    }

    /// Takes note of a packet of the caller.
    pub(super) fn record_packet(&mut self, now: Millis, seg: &Segment) {
        self.seen_at = now;
        self.seq = seg.ack;
    }

    pub(super) fn record_denial(&mut self, agent: Ipv4Addr) {
        if !self.denied.contains(&agent) {
            self.denied.push(agent);
        }
    }

    /// An agent can't tell: its server must, so it gets the next packet at once.
    pub(super) fn record_unsure(&mut self, agent: Ipv4Addr) {
        if !self.unsure.contains(&agent) {
            self.unsure.push(agent);
        }
        self.urgent = true;
    }

    /// How long ago the holders were asked first; zero when they were not.
    pub(super) fn waited(&self, now: Millis) -> Duration {
        self.first_query_at
            .map_or(Duration::ZERO, |at| now.since(at))
    }

    /// When the holders were asked first.
    pub(super) fn first_query_at(&self) -> Option<Millis> {
        self.first_query_at
    }

    /// Whether an agent has said that it can't tell.
    pub(super) fn is_unsure(&self, agent: Ipv4Addr) -> bool {
        self.unsure.contains(&agent)
    }

    /// Whether anybody has been asked.
    pub(super) fn has_queried(&self) -> bool {
        self.first_query_at.is_some()
    }

    /// Whether the caller of a new flow may no longer be refused by what the
    /// holders have answered.
    pub(super) fn denials_expired(&self, now: Millis) -> bool {
        self.is_for_opening() && self.has_run_for(now, OPENING_DENIAL_TTL)
    }

    /// Whether the flow is a new one that is about to be refused.
    pub(super) fn is_for_opening(&self) -> bool {
        self.reason != ResetReason::Unowned
    }

    /// Whether the holders that are left are to be asked again without another
    /// packet of the caller: where many stay silent, that would cost too much.
    pub(super) fn may_repeat_query(&self, remaining: &[Candidate]) -> bool {
        !self.has_queried() || has_few_listed(remaining)
    }

    /// Whether the holders that are left are to be asked again.
    pub(super) fn is_query_due(&self, now: Millis, remaining: &[Candidate]) -> bool {
        let interval_over = self
            .last_query_at
            .is_none_or(|at| now.since(at) >= OWNER_QUERY_INTERVAL);
        let few_left = has_few_listed(remaining) && self.has_run_for(now, UNLISTED_SILENCE_LIMIT);
        interval_over || few_left || self.urgent
    }

    /// Whom to ask with this packet. `may_copy` bounds the copies to agents that
    /// were silent; it is asked for each.
    pub(super) fn next_query(
        &mut self,
        now: Millis,
        seg: &Segment,
        remaining: &[Candidate],
        may_copy: impl FnMut() -> bool,
    ) -> OwnerQuery {
        let mut query = OwnerQuery::default();
        let mut silent = Vec::new();
        // Mostly the agent that was asked first has it, and is only slow.
        let has_likely_owner = remaining.iter().any(|c| c.likely_owner);
        for candidate in remaining {
            let agent = candidate.agent;
            let needs_packet = !candidate.knows_all_flows && !has_likely_owner;
            let by_packet = candidate.likely_owner || needs_packet || self.unsure.contains(&agent);
            if seg.opens {
                // A copy would open the flow.
                query.by_key.push(agent);
            } else if by_packet {
                query.packet_copies.push(agent);
            } else if !candidate.knows_all_flows || self.has_run_for(now, KEY_QUERY_TIMEOUT) {
                silent.push(*candidate);
            } else {
                query.by_key.push(agent);
            }
        }
        self.query_silent_agents(seg, silent, may_copy, &mut query);
        self.record_query(now);
        query
    }

    /// Copies a packet to a few agents that are silent or can't tell: those that
    /// got fewest, the listed ones and the flow's home first.
    fn query_silent_agents(
        &mut self,
        seg: &Segment,
        mut silent: Vec<Candidate>,
        mut may_copy: impl FnMut() -> bool,
        query: &mut OwnerQuery,
    ) {
        silent.sort_by_key(|c| {
            let copies = self.copies_sent.get(&c.agent).copied();
            let rank = rank(&seg.key, c.agent);
            (copies.unwrap_or(0), !c.listed, Reverse(rank))
        });
        for (index, candidate) in silent.into_iter().enumerate() {
            let agent = candidate.agent;
            if index < SILENT_COPIES_PER_PACKET && may_copy() {
                *self.copies_sent.entry(agent).or_insert(0) += 1;
                query.packet_copies.push(agent);
            } else {
                query.by_key.push(agent);
            }
        }
    }

    /// Since when a holder that is not listed has been silent, if for so long
    /// that it counts as gone. `known_gone`: its record is missing for long.
    /// One answer may be lost, so one question proves nothing but after as long
    /// as a record may be missing.
    pub(super) fn silent_since(&self, now: Millis, known_gone: bool) -> Option<Millis> {
        let since = self.first_query_at?;
        let overdue = now.since(self.last_query_at?) >= OWNER_REPLY_TIMEOUT;
        let silent = known_gone || self.has_run_for(now, UNLISTED_SILENCE_LIMIT);
        let twice = self.query_count > 1 && overdue && silent;
        let once = known_gone && self.has_run_for(now, RELIST_LIMIT);
        (twice || once).then_some(since)
    }

    fn has_run_for(&self, now: Millis, limit: Duration) -> bool {
        self.first_query_at.is_some_and(|at| now.since(at) >= limit)
    }

    fn record_query(&mut self, now: Millis) {
        self.urgent = false;
        self.last_query_at = Some(now);
        self.first_query_at.get_or_insert(now);
        self.query_count += 1;
    }
}

/// Whether few enough listed holders are left to ask them with each packet.
fn has_few_listed(remaining: &[Candidate]) -> bool {
    remaining.iter().filter(|c| c.listed).count() <= FEW_HOLDERS
}

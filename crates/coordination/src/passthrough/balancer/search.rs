//! State of one search for the owner of a flow: who was asked and when, who has
//! denied the flow, and whom to ask next.
//!
//! Agents that know all flows of their servers are asked by flow key, which is
//! cheap. A reply may be lost although the query arrived, so an agent that stays
//! silent gets a copy of the packet: the owner then serves the flow even if no
//! balancer receives its reply.

use std::cmp::Reverse;
use std::net::Ipv4Addr;
use std::time::Duration;

use indexmap::IndexMap;
use ramp_protocol::packet::Segment;
use ramp_state::time::Millis;

use super::action::OwnerQuery;
use super::action::ResetReason;
use super::flow::OWNER_REPLY_TIMEOUT;
use super::relayed::Relay;
use super::relayed::RelayedQueries;
use crate::passthrough::flow_sequence::FlowSequence;
use crate::passthrough::published::RELIST_LIMIT;
use crate::passthrough::view::rank;

/// Time between two queries to all holders for one flow.
pub const OWNER_QUERY_INTERVAL: Duration = Duration::from_millis(100);

/// Time after the first query from which an agent that was asked by key and has
/// not replied gets a copy of the packet.
const KEY_QUERY_TIMEOUT: Duration = Duration::from_millis(100);

/// Largest number of agents that get a copy of the same packet because they can't tell
/// whether their servers have the flow, and of those that get one because they are
/// silent.
const COPIES_PER_PACKET: usize = 8;

/// Number of remaining listed holders up to which a search queries them again
/// with each packet, without a pause.
const FEW_HOLDERS: usize = 4;

/// Time after the first of at least two queries from which an unlisted holder that
/// stays silent counts as gone.
const UNLISTED_SILENCE_LIMIT: Duration = Duration::from_millis(300);

/// Time after which denials of a new flow no longer justify a refusal: a copy of
/// the opening packet may have opened the flow since.
const OPENING_DENIAL_TTL: Duration = Duration::from_millis(100);

/// Search for the owner of one flow.
#[derive(Clone, Debug)]
pub(super) struct Search {
    /// Holders whose servers do not have the flow.
    pub(super) denied: Vec<Ipv4Addr>,
    /// Those of them that were asked with a packet of the flow.
    refused: Vec<Ipv4Addr>,
    /// Agents that have replied that only their servers can tell.
    unsure: Vec<Ipv4Addr>,
    /// Number of packet copies that each silent agent got.
    copies_sent: IndexMap<Ipv4Addr, u32>,
    /// Reason for the reset if the flow has no owner.
    pub(super) reason: ResetReason,
    /// Whether the next packet is sent to the holders without waiting for the query
    /// interval.
    urgent: bool,
    /// When the holders were last asked.
    last_query_at: Option<Millis>,
    /// When the holders were first asked; none before the first query.
    first_query_at: Option<Millis>,
    /// Number of queries sent.
    query_count: u32,
    /// When the holders were first asked without a relay. Only such queries show that
    /// a holder is silent: a relay may not have asked it.
    first_direct_query_at: Option<Millis>,
    /// Number of queries sent without a relay.
    direct_query_count: u32,
    /// Queries sent through relays.
    pub(super) relayed: RelayedQueries,
    /// When the search was last reported as stalled.
    pub(super) reported_at: Option<Millis>,
    pub(super) seen_at: Millis,
    /// Sequence numbers of the caller's packets.
    pub(super) sequence: FlowSequence,
    /// Sequence number that the caller expects in a reset.
    pub(super) seq: u32,
}

/// A holder that has not denied the flow.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) agent: Ipv4Addr,
    /// Whether the flow table names this agent, so that it gets each packet.
    pub(super) likely_owner: bool,
    /// Whether the platform lists its server.
    pub(super) listed: bool,
    /// Whether the agent has reported that it knows every flow of its server.
    pub(super) knows_all_flows: bool,
}

impl Search {
    pub(super) fn new(now: Millis, seg: &Segment, reason: ResetReason) -> Search {
        Search {
            denied: Vec::new(),
            refused: Vec::new(),
            unsure: Vec::new(),
            copies_sent: IndexMap::new(),
            reason,
            urgent: false,
            last_query_at: None,
            first_query_at: None,
            query_count: 0,
            first_direct_query_at: None,
            direct_query_count: 0,
            relayed: RelayedQueries::default(),
            reported_at: None,
            seen_at: now,
            sequence: FlowSequence::of(seg),
            seq: seg.ack,
        }
    }

    /// Records a packet of the caller.
    pub(super) fn record_packet(&mut self, now: Millis, seg: &Segment) {
        self.seen_at = now;
        self.sequence.record(seg);
        self.seq = seg.ack;
    }

    /// Records that the agent has refused a packet of the flow, or its server has bounced
    /// one.
    pub(super) fn record_refusal(&mut self, agent: Ipv4Addr) {
        self.record_denial(agent);
        if !self.refused.contains(&agent) {
            self.refused.push(agent);
        }
    }

    /// Whether the agent has refused a packet of an open flow. If it claims the flow's
    /// key later, it means an earlier flow.
    pub(super) fn is_refused_by(&self, agent: Ipv4Addr) -> bool {
        !self.is_for_opening() && self.refused.contains(&agent)
    }

    pub(super) fn record_denial(&mut self, agent: Ipv4Addr) {
        if !self.denied.contains(&agent) {
            self.denied.push(agent);
        }
    }

    /// Records that only an agent's server can tell. The agent gets the next packet
    /// without delay.
    pub(super) fn record_unsure(&mut self, agent: Ipv4Addr) {
        if !self.unsure.contains(&agent) {
            self.unsure.push(agent);
        }
        self.urgent = true;
    }

    /// Time since the first query; zero before it.
    pub(super) fn waited(&self, now: Millis) -> Duration {
        self.first_query_at
            .map_or(Duration::ZERO, |at| now.since(at))
    }

    /// When the first query was sent.
    pub(super) fn first_query_at(&self) -> Option<Millis> {
        self.first_query_at
    }

    /// Number of queries sent.
    pub(super) fn query_count(&self) -> u32 {
        self.query_count
    }

    /// Whether an agent has replied that only its server can tell.
    pub(super) fn is_unsure(&self, agent: Ipv4Addr) -> bool {
        self.unsure.contains(&agent)
    }

    /// Whether any query has been sent.
    pub(super) fn has_queried(&self) -> bool {
        self.first_query_at.is_some()
    }

    /// Whether the denials of a new flow are too old to refuse it.
    pub(super) fn denials_expired(&self, now: Millis) -> bool {
        self.is_for_opening() && self.has_run_for(now, OPENING_DENIAL_TTL)
    }

    /// Whether the search is for a new flow that is to be refused if it has no
    /// owner.
    pub(super) fn is_for_opening(&self) -> bool {
        self.reason != ResetReason::Unowned
    }

    /// Whether the remaining holders may be queried without another packet of the
    /// caller. Repeated queries would cost too much where many holders are silent. If
    /// a relay returned few answers, the holders may not have been asked yet.
    pub(super) fn may_repeat_query(&self, remaining: &[Candidate]) -> bool {
        !self.has_queried() || has_few_listed(remaining) || self.relayed.is_unanswered()
    }

    /// Whether the next packet may be used to query the remaining holders.
    pub(super) fn is_query_due(
        &self,
        now: Millis,
        remaining: &[Candidate],
        link_delay: Duration,
    ) -> bool {
        let interval_over = self
            .last_query_at
            .is_none_or(|at| now.since(at) >= OWNER_QUERY_INTERVAL + link_delay);
        let few_remaining =
            has_few_listed(remaining) && self.has_run_for(now, UNLISTED_SILENCE_LIMIT + link_delay);
        interval_over || few_remaining || self.urgent
    }

    /// Chooses the agents to query with this packet, and records the query.
    /// `relay` may ask the agents that would be asked by key. `may_copy` is the rate
    /// limit for copies to silent agents; it is called once for each copy.
    pub(super) fn next_query(
        &mut self,
        now: Millis,
        seg: &Segment,
        remaining: &[Candidate],
        link_delay: Duration,
        relay: Option<Relay>,
        may_copy: impl FnMut() -> bool,
    ) -> OwnerQuery {
        let mut query = OwnerQuery::default();
        let mut unsure = Vec::new();
        let mut silent = Vec::new();
        // Usually the likely owner has the flow and is only slow, so agents that need
        // the packet are treated like silent ones: few of them get a copy.
        let overdue = self.was_direct_for(now, KEY_QUERY_TIMEOUT + link_delay);
        let has_likely_owner = remaining.iter().any(|c| c.likely_owner);
        for candidate in remaining {
            let agent = candidate.agent;
            let needs_packet = !candidate.knows_all_flows && !has_likely_owner;
            if seg.opens {
                // A copy of an opening packet would open the flow.
                query.by_key.push(agent);
            } else if candidate.likely_owner || self.unsure.contains(&agent) {
                query.packet_copies.push(agent);
            } else if needs_packet {
                unsure.push(*candidate);
            } else if !candidate.knows_all_flows || overdue {
                silent.push(*candidate);
            } else {
                query.by_key.push(agent);
            }
        }
        if unsure.len() <= COPIES_PER_PACKET {
            query.packet_copies.extend(unsure.iter().map(|c| c.agent));
        } else {
            self.copy_to_some(seg, unsure, || true, &mut query);
        }
        self.copy_to_some(seg, silent, may_copy, &mut query);
        self.relayed.relay_query(&mut query, relay, remaining);
        self.record_query(now, &query);
        query
    }

    /// Copies a packet to those few of many agents that most likely have the flow, and
    /// asks the others by key. Agents with the fewest copies go first, then listed
    /// ones, then those that rank highest for the flow: where members have come and
    /// gone since it was opened, its owner still ranks among the first.
    fn copy_to_some(
        &mut self,
        seg: &Segment,
        mut agents: Vec<Candidate>,
        mut may_copy: impl FnMut() -> bool,
        query: &mut OwnerQuery,
    ) {
        agents.sort_by_key(|c| {
            let copies = self.copies_sent.get(&c.agent).copied();
            let rank = rank(&seg.key, c.agent);
            (copies.unwrap_or(0), !c.listed, Reverse(rank))
        });
        for (index, candidate) in agents.into_iter().enumerate() {
            let agent = candidate.agent;
            if index < COPIES_PER_PACKET && may_copy() {
                *self.copies_sent.entry(agent).or_insert(0) += 1;
                query.packet_copies.push(agent);
            } else {
                query.by_key.push(agent);
            }
        }
    }

    /// Start of the period in which an unlisted holder must have been silent to count
    /// as gone; none while it can't count as gone. `known_gone` says that its record
    /// has been missing for long. A reply may be lost, so two unanswered queries are
    /// needed, or one that is older than the longest time
    /// for which the record of a running server may be missing.
    pub(super) fn silent_since(
        &self,
        now: Millis,
        known_gone: bool,
        link_delay: Duration,
    ) -> Option<Millis> {
        let since = self.first_direct_query_at?;
        let overdue = now.since(self.last_query_at?) >= OWNER_REPLY_TIMEOUT + link_delay;
        let silent = known_gone || self.was_direct_for(now, UNLISTED_SILENCE_LIMIT + link_delay);
        let twice = self.direct_query_count > 1 && overdue && silent;
        let once = known_gone && self.was_direct_for(now, RELIST_LIMIT + link_delay);
        (twice || once).then_some(since)
    }

    fn has_run_for(&self, now: Millis, limit: Duration) -> bool {
        self.first_query_at.is_some_and(|at| now.since(at) >= limit)
    }

    /// Whether the holders were first asked without a relay at least `limit` ago.
    fn was_direct_for(&self, now: Millis, limit: Duration) -> bool {
        self.first_direct_query_at
            .is_some_and(|at| now.since(at) >= limit)
    }

    fn record_query(&mut self, now: Millis, query: &OwnerQuery) {
        if query.relay.is_none() {
            self.first_direct_query_at.get_or_insert(now);
            self.direct_query_count += 1;
            self.relayed.record_direct_query();
        }
        self.urgent = false;
        self.last_query_at = Some(now);
        self.first_query_at.get_or_insert(now);
        self.query_count += 1;
    }
}

/// Whether at most [`FEW_HOLDERS`] listed holders remain.
fn has_few_listed(remaining: &[Candidate]) -> bool {
    remaining.iter().filter(|c| c.listed).count() <= FEW_HOLDERS
}

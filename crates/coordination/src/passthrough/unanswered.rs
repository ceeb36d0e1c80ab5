//! Agents that have left queries without an answer, over all searches of a balancer.
//!
//! After a power failure every flow starts a search, and each would have to wait for
//! the same holders that no longer run. What one search has learned of a silent agent
//! holds for the others, so they neither wait for it nor ask it again at once.

use std::net::Ipv4Addr;
use std::time::Duration;

use indexmap::IndexMap;
use ramp_state::time::Millis;

/// Time without an answer after which an agent counts as silent.
const MIN_SILENCE: Duration = Duration::from_millis(1000);

/// Queries without an answer after which an agent counts as silent.
const MIN_QUERIES: u32 = 3;

/// Time between two queries to a silent agent.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Time after the last query for which the silence still counts.
const EVIDENCE_TTL: Duration = Duration::from_millis(1000);

#[derive(Clone, Copy, Debug)]
struct Unanswered {
    first_at: Millis,
    last_at: Millis,
    queries: u32,
}

/// Queries that have had no answer, by agent.
#[derive(Clone, Debug, Default)]
pub(super) struct UnansweredQueries(IndexMap<Ipv4Addr, Unanswered>);

impl UnansweredQueries {
    /// Records a query. One that was sent within [`PROBE_INTERVAL`] of the last one
    /// adds nothing: both may have been lost together.
    pub(super) fn note_query(&mut self, agent: Ipv4Addr, now: Millis) {
        let entry = self.0.entry(agent).or_insert(Unanswered {
            first_at: now,
            last_at: now,
            queries: 1,
        });
        if now.since(entry.last_at) > EVIDENCE_TTL {
            *entry = Unanswered {
                first_at: now,
                last_at: now,
                queries: 1,
            };
        } else if now.since(entry.last_at) >= PROBE_INTERVAL {
            entry.last_at = now;
            entry.queries += 1;
        }
    }

    /// Records that an agent has sent a message.
    pub(super) fn clear(&mut self, agent: Ipv4Addr) {
        self.0.swap_remove(&agent);
    }

    /// Whether an agent has answered no query for so long that no reply is to be
    /// expected.
    pub(super) fn is_silent(&self, agent: Ipv4Addr, now: Millis) -> bool {
        self.0.get(&agent).is_some_and(|entry| {
            entry.queries >= MIN_QUERIES
                && now.since(entry.first_at) >= MIN_SILENCE
                && now.since(entry.last_at) <= EVIDENCE_TTL
        })
    }

    /// Whether a silent agent need not be asked now.
    pub(super) fn may_skip(&self, agent: Ipv4Addr, now: Millis) -> bool {
        let just_asked = |entry: &Unanswered| now.since(entry.last_at) < PROBE_INTERVAL;
        self.is_silent(agent, now) && self.0.get(&agent).is_some_and(just_asked)
    }
}

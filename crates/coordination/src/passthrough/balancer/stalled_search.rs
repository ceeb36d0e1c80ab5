//! Whom a search for a flow's owner waits for, for those who look for the cause
//! of a caller's wait.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

use super::Balancer;
use super::search::Candidate;
use super::search::Search;
use crate::passthrough::view::View;

/// Age from which a search is told of.
const LONG: Duration = Duration::from_millis(500);

/// Time between two times that one search is told of.
const TELL_AGAIN: Duration = Duration::from_millis(1000);

/// Agents that are told of by name.
const NAMED_AGENTS: usize = 4;

/// A search that has not ended for long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StalledSearch {
    /// Since the first question.
    pub waited: Duration,
    /// Holders whose servers do not have the flow.
    pub denied_count: usize,
    /// Holders that have neither denied it nor count as gone.
    pub pending_count: usize,
    /// Some of them.
    pub pending_sample: Vec<PendingHolder>,
    /// Why nobody is reset even when none is left.
    pub view_uncertainty: Option<ViewUncertainty>,
}

/// One holder that a search waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingHolder {
    /// Its agent.
    pub agent: Ipv4Addr,
    /// Why it has not denied the flow.
    pub reason: PendingReason,
}

/// Why a holder has not denied a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PendingReason {
    /// Its server is listed, and its agent has said nothing since it was asked.
    Silent,
    /// Its agent answers, but only its server can tell.
    Unsure,
    /// Its agent answers, but not for this flow.
    Unanswered,
    /// Its server is not listed, and its agent has said nothing since it was asked.
    UnlistedSilent,
    /// Its server is not listed, and its agent gives signs of life.
    UnlistedHeard,
}

/// Why there may be holders that a balancer does not know of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ViewUncertainty {
    /// An agent knows more than the view.
    Behind,
    /// The platform has not answered for long enough.
    Unsettled,
    /// The process may have started while records of living servers were missing.
    MissedRecords,
}

impl Balancer {
    /// What a search waits for, if it has gone on for long and was not told of
    /// lately.
    pub fn stalled_search(
        &mut self,
        view: &View,
        now: Millis,
        flow: &FlowKey,
    ) -> Option<StalledSearch> {
        let search = self.searches.get_mut(flow)?;
        let waited = search.waited(now);
        if waited < LONG || search.told_at.is_some_and(|at| now.since(at) < TELL_AGAIN) {
            return None;
        }
        search.told_at = Some(now);
        let search = self.searches.get(flow)?;
        let left = self.candidates(view, now, flow);
        let left = left
            .into_iter()
            .filter(|c| !self.counts_as_gone(view, now, search, c.agent));
        let left: Vec<Candidate> = left.collect();
        let named = left.iter().take(NAMED_AGENTS);
        Some(StalledSearch {
            waited,
            denied_count: search.denied.len(),
            pending_count: left.len(),
            pending_sample: named.map(|c| self.holdout(search, c)).collect(),
            view_uncertainty: self.view_uncertainty(view, now),
        })
    }

    fn holdout(&self, search: &Search, candidate: &Candidate) -> PendingHolder {
        let agent = candidate.agent;
        let asked_at = search.first_asked_at();
        let heard = asked_at.is_some_and(|at| self.loads.heard_from_since(agent, at));
        let reason = match (candidate.listed, heard) {
            (false, false) => PendingReason::UnlistedSilent,
            (false, true) => PendingReason::UnlistedHeard,
            (true, false) => PendingReason::Silent,
            (true, true) if search.is_unsure(agent) => PendingReason::Unsure,
            (true, true) => PendingReason::Unanswered,
        };
        PendingHolder { agent, reason }
    }
}

//! Reports on owner searches that take long: which holders a search still waits
//! for, and why it can't end. Operators read them in the log and in the metrics to
//! find out why a caller waits.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

use super::Balancer;
use super::search::Candidate;
use super::search::Search;
use crate::passthrough::view::View;

/// Time after its first query from which a search is reported.
const STALLED_AFTER: Duration = Duration::from_millis(500);

/// Shortest time between two reports on one search.
const REPORT_INTERVAL: Duration = Duration::from_millis(1000);

/// Largest number of pending holders that a report names.
const SAMPLE_AGENTS: usize = 4;

/// Report on a search that has not ended for a long time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StalledSearch {
    /// Time since the first query.
    pub waited: Duration,
    /// Number of holders that have denied the flow.
    pub denied_count: usize,
    /// Number of holders that have neither denied the flow nor count as gone.
    pub pending_count: usize,
    /// The first few of these pending holders.
    pub pending_sample: Vec<PendingHolder>,
    /// Why the caller would not be reset even if no holder were pending.
    pub view_uncertainty: Option<ViewUncertainty>,
}

/// A holder that a search waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingHolder {
    /// Address of the holder's agent.
    pub agent: Ipv4Addr,
    /// Why the holder has not denied the flow.
    pub reason: PendingReason,
}

/// Why a holder has not denied a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PendingReason {
    /// The server is listed, and its agent has sent nothing since it was asked.
    Silent,
    /// The agent has replied that only its server can tell.
    Unsure,
    /// The agent has sent messages since it was asked, but no reply for this flow.
    Unanswered,
    /// The server is unlisted, and its agent has sent nothing since it was asked.
    UnlistedSilent,
    /// The server is unlisted, and its agent has sent messages since it was asked.
    UnlistedHeard,
}

/// Why a balancer may not know all holders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ViewUncertainty {
    /// An agent has reported a newer revision than the view's.
    Behind,
    /// The platform does not answer, or has answered again only for a short time:
    /// running servers may be missing from its listing.
    Unsettled,
    /// The process may have started while the platform lacked records of running
    /// servers.
    MissedRecords,
}

impl Balancer {
    /// Report on the search for a flow's owner, if it has taken long and was not
    /// reported within the last second.
    pub fn stalled_search(
        &mut self,
        view: &View,
        now: Millis,
        flow: &FlowKey,
    ) -> Option<StalledSearch> {
        let search = self.searches.get_mut(flow)?;
        let waited = search.waited(now);
        if waited < STALLED_AFTER
            || search
                .reported_at
                .is_some_and(|at| now.since(at) < REPORT_INTERVAL)
        {
            return None;
        }
        search.reported_at = Some(now);
        let search = self.searches.get(flow)?;
        let pending = self.candidates(view, now, flow);
        let pending = pending
            .into_iter()
            .filter(|c| !self.counts_as_gone(view, now, search, c.agent));
        let pending: Vec<Candidate> = pending.collect();
        let sample = pending.iter().take(SAMPLE_AGENTS);
        Some(StalledSearch {
            waited,
            denied_count: search.denied.len(),
            pending_count: pending.len(),
            pending_sample: sample.map(|c| self.pending_holder(search, c)).collect(),
            view_uncertainty: self.view_uncertainty(view, now),
        })
    }

    fn pending_holder(&self, search: &Search, candidate: &Candidate) -> PendingHolder {
        let agent = candidate.agent;
        let first_query_at = search.first_query_at();
        let heard = first_query_at.is_some_and(|at| self.loads.heard_from_since(agent, at));
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

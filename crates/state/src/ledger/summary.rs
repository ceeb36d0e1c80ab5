//! Summary of one or more ledgers over a time window, and merging of summaries.
//!
//! [`Summary::merge`] is associative and commutative, with `Summary::default()` as
//! its identity element, so summaries of processes can be merged in any order.

use std::time::Duration;

use indexmap::IndexMap;

use crate::key::InstanceId;
use crate::key::ServiceId;
use crate::ledger::callers::TopCallers;
use crate::ledger::counts::ClassCounts;
use crate::ledger::counts::Counts;

/// Time window of a summary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// Length of the window, which ends now.
    pub lookback: Duration,
    /// Whether the summary includes counts by caller.
    pub callers: bool,
}

/// Service and backend server of a row of counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowKey {
    /// Service that the callers addressed.
    pub service: ServiceId,
    /// Agent of the backend server that handled the events; `None` for events that
    /// reached no backend server.
    pub server: Option<InstanceId>,
}

/// Counts of one or more ledgers over a window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Length of the requested window.
    pub asked: Duration,
    /// Length of the interval that one slice covers.
    pub step: Duration,
    /// Time covered by the ledger with the shortest coverage; `None` without a
    /// ledger.
    pub covered: Option<Duration>,
    /// Number of ledgers merged into the summary.
    pub ledgers: u64,
    /// Number of these ledgers whose process started within the window.
    pub started_within: u64,
    /// Number of events counted in `other` because a bucket had no free row.
    pub without_detail: u64,
    /// Number of events that were lost before they reached a ledger. No other
    /// count includes them.
    pub lost: u64,
    /// Counts by service and backend server.
    pub rows: IndexMap<RowKey, Counts>,
    /// Counts of events that have no row.
    pub other: Counts,
    /// Counts by caller.
    pub callers: TopCallers,
    /// Counts by time interval, newest first.
    pub slices: Vec<ClassCounts>,
}

impl Summary {
    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: &Summary) {
        self.asked = self.asked.max(other.asked);
        self.step = self.step.max(other.step);
        self.covered = min_some(self.covered, other.covered);
        self.ledgers = self.ledgers.saturating_add(other.ledgers);
        self.started_within = self.started_within.saturating_add(other.started_within);
        self.without_detail = self.without_detail.saturating_add(other.without_detail);
        self.lost = self.lost.saturating_add(other.lost);
        for (key, counts) in &other.rows {
            self.rows.entry(*key).or_default().merge(counts);
        }
        self.other.merge(&other.other);
        self.callers.merge(&other.callers);
        if self.slices.len() < other.slices.len() {
            self.slices
                .resize(other.slices.len(), ClassCounts::default());
        }
        for (mine, theirs) in self.slices.iter_mut().zip(&other.slices) {
            mine.merge(theirs);
        }
    }

    /// Sum of all counts.
    pub fn total(&self) -> Counts {
        let mut total = self.other;
        for counts in self.rows.values() {
            total.merge(counts);
        }
        total
    }

    /// Sum of the counts of one service that have a row.
    pub fn service(&self, service: ServiceId) -> Counts {
        let mut total = Counts::default();
        for (key, counts) in &self.rows {
            if key.service == service {
                total.merge(counts);
            }
        }
        total
    }

    /// Whether events of the window may be missing or have no row.
    pub fn has_gaps(&self) -> bool {
        let covers_less = self.covered.is_none_or(|covered| covered < self.asked);
        covers_less || self.started_within > 0 || self.without_detail > 0 || self.lost > 0
    }
}

fn min_some(a: Option<Duration>, b: Option<Duration>) -> Option<Duration> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

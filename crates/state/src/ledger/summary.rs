//! What ledgers tell about one window, and how such summaries add up.
//!
//! [`Summary::merge`] is associative and commutative and has
//! `Summary::default()` as its neutral element, so processes may be asked and
//! added in any order.

use std::time::Duration;

use indexmap::IndexMap;

use crate::key::InstanceId;
use crate::key::ServiceId;
use crate::ledger::callers::TopCallers;
use crate::ledger::counts::ClassCounts;
use crate::ledger::counts::Counts;

/// Time to look back over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// From this long ago until now.
    pub lookback: Duration,
    /// Whether callers are wanted.
    pub callers: bool,
}

/// Those whom a row of counts concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowKey {
    /// Service that was called.
    pub service: ServiceId,
    /// Backend server that had it; none when it reached none.
    pub server: Option<InstanceId>,
}

/// Counts of one or more ledgers over a window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Window that was asked for.
    pub asked: Duration,
    /// Time that one slice covers.
    pub step: Duration,
    /// Time covered by the ledger that covers least; none without a ledger.
    pub covered: Option<Duration>,
    /// Ledgers that were added up.
    pub ledgers: u64,
    /// Of these, those whose process started within the window.
    pub started_within: u64,
    /// Events counted in `other` for want of room.
    pub without_detail: u64,
    /// Events that never reached a ledger: they are in no count.
    pub lost: u64,
    /// Counts by service and backend server.
    pub rows: IndexMap<RowKey, Counts>,
    /// Counts of events whose row found no room.
    pub other: Counts,
    /// Counts by caller.
    pub callers: TopCallers,
    /// Counts by time, newest first.
    pub slices: Vec<ClassCounts>,
}

impl Summary {
    /// Adds what `other` tells.
    pub fn merge(&mut self, other: &Summary) {
        self.asked = self.asked.max(other.asked);
        self.step = self.step.max(other.step);
        self.covered = least(self.covered, other.covered);
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

    /// All counts together.
    pub fn total(&self) -> Counts {
        let mut total = self.other;
        for counts in self.rows.values() {
            total.merge(counts);
        }
        total
    }

    /// Counts of one service.
    pub fn service(&self, service: ServiceId) -> Counts {
        let mut total = Counts::default();
        for (key, counts) in &self.rows {
            if key.service == service {
                total.merge(counts);
            }
        }
        total
    }

    /// Whether the counts may miss events of the window.
    pub fn has_gaps(&self) -> bool {
        let short = self.covered.is_none_or(|covered| covered < self.asked);
        short || self.started_within > 0 || self.without_detail > 0 || self.lost > 0
    }
}

fn least(a: Option<Duration>, b: Option<Duration>) -> Option<Duration> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

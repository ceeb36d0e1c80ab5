//! Checks the system's invariants over the merged history of a run, and reports
//! violations and summary counts.
//!
//! Each check evaluates the whole history, so the result depends neither on the
//! order of the files nor on the order of events within one millisecond.

mod balance;
mod config;
mod flows;
mod index;
mod requests;
mod routing;
mod summary;

use std::fmt;

use serde::Serialize;

use crate::check::index::HistoryIndex;
use crate::history::Event;

pub use crate::check::summary::Summary;

/// Time within which a published change must be in use in every process, in
/// milliseconds.
pub const PROPAGATION_LIMIT_MS: u64 = 4000;

/// Property of the system that must hold throughout a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Invariant {
    /// An established flow survives, unless its data centre is taken out.
    FlowKept,
    /// A request reaches only servers of the service that it is addressed to.
    RightService,
    /// A server in cold start does not get more requests than its limit.
    ColdBearable,
    /// A data centre that is out of service gets no packets.
    DataCentreEmpty,
    /// A caller gets the complete response to its own request.
    RightAnswer,
    /// A request that was reported as not run did not run.
    NotRunIsTrue,
    /// A request that is not idempotent runs at most once.
    RunsOnce,
    /// A draining server gets no new work.
    LeavingGetsNothing,
    /// A published configuration is in use everywhere within the limit and is never
    /// reverted.
    ConfigHolds,
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Invariant::FlowKept => "an open flow broke though its data centre was in",
            Invariant::RightService => "a request reached a server of another service",
            Invariant::ColdBearable => "a server in cold start got more than it bore",
            Invariant::DataCentreEmpty => "a data centre that is out got a packet",
            Invariant::RightAnswer => "a caller got a wrong answer",
            Invariant::NotRunIsTrue => "a request ran that was told not to have run",
            Invariant::RunsOnce => "a request that is not idempotent ran twice",
            Invariant::LeavingGetsNothing => "a leaving server got new work",
            Invariant::ConfigHolds => "a configuration came late or reverted",
        })
    }
}

/// A violated invariant with the events that prove it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// Which invariant was violated.
    pub invariant: Invariant,
    /// The fewest events that show the violation, in order of time.
    pub events: Vec<Event>,
}

/// Result of checking a history.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckReport {
    /// All violations, ordered by invariant, then by their events.
    pub violations: Vec<Violation>,
    /// Counts over the whole history.
    pub summary: Summary,
}

/// Checks a history that [`crate::history::merge`] has sorted.
pub fn check_history(history: &[Event]) -> CheckReport {
    let index = HistoryIndex::build(history);
    let mut findings = Findings::default();
    flows::check(&index, &mut findings);
    requests::check(&index, &mut findings);
    routing::check(&index, &mut findings);
    config::check(&index, &mut findings);
    findings.summary.imbalance = balance::feed_imbalance(&index);
    findings.violations.sort();
    findings.summary.violations = findings.violations.len() as u64;
    CheckReport {
        violations: findings.violations,
        summary: findings.summary,
    }
}

/// Violations and counts collected so far.
#[derive(Default)]
struct Findings {
    violations: Vec<Violation>,
    summary: Summary,
}

impl Findings {
    fn add<'a>(&mut self, invariant: Invariant, events: impl IntoIterator<Item = &'a Event>) {
        let mut events: Vec<Event> = events.into_iter().cloned().collect();
        events.sort();
        self.violations.push(Violation { invariant, events });
    }
}

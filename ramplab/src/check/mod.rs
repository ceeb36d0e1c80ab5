//! The promises, judged over a merged history.
//!
//! Each judge looks at the whole history at once, so that the order of events
//! within one millisecond, and of the files, makes no difference.

mod balance;
mod config;
mod facts;
mod flows;
mod places;
mod requests;
mod summary;

use std::fmt;

use serde::Serialize;

use crate::check::facts::Facts;
use crate::history::Event;

pub use crate::check::summary::Summary;

/// Time for a published change to be in force everywhere, in milliseconds.
pub const PROPAGATION_LIMIT_MS: u64 = 4000;

/// A promise of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Invariant {
    /// An open flow survives, unless its data centre is taken out.
    FlowKept,
    /// A request reaches only servers of its service.
    RightService,
    /// A server in cold start gets no more than it bears.
    ColdBearable,
    /// A data centre that is out gets no packets.
    DataCentreEmpty,
    /// A caller gets the whole answer to its own request.
    RightAnswer,
    /// What was told not to have run did not run.
    NotRunIsTrue,
    /// What is not idempotent runs at most once.
    RunsOnce,
    /// A leaving server gets no new work.
    LeavingGetsNothing,
    /// An accepted configuration is in force soon and never reverts.
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

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// The promise.
    pub invariant: Invariant,
    /// The fewest events that show it, in order.
    pub events: Vec<Event>,
}

/// What a history shows.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckReport {
    /// Broken promises, in order.
    pub violations: Vec<Violation>,
    /// Counts over the whole history.
    pub summary: Summary,
}

/// Judges a history that [`crate::history::merge`] put in order.
pub fn check_history(history: &[Event]) -> CheckReport {
    let facts = Facts::gather(history);
    let mut findings = Findings::default();
    flows::judge(&facts, &mut findings);
    requests::judge(&facts, &mut findings);
    places::judge(&facts, &mut findings);
    config::judge(&facts, &mut findings);
    findings.summary.imbalance = balance::feeds_most_over_mean(&facts);
    findings.violations.sort();
    findings.summary.violations = findings.violations.len() as u64;
    CheckReport {
        violations: findings.violations,
        summary: findings.summary,
    }
}

/// What the judges have found so far.
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

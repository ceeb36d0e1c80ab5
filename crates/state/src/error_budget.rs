//! Error budgets, burn rates and multi-window alert rules.
//!
//! An objective of 99.9% has an error budget of one bad event in a thousand. A
//! burn rate of 1 spends exactly the budget; a burn rate of 14.4 for an hour
//! spends 2% of a month's budget. An alert needs its burn rate both over a long
//! window, so that a single failure does not raise it, and over a short one, so
//! that it ends soon after the failures do.
//!
//! Requests that failed through their caller count as neither good nor bad:
//! malformed requests, requests that the caller cancelled, and repeats of a request
//! that is still running.

use std::time::Duration;

use crate::ledger::counts::Counts;
use crate::ledger::event_kind::EventKind;
use crate::policy::Policy;
use crate::verdict::MayHaveRun;
use crate::verdict::NotRun;
use crate::verdict::Verdict;

const PPM: u32 = 1_000_000;

const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(3_600);
const DAY: Duration = Duration::from_secs(86_400);

/// Windows of the alert rules, shortest first.
pub const ALERT_WINDOWS: [Duration; 5] = [
    MINUTE.saturating_mul(5),
    MINUTE.saturating_mul(30),
    HOUR,
    HOUR.saturating_mul(6),
    DAY.saturating_mul(3),
];

/// How soon a person must respond to an alert.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// Immediately.
    Page,
    /// Within the working day.
    Ticket,
}

/// Alert condition over two windows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AlertRule {
    /// Long window, which shows that the failures are significant.
    pub long_window: Duration,
    /// Short window, which shows that the failures continue.
    pub short_window: Duration,
    /// Burn rate that must be reached over both windows.
    pub burn_rate: f64,
    /// How soon a person must respond.
    pub urgency: Urgency,
}

/// Alert rules, most urgent first.
pub const ALERT_RULES: [AlertRule; 3] = [
    AlertRule {
        long_window: ALERT_WINDOWS[2],
        short_window: ALERT_WINDOWS[0],
        burn_rate: 14.4,
        urgency: Urgency::Page,
    },
    AlertRule {
        long_window: ALERT_WINDOWS[3],
        short_window: ALERT_WINDOWS[1],
        burn_rate: 6.0,
        urgency: Urgency::Page,
    },
    AlertRule {
        long_window: ALERT_WINDOWS[4],
        short_window: ALERT_WINDOWS[3],
        burn_rate: 1.0,
        urgency: Urgency::Ticket,
    },
];

impl AlertRule {
    /// Whether the rule raises an alert, given the error budget over each window.
    pub fn fires(&self, budget_over: impl Fn(Duration) -> ErrorBudget) -> bool {
        budget_over(self.long_window).burn_rate() >= self.burn_rate
            && budget_over(self.short_window).burn_rate() >= self.burn_rate
    }
}

/// Error budget of one objective and how much of it is spent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ErrorBudget {
    /// Good and bad events.
    pub events: u64,
    /// Events that missed the objective.
    pub bad: u64,
    /// Bad events that the objective allows, in millionths of an event.
    pub allowed_ppm: u128,
}

impl ErrorBudget {
    /// Adds `events` with the same objective, of which `bad` missed it. An
    /// objective of 100% still allows one bad event in a million, so that the
    /// burn rate is finite.
    pub fn add(&mut self, events: u64, bad: u64, objective_ppm: u32) {
        let allowed_ppm = PPM.saturating_sub(objective_ppm).max(1);
        self.events = self.events.saturating_add(events);
        self.bad = self.bad.saturating_add(bad);
        self.allowed_ppm += u128::from(events) * u128::from(allowed_ppm);
    }

    /// Adds the events of `other`.
    pub fn merge(&mut self, other: &ErrorBudget) {
        self.events = self.events.saturating_add(other.events);
        self.bad = self.bad.saturating_add(other.bad);
        self.allowed_ppm += other.allowed_ppm;
    }

    /// Burn rate: bad events divided by allowed ones. Zero when there are no
    /// events.
    pub fn burn_rate(&self) -> f64 {
        if self.allowed_ppm == 0 {
            return 0.0;
        }
        self.bad as f64 * f64::from(PPM) / self.allowed_ppm as f64
    }

    /// Share of the error budget that is left; negative when it is overspent.
    pub fn budget_left(&self) -> f64 {
        1.0 - self.burn_rate()
    }
}

/// Error budgets of all objectives of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ErrorBudgets {
    /// Requests; bad when refused or cut.
    pub served: ErrorBudget,
    /// Served requests; bad when answered later than the objective.
    pub answered: ErrorBudget,
    /// Ended flows; bad when broken. Flows given up with a data centre count as
    /// good, because operators chose to take it out.
    pub unbroken: ErrorBudget,
}

impl ErrorBudgets {
    /// Adds `counts` under the objectives in `policy`. No sum may overflow:
    /// counts also come from other processes and may be arbitrarily large.
    pub fn add(&mut self, counts: &Counts, policy: &Policy) {
        let classes = counts.classes();
        let objective = policy.served_objective_ppm;

        let caused = caused_by_caller(counts);
        let requests = classes.requests().saturating_sub(caused);
        let unserved = requests.saturating_sub(classes.served);
        self.served.add(requests, unserved, objective);

        let in_time = counts.answered_within(policy.answer_objective);
        let late = classes.served.saturating_sub(in_time);
        self.answered.add(classes.served, late, objective);

        let unbroken = classes.ended.saturating_add(classes.given_up);
        let ended = unbroken.saturating_add(classes.broken);
        self.unbroken.add(ended, classes.broken, objective);
    }

    /// Adds the events of `other`, objective by objective.
    pub fn merge(&mut self, other: &ErrorBudgets) {
        self.served.merge(&other.served);
        self.answered.merge(&other.answered);
        self.unbroken.merge(&other.unbroken);
    }
}

/// Number of requests whose failure their caller caused.
fn caused_by_caller(counts: &Counts) -> u64 {
    counts
        .kinds()
        .filter(|(kind, _)| is_caused_by_caller(*kind))
        .fold(0, |sum, (_, n)| sum.saturating_add(n))
}

/// Whether the caller caused an event of this kind. The match is exhaustive, so
/// that each new reason must be classified here.
fn is_caused_by_caller(kind: EventKind) -> bool {
    match kind {
        EventKind::Request(Verdict::NotRun(reason)) => match reason {
            NotRun::BadRequest | NotRun::KeyRunning | NotRun::CallerLeft => true,
            NotRun::Overloaded
            | NotRun::Cold
            | NotRun::Leaving
            | NotRun::NoServer
            | NotRun::DeadlinePassed
            | NotRun::RetryBudgetSpent
            | NotRun::ServerRefused
            | NotRun::DataCentreOut => false,
        },
        EventKind::Request(Verdict::MayHaveRun(reason)) => match reason {
            MayHaveRun::CallerLeft | MayHaveRun::KeyRunning => true,
            MayHaveRun::ServerLost
            | MayHaveRun::DeadlinePassed
            | MayHaveRun::DrainLimitPassed
            | MayHaveRun::DataCentreOut
            | MayHaveRun::KeyUnknown
            | MayHaveRun::PeerLost => false,
        },
        EventKind::Request(Verdict::Served) | EventKind::FlowOpened | EventKind::FlowEnded(_) => {
            false
        }
    }
}

//! Service-level burn: how fast the share of failures that the objectives
//! allow is being spent.
//!
//! An objective of 99.9% allows one bad event in a thousand. A burn rate of 1
//! spends exactly that; a rate of 14.4 over an hour spends two per cent of a
//! month's budget. An alert needs the rate over a long window, so that a
//! single failure does not raise it, and over a short one, so that it ends
//! soon after the failures do.
//!
//! What a caller did itself is neither good nor bad: malformed requests,
//! requests it left, and repeats of a request that is still running.

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

/// Windows that the alert rules look at, shortest first.
pub const ALERT_WINDOWS: [Duration; 5] = [
    MINUTE.saturating_mul(5),
    MINUTE.saturating_mul(30),
    HOUR,
    HOUR.saturating_mul(6),
    DAY.saturating_mul(3),
];

/// How soon a person should look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// At once.
    Page,
    /// Within the working day.
    Ticket,
}

/// Alert condition over two windows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AlertRule {
    /// Long window, which shows that the failures matter.
    pub long_window: Duration,
    /// Short window, which shows that they go on.
    pub short_window: Duration,
    /// Burn rate that both windows must reach.
    pub burn_rate: f64,
    /// How soon a person should look.
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
    /// Whether the rule raises an alert, given what was spent over a window.
    pub fn fires(&self, spent: impl Fn(Duration) -> ErrorBudget) -> bool {
        spent(self.long_window).burn_rate() >= self.burn_rate
            && spent(self.short_window).burn_rate() >= self.burn_rate
    }
}

/// Events of one objective and how many of them were bad.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ErrorBudget {
    /// Events that count.
    pub events: u64,
    /// Events that missed the objective.
    pub bad: u64,
    /// Bad events that the objectives allow, in millionths of an event.
    pub allowed_ppm: u128,
}

impl ErrorBudget {
    /// Adds events that share one objective. An objective of all events still
    /// allows one in a million, so that a rate can be told.
    pub fn add(&mut self, events: u64, bad: u64, objective_ppm: u32) {
        let allowed_ppm = PPM.saturating_sub(objective_ppm).max(1);
        self.events = self.events.saturating_add(events);
        self.bad = self.bad.saturating_add(bad);
        self.allowed_ppm += u128::from(events) * u128::from(allowed_ppm);
    }

    /// Adds what `other` spent.
    pub fn merge(&mut self, other: &ErrorBudget) {
        self.events = self.events.saturating_add(other.events);
        self.bad = self.bad.saturating_add(other.bad);
        self.allowed_ppm += other.allowed_ppm;
    }

    /// Burn rate: 1 spends exactly what the objective allows. Zero without
    /// events.
    pub fn burn_rate(&self) -> f64 {
        if self.allowed_ppm == 0 {
            return 0.0;
        }
        self.bad as f64 * f64::from(PPM) / self.allowed_ppm as f64
    }

    /// Share of the budget of these events that is left; negative when more
    /// than all of it is spent.
    pub fn budget_left(&self) -> f64 {
        1.0 - self.burn_rate()
    }
}

/// What was spent of each objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ErrorBudgets {
    /// Requests served rather than refused or cut.
    pub served: ErrorBudget,
    /// Served requests answered within the answer objective.
    pub answered: ErrorBudget,
    /// Flows that ended unbroken. Those given up with a data centre are
    /// unbroken: operators chose it.
    pub unbroken: ErrorBudget,
}

impl ErrorBudgets {
    /// Adds `counts`, judged by the objectives in `policy`. Counts come from
    /// other processes too, so no sum may overflow.
    pub fn add(&mut self, counts: &Counts, policy: &Policy) {
        let classes = counts.classes();
        let objective = policy.served_objective_ppm;

        let own = callers_own(counts);
        let requests = classes.requests().saturating_sub(own);
        let unserved = requests.saturating_sub(classes.served);
        self.served.add(requests, unserved, objective);

        let in_time = counts.answered_within(policy.answer_objective);
        let late = classes.served.saturating_sub(in_time);
        self.answered.add(classes.served, late, objective);

        let unbroken = classes.ended.saturating_add(classes.given_up);
        let ended = unbroken.saturating_add(classes.broken);
        self.unbroken.add(ended, classes.broken, objective);
    }

    /// Adds what `other` spent.
    pub fn merge(&mut self, other: &ErrorBudgets) {
        self.served.merge(&other.served);
        self.answered.merge(&other.answered);
        self.unbroken.merge(&other.unbroken);
    }
}

/// Requests that ended as they did through their caller alone.
fn callers_own(counts: &Counts) -> u64 {
    counts
        .kinds()
        .filter(|(kind, _)| is_callers_own(*kind))
        .fold(0, |sum, (_, n)| sum.saturating_add(n))
}

/// Exhaustive, so that a new reason must be judged.
fn is_callers_own(kind: EventKind) -> bool {
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

//! Data model of the report, which the text, JSON and HTML forms show.
//!
//! Field names are those of the JSON form; times are in milliseconds.

use std::net::Ipv4Addr;

use ramp_state::ledger::counts::ClassCounts;
use serde::Serialize;

use crate::report::gap::Gap;

/// A report over one window.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Requested window.
    pub window_ms: u64,
    /// Part of the window that all answers cover; `None` without answers.
    pub covered_ms: Option<u64>,
    /// Version of the fleet document used; `None` without one.
    pub config: Option<u64>,
    /// Number of processes queried.
    pub asked: usize,
    /// Number of processes that answered.
    pub answered: usize,
    /// Whether events may be missing, so that totals are lower bounds.
    pub at_least: bool,
    /// Missing or unreliable data.
    pub gaps: Vec<Gap>,
    /// Counts of all requests and flows.
    pub total: GroupLine,
    /// Counts by service.
    pub services: Vec<GroupLine>,
    /// Counts by data centre.
    pub data_centres: Vec<GroupLine>,
    /// Counts by backend server.
    pub servers: Vec<GroupLine>,
    /// Counts by caller.
    pub callers: CallerTable,
    /// Exceptions in force.
    pub exceptions: Vec<ExceptionLine>,
    /// Burn of the error budgets, by service and objective.
    pub burn: Vec<ObjectiveLine>,
    /// Length of one entry of `slices`.
    pub step_ms: u64,
    /// Counts by time, newest first.
    pub slices: Vec<Tally>,
    /// Histogram of the answer times of served requests.
    pub answer_times: Vec<AnswerBucket>,
}

/// Counts of requests and flows by outcome.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Tally {
    /// Requests served.
    pub served: u64,
    /// Requests refused, which have not run.
    pub not_run: u64,
    /// Requests cut off, which may have run.
    pub may_have_run: u64,
    /// Requests whose caller disconnected before the end, such as feeds.
    pub left: u64,
    /// Flows opened.
    pub flows: u64,
    /// Flows ended because their data centre was taken out.
    pub given_up: u64,
    /// Flows broken: closed at the drain limit, or reset because no live agent knew
    /// them.
    pub broken: u64,
}

/// Counts of one group, such as a service or a data centre.
#[derive(Debug, Serialize)]
pub struct GroupLine {
    /// Name of the service, data centre or backend server.
    pub name: String,
    /// Counts of the group by outcome.
    #[serde(flatten)]
    pub tally: Tally,
    /// Reasons why requests and flows were not served, most frequent first.
    pub why: Vec<ReasonCount>,
    /// Median answer time of served requests.
    pub answer_p50_ms: Option<u64>,
    /// 99th percentile of the answer time of served requests.
    pub answer_p99_ms: Option<u64>,
}

/// Number of requests or flows that were not served for one reason.
#[derive(Clone, Debug, Serialize)]
pub struct ReasonCount {
    /// Outcome that the reason belongs to.
    pub what: OutcomeKind,
    /// The reason, as text.
    pub reason: String,
    /// Number of requests or flows.
    pub count: u64,
}

/// Outcome of a request that was not served or a flow that was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeKind {
    /// The request was refused and has not run.
    NotRun,
    /// The request was cut off and may have run.
    MayHaveRun,
    /// The caller disconnected before the end of the request.
    Left,
    /// The flow ended because its data centre was taken out.
    GivenUp,
    /// The flow broke: it was closed at the drain limit, or reset because no live
    /// agent knew it.
    Broken,
}

/// Counts of the callers with the most events, and of all others together.
#[derive(Debug, Serialize)]
pub struct CallerTable {
    /// Callers with the most events, in descending order.
    pub top: Vec<CallerLine>,
    /// Counts of all other callers, and events of the callers in `top` from times
    /// when they were not counted individually.
    pub others: Tally,
}

/// Counts of one caller.
#[derive(Debug, Serialize)]
pub struct CallerLine {
    /// Its address.
    pub caller: Ipv4Addr,
    /// Lower bound of its counts.
    #[serde(flatten)]
    pub tally: Tally,
    /// Maximum number of its events that `others` may include.
    pub up_to_more: u64,
}

/// One exception in force.
#[derive(Debug, Serialize)]
pub struct ExceptionLine {
    /// Its name.
    pub name: String,
    /// Its scope, as text.
    pub covers: String,
    /// Its reason, as written in the fleet document.
    pub reason: String,
    /// Number of backend servers that it covers.
    pub servers: usize,
    /// Settings that it changes.
    pub changes: Vec<ChangeLine>,
    /// Counts of what it covers.
    #[serde(flatten)]
    pub tally: Tally,
}

/// One setting that an exception changes.
#[derive(Debug, Serialize)]
pub struct ChangeLine {
    /// Key of the setting.
    pub key: String,
    /// Unit of the values.
    pub unit: &'static str,
    /// Default value.
    pub default: u32,
    /// Value that the exception sets.
    pub value: u32,
    /// Number of covered backend servers at which this value is in force; other
    /// exceptions may override it.
    pub in_force_at: usize,
}

/// Error budget of one objective of one service.
#[derive(Debug, Serialize)]
pub struct ObjectiveLine {
    /// Name of the service.
    pub service: String,
    /// Objective that the budget belongs to.
    pub objective: Objective,
    /// Fraction of the error budget that is left over the longest window;
    /// negative when it is overspent.
    pub budget_left: f64,
    /// Burn rate over each window, shortest window first.
    pub windows: Vec<WindowBurn>,
    /// Alerts that fire, most urgent first.
    pub alerts: Vec<AlertLine>,
}

/// A service-level objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// Requests are served.
    Served,
    /// Served requests are answered in time.
    Answered,
    /// Flows end without being broken.
    Unbroken,
}

/// Burn rate over one window.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct WindowBurn {
    /// Length of the window.
    pub window_ms: u64,
    /// Part of the window that all answers cover; `None` without answers.
    pub covered_ms: Option<u64>,
    /// Number of events that the objective applies to.
    pub events: u64,
    /// Number of events that missed the objective.
    pub bad: u64,
    /// Burn rate; at 1 the error budget is spent exactly as fast as allowed.
    pub rate: f64,
}

/// An alert that fires.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct AlertLine {
    /// Whether it has to page someone, rather than wait for the working day.
    pub page: bool,
    /// Long window of the alert rule.
    pub long_ms: u64,
    /// Short window of the alert rule.
    pub short_ms: u64,
    /// Threshold that the burn rate reached in both windows.
    pub rate: f64,
}

/// Histogram bucket of answer times.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct AnswerBucket {
    /// Inclusive upper bound; `None` for the last bucket.
    pub up_to_ms: Option<u64>,
    /// Number of served requests.
    pub count: u64,
}

impl From<ClassCounts> for Tally {
    fn from(classes: ClassCounts) -> Tally {
        Tally {
            served: classes.served,
            not_run: classes.not_run,
            may_have_run: classes.may_have_run,
            left: classes.left,
            flows: classes.flows,
            given_up: classes.given_up,
            broken: classes.broken,
        }
    }
}

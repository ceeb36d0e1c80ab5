//! The report as data: what the text, the JSON and the page show.
//!
//! Field names are those of the JSON form; times are in milliseconds.

use std::net::Ipv4Addr;

use ramp_state::ledger::counts::ClassCounts;
use serde::Serialize;

use crate::report::gap::Gap;

/// Everything that a report tells.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Window asked for.
    pub window_ms: u64,
    /// Time covered by the process that covers least; none without results.
    pub covered_ms: Option<u64>,
    /// Configuration version of the fleet document used; none without one.
    pub config: Option<u64>,
    /// Processes asked.
    pub asked: usize,
    /// Processes that answered.
    pub answered: usize,
    /// Whether events may be missing, so that totals are lower bounds.
    pub at_least: bool,
    /// OutcomeKind is missing or in doubt.
    pub gaps: Vec<Gap>,
    /// Everything together.
    pub total: GroupLine,
    /// By service.
    pub services: Vec<GroupLine>,
    /// By data centre.
    pub data_centres: Vec<GroupLine>,
    /// By backend server.
    pub servers: Vec<GroupLine>,
    /// By caller.
    pub callers: CallerTable,
    /// Exceptions in force.
    pub exceptions: Vec<ExceptionLine>,
    /// Service-level burn, by service and objective.
    pub burn: Vec<ObjectiveLine>,
    /// Time that one entry of `slices` covers.
    pub step_ms: u64,
    /// Everything by time, newest first.
    pub slices: Vec<Tally>,
    /// Served requests by answer time.
    pub answer_times: Vec<AnswerBucket>,
}

/// Numbers of requests and flows.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Tally {
    /// Requests served.
    pub served: u64,
    /// Requests refused: not run.
    pub not_run: u64,
    /// Requests cut: may have run.
    pub may_have_run: u64,
    /// Requests left by their caller before their end, such as feeds.
    pub left: u64,
    /// Flows opened.
    pub flows: u64,
    /// Flows given up with their data centre.
    pub given_up: u64,
    /// Flows broken.
    pub broken: u64,
}

/// Counts of those who share a name, with the reasons.
#[derive(Debug, Serialize)]
pub struct GroupLine {
    /// Name of the service, data centre or backend server.
    pub name: String,
    /// OutcomeKind they got.
    #[serde(flatten)]
    pub tally: Tally,
    /// ReasonCount some were not served, most frequent first.
    pub why: Vec<ReasonCount>,
    /// Half of the results took at most this long.
    pub answer_p50_ms: Option<u64>,
    /// 99% of the results took at most this long.
    pub answer_p99_ms: Option<u64>,
}

/// A reason and how often it was given.
#[derive(Clone, Debug, Serialize)]
pub struct ReasonCount {
    /// OutcomeKind happened.
    pub what: OutcomeKind,
    /// Reason in words.
    pub reason: String,
    /// How often.
    pub count: u64,
}

/// OutcomeKind can happen to a request or flow that is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeKind {
    /// Request refused.
    NotRun,
    /// Request cut.
    MayHaveRun,
    /// Request left by its caller.
    Left,
    /// Flow given up.
    GivenUp,
    /// Flow broken.
    Broken,
}

/// Callers with the most events, and the others together.
#[derive(Debug, Serialize)]
pub struct CallerTable {
    /// Callers with the most events, first.
    pub top: Vec<CallerLine>,
    /// All other callers, and what could not be told apart.
    pub others: Tally,
}

/// One caller.
#[derive(Debug, Serialize)]
pub struct CallerLine {
    /// Its address.
    pub caller: Ipv4Addr,
    /// OutcomeKind it surely got.
    #[serde(flatten)]
    pub tally: Tally,
    /// Events among those of the others that may be its own too.
    pub up_to_more: u64,
}

/// One exception in force.
#[derive(Debug, Serialize)]
pub struct ExceptionLine {
    /// Its name.
    pub name: String,
    /// OutcomeKind it covers, in words.
    pub covers: String,
    /// ReasonCount it exists, as written.
    pub reason: String,
    /// Number of backend servers covered.
    pub servers: usize,
    /// OutcomeKind it changes.
    pub changes: Vec<ChangeLine>,
    /// OutcomeKind those covered got.
    #[serde(flatten)]
    pub tally: Tally,
}

/// One setting that an exception changes.
#[derive(Debug, Serialize)]
pub struct ChangeLine {
    /// The key.
    pub key: String,
    /// Unit of the values.
    pub unit: &'static str,
    /// Value in the defaults.
    pub default: u32,
    /// Value by the exception.
    pub value: u32,
    /// Backend servers covered where this value is the resulting one.
    pub in_force_at: usize,
}

/// Burn of one objective of one service.
#[derive(Debug, Serialize)]
pub struct ObjectiveLine {
    /// Name of the service.
    pub service: String,
    /// The objective.
    pub objective: Objective,
    /// Share of the budget left over the longest window; negative when more
    /// than all of it is spent.
    pub budget_left: f64,
    /// Burn over each window, shortest first.
    pub windows: Vec<WindowBurn>,
    /// Alerts raised, most urgent first.
    pub alerts: Vec<AlertLine>,
}

/// An objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// Requests are served.
    Served,
    /// Served requests are answered in time.
    Answered,
    /// Flows stay unbroken.
    Unbroken,
}

/// Burn over one window.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct WindowBurn {
    /// The window.
    pub window_ms: u64,
    /// Time covered by the process that covers least.
    pub covered_ms: Option<u64>,
    /// Events that count.
    pub events: u64,
    /// Events that missed the objective.
    pub bad: u64,
    /// Burn rate; 1 spends exactly what the objective allows.
    pub rate: f64,
}

/// An alert raised.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct AlertLine {
    /// Whether it can't wait until the working day.
    pub page: bool,
    /// Its long window.
    pub long_ms: u64,
    /// Its short window.
    pub short_ms: u64,
    /// Burn rate that both reached.
    pub rate: f64,
}

/// Served requests of one answer-time bucket.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct AnswerBucket {
    /// Upper bound; none for the last bucket.
    pub up_to_ms: Option<u64>,
    /// Number of requests.
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

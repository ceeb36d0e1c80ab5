//! Kinds of ledger events, numbered without gaps so that counts by kind fit into an
//! array, and the classes that group them.

use std::fmt;

use crate::outcome::FlowEnd;
use crate::outcome::Outcome;
use crate::verdict::MayHaveRun;
use crate::verdict::NotRun;
use crate::verdict::Verdict;

/// Kind of a ledger event: its outcome without the response time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EventKind {
    /// A request ended.
    Request(Verdict),
    /// A flow was opened.
    FlowOpened,
    /// A flow ended.
    FlowEnded(FlowEnd),
}

/// Class of events that reports show.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EventClass {
    /// Request served.
    Served,
    /// Request refused: it did not run.
    NotRun,
    /// Request cut off: it may have run.
    MayHaveRun,
    /// Request whose caller disconnected before its end.
    Left,
    /// Flow opened.
    Opened,
    /// Flow given up with its data centre.
    GivenUp,
    /// Flow broken: closed at the drain limit, or reset because no live agent
    /// knew it.
    Broken,
    /// Flow ended by its caller or backend server.
    Ended,
}

/// Number of event kinds.
pub const KIND_COUNT: usize = 26;

/// All event kinds, each at its index.
pub const ALL: [EventKind; KIND_COUNT] = [
    EventKind::Request(Verdict::Served),
    EventKind::Request(Verdict::NotRun(NotRun::Overloaded)),
    EventKind::Request(Verdict::NotRun(NotRun::Cold)),
    EventKind::Request(Verdict::NotRun(NotRun::Leaving)),
    EventKind::Request(Verdict::NotRun(NotRun::NoServer)),
    EventKind::Request(Verdict::NotRun(NotRun::DeadlinePassed)),
    EventKind::Request(Verdict::NotRun(NotRun::RetryBudgetSpent)),
    EventKind::Request(Verdict::NotRun(NotRun::BadRequest)),
    EventKind::Request(Verdict::NotRun(NotRun::KeyRunning)),
    EventKind::Request(Verdict::NotRun(NotRun::ServerRefused)),
    EventKind::Request(Verdict::NotRun(NotRun::DataCentreOut)),
    EventKind::Request(Verdict::MayHaveRun(MayHaveRun::ServerLost)),
    EventKind::Request(Verdict::MayHaveRun(MayHaveRun::DeadlinePassed)),
    EventKind::Request(Verdict::MayHaveRun(MayHaveRun::CallerLeft)),
    EventKind::Request(Verdict::MayHaveRun(MayHaveRun::DrainLimitPassed)),
    EventKind::Request(Verdict::MayHaveRun(MayHaveRun::DataCentreOut)),
    EventKind::Request(Verdict::MayHaveRun(MayHaveRun::KeyUnknown)),
    EventKind::Request(Verdict::MayHaveRun(MayHaveRun::PeerLost)),
    EventKind::FlowOpened,
    EventKind::FlowEnded(FlowEnd::Closed),
    EventKind::FlowEnded(FlowEnd::CallerLeft),
    EventKind::FlowEnded(FlowEnd::GivenUp),
    EventKind::FlowEnded(FlowEnd::DrainLimitPassed),
    EventKind::FlowEnded(FlowEnd::OwnerLost),
    EventKind::Request(Verdict::NotRun(NotRun::CallerLeft)),
    EventKind::Request(Verdict::MayHaveRun(MayHaveRun::KeyRunning)),
];

impl EventKind {
    /// Kind of `outcome`.
    pub fn of(outcome: &Outcome) -> EventKind {
        match outcome {
            Outcome::Request { verdict, .. } => EventKind::Request(*verdict),
            Outcome::FlowOpened => EventKind::FlowOpened,
            Outcome::FlowEnded(end) => EventKind::FlowEnded(*end),
        }
    }

    /// Index in [`ALL`]. The match is exhaustive, so that each new reason must get
    /// an index.
    pub fn index(self) -> usize {
        match self {
            EventKind::Request(Verdict::Served) => 0,
            EventKind::Request(Verdict::NotRun(reason)) => not_run_index(reason),
            EventKind::Request(Verdict::MayHaveRun(reason)) => may_have_run_index(reason),
            EventKind::FlowOpened => 18,
            EventKind::FlowEnded(FlowEnd::Closed) => 19,
            EventKind::FlowEnded(FlowEnd::CallerLeft) => 20,
            EventKind::FlowEnded(FlowEnd::GivenUp) => 21,
            EventKind::FlowEnded(FlowEnd::DrainLimitPassed) => 22,
            EventKind::FlowEnded(FlowEnd::OwnerLost) => 23,
        }
    }

    /// Class of this kind.
    pub fn class(self) -> EventClass {
        match self {
            EventKind::Request(Verdict::Served) => EventClass::Served,
            EventKind::Request(Verdict::NotRun(NotRun::CallerLeft)) => EventClass::Left,
            EventKind::Request(Verdict::NotRun(_)) => EventClass::NotRun,
            EventKind::Request(Verdict::MayHaveRun(MayHaveRun::CallerLeft)) => EventClass::Left,
            EventKind::Request(Verdict::MayHaveRun(_)) => EventClass::MayHaveRun,
            EventKind::FlowOpened => EventClass::Opened,
            EventKind::FlowEnded(FlowEnd::GivenUp) => EventClass::GivenUp,
            EventKind::FlowEnded(FlowEnd::DrainLimitPassed | FlowEnd::OwnerLost) => {
                EventClass::Broken
            }
            EventKind::FlowEnded(FlowEnd::Closed | FlowEnd::CallerLeft) => EventClass::Ended,
        }
    }
}

/// Displays the reason only, without the class.
impl fmt::Display for EventKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EventKind::Request(Verdict::Served) => write!(f, "the whole answer was sent"),
            EventKind::Request(Verdict::NotRun(reason)) => write!(f, "{reason}"),
            EventKind::Request(Verdict::MayHaveRun(reason)) => write!(f, "{reason}"),
            EventKind::FlowOpened => write!(f, "a caller connected"),
            EventKind::FlowEnded(end) => write!(f, "{}", describe_flow_end(*end)),
        }
    }
}

fn describe_flow_end(end: FlowEnd) -> &'static str {
    match end {
        FlowEnd::Closed => "closed in the ordinary way",
        FlowEnd::CallerLeft => "the caller reset it or fell silent",
        FlowEnd::GivenUp => "its data centre was taken out",
        FlowEnd::DrainLimitPassed => "cut at the drain limit",
        FlowEnd::OwnerLost => "no live agent knew it",
    }
}

fn not_run_index(reason: NotRun) -> usize {
    match reason {
        NotRun::Overloaded => 1,
        NotRun::Cold => 2,
        NotRun::Leaving => 3,
        NotRun::NoServer => 4,
        NotRun::DeadlinePassed => 5,
        NotRun::RetryBudgetSpent => 6,
        NotRun::BadRequest => 7,
        NotRun::KeyRunning => 8,
        NotRun::ServerRefused => 9,
        NotRun::DataCentreOut => 10,
        NotRun::CallerLeft => 24,
    }
}

fn may_have_run_index(reason: MayHaveRun) -> usize {
    match reason {
        MayHaveRun::ServerLost => 11,
        MayHaveRun::DeadlinePassed => 12,
        MayHaveRun::CallerLeft => 13,
        MayHaveRun::DrainLimitPassed => 14,
        MayHaveRun::DataCentreOut => 15,
        MayHaveRun::KeyUnknown => 16,
        MayHaveRun::PeerLost => 17,
        MayHaveRun::KeyRunning => 25,
    }
}

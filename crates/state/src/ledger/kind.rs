//! What can happen to a request or flow, as a dense index into tables.

use std::fmt;

use crate::outcome::FlowEnd;
use crate::outcome::Outcome;
use crate::verdict::MayHaveRun;
use crate::verdict::NotRun;
use crate::verdict::Verdict;

/// Kind of event, without its details.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// A request ended.
    Request(Verdict),
    /// A flow was opened.
    FlowOpened,
    /// A flow ended.
    FlowEnded(FlowEnd),
}

/// Class of events that a manager asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Class {
    /// Request served.
    Served,
    /// Request refused: not run.
    NotRun,
    /// Request cut: may have run.
    MayHaveRun,
    /// Request left by its caller before its end.
    Left,
    /// Flow opened.
    Opened,
    /// Flow given up with its data centre.
    GivenUp,
    /// Flow broken: cut at the drain limit, or reset because nobody knew it.
    Broken,
    /// Flow ended by its caller or backend server.
    Ended,
}

/// Number of kinds.
pub const KINDS: usize = 26;

/// Every kind, at its index.
pub const ALL: [Kind; KINDS] = [
    Kind::Request(Verdict::Served),
    Kind::Request(Verdict::NotRun(NotRun::Overloaded)),
    Kind::Request(Verdict::NotRun(NotRun::Cold)),
    Kind::Request(Verdict::NotRun(NotRun::Leaving)),
    Kind::Request(Verdict::NotRun(NotRun::NoServer)),
    Kind::Request(Verdict::NotRun(NotRun::DeadlinePassed)),
    Kind::Request(Verdict::NotRun(NotRun::RetryBudgetSpent)),
    Kind::Request(Verdict::NotRun(NotRun::BadRequest)),
    Kind::Request(Verdict::NotRun(NotRun::KeyRunning)),
    Kind::Request(Verdict::NotRun(NotRun::ServerRefused)),
    Kind::Request(Verdict::NotRun(NotRun::DataCentreOut)),
    Kind::Request(Verdict::MayHaveRun(MayHaveRun::ServerLost)),
    Kind::Request(Verdict::MayHaveRun(MayHaveRun::DeadlinePassed)),
    Kind::Request(Verdict::MayHaveRun(MayHaveRun::CallerLeft)),
    Kind::Request(Verdict::MayHaveRun(MayHaveRun::DrainLimitPassed)),
    Kind::Request(Verdict::MayHaveRun(MayHaveRun::DataCentreOut)),
    Kind::Request(Verdict::MayHaveRun(MayHaveRun::KeyUnknown)),
    Kind::Request(Verdict::MayHaveRun(MayHaveRun::PeerLost)),
    Kind::FlowOpened,
    Kind::FlowEnded(FlowEnd::Closed),
    Kind::FlowEnded(FlowEnd::CallerLeft),
    Kind::FlowEnded(FlowEnd::GivenUp),
    Kind::FlowEnded(FlowEnd::DrainLimitPassed),
    Kind::FlowEnded(FlowEnd::OwnerLost),
    Kind::Request(Verdict::NotRun(NotRun::CallerLeft)),
    Kind::Request(Verdict::MayHaveRun(MayHaveRun::KeyRunning)),
];

impl Kind {
    /// Kind of `outcome`.
    pub fn of(outcome: &Outcome) -> Kind {
        match outcome {
            Outcome::Request { verdict, .. } => Kind::Request(*verdict),
            Outcome::FlowOpened => Kind::FlowOpened,
            Outcome::FlowEnded(end) => Kind::FlowEnded(*end),
        }
    }

    /// Place in [`ALL`]. Exhaustive, so that a new reason can't be forgotten.
    pub fn index(self) -> usize {
        match self {
            Kind::Request(Verdict::Served) => 0,
            Kind::Request(Verdict::NotRun(reason)) => not_run_index(reason),
            Kind::Request(Verdict::MayHaveRun(reason)) => may_have_run_index(reason),
            Kind::FlowOpened => 18,
            Kind::FlowEnded(FlowEnd::Closed) => 19,
            Kind::FlowEnded(FlowEnd::CallerLeft) => 20,
            Kind::FlowEnded(FlowEnd::GivenUp) => 21,
            Kind::FlowEnded(FlowEnd::DrainLimitPassed) => 22,
            Kind::FlowEnded(FlowEnd::OwnerLost) => 23,
        }
    }

    /// Class that it belongs to.
    pub fn class(self) -> Class {
        match self {
            Kind::Request(Verdict::Served) => Class::Served,
            Kind::Request(Verdict::NotRun(NotRun::CallerLeft)) => Class::Left,
            Kind::Request(Verdict::NotRun(_)) => Class::NotRun,
            Kind::Request(Verdict::MayHaveRun(MayHaveRun::CallerLeft)) => Class::Left,
            Kind::Request(Verdict::MayHaveRun(_)) => Class::MayHaveRun,
            Kind::FlowOpened => Class::Opened,
            Kind::FlowEnded(FlowEnd::GivenUp) => Class::GivenUp,
            Kind::FlowEnded(FlowEnd::DrainLimitPassed | FlowEnd::OwnerLost) => Class::Broken,
            Kind::FlowEnded(FlowEnd::Closed | FlowEnd::CallerLeft) => Class::Ended,
        }
    }
}

/// The reason alone, in words.
impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Kind::Request(Verdict::Served) => write!(f, "the whole answer was sent"),
            Kind::Request(Verdict::NotRun(reason)) => write!(f, "{reason}"),
            Kind::Request(Verdict::MayHaveRun(reason)) => write!(f, "{reason}"),
            Kind::FlowOpened => write!(f, "a caller connected"),
            Kind::FlowEnded(end) => write!(f, "{}", end_in_words(*end)),
        }
    }
}

fn end_in_words(end: FlowEnd) -> &'static str {
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

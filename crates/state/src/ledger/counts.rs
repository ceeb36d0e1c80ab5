//! Event counters: by kind with answer times, and by class. All sums saturate.

use std::time::Duration;

use crate::ledger::answer_times::AnswerTimes;
use crate::ledger::event_kind;
use crate::ledger::event_kind::EventClass;
use crate::ledger::event_kind::EventKind;
use crate::ledger::event_kind::KIND_COUNT;
use crate::outcome::Outcome;
use crate::verdict::Verdict;

/// Event counts by kind, and a histogram of the answer times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    by_kind: [u64; KIND_COUNT],
    /// Answer times of the served requests.
    pub times: AnswerTimes,
}

impl Counts {
    /// Counts one event.
    pub fn add(&mut self, outcome: &Outcome) {
        self.add_many(EventKind::of(outcome), 1);
        if let Outcome::Request {
            verdict: Verdict::Served,
            took,
        } = outcome
        {
            self.times.add(*took);
        }
    }

    /// Counts `n` events of one kind, without answer times.
    pub fn add_many(&mut self, kind: EventKind, n: u64) {
        let count = &mut self.by_kind[kind.index()];
        *count = count.saturating_add(n);
    }

    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: &Counts) {
        for (x, y) in self.by_kind.iter_mut().zip(other.by_kind) {
            *x = x.saturating_add(y);
        }
        self.times.merge(&other.times);
    }

    /// Number of events of one kind.
    pub fn of(&self, kind: EventKind) -> u64 {
        self.by_kind[kind.index()]
    }

    /// Kinds that occurred, with their counts.
    pub fn kinds(&self) -> impl Iterator<Item = (EventKind, u64)> {
        event_kind::ALL
            .into_iter()
            .zip(self.by_kind)
            .filter(|(_, n)| *n > 0)
    }

    /// Counts of the same events by class.
    pub fn classes(&self) -> ClassCounts {
        let mut classes = ClassCounts::default();
        for (kind, n) in self.kinds() {
            classes.add(kind, n);
        }
        classes
    }

    /// Number of served requests answered within `limit`; see
    /// [`AnswerTimes::count_within`].
    pub fn answered_within(&self, limit: Duration) -> u64 {
        self.times.count_within(limit)
    }
}

/// Event counts by class, that is without the reasons.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Requests served.
    pub served: u64,
    /// Requests refused: they did not run.
    pub not_run: u64,
    /// Requests cut off: they may have run.
    pub may_have_run: u64,
    /// Requests whose caller disconnected before their end, such as feeds.
    pub left: u64,
    /// Flows opened.
    pub flows: u64,
    /// Flows given up with their data centre.
    pub given_up: u64,
    /// Flows broken: closed at the drain limit, or reset because no live agent
    /// knew them.
    pub broken: u64,
    /// Flows ended by their caller or backend server.
    pub ended: u64,
}

impl ClassCounts {
    /// Counts `n` events of one kind.
    pub fn add(&mut self, kind: EventKind, n: u64) {
        let count = self.class_mut(kind.class());
        *count = count.saturating_add(n);
    }

    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: &ClassCounts) {
        self.served = self.served.saturating_add(other.served);
        self.not_run = self.not_run.saturating_add(other.not_run);
        self.may_have_run = self.may_have_run.saturating_add(other.may_have_run);
        self.left = self.left.saturating_add(other.left);
        self.flows = self.flows.saturating_add(other.flows);
        self.given_up = self.given_up.saturating_add(other.given_up);
        self.broken = self.broken.saturating_add(other.broken);
        self.ended = self.ended.saturating_add(other.ended);
    }

    /// Number of requests of all classes.
    pub fn requests(&self) -> u64 {
        self.served
            .saturating_add(self.not_run)
            .saturating_add(self.may_have_run)
            .saturating_add(self.left)
    }

    /// Number of all events.
    pub fn events(&self) -> u64 {
        self.requests()
            .saturating_add(self.flows)
            .saturating_add(self.given_up)
            .saturating_add(self.broken)
            .saturating_add(self.ended)
    }

    fn class_mut(&mut self, class: EventClass) -> &mut u64 {
        match class {
            EventClass::Served => &mut self.served,
            EventClass::NotRun => &mut self.not_run,
            EventClass::MayHaveRun => &mut self.may_have_run,
            EventClass::Left => &mut self.left,
            EventClass::Opened => &mut self.flows,
            EventClass::GivenUp => &mut self.given_up,
            EventClass::Broken => &mut self.broken,
            EventClass::Ended => &mut self.ended,
        }
    }
}

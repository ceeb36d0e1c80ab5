//! Counters of a load run, printed as progress and, at the end, as JSON.

use std::fmt;

use serde::Serialize;

use crate::history::AnswerCheck;
use crate::history::FlowEnd;
use crate::history::ReportedOutcome;
use crate::history::RequestKind;

/// Counts since the start of the run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// Connections opened.
    pub flows_opened: u64,
    /// Connections that did not close normally.
    pub flows_broken: u64,
    /// Feeds open now.
    pub feeds_open: u64,
    /// Attempts sent; a retry counts as another attempt.
    pub requests_sent: u64,
    /// Attempts that got a response of a backend server.
    pub served: u64,
    /// Attempts reported as not run.
    pub not_run: u64,
    /// Attempts reported as possibly run.
    pub may_have_run: u64,
    /// Attempts that ended without a response.
    pub nothing_told: u64,
    /// Responses that differed from the expected ones.
    pub wrong: u64,
    /// Claims, uploads and balances that no attempt served.
    pub given_up: u64,
    /// Requests not sent because too many were in progress.
    pub held_back: u64,
    /// Claims served.
    pub claims: u64,
    /// Uploads served.
    pub uploads: u64,
    /// Balances served.
    pub balances: u64,
}

impl Counts {
    /// Counts the end of a connection.
    pub fn flow_ended(&mut self, end: FlowEnd) {
        self.flows_broken += u64::from(end != FlowEnd::Closed);
    }

    /// Counts the end of an attempt.
    pub fn attempt_ended(&mut self, kind: RequestKind, told: ReportedOutcome, answer: AnswerCheck) {
        self.wrong += u64::from(answer == AnswerCheck::Wrong);
        match told {
            ReportedOutcome::Served => self.served += 1,
            ReportedOutcome::NotRun => self.not_run += 1,
            ReportedOutcome::MayHaveRun => self.may_have_run += 1,
            ReportedOutcome::Nothing => self.nothing_told += 1,
        }
        if told != ReportedOutcome::Served {
            return;
        }
        match kind {
            RequestKind::Claim => self.claims += 1,
            RequestKind::Upload => self.uploads += 1,
            RequestKind::Balance => self.balances += 1,
            RequestKind::Feed => {}
        }
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "feeds {}  flows {} ({} broken)  claims {}  uploads {}  balances {}  \
             not run {}  may have run {}  nothing told {}  wrong {}  given up {}",
            self.feeds_open,
            self.flows_opened,
            self.flows_broken,
            self.claims,
            self.uploads,
            self.balances,
            self.not_run,
            self.may_have_run,
            self.nothing_told,
            self.wrong,
            self.given_up,
        )
    }
}

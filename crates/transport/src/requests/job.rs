//! A request on its way to a server, and how one try of it ends.

use std::rc::Rc;
use std::time::Duration;

use hyper::Response;
use hyper::http::request::Parts;
use ramp_coordination::claims::Decision;
use ramp_coordination::request_router::PendingRequest;
use ramp_state::verdict::MayHaveRun;
use ramp_state::verdict::NotRun;
use ramp_state::verdict::Verdict;
use tokio::time::Instant;

use super::body::AnswerBody;
use super::context::RequestContext;
use super::head;
use super::progress::Progress;
use super::send_body::Payload;

/// A request on its way to a server.
pub struct Job {
    /// What all requests share.
    pub cx: Rc<RequestContext>,
    /// Its state so far.
    pub progress: Progress,
    /// Its head, fit to be sent on.
    pub parts: Parts,
    /// Its body.
    pub payload: Payload,
    /// What it asks of the decisions.
    pub ask: PendingRequest,
}

/// Why a request must not be sent any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stale {
    /// Others may have given its attempt of the key up.
    Key,
    /// Its time is up.
    Deadline,
}

/// How one try of a request ended.
pub enum Tried {
    /// With an answer, or the head of one.
    Answered(Response<AnswerBody>),
    /// It certainly did not run; the request can be tried elsewhere.
    NotRun(Box<Job>, NotRun),
}

impl Tried {
    /// It certainly did not run.
    pub fn not_run(job: Job, reason: NotRun) -> Tried {
        Tried::NotRun(Box::new(job), reason)
    }
}

impl Job {
    /// Time that is left to it.
    pub fn left(&self) -> Duration {
        self.ask.deadline.since(self.cx.now())
    }

    /// When its time is up, on the runtime's clock.
    pub fn deadline(&self) -> Instant {
        Instant::now() + self.left()
    }

    /// Head for one more try.
    pub fn head(&self) -> Parts {
        let mut parts = self.parts.clone();
        head::state_deadline(&mut parts.headers, self.left());
        parts
    }

    /// Why it must not be sent any more, looked at right before it is: this
    /// process may have slept since it was admitted.
    pub fn is_stale(&self) -> Option<Stale> {
        if !self.progress.may_send() {
            Some(Stale::Key)
        } else if self.left().is_zero() {
            Some(Stale::Deadline)
        } else {
            None
        }
    }

    /// Ends it unsent.
    pub fn give_up(self, stale: Stale) -> Tried {
        match stale {
            Stale::Key => Tried::Answered(self.progress.refuse_key(Decision::Unknown)),
            Stale::Deadline => Tried::not_run(self, NotRun::DeadlinePassed),
        }
    }

    /// Ends a try that brought no answer: by whether a byte was written.
    pub fn lost(self, written: MayHaveRun, unwritten: NotRun) -> Tried {
        if self.progress.is_written() {
            Tried::Answered(self.answer(Verdict::MayHaveRun(written)))
        } else {
            Tried::not_run(self, unwritten)
        }
    }

    /// Tells the caller that it may have run.
    pub fn answer(self, verdict: Verdict) -> Response<AnswerBody> {
        self.progress.answer(verdict)
    }
}

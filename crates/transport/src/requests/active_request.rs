//! A request from its head until it has a response or a refusal.
//!
//! [`ActiveRequest`] owns everything that the next try needs: the head, the
//! body and the state of the decisions. A try sends it to one backend server
//! or agent and ends with a [`TryOutcome`].

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

use super::context::RequestContext;
use super::guards::RequestGuard;
use super::head;
use super::request_body::RequestBody;
use super::response_body::ResponseBody;

/// A request that has no response yet.
pub struct ActiveRequest {
    /// State shared by all requests of the agent.
    pub cx: Rc<RequestContext>,
    /// Ends the request and records its verdict.
    pub guard: RequestGuard,
    /// Head with the headers that upstream may see.
    pub parts: Parts,
    /// Body, as long as it can be sent.
    pub request_body: RequestBody,
    /// Deadline and earlier tries, from which the router decides the next step.
    pub pending: PendingRequest,
}

/// Why a request must no longer be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expiry {
    /// The grant of its idempotency key has expired: other agents may have given
    /// up this attempt.
    KeyAttempt,
    /// Its deadline has passed.
    Deadline,
}

/// How one try to send a request ended.
pub enum TryOutcome {
    /// The request has a response for the caller, whose body may still be
    /// streaming.
    Responded(Response<ResponseBody>),
    /// It certainly did not run, so it may be tried elsewhere.
    NotRun(Box<ActiveRequest>, NotRun),
}

impl TryOutcome {
    /// Hands the request back for another try.
    pub fn not_run(active: ActiveRequest, reason: NotRun) -> TryOutcome {
        TryOutcome::NotRun(Box::new(active), reason)
    }
}

impl ActiveRequest {
    /// Time until the request's deadline; zero once it has passed.
    pub fn time_left(&self) -> Duration {
        self.pending.deadline.since(self.cx.now())
    }

    /// Deadline on the clock of the async runtime.
    pub fn deadline(&self) -> Instant {
        Instant::now() + self.time_left()
    }

    /// Head for the next try, with the time left as its deadline.
    pub fn head(&self) -> Parts {
        let mut parts = self.parts.clone();
        head::set_deadline(&mut parts.headers, self.time_left());
        parts
    }

    /// Whether the request has expired, and why. Checked right before sending,
    /// because this process may have been paused since the request was admitted.
    pub fn expiry(&self) -> Option<Expiry> {
        if !self.guard.may_send() {
            Some(Expiry::KeyAttempt)
        } else if self.time_left().is_zero() {
            Some(Expiry::Deadline)
        } else {
            None
        }
    }

    /// Ends the try of an expired request without sending it.
    pub fn end_expired(self, expiry: Expiry) -> TryOutcome {
        match expiry {
            Expiry::KeyAttempt => TryOutcome::Responded(self.guard.refuse_key(Decision::Unknown)),
            Expiry::Deadline => TryOutcome::not_run(self, NotRun::DeadlinePassed),
        }
    }

    /// Ends a try that got no response. Once a byte has been written, the
    /// request may have run.
    pub fn end_without_response(self, if_written: MayHaveRun, if_unwritten: NotRun) -> TryOutcome {
        if self.guard.is_written() {
            TryOutcome::Responded(self.respond(Verdict::MayHaveRun(if_written)))
        } else {
            TryOutcome::not_run(self, if_unwritten)
        }
    }

    /// Ends the request with a response that states `verdict`.
    pub fn respond(self, verdict: Verdict) -> Response<ResponseBody> {
        self.guard.respond(verdict)
    }
}

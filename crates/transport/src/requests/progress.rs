//! A request from its head to its end, and what it holds meanwhile.
//!
//! Each of these ends by itself when it is dropped, so that a caller who goes
//! away, which drops the request's future, leaves nothing behind.

use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;

use ramp_coordination::admission::PermitKey;
use ramp_coordination::admission::QueuedRequest;
use ramp_coordination::admission::TicketKey;
use ramp_coordination::concurrency_limit::RequestOutcome;
use ramp_state::fleet::Policy;
use ramp_state::key::InstanceId;
use ramp_state::outcome::Outcome;
use ramp_state::outcome::Record;
use ramp_state::time::Millis;
use ramp_state::verdict::MayHaveRun;
use ramp_state::verdict::NotRun;
use ramp_state::verdict::Verdict;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::claim::Claim;
use super::context::RequestContext;

/// Who a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller, on its own flow.
    Caller(SocketAddrV4),
    /// Another agent, which keeps the caller's flow and the record.
    Peer(InstanceId),
}

/// A request that has begun and not ended.
pub struct Progress {
    cx: Rc<RequestContext>,
    origin: Origin,
    began: Millis,
    /// When the head of the answer came, for a feed.
    feed_opened: Option<Millis>,
    server: Option<InstanceId>,
    /// Whether any byte of it may have reached a backend server.
    written: Rc<Cell<bool>>,
    /// Its attempt of an idempotency key.
    claim: Option<Claim>,
    ended: bool,
}

impl Progress {
    /// Begins a request.
    pub fn begin(cx: Rc<RequestContext>, origin: Origin) -> Progress {
        cx.request_began();
        Progress {
            began: cx.now(),
            feed_opened: None,
            cx,
            origin,
            server: None,
            written: Rc::default(),
            claim: None,
            ended: false,
        }
    }

    /// It goes to `server`. Returns where the first byte written is noted.
    pub fn sending_to(&mut self, server: InstanceId) -> Rc<Cell<bool>> {
        self.server = Some(server);
        self.written.clone()
    }

    /// It is certain that it did not run where it was sent.
    pub fn did_not_run(&mut self) {
        self.server = None;
        self.written.set(false);
    }

    /// Whether any byte of it may have reached a backend server.
    pub fn is_written(&self) -> bool {
        self.written.get()
    }

    /// It was granted `claim`, or waits for it.
    pub fn claims(&mut self, claim: Claim) {
        self.claim = Some(claim);
    }

    /// Whether its key, if it has one, still allows it to be sent.
    pub fn may_send(&self) -> bool {
        self.claim.as_ref().is_none_or(Claim::may_send)
    }

    /// It is a feed and the head of its answer has come. That answers it: how
    /// long it stays open after that is the caller's choice.
    pub fn feed_opened(&mut self) {
        self.feed_opened = Some(self.cx.now());
    }

    /// Ends it; only the first call counts.
    pub fn end(&mut self, verdict: Verdict) {
        if self.ended {
            return;
        }
        self.ended = true;
        if let Some(claim) = &mut self.claim {
            claim.settle(verdict);
        }
        self.cx.request_ended();
        // The agent that keeps the flow records the request, nobody else.
        let Origin::Caller(caller) = self.origin else {
            return;
        };
        let answered = self.feed_opened.unwrap_or_else(|| self.cx.now());
        self.cx.record(Record {
            caller,
            service: self.cx.service(),
            server: self.server,
            outcome: Outcome::Request {
                verdict,
                took: answered.since(self.began),
            },
        });
    }

    /// Ends it because its key does not allow it to run. What the key's other
    /// attempt did is told to the caller, but to the group this attempt did
    /// nothing.
    pub fn end_of_key(&mut self, verdict: Verdict) {
        if let Some(mut claim) = self.claim.take() {
            claim.settle(Verdict::NotRun(NotRun::KeyRunning));
        }
        self.end(verdict);
    }

    /// Policy that it is served by.
    pub fn policy(&self) -> Arc<Policy> {
        self.cx.policy()
    }

    /// Whether the agent itself gives it up: at the drain limit, or because
    /// its data centre was taken out.
    pub fn is_given_up(&self) -> bool {
        self.cx.is_cut() || !self.cx.requests.borrow().is_reachable()
    }

    /// Verdict on a request that was dropped before its end.
    fn cut(&self) -> Verdict {
        let is_out = !self.cx.requests.borrow().is_reachable();
        let is_cut = self.cx.is_cut();
        if self.is_written() {
            Verdict::MayHaveRun(match (is_cut, is_out) {
                (true, _) => MayHaveRun::DrainLimitPassed,
                (_, true) => MayHaveRun::DataCentreOut,
                _ => MayHaveRun::CallerLeft,
            })
        } else {
            Verdict::NotRun(match (is_cut, is_out) {
                (true, _) => NotRun::Leaving,
                (_, true) => NotRun::DataCentreOut,
                _ => NotRun::CallerLeft,
            })
        }
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        if !self.ended {
            self.end(self.cut());
        }
    }
}

/// A permit, given back when dropped.
pub struct Held {
    cx: Rc<RequestContext>,
    permit: PermitKey,
    /// Since when an answer is awaited.
    awaiting: Option<Instant>,
}

impl Held {
    /// Holds `permit`.
    pub fn new(cx: Rc<RequestContext>, permit: PermitKey) -> Held {
        Held {
            cx,
            permit,
            awaiting: None,
        }
    }

    /// The whole request is on its way; its answer is awaited.
    pub fn awaits(&mut self) {
        self.awaiting = Some(Instant::now());
        let now = self.cx.now();
        self.cx.requests.borrow_mut().on_sent(now, self.permit);
    }

    /// Tells what the request shows about the server.
    pub fn learn(&mut self, sign: RequestOutcome) {
        self.awaiting = None;
        let now = self.cx.now();
        let mut requests = self.cx.requests.borrow_mut();
        requests.record_outcome(now, self.permit, sign);
        drop(requests);
        self.cx.wake();
    }

    /// Frees the slot but keeps the connection, for a feed.
    pub fn feed_answered(&mut self) {
        let now = self.cx.now();
        let mut requests = self.cx.requests.borrow_mut();
        requests.on_feed_answered(now, self.permit);
        drop(requests);
        self.cx.wake();
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        // A caller that did not wait shows too how long the server took.
        if let Some(since) = self.awaiting {
            self.learn(RequestOutcome::TimedOut(since.elapsed()));
        }
        let now = self.cx.now();
        let mut requests = self.cx.requests.borrow_mut();
        requests.release(now, self.permit);
        drop(requests);
        self.cx.wake();
    }
}

/// A request's place in the queue, left when dropped.
pub struct Place {
    cx: Rc<RequestContext>,
    ticket: TicketKey,
    rx: oneshot::Receiver<PermitKey>,
}

impl Place {
    /// Takes the place that `waiting` names.
    pub fn take(cx: Rc<RequestContext>, waiting: QueuedRequest) -> Place {
        let rx = cx.wait_for(waiting.ticket);
        Place {
            cx,
            ticket: waiting.ticket,
            rx,
        }
    }

    /// Completes with the permit.
    pub async fn admitted(&mut self) -> Held {
        let Ok(permit) = (&mut self.rx).await else {
            // Only a request that leaves the queue loses its sender.
            return std::future::pending().await;
        };
        Held::new(self.cx.clone(), permit)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.cx.stop_waiting(self.ticket);
        self.cx.requests.borrow_mut().cancel_wait(self.ticket);
        // The permit may have come at the moment when the wait was given up.
        if let Ok(permit) = self.rx.try_recv() {
            drop(Held::new(self.cx.clone(), permit));
        }
    }
}

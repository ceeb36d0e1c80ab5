//! RAII guards for a request and for what it occupies: its permit for the
//! backend server and its place in the queue.
//!
//! When a caller disconnects, the request's future is dropped. The guards then
//! record the request's verdict, return the permit and leave the queue.

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

/// Sender of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller, with the address of its flow.
    Caller(SocketAddrV4),
    /// Another agent, which has the caller's flow and records the request.
    Peer(InstanceId),
}

/// A request that has begun and not ended; dropping the guard ends it.
pub struct RequestGuard {
    cx: Rc<RequestContext>,
    origin: Origin,
    began_at: Millis,
    /// Arrival of the response head; set for a feed only.
    feed_opened_at: Option<Millis>,
    server: Option<InstanceId>,
    /// Whether any byte of it may have reached a backend server.
    written: Rc<Cell<bool>>,
    /// Attempt to run under its idempotency key, if it has one.
    claim: Option<Claim>,
    ended: bool,
}

impl RequestGuard {
    /// Counts the request as begun.
    pub fn begin(cx: Rc<RequestContext>, origin: Origin) -> RequestGuard {
        cx.request_began();
        RequestGuard {
            began_at: cx.now(),
            feed_opened_at: None,
            cx,
            origin,
            server: None,
            written: Rc::default(),
            claim: None,
            ended: false,
        }
    }

    /// Notes that the request is sent to `server`. The code that sends it
    /// sets the returned flag at the first byte written.
    pub fn begin_send(&mut self, server: InstanceId) -> Rc<Cell<bool>> {
        self.server = Some(server);
        self.written.clone()
    }

    /// Notes that the request certainly did not run where it was sent, so the
    /// next try starts afresh.
    pub fn reset_send(&mut self) {
        self.server = None;
        self.written.set(false);
    }

    /// Whether any byte of it may have reached a backend server.
    pub fn is_written(&self) -> bool {
        self.written.get()
    }

    /// Sets the attempt that decides whether the request may run.
    pub fn set_claim(&mut self, claim: Claim) {
        self.claim = Some(claim);
    }

    /// Whether the request may be sent: it has no key, or the grant of its key
    /// has not expired.
    pub fn may_send(&self) -> bool {
        self.claim.as_ref().is_none_or(Claim::may_send)
    }

    /// Notes that the response head of a feed has arrived. The recorded
    /// duration ends here, because the caller decides how long the feed stays
    /// open.
    pub fn on_feed_opened(&mut self) {
        self.feed_opened_at = Some(self.cx.now());
    }

    /// Ends the request and records its verdict; only the first call counts.
    pub fn end(&mut self, verdict: Verdict) {
        if self.ended {
            return;
        }
        self.ended = true;
        if let Some(claim) = &mut self.claim {
            claim.end(verdict);
        }
        self.cx.request_ended();
        // Only the agent that has the caller's flow records the request.
        let Origin::Caller(caller) = self.origin else {
            return;
        };
        let answered_at = self.feed_opened_at.unwrap_or_else(|| self.cx.now());
        self.cx.queue_record(Record {
            caller,
            service: self.cx.service(),
            server: self.server,
            outcome: Outcome::Request {
                verdict,
                took: answered_at.since(self.began_at),
            },
        });
    }

    /// Ends the request because its key does not allow it to run. The caller
    /// gets the verdict on the key's other attempt; the report to the group says
    /// that this attempt did not run.
    pub fn end_refused_by_key(&mut self, verdict: Verdict) {
        if let Some(mut claim) = self.claim.take() {
            claim.end(Verdict::NotRun(NotRun::KeyRunning));
        }
        self.end(verdict);
    }

    /// Policy settings in force for the agent's backend server.
    pub fn policy(&self) -> Arc<Policy> {
        self.cx.policy()
    }

    /// Whether the agent aborts the request: the drain limit has passed, or its
    /// data centre was taken out of service.
    pub fn is_aborted_by_agent(&self) -> bool {
        self.cx.is_aborting() || !self.cx.router.borrow().is_reachable()
    }

    /// Verdict on a request that is dropped before it has ended.
    fn verdict_when_dropped(&self) -> Verdict {
        let is_data_centre_out = !self.cx.router.borrow().is_reachable();
        let is_aborting = self.cx.is_aborting();
        if self.is_written() {
            Verdict::MayHaveRun(match (is_aborting, is_data_centre_out) {
                (true, _) => MayHaveRun::DrainLimitPassed,
                (_, true) => MayHaveRun::DataCentreOut,
                _ => MayHaveRun::CallerLeft,
            })
        } else {
            Verdict::NotRun(match (is_aborting, is_data_centre_out) {
                (true, _) => NotRun::Leaving,
                (_, true) => NotRun::DataCentreOut,
                _ => NotRun::CallerLeft,
            })
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.end(self.verdict_when_dropped());
        }
    }
}

/// A permit to use the backend server; dropping the guard returns it.
pub struct PermitGuard {
    cx: Rc<RequestContext>,
    permit: PermitKey,
    /// When the whole request was sent; cleared once its outcome is recorded.
    sent_at: Option<Instant>,
}

impl PermitGuard {
    /// Takes ownership of `permit`.
    pub fn new(cx: Rc<RequestContext>, permit: PermitKey) -> PermitGuard {
        PermitGuard {
            cx,
            permit,
            sent_at: None,
        }
    }

    /// Notes that the whole request has been sent and its response is awaited.
    pub fn on_sent(&mut self) {
        self.sent_at = Some(Instant::now());
        let now = self.cx.now();
        self.cx.router.borrow_mut().on_sent(now, self.permit);
    }

    /// Reports what the request shows about the backend server.
    pub fn record_outcome(&mut self, outcome: RequestOutcome) {
        self.sent_at = None;
        let now = self.cx.now();
        let mut router = self.cx.router.borrow_mut();
        router.record_outcome(now, self.permit, outcome);
        drop(router);
        self.cx.deliver_permits();
    }

    /// Frees the slot of a feed whose response head has arrived. The feed still
    /// counts as a connection.
    pub fn on_feed_answered(&mut self) {
        let now = self.cx.now();
        let mut router = self.cx.router.borrow_mut();
        router.on_feed_answered(now, self.permit);
        drop(router);
        self.cx.deliver_permits();
    }
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        // A request that was dropped while it waited for a response still
        // gives a lower bound for the server's response time.
        if let Some(sent_at) = self.sent_at {
            self.record_outcome(RequestOutcome::TimedOut(sent_at.elapsed()));
        }
        let now = self.cx.now();
        let mut router = self.cx.router.borrow_mut();
        router.release(now, self.permit);
        drop(router);
        self.cx.deliver_permits();
    }
}

/// A request's place in the queue; dropping the guard leaves the queue.
pub struct QueueGuard {
    cx: Rc<RequestContext>,
    ticket: TicketKey,
    rx: oneshot::Receiver<PermitKey>,
}

impl QueueGuard {
    /// Takes over the place in the queue that the router has assigned.
    pub fn join(cx: Rc<RequestContext>, queued: QueuedRequest) -> QueueGuard {
        let rx = cx.register_waiter(queued.ticket);
        QueueGuard {
            cx,
            ticket: queued.ticket,
            rx,
        }
    }

    /// Waits until the request is admitted.
    pub async fn wait_for_permit(&mut self) -> PermitGuard {
        let Ok(permit) = (&mut self.rx).await else {
            // The sender is dropped only once the request has left the queue.
            return std::future::pending().await;
        };
        PermitGuard::new(self.cx.clone(), permit)
    }
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        self.cx.remove_waiter(self.ticket);
        self.cx.router.borrow_mut().cancel_wait(self.ticket);
        // The permit may have arrived just as the wait ended; return it.
        if let Ok(permit) = self.rx.try_recv() {
            drop(PermitGuard::new(self.cx.clone(), permit));
        }
    }
}

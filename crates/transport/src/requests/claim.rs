//! Idempotency keys of requests: from the key in the head to the decision of
//! the group, and from the request's verdict back to the group.

use std::rc::Rc;
use std::time::Duration;

use ramp_coordination::claims::AttemptId;
use ramp_coordination::claims::Decision;
use ramp_coordination::claims::claim_key;
use ramp_protocol::message::KeyStatus;
use ramp_state::verdict::Verdict;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::context::RequestContext;

/// How often a request that waits for the group lets claims be repeated.
const CLAIM_TICK: Duration = Duration::from_millis(20);

/// A request's attempt of its key, settled when the request ends.
pub struct Claim {
    cx: Rc<RequestContext>,
    attempt: AttemptId,
    settled: bool,
}

impl Claim {
    /// Begins an attempt of the key `text`.
    pub fn begin(cx: Rc<RequestContext>, text: &[u8]) -> (Claim, oneshot::Receiver<Decision>) {
        let key = claim_key(&cx.cfg.key, cx.service(), text);
        let now = cx.now();
        let (tx, rx) = oneshot::channel();
        let attempt = cx.begin_claim(now, key, tx);
        let claim = Claim {
            cx,
            attempt,
            settled: false,
        };
        (claim, rx)
    }

    /// Whether the request may still be sent.
    pub fn may_send(&self) -> bool {
        let now = self.cx.now();
        let attempt = self.attempt;
        self.cx.with_claims(|claims| claims.may_send(now, attempt))
    }

    /// Tells the group how the request ended; only the first call counts.
    pub fn settle(&mut self, verdict: Verdict) {
        if self.settled {
            return;
        }
        self.settled = true;
        let status = match verdict {
            Verdict::Served => KeyStatus::Served,
            Verdict::NotRun(_) => KeyStatus::Granted,
            Verdict::MayHaveRun(_) => KeyStatus::MayHaveRun,
        };
        let now = self.cx.now();
        let attempt = self.attempt;
        self.cx
            .with_claims(|claims| claims.end_attempt(now, attempt, status));
    }
}

/// Waits for the decision on an attempt.
pub async fn decision(cx: &RequestContext, mut rx: oneshot::Receiver<Decision>) -> Decision {
    loop {
        match timeout(CLAIM_TICK, &mut rx).await {
            Ok(Ok(decision)) => return decision,
            // The desk never drops a sender before it has told a decision.
            Ok(Err(_)) => return Decision::Unknown,
            Err(_) => cx.tick(),
        }
    }
}

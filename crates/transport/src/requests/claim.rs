//! Idempotency key of one request.
//!
//! Before a request with a key is sent, its agent asks the other agents of the
//! group whether an earlier attempt with the same key runs or has run. When
//! the request ends, its verdict is reported to the group.

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

/// Interval at which a request that waits for the group's decision sends due
/// claim messages again.
const PENDING_CLAIM_TICK_PERIOD: Duration = Duration::from_millis(20);

/// One request's attempt to run under its idempotency key.
pub struct Claim {
    cx: Rc<RequestContext>,
    attempt: AttemptId,
    ended: bool,
}

impl Claim {
    /// Begins an attempt for the key that a caller sent as `key_bytes`. The
    /// receiver gets the group's decision.
    pub fn begin(cx: Rc<RequestContext>, key_bytes: &[u8]) -> (Claim, oneshot::Receiver<Decision>) {
        let key = claim_key(&cx.cfg.key, cx.service(), key_bytes);
        let now = cx.now();
        let (tx, rx) = oneshot::channel();
        let attempt = cx.begin_attempt(now, key, tx);
        let claim = Claim {
            cx,
            attempt,
            ended: false,
        };
        (claim, rx)
    }

    /// Whether the request may still be sent: the attempt is granted and the
    /// grant has not expired.
    pub fn may_send(&self) -> bool {
        let now = self.cx.now();
        let attempt = self.attempt;
        self.cx.with_claims(|claims| claims.may_send(now, attempt))
    }

    /// Reports to the group how the request ended; only the first call counts.
    pub fn end(&mut self, verdict: Verdict) {
        if self.ended {
            return;
        }
        self.ended = true;
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

/// Waits for the group's decision on an attempt.
pub async fn wait_for_decision(
    cx: &RequestContext,
    mut rx: oneshot::Receiver<Decision>,
) -> Decision {
    loop {
        match timeout(PENDING_CLAIM_TICK_PERIOD, &mut rx).await {
            Ok(Ok(decision)) => return decision,
            // The dispatcher drops a sender only after it has sent the
            // decision.
            Ok(Err(_)) => return Decision::Unknown,
            Err(_) => cx.tick(),
        }
    }
}

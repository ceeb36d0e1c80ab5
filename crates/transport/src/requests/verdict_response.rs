//! Responses that the agent generates itself: refusals, and verdicts on requests
//! that failed.

use std::time::Duration;

use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderValue;
use ramp_coordination::claims::Decision;
use ramp_coordination::request_router::Refusal;
use ramp_state::verdict::MayHaveRun;
use ramp_state::verdict::NotRun;
use ramp_state::verdict::REASON_HEADER;
use ramp_state::verdict::VERDICT_HEADER;
use ramp_state::verdict::Verdict;

use super::guards::RequestGuard;
use super::response_body::ResponseBody;

/// Reason stated when an earlier request with the same idempotency key was
/// served.
const KEY_SERVED_REASON: &str = "a request with the same idempotency key was served";

impl RequestGuard {
    /// Ends the request and returns a response that states `verdict`.
    pub fn respond(mut self, verdict: Verdict) -> Response<ResponseBody> {
        self.end(verdict);
        verdict_response(verdict, None)
    }

    /// Ends the request because its idempotency key does not allow it to run.
    pub fn refuse_key(mut self, decision: Decision) -> Response<ResponseBody> {
        let verdict = match decision {
            Decision::Served => Verdict::Served,
            Decision::Running => Verdict::MayHaveRun(MayHaveRun::KeyRunning),
            Decision::Granted | Decision::Unknown => Verdict::MayHaveRun(MayHaveRun::KeyUnknown),
        };
        self.end_refused_by_key(verdict);
        let is_running = decision == Decision::Running;
        verdict_response(verdict, is_running.then(|| self.policy().retry_after))
    }

    /// Ends the request with a refusal by the router.
    pub fn refuse(mut self, refusal: Refusal) -> Response<ResponseBody> {
        let verdict = Verdict::NotRun(refusal.reason);
        self.end(verdict);
        verdict_response(verdict, Some(refusal.retry_after))
    }
}

/// Response that states the verdict. `retry_after` is given only when the same
/// request may succeed later.
fn verdict_response(verdict: Verdict, retry_after: Option<Duration>) -> Response<ResponseBody> {
    let text = format!("{}: {}\n", verdict.as_header(), reason_text(verdict));
    let mut res = Response::new(ResponseBody::Generated(Full::from(text)));
    *res.status_mut() = status_code(verdict);
    let headers = res.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    headers.insert(
        VERDICT_HEADER,
        HeaderValue::from_static(verdict.as_header()),
    );
    if let Ok(reason) = HeaderValue::from_str(&reason_text(verdict)) {
        headers.insert(REASON_HEADER, reason);
    }
    if let Some(after) = retry_after {
        headers.insert(
            header::RETRY_AFTER,
            HeaderValue::from(retry_after_seconds(after)),
        );
    }
    res
}

fn status_code(verdict: Verdict) -> StatusCode {
    match verdict {
        // The agent itself states this verdict only for a repeated idempotency
        // key.
        Verdict::Served => StatusCode::CONFLICT,
        Verdict::NotRun(NotRun::BadRequest) => StatusCode::BAD_REQUEST,
        Verdict::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
        Verdict::MayHaveRun(MayHaveRun::DeadlinePassed) => StatusCode::GATEWAY_TIMEOUT,
        Verdict::MayHaveRun(MayHaveRun::KeyRunning | MayHaveRun::KeyUnknown) => {
            StatusCode::CONFLICT
        }
        Verdict::MayHaveRun(_) => StatusCode::BAD_GATEWAY,
    }
}

fn reason_text(verdict: Verdict) -> String {
    match verdict {
        Verdict::Served => KEY_SERVED_REASON.to_string(),
        Verdict::NotRun(reason) => reason.to_string(),
        Verdict::MayHaveRun(reason) => reason.to_string(),
    }
}

/// `Retry-After` takes whole seconds only. Rounds up, because rounding down
/// would make callers retry too early.
fn retry_after_seconds(delay: Duration) -> u64 {
    delay.as_millis().div_ceil(1000) as u64
}

//! Answers of our own: refusals and the verdict on requests that broke.

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

use super::body::AnswerBody;
use super::progress::Progress;

/// Reason told when an earlier attempt of an idempotency key was served.
const KEY_SERVED: &str = "a request with the same idempotency key was served";

impl Progress {
    /// Ends it and makes the answer that says so.
    pub fn answer(mut self, verdict: Verdict) -> Response<AnswerBody> {
        self.end(verdict);
        refuse(verdict, None)
    }

    /// Ends it because its key does not allow it to run.
    pub fn refuse_key(mut self, decision: Decision) -> Response<AnswerBody> {
        let verdict = match decision {
            Decision::Served => Verdict::Served,
            Decision::Running => Verdict::MayHaveRun(MayHaveRun::KeyRunning),
            Decision::Granted | Decision::Unknown => Verdict::MayHaveRun(MayHaveRun::KeyUnknown),
        };
        self.end_of_key(verdict);
        let again = decision == Decision::Running;
        refuse(verdict, again.then(|| self.policy().retry_after))
    }

    /// Ends it with a refusal.
    pub fn refuse(mut self, refusal: Refusal) -> Response<AnswerBody> {
        let verdict = Verdict::NotRun(refusal.reason);
        self.end(verdict);
        refuse(verdict, Some(refusal.retry_after))
    }
}

/// Answer that tells the caller the verdict. `retry_after` is told only with
/// refusals that a later try may escape.
fn refuse(verdict: Verdict, retry_after: Option<Duration>) -> Response<AnswerBody> {
    let text = format!("{}: {}\n", verdict.as_header(), reason(verdict));
    let mut res = Response::new(AnswerBody::Own(Full::from(text)));
    *res.status_mut() = status(verdict);
    let headers = res.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    headers.insert(
        VERDICT_HEADER,
        HeaderValue::from_static(verdict.as_header()),
    );
    if let Ok(reason) = HeaderValue::from_str(&reason(verdict)) {
        headers.insert(REASON_HEADER, reason);
    }
    if let Some(after) = retry_after {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(whole_seconds(after)));
    }
    res
}

fn status(verdict: Verdict) -> StatusCode {
    match verdict {
        // Only a repeated idempotency key is answered so by us.
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

fn reason(verdict: Verdict) -> String {
    match verdict {
        Verdict::Served => KEY_SERVED.to_string(),
        Verdict::NotRun(reason) => reason.to_string(),
        Verdict::MayHaveRun(reason) => reason.to_string(),
    }
}

/// `Retry-After` knows whole seconds only; rounding down would bring callers
/// back too early.
fn whole_seconds(span: Duration) -> u64 {
    span.as_millis().div_ceil(1000) as u64
}

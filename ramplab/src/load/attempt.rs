//! Sends claims, uploads and balances, with retries, and checks the responses.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::ACCEPT;
use hyper::header::HOST;
use hyper::header::RETRY_AFTER;
use ramp_state::verdict::DEADLINE_HEADER;
use ramp_state::verdict::IDEMPOTENCY_HEADER;
use ramp_state::verdict::VERDICT_HEADER;
use tokio::time::Instant;

use crate::backend::endpoints::NOT_RUN_HEADER;
use crate::backend::endpoints::SERVER_HEADER;
use crate::history::AnswerCheck;
use crate::history::EventData;
use crate::history::FlowEnd;
use crate::history::ReportedOutcome;
use crate::history::RequestKind;
use crate::load::LoadGenerator;
use crate::load::connection::Connection;
use crate::load::connection::ResponseGuard;
use crate::load::request_spec::RequestSpec;

/// Attempts per request, the first one included.
const MAX_ATTEMPTS: u32 = 5;

/// Time that a caller waits for a response beyond the request's deadline.
const DEADLINE_GRACE: Duration = Duration::from_secs(2);

/// Delay before a retry when the response has no `Retry-After`; also the maximum
/// jitter added to each delay.
const DEFAULT_RETRY_DELAY_MS: u64 = 500;

/// Upper limit of the delay before a retry, jitter excluded.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(3);

/// Result of one attempt as the caller sees it.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// Outcome reported by the response, or that there was none.
    pub told: ReportedOutcome,
    /// Whether the response body was the expected one.
    pub answer: AnswerCheck,
    /// Backend server named in the response headers.
    pub server: Option<String>,
    /// Delay that the response asks for before a retry.
    pub retry_after: Option<Duration>,
}

impl AttemptResult {
    fn no_response() -> AttemptResult {
        AttemptResult {
            told: ReportedOutcome::Nothing,
            answer: AnswerCheck::Absent,
            server: None,
            retry_after: None,
        }
    }
}

impl LoadGenerator {
    /// Sends a request until it is served, all attempts have failed, or the run
    /// stops.
    pub(super) async fn send_with_retries(self: Rc<Self>, spec: RequestSpec) {
        for _ in 0..MAX_ATTEMPTS {
            let result = self.attempt(&spec).await;
            if result.told == ReportedOutcome::Served {
                return;
            }
            if *self.stopping.borrow() {
                break;
            }
            tokio::time::sleep(self.retry_delay(&result)).await;
        }
        self.counts.borrow_mut().given_up += 1;
    }

    /// Delay before the next attempt, with jitter so that callers don't retry at the
    /// same moment.
    pub(super) fn retry_delay(&self, result: &AttemptResult) -> Duration {
        let base = result
            .retry_after
            .unwrap_or(Duration::from_millis(DEFAULT_RETRY_DELAY_MS));
        let jitter = self.rng.borrow_mut().below(DEFAULT_RETRY_DELAY_MS);
        base.min(MAX_RETRY_DELAY) + Duration::from_millis(jitter)
    }

    async fn attempt(self: &Rc<Self>, spec: &RequestSpec) -> AttemptResult {
        let attempt = self.begin_attempt(spec);
        let started = Instant::now();
        let timeout = self.cfg.deadline + DEADLINE_GRACE;
        let result = self
            .send_and_receive(spec, &attempt, started + timeout)
            .await;
        self.end_attempt(spec, attempt, &result, started);
        result
    }

    /// Records that an attempt is sent, and returns its ID.
    pub(super) fn begin_attempt(&self, spec: &RequestSpec) -> String {
        let attempt = format!("{}-{}", self.cfg.seed, self.take_number());
        self.counts.borrow_mut().requests_sent += 1;
        self.record(EventData::RequestSent {
            request: spec.id.clone(),
            attempt: attempt.clone(),
            kind: spec.kind,
            service: self.cfg.targets[spec.service].name.clone(),
        });
        attempt
    }

    /// Records and counts the result of an attempt.
    pub(super) fn end_attempt(
        &self,
        spec: &RequestSpec,
        attempt: String,
        result: &AttemptResult,
        started: Instant,
    ) {
        let mut counts = self.counts.borrow_mut();
        counts.attempt_ended(spec.kind, result.told, result.answer);
        self.record(EventData::RequestEnded {
            request: spec.id.clone(),
            attempt,
            told: result.told,
            answer: result.answer,
            server: result.server.clone(),
            took_ms: started.elapsed().as_millis() as u64,
        });
    }

    async fn send_and_receive(
        self: &Rc<Self>,
        spec: &RequestSpec,
        attempt: &str,
        deadline: Instant,
    ) -> AttemptResult {
        loop {
            let Ok(mut conn) = self.acquire_connection(spec.service).await else {
                return AttemptResult::no_response();
            };
            let guard = conn.start_response();
            let response = read_response(&mut conn, self.request(spec, attempt), spec, &guard);
            match tokio::time::timeout_at(deadline, response).await {
                Ok(Ok(result)) => {
                    drop(guard);
                    if conn.is_reusable() {
                        self.idle.borrow_mut().push(conn);
                    }
                    return result;
                }
                // Nothing was sent, as the connection had closed while idle:
                // tries again on another connection.
                Ok(Err(err)) if err.is_canceled() => {}
                Ok(Err(_)) => {
                    guard.set_end(FlowEnd::Broken);
                    return AttemptResult::no_response();
                }
                Err(_) => {
                    guard.set_end(FlowEnd::Silent);
                    return AttemptResult::no_response();
                }
            }
        }
    }

    /// Builds the HTTP request for one attempt.
    pub(super) fn request(&self, spec: &RequestSpec, attempt: &str) -> Request<Full<Bytes>> {
        let target = &self.cfg.targets[spec.service];
        let path = format!("{}&attempt={attempt}&service={}", spec.path, target.name);
        let mut req = Request::builder()
            .method(spec.method())
            .uri(path)
            .header(HOST, &target.name);
        req = match spec.kind {
            // A feed has no deadline, as it does not end by itself.
            RequestKind::Feed => req.header(ACCEPT, "text/event-stream"),
            RequestKind::Balance => {
                req.header(DEADLINE_HEADER, self.cfg.deadline.as_millis() as u64)
            }
            RequestKind::Claim | RequestKind::Upload => req
                .header(DEADLINE_HEADER, self.cfg.deadline.as_millis() as u64)
                .header(IDEMPOTENCY_HEADER, &spec.id),
        };
        req.body(Full::new(spec.body.clone()))
            .expect("names and numbers make a valid request")
    }
}

async fn read_response(
    conn: &mut Connection,
    req: Request<Full<Bytes>>,
    spec: &RequestSpec,
    guard: &ResponseGuard,
) -> hyper::Result<AttemptResult> {
    let res = conn.send(req).await?;
    let (head, body): (_, Incoming) = res.into_parts();
    let mut result = parse_head(head.status, &head.headers);
    guard.set_server(result.server.clone());
    let body = body.collect().await?.to_bytes();
    if head.status == StatusCode::OK && result.told == ReportedOutcome::Served {
        result.answer = if body == spec.response {
            AnswerCheck::Right
        } else {
            AnswerCheck::Wrong
        };
    }
    Ok(result)
}

/// Reads the outcome, server and retry delay from a response head; the body is not
/// yet checked.
pub fn parse_head(status: StatusCode, headers: &HeaderMap) -> AttemptResult {
    let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
    let told = match text(VERDICT_HEADER) {
        Some("not-run") => ReportedOutcome::NotRun,
        Some("may-have-run") => ReportedOutcome::MayHaveRun,
        Some("served") => ReportedOutcome::Served,
        _ if status == StatusCode::OK => ReportedOutcome::Served,
        _ if headers.contains_key(NOT_RUN_HEADER) => ReportedOutcome::NotRun,
        _ => ReportedOutcome::MayHaveRun,
    };
    let retry_after = text(RETRY_AFTER.as_str()).and_then(|v| v.parse().ok());
    AttemptResult {
        told,
        answer: AnswerCheck::Absent,
        server: text(SERVER_HEADER).map(str::to_string),
        retry_after: retry_after.map(Duration::from_secs),
    }
}

//! Claims, uploads and balances: attempts until one is served.

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

use crate::backend::handle::NOT_RUN_HEADER;
use crate::backend::handle::SERVER_HEADER;
use crate::history::AnswerCheck;
use crate::history::EventData;
use crate::history::FlowEnd;
use crate::history::ReportedOutcome;
use crate::history::RequestKind;
use crate::load::Load;
use crate::load::ask::Ask;
use crate::load::connection::Connection;
use crate::load::connection::InAnswer;

/// Attempts at one request.
const ATTEMPTS_MOST: u32 = 5;

/// Time beyond the deadline after which a caller no longer waits.
const PATIENCE: Duration = Duration::from_secs(2);

/// Pause before another attempt when the answer names none, in milliseconds.
const RETRY_PAUSE_MS: u64 = 500;

/// Longest pause before another attempt.
const RETRY_PAUSE_MOST: Duration = Duration::from_secs(3);

/// What the caller learned from one attempt.
#[derive(Clone, Debug)]
pub struct Reply {
    /// What it was told.
    pub told: ReportedOutcome,
    /// What the answer was worth.
    pub answer: AnswerCheck,
    /// Server that answered.
    pub server: Option<String>,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl Reply {
    fn nothing() -> Reply {
        Reply {
            told: ReportedOutcome::Nothing,
            answer: AnswerCheck::Absent,
            server: None,
            retry_after: None,
        }
    }
}

impl Load {
    /// Makes attempts until one is served or the last has failed.
    pub(super) async fn see_through(self: Rc<Self>, ask: Ask) {
        for _ in 0..ATTEMPTS_MOST {
            let reply = self.attempt(&ask).await;
            if reply.told == ReportedOutcome::Served {
                return;
            }
            if *self.stopping.borrow() {
                break;
            }
            tokio::time::sleep(self.pause(&reply)).await;
        }
        self.counts.borrow_mut().given_up += 1;
    }

    /// Time until the next attempt, spread so that callers don't return in step.
    pub(super) fn pause(&self, reply: &Reply) -> Duration {
        let base = reply
            .retry_after
            .unwrap_or(Duration::from_millis(RETRY_PAUSE_MS));
        let spread = self.rng.borrow_mut().below(RETRY_PAUSE_MS);
        base.min(RETRY_PAUSE_MOST) + Duration::from_millis(spread)
    }

    async fn attempt(self: &Rc<Self>, ask: &Ask) -> Reply {
        let attempt = self.begin_attempt(ask);
        let started = Instant::now();
        let limit = self.cfg.deadline + PATIENCE;
        let reply = self.exchange(ask, &attempt, started + limit).await;
        self.end_attempt(ask, attempt, &reply, started);
        reply
    }

    /// Notes that an attempt is sent, and returns its number.
    pub(super) fn begin_attempt(&self, ask: &Ask) -> String {
        let attempt = format!("{}-{}", self.cfg.seed, self.number());
        self.counts.borrow_mut().requests_sent += 1;
        self.record(EventData::RequestSent {
            request: ask.id.clone(),
            attempt: attempt.clone(),
            kind: ask.kind,
            service: self.cfg.targets[ask.service].name.clone(),
        });
        attempt
    }

    /// Notes how an attempt ended.
    pub(super) fn end_attempt(&self, ask: &Ask, attempt: String, reply: &Reply, started: Instant) {
        let mut counts = self.counts.borrow_mut();
        counts.attempt_ended(ask.kind, reply.told, reply.answer);
        self.record(EventData::RequestEnded {
            request: ask.id.clone(),
            attempt,
            told: reply.told,
            answer: reply.answer,
            server: reply.server.clone(),
            took_ms: started.elapsed().as_millis() as u64,
        });
    }

    async fn exchange(self: &Rc<Self>, ask: &Ask, attempt: &str, until: Instant) -> Reply {
        loop {
            let Ok(mut conn) = self.connection(ask.service).await else {
                return Reply::nothing();
            };
            let in_answer = conn.in_answer();
            let work = read_whole(&mut conn, self.request(ask, attempt), ask, &in_answer);
            match tokio::time::timeout_at(until, work).await {
                Ok(Ok(reply)) => {
                    drop(in_answer);
                    if conn.is_fresh() {
                        self.idle.borrow_mut().push(conn);
                    }
                    return reply;
                }
                // Not a byte was sent: the connection closed while idle.
                Ok(Err(err)) if err.is_canceled() => {}
                Ok(Err(_)) => {
                    in_answer.ended(FlowEnd::Broken);
                    return Reply::nothing();
                }
                Err(_) => {
                    in_answer.ended(FlowEnd::Silent);
                    return Reply::nothing();
                }
            }
        }
    }

    /// The request as it is sent.
    pub(super) fn request(&self, ask: &Ask, attempt: &str) -> Request<Full<Bytes>> {
        let target = &self.cfg.targets[ask.service];
        let path = format!("{}&attempt={attempt}&service={}", ask.path, target.name);
        let mut req = Request::builder()
            .method(ask.method())
            .uri(path)
            .header(HOST, &target.name);
        req = match ask.kind {
            // A feed has no end by which a deadline could be kept.
            RequestKind::Feed => req.header(ACCEPT, "text/event-stream"),
            RequestKind::Balance => {
                req.header(DEADLINE_HEADER, self.cfg.deadline.as_millis() as u64)
            }
            RequestKind::Claim | RequestKind::Upload => req
                .header(DEADLINE_HEADER, self.cfg.deadline.as_millis() as u64)
                .header(IDEMPOTENCY_HEADER, &ask.id),
        };
        req.body(Full::new(ask.body.clone()))
            .expect("names and numbers make a valid request")
    }
}

async fn read_whole(
    conn: &mut Connection,
    req: Request<Full<Bytes>>,
    ask: &Ask,
    in_answer: &InAnswer,
) -> hyper::Result<Reply> {
    let res = conn.send(req).await?;
    let (head, body): (_, Incoming) = res.into_parts();
    let mut reply = judge_head(head.status, &head.headers);
    in_answer.answered_by(reply.server.clone());
    let body = body.collect().await?.to_bytes();
    if head.status == StatusCode::OK && reply.told == ReportedOutcome::Served {
        reply.answer = if body == ask.answer {
            AnswerCheck::Right
        } else {
            AnswerCheck::Wrong
        };
    }
    Ok(reply)
}

/// What the head of an answer tells, before its body is judged.
pub fn judge_head(status: StatusCode, headers: &HeaderMap) -> Reply {
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
    Reply {
        told,
        answer: AnswerCheck::Absent,
        server: text(SERVER_HEADER).map(str::to_string),
        retry_after: retry_after.map(Duration::from_secs),
    }
}

//! The endpoints of a backend server.

use std::hash::Hasher;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use serde::Deserialize;
use siphasher::sip::SipHasher13;

use crate::backend::Backend;
use crate::backend::body::Answer;
use crate::backend::body::Feed;
use crate::backend::capacity::Entry;
use crate::backend::report;
use crate::backend::report::LoadReport;
use crate::expected_response;
use crate::expected_response::query_parameter;
use crate::history::EventData;
use crate::history::RequestKind;

/// Header that names the backend server in each of its answers.
pub const SERVER_HEADER: &str = "x-server";

/// Header of an answer by which the server says that nothing ran.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// Period of a feed that asks for none, in milliseconds.
const FEED_PERIOD_MS: u64 = 1000;

type Reply = Response<Answer>;

/// Body of a claim.
#[derive(Deserialize)]
struct ClaimBody {
    claim: String,
}

/// What a request says of itself, for the history.
#[derive(Clone, Debug)]
struct Label {
    request: String,
    attempt: String,
    kind: RequestKind,
    meant_for: String,
}

/// A request that holds a slot until it is finished or dropped.
struct Slot<'a> {
    backend: &'a Backend,
    finished: bool,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.backend.capacity.borrow_mut().end(self.finished);
    }
}

impl Backend {
    /// Answers one request.
    ///
    /// # Errors
    ///
    /// When the connection must end: its request's body broke off, or the
    /// server fell over.
    pub async fn handle(self: Rc<Self>, req: Request<Incoming>) -> Result<Reply, hyper::Error> {
        let path = req.uri().path().to_string();
        let mut reply = match (req.method(), path.as_str()) {
            (&Method::GET, "/feed") => self.feed(&req),
            (&Method::POST, "/claim") => self.claim(req).await?,
            (&Method::POST, "/upload") => self.upload(req).await?,
            (&Method::GET, "/balance") => self.balance(&req).await,
            (&Method::GET, "/health") => self.health(),
            (&Method::GET, "/load") => self.load(),
            (&Method::PUT, "/cold") => {
                self.turn_cold();
                whole(StatusCode::OK, "cold\n")
            }
            _ => whole(StatusCode::NOT_FOUND, "no such page\n"),
        };
        if let Ok(name) = self.cfg.name.parse() {
            reply.headers_mut().insert(SERVER_HEADER, name);
        }
        Ok(reply)
    }

    /// A feed holds a connection, not a slot.
    fn feed(&self, req: &Request<Incoming>) -> Reply {
        let query = req.uri().query();
        let label = Label::of(req, RequestKind::Feed);
        let period = number(query, "every_ms").unwrap_or(FEED_PERIOD_MS);
        let feed = Feed::new(
            label.request.clone(),
            Duration::from_millis(period),
            number(query, "events"),
            self.draining.subscribe(),
        );
        self.record_began(&label);
        let mut reply = Response::new(Answer::Feed(feed));
        let kind = hyper::header::HeaderValue::from_static("text/event-stream");
        reply.headers_mut().insert(CONTENT_TYPE, kind);
        reply
    }

    async fn claim(&self, req: Request<Incoming>) -> Result<Reply, hyper::Error> {
        let mut label = Label::of(&req, RequestKind::Claim);
        let Some(mut slot) = self.enter(&label) else {
            return Ok(refusal());
        };
        let body = req.into_body().collect().await?.to_bytes();
        let Ok(ClaimBody { claim }) = serde_json::from_slice(&body) else {
            return Ok(whole(StatusCode::BAD_REQUEST, "not a claim\n"));
        };
        label.request = claim;
        self.record_ran(&label);
        self.work().await;
        slot.finished = true;
        Ok(json(expected_response::claim_receipt(&label.request)))
    }

    async fn upload(&self, req: Request<Incoming>) -> Result<Reply, hyper::Error> {
        let label = Label::of(&req, RequestKind::Upload);
        let Some(mut slot) = self.enter(&label) else {
            return Ok(refusal());
        };
        let mut body = req.into_body();
        let mut hasher = SipHasher13::new();
        let mut len = 0;
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame?.into_data() {
                hasher.write(&data);
                len += data.len() as u64;
            }
        }
        self.record_ran(&label);
        self.work().await;
        slot.finished = true;
        let receipt = expected_response::upload_receipt(&label.request, len, hasher.finish());
        Ok(json(receipt))
    }

    async fn balance(&self, req: &Request<Incoming>) -> Reply {
        let label = Label::of(req, RequestKind::Balance);
        let len = number(req.uri().query(), "bytes").unwrap_or(0) as usize;
        if len > expected_response::MAX_RESPONSE_LEN_BYTES {
            return whole(StatusCode::BAD_REQUEST, "too many bytes\n");
        }
        let Some(mut slot) = self.enter(&label) else {
            return refusal();
        };
        self.record_ran(&label);
        self.work().await;
        slot.finished = true;
        whole(
            StatusCode::OK,
            expected_response::response_bytes(&label.request, len),
        )
    }

    fn health(&self) -> Reply {
        if *self.draining.borrow() {
            return whole(StatusCode::SERVICE_UNAVAILABLE, "draining\n");
        }
        whole(StatusCode::OK, "ok\n")
    }

    fn load(&self) -> Reply {
        let capacity = self.capacity.borrow();
        let load = LoadReport {
            in_progress: capacity.in_progress(),
            bears: capacity.bears(),
            slots: self.cfg.slots,
            connections: self.connections.get(),
        };
        let mut reports = self.reports.borrow_mut();
        reports.note(Instant::now(), load);
        let mut told = reports.told();
        let rng = &mut *self.rng.borrow_mut();
        if rng.chance(self.cfg.lie) {
            told = report::lie(rng, told);
        }
        json(serde_json::json!(told).to_string())
    }

    /// Takes a slot; none when all are in use.
    fn enter(&self, label: &Label) -> Option<Slot<'_>> {
        let entry = self.capacity.borrow_mut().begin();
        if entry == Entry::Full {
            self.record(EventData::Shed {
                attempt: label.attempt.clone(),
            });
            return None;
        }
        let slot = Slot {
            backend: self,
            finished: false,
        };
        self.record_began(label);
        if entry != Entry::Taken {
            self.record_overload();
        }
        if entry == Entry::FellOver {
            self.fall_over();
        }
        Some(slot)
    }

    /// Takes the time of the request, longer when overloaded.
    async fn work(&self) {
        let slowdown = self.capacity.borrow().slowdown();
        let span = self.cfg.service_time.saturating_mul(slowdown);
        tokio::time::sleep(span).await;
    }

    fn record_began(&self, label: &Label) {
        let capacity = self.capacity.borrow();
        self.record(EventData::Began {
            request: label.request.clone(),
            attempt: label.attempt.clone(),
            kind: label.kind,
            meant_for: label.meant_for.clone(),
            in_progress: capacity.in_progress(),
            bears: capacity.bears(),
        });
    }

    fn record_ran(&self, label: &Label) {
        self.record(EventData::Ran {
            request: label.request.clone(),
            attempt: label.attempt.clone(),
        });
    }

    fn record_overload(&self) {
        let capacity = self.capacity.borrow();
        self.record(EventData::Overloaded {
            in_progress: capacity.in_progress(),
            bears: capacity.bears(),
        });
    }
}

impl Label {
    fn of(req: &Request<Incoming>, kind: RequestKind) -> Label {
        let text = |name| {
            query_parameter(req.uri().query(), name)
                .unwrap_or_default()
                .to_string()
        };
        Label {
            request: text("id"),
            attempt: text("attempt"),
            kind,
            meant_for: text("service"),
        }
    }
}

fn number(query: Option<&str>, name: &str) -> Option<u64> {
    query_parameter(query, name)?.parse().ok()
}

fn refusal() -> Reply {
    let mut reply = whole(StatusCode::SERVICE_UNAVAILABLE, "every slot is in use\n");
    let yes = hyper::header::HeaderValue::from_static("1");
    reply.headers_mut().insert(NOT_RUN_HEADER, yes);
    reply
}

fn json(text: String) -> Reply {
    let mut reply = whole(StatusCode::OK, text);
    let kind = hyper::header::HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, kind);
    reply
}

fn whole(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Answer::Whole(Full::new(body.into())));
    *reply.status_mut() = status;
    reply
}

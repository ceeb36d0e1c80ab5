//! HTTP endpoints of the simulated backend server.
//!
//! Claims, uploads and balances take a slot and simulate work; feeds hold only
//! their connection. Accepted, executed and rejected requests are recorded in the
//! history.

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
use crate::backend::body::Feed;
use crate::backend::body::ResponseBody;
use crate::backend::capacity::StartResult;
use crate::backend::report;
use crate::backend::report::LoadReport;
use crate::expected_response;
use crate::expected_response::query_parameter;
use crate::history::EventData;
use crate::history::RequestKind;

/// Response header with the name of the backend server.
pub const SERVER_HEADER: &str = "x-server";

/// Response header by which the server reports that the request did not run.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// Interval between feed events when the query has no `every_ms`.
const DEFAULT_FEED_PERIOD_MS: u64 = 1000;

type BackendResponse = Response<ResponseBody>;

/// JSON body of a claim request.
#[derive(Deserialize)]
struct ClaimBody {
    claim: String,
}

/// Request metadata for the history, taken from the query.
#[derive(Clone, Debug)]
struct RequestInfo {
    request: String,
    attempt: String,
    kind: RequestKind,
    meant_for: String,
}

/// Slot held by a request; released on drop, as finished or abandoned.
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
    /// Routes one request to its endpoint and returns the response.
    ///
    /// # Errors
    ///
    /// When the body of the request could not be read to its end; the connection
    /// must then be closed.
    pub async fn handle(
        self: Rc<Self>,
        req: Request<Incoming>,
    ) -> Result<BackendResponse, hyper::Error> {
        let path = req.uri().path().to_string();
        let mut response = match (req.method(), path.as_str()) {
            (&Method::GET, "/feed") => self.feed(&req),
            (&Method::POST, "/claim") => self.claim(req).await?,
            (&Method::POST, "/upload") => self.upload(req).await?,
            (&Method::GET, "/balance") => self.balance(&req).await,
            (&Method::GET, "/health") => self.health(),
            (&Method::GET, "/load") => self.load(),
            (&Method::PUT, "/cold") => {
                self.enter_cold_start();
                complete_response(StatusCode::OK, "cold\n")
            }
            _ => complete_response(StatusCode::NOT_FOUND, "no such page\n"),
        };
        if let Ok(name) = self.cfg.name.parse() {
            response.headers_mut().insert(SERVER_HEADER, name);
        }
        Ok(response)
    }

    /// Starts a feed. A feed occupies its connection but takes no slot.
    fn feed(&self, req: &Request<Incoming>) -> BackendResponse {
        let query = req.uri().query();
        let info = RequestInfo::from_query(req, RequestKind::Feed);
        let period = query_number(query, "every_ms").unwrap_or(DEFAULT_FEED_PERIOD_MS);
        let feed = Feed::new(
            info.request.clone(),
            Duration::from_millis(period),
            query_number(query, "events"),
            self.draining.subscribe(),
        );
        self.record_began(&info);
        let mut response = Response::new(ResponseBody::Feed(feed));
        let kind = hyper::header::HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, kind);
        response
    }

    async fn claim(&self, req: Request<Incoming>) -> Result<BackendResponse, hyper::Error> {
        let mut info = RequestInfo::from_query(&req, RequestKind::Claim);
        let Some(mut slot) = self.acquire_slot(&info) else {
            return Ok(not_run_response());
        };
        let body = req.into_body().collect().await?.to_bytes();
        let Ok(ClaimBody { claim }) = serde_json::from_slice(&body) else {
            return Ok(complete_response(StatusCode::BAD_REQUEST, "not a claim\n"));
        };
        info.request = claim;
        self.record_ran(&info);
        self.simulate_work().await;
        slot.finished = true;
        Ok(json_response(expected_response::claim_receipt(
            &info.request,
        )))
    }

    async fn upload(&self, req: Request<Incoming>) -> Result<BackendResponse, hyper::Error> {
        let info = RequestInfo::from_query(&req, RequestKind::Upload);
        let Some(mut slot) = self.acquire_slot(&info) else {
            return Ok(not_run_response());
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
        self.record_ran(&info);
        self.simulate_work().await;
        slot.finished = true;
        let receipt = expected_response::upload_receipt(&info.request, len, hasher.finish());
        Ok(json_response(receipt))
    }

    async fn balance(&self, req: &Request<Incoming>) -> BackendResponse {
        let info = RequestInfo::from_query(req, RequestKind::Balance);
        let len = query_number(req.uri().query(), "bytes").unwrap_or(0) as usize;
        if len > expected_response::MAX_RESPONSE_LEN_BYTES {
            return complete_response(StatusCode::BAD_REQUEST, "too many bytes\n");
        }
        let Some(mut slot) = self.acquire_slot(&info) else {
            return not_run_response();
        };
        self.record_ran(&info);
        self.simulate_work().await;
        slot.finished = true;
        complete_response(
            StatusCode::OK,
            expected_response::response_bytes(&info.request, len),
        )
    }

    fn health(&self) -> BackendResponse {
        if *self.draining.borrow() {
            return complete_response(StatusCode::SERVICE_UNAVAILABLE, "draining\n");
        }
        complete_response(StatusCode::OK, "ok\n")
    }

    fn load(&self) -> BackendResponse {
        let capacity = self.capacity.borrow();
        let load = LoadReport {
            in_progress: capacity.in_progress(),
            bears: capacity.limit(),
            slots: self.cfg.slots,
            connections: self.open_connections.get(),
        };
        let mut reports = self.reports.borrow_mut();
        reports.record(Instant::now(), load);
        let mut reported = reports.current();
        let rng = &mut *self.rng.borrow_mut();
        if rng.chance(self.cfg.false_report_share) {
            reported = report::false_report(rng, reported);
        }
        json_response(serde_json::json!(reported).to_string())
    }

    /// Takes a slot for a request; `None` when all are in use.
    fn acquire_slot(&self, info: &RequestInfo) -> Option<Slot<'_>> {
        let result = self.capacity.borrow_mut().begin();
        if result == StartResult::Rejected {
            self.record(EventData::Shed {
                attempt: info.attempt.clone(),
            });
            return None;
        }
        let slot = Slot {
            backend: self,
            finished: false,
        };
        self.record_began(info);
        if result != StartResult::Accepted {
            self.record_overload();
        }
        if result == StartResult::Crashed {
            self.crash();
        }
        Some(slot)
    }

    /// Sleeps for the service time, which is longer when overloaded.
    async fn simulate_work(&self) {
        let slowdown = self.capacity.borrow().slowdown();
        let duration = self.cfg.service_time.saturating_mul(slowdown);
        tokio::time::sleep(duration).await;
    }

    fn record_began(&self, info: &RequestInfo) {
        let capacity = self.capacity.borrow();
        self.record(EventData::Began {
            request: info.request.clone(),
            attempt: info.attempt.clone(),
            kind: info.kind,
            meant_for: info.meant_for.clone(),
            in_progress: capacity.in_progress(),
            bears: capacity.limit(),
        });
    }

    fn record_ran(&self, info: &RequestInfo) {
        self.record(EventData::Ran {
            request: info.request.clone(),
            attempt: info.attempt.clone(),
        });
    }

    fn record_overload(&self) {
        let capacity = self.capacity.borrow();
        self.record(EventData::Overloaded {
            in_progress: capacity.in_progress(),
            bears: capacity.limit(),
        });
    }
}

impl RequestInfo {
    fn from_query(req: &Request<Incoming>, kind: RequestKind) -> RequestInfo {
        let text = |name| {
            query_parameter(req.uri().query(), name)
                .unwrap_or_default()
                .to_string()
        };
        RequestInfo {
            request: text("id"),
            attempt: text("attempt"),
            kind,
            meant_for: text("service"),
        }
    }
}

fn query_number(query: Option<&str>, name: &str) -> Option<u64> {
    query_parameter(query, name)?.parse().ok()
}

fn not_run_response() -> BackendResponse {
    let mut response = complete_response(StatusCode::SERVICE_UNAVAILABLE, "every slot is in use\n");
    let yes = hyper::header::HeaderValue::from_static("1");
    response.headers_mut().insert(NOT_RUN_HEADER, yes);
    response
}

fn json_response(text: String) -> BackendResponse {
    let mut response = complete_response(StatusCode::OK, text);
    let kind = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

fn complete_response(status: StatusCode, body: impl Into<Bytes>) -> BackendResponse {
    let mut response = Response::new(ResponseBody::Complete(Full::new(body.into())));
    *response.status_mut() = status;
    response
}

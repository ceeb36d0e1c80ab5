//! HTTP interface of the simulated platform.
//!
//! `GET /fleet` and `GET /instances` read a text, with `after` and `wait_ms` in
//! the query as a long poll; `PUT` on them publishes a new version. `PUT /mode`
//! sets the mode, and `GET /calls` returns the counts of reads as JSON.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use quick_error::quick_error;
use ramp_state::key::Version;
use ramp_transport::platform::TEXT_LIMIT_BYTES;
use ramp_transport::platform::Topic;
use ramp_transport::platform::VERSION_HEADER;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::platform::Shared;

/// Longest wait of a long poll; longer ones are cut to it.
const MAX_LONG_POLL_WAIT: Duration = Duration::from_secs(60);

quick_error! {
    /// Why a request gets no response, so that the connection is closed.
    #[derive(Debug)]
    pub enum NoResponse {
        /// The platform's mode is `down`.
        Down {
            display("the platform is set to be down")
        }
    }
}

type HttpResponse = Response<Full<Bytes>>;

/// Handles one request.
///
/// # Errors
///
/// [`NoResponse`] makes the server close the connection.
pub async fn handle_request(
    shared: Shared,
    req: Request<Incoming>,
) -> Result<HttpResponse, NoResponse> {
    let topic = match req.uri().path() {
        "/fleet" => Some(Topic::Fleet),
        "/instances" => Some(Topic::Instances),
        _ => None,
    };
    match (req.method(), req.uri().path(), topic) {
        (&Method::GET, _, Some(topic)) => read(shared, topic, req.uri().query()).await,
        (&Method::PUT, _, Some(topic)) => Ok(publish(shared, topic, req).await),
        (&Method::PUT, "/mode", _) => Ok(set_mode(shared, req).await),
        (&Method::GET, "/calls", _) => Ok(call_counts(shared)),
        _ => Ok(plain(StatusCode::NOT_FOUND, "no such path or method")),
    }
}

/// Responds with a version newer than `after`; waits up to `wait_ms` for one, and
/// then responds that nothing has changed.
async fn read(
    shared: Shared,
    topic: Topic,
    query: Option<&str>,
) -> Result<HttpResponse, NoResponse> {
    let after = Version(query_number(query, "after"));
    let wait = Duration::from_millis(query_number(query, "wait_ms")).min(MAX_LONG_POLL_WAIT);
    let deadline = Instant::now() + wait;
    let mut changes = shared.borrow().changes();
    count_call(&shared, topic);
    loop {
        changes.borrow_and_update();
        if shared.borrow().is_down() {
            shared.borrow_mut().calls.unanswered += 1;
            return Err(NoResponse::Down);
        }
        if let Some(response) = newer(&shared, topic, after) {
            return Ok(response);
        }
        if timeout_at(deadline, changes.changed()).await.is_err() {
            return Ok(unchanged(&shared, topic));
        }
    }
}

fn count_call(shared: &Shared, topic: Topic) {
    let calls = &mut shared.borrow_mut().calls;
    match topic {
        Topic::Fleet => calls.fleet += 1,
        Topic::Instances => calls.instances += 1,
    }
}

fn newer(shared: &Shared, topic: Topic, after: Version) -> Option<HttpResponse> {
    let state = shared.borrow();
    let current = state.current(topic)?;
    if current.version <= after {
        return None;
    }
    let body = Full::from(current.text.clone());
    Some(with_version(StatusCode::OK, current.version, body))
}

fn unchanged(shared: &Shared, topic: Topic) -> HttpResponse {
    let state = shared.borrow();
    let version = state.current(topic).map(|p| p.version);
    let version = version.unwrap_or_default();
    with_version(StatusCode::NOT_MODIFIED, version, Full::default())
}

async fn publish(shared: Shared, topic: Topic, req: Request<Incoming>) -> HttpResponse {
    let Some(text) = read_body(req).await else {
        return plain(StatusCode::PAYLOAD_TOO_LARGE, "at most 1 MB of UTF-8");
    };
    let version = shared.borrow_mut().publish(topic, text);
    with_version(StatusCode::OK, version, Full::default())
}

async fn set_mode(shared: Shared, req: Request<Incoming>) -> HttpResponse {
    let text = read_body(req).await.unwrap_or_default();
    match shared.borrow_mut().set_mode(&text) {
        Ok(()) => plain(StatusCode::OK, ""),
        Err(err) => plain(StatusCode::BAD_REQUEST, err.to_string()),
    }
}

fn call_counts(shared: Shared) -> HttpResponse {
    let calls = shared.borrow().calls;
    let text = serde_json::json!({
        "fleet": calls.fleet,
        "instances": calls.instances,
        "unanswered": calls.unanswered,
    });
    plain(StatusCode::OK, text.to_string())
}

/// Body as text; none when it is too long, incomplete or not UTF-8.
async fn read_body(req: Request<Incoming>) -> Option<String> {
    let limited = Limited::new(req.into_body(), TEXT_LIMIT_BYTES);
    let bytes = limited.collect().await.ok()?.to_bytes();
    String::from_utf8(bytes.to_vec()).ok()
}

/// Number given for `key` in a query; zero when it is missing or not a number.
fn query_number(query: Option<&str>, key: &str) -> u64 {
    query
        .unwrap_or_default()
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(name, _)| *name == key)
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or_default()
}

fn plain(status: StatusCode, text: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

fn with_version(status: StatusCode, version: Version, body: Full<Bytes>) -> HttpResponse {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(VERSION_HEADER, version.0.into());
    response
}

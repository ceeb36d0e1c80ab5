//! The HTTP interface of the stand-in.

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

/// Longest wait that a watch may ask for.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

quick_error! {
    /// The stand-in is down: the connection is closed without an answer.
    #[derive(Debug)]
    pub enum Withheld {
        /// By its mode.
        Down {
            display("down")
        }
    }
}

type Answer = Response<Full<Bytes>>;

/// Answers one request.
///
/// # Errors
///
/// [`Withheld`] closes the connection.
pub async fn answer(shared: Shared, req: Request<Incoming>) -> Result<Answer, Withheld> {
    let topic = match req.uri().path() {
        "/fleet" => Some(Topic::Fleet),
        "/instances" => Some(Topic::Instances),
        _ => None,
    };
    match (req.method(), req.uri().path(), topic) {
        (&Method::GET, _, Some(topic)) => read(shared, topic, req.uri().query()).await,
        (&Method::PUT, _, Some(topic)) => Ok(publish(shared, topic, req).await),
        (&Method::PUT, "/mode", _) => Ok(set_mode(shared, req).await),
        (&Method::GET, "/calls", _) => Ok(calls(shared)),
        _ => Ok(plain(StatusCode::NOT_FOUND, "no such thing")),
    }
}

/// Waits until there is something newer than the caller has.
async fn read(shared: Shared, topic: Topic, query: Option<&str>) -> Result<Answer, Withheld> {
    let after = Version(number(query, "after"));
    let wait = Duration::from_millis(number(query, "wait_ms")).min(LONGEST_WAIT);
    let until = Instant::now() + wait;
    let mut changes = shared.borrow().changes();
    count(&shared, topic);
    loop {
        changes.borrow_and_update();
        if shared.borrow().is_down() {
            shared.borrow_mut().calls.unanswered += 1;
            return Err(Withheld::Down);
        }
        if let Some(answer) = newer(&shared, topic, after) {
            return Ok(answer);
        }
        if timeout_at(until, changes.changed()).await.is_err() {
            return Ok(unchanged(&shared, topic));
        }
    }
}

fn count(shared: &Shared, topic: Topic) {
    let calls = &mut shared.borrow_mut().calls;
    match topic {
        Topic::Fleet => calls.fleet += 1,
        Topic::Instances => calls.instances += 1,
    }
}

fn newer(shared: &Shared, topic: Topic, after: Version) -> Option<Answer> {
    let publication = shared.borrow();
    let current = publication.current(topic)?;
    if current.version <= after {
        return None;
    }
    let body = Full::from(current.text.clone());
    Some(with_version(StatusCode::OK, current.version, body))
}

fn unchanged(shared: &Shared, topic: Topic) -> Answer {
    let publication = shared.borrow();
    let version = publication.current(topic).map(|p| p.version);
    let version = version.unwrap_or_default();
    with_version(StatusCode::NOT_MODIFIED, version, Full::default())
}

async fn publish(shared: Shared, topic: Topic, req: Request<Incoming>) -> Answer {
    let Some(text) = body(req).await else {
        return plain(StatusCode::PAYLOAD_TOO_LARGE, "at most 1 MB of UTF-8");
    };
    let version = shared.borrow_mut().publish(topic, text);
    with_version(StatusCode::OK, version, Full::default())
}

async fn set_mode(shared: Shared, req: Request<Incoming>) -> Answer {
    let text = body(req).await.unwrap_or_default();
    match shared.borrow_mut().set_mode(&text) {
        Ok(()) => plain(StatusCode::OK, ""),
        Err(err) => plain(StatusCode::BAD_REQUEST, err.to_string()),
    }
}

fn calls(shared: Shared) -> Answer {
    let calls = shared.borrow().calls;
    let text = serde_json::json!({
        "fleet": calls.fleet,
        "instances": calls.instances,
        "unanswered": calls.unanswered,
    });
    plain(StatusCode::OK, text.to_string())
}

async fn body(req: Request<Incoming>) -> Option<String> {
    let limited = Limited::new(req.into_body(), TEXT_LIMIT_BYTES);
    let bytes = limited.collect().await.ok()?.to_bytes();
    String::from_utf8(bytes.to_vec()).ok()
}

/// Number behind `key` in a query; zero without one.
fn number(query: Option<&str>, key: &str) -> u64 {
    query
        .unwrap_or_default()
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(name, _)| *name == key)
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or_default()
}

fn plain(status: StatusCode, text: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(text.into()));
    *answer.status_mut() = status;
    answer
}

fn with_version(status: StatusCode, version: Version, body: Full<Bytes>) -> Answer {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(VERSION_HEADER, version.0.into());
    answer
}

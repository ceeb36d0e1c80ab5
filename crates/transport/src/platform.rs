//! HTTP client of the platform's configuration service: reads texts and waits
//! for newer versions of them, but never writes.
//!
//! Each call makes one request on a new connection and is counted in the metrics.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header;
use hyper_util::rt::TokioIo;
use metrics::counter;
use ramp_coordination::platform_reply::PlatformCallError;
use ramp_coordination::platform_reply::PlatformReply;
use ramp_coordination::platform_reply::PublishedText;
use ramp_state::key::Version;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Name of the response header with the version of the text.
pub const VERSION_HEADER: &str = "x-version";

/// Maximum length of a text that the platform stores, in bytes.
pub const TEXT_LIMIT_BYTES: usize = 1024 * 1024;

/// Time that a call may take in addition to the wait that it requests.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The texts that the platform publishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// The fleet document.
    Fleet,
    /// The list of live and leaving instances.
    Instances,
}

impl Topic {
    /// Name in paths and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Topic::Fleet => "fleet",
            Topic::Instances => "instances",
        }
    }
}

/// Requests a fleet document newer than `after` (long poll): the platform
/// responds when there is one, and at the latest after `wait`.
///
/// # Errors
///
/// [`PlatformCallError`] if the call fails or takes longer than `wait` and
/// [`CALL_TIMEOUT`] together.
pub async fn fetch_fleet(
    addr: SocketAddrV4,
    after: Version,
    wait: Duration,
) -> Result<PlatformReply, PlatformCallError> {
    fetch(addr, Topic::Fleet, after, wait).await
}

/// Requests a list of instances newer than `after`, like [`fetch_fleet`].
///
/// # Errors
///
/// Like [`fetch_fleet`].
pub async fn fetch_instances(
    addr: SocketAddrV4,
    after: Version,
    wait: Duration,
) -> Result<PlatformReply, PlatformCallError> {
    fetch(addr, Topic::Instances, after, wait).await
}

/// Requests a newer text of `topic`, like [`fetch_fleet`].
///
/// # Errors
///
/// Like [`fetch_fleet`].
pub async fn fetch(
    addr: SocketAddrV4,
    topic: Topic,
    after: Version,
    wait: Duration,
) -> Result<PlatformReply, PlatformCallError> {
    let result = timeout(wait + CALL_TIMEOUT, call(addr, topic, after, wait))
        .await
        .unwrap_or(Err(PlatformCallError::TimedOut));
    counter!(
        "bramleyramp_platform_calls_total",
        "topic" => topic.name(),
        "result" => result_label(&result),
    )
    .increment(1);
    result
}

fn result_label(result: &Result<PlatformReply, PlatformCallError>) -> &'static str {
    match result {
        Ok(PlatformReply::Newer(_)) => "newer",
        Ok(PlatformReply::Unchanged { .. }) => "unchanged",
        Err(PlatformCallError::Unreachable(_)) => "unreachable",
        Err(PlatformCallError::TimedOut) => "timed_out",
        Err(PlatformCallError::Status(_)) => "status",
        Err(PlatformCallError::NoVersion) => "no_version",
        Err(PlatformCallError::Unreadable) => "unreadable",
    }
}

async fn call(
    addr: SocketAddrV4,
    topic: Topic,
    after: Version,
    wait: Duration,
) -> Result<PlatformReply, PlatformCallError> {
    let stream = TcpStream::connect(addr).await.map_err(unreachable)?;
    let (mut tx, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(unreachable)?;
    // The task ends when `tx` and the response's body are dropped.
    tokio::spawn(connection);
    let path = format!(
        "/{}?after={after}&wait_ms={}",
        topic.name(),
        wait.as_millis()
    );
    let req = Request::get(path)
        .header(header::HOST, addr.to_string())
        .body(Empty::<Bytes>::new())
        .expect("the path is a valid URI and the host a valid header value");
    let response = tx.send_request(req).await.map_err(unreachable)?;
    read_reply(response).await
}

fn unreachable(err: impl std::error::Error) -> PlatformCallError {
    PlatformCallError::Unreachable(err.to_string())
}

async fn read_reply(response: Response<Incoming>) -> Result<PlatformReply, PlatformCallError> {
    let status = response.status();
    if status != StatusCode::OK && status != StatusCode::NOT_MODIFIED {
        return Err(PlatformCallError::Status(status.as_u16()));
    }
    let version = version(&response).ok_or(PlatformCallError::NoVersion)?;
    if status == StatusCode::NOT_MODIFIED {
        return Ok(PlatformReply::Unchanged { version });
    }
    let body = Limited::new(response.into_body(), TEXT_LIMIT_BYTES);
    let bytes = body.collect().await.map_err(body_error)?.to_bytes();
    let Ok(text) = String::from_utf8(bytes.to_vec()) else {
        return Err(PlatformCallError::Unreadable);
    };
    Ok(PlatformReply::Newer(PublishedText { version, text }))
}

fn version(response: &Response<Incoming>) -> Option<Version> {
    let value = response.headers().get(VERSION_HEADER)?;
    value.to_str().ok()?.parse().ok().map(Version)
}

fn body_error(err: Box<dyn std::error::Error + Send + Sync>) -> PlatformCallError {
    match err.is::<LengthLimitError>() {
        true => PlatformCallError::Unreadable,
        false => PlatformCallError::Unreachable(err.to_string()),
    }
}

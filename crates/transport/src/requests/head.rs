//! Heads of requests and responses: parses what the agent needs to know of a
//! request, and rewrites headers before a head is passed on.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use ramp_state::verdict::DEADLINE_HEADER;
use ramp_state::verdict::IDEMPOTENCY_HEADER;
use ramp_state::verdict::REASON_HEADER;
use ramp_state::verdict::VERDICT_HEADER;

use super::peer_auth;

/// Media type of a feed, which is a stream of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// Longest idempotency key that is accepted.
const MAX_IDEMPOTENCY_KEY_LEN_BYTES: usize = 255;

/// Hop-by-hop headers: they concern one connection only and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// What the agent needs to know of a request before it is admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Time that the caller allows for the request; if absent, the backend
    /// server's policy sets it.
    pub deadline: Option<Duration>,
    /// Whether the caller asks for a feed, which occupies a slot only until its
    /// response head.
    pub feed: bool,
    /// Whether the request's method is idempotent.
    pub idempotent: bool,
    /// Idempotency key that the caller sent; ignored for an idempotent method.
    pub key: Option<Vec<u8>>,
}

impl RequestHead {
    /// Parses the head. Returns `None` when it is malformed or asks for a tunnel
    /// or a protocol upgrade, which the agent doesn't forward.
    pub fn read(parts: &Parts) -> Option<RequestHead> {
        if parts.method == Method::CONNECT || parts.headers.contains_key(header::UPGRADE) {
            return None;
        }
        let idempotent = parts.method.is_idempotent();
        let feed = parts.method == Method::GET && accepts_event_stream(&parts.headers);
        Some(RequestHead {
            deadline: parse_deadline(&parts.headers)?,
            feed,
            idempotent,
            key: if idempotent {
                None
            } else {
                parse_idempotency_key(&parts.headers)?
            },
        })
    }
}

/// Rewrites the head of a request for the next connection: without hop-by-hop
/// headers and those that only agents may send, with only path and query in the
/// URI, as HTTP/1.1.
pub fn prepare_request(parts: &mut Parts) {
    strip_hop_by_hop_headers(&mut parts.headers);
    peer_auth::strip_headers(&mut parts.headers);
    let path = parts.uri.path_and_query().cloned();
    let path = path.unwrap_or_else(|| PathAndQuery::from_static("/"));
    parts.uri = Uri::from(path);
    parts.version = hyper::Version::HTTP_11;
}

/// Rewrites the headers of an upstream response for the caller. Only the agent
/// may set the verdict, so headers that state one are removed too.
pub fn prepare_response(headers: &mut HeaderMap) {
    strip_hop_by_hop_headers(headers);
    headers.remove(VERDICT_HEADER);
    headers.remove(REASON_HEADER);
}

/// Sets the deadline header to the time left, so that the receiver gives up at
/// the same time as this agent.
pub fn set_deadline(headers: &mut HeaderMap, time_left: Duration) {
    headers.insert(
        DEADLINE_HEADER,
        HeaderValue::from(time_left.as_millis() as u64),
    );
}

/// Whether a response is a feed.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let media_type = headers.get(header::CONTENT_TYPE);
    let media_type = media_type.and_then(|value| value.to_str().ok());
    media_type.is_some_and(|media_type| media_type.starts_with(EVENT_STREAM))
}

fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let connection_options: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in connection_options.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
}

fn accepts_event_stream(headers: &HeaderMap) -> bool {
    headers
        .get_all(header::ACCEPT)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.contains(EVENT_STREAM))
}

/// Parses the deadline header: `None` when malformed, `Some(None)` when absent.
fn parse_deadline(headers: &HeaderMap) -> Option<Option<Duration>> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Some(None);
    };
    let ms: u32 = value.to_str().ok()?.trim().parse().ok()?;
    Some(Some(Duration::from_millis(u64::from(ms))))
}

/// Parses the idempotency key: `None` when malformed, `Some(None)` when absent.
fn parse_idempotency_key(headers: &HeaderMap) -> Option<Option<Vec<u8>>> {
    let mut values = headers.get_all(IDEMPOTENCY_HEADER).iter();
    let Some(value) = values.next() else {
        return Some(None);
    };
    let bytes = value.as_bytes();
    let is_valid = !bytes.is_empty() && bytes.len() <= MAX_IDEMPOTENCY_KEY_LEN_BYTES;
    (is_valid && values.next().is_none()).then(|| Some(bytes.to_vec()))
}

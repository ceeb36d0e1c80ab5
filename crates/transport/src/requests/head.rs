//! What the head of a request says to us, and what of it goes on.

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

use super::handoff;

/// Media type of a feed.
const EVENT_STREAM: &str = "text/event-stream";

/// Longest idempotency key, in bytes.
const IDEMPOTENCY_KEY_LEN_BYTES: usize = 255;

/// Headers that concern one connection only and are not passed on.
const HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// What we need to know of a request before it is admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Time that the caller gives it.
    pub deadline: Option<Duration>,
    /// Whether it is a feed: a slot only until its head is answered.
    pub feed: bool,
    /// Whether running it twice does no more than running it once.
    pub idempotent: bool,
    /// Idempotency key, for a request that is not idempotent by itself.
    pub key: Option<Vec<u8>>,
}

impl Head {
    /// Reads the head; nothing when it can't be understood or passed on.
    pub fn read(parts: &Parts) -> Option<Head> {
        if parts.method == Method::CONNECT || parts.headers.contains_key(header::UPGRADE) {
            return None;
        }
        let idempotent = parts.method.is_idempotent();
        let feed = parts.method == Method::GET && wants_events(&parts.headers);
        Some(Head {
            deadline: deadline(&parts.headers)?,
            feed,
            idempotent,
            key: if idempotent {
                None
            } else {
                key(&parts.headers)?
            },
        })
    }
}

/// Makes the head of a caller's request fit to be sent on.
pub fn pass_on(parts: &mut Parts) {
    strip_hop_headers(&mut parts.headers);
    handoff::strip(&mut parts.headers);
    let path = parts.uri.path_and_query().cloned();
    let path = path.unwrap_or_else(|| PathAndQuery::from_static("/"));
    parts.uri = Uri::from(path);
    parts.version = hyper::Version::HTTP_11;
}

/// Makes the head of a backend server's answer fit to be sent back. The
/// verdict is ours alone to say.
pub fn pass_back(headers: &mut HeaderMap) {
    strip_hop_headers(headers);
    headers.remove(VERDICT_HEADER);
    headers.remove(REASON_HEADER);
}

/// States the time left, so that the receiver can give up when we do.
pub fn state_deadline(headers: &mut HeaderMap, left: Duration) {
    headers.insert(DEADLINE_HEADER, HeaderValue::from(left.as_millis() as u64));
}

/// Whether an answer is a feed.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(header::CONTENT_TYPE);
    let kind = kind.and_then(|value| value.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with(EVENT_STREAM))
}

fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
}

fn wants_events(headers: &HeaderMap) -> bool {
    headers
        .get_all(header::ACCEPT)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.contains(EVENT_STREAM))
}

/// Outer nothing: malformed. Inner nothing: not stated.
fn deadline(headers: &HeaderMap) -> Option<Option<Duration>> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Some(None);
    };
    let ms: u32 = value.to_str().ok()?.trim().parse().ok()?;
    Some(Some(Duration::from_millis(u64::from(ms))))
}

/// Outer nothing: malformed. Inner nothing: not stated.
fn key(headers: &HeaderMap) -> Option<Option<Vec<u8>>> {
    let mut values = headers.get_all(IDEMPOTENCY_HEADER).iter();
    let Some(value) = values.next() else {
        return Some(None);
    };
    let bytes = value.as_bytes();
    let fits = !bytes.is_empty() && bytes.len() <= IDEMPOTENCY_KEY_LEN_BYTES;
    (fits && values.next().is_none()).then(|| Some(bytes.to_vec()))
}

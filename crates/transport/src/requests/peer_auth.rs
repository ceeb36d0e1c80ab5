//! Authentication of requests that agents forward to one another.
//!
//! The receiver begins each connection with a new challenge. The sender's tag
//! covers the challenge, both agents and the request line, so a recorded request
//! can't be replayed, and the receiver needs no memory of earlier requests.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;

use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use ramp_protocol::auth::FleetKey;
use ramp_protocol::auth::TAG_LEN_BYTES;
use ramp_state::key::InstanceId;

/// Header that names the agent that forwards a request.
const SENDER_HEADER: HeaderName = HeaderName::from_static("bramleyramp-handed-on-by");

/// Header with the tag of a forwarded request, in hexadecimal digits.
const TAG_HEADER: HeaderName = HeaderName::from_static("bramleyramp-handed-on-tag");

/// Length of a challenge, in bytes.
pub const CHALLENGE_LEN_BYTES: usize = 16;

/// Bytes that a receiver sends first on a connection from another agent,
/// different for each connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Challenge(pub [u8; CHALLENGE_LEN_BYTES]);

/// Generates challenges that never repeat, not even after a restart: a number
/// chosen at random at the start, and a counter.
#[derive(Debug)]
pub struct ChallengeSource {
    start: u64,
    count: u64,
}

impl Default for ChallengeSource {
    fn default() -> ChallengeSource {
        ChallengeSource::new()
    }
}

impl ChallengeSource {
    /// Creates a source with a new random start number.
    pub fn new() -> ChallengeSource {
        ChallengeSource {
            start: RandomState::new().hash_one(0_u8),
            count: 0,
        }
    }

    /// Returns the challenge for the next connection.
    pub fn generate(&mut self) -> Challenge {
        self.count += 1;
        let mut bytes = [0; CHALLENGE_LEN_BYTES];
        let (start, count) = bytes.split_at_mut(size_of::<u64>());
        start.copy_from_slice(&self.start.to_le_bytes());
        count.copy_from_slice(&self.count.to_le_bytes());
        Challenge(bytes)
    }
}

/// Signs a request that `me` forwards to `to`.
pub fn sign(key: &FleetKey, challenge: Challenge, me: InstanceId, to: InstanceId, req: &mut Parts) {
    let tag = hex(&compute_tag(key, challenge, me, to, req));
    let sender = me.to_string();
    for (name, value) in [(SENDER_HEADER, sender), (TAG_HEADER, tag)] {
        let value = HeaderValue::try_from(value).expect("hexadecimal digits are a header value");
        req.headers.insert(name, value);
    }
}

/// Returns the agent that signed a request to `me`, or `None` if the signature
/// is missing or wrong.
pub fn verify_sender(
    key: &FleetKey,
    challenge: Challenge,
    me: InstanceId,
    req: &Parts,
) -> Option<InstanceId> {
    let sender = req.headers.get(SENDER_HEADER)?.to_str().ok()?;
    let sender = InstanceId(u64::from_str_radix(sender, 16).ok()?);
    let received_tag = req.headers.get(TAG_HEADER)?.as_bytes();
    let expected_tag = hex(&compute_tag(key, challenge, sender, me, req));
    constant_time_eq(received_tag, expected_tag.as_bytes()).then_some(sender)
}

/// Removes the headers that only agents may send to one another.
pub fn strip_headers(headers: &mut HeaderMap) {
    headers.remove(SENDER_HEADER);
    headers.remove(TAG_HEADER);
}

fn compute_tag(
    key: &FleetKey,
    challenge: Challenge,
    from: InstanceId,
    to: InstanceId,
    req: &Parts,
) -> [u8; TAG_LEN_BYTES] {
    let mut buf = challenge.0.to_vec();
    buf.extend_from_slice(&from.0.to_le_bytes());
    buf.extend_from_slice(&to.0.to_le_bytes());
    buf.extend_from_slice(req.method.as_str().as_bytes());
    buf.push(b' ');
    buf.extend_from_slice(req.uri.to_string().as_bytes());
    key.tag(&buf)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Compares in a time that does not depend on where the first difference is, so
/// that a sender can't guess a tag byte by byte.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y)) == 0
}

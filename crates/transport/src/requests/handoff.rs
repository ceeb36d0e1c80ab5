//! Proof that a request comes from another agent of the system.
//!
//! The receiver opens each connection with a fresh challenge. The sender's
//! tag covers it, both agents and the request line, so a recorded request
//! can't be played again, and nothing needs remembering to tell it.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;

use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use ramp_protocol::auth::FleetKey;
use ramp_protocol::auth::TAG_LEN_BYTES;
use ramp_state::key::InstanceId;

/// Names the agent that hands a request on.
const SENDER_HEADER: HeaderName = HeaderName::from_static("bramleyramp-handed-on-by");

/// Carries the tag of a request that is handed on.
const TAG_HEADER: HeaderName = HeaderName::from_static("bramleyramp-handed-on-tag");

/// Length of a challenge, in bytes.
pub const CHALLENGE_LEN_BYTES: usize = 16;

/// What a receiver says first on a connection of another agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Challenge(pub [u8; CHALLENGE_LEN_BYTES]);

/// Source of challenges that never repeat, over restarts too.
#[derive(Debug)]
pub struct Challenges {
    start: u64,
    count: u64,
}

impl Default for Challenges {
    fn default() -> Challenges {
        Challenges::new()
    }
}

impl Challenges {
    /// A source with a start of its own.
    pub fn new() -> Challenges {
        Challenges {
            start: RandomState::new().hash_one(0_u8),
            count: 0,
        }
    }

    /// Challenge for one more connection.
    pub fn draw(&mut self) -> Challenge {
        self.count += 1;
        let mut bytes = [0; CHALLENGE_LEN_BYTES];
        let (start, count) = bytes.split_at_mut(size_of::<u64>());
        start.copy_from_slice(&self.start.to_le_bytes());
        count.copy_from_slice(&self.count.to_le_bytes());
        Challenge(bytes)
    }
}

/// Signs a request that `me` hands on to `to`.
pub fn sign(key: &FleetKey, challenge: Challenge, me: InstanceId, to: InstanceId, req: &mut Parts) {
    let tag = hex(&tag(key, challenge, me, to, req));
    let sender = me.to_string();
    for (name, value) in [(SENDER_HEADER, sender), (TAG_HEADER, tag)] {
        let value = HeaderValue::try_from(value).expect("hexadecimal digits are a header value");
        req.headers.insert(name, value);
    }
}

/// Who signed a request that came to `me`; nothing when no agent did.
pub fn signer(
    key: &FleetKey,
    challenge: Challenge,
    me: InstanceId,
    req: &Parts,
) -> Option<InstanceId> {
    let sender = req.headers.get(SENDER_HEADER)?.to_str().ok()?;
    let sender = InstanceId(u64::from_str_radix(sender, 16).ok()?);
    let claimed = req.headers.get(TAG_HEADER)?.as_bytes();
    let expected = hex(&tag(key, challenge, sender, me, req));
    same(claimed, expected.as_bytes()).then_some(sender)
}

/// Removes what only agents may say to one another.
pub fn strip(headers: &mut HeaderMap) {
    headers.remove(SENDER_HEADER);
    headers.remove(TAG_HEADER);
}

fn tag(
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

/// Compares in a time that does not depend on where the first difference is.
fn same(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y)) == 0
}

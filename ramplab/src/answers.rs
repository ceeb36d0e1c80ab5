//! Answers that both sides can work out: bytes and hashes derived from an
//! identity, so that another's answer is told at once.

use std::hash::Hasher;

use bytes::Bytes;
use ramp_coordination::random::Random;
use siphasher::sip::SipHasher13;

/// Longest answer, in bytes.
pub const ANSWER_MOST_BYTES: usize = 16 * 1024 * 1024;

/// Hash of `bytes`.
pub fn hash(bytes: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(bytes);
    hasher.finish()
}

/// The answer of `len` bytes to the request `id`.
pub fn derived(id: &str, len: usize) -> Bytes {
    let mut rng = Random::new(hash(id.as_bytes()));
    let mut buf = Vec::with_capacity(len + size_of::<u64>());
    while buf.len() < len {
        buf.extend_from_slice(&rng.next_u64().to_le_bytes());
    }
    buf.truncate(len);
    buf.into()
}

/// Receipt for the claim `id`, as JSON.
pub fn receipt(id: &str) -> String {
    let hash = format!("{:016x}", hash(id.as_bytes()));
    serde_json::json!({ "claim": id, "hash": hash }).to_string()
}

/// Receipt for an upload with this length, in bytes, and hash, as JSON.
pub fn upload_receipt(id: &str, len: u64, hash: u64) -> String {
    let hash = format!("{hash:016x}");
    serde_json::json!({ "upload": id, "length": len, "hash": hash }).to_string()
}

/// Value of the parameter `name` in a query.
pub fn parameter<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?
        .split('&')
        .filter_map(|part| part.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}

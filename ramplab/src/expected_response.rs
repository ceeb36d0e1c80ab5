//! Response bodies that are a function of the request ID.
//!
//! The simulated backend server computes them to respond, and the load generator
//! computes them again to verify, so a response meant for another request is
//! detected.

use std::hash::Hasher;

use bytes::Bytes;
use ramp_coordination::random::Random;
use siphasher::sip::SipHasher13;

/// Longest response body that a client may ask for, in bytes.
pub const MAX_RESPONSE_LEN_BYTES: usize = 16 * 1024 * 1024;

/// SipHash-1-3 of `bytes` with an all-zero key, the same in every process.
pub fn hash(bytes: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(bytes);
    hasher.finish()
}

/// Pseudo-random body of `len` bytes, seeded with the hash of `id`.
pub fn response_bytes(id: &str, len: usize) -> Bytes {
    let mut rng = Random::new(hash(id.as_bytes()));
    let mut buf = Vec::with_capacity(len + size_of::<u64>());
    while buf.len() < len {
        buf.extend_from_slice(&rng.next_u64().to_le_bytes());
    }
    buf.truncate(len);
    buf.into()
}

/// JSON receipt for the claim `id`: the ID and its hash.
pub fn claim_receipt(id: &str) -> String {
    let hash = format!("{:016x}", hash(id.as_bytes()));
    serde_json::json!({ "claim": id, "hash": hash }).to_string()
}

/// JSON receipt for the upload `id`, given its length in bytes and its hash.
pub fn upload_receipt(id: &str, len: u64, hash: u64) -> String {
    let hash = format!("{hash:016x}");
    serde_json::json!({ "upload": id, "length": len, "hash": hash }).to_string()
}

/// Value of the parameter `name` in a URL query; no percent-decoding.
pub fn query_parameter<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?
        .split('&')
        .filter_map(|part| part.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}

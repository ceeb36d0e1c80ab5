//! Derives the claim key that agents exchange from an idempotency key.
//!
//! A claim key has 128 bits. If the idempotency key is a UUID of version 7,
//! which contains its creation time, the bits above the hash hold this time,
//! in milliseconds of the Unix epoch; otherwise they are zero. The lower
//! bits are a keyed hash of the service and of the idempotency key's text.

use ramp_protocol::auth::FleetKey;
use ramp_protocol::message::ClaimKey;
use ramp_state::key::ServiceId;

/// Bits of the hash; those above hold the creation time.
const HASH_BITS: u32 = 80;

/// Length of a UUID in its text form, in bytes.
const UUID_LEN_BYTES: usize = 36;

/// Claim key of the idempotency key `text` for requests to `service`.
pub fn claim_key(fleet: &FleetKey, service: ServiceId, text: &[u8]) -> ClaimKey {
    let mut buf = service.0.to_le_bytes().to_vec();
    buf.extend_from_slice(text);
    let hash = u128::from_le_bytes(fleet.tag(&buf)) & ((1 << HASH_BITS) - 1);
    let created = parse_created_unix_ms(text).unwrap_or(0);
    ClaimKey(u128::from(created) << HASH_BITS | hash)
}

/// When the key was created, in milliseconds of the Unix epoch; `None` if the
/// key does not contain it.
pub fn created(key: ClaimKey) -> Option<u64> {
    let ms = (key.0 >> HASH_BITS) as u64;
    (ms > 0).then_some(ms)
}

/// Hash that determines the key's replicas.
pub fn hash64(key: ClaimKey) -> u64 {
    key.0 as u64
}

/// Creation time in a UUID of version 7; `None` if `text` is not one.
fn parse_created_unix_ms(text: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(text).ok()?;
    let is_uuid = text.len() == UUID_LEN_BYTES
        && text.char_indices().all(|(i, c)| match i {
            8 | 13 | 18 | 23 => c == '-',
            14 => c == '7',
            _ => c.is_ascii_hexdigit(),
        });
    if !is_uuid {
        return None;
    }
    let (high, low) = (&text[..8], &text[9..13]);
    u64::from_str_radix(&format!("{high}{low}"), 16).ok()
}

//! From the text of an idempotency key to the key that agents exchange.
//!
//! The high bits hold the moment at which the key was made, in milliseconds
//! of the Unix epoch, when its text is a UUID of version 7, else zero. The
//! others are a keyed hash of service and text.

use ramp_protocol::auth::FleetKey;
use ramp_protocol::message::ClaimKey;
use ramp_state::key::ServiceId;

/// Bits of the hash; those above hold the moment.
const HASH_BITS: u32 = 80;

/// Length of a UUID in its text form, in bytes.
const UUID_LEN_BYTES: usize = 36;

/// Key that stands for the idempotency key `text` at `service`.
pub fn claim_key(fleet: &FleetKey, service: ServiceId, text: &[u8]) -> ClaimKey {
    let mut buf = service.0.to_le_bytes().to_vec();
    buf.extend_from_slice(text);
    let hash = u128::from_le_bytes(fleet.tag(&buf)) & ((1 << HASH_BITS) - 1);
    let made = made_unix_ms(text).unwrap_or(0);
    ClaimKey(u128::from(made) << HASH_BITS | hash)
}

/// When the key was made, in milliseconds of the Unix epoch, if it tells.
pub fn made(key: ClaimKey) -> Option<u64> {
    let ms = (key.0 >> HASH_BITS) as u64;
    (ms > 0).then_some(ms)
}

/// Hash by which replicas are chosen.
pub fn hash64(key: ClaimKey) -> u64 {
    key.0 as u64
}

/// Moment in a UUID of version 7.
fn made_unix_ms(text: &[u8]) -> Option<u64> {
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

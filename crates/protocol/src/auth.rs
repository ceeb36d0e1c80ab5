//! Authenticates datagrams between instances by a tag: a SipHash of the content,
//! keyed with the fleet key from the settings file.

use std::hash::Hasher;

use quick_error::quick_error;
use ramp_state::key::FLEET_KEY_LEN_BYTES;
use siphasher::sip128::Hasher128;
use siphasher::sip128::SipHasher24;

/// Length of a tag, in bytes.
pub const TAG_LEN_BYTES: usize = 16;

quick_error! {
    /// Why the tag of a message was not accepted.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum TagError {
        /// The message is shorter than a tag.
        TooShort {
            display("shorter than its tag")
        }
        /// The tag is not the one that the fleet key gives for the content.
        Mismatch {
            display("the tag does not match")
        }
    }
}

/// Secret key that all instances of a fleet share.
#[derive(Clone, Copy)]
pub struct FleetKey([u8; FLEET_KEY_LEN_BYTES]);

impl FleetKey {
    /// Creates a key from its bytes.
    pub fn new(bytes: [u8; FLEET_KEY_LEN_BYTES]) -> FleetKey {
        FleetKey(bytes)
    }

    /// Appends the tag of the content of `buf` to `buf`.
    pub fn append_tag(&self, buf: &mut Vec<u8>) {
        let tag = self.tag(buf);
        buf.extend_from_slice(&tag);
    }

    /// Checks the tag at the end of `buf` and returns the content before it.
    ///
    /// # Errors
    ///
    /// [`TagError`] if there is no tag or it does not match.
    pub fn verify<'a>(&self, buf: &'a [u8]) -> Result<&'a [u8], TagError> {
        let Some(at) = buf.len().checked_sub(TAG_LEN_BYTES) else {
            return Err(TagError::TooShort);
        };
        let (body, tag) = buf.split_at(at);
        if equals_in_constant_time(&self.tag(body), tag) {
            Ok(body)
        } else {
            Err(TagError::Mismatch)
        }
    }

    /// Computes the tag of `buf`.
    pub fn tag(&self, buf: &[u8]) -> [u8; TAG_LEN_BYTES] {
        let mut hasher = SipHasher24::new_with_key(&self.0);
        hasher.write(buf);
        hasher.finish128().as_bytes()
    }
}

/// Compares in a time that does not depend on the position of the first
/// difference, so that an attacker can't guess a tag byte by byte.
fn equals_in_constant_time(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y)) == 0
}

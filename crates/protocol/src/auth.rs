//! Authentication of what the system's own processes send one another: a
//! keyed hash with the key of the settings.

use std::hash::Hasher;

use quick_error::quick_error;
use ramp_state::key::FLEET_KEY_LEN_BYTES;
use siphasher::sip128::Hasher128;
use siphasher::sip128::SipHasher24;

/// Tag at the end of a sealed message, in bytes.
pub const TAG_LEN_BYTES: usize = 16;

quick_error! {
    /// Why a sealed message was not opened.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum TagError {
        /// Shorter than a tag.
        TooShort {
            display("shorter than its tag")
        }
        /// The tag is not that of the fleet's key.
        Mismatch {
            display("the tag does not match")
        }
    }
}

/// Key shared by all processes of the system.
#[derive(Clone, Copy)]
pub struct FleetKey([u8; FLEET_KEY_LEN_BYTES]);

impl FleetKey {
    /// Key with these bytes.
    pub fn new(bytes: [u8; FLEET_KEY_LEN_BYTES]) -> FleetKey {
        FleetKey(bytes)
    }

    /// Appends the tag of `buf` to it.
    pub fn append_tag(&self, buf: &mut Vec<u8>) {
        let tag = self.tag(buf);
        buf.extend_from_slice(&tag);
    }

    /// Checks the tag at the end of `buf` and returns what stands before it.
    ///
    /// # Errors
    ///
    /// [`TagError`] when there is no tag or it does not match.
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

    /// Tag of `buf`.
    pub fn tag(&self, buf: &[u8]) -> [u8; TAG_LEN_BYTES] {
        let mut hasher = SipHasher24::new_with_key(&self.0);
        hasher.write(buf);
        hasher.finish128().as_bytes()
    }
}

/// Compares in a time that does not depend on where the first difference is.
fn equals_in_constant_time(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y)) == 0
}

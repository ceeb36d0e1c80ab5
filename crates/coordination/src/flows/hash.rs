//! Seeded SipHash for hash tables whose keys callers can choose.

use std::hash::BuildHasher;

use ramp_state::key::mix;
use siphasher::sip::SipHasher13;

/// Builds hashers keyed by a seed, so that callers can't cause collisions on
/// purpose and a run with the same seed is reproducible.
#[derive(Clone, Copy, Debug)]
pub(super) struct SeededBuildHasher {
    keys: (u64, u64),
}

impl SeededBuildHasher {
    pub(super) fn new(seed: u64) -> SeededBuildHasher {
        SeededBuildHasher {
            keys: (mix(seed), mix(seed ^ 1)),
        }
    }
}

impl BuildHasher for SeededBuildHasher {
    type Hasher = SipHasher13;

    fn build_hasher(&self) -> SipHasher13 {
        SipHasher13::new_with_keys(self.keys.0, self.keys.1)
    }
}

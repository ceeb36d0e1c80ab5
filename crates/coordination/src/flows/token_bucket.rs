//! Token bucket over the driver's clock.

use ramp_state::time::Millis;

/// Parts of a token that one unit of the rate adds in a millisecond.
const PARTS: u64 = 1000;

/// Allows `rate` units a second on average and `burst` units at once.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    rate: u64,
    burst: u64,
    parts: u64,
    filled_at: Millis,
}

impl TokenBucket {
    /// A full bucket; `rate` in units a second, `burst` in units.
    pub(super) fn new(rate: u64, burst: u64) -> TokenBucket {
        TokenBucket {
            rate,
            burst,
            parts: burst * PARTS,
            filled_at: Millis(0),
        }
    }

    /// Takes `units` if the bucket holds as many.
    pub(super) fn take(&mut self, now: Millis, units: u64) -> bool {
        self.fill(now);
        let Some(left) = self.parts.checked_sub(units * PARTS) else {
            return false;
        };
        self.parts = left;
        true
    }

    fn fill(&mut self, now: Millis) {
        let passed = now.0.saturating_sub(self.filled_at.0);
        let added = passed.saturating_mul(self.rate);
        self.parts = self.parts.saturating_add(added).min(self.burst * PARTS);
        self.filled_at = self.filled_at.max(now);
    }
}

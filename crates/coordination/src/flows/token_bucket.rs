//! Token bucket rate limiter on the clock that the driver passes in.

use ramp_state::time::Millis;

/// A rate of one token per second adds one millitoken per millisecond.
const MILLITOKENS_PER_TOKEN: u64 = 1000;

/// Allows `rate_per_s` tokens per second on average and `burst` tokens at once.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    rate_per_s: u64,
    burst: u64,
    millitokens: u64,
    refilled_at: Millis,
}

impl TokenBucket {
    /// Creates a full bucket; `burst` is its capacity in tokens.
    pub(super) fn new(rate_per_s: u64, burst: u64) -> TokenBucket {
        TokenBucket {
            rate_per_s,
            burst,
            millitokens: burst * MILLITOKENS_PER_TOKEN,
            refilled_at: Millis(0),
        }
    }

    /// Takes `tokens` and returns true if the bucket holds that many.
    pub(super) fn take(&mut self, now: Millis, tokens: u64) -> bool {
        self.refill(now);
        let Some(left) = self.millitokens.checked_sub(tokens * MILLITOKENS_PER_TOKEN) else {
            return false;
        };
        self.millitokens = left;
        true
    }

    fn refill(&mut self, now: Millis) {
        let passed = now.0.saturating_sub(self.refilled_at.0);
        let added = passed.saturating_mul(self.rate_per_s);
        self.millitokens = self
            .millitokens
            .saturating_add(added)
            .min(self.burst * MILLITOKENS_PER_TOKEN);
        self.refilled_at = self.refilled_at.max(now);
    }
}

//! Budget of retries, and when refused callers should come back.

use std::time::Duration;

use ramp_state::fleet::Policy;

use crate::random::Random;

/// Price of one retry; a first try pays in as many as the policy's percent.
const RETRY_PRICE: u32 = 100;

/// Retries that can be saved up.
const SAVED_RETRIES: u32 = 10;

/// Refused callers are told a time between the policy's and this many times
/// that.
const SPREAD_FACTOR: u64 = 4;

/// Retries as a share of first tries. Without it every refusal under
/// overload would add load.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: u32,
}

impl RetryBudget {
    /// A full budget.
    pub fn new() -> RetryBudget {
        RetryBudget {
            saved: SAVED_RETRIES * RETRY_PRICE,
        }
    }

    /// Counts a first try.
    pub fn deposit(&mut self, policy: &Policy) {
        let saved = self.saved + policy.retry_percent;
        self.saved = saved.min(SAVED_RETRIES * RETRY_PRICE);
    }

    /// Pays for one retry, if the budget allows it.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(left) = self.saved.checked_sub(RETRY_PRICE) else {
            return false;
        };
        self.saved = left;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new()
    }
}

/// When a refused caller should come back: spread, so that callers who were
/// refused together don't return together.
pub fn retry_after(policy: &Policy, random: &mut Random) -> Duration {
    let least = policy.retry_after.as_millis() as u64;
    Duration::from_millis(least + random.below(least * (SPREAD_FACTOR - 1) + 1))
}

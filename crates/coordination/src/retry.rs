//! Limits retries, and chooses when refused callers should try again.
//!
//! Retries may be only a share of first attempts, so that refusals under
//! overload don't multiply the load.

use std::time::Duration;

use ramp_state::fleet::Policy;

use crate::random::Random;

/// Tokens that one retry costs. Each first attempt deposits the policy's
/// `retry_percent` tokens.
const RETRY_COST_TOKENS: u32 = 100;

/// Retries that the budget can save up.
const MAX_SAVED_RETRIES: u32 = 10;

/// The longest time that a refused caller is told to wait, as a multiple of the
/// policy's `retry_after`, which is the shortest.
const RETRY_AFTER_MAX_FACTOR: u64 = 4;

/// Token bucket that limits retries to a share of first attempts. Without it,
/// every refusal under overload would add load.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: u32,
}

impl RetryBudget {
    /// Full budget.
    pub fn new() -> RetryBudget {
        RetryBudget {
            tokens: MAX_SAVED_RETRIES * RETRY_COST_TOKENS,
        }
    }

    /// Deposits the tokens of one first attempt.
    pub fn deposit(&mut self, policy: &Policy) {
        let tokens = self.tokens + policy.retry_percent;
        self.tokens = tokens.min(MAX_SAVED_RETRIES * RETRY_COST_TOKENS);
    }

    /// Withdraws the tokens of one retry; false if there are too few.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(left) = self.tokens.checked_sub(RETRY_COST_TOKENS) else {
            return false;
        };
        self.tokens = left;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new()
    }
}

/// Random time after which a refused caller should retry, so that callers that
/// were refused together don't retry together.
pub fn retry_after(policy: &Policy, random: &mut Random) -> Duration {
    let least = policy.retry_after.as_millis() as u64;
    Duration::from_millis(least + random.below(least * (RETRY_AFTER_MAX_FACTOR - 1) + 1))
}

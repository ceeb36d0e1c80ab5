//! Adaptive limit on the requests that a backend server has in progress,
//! learned from the outcomes of earlier requests.
//!
//! A server counts as cold when nothing is known about it: at the start, after
//! its data centre comes back, and after slow answers, a lost connection or a
//! failed connect. A cold server starts with a few concurrent requests. The limit
//! rises by one after each `cold_step` completed requests, never by time alone.
//!
//! Each request carries the generation in which it was sent. The generation
//! changes when the server is found cold or refuses a request. Outcomes of
//! older generations are ignored, since they don't show the server's present
//! state.

use std::time::Duration;

use ramp_protocol::message::Warmth;
use ramp_state::fleet::Policy;
use ramp_state::time::Millis;

/// An answer is slow if it takes more than this many times the baseline.
const SLOW_FACTOR: u32 = 4;

/// An answer up to this time is never slow, whatever the baseline.
const SLOW_MIN: Duration = Duration::from_millis(50);

/// A faster answer lowers the baseline by the difference divided by this.
const BASELINE_DECREASE_DIVISOR: u32 = 4;

/// A slower answer raises the baseline by the difference divided by this.
const BASELINE_INCREASE_DIVISOR: u32 = 64;

/// A server that has not answered for this long gets only the minimum limit
/// until an answer shows that it has not turned cold.
const IDLE_PROBE_AFTER: Duration = Duration::from_secs(10);

/// Factor on the completed requests needed to raise the limit to a level at
/// which the server refused a request before.
const REFUSED_LEVEL_FACTOR: u32 = 8;

/// Backoff after the first failed connect; it doubles with each further one.
const MIN_CONNECT_BACKOFF: Duration = Duration::from_millis(50);

/// Upper bound of the backoff after failed connects.
const MAX_CONNECT_BACKOFF: Duration = Duration::from_secs(1);

/// What the end of a request showed about the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The server answered, this long after the whole request was sent.
    Answered(Duration),
    /// The server opened a feed. That takes hardly any work, so it shows
    /// nothing about the server's capacity.
    FeedOpened,
    /// The request was given up after this time without an answer.
    TimedOut(Duration),
    /// The server refused the request as too busy.
    Refused,
    /// The connection broke before the answer.
    ConnectionLost,
    /// Connecting to the server failed.
    ConnectFailed,
    /// Shows nothing about the server, for instance because the caller left.
    Inconclusive,
}

/// Counter of what is known about the server. Outcomes of requests sent in an
/// earlier generation are ignored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Generation(u32);

impl Generation {
    fn next(self) -> Generation {
        Generation(self.0.wrapping_add(1))
    }
}

/// Adaptive concurrency limit of one backend server.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    warmth: Warmth,
    /// Requests that the server may have in progress, before the
    /// restrictions of [`ConcurrencyLimit::limit`].
    learned_limit: u32,
    /// Requests completed towards the next raise of `learned_limit`.
    completed: u32,
    generation: Generation,
    baseline: Option<Duration>,
    /// Whether the last answer was slow: a second slow one in a row lowers the
    /// limit.
    last_was_slow: bool,
    /// Requests in progress when the server last refused one; raising the
    /// limit to there again takes more completed requests.
    refused_at: Option<u32>,
    /// Time of the last answer or refusal, or when the server was found cold.
    last_answer_at: Millis,
    /// Time of the last answer that was not slow.
    last_fast_answer_at: Millis,
    backoff_until: Millis,
    backoff: Duration,
}

impl ConcurrencyLimit {
    /// Limit of a server about which nothing is known: a cold one.
    pub fn new(now: Millis, policy: &Policy) -> ConcurrencyLimit {
        ConcurrencyLimit {
            warmth: Warmth::Cold,
            learned_limit: policy.cold_slots.min(policy.slots).max(1),
            completed: 0,
            generation: Generation::default(),
            baseline: None,
            last_was_slow: false,
            refused_at: None,
            last_answer_at: now,
            last_fast_answer_at: now,
            backoff_until: Millis::default(),
            backoff: Duration::ZERO,
        }
    }

    /// Requests that the server may have in progress now. `oldest` is when the
    /// longest waiting of the unanswered requests was sent. Zero only during
    /// the backoff after a failed connect, which lasts at most a second.
    pub fn limit(&self, now: Millis, policy: &Policy, oldest: Option<Millis>) -> u32 {
        if now < self.backoff_until {
            return 0;
        }
        let min_limit = policy.cold_slots.max(1);
        let most = if self.last_was_slow || now.since(self.last_answer_at) >= IDLE_PROBE_AFTER {
            min_limit
        } else if self.is_late(now, oldest) {
            // The late request may just take long by its nature; one more
            // request shows whether the server still answers.
            min_limit + 1
        } else {
            self.learned_limit
        };
        most.min(self.learned_limit).min(policy.slots).max(1)
    }

    /// Whether a request has gone unanswered for long, with no other fast
    /// answer meanwhile.
    fn is_late(&self, now: Millis, oldest: Option<Millis>) -> bool {
        oldest.is_some_and(|since| self.is_slow(now.since(since.max(self.last_fast_answer_at))))
    }

    /// Applies new settings. Only a cold server's limit changes at once; any
    /// other is capped by `slots` when it is read.
    pub fn set_policy(&mut self, policy: &Policy) {
        if self.warmth == Warmth::Cold {
            self.learned_limit = policy.cold_slots.min(policy.slots).max(1);
        }
    }

    /// Whether the server is cold, warming up, or warm (at its full limit).
    pub fn warmth(&self) -> Warmth {
        self.warmth
    }

    /// Generation of a request that is sent now.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Restarts from a cold server. Keeps the backoff after failed connects.
    pub fn mark_cold(&mut self, now: Millis, policy: &Policy) {
        let next = self.generation.next();
        let (backoff_until, backoff) = (self.backoff_until, self.backoff);
        *self = ConcurrencyLimit::new(now, policy);
        self.generation = next;
        self.backoff_until = backoff_until;
        self.backoff = backoff;
    }

    /// Takes the outcome of a request sent in `generation`. `in_progress` counts
    /// the requests in progress at the server, this one included.
    pub fn record_outcome(
        &mut self,
        now: Millis,
        policy: &Policy,
        generation: Generation,
        outcome: RequestOutcome,
        in_progress: u32,
    ) {
        if generation != self.generation {
            return;
        }
        match outcome {
            RequestOutcome::Answered(took) => self.on_answer(now, policy, took),
            RequestOutcome::TimedOut(took) if self.is_slow(took) => self.lower_limit(now, policy),
            RequestOutcome::Refused => self.on_refusal(now, in_progress),
            RequestOutcome::ConnectionLost => self.mark_cold(now, policy),
            RequestOutcome::ConnectFailed => {
                self.mark_cold(now, policy);
                self.backoff = (self.backoff * 2).clamp(MIN_CONNECT_BACKOFF, MAX_CONNECT_BACKOFF);
                self.backoff_until = now + self.backoff;
            }
            RequestOutcome::FeedOpened
            | RequestOutcome::TimedOut(_)
            | RequestOutcome::Inconclusive => {}
        }
    }

    /// Counts an answered request of `generation` that has ended.
    pub fn record_completion(&mut self, policy: &Policy, generation: Generation) {
        if generation == self.generation && !self.last_was_slow {
            self.raise_limit(policy);
        }
    }

    /// Lowers the limit to just below the level at which the server refused.
    /// A refusal shows that level exactly and loses no request, so the server
    /// need not restart cold.
    fn on_refusal(&mut self, now: Millis, in_progress: u32) {
        self.last_answer_at = now;
        self.generation = self.generation.next();
        self.completed = 0;
        self.refused_at = Some(in_progress);
        self.learned_limit = in_progress.saturating_sub(1).clamp(1, self.learned_limit);
        self.warmth = if self.learned_limit > 1 {
            Warmth::Warming
        } else {
            Warmth::Cold
        };
    }

    fn on_answer(&mut self, now: Millis, policy: &Policy, took: Duration) {
        self.last_answer_at = now;
        self.backoff = Duration::ZERO;
        let slow = self.is_slow(took);
        self.update_baseline(took);
        if !slow {
            self.last_was_slow = false;
            self.last_fast_answer_at = now;
        } else if self.last_was_slow {
            self.lower_limit(now, policy);
        } else {
            // A single slow answer may be due to its request; the next answer
            // decides.
            self.last_was_slow = true;
        }
    }

    fn is_slow(&self, took: Duration) -> bool {
        self.baseline
            .is_some_and(|baseline| took > (baseline * SLOW_FACTOR).max(SLOW_MIN))
    }

    /// Moves the baseline quickly towards faster answers and slowly towards
    /// slower ones, so that the answers of a slowing server don't become the
    /// baseline that they are measured by.
    fn update_baseline(&mut self, took: Duration) {
        let baseline = self.baseline.unwrap_or(took);
        self.baseline = Some(if took < baseline {
            baseline - (baseline - took) / BASELINE_DECREASE_DIVISOR
        } else {
            baseline + (took - baseline) / BASELINE_INCREASE_DIVISOR
        });
    }

    fn raise_limit(&mut self, policy: &Policy) {
        if self.learned_limit >= policy.slots {
            self.warmth = Warmth::Warm;
            return;
        }
        self.completed += 1;
        let is_known_limit = self
            .refused_at
            .is_some_and(|at| self.learned_limit + 1 >= at);
        let factor = if is_known_limit {
            REFUSED_LEVEL_FACTOR
        } else {
            1
        };
        if self.completed < policy.cold_step * factor {
            return;
        }
        self.completed = 0;
        self.learned_limit += 1;
        self.warmth = if self.learned_limit >= policy.slots {
            Warmth::Warm
        } else {
            Warmth::Warming
        };
    }

    /// Lowers the limit after slow answers or a timeout: a warm server starts
    /// again as a cold one, a server that is warming up keeps half its limit
    /// but at least that of a cold one, and a cold server's limit is halved.
    fn lower_limit(&mut self, now: Millis, policy: &Policy) {
        let half = (self.learned_limit / 2).max(1);
        let was = self.warmth;
        self.mark_cold(now, policy);
        if was == Warmth::Warming && half > self.learned_limit {
            self.learned_limit = half;
            self.warmth = Warmth::Warming;
        }
        if was == Warmth::Cold {
            self.learned_limit = half.min(self.learned_limit);
        }
    }
}

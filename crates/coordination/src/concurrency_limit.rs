//! How many requests a backend server bears at this moment, learned from its
//! answers.
//!
//! A server is cold when nothing is known of it: at the start, after its
//! data centre returned, and when its answers say so. A cold one gets a few
//! requests at once and one more for each handful that it finished well;
//! time alone never gives it more. Answers to requests from before it was
//! found cold say nothing about it now, which the era of a request tells.

use std::time::Duration;

use ramp_protocol::message::Warmth;
use ramp_state::fleet::Policy;
use ramp_state::time::Millis;

/// An answer is slow when it takes this many times the baseline.
const SLOW_FACTOR: u32 = 4;

/// An answer faster than this is never slow, whatever the baseline.
const SLOW_FLOOR: Duration = Duration::from_millis(50);

/// Share of a faster answer in the baseline, one in so many.
const BASELINE_FALL: u32 = 4;

/// Share of a slower answer in the baseline, one in so many.
const BASELINE_RISE: u32 = 64;

/// A server without an answer for so long has to show with one request that
/// it is still as it was.
const TRUST_LIMIT: Duration = Duration::from_secs(10);

/// Factor on the finished requests that it takes to try again what was
/// refused.
const REFUSED_CAUTION: u32 = 8;

/// First pause after a failed connect.
const PAUSE_FIRST: Duration = Duration::from_millis(50);

/// Longest pause after failed connects.
const PAUSE_LIMIT: Duration = Duration::from_secs(1);

/// What an answer, or the lack of one, says about the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered in this time, counted from the end of the request.
    Answered(Duration),
    /// Opened a feed, which is no work and proves nothing about how much the
    /// server bears.
    FeedOpened,
    /// Not answered for this time, when it was given up.
    TimedOut(Duration),
    /// Refused as too busy.
    Refused,
    /// The connection broke.
    ConnectionLost,
    /// No connection could be made.
    ConnectFailed,
    /// Nothing about the server, for instance because the caller left.
    Inconclusive,
}

/// Which state of the server a request was sent to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Generation(u32);

impl Generation {
    fn next(self) -> Generation {
        Generation(self.0.wrapping_add(1))
    }
}

/// What one backend server bears.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    warmth: Warmth,
    /// Requests that it may have in progress.
    bears: u32,
    /// Requests finished since `bears` last grew.
    finished: u32,
    era: Generation,
    baseline: Option<Duration>,
    /// The last answer was slow, or nothing was heard for long.
    suspect: bool,
    /// Requests in progress at which it last refused one; growing to there
    /// again takes longer.
    refused_at: Option<u32>,
    /// Last answer, or the start of the present activity.
    heard: Millis,
    /// Last answer that was not slow.
    well: Millis,
    paused_until: Millis,
    pause: Duration,
}

impl ConcurrencyLimit {
    /// A server of which nothing is known.
    pub fn new(now: Millis, policy: &Policy) -> ConcurrencyLimit {
        ConcurrencyLimit {
            warmth: Warmth::Cold,
            bears: policy.cold_slots.min(policy.slots).max(1),
            finished: 0,
            era: Generation::default(),
            baseline: None,
            suspect: false,
            refused_at: None,
            heard: now,
            well: now,
            paused_until: Millis::default(),
            pause: Duration::ZERO,
        }
    }

    /// Requests that it may have in progress now, when the oldest of those
    /// that await their answer does so since `oldest`. Zero only during the
    /// pause after a failed connect, at most a second.
    pub fn limit(&self, now: Millis, policy: &Policy, oldest: Option<Millis>) -> u32 {
        if now < self.paused_until {
            return 0;
        }
        let trickle = policy.cold_slots.max(1);
        let most = if self.suspect || now.since(self.heard) >= TRUST_LIMIT {
            trickle
        } else if self.is_late(now, oldest) {
            // The late one may be a slow question, so one more may show.
            trickle + 1
        } else {
            self.bears
        };
        most.min(self.bears).min(policy.slots).max(1)
    }

    /// Whether a request waits for long and nothing else was answered well
    /// meanwhile.
    fn is_late(&self, now: Millis, oldest: Option<Millis>) -> bool {
        oldest.is_some_and(|since| self.is_slow(now.since(since.max(self.well))))
    }

    /// Takes new settings of a server that is cold.
    pub fn set_policy(&mut self, policy: &Policy) {
        if self.warmth == Warmth::Cold {
            self.bears = policy.cold_slots.min(policy.slots).max(1);
        }
    }

    /// Where it stands between cold start and full load.
    pub fn warmth(&self) -> Warmth {
        self.warmth
    }

    /// Generation of a request that is sent now.
    pub fn generation(&self) -> Generation {
        self.era
    }

    /// Takes the server for cold.
    pub fn mark_cold(&mut self, now: Millis, policy: &Policy) {
        let next = self.era.next();
        let (paused_until, pause) = (self.paused_until, self.pause);
        *self = ConcurrencyLimit::new(now, policy);
        self.era = next;
        self.paused_until = paused_until;
        self.pause = pause;
    }

    /// Takes what a request sent in `era` showed, while so many were
    /// `in_progress`, itself included.
    pub fn record_outcome(
        &mut self,
        now: Millis,
        policy: &Policy,
        era: Generation,
        sign: RequestOutcome,
        in_progress: u32,
    ) {
        if era != self.era {
            return;
        }
        match sign {
            RequestOutcome::Answered(took) => self.answered(now, policy, took),
            RequestOutcome::TimedOut(took) if self.is_slow(took) => self.lower(now, policy),
            RequestOutcome::Refused => self.refused(now, in_progress),
            RequestOutcome::ConnectionLost => self.mark_cold(now, policy),
            RequestOutcome::ConnectFailed => {
                self.mark_cold(now, policy);
                self.pause = (self.pause * 2).clamp(PAUSE_FIRST, PAUSE_LIMIT);
                self.paused_until = now + self.pause;
            }
            RequestOutcome::FeedOpened
            | RequestOutcome::TimedOut(_)
            | RequestOutcome::Inconclusive => {}
        }
    }

    /// Counts a request sent in `era` that was answered and is over.
    pub fn record_completion(&mut self, policy: &Policy, era: Generation) {
        if era == self.era && !self.suspect {
            self.grow(policy);
        }
    }

    /// A refusal tells exactly how much is too much, and harms nobody.
    fn refused(&mut self, now: Millis, in_progress: u32) {
        self.heard = now;
        self.era = self.era.next();
        self.finished = 0;
        self.refused_at = Some(in_progress);
        self.bears = in_progress.saturating_sub(1).clamp(1, self.bears);
        self.warmth = if self.bears > 1 {
            Warmth::Warming
        } else {
            Warmth::Cold
        };
    }

    fn answered(&mut self, now: Millis, policy: &Policy, took: Duration) {
        self.heard = now;
        self.pause = Duration::ZERO;
        let slow = self.is_slow(took);
        self.fold(took);
        if !slow {
            self.suspect = false;
            self.well = now;
        } else if self.suspect {
            self.lower(now, policy);
        } else {
            // One slow answer may be a slow question. The next tells.
            self.suspect = true;
        }
    }

    fn is_slow(&self, took: Duration) -> bool {
        self.baseline
            .is_some_and(|usual| took > (usual * SLOW_FACTOR).max(SLOW_FLOOR))
    }

    /// The baseline follows faster answers at once and slower ones late, so
    /// that a server that falters does not become its own measure.
    fn fold(&mut self, took: Duration) {
        let usual = self.baseline.unwrap_or(took);
        self.baseline = Some(if took < usual {
            usual - (usual - took) / BASELINE_FALL
        } else {
            usual + (took - usual) / BASELINE_RISE
        });
    }

    fn grow(&mut self, policy: &Policy) {
        if self.bears >= policy.slots {
            self.warmth = Warmth::Warm;
            return;
        }
        self.finished += 1;
        let is_known_limit = self.refused_at.is_some_and(|at| self.bears + 1 >= at);
        let caution = if is_known_limit { REFUSED_CAUTION } else { 1 };
        if self.finished < policy.cold_step * caution {
            return;
        }
        self.finished = 0;
        self.bears += 1;
        self.warmth = if self.bears >= policy.slots {
            Warmth::Warm
        } else {
            Warmth::Warming
        };
    }

    /// A warm one starts anew; one on the way up goes back by half.
    fn lower(&mut self, now: Millis, policy: &Policy) {
        let half = (self.bears / 2).max(1);
        let was = self.warmth;
        self.mark_cold(now, policy);
        if was == Warmth::Warming && half > self.bears {
            self.bears = half;
            self.warmth = Warmth::Warming;
        }
        if was == Warmth::Cold {
            self.bears = half.min(self.bears);
        }
    }
}

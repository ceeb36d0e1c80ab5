//! Ledger of one process: who got what, over bounded time and memory.
//!
//! Three rings of time buckets see every event: a fine one for minutes, a
//! middle one for hours, a coarse one for days. A window is answered from the
//! finest ring that is long enough. Memory is bounded by the sizes of the
//! rings, whatever callers, services and servers there are; what finds no
//! room is still counted in sums.

pub mod answer_times;
pub mod callers;
pub mod counts;
pub mod event_kind;
pub mod ring;
pub mod summary;

use std::time::Duration;

use crate::ledger::ring::Ring;
use crate::ledger::ring::RingConfig;
use crate::ledger::summary::Summary;
use crate::ledger::summary::Window;
use crate::outcome::Record;
use crate::time::Millis;

/// Rows a bucket holds: the members of the largest groups and more. Seven
/// eighths of a power of two, which is what a hash table can fill.
const MAX_ROWS: usize = 28;

/// Callers that a bucket counts singly; seven eighths of a power of two.
pub const MAX_CALLERS: usize = 112;

/// Heap memory that a ledger holds at most, whatever it is fed.
pub const MAX_HEAP_BYTES: usize = 6 * 1024 * 1024;

const RINGS: [RingConfig; 3] = [
    RingConfig {
        bucket_width: Duration::from_secs(10),
        bucket_count: 60,
        max_rows: MAX_ROWS,
        max_callers: MAX_CALLERS,
    },
    RingConfig {
        bucket_width: Duration::from_secs(5 * 60),
        bucket_count: 72,
        max_rows: MAX_ROWS,
        max_callers: MAX_CALLERS,
    },
    RingConfig {
        bucket_width: Duration::from_secs(3_600),
        bucket_count: 72,
        max_rows: MAX_ROWS,
        max_callers: MAX_CALLERS,
    },
];

/// Bounded ledger of one process.
#[derive(Clone, Debug)]
pub struct Ledger {
    started: Millis,
    rings: [Ring; RINGS.len()],
}

impl Ledger {
    /// Empty ledger of a process that starts at `now`.
    pub fn new(now: Millis) -> Ledger {
        Ledger {
            started: now,
            rings: RINGS.map(Ring::new),
        }
    }

    /// Counts one event.
    pub fn add(&mut self, now: Millis, record: &Record) {
        for ring in &mut self.rings {
            ring.add(now, record);
        }
    }

    /// Counts `n` events that were lost on their way here, so that summaries
    /// say so.
    pub fn add_lost(&mut self, now: Millis, n: u64) {
        if n == 0 {
            return;
        }
        for ring in &mut self.rings {
            ring.add_lost(now, n);
        }
    }

    /// Counts over `window`, from the finest ring that is long enough. Says
    /// how much it covers when the process is younger than that, or when no
    /// ring is that long.
    pub fn summary(&self, now: Millis, window: Window) -> Summary {
        let coarsest = &self.rings[RINGS.len() - 1];
        let ring = self
            .rings
            .iter()
            .find(|r| r.span() >= window.lookback)
            .unwrap_or(coarsest);
        let age = now.since(self.started);
        let mut summary = ring.summary(now, window.lookback, window.callers);
        summary.callers.truncate(MAX_CALLERS);
        summary.asked = window.lookback;
        summary.ledgers = 1;
        summary.started_within = u64::from(age < window.lookback);
        summary.covered = summary.covered.map(|covered| covered.min(age));
        summary
    }

    /// Heap bytes held, from the sizes of the tables.
    pub fn heap_bytes(&self) -> usize {
        self.rings.iter().map(Ring::heap_bytes).sum()
    }
}

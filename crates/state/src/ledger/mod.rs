//! Ledger of one process: counts of its events by service, backend server and
//! caller, in bounded memory.
//!
//! Each event is counted in three rings of time buckets: 10-second buckets for
//! 10 minutes, 5-minute buckets for 6 hours and 1-hour buckets for 3 days. A
//! summary comes from the finest ring that spans its window. The sizes of the rings
//! bound the memory, however many callers, services and servers there are; events
//! beyond those sizes are counted in totals only.

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

/// Maximum number of rows of a bucket, more than the members of the largest
/// groups. 7/8 of a power of two, the maximum load of a hash table.
const MAX_ROWS: usize = 28;

/// Maximum number of callers that a bucket counts individually; 7/8 of a power of
/// two, too.
pub const MAX_CALLERS: usize = 112;

/// Maximum heap memory of a ledger, for any events.
pub const MAX_HEAP_BYTES: usize = 6 * 1024 * 1024;

const RING_CONFIGS: [RingConfig; 3] = [
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

/// Event counts of one process, in bounded memory.
#[derive(Clone, Debug)]
pub struct Ledger {
    started: Millis,
    rings: [Ring; RING_CONFIGS.len()],
}

impl Ledger {
    /// Creates the ledger of a process that starts at `now`.
    pub fn new(now: Millis) -> Ledger {
        Ledger {
            started: now,
            rings: RING_CONFIGS.map(Ring::new),
        }
    }

    /// Counts one event.
    pub fn add(&mut self, now: Millis, record: &Record) {
        for ring in &mut self.rings {
            ring.add(now, record);
        }
    }

    /// Records that `n` events were lost before they reached the ledger.
    /// Summaries report them as lost.
    pub fn add_lost(&mut self, now: Millis, n: u64) {
        if n == 0 {
            return;
        }
        for ring in &mut self.rings {
            ring.add_lost(now, n);
        }
    }

    /// Counts over `window`, from the finest ring that spans it, else from the
    /// coarsest one. `covered` of the summary is shorter than the window when
    /// the process started within it or when no ring spans it.
    pub fn summary(&self, now: Millis, window: Window) -> Summary {
        let coarsest = &self.rings[RING_CONFIGS.len() - 1];
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

    /// Heap memory in bytes, computed from the capacities of the tables.
    pub fn heap_bytes(&self) -> usize {
        self.rings.iter().map(Ring::heap_bytes).sum()
    }
}

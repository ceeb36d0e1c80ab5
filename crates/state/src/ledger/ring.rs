//! Ring of time buckets: event counts per interval of fixed width. Only the newest
//! buckets are kept.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

use crate::ledger::callers::CallerSketch;
use crate::ledger::counts::ClassCounts;
use crate::ledger::counts::Counts;
use crate::ledger::event_kind::EventKind;
use crate::ledger::summary::RowKey;
use crate::ledger::summary::Summary;
use crate::outcome::Record;
use crate::time::Millis;

/// Number and size of the buckets of a ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingConfig {
    /// Length of the interval that one bucket covers.
    pub bucket_width: Duration,
    /// Number of completed buckets kept in addition to the current one.
    pub bucket_count: u64,
    /// Maximum number of rows of a bucket; events of further rows are counted in
    /// a total only.
    pub max_rows: usize,
    /// Maximum number of callers that a bucket counts individually.
    pub max_callers: usize,
}

impl RingConfig {
    /// Longest window that the ring fully covers.
    pub fn span(&self) -> Duration {
        self.bucket_width * self.bucket_count as u32
    }
}

/// Event counts in time buckets, of which the newest are kept.
#[derive(Clone, Debug)]
pub struct Ring {
    config: RingConfig,
    /// Buckets, oldest first. Intervals without events have no bucket.
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Debug)]
struct Bucket {
    index: u64,
    rows: IndexMap<RowKey, Counts>,
    other: Counts,
    without_detail: u64,
    lost: u64,
    callers: CallerSketch,
    classes: ClassCounts,
}

impl Ring {
    /// Creates an empty ring.
    pub fn new(config: RingConfig) -> Ring {
        Ring {
            config,
            buckets: VecDeque::new(),
        }
    }

    /// Longest window that the ring fully covers.
    pub fn span(&self) -> Duration {
        self.config.span()
    }

    /// Counts one event.
    pub fn add(&mut self, now: Millis, record: &Record) {
        let config = self.config;
        self.bucket(now).add(&config, record);
    }

    /// Records that `n` events were lost before they reached the ledger.
    pub fn add_lost(&mut self, now: Millis, n: u64) {
        self.bucket(now).lost += n;
    }

    /// Counts of the last `lookback`, rounded up to whole buckets.
    pub fn summary(&self, now: Millis, lookback: Duration, callers: bool) -> Summary {
        let newest = self.index(now);
        let oldest = self.index(now - lookback).max(self.oldest_kept(newest));
        let mut summary = Summary {
            step: self.config.bucket_width,
            slices: vec![ClassCounts::default(); (newest - oldest + 1) as usize],
            covered: Some(now.since(self.start(oldest))),
            ..Summary::default()
        };
        for bucket in self.buckets.iter().filter(|b| b.index >= oldest) {
            bucket.add_to(&mut summary, callers);
            let age = newest.saturating_sub(bucket.index) as usize;
            summary.slices[age].merge(&bucket.classes);
        }
        summary
    }

    /// Heap memory in bytes, computed from the capacities of the tables.
    pub fn heap_bytes(&self) -> usize {
        let buckets = self.buckets.capacity() * size_of::<Bucket>();
        let tables: usize = self.buckets.iter().map(Bucket::heap_bytes).sum();
        buckets + tables
    }

    /// Bucket of `now`. When `now` lies before the newest bucket, that bucket is
    /// used: older ones are no longer changed.
    fn bucket(&mut self, now: Millis) -> &mut Bucket {
        let index = self.index(now);
        let is_open = self.buckets.back().is_some_and(|b| b.index >= index);
        if !is_open {
            let oldest = self.oldest_kept(index);
            while self.buckets.front().is_some_and(|b| b.index < oldest) {
                self.buckets.pop_front();
            }
            self.buckets.push_back(Bucket::new(index, &self.config));
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    fn index(&self, at: Millis) -> u64 {
        at.0 / self.config.bucket_width.as_millis() as u64
    }

    fn start(&self, index: u64) -> Millis {
        Millis(index * self.config.bucket_width.as_millis() as u64)
    }

    fn oldest_kept(&self, newest: u64) -> u64 {
        newest.saturating_sub(self.config.bucket_count)
    }
}

impl Bucket {
    fn new(index: u64, config: &RingConfig) -> Bucket {
        Bucket {
            index,
            rows: IndexMap::new(),
            other: Counts::default(),
            without_detail: 0,
            lost: 0,
            callers: CallerSketch::new(config.max_callers),
            classes: ClassCounts::default(),
        }
    }

    fn add(&mut self, config: &RingConfig, record: &Record) {
        let kind = EventKind::of(&record.outcome);
        self.classes.add(kind, 1);
        self.callers.add(*record.caller.ip(), kind);
        let key = RowKey {
            service: record.service,
            server: record.server,
        };
        if let Some(counts) = self.rows.get_mut(&key) {
            counts.add(&record.outcome);
        } else if self.rows.len() < config.max_rows {
            self.rows.entry(key).or_default().add(&record.outcome);
        } else {
            self.other.add(&record.outcome);
            self.without_detail += 1;
        }
    }

    fn add_to(&self, summary: &mut Summary, callers: bool) {
        for (key, counts) in &self.rows {
            summary.rows.entry(*key).or_default().merge(counts);
        }
        summary.other.merge(&self.other);
        summary.without_detail += self.without_detail;
        summary.lost += self.lost;
        if callers {
            summary.callers.merge(&self.callers.callers());
        }
    }

    fn heap_bytes(&self) -> usize {
        let row = size_of::<RowKey>() + size_of::<Counts>() + size_of::<u64>();
        let index = (size_of::<usize>() + 1) * 2;
        self.rows.capacity() * (row + index) + self.callers.heap_bytes()
    }
}

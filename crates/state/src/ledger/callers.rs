//! Event counts of the top callers, by the space-saving algorithm (Metwally,
//! Agrawal, El Abbadi), with the exact sum of all other callers.
//!
//! After N events, a sketch of `capacity` entries holds each caller with more than
//! N / `capacity` events. The counts of an entry are exact from the event that
//! created it; up to `unseen` earlier events of that caller are counted in `rest`.
//! The entries and `rest` always add up to the exact total.
//!
//! Merging keeps the union of the entries, so it is associative and commutative. A
//! process truncates its result once, before it sends it; merging never truncates.

use std::net::Ipv4Addr;

use indexmap::IndexMap;

use crate::ledger::counts::ClassCounts;
use crate::ledger::event_kind::EventKind;

/// Counts of one caller, with the bounds of their error.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallerEntry {
    /// Events that are certainly of this caller.
    pub classes: ClassCounts,
    /// Maximum number of further events of this caller that are counted in the
    /// rest.
    pub unseen: u64,
    /// Sum of [`TopCallers::floor`] over the sketches that hold this caller.
    pub floor: u64,
}

/// Counts of the top callers and the sum of the rest; can be merged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TopCallers {
    /// Callers that are counted individually.
    pub top: IndexMap<Ipv4Addr, CallerEntry>,
    /// Events of all callers from times when they were not counted individually.
    pub rest: ClassCounts,
    /// Maximum number of events of a caller that is not in `top`.
    pub floor: u64,
}

impl TopCallers {
    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: &TopCallers) {
        for (ip, entry) in &other.top {
            let mine = self.top.entry(*ip).or_default();
            mine.classes.merge(&entry.classes);
            mine.unseen = mine.unseen.saturating_add(entry.unseen);
            mine.floor = mine.floor.saturating_add(entry.floor);
        }
        self.rest.merge(&other.rest);
        self.floor = self.floor.saturating_add(other.floor);
    }

    /// Maximum number of events of `entry`'s caller that are counted in the
    /// rest: events before its entry, and events in sketches that do not hold
    /// it.
    pub fn max_uncounted(&self, entry: &CallerEntry) -> u64 {
        let in_other_sketches = self.floor.saturating_sub(entry.floor);
        let upper_bound = entry.unseen.saturating_add(in_other_sketches);
        upper_bound.min(self.rest.events())
    }

    /// Keeps the `max_callers` callers with the most events, so that the size of
    /// a process's result is bounded. Counts of the others are added to the rest,
    /// and the floor rises to the most events that one of them may have.
    pub fn truncate(&mut self, max_callers: usize) {
        if self.top.len() <= max_callers {
            return;
        }
        let mut ranked = self.ranked();
        for (_, entry) in &mut ranked {
            entry.unseen = self.max_uncounted(entry);
        }
        self.top = ranked.drain(..max_callers).collect();
        for (_, entry) in &ranked {
            self.floor = self.floor.max(max_events(entry));
            self.rest.merge(&entry.classes);
        }
        for entry in self.top.values_mut() {
            entry.floor = self.floor;
        }
    }

    /// Callers, sorted by descending number of events.
    pub fn ranked(&self) -> Vec<(Ipv4Addr, CallerEntry)> {
        let mut ranked: Vec<_> = self.top.iter().map(|(ip, e)| (*ip, *e)).collect();
        ranked.sort_by_key(|(ip, e)| (std::cmp::Reverse(e.classes.events()), *ip));
        ranked
    }
}

/// Space-saving sketch of the callers of one time bucket.
#[derive(Clone, Debug)]
pub struct CallerSketch {
    capacity: usize,
    top: IndexMap<Ipv4Addr, CallerEntry>,
    rest: ClassCounts,
}

impl CallerSketch {
    /// Creates a sketch that counts up to `capacity` callers individually.
    pub fn new(capacity: usize) -> CallerSketch {
        CallerSketch {
            capacity,
            top: IndexMap::new(),
            rest: ClassCounts::default(),
        }
    }

    /// Counts one event of `caller`.
    pub fn add(&mut self, caller: Ipv4Addr, kind: EventKind) {
        if let Some(entry) = self.top.get_mut(&caller) {
            entry.classes.add(kind, 1);
            return;
        }
        let mut entry = CallerEntry::default();
        if self.top.len() >= self.capacity {
            entry.unseen = self.evict();
        }
        entry.classes.add(kind, 1);
        self.top.insert(caller, entry);
    }

    /// Counts of the sketch, in a form that can be merged.
    pub fn callers(&self) -> TopCallers {
        let floor = self.floor();
        let mut top = self.top.clone();
        for entry in top.values_mut() {
            entry.floor = floor;
        }
        TopCallers {
            top,
            rest: self.rest,
            floor,
        }
    }

    /// Heap memory in bytes, computed from the capacities of the tables.
    pub fn heap_bytes(&self) -> usize {
        let entry = size_of::<Ipv4Addr>() + size_of::<CallerEntry>() + size_of::<u64>();
        // Index of the map: a word and a control byte for each slot, at most 7/8
        // full.
        let index = (size_of::<usize>() + 1) * 2;
        self.top.capacity() * (entry + index)
    }

    /// Moves the caller with the lowest bound to the rest and returns that bound,
    /// which becomes `unseen` of the new entry.
    fn evict(&mut self) -> u64 {
        let least = self
            .top
            .values()
            .enumerate()
            .min_by_key(|(_, e)| max_events(e))
            .map(|(at, _)| at);
        let Some((_, evicted)) = least.and_then(|at| self.top.swap_remove_index(at)) else {
            return 0;
        };
        self.rest.merge(&evicted.classes);
        max_events(&evicted)
    }

    fn floor(&self) -> u64 {
        if self.top.len() < self.capacity {
            return 0;
        }
        self.top.values().map(max_events).min().unwrap_or(0)
    }
}

/// Maximum number of events of the entry's caller.
fn max_events(entry: &CallerEntry) -> u64 {
    entry.classes.events().saturating_add(entry.unseen)
}

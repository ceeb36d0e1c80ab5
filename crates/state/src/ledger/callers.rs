//! Top callers by the space-saving method (Metwally, Agrawal, El Abbadi), and
//! the exact sum of all others.
//!
//! A sketch of `capacity` entries has seen N events: a caller with more than
//! N / `capacity` of them is surely in it. An entry's counts are exact since
//! it entered; up to `unseen` earlier events of that caller are in `rest`.
//! Entries and `rest` together always make the exact total.
//!
//! Merging keeps the union of entries, so it is associative and commutative.
//! A process cuts off what it tells, once; nothing is cut off in merging.

use std::net::Ipv4Addr;

use indexmap::IndexMap;

use crate::ledger::counts::ClassCounts;
use crate::ledger::event_kind::EventKind;

/// What is known of one caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallerEntry {
    /// Events surely of this caller.
    pub classes: ClassCounts,
    /// Events that may be its own too, counted in the rest.
    pub unseen: u64,
    /// Sum of the floors of the sketches that have this caller.
    pub floor: u64,
}

/// Top callers with the sum of the rest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TopCallers {
    /// Callers that are counted singly.
    pub top: IndexMap<Ipv4Addr, CallerEntry>,
    /// All events of callers while they were not counted singly.
    pub rest: ClassCounts,
    /// Events that a caller not in `top` may have at most.
    pub floor: u64,
}

impl TopCallers {
    /// Adds what `other` knows.
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

    /// Events of `entry`'s caller that may be hidden in the rest: those from
    /// before it entered, and those in sketches that don't have it.
    pub fn max_uncounted(&self, entry: &CallerEntry) -> u64 {
        let elsewhere = self.floor.saturating_sub(entry.floor);
        let bound = entry.unseen.saturating_add(elsewhere);
        bound.min(self.rest.events())
    }

    /// Keeps the `most` callers with the most events, so that what a process
    /// tells is bounded. The others go to the rest, and the floor rises to
    /// what they may have had.
    pub fn truncate(&mut self, most: usize) {
        if self.top.len() <= most {
            return;
        }
        let mut ranked = self.ranked();
        for (_, entry) in &mut ranked {
            entry.unseen = self.max_uncounted(entry);
        }
        self.top = ranked.drain(..most).collect();
        for (_, entry) in &ranked {
            self.floor = self.floor.max(bound(entry));
            self.rest.merge(&entry.classes);
        }
        for entry in self.top.values_mut() {
            entry.floor = self.floor;
        }
    }

    /// Callers by the number of their requests and flows, most first.
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
    /// Empty sketch that counts up to `capacity` callers singly.
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

    /// What the sketch knows, in the form that merges.
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

    /// Heap bytes held, from the sizes of the tables.
    pub fn heap_bytes(&self) -> usize {
        let entry = size_of::<Ipv4Addr>() + size_of::<CallerEntry>() + size_of::<u64>();
        // The index of the map: a word and a control byte a slot, at most
        // seven eighths full.
        let index = (size_of::<usize>() + 1) * 2;
        self.top.capacity() * (entry + index)
    }

    /// Moves the least caller to the rest; gives the bound on its events,
    /// which the newcomer inherits.
    fn evict(&mut self) -> u64 {
        let least = self
            .top
            .values()
            .enumerate()
            .min_by_key(|(_, e)| bound(e))
            .map(|(at, _)| at);
        let Some((_, gone)) = least.and_then(|at| self.top.swap_remove_index(at)) else {
            return 0;
        };
        self.rest.merge(&gone.classes);
        bound(&gone)
    }

    fn floor(&self) -> u64 {
        if self.top.len() < self.capacity {
            return 0;
        }
        self.top.values().map(bound).min().unwrap_or(0)
    }
}

/// Events that the entry's caller may have had at most.
fn bound(entry: &CallerEntry) -> u64 {
    entry.classes.events().saturating_add(entry.unseen)
}

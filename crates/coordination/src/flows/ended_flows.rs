//! Record of flows that ended normally a short time ago.
//!
//! A late packet of such a flow is answered with a reset like that of any
//! unknown flow, but is not counted as a broken flow. Keys are kept in two
//! generations: when the young one is full or too old, the old one is dropped
//! and the young one takes its place.

use std::collections::HashSet;
use std::time::Duration;

use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

use super::hash::SeededBuildHasher;

/// Capacity of one generation.
const GENERATION_MAX_FLOWS: usize = 8_192;

/// Time for which a generation takes in flows; longer than TCP retransmits.
const GENERATION_MAX_AGE: Duration = Duration::from_secs(60);

/// Keys of flows that ended recently.
#[derive(Debug)]
pub(super) struct EndedFlows {
    young: HashSet<FlowKey, SeededBuildHasher>,
    old: HashSet<FlowKey, SeededBuildHasher>,
    young_since: Millis,
}

impl EndedFlows {
    pub(super) fn new(seed: u64) -> EndedFlows {
        let state = SeededBuildHasher::new(seed);
        EndedFlows {
            young: HashSet::with_hasher(state),
            old: HashSet::with_hasher(state),
            young_since: Millis(0),
        }
    }

    pub(super) fn insert(&mut self, now: Millis, key: FlowKey) {
        let is_full = self.young.len() >= GENERATION_MAX_FLOWS;
        if is_full || now.since(self.young_since) > GENERATION_MAX_AGE {
            std::mem::swap(&mut self.young, &mut self.old);
            self.young.clear();
            self.young_since = now;
        }
        self.young.insert(key);
    }

    pub(super) fn contains(&self, key: &FlowKey) -> bool {
        self.young.contains(key) || self.old.contains(key)
    }
}

//! Flows that have ended a short time ago, in the ordinary way.
//!
//! A late packet of such a flow is answered with a reset like that of any
//! unknown flow, but it does not mean that a flow was broken. Two generations,
//! of which the older is thrown away when the younger is full or old.

use std::collections::HashSet;
use std::time::Duration;

use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

use super::hash::SeededBuildHasher;

/// Flows in one generation.
const GENERATION_MAX_FLOWS: usize = 8_192;

/// Time that a generation takes in flows: longer than TCP repeats itself.
const GENERATION_MAX_AGE: Duration = Duration::from_secs(60);

/// Keys of flows that ended.
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

//! Cache of pointers from flows to their owners, kept by the flows' home.
//!
//! A two-generation cache, bounded without a timer: when the young generation
//! is full, the old one is dropped and the young one takes its place. A pointer
//! that is used moves to the young generation. A pointer lost this way costs
//! one owner query.

use std::collections::HashMap;

use ramp_state::key::FlowKey;
use ramp_state::key::InstanceId;

use super::hash::SeededBuildHasher;

/// Capacity of one generation.
const GENERATION_MAX_POINTERS: usize = 32_768;

/// Which member owns a flow, as known to the home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Pointer {
    /// Agent that owns the flow.
    pub(super) owner: InstanceId,
    /// Whether the owner has confirmed that it owns the flow. Until then this
    /// home has only assigned it, and another member may have opened it too.
    pub(super) confirmed: bool,
    /// Whether a reset because of the lost owner has been counted for the flow.
    pub(super) reset_sent: bool,
}

/// Pointers by flow key.
#[derive(Debug)]
pub(super) struct Directory {
    young: HashMap<FlowKey, Pointer, SeededBuildHasher>,
    old: HashMap<FlowKey, Pointer, SeededBuildHasher>,
}

impl Directory {
    pub(super) fn new(seed: u64) -> Directory {
        let state = SeededBuildHasher::new(seed);
        Directory {
            young: HashMap::with_hasher(state),
            old: HashMap::with_hasher(state),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    pub(super) fn get(&mut self, key: &FlowKey) -> Option<&mut Pointer> {
        if self.young.contains_key(key) {
            return self.young.get_mut(key);
        }
        let pointer = self.old.remove(key)?;
        self.rotate_if_full();
        Some(self.young.entry(*key).or_insert(pointer))
    }

    pub(super) fn insert(&mut self, key: FlowKey, owner: InstanceId, confirmed: bool) {
        self.old.remove(&key);
        self.rotate_if_full();
        let pointer = Pointer {
            owner,
            confirmed,
            reset_sent: false,
        };
        self.young.insert(key, pointer);
    }

    pub(super) fn remove(&mut self, key: &FlowKey) {
        self.young.remove(key);
        self.old.remove(key);
    }

    /// Removes the pointer of `key` if it points to `owner`.
    pub(super) fn remove_if_owner(&mut self, key: &FlowKey, owner: InstanceId) {
        if self.get(key).is_some_and(|p| p.owner == owner) {
            self.young.remove(key);
        }
    }

    fn rotate_if_full(&mut self) {
        if self.young.len() < GENERATION_MAX_POINTERS {
            return;
        }
        std::mem::swap(&mut self.young, &mut self.old);
        self.young.clear();
    }
}

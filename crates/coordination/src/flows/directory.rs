//! Pointers from flows to owners, at their home.
//!
//! Bounded without a timer: two generations, of which the older is thrown
//! away whole when the younger is full. A pointer that is used moves to the
//! younger one. A lost pointer costs one query.

use std::collections::HashMap;

use ramp_state::key::FlowKey;
use ramp_state::key::InstanceId;

use super::hash::SeededBuildHasher;

/// Pointers in one generation.
const GENERATION_MAX_POINTERS: usize = 32_768;

/// Where a flow lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Pointer {
    /// Agent that owns the flow.
    pub(super) owner: InstanceId,
    /// Whether the owner has said so, rather than this home chosen it: a first
    /// packet that was placed may have been opened elsewhere as well.
    pub(super) confirmed: bool,
    /// Whether a caller has been told that the owner is gone.
    pub(super) reset_sent: bool,
}

/// Pointers by flow.
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

    /// Removes the pointer if it leads to `owner`.
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

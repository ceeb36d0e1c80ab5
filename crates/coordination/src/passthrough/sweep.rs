//! Incremental removal of old entries from a table: each call looks at only a
//! few entries, so that no packet is delayed by a pass over the whole table.

use indexmap::IndexMap;
use ramp_state::key::FlowKey;

/// Position of the pass over one table: the index of the next entry to look at.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Sweep {
    next: usize,
}

impl Sweep {
    /// Looks at the next `entries` entries and removes those that are old. The
    /// pass starts again from the beginning when it reaches the end.
    pub(super) fn evict<T>(
        &mut self,
        table: &mut IndexMap<FlowKey, T>,
        entries: usize,
        mut is_old: impl FnMut(&FlowKey, &mut T) -> bool,
    ) {
        for _ in 0..entries.min(table.len()) {
            if self.next >= table.len() {
                self.next = 0;
            }
            let Some((key, entry)) = table.get_index_mut(self.next) else {
                return;
            };
            if is_old(key, entry) {
                // The last entry takes its place, so the index stays.
                table.swap_remove_index(self.next);
            } else {
                self.next += 1;
            }
        }
    }
}

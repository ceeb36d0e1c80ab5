//! Forgetting old entries of a table a few at a time, so that no packet waits
//! for a walk over all of it.

use indexmap::IndexMap;
use ramp_state::key::FlowKey;

/// Place in a walk over one table.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Sweep {
    at: usize,
}

impl Sweep {
    /// Looks at the next entries and forgets those that are old.
    pub(super) fn evict<T>(
        &mut self,
        table: &mut IndexMap<FlowKey, T>,
        entries: usize,
        mut is_old: impl FnMut(&FlowKey, &mut T) -> bool,
    ) {
        for _ in 0..entries.min(table.len()) {
            if self.at >= table.len() {
                self.at = 0;
            }
            let Some((key, entry)) = table.get_index_mut(self.at) else {
                return;
            };
            if is_old(key, entry) {
                // The last entry takes its place and is looked at next.
                table.swap_remove_index(self.at);
            } else {
                self.at += 1;
            }
        }
    }
}

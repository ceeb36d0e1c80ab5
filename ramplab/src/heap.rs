//! Measures heap use with a counting global allocator. The counts cover the whole
//! process, so nothing else may run during a measurement.

use std::alloc::System;

use stats_alloc::INSTRUMENTED_SYSTEM;
use stats_alloc::Region;
use stats_alloc::StatsAlloc;

#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Heap use of one measured call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeapUse {
    /// Number of allocations and reallocations.
    pub allocations: usize,
    /// Bytes allocated minus bytes freed, with the result of the call not yet freed.
    pub held_bytes: i64,
}

/// Runs `work` and returns its result together with the heap use, which includes
/// the result itself.
pub fn measure<T>(work: impl FnOnce() -> T) -> (T, HeapUse) {
    let region = Region::new(HEAP);
    let result = work();
    let change = region.change();
    let held = change.bytes_allocated as i64 - change.bytes_deallocated as i64;
    let used = HeapUse {
        allocations: change.allocations + change.reallocations,
        held_bytes: held,
    };
    (result, used)
}

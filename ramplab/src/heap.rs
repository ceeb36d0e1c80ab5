//! Heap use of this program, counted at the allocator.

use std::alloc::System;

use stats_alloc::INSTRUMENTED_SYSTEM;
use stats_alloc::Region;
use stats_alloc::StatsAlloc;

#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// What a piece of work did to the heap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeapUse {
    /// Allocations made, those that grew a block included.
    pub allocations: usize,
    /// Bytes still held afterwards.
    pub held_bytes: i64,
}

/// Runs `work` and tells what it did to the heap; what it returns is still
/// held when the bytes are counted.
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

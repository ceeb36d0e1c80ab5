//! Heap memory of a full ledger with 100,000 callers, and allocations per event.
//!
//! The only test of its binary, because the counting allocator covers the whole
//! process.

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ramp_state::key::InstanceId;
use ramp_state::key::ServiceId;
use ramp_state::ledger::Ledger;
use ramp_state::ledger::MAX_HEAP_BYTES;
use ramp_state::outcome::Outcome;
use ramp_state::outcome::Record;
use ramp_state::time::Millis;
use ramp_state::verdict::Verdict;

const CALLER_COUNT: u64 = 100_000;
const SECOND_MS: u64 = 1_000;
const HOUR_MS: u64 = 3_600 * SECOND_MS;

struct CountingAllocator;

static LIVE_BYTES: AtomicUsize = AtomicUsize::new(0);
static ALLOCATIONS: AtomicUsize = AtomicUsize::new(0);

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

// SAFETY: every call goes to the system's allocator unchanged.
#[allow(unsafe_code, reason = "counting allocations needs an allocator")]
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        LIVE_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[test]
fn memory_is_bounded_with_100_000_callers_and_events_do_not_allocate() {
    let before = LIVE_BYTES.load(Ordering::Relaxed);
    let mut ledger = Ledger::new(Millis(0));
    let now = fill(&mut ledger);
    let held = LIVE_BYTES.load(Ordering::Relaxed) - before;
    println!(
        "ledger: {held} bytes by the allocator, {} by its own account",
        ledger.heap_bytes()
    );
    assert!(held <= MAX_HEAP_BYTES, "{held} bytes");
    // The computed size, which processes report, is within 10% of the allocated
    // size.
    assert!(ledger.heap_bytes().abs_diff(held) < held / 10);

    // The newest buckets are new. They reach their full size first, so that no
    // growth is counted below.
    add_all(&mut ledger, now);
    let before = ALLOCATIONS.load(Ordering::Relaxed);
    add_all(&mut ledger, now);
    let allocations = ALLOCATIONS.load(Ordering::Relaxed) - before;
    assert_eq!(allocations, 0, "allocations for {CALLER_COUNT} events");
}

fn add_all(ledger: &mut Ledger, now: Millis) {
    for i in 0..CALLER_COUNT {
        ledger.add(now, &record(i));
    }
}

/// Fills every bucket of every ring up to its maximum number of rows and callers.
/// Returns the time of the last event.
fn fill(ledger: &mut Ledger) -> Millis {
    let end = Millis(100 * HOUR_MS);
    let mut at = Millis(20 * HOUR_MS);
    let mut i = 0;
    while at < end {
        let step = if at < Millis(93 * HOUR_MS) {
            7 * SECOND_MS
        } else if at < end - Duration::from_secs(700) {
            SECOND_MS
        } else {
            SECOND_MS / 100
        };
        at = at + Duration::from_millis(step);
        ledger.add(at, &record(i));
        i += 1;
    }
    assert!(i > CALLER_COUNT);
    end
}

/// Event number `i`. Callers come in a pseudo-random order; there are 40 servers,
/// more than a bucket has rows.
fn record(i: u64) -> Record {
    let caller = (i * 7_919 % CALLER_COUNT) as u32;
    Record {
        caller: SocketAddrV4::new(Ipv4Addr::from(caller), 4_000),
        service: ServiceId::of("ledger"),
        server: Some(InstanceId(i % 40)),
        outcome: Outcome::Request {
            verdict: Verdict::Served,
            took: Duration::from_millis(i % 3_000),
        },
    }
}

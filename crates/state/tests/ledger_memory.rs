//! Memory of a full ledger with 100,000 callers, and allocations per event.
//!
//! Alone in its file: the allocator counts for the whole program.

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

const CALLERS: u64 = 100_000;
const SECOND: u64 = 1_000;
const HOUR: u64 = 3_600 * SECOND;

struct Counting;

static LIVE_BYTES: AtomicUsize = AtomicUsize::new(0);
static ALLOCATIONS: AtomicUsize = AtomicUsize::new(0);

#[global_allocator]
static ALLOCATOR: Counting = Counting;

// SAFETY: every call goes to the system's allocator unchanged.
#[allow(unsafe_code, reason = "counting allocations needs an allocator")]
unsafe impl GlobalAlloc for Counting {
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
    // Its own account, which processes show, is within a tenth of the truth.
    assert!(ledger.heap_bytes().abs_diff(held) < held / 10);

    // The newest buckets are just opened: let them grow to their size.
    add_all(&mut ledger, now);
    let before = ALLOCATIONS.load(Ordering::Relaxed);
    add_all(&mut ledger, now);
    let allocations = ALLOCATIONS.load(Ordering::Relaxed) - before;
    assert_eq!(allocations, 0, "allocations for {CALLERS} events");
}

fn add_all(ledger: &mut Ledger, now: Millis) {
    for i in 0..CALLERS {
        ledger.add(now, &record(i));
    }
}

/// Fills every bucket of every ring with as many rows and callers as it holds.
fn fill(ledger: &mut Ledger) -> Millis {
    let end = Millis(100 * HOUR);
    let mut at = Millis(20 * HOUR);
    let mut i = 0;
    while at < end {
        let step = if at < Millis(93 * HOUR) {
            7 * SECOND
        } else if at < end - Duration::from_secs(700) {
            SECOND
        } else {
            SECOND / 100
        };
        at = at + Duration::from_millis(step);
        ledger.add(at, &record(i));
        i += 1;
    }
    assert!(i > CALLERS);
    end
}

/// Event number `i`: callers in an order that looks random, 40 servers.
fn record(i: u64) -> Record {
    let caller = (i * 7_919 % CALLERS) as u32;
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

//! Packets of established flows cause no memory allocation, at their owner or at
//! an agent that forwards them to the owner, whatever the number of flows.
#![allow(unsafe_code, reason = "a counting allocator is unsafe by its trait")]

mod common;

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::cell::Cell;

use ramp_coordination::flows::Action;
use ramp_coordination::flows::Arrival;
use ramp_protocol::packet::Segment;

use common::World;
use common::later_segment;

thread_local! {
    static ALLOCATIONS: Cell<usize> = const { Cell::new(0) };
}

struct CountingAllocator;

// SAFETY: every call is passed on unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.set(ALLOCATIONS.get() + 1);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

#[test]
fn packets_of_known_flows_allocate_nothing() {
    for flows in [100, 2_000] {
        let mut world = World::new(1, 7, 2);
        for i in 0..flows {
            world.open_flow(i);
            if i % 10 == 0 {
                world.run_for(20);
            }
        }
        world.run_for(3_000);
        let segments: Vec<Segment> = world
            .callers
            .keys()
            .map(|key| later_segment(*key, 1))
            .collect();
        let arrival = Arrival {
            hops: 1,
            ..Arrival::default()
        };
        let now = world.now;
        let (mut delivered, mut forwarded, mut total_allocations) = (0, 0, 0);
        for segment in &segments {
            for agent in world.agents.values_mut() {
                let before = ALLOCATIONS.get();
                let action = agent.router.on_packet(now, arrival, segment);
                let allocations = ALLOCATIONS.get() - before;
                match action {
                    Action::Deliver => delivered += 1,
                    Action::Forward { to_owner: true, .. } => forwarded += 1,
                    _ => continue,
                }
                total_allocations += allocations;
            }
        }
        assert_eq!(delivered, segments.len());
        assert!(forwarded > 0);
        assert_eq!(total_allocations, 0);
    }
}

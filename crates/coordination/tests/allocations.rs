//! Packets of established flows cost no allocation, however many flows there
//! are, and so does following a pointer.
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
    static COUNT: Cell<usize> = const { Cell::new(0) };
}

struct Counting;

// SAFETY: every call goes to the system's allocator as it came.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        COUNT.set(COUNT.get() + 1);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

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
        let (mut delivered, mut forwarded, mut allocated) = (0, 0, 0);
        for segment in &segments {
            for agent in world.agents.values_mut() {
                let before = COUNT.get();
                let step = agent.router.on_packet(now, arrival, segment);
                let cost = COUNT.get() - before;
                match step {
                    Action::Deliver => delivered += 1,
                    Action::Forward { to_owner: true, .. } => forwarded += 1,
                    _ => continue,
                }
                allocated += cost;
            }
        }
        assert_eq!(delivered, segments.len());
        assert!(forwarded > 0);
        assert_eq!(allocated, 0);
    }
}

//! Simulated link between callers and the fleet, with random loss, duplication,
//! reordering and delay of packets.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use ramp_coordination::random::Random;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::fabric::Direction;

/// Maximum extra delay of a reordered packet.
const MAX_REORDER_DELAY_US: u64 = 5_000;

/// Faults of the link; shares are from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Share of packets lost.
    pub lose: f64,
    /// Share of packets delivered twice.
    pub duplicate: f64,
    /// Share of packets that get extra delay and so may arrive after later ones.
    pub reorder: f64,
    /// One-way delay of each packet.
    pub delay: Duration,
}

/// Faults drawn for one packet.
#[derive(Clone, Copy, Debug)]
pub struct PacketFaults {
    /// The packet is dropped.
    pub lost: bool,
    /// The delay includes extra time for reordering.
    pub reordered: bool,
    /// Time until the packet arrives.
    pub delay: Duration,
    /// Time until a second copy arrives, if the packet is duplicated.
    pub duplicate_delay: Option<Duration>,
}

/// Due time, sequence number, direction and bytes of a delayed packet; reversed so
/// that the heap yields the earliest first.
type DelayedPacket = Reverse<(Instant, u64, Direction, Vec<u8>)>;

struct Queue {
    rng: Random,
    delayed: BinaryHeap<DelayedPacket>,
    last_seq: u64,
}

/// The link: draws faults from a seeded generator and queues delayed packets.
pub struct Link {
    faults: Faults,
    queue: RefCell<Queue>,
    earlier_packet: Notify,
}

impl Link {
    /// Creates a link with these faults and the seed of its random numbers.
    pub fn new(faults: Faults, seed: u64) -> Link {
        Link {
            faults,
            queue: RefCell::new(Queue {
                rng: Random::new(seed),
                delayed: BinaryHeap::new(),
                last_seq: 0,
            }),
            earlier_packet: Notify::new(),
        }
    }

    /// Draws the faults for the next packet.
    pub fn draw_faults(&self) -> PacketFaults {
        let faults = &self.faults;
        let rng = &mut self.queue.borrow_mut().rng;
        let lost = rng.chance(faults.lose);
        let duplicated = rng.chance(faults.duplicate);
        let reordered = rng.chance(faults.reorder);
        let mut delay = faults.delay;
        if reordered {
            delay += Duration::from_micros(rng.below(MAX_REORDER_DELAY_US) + 1);
        }
        PacketFaults {
            lost,
            reordered,
            delay,
            duplicate_delay: duplicated.then_some(faults.delay),
        }
    }

    /// Picks one of `len` balancers at random; returns its index.
    pub fn pick_balancer(&self, len: usize) -> usize {
        self.queue.borrow_mut().rng.below(len as u64) as usize
    }

    /// Queues a packet for delivery after `delay`.
    pub fn delay_packet(&self, direction: Direction, packet: Vec<u8>, delay: Duration) {
        let due = Instant::now() + delay;
        let queue = &mut *self.queue.borrow_mut();
        let first = queue.delayed.peek().is_none_or(|e| due < e.0.0);
        queue.last_seq += 1;
        queue
            .delayed
            .push(Reverse((due, queue.last_seq, direction, packet)));
        if first {
            self.earlier_packet.notify_one();
        }
    }

    /// Waits until the next queued packet is due and returns it.
    pub async fn next_due_packet(&self) -> (Direction, Vec<u8>) {
        loop {
            if let Some(found) = self.pop_due() {
                return found;
            }
            let due = self.queue.borrow().delayed.peek().map(|e| e.0.0);
            match due {
                None => self.earlier_packet.notified().await,
                Some(due) => tokio::select! {
                    () = self.earlier_packet.notified() => {}
                    () = tokio::time::sleep_until(due) => {}
                },
            }
        }
    }

    fn pop_due(&self) -> Option<(Direction, Vec<u8>)> {
        let delayed = &mut self.queue.borrow_mut().delayed;
        if delayed.peek()?.0.0 > Instant::now() {
            return None;
        }
        let Reverse((_, _, direction, packet)) = delayed.pop()?;
        Some((direction, packet))
    }
}

//! The link between callers and the fleet: loss, duplication, reordering, delay.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use ramp_coordination::random::Random;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::fabric::Way;

/// Longest extra delay of a reordered packet, in microseconds.
const REORDER_MOST_US: u64 = 5_000;

/// What the link does to packets; shares are from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Share of packets lost.
    pub lose: f64,
    /// Share of packets delivered twice.
    pub duplicate: f64,
    /// Share of packets that arrive after later ones.
    pub reorder: f64,
    /// Time each packet takes.
    pub delay: Duration,
}

/// What becomes of one packet.
#[derive(Clone, Copy, Debug)]
pub struct Fate {
    /// Never arrives.
    pub lost: bool,
    /// Arrives later than others sent with it.
    pub reordered: bool,
    /// Arrives after this time.
    pub delay: Duration,
    /// A second copy arrives after this time.
    pub duplicate_delay: Option<Duration>,
}

/// Due time, number, way and bytes of a packet under way; soonest first.
type Held = Reverse<(Instant, u64, Way, Vec<u8>)>;

struct Queue {
    rng: Random,
    held: BinaryHeap<Held>,
    count: u64,
}

/// Packets under way.
pub struct Link {
    faults: Faults,
    queue: RefCell<Queue>,
    sooner: Notify,
}

impl Link {
    /// Link with these faults, drawn by `seed`.
    pub fn new(faults: Faults, seed: u64) -> Link {
        Link {
            faults,
            queue: RefCell::new(Queue {
                rng: Random::new(seed),
                held: BinaryHeap::new(),
                count: 0,
            }),
            sooner: Notify::new(),
        }
    }

    /// Draws what becomes of the next packet.
    pub fn fate(&self) -> Fate {
        let faults = &self.faults;
        let rng = &mut self.queue.borrow_mut().rng;
        let lost = rng.chance(faults.lose);
        let duplicated = rng.chance(faults.duplicate);
        let reordered = rng.chance(faults.reorder);
        let mut delay = faults.delay;
        if reordered {
            delay += Duration::from_micros(rng.below(REORDER_MOST_US) + 1);
        }
        Fate {
            lost,
            reordered,
            delay,
            duplicate_delay: duplicated.then_some(faults.delay),
        }
    }

    /// Picks one of `len` balancers.
    pub fn pick(&self, len: usize) -> usize {
        self.queue.borrow_mut().rng.below(len as u64) as usize
    }

    /// Keeps a packet under way for `delay`.
    pub fn hold(&self, way: Way, packet: Vec<u8>, delay: Duration) {
        let due = Instant::now() + delay;
        let queue = &mut *self.queue.borrow_mut();
        let first = queue.held.peek().is_none_or(|e| due < e.0.0);
        queue.count += 1;
        queue.held.push(Reverse((due, queue.count, way, packet)));
        if first {
            self.sooner.notify_one();
        }
    }

    /// Waits for the next packet to arrive.
    pub async fn next_due(&self) -> (Way, Vec<u8>) {
        loop {
            if let Some(found) = self.pop_due() {
                return found;
            }
            let due = self.queue.borrow().held.peek().map(|e| e.0.0);
            match due {
                None => self.sooner.notified().await,
                Some(due) => tokio::select! {
                    () = self.sooner.notified() => {}
                    () = tokio::time::sleep_until(due) => {}
                },
            }
        }
    }

    fn pop_due(&self) -> Option<(Way, Vec<u8>)> {
        let held = &mut self.queue.borrow_mut().held;
        if held.peek()?.0.0 > Instant::now() {
            return None;
        }
        let Reverse((_, _, way, packet)) = held.pop()?;
        Some((way, packet))
    }
}

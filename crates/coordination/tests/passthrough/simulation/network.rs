//! The simulated network: random loss and delay of messages, and links between
//! data centres that are cut or slow in one direction.

use indexmap::IndexMap;
use ramp_coordination::random::Random;

const DATA_CENTRES: usize = 3;
const LOSS_PERCENT: u64 = 2;
const MAX_DELAY_MS: u64 = 4;
/// Shortest extra delay on a slow link.
const MIN_SLOW_DELAY_MS: u64 = 50;
/// Range of the random extra delay on a slow link.
const SLOW_DELAY_RANGE_MS: u64 = 350;

/// Fault of the link from one data centre to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Cut,
    Slow,
}

/// Faults of the links between the data centres.
#[derive(Debug, Default)]
pub struct Network {
    /// Fault of each link, by the data centres that it leads from and to.
    faults: IndexMap<(usize, usize), Fault>,
    /// Fault of frames which say that an opening waits.
    pub queued_fault: QueuedFault,
}

/// Extra loss and delay of frames which say that an opening waits at an agent.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueuedFault {
    pub lost_percent: u64,
    pub late_ms: u64,
}

/// The data centre of a balancer or an agent.
fn data_centre_of(process: usize) -> usize {
    process % DATA_CENTRES
}

impl Network {
    /// Drops all messages from one data centre to another.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.faults.insert((from, to), Fault::Cut);
    }

    /// Delays all messages from one data centre to another.
    pub fn slow(&mut self, from: usize, to: usize) {
        self.faults.insert((from, to), Fault::Slow);
    }

    pub fn repair(&mut self) {
        self.faults.clear();
    }

    /// Time until a message arrives; none when it is lost.
    pub fn delay_ms(&self, rng: &mut Random, from: usize, to: usize) -> Option<u64> {
        let delay = Network::caller_delay_ms(rng)?;
        match self.fault(from, to) {
            Some(Fault::Cut) => None,
            Some(Fault::Slow) => Some(delay + MIN_SLOW_DELAY_MS + rng.below(SLOW_DELAY_RANGE_MS)),
            None => Some(delay),
        }
    }

    /// As [`Network::delay_ms`], for frames which say that an opening waits.
    pub fn queued_delay_ms(&self, rng: &mut Random, from: usize, to: usize) -> Option<u64> {
        let delay = self.delay_ms(rng, from, to)?;
        let lost = rng.below(100) < self.queued_fault.lost_percent;
        (!lost).then_some(delay + self.queued_fault.late_ms)
    }

    /// As [`Network::delay_ms`], for packets of callers, whose links are never
    /// cut or slow.
    pub fn caller_delay_ms(rng: &mut Random) -> Option<u64> {
        let lost = rng.below(100) < LOSS_PERCENT;
        let delay = 1 + rng.below(MAX_DELAY_MS);
        (!lost).then_some(delay)
    }

    /// Whether the link between two processes is cut in either direction.
    pub fn is_cut_between(&self, one: usize, other: usize) -> bool {
        let cut = |from, to| self.fault(from, to) == Some(Fault::Cut);
        cut(one, other) || cut(other, one)
    }

    fn fault(&self, from: usize, to: usize) -> Option<Fault> {
        let link = (data_centre_of(from), data_centre_of(to));
        self.faults.get(&link).copied()
    }
}

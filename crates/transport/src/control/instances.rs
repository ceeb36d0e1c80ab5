//! When a process reads the platform's list of instances, and what it says.
//!
//! The list lags and nobody waits for it, so each process reads it now and
//! then, the more rarely the larger the fleet: calls a second stay the same
//! while the fleet grows.

use std::net::SocketAddrV4;
use std::time::Duration;

use ramp_coordination::random::Random;
use ramp_state::instances::InstanceList;
use ramp_state::key::InstanceId;
use ramp_state::key::Version;
use ramp_state::time::Millis;

/// Time between two reads for each server of the fleet.
const POLL_PERIOD_PER_SERVER: Duration = Duration::from_millis(10);

/// Shortest time between two reads.
const MIN_POLL_PERIOD: Duration = Duration::from_secs(1);

/// One read to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// Replica to ask: an index, modulo the number of replicas.
    pub replica: usize,
    /// Version that is known.
    pub after: Version,
}

/// The list and the plan of its reads.
#[derive(Debug)]
pub struct InstanceListPoller {
    random: Random,
    next: Option<Millis>,
    period: Duration,
    list: InstanceList,
    /// Reads so far.
    pub polls_started: u64,
}

impl InstanceListPoller {
    /// Plan of a process that has no list yet.
    pub fn new(seed: u64) -> InstanceListPoller {
        InstanceListPoller {
            random: Random::new(seed),
            next: None,
            period: MIN_POLL_PERIOD,
            list: InstanceList::default(),
            polls_started: 0,
        }
    }

    /// Learns the size of the fleet, without which nothing is read: when all
    /// processes start at once, their first reads are spread like later ones.
    pub fn set_server_count(&mut self, now: Millis, servers: usize) {
        let period = POLL_PERIOD_PER_SERVER * u32::try_from(servers).unwrap_or(u32::MAX);
        self.period = period.max(MIN_POLL_PERIOD);
        if self.next.is_none() {
            self.next = Some(now + self.jitter(self.period));
        }
    }

    /// The read that is due.
    pub fn next_due_poll(&mut self, now: Millis) -> Option<Poll> {
        if now < self.next? {
            return None;
        }
        self.next = Some(now + self.period / 2 + self.jitter(self.period));
        let replica = self.polls_started as usize;
        self.polls_started += 1;
        Some(Poll {
            replica,
            after: self.list.version,
        })
    }

    /// Takes a list that was read.
    pub fn update(&mut self, list: InstanceList) {
        if list.version > self.list.version {
            self.list = list;
        }
    }

    /// Control address of an instance.
    pub fn control_address(&self, id: InstanceId) -> Option<SocketAddrV4> {
        let mut instances = self.list.instances.iter();
        let (_, instance) = instances.find(|(name, _)| InstanceId::of(name) == id)?;
        Some(instance.control)
    }

    fn jitter(&mut self, span: Duration) -> Duration {
        Duration::from_millis(self.random.below(span.as_millis() as u64))
    }
}

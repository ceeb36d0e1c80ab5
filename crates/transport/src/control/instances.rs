//! Schedules the polls for the platform's list of instances, and keeps the
//! newest list.
//!
//! The platform updates the list with a delay and nothing waits for it, so each
//! process polls it at long intervals. The interval grows with the fleet, so that the
//! platform's load in calls per second stays the same.

use std::net::SocketAddrV4;
use std::time::Duration;

use ramp_coordination::random::Random;
use ramp_state::instances::InstanceList;
use ramp_state::key::InstanceId;
use ramp_state::key::Version;
use ramp_state::time::Millis;

/// Poll period of a process per server of the fleet.
const POLL_PERIOD_PER_SERVER: Duration = Duration::from_millis(10);

/// Lower bound of the poll period, for small fleets.
const MIN_POLL_PERIOD: Duration = Duration::from_secs(1);

/// One poll to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// Replica to call: an index, to be taken modulo the number of replicas.
    pub replica: usize,
    /// Version of the list that this process has.
    pub after: Version,
}

/// Newest list of instances, and the schedule of its polls.
#[derive(Debug)]
pub struct InstanceListPoller {
    random: Random,
    next: Option<Millis>,
    period: Duration,
    list: InstanceList,
    /// Number of polls started so far.
    pub polls_started: u64,
}

impl InstanceListPoller {
    /// Creates a poller that has no list yet. It does not poll before
    /// [`InstanceListPoller::set_server_count`] is called.
    pub fn new(seed: u64) -> InstanceListPoller {
        InstanceListPoller {
            random: Random::new(seed),
            next: None,
            period: MIN_POLL_PERIOD,
            list: InstanceList::default(),
            polls_started: 0,
        }
    }

    /// Sets the poll period for a fleet of this size. The first call schedules
    /// the first poll at a random time within one period, so that the platform
    /// is not overloaded when all processes start at once.
    pub fn set_server_count(&mut self, now: Millis, servers: usize) {
        let period = POLL_PERIOD_PER_SERVER * u32::try_from(servers).unwrap_or(u32::MAX);
        self.period = period.max(MIN_POLL_PERIOD);
        if self.next.is_none() {
            self.next = Some(now + self.jitter(self.period));
        }
    }

    /// Returns the poll that is due and schedules the next one.
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

    /// Replaces the list if this one is newer.
    pub fn update(&mut self, list: InstanceList) {
        if list.version > self.list.version {
            self.list = list;
        }
    }

    /// Control address of an instance; none if the list does not have it.
    pub fn control_address(&self, id: InstanceId) -> Option<SocketAddrV4> {
        let mut instances = self.list.instances.iter();
        let (_, instance) = instances.find(|(name, _)| InstanceId::of(name) == id)?;
        Some(instance.control)
    }

    fn jitter(&mut self, span: Duration) -> Duration {
        Duration::from_millis(self.random.below(span.as_millis() as u64))
    }
}

//! Classes of datagrams: their precedence, their guaranteed shares of the link, and
//! how long they may wait.

use std::time::Duration;

/// Number of classes.
pub(super) const CLASS_COUNT: usize = 3;

/// Precedence of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Owner queries, probes, resets and packets without data.
    Control,
    /// Data of flows that have sent little recently.
    Interactive {
        /// Priority of the flow's route; 0 is the highest.
        priority: u8,
    },
    /// Data of flows that have sent much recently; see
    /// [`BulkMeter`](super::BulkMeter).
    Bulk,
}

/// How one class shares the link with the others.
#[derive(Clone, Copy, Debug)]
pub(super) struct Policy {
    /// Share of the rate that the class gets at least while it has datagrams queued.
    pub(super) guaranteed_percent: u32,
    /// Link time that the datagrams ahead of a new one may need.
    pub(super) length_limit: Duration,
    /// Wait after which a queued datagram is dropped.
    pub(super) max_age: Duration,
}

/// Share of the rate that is guaranteed to bulk data.
const BULK_PERCENT: u32 = 25;

/// Share of the rate that is guaranteed to interactive data, so that a surplus of
/// control datagrams does not stop all requests.
const INTERACTIVE_PERCENT: u32 = 25;

/// Share of the rate that bulk data leaves to the other classes.
const UNGUARANTEED_PERCENT: u32 = 100 - BULK_PERCENT;

/// Longest wait of bulk data. With the delay of the path it stays below the
/// endpoints' retransmission timeout of 200 ms, so that they do not retransmit what
/// is still queued.
const BULK_WAIT_LIMIT: Duration = Duration::from_millis(120);

/// The endpoints' retransmission timeout. After a pause of the process, bulk data
/// that has waited for that long has been retransmitted already.
const RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest wait of control datagrams and interactive data.
const WAIT_LIMIT: Duration = Duration::from_millis(250);

/// Policies in descending order of precedence.
pub(super) const POLICIES: [Policy; CLASS_COUNT] = [
    Policy {
        guaranteed_percent: 0,
        length_limit: at_share(WAIT_LIMIT, UNGUARANTEED_PERCENT),
        max_age: WAIT_LIMIT,
    },
    Policy {
        guaranteed_percent: INTERACTIVE_PERCENT,
        length_limit: at_share(WAIT_LIMIT, UNGUARANTEED_PERCENT),
        max_age: WAIT_LIMIT,
    },
    Policy {
        guaranteed_percent: BULK_PERCENT,
        length_limit: at_share(BULK_WAIT_LIMIT, BULK_PERCENT),
        max_age: RETRANSMISSION_TIMEOUT,
    },
];

impl Class {
    /// Names of the classes by their position, for logs and metrics.
    pub const NAMES: [&str; CLASS_COUNT] = ["control", "interactive", "bulk"];

    /// Position in descending order of precedence.
    pub fn index(self) -> usize {
        match self {
            Class::Control => 0,
            Class::Interactive { .. } => 1,
            Class::Bulk => 2,
        }
    }

    /// Priority within the class; 0 is the highest.
    pub(super) fn priority(self) -> u8 {
        match self {
            Class::Interactive { priority } => priority,
            Class::Control | Class::Bulk => 0,
        }
    }
}

/// Link time of what a class can send within `wait` at this share of the rate.
const fn at_share(wait: Duration, percent: u32) -> Duration {
    Duration::from_millis(wait.as_millis() as u64 * percent as u64 / 100)
}

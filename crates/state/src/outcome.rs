//! What became of requests and flows, as single events for the ledger.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::key::InstanceId;
use crate::key::ServiceId;
use crate::verdict::Verdict;

/// How a flow ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FlowEnd {
    /// Closed by caller or backend server in the ordinary way.
    Closed,
    /// The caller reset it or fell silent.
    CallerLeft,
    /// Given up because its data centre was taken out.
    GivenUp,
    /// Cut at the drain limit.
    DrainLimitPassed,
    /// Reset because no live agent knows it.
    OwnerLost,
}

/// One event that the ledger counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A flow was opened.
    FlowOpened,
    /// A flow ended.
    FlowEnded(FlowEnd),
    /// A request ended, after this time.
    Request {
        /// How it ended.
        verdict: Verdict,
        /// Time from its head to its end; of a feed, to the head of its answer.
        took: Duration,
    },
}

/// An event with those it concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// Who called.
    pub caller: SocketAddrV4,
    /// Service that was called.
    pub service: ServiceId,
    /// Agent whose backend server had it; none when it reached none.
    pub server: Option<InstanceId>,
    /// What happened.
    pub outcome: Outcome,
}

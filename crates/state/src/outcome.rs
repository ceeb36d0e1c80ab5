//! Events that the ledger counts: flows opened and ended, requests ended.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::key::InstanceId;
use crate::key::ServiceId;
use crate::verdict::Verdict;

/// How a flow ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FlowEnd {
    /// Closed normally by the caller or the backend server.
    Closed,
    /// The caller reset it or stopped sending packets.
    CallerLeft,
    /// Abandoned because its data centre was taken out of service.
    GivenUp,
    /// Still open when the drain limit passed, and therefore closed.
    DrainLimitPassed,
    /// Reset because no live agent knows the flow.
    OwnerLost,
}

/// One event that the ledger counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A flow was opened.
    FlowOpened,
    /// A flow ended.
    FlowEnded(FlowEnd),
    /// A request ended.
    Request {
        /// Whether it was served, refused or cut, and why.
        verdict: Verdict,
        /// Time from the request head to the end of the request; for a feed, to
        /// the head of the response.
        took: Duration,
    },
}

/// An event with the caller, service and backend server that it concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Service that the caller addressed.
    pub service: ServiceId,
    /// Agent of the backend server that handled it; `None` when it reached no
    /// backend server.
    pub server: Option<InstanceId>,
    /// The event itself.
    pub outcome: Outcome,
}

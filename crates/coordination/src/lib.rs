//! Coordination layer: the decisions of balancer and agent, without I/O.
//!
//! Plain state machines that take the current moment and an input, and
//! return actions. No sockets, clocks, threads or global randomness inside:
//! seeds and times are passed in, messages go out as typed values.

pub mod admission;
pub mod balancer;
pub mod claims;
pub mod concurrency_limit;
pub mod configuration;
pub mod delta;
pub mod flows;
pub mod group;
pub mod group_snapshot;
pub mod outgoing;
pub mod passthrough;
pub mod pause;
pub mod peer_selection;
pub mod platform_reply;
pub mod random;
pub mod request_router;
pub mod retry;

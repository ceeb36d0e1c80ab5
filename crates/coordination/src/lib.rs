//! Decision logic of balancers and agents, without I/O.
//!
//! The types here are state machines: they take the current time and an input,
//! and return actions for the caller to carry out. They use no sockets, clocks,
//! threads or global random state. Times and random seeds are passed in, and
//! messages to other processes are returned as typed values.

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

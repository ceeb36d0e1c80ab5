//! Transport layer: sockets, threads, the platform client, and the adapters to
//! the TCP and HTTP libraries. The coordination crate makes all decisions;
//! this crate performs the input and output for them.

pub mod agent;
pub mod balancer;
pub mod clock;
pub mod control;
pub mod daemon;
pub mod logging;
pub mod metrics;
pub mod operator;
pub mod passthrough;
pub mod platform;
pub mod requests;
pub mod signal;
pub mod udp;

//! Transport layer: sockets, threads, the platform client, and the glue to
//! the TCP and HTTP libraries. All decisions are made in the coordination
//! layer; this one carries them out.

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

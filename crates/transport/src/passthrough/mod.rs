//! Sockets and threads of balancers and agents in passthrough mode, in which they
//! only forward packets between callers and backend servers.
//!
//! Each process has two threads. The control thread ([`control`], [`feed`],
//! [`readiness`]) reads the platform's records and answers readiness checks. The
//! traffic thread ([`balancer`] or [`agent`]) forwards packets. The packet format
//! and the client of the platform are type parameters.

pub mod agent;
pub mod balancer;
pub mod connect;
mod connect_check;
pub mod control;
pub mod daemon;
pub mod feed;
pub mod http;
pub mod owner_queries;
pub mod process_settings;
pub mod readiness;
pub mod sockets;
pub mod telemetry;
pub mod thread_messages;

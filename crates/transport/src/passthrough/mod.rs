//! Processes whose packets pass through: sockets, threads, and the calls of
//! the platform's client.
//!
//! One thread follows the platform and answers for readiness, another carries
//! packets. The layout of packets and the platform's client come in as type
//! parameters.

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

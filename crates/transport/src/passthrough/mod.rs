//! Processes whose packets pass through: sockets, threads, and the calls of
//! the platform's client.
//!
//! One thread follows the platform and answers for readiness, another carries
//! packets. The layout of packets and the platform's client come in as type
//! parameters.

pub mod account;
pub mod agent;
pub mod asking;
pub mod balancer;
pub mod connect;
pub mod control;
pub mod daemon;
pub mod feed;
pub mod http;
pub mod news;
pub mod place;
pub mod ready;
pub mod sockets;
mod try_server;

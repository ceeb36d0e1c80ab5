//! Test lab for running bramleyramp on one machine: simulated backend servers,
//! platform, network fabric and callers, fault injection, and checks of the result.
//!
//! Each subcommand of the `ramplab` binary parses its arguments and calls one of
//! these modules.

pub mod backend;
pub mod check;
pub mod demo;
pub mod expected_response;
pub mod fabric;
pub mod heap;
pub mod history;
pub mod http;
pub mod load;
pub mod relay;
pub mod slopes;
pub mod throughput;
pub mod trial;

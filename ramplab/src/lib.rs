//! Stand-ins, load and checks for trying bramleyramp on one machine.
//!
//! The subcommands of the `ramplab` binary are thin shells over these modules.

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

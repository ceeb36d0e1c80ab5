//! Decision logic of the passthrough data path, without any I/O: connections
//! run end to end between caller and backend server, and the load balancer
//! only forwards their packets.
//!
//! The backend servers are the only authority on which flows exist. A server
//! that gets a packet of a flow it does not have returns the packet to its
//! agent. So any balancer can find the owner of a flow by asking the agents,
//! and no flow state is stored or handed over when processes start or stop.
//!
//! - [`published`]: the records that the platform publishes, as types
//! - [`catalog`]: one process's copy of those records
//! - [`restoration`]: what remains in effect after the platform's store was
//!   restored from a stale copy
//! - [`view`]: immutable lookup tables compiled from the catalog
//! - [`balancer`] and [`agent`]: the decision for each packet
//! - [`readers`]: which processes read the platform, and which of them the
//!   others follow
//! - [`platform_client`]: the trait that a client of the platform implements
//! - [`reachability`]: whether a balancer still reaches any agent
//! - [`link_rate`]: the rate of an instance's link
//! - [`egress`]: the queue of datagrams that wait for a narrow link
//! - [`search_relay`]: owner queries that an agent relays for a balancer
//! - [`server_capacity`]: the estimated capacity of an agent's server
//! - [`mark`]: the number by which an agent recognises who sent a packet

pub mod agent;
pub mod balancer;
pub mod catalog;
mod choice;
pub mod egress;
mod flow_sequence;
mod link_load;
pub mod link_rate;
mod listed;
pub mod mark;
mod mean_time;
mod opening_queue;
pub mod platform_client;
mod priority_turns;
pub mod published;
mod rate_limit;
pub mod reachability;
pub mod readers;
pub mod restoration;
pub mod search_relay;
pub mod server_capacity;
mod service_times;
mod suspects;
mod sweep;
mod trimmed_mean;
mod unanswered;
pub mod view;

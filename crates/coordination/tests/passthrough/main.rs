//! Tests of the passthrough data path without sockets: the decisions of
//! balancers and agents, and how records of the platform reach them.

mod agent;
mod balancer;
mod catalog;
mod choice;
mod fixture;
mod flow_safety;
mod overload;
mod reachability;
mod readers;
mod server_capacity;
mod server_liveness;
mod simulation;
mod stalled_search;

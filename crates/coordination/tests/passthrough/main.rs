//! Tests of the passthrough data path without sockets: the decisions of
//! balancers and agents, and how records of the platform reach them.

mod agent;
mod balancer;
mod catalog;
mod choice;
mod fixture;
mod overload;
mod reachability;
mod readers;
mod server_liveness;
mod simulation;
mod sound_flows;
mod stalled_search;

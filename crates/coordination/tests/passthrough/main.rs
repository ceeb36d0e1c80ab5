//! Tests of the passthrough data path without sockets: the decisions of
//! balancers and agents, and how records of the platform reach them.

mod agent;
mod balancer;
mod catalog;
mod choice;
mod contention;
mod egress;
mod fixture;
mod flow_safety;
mod narrow_link;
mod opening_queue;
mod overload;
mod port_reuse;
mod reachability;
mod readers;
mod relayed_search;
mod relayed_search_faults;
mod restart_beside_servers;
mod restoration;
mod search_relay;
mod server_capacity;
mod server_liveness;
mod silent_holders;
mod simulation;
mod stalled_search;

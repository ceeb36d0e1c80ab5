//! Packets that pass through: the rules of the data path and the
//! configuration's way, without sockets.

mod agent;
mod balancer;
mod catalog;
mod choice;
mod fixture;
mod overload;
mod presence;
mod reachability;
mod readers;
mod simulation;
mod sound_flows;
mod stalled_search;

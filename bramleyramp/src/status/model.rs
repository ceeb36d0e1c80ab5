//! Data model of the overview, which the text and JSON forms show. Field names are
//! those of the JSON form; times are in milliseconds.

use std::net::SocketAddrV4;

use serde::Serialize;

use crate::status::finding::Finding;

/// Overview of all processes.
#[derive(Debug, Serialize)]
pub struct Overview {
    /// Whether one version is in force at all processes queried.
    pub in_force: bool,
    /// Highest configuration version of any process; `None` if no process has a
    /// configuration.
    pub config: Option<u64>,
    /// Version that the platform publishes; `None` if it is not known.
    pub published: Option<u64>,
    /// Number of processes queried.
    pub asked: usize,
    /// Number of processes that answered.
    pub answered: usize,
    /// Problems that were found.
    pub findings: Vec<Finding>,
    /// State of the processes that answered.
    pub processes: Vec<ProcessLine>,
    /// Services with their members.
    pub services: Vec<ServiceLine>,
    /// Backend servers that are draining.
    pub drains: Vec<DrainLine>,
}

/// State of one process.
#[derive(Debug, Serialize)]
pub struct ProcessLine {
    /// Its name.
    pub name: String,
    /// `balancer` or `agent`.
    pub role: &'static str,
    /// Its data centre.
    pub data_centre: String,
    /// Number of the process start; each later start of the instance has a higher
    /// one.
    pub incarnation: u64,
    /// Time since that start.
    pub uptime_ms: u64,
    /// Its configuration version; 0 without a configuration.
    pub config: u64,
    /// `serving`, `held` or `draining`.
    pub readiness: &'static str,
    /// Open flows that it owns.
    pub flows: u64,
    /// Calls to the platform since the start.
    pub platform_calls: u64,
    /// Time since the last answer of the platform; `None` if there was none.
    pub platform_silent_ms: Option<u64>,
}

/// A service and its members.
#[derive(Debug, Serialize)]
pub struct ServiceLine {
    /// Its name.
    pub name: String,
    /// Address that callers connect to.
    pub address: SocketAddrV4,
    /// Agents of the service's backend servers.
    pub members: Vec<MemberLine>,
}

/// One agent and its backend server.
#[derive(Debug, Serialize)]
pub struct MemberLine {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Number of processes that report it as a member.
    pub known_by: usize,
    /// Number of these processes that consider it dead.
    pub dead_for: usize,
    /// Number of these processes that consider its data centre taken out.
    pub out_for: usize,
    /// Whether operators want it to get no new work.
    pub leaving: bool,
    /// Concurrent requests that it may run when warm.
    pub slots: u32,
    /// Maximum number of connections.
    pub connections: u32,
    /// Its load: as the agent reports it or, if the agent did not answer, as other
    /// processes last received it; `None` if it is not known.
    pub load: Option<LoadLine>,
}

/// Load of one backend server.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LoadLine {
    /// Open flows.
    pub flows: u32,
    /// Requests in progress.
    pub in_progress: u32,
    /// Requests queued for a slot.
    pub waiting: u32,
    /// Concurrent requests that it may run at this moment.
    pub slots_now: u32,
    /// `cold`, `warming` or `warm`.
    pub warmth: &'static str,
}

/// A backend server that is draining.
#[derive(Debug, Serialize)]
pub struct DrainLine {
    /// Its name.
    pub server: String,
    /// Flows still open.
    pub flows: u32,
    /// Requests still in progress.
    pub in_progress: u32,
    /// Time until the drain limit, which cuts off all remaining work.
    pub left_ms: u64,
}

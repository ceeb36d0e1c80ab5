//! The state of all processes as data. Field names are those of the JSON
//! form; times are in milliseconds.

use std::net::SocketAddrV4;

use serde::Serialize;

use crate::status::finding::Finding;

/// State of all processes.
#[derive(Debug, Serialize)]
pub struct Overview {
    /// Whether one version is in force everywhere, as far as was asked.
    pub in_force: bool,
    /// Highest version at any process.
    pub config: Option<u64>,
    /// Version that the platform publishes; none when it is not known.
    pub published: Option<u64>,
    /// Processes asked.
    pub asked: usize,
    /// Processes that answered.
    pub answered: usize,
    /// What is not as it should be.
    pub findings: Vec<Finding>,
    /// Processes that answered.
    pub processes: Vec<ProcessLine>,
    /// Services with their members.
    pub services: Vec<ServiceLine>,
    /// Backend servers that finish their work.
    pub drains: Vec<DrainLine>,
}

/// One process.
#[derive(Debug, Serialize)]
pub struct ProcessLine {
    /// Its name.
    pub name: String,
    /// `balancer` or `agent`.
    pub role: &'static str,
    /// Its data centre.
    pub data_centre: String,
    /// Which start of the instance this is.
    pub incarnation: u64,
    /// Time since that start.
    pub uptime_ms: u64,
    /// Its configuration version; zero for none.
    pub config: u64,
    /// `serving`, `held` or `draining`.
    pub readiness: &'static str,
    /// Open flows that it owns.
    pub flows: u64,
    /// Calls made to the platform since the start.
    pub platform_calls: u64,
    /// Time since the platform last answered it; none when it never did.
    pub platform_silent_ms: Option<u64>,
}

/// One service.
#[derive(Debug, Serialize)]
pub struct ServiceLine {
    /// Its name.
    pub name: String,
    /// Address that callers connect to.
    pub address: SocketAddrV4,
    /// Its agents.
    pub members: Vec<MemberLine>,
}

/// One agent and its backend server.
#[derive(Debug, Serialize)]
pub struct MemberLine {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Processes that know of it.
    pub known_by: usize,
    /// Of these, those that do not believe it alive.
    pub dead_for: usize,
    /// Of these, those that see its data centre taken out.
    pub out_for: usize,
    /// Whether operators want it to get no new work.
    pub leaving: bool,
    /// Requests that it may run at once when warm.
    pub slots: u32,
    /// Connections that it may hold.
    pub connections: u32,
    /// Its load, by its own count where it answered.
    pub load: Option<LoadLine>,
}

/// Load of one backend server.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LoadLine {
    /// Open flows.
    pub flows: u32,
    /// Requests in progress.
    pub in_progress: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it can run at once at this moment.
    pub slots_now: u32,
    /// `cold`, `warming` or `warm`.
    pub warmth: &'static str,
}

/// A backend server that finishes its work.
#[derive(Debug, Serialize)]
pub struct DrainLine {
    /// Its name.
    pub server: String,
    /// Flows still open.
    pub flows: u32,
    /// Requests still in progress.
    pub in_progress: u32,
    /// Time left before the drain limit cuts what remains.
    pub left_ms: u64,
}

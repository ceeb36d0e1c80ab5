//! Typed values of operator calls: what a process tells of itself.

use std::net::SocketAddrV4;
use std::time::Duration;

use ramp_state::instances::Role;
use ramp_state::key::Incarnation;
use ramp_state::key::Version;

use crate::message::Load;

/// Whether a process takes traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// Takes traffic.
    Serving,
    /// Holds traffic until its configuration is confirmed.
    #[default]
    Held,
    /// Finishes what it has and will stop.
    Draining,
}

/// One agent of a service as the process sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Name of the agent and its backend server.
    pub name: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Whether it is believed alive.
    pub alive: bool,
    /// Whether its data centre takes traffic.
    pub reachable: bool,
    /// Whether operators want it to get no new work.
    pub leaving: bool,
    /// Requests that it may run at once when warm, by policy.
    pub slots: u32,
    /// Connections that it may hold, by policy.
    pub connections: u32,
    /// Its last known load; none when the process does not hear of it.
    pub load: Option<Load>,
}

/// One service as the process sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceStatus {
    /// Name of the service.
    pub name: String,
    /// Address that callers connect to.
    pub address: SocketAddrV4,
    /// Its agents.
    pub members: Vec<MemberStatus>,
}

/// A backend server that finishes its work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drain {
    /// Name of the backend server.
    pub server: String,
    /// Flows still open.
    pub flows: u32,
    /// Requests still in progress.
    pub in_progress: u32,
    /// Time left before the drain limit cuts what remains.
    pub time_left: Duration,
}

/// A fleet document that the process refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedDocument {
    /// Its version.
    pub version: Version,
    /// What is wrong with it, in words.
    pub why: String,
}

/// State of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Name of the instance.
    pub name: String,
    /// What it does.
    pub role: Role,
    /// Name of its data centre.
    pub data_centre: String,
    /// Which start of the instance this is.
    pub incarnation: Incarnation,
    /// Time since that start.
    pub uptime: Duration,
    /// Configuration version in force; zero for none.
    pub config: Version,
    /// Whether it takes traffic.
    pub readiness: Readiness,
    /// Services that it knows.
    pub services: Vec<ServiceStatus>,
    /// Open flows that it owns.
    pub flows: u64,
    /// Drains in progress.
    pub drains: Vec<Drain>,
    /// Calls made to the platform since the start.
    pub platform_calls: u64,
    /// Time since the platform last answered; none when it never did.
    pub platform_silent: Option<Duration>,
    /// Newest document refused, if it is newer than the one in force.
    pub refused: Option<RefusedDocument>,
}

/// The whole fleet document in force at a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// Its version.
    pub version: Version,
    /// Its text.
    pub text: String,
}

//! Status that a process reports to operators: its configuration, the services
//! that it knows, and its drains.

use std::net::SocketAddrV4;
use std::time::Duration;

use ramp_state::instances::Role;
use ramp_state::key::Incarnation;
use ramp_state::key::Version;

use crate::message::Load;

/// Whether a process accepts traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// Accepts traffic.
    Serving,
    /// Holds traffic back until its configuration is confirmed.
    #[default]
    Held,
    /// Finishes its open flows and requests, and then stops.
    Draining,
}

/// One agent of a service, as the reporting process sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Name of the agent and its backend server.
    pub name: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Whether the process considers it alive.
    pub alive: bool,
    /// Whether its data centre accepts traffic.
    pub reachable: bool,
    /// Whether operators have marked it as leaving, so that it gets no new work.
    pub leaving: bool,
    /// Number of requests that it may run at the same time once warm, by policy.
    pub slots: u32,
    /// Maximum number of connections, by policy.
    pub connections: u32,
    /// Its last known load; none if the process gets no load reports of it.
    pub load: Option<Load>,
}

/// One service, as the reporting process sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceStatus {
    /// Name of the service.
    pub name: String,
    /// Address that callers connect to.
    pub address: SocketAddrV4,
    /// Agents of the service.
    pub members: Vec<MemberStatus>,
}

/// A backend server that is draining.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drain {
    /// Name of the backend server.
    pub server: String,
    /// Number of flows that are still open.
    pub flows: u32,
    /// Number of requests that are still in progress.
    pub in_progress: u32,
    /// Time until the drain limit, at which the remaining flows are ended.
    pub time_left: Duration,
}

/// A fleet document that the process did not accept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedDocument {
    /// Version of the document.
    pub version: Version,
    /// Description of the fault in it.
    pub why: String,
}

/// Status of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Name of the instance.
    pub name: String,
    /// Whether it is a balancer or an agent.
    pub role: Role,
    /// Name of its data centre.
    pub data_centre: String,
    /// Identifies this start of the instance.
    pub incarnation: Incarnation,
    /// Time since the start.
    pub uptime: Duration,
    /// Configuration version that it uses; zero if it has none.
    pub config: Version,
    /// Whether it accepts traffic.
    pub readiness: Readiness,
    /// Services of its configuration.
    pub services: Vec<ServiceStatus>,
    /// Number of open flows that it owns.
    pub flows: u64,
    /// Drains in progress.
    pub drains: Vec<Drain>,
    /// Number of calls to the platform since the start.
    pub platform_calls: u64,
    /// Time since the platform's last answer; none if it has never answered.
    pub platform_silent: Option<Duration>,
    /// Newest refused document, if it is newer than the one in use.
    pub refused: Option<RefusedDocument>,
}

/// The complete fleet document that a process uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// Version of the document.
    pub version: Version,
    /// Text of the document.
    pub text: String,
}

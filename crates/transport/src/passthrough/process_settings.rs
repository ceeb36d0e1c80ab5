//! Where a process runs and whom it talks to.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use ramp_state::key::ServiceId;

/// Settings of a process whose packets pass through.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessSettings {
    /// Name of the instance.
    pub name: String,
    /// Address of the machine.
    pub ip: Ipv4Addr,
    /// Data port, the same on every machine; callers take packets on it too.
    pub data_port: u16,
    /// Port on which balancers talk to agents, the same on every machine.
    pub peer_port: u16,
    /// Where readiness is asked for.
    pub ready: SocketAddrV4,
    /// Where this process may be followed, if others know of it.
    pub feed: Option<SocketAddrV4>,
    /// Processes that read the platform for the others; some may be gone.
    pub readers: Vec<SocketAddrV4>,
    /// Where metrics are served, if anywhere.
    pub metrics: Option<SocketAddrV4>,
    /// The platform.
    pub platform: SocketAddrV4,
    /// Time from the request to end until the process is killed.
    pub shutdown_grace: Duration,
    /// The backend server local_server the process; none at a balancer.
    pub local_server: Option<LocalServer>,
}

/// The backend server local_server an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalServer {
    /// Service that it serves.
    pub service: ServiceId,
    /// Where it takes packets.
    pub address: SocketAddrV4,
    /// Where it sends packets.
    pub outbound: SocketAddrV4,
}

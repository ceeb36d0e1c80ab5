//! Settings of a process in passthrough mode: its own addresses, and those of the
//! platform, of the readers and of the local backend server.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use ramp_coordination::passthrough::link_rate::LinkRate;
use ramp_state::key::ServiceId;

/// Settings of a balancer or an agent in passthrough mode.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessSettings {
    /// Name of the instance.
    pub name: String,
    /// Address of the machine, by which other instances identify it.
    pub ip: Ipv4Addr,
    /// Port on which balancers receive packets from the network and agents receive
    /// frames from balancers, the same on every machine. Callers receive packets
    /// on it too.
    pub data_port: u16,
    /// Port on which balancers receive frames of agents, the same on every machine.
    pub peer_port: u16,
    /// Address at which readiness checks are answered.
    pub ready: SocketAddrV4,
    /// Address at which other processes can follow this one; none if it is not a
    /// reader.
    pub feed: Option<SocketAddrV4>,
    /// Addresses of the readers, which read the platform for the other processes.
    /// Some may not be running.
    pub readers: Vec<SocketAddrV4>,
    /// Address at which metrics are served; none if they are not served.
    pub metrics: Option<SocketAddrV4>,
    /// Address of the platform.
    pub platform: SocketAddrV4,
    /// Rate of the machine's link; none if it is not known.
    pub link_rate: Option<LinkRate>,
    /// Values that were ignored, for the log.
    pub warnings: Vec<String>,
    /// Time between the signal to terminate and the kill of the process.
    pub shutdown_grace: Duration,
    /// Backend server on the same machine; none for a balancer.
    pub local_server: Option<LocalServer>,
}

/// The backend server on an agent's machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalServer {
    /// Service that it serves.
    pub service: ServiceId,
    /// Address at which it receives packets.
    pub address: SocketAddrV4,
    /// Address of the agent to which it sends packets.
    pub outbound: SocketAddrV4,
}

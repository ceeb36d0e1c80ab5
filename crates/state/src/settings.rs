//! Settings of one process: its addresses, data centre, platform and key.

use std::net::SocketAddrV4;

/// Length of the key of the fleet, in bytes.
pub const KEY_LEN_BYTES: usize = 16;

/// What only an agent needs to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// Backend server that the agent stands before.
    pub backend_server: SocketAddrV4,
    /// Where packets to callers go: the fabric.
    pub fabric: SocketAddrV4,
}

/// Settings of a balancer or an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the instance; an agent has the name of its backend server.
    pub name: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Where it takes packets (UDP); an agent takes requests of other agents
    /// there too (TCP).
    pub address: SocketAddrV4,
    /// Where it takes control messages (UDP) and operator calls (TCP).
    pub control: SocketAddrV4,
    /// Where it shows its metrics (HTTP).
    pub metrics: SocketAddrV4,
    /// Key shared by all processes of the system.
    pub key: [u8; KEY_LEN_BYTES],
    /// Replicas of the platform's service, in order of preference.
    pub platforms: Vec<SocketAddrV4>,
    /// Control addresses of other processes, asked at start.
    pub peers: Vec<SocketAddrV4>,
    /// Present for an agent, absent for a balancer.
    pub agent: Option<AgentSettings>,
}

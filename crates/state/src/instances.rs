//! The platform's list of live and leaving instances of the system. It lags.

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::key::Version;

/// What an instance of the system does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes packets from the fabric.
    Balancer,
    /// Runs beside a backend server.
    Agent,
}

/// Whether the platform means to keep an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Presence {
    /// Runs.
    #[default]
    Live,
    /// Will be stopped soon.
    Leaving,
}

/// One instance of the system as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// What it does.
    pub role: Role,
    /// Name of its data centre.
    pub data_centre: String,
    /// Where it takes packets (UDP).
    pub address: SocketAddrV4,
    /// Where it takes control messages (UDP) and operator calls (TCP).
    pub control: SocketAddrV4,
    /// Whether the platform means to keep it.
    pub presence: Presence,
}

/// The list, by instance name. An agent has the name of its backend server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InstanceList {
    /// Version that the platform gave the list.
    pub version: Version,
    /// Instances by name.
    pub instances: IndexMap<String, Instance>,
}

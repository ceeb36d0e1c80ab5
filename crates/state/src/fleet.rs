//! The fleet document as typed data: defaults, data centres, services,
//! servers and exceptions.
//!
//! One set of defaults serves the whole fleet. An exception changes some of
//! them for one service, data centre or backend server, and says why.

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::key::Version;
pub use crate::policy::Policy;
pub use crate::policy::SetError;

/// Whether operators want traffic in a data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DataCentreState {
    /// Takes traffic.
    #[default]
    In,
    /// Gets no packets; flows that end there are given up.
    Out,
}

/// Whether operators want new work at a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Takes new flows and requests.
    #[default]
    In,
    /// Finishes what it has and gets nothing new.
    Leaving,
}

/// One data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DataCentre {
    /// Region that the data centre belongs to.
    pub region: String,
    /// Whether it takes traffic.
    pub state: DataCentreState,
}

/// One service: the address that callers use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Address and port that callers connect to.
    pub address: SocketAddrV4,
}

/// One backend server and the agent beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Name of the service that it serves.
    pub service: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Where its agent takes packets (UDP) and requests of other agents (TCP).
    pub agent: SocketAddrV4,
    /// Where its agent takes control messages (UDP) and operator calls (TCP).
    pub control: SocketAddrV4,
    /// Whether it takes new work.
    pub state: ServerState,
}

/// What an exception applies to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All servers of a service.
    Service(String),
    /// All servers in a data centre.
    DataCentre(String),
    /// One backend server.
    Server(String),
}

/// A setting that an exception changes: key and value as written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Key, one of the keys of `[defaults]`.
    pub key: String,
    /// Value as written in the document.
    pub value: String,
}

/// A departure from the defaults, with its written reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exception {
    /// What it applies to.
    pub covers: Scope,
    /// Why it exists.
    pub reason: String,
    /// What it changes.
    pub changes: Vec<Change>,
}

/// The whole fleet document of one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    /// Version that the platform gave it.
    pub version: Version,
    /// Defaults of the whole fleet.
    pub defaults: Policy,
    /// Data centres by name.
    pub data_centres: IndexMap<String, DataCentre>,
    /// Services by name.
    pub services: IndexMap<String, Service>,
    /// Backend servers by name.
    pub servers: IndexMap<String, Server>,
    /// Exceptions by name.
    pub exceptions: IndexMap<String, Exception>,
}

impl Fleet {
    /// Settings of the backend server `name`: defaults, then the exceptions
    /// that cover its service, its data centre and itself, in that order.
    pub fn policy(&self, name: &str) -> Policy {
        let mut policy = self.defaults.clone();
        let Some(server) = self.servers.get(name) else {
            return policy;
        };
        let scopes = [
            Scope::Service(server.service.clone()),
            Scope::DataCentre(server.data_centre.clone()),
            Scope::Server(name.to_string()),
        ];
        for scope in &scopes {
            for exception in self.exceptions.values() {
                if exception.covers == *scope {
                    exception.apply(&mut policy);
                }
            }
        }
        policy
    }
}

impl Exception {
    /// Applies the changes to `policy`; a checked document has only valid ones.
    fn apply(&self, policy: &mut Policy) {
        for change in &self.changes {
            let _ = policy.set(&change.key, &change.value);
        }
    }
}

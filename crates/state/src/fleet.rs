//! Typed form of the fleet document: defaults, data centres, services, backend
//! servers and exceptions.
//!
//! The defaults apply to the whole fleet. An exception overrides some of them for
//! one service, data centre or backend server and gives a reason.

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::key::Version;
pub use crate::policy::Policy;
pub use crate::policy::SetError;

/// Whether operators allow traffic in a data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DataCentreState {
    /// In service.
    #[default]
    In,
    /// Out of service: gets no packets, and flows to its servers are given up.
    Out,
}

/// Whether operators allow new flows and requests at a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts new flows and requests.
    #[default]
    In,
    /// Draining: finishes its flows and requests and gets no new ones.
    Leaving,
}

/// One data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DataCentre {
    /// Region that the data centre belongs to.
    pub region: String,
    /// Whether operators allow traffic there.
    pub state: DataCentreState,
}

/// One service that callers connect to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Virtual address and port of the service.
    pub address: SocketAddrV4,
}

/// One backend server and the agent on its machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Name of the service that it serves.
    pub service: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Address at which its agent receives packets (UDP) and requests forwarded
    /// by other agents (TCP).
    pub agent: SocketAddrV4,
    /// Address at which its agent receives control messages (UDP) and operator
    /// calls (TCP).
    pub control: SocketAddrV4,
    /// Whether operators allow new flows and requests there.
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

/// A setting that an exception overrides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// One of the keys of `[defaults]`.
    pub key: String,
    /// Value as written in the document, not parsed.
    pub value: String,
}

/// Settings that differ from the defaults for part of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exception {
    /// Part of the fleet that it applies to.
    pub covers: Scope,
    /// Reason that the operators give for it.
    pub reason: String,
    /// Settings that it overrides.
    pub changes: Vec<Change>,
}

/// One version of the fleet document.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    /// Version that the platform assigned to the document.
    pub version: Version,
    /// Settings without exceptions.
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
    /// Settings of the backend server `name`: the defaults, overridden by the
    /// exceptions for its service, its data centre and the server itself, in
    /// that order.
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
    /// Applies the changes to `policy`. Ignores errors: a validated document has
    /// only valid changes.
    fn apply(&self, policy: &mut Policy) {
        for change in &self.changes {
            let _ = policy.set(&change.key, &change.value);
        }
    }
}

//! The fleet document as typed data: defaults, data centres, services,
//! servers and exceptions.
//!
//! One set of defaults serves the whole fleet. An exception changes some of
//! them for one service, data centre or backend server, and says why.

use std::net::SocketAddrV4;
use std::time::Duration;

use indexmap::IndexMap;

use crate::key::Version;

/// Settings that apply to a backend server, after defaults and exceptions.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Requests that a warm backend server runs at once.
    pub slots: u32,
    /// Connections that a backend server holds at once.
    pub connections: u32,
    /// Share of new flows relative to other servers; 100 is the normal share.
    pub weight: u32,
    /// Requests in progress that a cold backend server may have.
    pub cold_slots: u32,
    /// Finished requests by which a cold backend server gains one more slot.
    pub cold_step: u32,
    /// Time a leaving backend server may take to finish its work.
    pub drain_limit: Duration,
    /// Time a request may take when the caller sets no deadline.
    pub deadline: Duration,
    /// Time a request may wait for a slot before it is refused.
    pub queue_limit: Duration,
    /// Retries of not-run work allowed, in percent of first tries.
    pub retry_percent: u32,
    /// Shortest time told to refused callers.
    pub retry_after: Duration,
    /// Objective: share of requests served, in parts per million.
    pub served_objective_ppm: u32,
    /// Objective: time in which a request is answered.
    pub answer_objective: Duration,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            slots: 5,
            connections: 2000,
            weight: 100,
            cold_slots: 1,
            cold_step: 4,
            drain_limit: Duration::from_secs(3600),
            deadline: Duration::from_secs(30),
            queue_limit: Duration::from_millis(200),
            retry_percent: 20,
            retry_after: Duration::from_secs(1),
            served_objective_ppm: 999_000,
            answer_objective: Duration::from_secs(1),
        }
    }
}

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

/// Why a setting was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SetError {
    /// No setting has this key.
    UnknownKey,
    /// The value is out of range; what is allowed, in words.
    BadValue(&'static str),
}

impl Policy {
    /// Sets one key from its written form.
    ///
    /// # Errors
    ///
    /// [`SetError`] when the key is unknown or the value out of range.
    pub fn set(&mut self, key: &str, value: &str) -> Result<(), SetError> {
        match key {
            "slots" => self.slots = count(value, 1, 100_000)?,
            "connections" => self.connections = count(value, 1, 1_000_000)?,
            "weight" => self.weight = count(value, 0, 10_000)?,
            "cold_slots" => self.cold_slots = count(value, 1, 1_000)?,
            "cold_step" => self.cold_step = count(value, 1, 10_000)?,
            "drain_limit_ms" => self.drain_limit = span(value)?,
            "deadline_ms" => self.deadline = span(value)?,
            "queue_limit_ms" => self.queue_limit = span(value)?,
            "retry_percent" => self.retry_percent = count(value, 0, 100)?,
            "retry_after_ms" => self.retry_after = span(value)?,
            "served_objective_ppm" => self.served_objective_ppm = count(value, 0, 1_000_000)?,
            "answer_objective_ms" => self.answer_objective = span(value)?,
            _ => return Err(SetError::UnknownKey),
        }
        Ok(())
    }
}

fn count(value: &str, least: u32, most: u32) -> Result<u32, SetError> {
    let bad = SetError::BadValue("a whole number within the documented range");
    let Ok(x) = value.parse::<u32>() else {
        return Err(bad);
    };
    if (least..=most).contains(&x) {
        Ok(x)
    } else {
        Err(bad)
    }
}

fn span(value: &str) -> Result<Duration, SetError> {
    const DAY_MS: u32 = 86_400_000;
    count(value, 0, DAY_MS)
        .map(|ms| Duration::from_millis(u64::from(ms)))
        .map_err(|_| SetError::BadValue("milliseconds, from 0 to 86400000"))
}

//! What the platform publishes, as typed records.
//!
//! The platform's client decodes its texts into these once; nothing behind it
//! knows their spelling.

use std::net::SocketAddrV4;
use std::time::Duration;

use ramp_state::key::DataCentreId;
use ramp_state::key::ServerId;
use ramp_state::key::ServiceId;
use ramp_state::key::Version;
use serde::Deserialize;
use serde::Serialize;

/// Time in which a server that lapsed while the platform was away is listed
/// again, if it lives.
pub const RELIST_LIMIT: Duration = Duration::from_millis(2500);

/// Position in the platform's history; only rises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Revision(pub u64);

/// Part of a route's new flows that a service gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: ServiceId,
    /// Weight against the other shares of the route.
    pub weight: u32,
}

/// Address that callers connect to, and who serves it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Address and port in callers' packets.
    pub address: SocketAddrV4,
    /// Services that get its new flows.
    pub shares: Vec<Share>,
}

/// What the configuration says of a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServicePolicy {
    /// The service.
    pub service: ServiceId,
    /// How long a server is cold after its start.
    pub cold_start: Duration,
    /// New flows that a cold server bears, a second; none: not limited.
    pub cold_rate_per_s: Option<f64>,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its version.
    pub version: Version,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<ServicePolicy>,
    /// Silence after which a flow may be forgotten.
    pub idle_limit: Duration,
}

/// Whether a backend server wants new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// It does.
    Ready,
    /// It is leaving; open flows stay.
    Draining,
}

/// What a backend server says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Service that it serves.
    pub service: ServiceId,
    /// Where it takes packets, from its own agent only.
    pub address: SocketAddrV4,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it wants new flows.
    pub state: ServerState,
    /// Requests that it works on at the same time; zero when untold.
    pub slots: u16,
    /// How long it stays cold, from the moment of the record.
    pub cold_for: Duration,
    /// Start of this run of the server, Unix milliseconds; zero when untold.
    pub born_ms: u64,
}

/// Names one record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RecordKey {
    /// The configuration.
    Configuration,
    /// A backend server.
    Server(ServerId),
    /// The evacuation of a data centre.
    Evacuation(DataCentreId),
}

/// One record as it was written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The newest configuration.
    Configuration(Configuration),
    /// A backend server is listed.
    Server(ServerId, Server),
    /// A data centre is evacuated.
    Evacuation(DataCentreId),
}

/// One change of the records.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// A record was written.
    Written(Record),
    /// A record was removed, or can't be read and names nothing to use.
    Removed(RecordKey),
}

/// All records at one revision or a little later.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Revision after which changes must be followed.
    pub cursor: Revision,
    /// Newest revision that a record has.
    pub newest: Revision,
    /// The records.
    pub records: Vec<Record>,
}

/// Changes since a revision, in their order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision after which to go on.
    pub cursor: Revision,
    /// Newest revision of a change; zero when there is none.
    pub newest: Revision,
    /// The changes.
    pub changes: Vec<Change>,
}

/// What a process that reads the platform tells those that follow it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FeedMessage {
    /// Everything that it knows.
    Listing(Listing),
    /// What has changed since.
    Changes(Changes),
    /// Nothing has changed.
    Alive {
        /// Revision up to which it has read.
        cursor: Revision,
        /// Whether the platform has answered it lately.
        current: bool,
    },
}

//! Types of the records that the platform publishes, and of the listings and
//! changes in which a process reads them.
//!
//! The platform's client decodes the platform's format into these types. No
//! other code depends on that format. Readers pass the same types on to their
//! followers in [`FeedMessage`]s.

use std::net::SocketAddrV4;
use std::time::Duration;

use ramp_state::key::DataCentreId;
use ramp_state::key::ServerId;
use ramp_state::key::ServiceId;
use ramp_state::key::Version;
use serde::Deserialize;
use serde::Serialize;

/// Time after an outage of the platform within which a running server, whose
/// record lapsed in the outage, is listed again.
pub const RELIST_LIMIT: Duration = Duration::from_millis(2500);

/// Number of low bits of a [`Revision`] that hold its number.
const REVISION_NUMBER_BITS: u32 = 48;

/// Number of restorations of the platform's store from a copy. Each may discard
/// the newest records and reuse their numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Epoch(pub u16);

/// Position in the platform's history of changes; it only increases. The upper 16
/// bits hold the epoch of the store, the lower 48 the store's own number, so
/// positions are ordered by epoch first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Revision(pub u64);

impl Revision {
    /// The position with the store's own `number` in `epoch`; `None` if the number
    /// has more than 48 bits.
    pub fn new(epoch: Epoch, number: u64) -> Option<Revision> {
        if number >> REVISION_NUMBER_BITS != 0 {
            return None;
        }
        Some(Revision(
            u64::from(epoch.0) << REVISION_NUMBER_BITS | number,
        ))
    }

    /// The position before all changes of `epoch`.
    pub fn start_of(epoch: Epoch) -> Revision {
        Revision(u64::from(epoch.0) << REVISION_NUMBER_BITS)
    }

    /// Epoch of the store.
    pub fn epoch(self) -> Epoch {
        Epoch((self.0 >> REVISION_NUMBER_BITS) as u16)
    }

    /// The store's own number, which is reused after a restoration.
    pub fn number(self) -> u64 {
        self.0 & ((1 << REVISION_NUMBER_BITS) - 1)
    }
}

/// A service's share of the new flows of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Service that gets these flows.
    pub service: ServiceId,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// Address that callers connect to, and the services that serve it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Destination address and port of callers' packets.
    pub address: SocketAddrV4,
    /// Services that its new flows are divided between.
    pub shares: Vec<Share>,
    /// Precedence of its new flows where servers are full; 0 is the highest.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// Time after which an answer to a request is of no use.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub time_limit: Option<Duration>,
}

/// Settings of one service in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServicePolicy {
    /// Service that the settings are for.
    pub service: ServiceId,
    /// How long a server is cold after its start.
    pub cold_start: Duration,
    /// Limit on new flows a second of a cold server; none: no limit.
    pub cold_rate_per_s: Option<f64>,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Number of this version; a newer version has a higher one.
    pub version: Version,
    /// Routes, one per address that callers connect to.
    pub routes: Vec<Route>,
    /// Settings of the services.
    pub services: Vec<ServicePolicy>,
    /// Idle time after which a flow may be forgotten; zero if not set.
    pub idle_limit: Duration,
}

/// Whether a backend server accepts new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// It accepts new flows.
    Ready,
    /// It is leaving: it accepts no new flows and finishes open ones.
    Draining,
}

/// A backend server's record, as the server describes itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Service that it serves.
    pub service: ServiceId,
    /// Address and port at which it accepts packets, from its own agent only.
    pub address: SocketAddrV4,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Whether it accepts new flows.
    pub state: ServerState,
    /// Requests that it can work on at the same time; zero if it does not say.
    pub slots: u16,
    /// Rest of its cold start, counted from when the record is read.
    pub cold_for: Duration,
    /// Start of the server process, Unix milliseconds; zero if it does not say.
    pub born_ms: u64,
}

/// Identifies one record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RecordKey {
    /// The configuration, of which there is one.
    Configuration,
    /// The record of a backend server.
    Server(ServerId),
    /// The evacuation of a data centre.
    Evacuation(DataCentreId),
}

/// One record with its content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The newest configuration.
    Configuration(Configuration),
    /// A backend server, listed as long as it renews its lease.
    Server(ServerId, Server),
    /// A data centre that is evacuated: its servers get no new flows.
    Evacuation(DataCentreId),
}

/// One change to the records.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// A record was added or replaced.
    Written(Record),
    /// A record was removed, or what it now holds can't be decoded.
    Removed(RecordKey),
}

/// All records, at the revision `cursor` or a little later.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Revision after which to read changes.
    pub cursor: Revision,
    /// Newest revision of any of the records.
    pub newest: Revision,
    /// Configuration, evacuations and servers, in any order.
    pub records: Vec<Record>,
}

/// Changes after a revision, in the order in which they were made.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision after which to read further changes.
    pub cursor: Revision,
    /// Newest revision of any of the changes; zero if there are none.
    pub newest: Revision,
    /// Changes, the oldest first.
    pub changes: Vec<Change>,
}

/// Message of a reader to the processes that follow it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FeedMessage {
    /// All records that the reader has.
    Listing(Listing),
    /// Changes since the last message with records.
    Changes(Changes),
    /// Heartbeat while nothing changes.
    Alive {
        /// Revision up to which the reader has read.
        cursor: Revision,
        /// Whether the platform itself has answered the reader recently.
        current: bool,
    },
}

impl FeedMessage {
    /// Revision up to which the reader had read when it sent this.
    pub fn cursor(&self) -> Revision {
        match self {
            FeedMessage::Listing(listing) => listing.cursor,
            FeedMessage::Changes(changes) => changes.cursor,
            FeedMessage::Alive { cursor, .. } => *cursor,
        }
    }
}

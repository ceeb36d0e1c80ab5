//! Event log of a test run: typed events of callers, backend servers, the fabric
//! and operators.
//!
//! Each process appends to its own file, one JSON object per line. The checker
//! merges the files by wall-clock time; all processes run on one machine and so
//! share the clock.

use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde::Serialize;

/// One line of a history file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Event {
    /// Wall-clock time, in milliseconds since the epoch.
    pub at_ms: u64,
    /// Name of the process that wrote the event.
    pub source: String,
    /// Sequence number within the source, starting at 1.
    pub seq: u64,
    /// Type of the event and its data.
    pub what: EventData,
}

/// Type of an event and its data.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum EventData {
    /// A caller opened a connection.
    FlowOpened {
        /// The caller's local address.
        flow: SocketAddr,
        /// Service that it called.
        service: String,
    },
    /// A caller's connection ended.
    FlowEnded {
        /// The caller's local address.
        flow: SocketAddr,
        /// Backend server that sent the last response on it.
        server: Option<String>,
        /// Closed normally, or the failure seen.
        end: FlowEnd,
    },
    /// The fabric stopped forwarding a caller's connection.
    FlowCarried {
        /// The caller's local address.
        flow: SocketAddr,
        /// Whether the TCP handshake completed.
        established: bool,
        /// Agent that sent the last packet other than a reset.
        owner: Option<SocketAddr>,
    },
    /// A caller sent one attempt of a request.
    RequestSent {
        /// Request ID; the same for each attempt.
        request: String,
        /// Attempt ID, unique within the run.
        attempt: String,
        /// Type of request; decides whether it may run more than once.
        kind: RequestKind,
        /// Service that the request is addressed to.
        service: String,
    },
    /// An attempt ended for the caller.
    RequestEnded {
        /// Request ID.
        request: String,
        /// Attempt ID.
        attempt: String,
        /// Outcome that the response reported to the caller.
        told: ReportedOutcome,
        /// Result of comparing the response with the expected one.
        answer: AnswerCheck,
        /// Backend server named in the response headers.
        server: Option<String>,
        /// Time from sending the attempt to its end, in milliseconds.
        took_ms: u64,
    },
    /// A backend server started.
    ServerStarted {
        /// Service that it serves.
        service: String,
        /// Data centre that it runs in.
        data_centre: String,
        /// Concurrent requests that it runs when warm.
        slots: u32,
    },
    /// A backend server accepted a request.
    Began {
        /// Request ID.
        request: String,
        /// Attempt ID.
        attempt: String,
        /// Type of request.
        kind: RequestKind,
        /// Service that the caller addressed.
        meant_for: String,
        /// Requests in progress, including this one; feeds take no slot.
        in_progress: u32,
        /// Concurrency limit of the server at that moment.
        bears: u32,
    },
    /// A backend server executed a request, including its side effects.
    Ran {
        /// Request ID.
        request: String,
        /// Attempt ID.
        attempt: String,
    },
    /// A backend server rejected a request because all slots were in use.
    Shed {
        /// Attempt ID.
        attempt: String,
    },
    /// A backend server entered cold start.
    TurnedCold {
        /// True when it happened while running, which its agent can't see at once.
        without_warning: bool,
    },
    /// A backend server accepted more requests than its concurrency limit.
    Overloaded {
        /// Requests in progress, including the one above the limit.
        in_progress: u32,
        /// Concurrency limit of the server at that moment.
        bears: u32,
    },
    /// A backend server crashed from overload and reset its connections.
    FellOver,
    /// Operators added an agent to the instance list.
    AgentListed {
        /// Backend server that the agent runs beside.
        server: String,
        /// Address on which the agent receives packets.
        address: SocketAddr,
        /// Data centre of the agent.
        data_centre: String,
    },
    /// Operators added a balancer to the instance list.
    BalancerListed {
        /// Process name of the balancer.
        name: String,
        /// Address on which the balancer receives packets.
        address: SocketAddr,
        /// Data centre of the balancer.
        data_centre: String,
    },
    /// Operators published a change on the platform.
    Published {
        /// Version of the fleet document, or of the instance list, that first
        /// contains the change.
        version: u64,
        /// What was changed.
        change: Change,
    },
    /// A process reported the version of the fleet document that it uses.
    ConfigSeen {
        /// Name of the process.
        process: String,
        /// Version in use; zero when it has none yet.
        version: u64,
    },
    /// Operators killed a process without draining it.
    Killed {
        /// Name of the process.
        process: String,
    },
    /// A packet arrived at a process, as seen by the fabric, by the relay or by
    /// the counters of the process.
    PacketAt {
        /// Address on which the process receives packets.
        address: SocketAddr,
    },
}

/// Type of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestKind {
    /// Long stream of numbered events.
    Feed,
    /// Redemption or payment with a side effect; not idempotent.
    Claim,
    /// Request with a large body; not idempotent.
    Upload,
    /// Read whose response body is derived from the request ID; idempotent.
    Balance,
}

impl RequestKind {
    /// Whether the request may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, RequestKind::Feed | RequestKind::Balance)
    }
}

/// How a caller's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FlowEnd {
    /// Closed normally, between requests.
    Closed,
    /// Reset, or closed in the middle of a response.
    Broken,
    /// No event arrived on the feed within the timeout.
    Silent,
    /// The feed skipped or repeated an event.
    Gap,
}

/// Outcome of an attempt as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportedOutcome {
    /// A response of a backend server.
    Served,
    /// The response says that the request did not run.
    NotRun,
    /// The response says that the request may have run.
    MayHaveRun,
    /// No response: the connection broke or timed out.
    Nothing,
}

/// Whether a response is the expected one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerCheck {
    /// Identical to the expected bytes.
    Right,
    /// Different bytes, such as the response to another request.
    Wrong,
    /// There was no complete response to compare.
    Absent,
}

/// A change that operators published.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(tag = "change", content = "name", rename_all = "kebab-case")]
pub enum Change {
    /// Takes a data centre out of service.
    DataCentreOut(String),
    /// Returns a data centre to service.
    DataCentreIn(String),
    /// Starts draining a backend server.
    ServerLeaving(String),
    /// Returns a backend server to service.
    ServerIn(String),
    /// Starts draining a balancer before it stops.
    BalancerLeaving(String),
    /// Adds a balancer to the instance list.
    BalancerJoins(String),
}

impl Change {
    /// Whether the change is made in the fleet document rather than in the
    /// instance list.
    pub fn is_in_fleet(&self) -> bool {
        !matches!(self, Change::BalancerLeaving(_) | Change::BalancerJoins(_))
    }
}

/// Appends events to the history file of one process.
pub struct Writer {
    file: File,
    source: String,
    seq: u64,
}

impl Writer {
    /// Opens the history file of the process `source`, creating it if missing.
    ///
    /// # Errors
    ///
    /// When the file can't be opened or created.
    pub fn create(path: &Path, source: impl Into<String>) -> io::Result<Writer> {
        Ok(Writer {
            file: File::options().create(true).append(true).open(path)?,
            source: source.into(),
            seq: 0,
        })
    }

    /// Appends an event with the current time.
    pub fn write(&mut self, what: EventData) {
        self.write_at(wall_clock_ms(), what);
    }

    /// Appends an event that happened at `at_ms`.
    pub fn write_at(&mut self, at_ms: u64, what: EventData) {
        self.seq += 1;
        let event = Event {
            at_ms,
            source: self.source.clone(),
            seq: self.seq,
            what,
        };
        let Ok(mut line) = serde_json::to_vec(&event) else {
            return;
        };
        line.push(b'\n');
        // Unbuffered, so that no event is lost when the process is killed.
        if let Err(err) = self.file.write_all(&line) {
            log::error!("cannot write to the history file: {err}");
        }
    }
}

/// Reads a history file.
///
/// # Errors
///
/// When the file can't be read or a line is not a valid event. An invalid last
/// line is ignored, as a process killed while writing leaves one behind.
pub fn read(path: &Path) -> io::Result<Vec<Event>> {
    let mut events = Vec::new();
    let mut lines = BufReader::new(File::open(path)?).lines().peekable();
    while let Some(line) = lines.next() {
        match serde_json::from_str(&line?) {
            Ok(event) => events.push(event),
            Err(_) if lines.peek().is_none() => {}
            Err(err) => return Err(io::Error::other(format!("{}: {err}", path.display()))),
        }
    }
    Ok(events)
}

/// Merges histories into one, ordered by time, source and sequence number.
pub fn merge(histories: impl IntoIterator<Item = Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = histories.into_iter().flatten().collect();
    events.sort();
    events
}

/// Wall-clock time, in milliseconds since the epoch.
pub fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |span| span.as_millis() as u64)
}

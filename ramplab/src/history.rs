//! Typed events of callers, backend servers, the fabric and operators.
//!
//! Each process writes its own history, one JSON object a line. The check
//! merges them by wall-clock time, which one machine's processes share.

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

/// One event.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Event {
    /// Wall-clock time, in milliseconds since the epoch.
    pub at_ms: u64,
    /// Name of the process that wrote it.
    pub source: String,
    /// Number of the event at its source, from 1.
    pub seq: u64,
    /// What happened.
    pub what: What,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum What {
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
        /// Backend server that answered it last.
        server: Option<String>,
        /// How it ended.
        end: FlowEnd,
    },
    /// The fabric saw a caller's connection end.
    FlowCarried {
        /// The caller's local address.
        flow: SocketAddr,
        /// Whether the handshake was done.
        established: bool,
        /// Where its last packet came from, resets aside.
        owner: Option<SocketAddr>,
    },
    /// A caller sent a request.
    RequestSent {
        /// What it asks for; the same for each attempt.
        request: String,
        /// Unique number of the attempt.
        attempt: String,
        /// What kind of request.
        kind: Kind,
        /// Service that it is meant for.
        service: String,
    },
    /// A caller's request ended.
    RequestEnded {
        /// What it asked for.
        request: String,
        /// The attempt.
        attempt: String,
        /// What the caller was told.
        told: Told,
        /// What the answer was worth.
        answer: AnswerCheck,
        /// Backend server that answered, as the answer has it.
        server: Option<String>,
        /// Time from sending to the end, in milliseconds.
        took_ms: u64,
    },
    /// A backend server started.
    ServerStarted {
        /// Service that it serves.
        service: String,
        /// Data centre that it stands in.
        data_centre: String,
        /// Requests that it runs at once when warm.
        slots: u32,
    },
    /// A request reached a backend server, which took it.
    Began {
        /// What it asks for.
        request: String,
        /// The attempt.
        attempt: String,
        /// What kind of request.
        kind: Kind,
        /// Service that the caller meant.
        meant_for: String,
        /// Requests in progress, this one counted; feeds hold no slot.
        in_progress: u32,
        /// Requests in progress that the server bore at that moment.
        bears: u32,
    },
    /// The effect of a request took place at a backend server.
    Ran {
        /// What it asked for.
        request: String,
        /// The attempt.
        attempt: String,
    },
    /// A backend server refused a request, since its slots were in use.
    Shed {
        /// The attempt.
        attempt: String,
    },
    /// A backend server turned cold.
    TurnedCold {
        /// Whether its agent could not have known.
        without_warning: bool,
    },
    /// A backend server got more than it bore.
    Overloaded {
        /// Requests in progress.
        in_progress: u32,
        /// Requests in progress that it bore.
        bears: u32,
    },
    /// A backend server fell over and reset its connections.
    FellOver,
    /// Operators listed an agent.
    AgentListed {
        /// Its backend server.
        server: String,
        /// Where it takes packets.
        address: SocketAddr,
        /// Its data centre.
        data_centre: String,
    },
    /// Operators listed a balancer.
    BalancerListed {
        /// Its name.
        name: String,
        /// Where it takes packets.
        address: SocketAddr,
        /// Its data centre.
        data_centre: String,
    },
    /// Operators published a change.
    Published {
        /// Version of the fleet document that holds it, or of the list of
        /// instances.
        version: u64,
        /// The change.
        change: Change,
    },
    /// A process told which version of the fleet document it obeys.
    ConfigSeen {
        /// Name of the process.
        process: String,
        /// The version.
        version: u64,
    },
    /// Operators killed a process without a drain.
    Killed {
        /// Name of the process.
        process: String,
    },
    /// A process got a packet, as a tap or its own counter tells.
    PacketAt {
        /// Where it takes packets.
        address: SocketAddr,
    },
}

/// What kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Long stream of numbered events.
    Feed,
    /// Redemption or payment; not idempotent.
    Claim,
    /// Large body; not idempotent.
    Upload,
    /// Answer derived from its identity; idempotent.
    Balance,
}

impl Kind {
    /// Whether it may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Kind::Feed | Kind::Balance)
    }
}

/// How a caller's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FlowEnd {
    /// In order, between requests.
    Closed,
    /// By a reset, or in the middle of an answer.
    Broken,
    /// The feed fell silent.
    Silent,
    /// The feed left out or repeated an event.
    Gap,
}

/// What a caller was told of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Told {
    /// A whole answer of a backend server.
    Served,
    /// It did not run.
    NotRun,
    /// It may have run.
    MayHaveRun,
    /// Nothing; the connection broke or fell silent.
    Nothing,
}

/// Whether an answer was the one to its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerCheck {
    /// Byte for byte right.
    Right,
    /// Wrong bytes, or another's answer.
    Wrong,
    /// There was no answer to judge.
    Absent,
}

/// A change that operators published.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(tag = "change", content = "name", rename_all = "kebab-case")]
pub enum Change {
    /// A data centre is taken out.
    DataCentreOut(String),
    /// A data centre is brought back.
    DataCentreIn(String),
    /// A backend server leaves.
    ServerLeaving(String),
    /// A backend server is back.
    ServerIn(String),
    /// A balancer leaves.
    BalancerLeaving(String),
    /// A balancer joins.
    BalancerJoins(String),
}

impl Change {
    /// Whether it stands in the fleet document, not in the list of instances.
    pub fn is_in_fleet(&self) -> bool {
        !matches!(self, Change::BalancerLeaving(_) | Change::BalancerJoins(_))
    }
}

/// Writes the history of one process.
pub struct Writer {
    file: File,
    source: String,
    seq: u64,
}

impl Writer {
    /// Creates the file of `source`'s history.
    ///
    /// # Errors
    ///
    /// When the file can't be created.
    pub fn create(path: &Path, source: impl Into<String>) -> io::Result<Writer> {
        Ok(Writer {
            file: File::options().create(true).append(true).open(path)?,
            source: source.into(),
            seq: 0,
        })
    }

    /// Appends an event, at the moment of the call.
    pub fn write(&mut self, what: What) {
        self.write_at(wall_ms(), what);
    }

    /// Appends an event that happened at `at_ms`.
    pub fn write_at(&mut self, at_ms: u64, what: What) {
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
        // Straight to the file, so that a kill loses nothing.
        if let Err(err) = self.file.write_all(&line) {
            log::error!("history: {err}");
        }
    }
}

/// Reads a history.
///
/// # Errors
///
/// When the file can't be read or a line is no event. A last line cut short
/// by a kill is passed over.
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

/// Merges histories into one, by time and then by source and number.
pub fn merge(histories: impl IntoIterator<Item = Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = histories.into_iter().flatten().collect();
    events.sort();
    events
}

/// Wall-clock time, in milliseconds since the epoch.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |span| span.as_millis() as u64)
}

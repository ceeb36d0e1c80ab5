//! Counts of the packets that passed the fabric, by where they went.

use std::net::SocketAddr;
use std::net::SocketAddrV4;

use indexmap::IndexMap;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::fabric::link::Fate;
use crate::history::wall_clock_ms;

/// Time between two notes of packets to one balancer, in milliseconds.
const NOTE_PERIOD_MS: u64 = 100;

/// Packets of one destination or source.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Passed {
    /// Packets.
    pub packets: u64,
    /// Bytes.
    pub bytes: u64,
    /// Wall-clock time of the last one, in milliseconds.
    pub last_ms: u64,
    #[serde(skip)]
    noted_ms: u64,
}

/// Counts of all packets.
#[derive(Debug, Default)]
pub struct Tap {
    to_balancers: IndexMap<SocketAddrV4, Passed>,
    from_agents: IndexMap<SocketAddr, Passed>,
    lost: u64,
    duplicated: u64,
    reordered: u64,
    /// Dropped because no balancer was known.
    pub no_balancer: u64,
    /// Dropped at a full socket.
    pub full: u64,
    /// Dropped because sending failed.
    pub failed: u64,
    /// Returned packets that can't be read.
    pub malformed: u64,
    /// Returned packets of no connection.
    pub unknown: u64,
}

impl Tap {
    /// Counts a packet sent to a balancer; true when it is time to note that
    /// in the history.
    pub fn sent(&mut self, to: SocketAddrV4, len: usize) -> bool {
        let passed = self.to_balancers.entry(to).or_default();
        passed.count(len);
        let due = passed.last_ms >= passed.noted_ms + NOTE_PERIOD_MS;
        if due {
            passed.noted_ms = passed.last_ms;
        }
        due
    }

    /// Counts a packet that an agent sent back.
    pub fn returned(&mut self, from: SocketAddr, len: usize) {
        self.from_agents.entry(from).or_default().count(len);
    }

    /// Counts what the link did to a packet.
    pub fn count_fate(&mut self, fate: &Fate) {
        self.lost += u64::from(fate.lost);
        self.duplicated += u64::from(fate.duplicate_delay.is_some());
        self.reordered += u64::from(fate.reordered);
    }

    /// All counts as JSON.
    pub fn to_json(&self, connections: usize) -> Value {
        json!({
            "connections": connections,
            "lost": self.lost,
            "duplicated": self.duplicated,
            "reordered": self.reordered,
            "no_balancer": self.no_balancer,
            "full": self.full,
            "failed": self.failed,
            "malformed": self.malformed,
            "unknown": self.unknown,
            "to_balancers": self.to_balancers,
            "from_agents": self.from_agents,
        })
    }
}

impl Passed {
    fn count(&mut self, len: usize) {
        self.packets += 1;
        self.bytes += len as u64;
        self.last_ms = wall_clock_ms();
    }
}

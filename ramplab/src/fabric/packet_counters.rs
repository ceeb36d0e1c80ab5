//! Packet counters of the fabric, by balancer and agent and by reason of loss.

use std::net::SocketAddr;
use std::net::SocketAddrV4;

use indexmap::IndexMap;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::fabric::link::PacketFaults;
use crate::history::wall_clock_ms;

/// Minimum time between two `PacketAt` events for one balancer, in milliseconds.
const RECORD_INTERVAL_MS: u64 = 100;

/// Packets to one balancer or from one agent.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct TrafficCount {
    /// Number of packets.
    pub packets: u64,
    /// Total length of the packets.
    pub bytes: u64,
    /// Wall-clock time of the last packet, in milliseconds since the epoch.
    pub last_ms: u64,
    #[serde(skip)]
    recorded_ms: u64,
}

/// All packet counters of a fabric.
#[derive(Debug, Default)]
pub struct PacketCounters {
    to_balancers: IndexMap<SocketAddrV4, TrafficCount>,
    from_agents: IndexMap<SocketAddr, TrafficCount>,
    lost: u64,
    duplicated: u64,
    reordered: u64,
    /// Packets dropped because no balancer was known.
    pub no_balancer: u64,
    /// Packets dropped because the send buffer of the socket was full.
    pub full: u64,
    /// Packets dropped because sending failed.
    pub failed: u64,
    /// Packets from agents that could not be parsed.
    pub malformed: u64,
    /// Packets from agents that belong to no open connection.
    pub unknown: u64,
}

impl PacketCounters {
    /// Counts a packet sent to a balancer; returns whether it is time to record it in
    /// the history.
    pub fn count_to_balancer(&mut self, to: SocketAddrV4, len: usize) -> bool {
        let traffic = self.to_balancers.entry(to).or_default();
        traffic.count(len);
        let due = traffic.last_ms >= traffic.recorded_ms + RECORD_INTERVAL_MS;
        if due {
            traffic.recorded_ms = traffic.last_ms;
        }
        due
    }

    /// Counts a packet received from an agent.
    pub fn count_from_agent(&mut self, from: SocketAddr, len: usize) {
        self.from_agents.entry(from).or_default().count(len);
    }

    /// Counts the faults that the link applied to a packet.
    pub fn count_faults(&mut self, faults: &PacketFaults) {
        self.lost += u64::from(faults.lost);
        self.duplicated += u64::from(faults.duplicate_delay.is_some());
        self.reordered += u64::from(faults.reordered);
    }

    /// All counters as JSON, with the number of open connections.
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

impl TrafficCount {
    fn count(&mut self, len: usize) {
        self.packets += 1;
        self.bytes += len as u64;
        self.last_ms = wall_clock_ms();
    }
}

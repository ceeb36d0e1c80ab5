//! Questions for owners of flows, gathered over one turn of a balancer's
//! traffic thread, and the packets that wait for an answer.
//!
//! After a loss of power every caller sends on a flow that nobody has. One
//! list for each agent in place of a datagram for each flow keeps that cheap.

use std::net::Ipv4Addr;

use indexmap::IndexMap;
use ramp_protocol::frame::FlowEntry;
use ramp_protocol::frame::Knowledge;
use ramp_state::key::FlowKey;

/// Packets that wait at most; beyond that the oldest is dropped, and its caller
/// sends again.
const MAX_KEPT_PACKETS: usize = 256;

/// Questions of this turn, and packets that wait.
#[derive(Debug, Default)]
pub struct OwnerQueries {
    lists: IndexMap<Ipv4Addr, Vec<FlowEntry>>,
    packets: IndexMap<FlowKey, Vec<u8>>,
}

impl OwnerQueries {
    /// Asks `agents` for a flow.
    pub fn add(&mut self, flow: FlowKey, agents: &[Ipv4Addr]) {
        for agent in agents {
            self.lists.entry(*agent).or_default().push(FlowEntry {
                flow,
                knowledge: Knowledge::Unsure,
            });
        }
    }

    /// Keeps a packet of a flow that is asked for until its owner is known.
    pub fn keep_packet(&mut self, flow: FlowKey, packet: &[u8]) {
        self.packets.insert(flow, packet.to_vec());
        if self.packets.len() > MAX_KEPT_PACKETS {
            self.packets.shift_remove_index(0);
        }
    }

    /// The packet that waits for the owner of a flow.
    pub fn kept_packet(&self, flow: &FlowKey) -> Option<Vec<u8>> {
        self.packets.get(flow).cloned()
    }

    /// The lists gathered since the last call.
    pub fn take_lists(&mut self) -> IndexMap<Ipv4Addr, Vec<FlowEntry>> {
        std::mem::take(&mut self.lists)
    }

    /// The packet of a flow whose question has ended.
    pub fn take_packet(&mut self, flow: &FlowKey) -> Option<Vec<u8>> {
        self.packets.shift_remove(flow)
    }
}

//! Owner queries of a balancer, batched for each agent, and the packets that wait
//! for the replies.
//!
//! The traffic thread collects the queries of one loop iteration and sends one
//! list to each agent instead of one datagram for each flow. This limits the load
//! after a power failure, when all callers send packets of flows that no server
//! has.

use std::net::Ipv4Addr;

use indexmap::IndexMap;
use indexmap::IndexSet;
use ramp_coordination::passthrough::balancer::RelayRequest;
use ramp_protocol::frame::FlowEntry;
use ramp_protocol::frame::Knowledge;
use ramp_state::key::FlowKey;

/// Maximum number of packets that are kept. Beyond it the oldest is dropped; its
/// caller retransmits it.
const MAX_KEPT_PACKETS: usize = 256;

/// Queries that have not been sent yet, and packets of flows without a known
/// owner.
#[derive(Debug, Default)]
pub struct OwnerQueries {
    lists: IndexMap<Ipv4Addr, Vec<FlowEntry>>,
    relay_lists: IndexMap<Ipv4Addr, RelayList>,
    packets: IndexMap<FlowKey, Vec<u8>>,
}

/// Flows to ask for through one relay.
#[derive(Debug, Default)]
pub struct RelayList {
    /// Agents that the relay's view may lack.
    pub named: IndexSet<Ipv4Addr>,
    /// Flows to ask for.
    pub flows: Vec<FlowEntry>,
}

impl OwnerQueries {
    /// Adds the flow to the list for a relay.
    pub fn add_relayed(&mut self, flow: FlowKey, request: RelayRequest) {
        let list = self.relay_lists.entry(request.relay).or_default();
        list.named.extend(request.named);
        list.flows.push(FlowEntry {
            flow,
            knowledge: Knowledge::Unsure,
        });
    }

    /// Adds the flow to the lists for `agents`.
    pub fn add(&mut self, flow: FlowKey, agents: &[Ipv4Addr]) {
        for agent in agents {
            self.lists.entry(*agent).or_default().push(FlowEntry {
                flow,
                knowledge: Knowledge::Unsure,
            });
        }
    }

    /// Keeps a packet until the owner of its flow is known.
    pub fn keep_packet(&mut self, flow: FlowKey, packet: &[u8]) {
        self.packets.insert(flow, packet.to_vec());
        if self.packets.len() > MAX_KEPT_PACKETS {
            self.packets.shift_remove_index(0);
        }
    }

    /// Returns a copy of the packet that is kept for a flow.
    pub fn kept_packet(&self, flow: &FlowKey) -> Option<Vec<u8>> {
        self.packets.get(flow).cloned()
    }

    /// Removes and returns the lists that were collected since the last call.
    pub fn take_lists(&mut self) -> IndexMap<Ipv4Addr, Vec<FlowEntry>> {
        std::mem::take(&mut self.lists)
    }

    /// Removes and returns the lists for relays that were collected since the last
    /// call.
    pub fn take_relay_lists(&mut self) -> IndexMap<Ipv4Addr, RelayList> {
        std::mem::take(&mut self.relay_lists)
    }

    /// Removes and returns the packet of a flow whose search has ended.
    pub fn take_packet(&mut self, flow: &FlowKey) -> Option<Vec<u8>> {
        self.packets.shift_remove(flow)
    }
}

//! A simulated backend server with its agent.

use std::collections::HashMap;

use indexmap::IndexMap;
use ramp_coordination::passthrough::agent::Agent;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;

/// Requests that a server works on at the same time; the same as in its record.
const SLOTS: usize = 4;

/// Time for which a server remembers a flow that has ended.
const ENDED_MEMORY_MS: u64 = 2_000;
/// Sequence numbers from a flow's start that can belong to it.
pub const FLOW_BYTES: u32 = 100_000;

/// A flow at a server.
#[derive(Clone, Copy, Debug)]
pub struct HeldFlow {
    /// Sequence number of its opening.
    pub start: u32,
    /// When both ends had closed it; none: it is open.
    pub ended_at: Option<u64>,
}

impl HeldFlow {
    /// Whether a packet of a caller belongs to it.
    pub fn includes(&self, seg: &Segment) -> bool {
        seg.seq.wrapping_sub(self.start) < FLOW_BYTES
    }
}

pub struct Server {
    /// Flows whose openings it has answered.
    flows: HashMap<FlowKey, HeldFlow>,
    pub agent: Agent,
    pub drain_at: Option<u64>,
    /// Time until which no server runs beside the agent.
    pub down_until: u64,
    /// Openings that wait at the agent, and the balancers that sent them.
    pub waiting: IndexMap<FlowKey, (usize, Segment)>,
    /// Time at which each slot becomes free.
    free_at: [u64; SLOTS],
    /// Sequence number of the newest request of each flow.
    newest_request: HashMap<FlowKey, u32>,
}

impl Server {
    pub fn new(agent: Agent) -> Server {
        Server {
            flows: HashMap::new(),
            agent,
            drain_at: None,
            down_until: 0,
            waiting: IndexMap::new(),
            free_at: [0; SLOTS],
            newest_request: HashMap::new(),
        }
    }

    /// The flow that it has with a key, or remembers.
    pub fn flow(&self, now: u64, key: &FlowKey) -> Option<HeldFlow> {
        let flow = self.flows.get(key).copied()?;
        let forgotten = |at: u64| now > at + ENDED_MEMORY_MS;
        (!flow.ended_at.is_some_and(forgotten)).then_some(flow)
    }

    /// Opens a flow in place of an earlier one.
    pub fn open(&mut self, opening: &Segment) {
        let flow = HeldFlow {
            start: opening.seq,
            ended_at: None,
        };
        self.flows.insert(opening.key, flow);
        self.newest_request.remove(&opening.key);
    }

    /// Records that both ends have closed a flow.
    pub fn close(&mut self, now: u64, key: &FlowKey) {
        if let Some(flow) = self.flows.get_mut(key) {
            flow.ended_at.get_or_insert(now);
        }
    }

    /// Ends the server, whose flows are lost; another starts at time `until`.
    pub fn end(&mut self, until: u64) {
        self.flows.clear();
        self.newest_request.clear();
        self.down_until = until;
    }

    /// Replaces the agent by one of a new process.
    pub fn replace_agent(&mut self, agent: Agent) {
        self.agent = agent;
        self.waiting.clear();
    }

    /// Begins a request once a slot is free, and returns the time at which it
    /// is finished; none: the packet is a copy of a request that has begun.
    pub fn begin(&mut self, now: u64, seg: &Segment, work_ms: u64) -> Option<u64> {
        let newest = self.newest_request.get(&seg.key);
        if newest.is_some_and(|newest| seg.seq.wrapping_sub(*newest) as i32 <= 0) {
            return None;
        }
        self.newest_request.insert(seg.key, seg.seq);
        let slot = self.free_at.iter_mut().min()?;
        *slot = now.max(*slot) + work_ms;
        Some(*slot)
    }
}

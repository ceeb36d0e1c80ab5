//! A simulated backend server with its agent.

use std::collections::HashMap;
use std::collections::HashSet;

use indexmap::IndexMap;
use ramp_coordination::passthrough::agent::Agent;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;

/// Requests that a server works on at the same time; the same as in its record.
const SLOTS: usize = 4;

pub struct Server {
    /// Flows whose openings it has answered.
    pub flows: HashSet<FlowKey>,
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
            flows: HashSet::new(),
            agent,
            drain_at: None,
            down_until: 0,
            waiting: IndexMap::new(),
            free_at: [0; SLOTS],
            newest_request: HashMap::new(),
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
        let newest_request = self.newest_request.entry(seg.key).or_default();
        if *newest_request >= seg.seq {
            return None;
        }
        *newest_request = seg.seq;
        let slot = self.free_at.iter_mut().min()?;
        *slot = now.max(*slot) + work_ms;
        Some(*slot)
    }
}

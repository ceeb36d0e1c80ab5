//! A backend server with the agent beside it.

use std::collections::HashMap;
use std::collections::HashSet;

use indexmap::IndexMap;
use ramp_coordination::passthrough::agent::Agent;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;

/// Requests that a server works on at the same time, as its record says.
const SLOTS: usize = 4;

pub struct Server {
    /// Flows whose openings it has answered.
    pub flows: HashSet<FlowKey>,
    pub agent: Agent,
    pub drain_at: Option<u64>,
    /// Until when no server is there.
    pub down_until: u64,
    /// Openings that wait at the agent, and the balancers that sent them.
    pub waiting: IndexMap<FlowKey, (usize, Segment)>,
    /// When the slots are free.
    free_at: [u64; SLOTS],
    /// Sequence number of the newest request of each flow.
    newest: HashMap<FlowKey, u32>,
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
            newest: HashMap::new(),
        }
    }

    /// The server ends and loses its flows; another starts at a later time.
    pub fn end(&mut self, until: u64) {
        self.flows.clear();
        self.newest.clear();
        self.down_until = until;
    }

    /// Puts the agent of another process beside the server.
    pub fn replace_agent(&mut self, agent: Agent) {
        self.agent = agent;
        self.waiting.clear();
    }

    /// Begins a request as soon as a slot is free and gives the time at which
    /// it is done; none: it has begun before.
    pub fn begin(&mut self, now: u64, seg: &Segment, work_ms: u64) -> Option<u64> {
        let newest = self.newest.entry(seg.key).or_default();
        if *newest >= seg.seq {
            return None;
        }
        *newest = seg.seq;
        let slot = self.free_at.iter_mut().min()?;
        *slot = now.max(*slot) + work_ms;
        Some(*slot)
    }
}

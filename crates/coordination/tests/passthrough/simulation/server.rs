//! A backend server with the agent beside it.

use std::collections::HashSet;

use ramp_coordination::passthrough::agent::Agent;
use ramp_state::key::FlowKey;

pub struct Server {
    /// Flows whose openings it has answered.
    pub flows: HashSet<FlowKey>,
    pub agent: Agent,
    pub drain_at: Option<u64>,
}

impl Server {
    pub fn new(agent: Agent) -> Server {
        Server {
            flows: HashSet::new(),
            agent,
            drain_at: None,
        }
    }
}

//! Timers of flows: each flow is woken at most once for each time it asked.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use ramp_state::time::Millis;

use crate::agent::io::FlowId;

/// Flows by the time at which they want to act.
#[derive(Debug, Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Millis, FlowId)>>,
}

impl Timers {
    /// Wakes `flow` at `at`.
    pub fn push(&mut self, at: Millis, flow: FlowId) {
        self.heap.push(Reverse((at, flow)));
    }

    /// Takes a flow whose time has come.
    pub fn pop_due(&mut self, now: Millis) -> Option<FlowId> {
        let Reverse((at, flow)) = *self.heap.peek()?;
        if at > now {
            return None;
        }
        self.heap.pop();
        Some(flow)
    }

    /// When the next flow wants to act.
    pub fn next(&self) -> Option<Millis> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }
}

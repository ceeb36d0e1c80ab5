//! Timer heap for the flows of a traffic thread. Each timer that was added is
//! returned at most once, when it is due.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use ramp_state::time::Millis;

use crate::agent::io::FlowId;

/// Flows ordered by the time at which they must be driven.
#[derive(Debug, Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Millis, FlowId)>>,
}

impl Timers {
    /// Adds a timer for `flow` that is due at `at`.
    pub fn push(&mut self, at: Millis, flow: FlowId) {
        self.heap.push(Reverse((at, flow)));
    }

    /// Removes the next due timer and returns its flow.
    pub fn pop_due(&mut self, now: Millis) -> Option<FlowId> {
        let Reverse((at, flow)) = *self.heap.peek()?;
        if at > now {
            return None;
        }
        self.heap.pop();
        Some(flow)
    }

    /// When the next timer is due.
    pub fn next(&self) -> Option<Millis> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }
}

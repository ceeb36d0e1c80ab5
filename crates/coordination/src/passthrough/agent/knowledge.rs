//! What an agent can say of its server's flows without asking the server.
//!
//! It has flows whose callers went on with its server's answer. It denies others
//! only where it knows all flows of its server: because it started no later than
//! the server, or has watched for longer than a flow may be idle. The time of day
//! may have been set back, so its own start proves nothing where the server's
//! packets or its start say otherwise.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_protocol::hop::Knowledge;
use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

use super::Agent;
use super::flow::RESEND_LIMIT;
use crate::passthrough::published::RELIST_LIMIT;
use crate::passthrough::view::View;

/// How much earlier than its agent a server may have started while it still
/// can't have flows that the agent has not seen: a machine that comes back
/// starts both.
const STARTED_TOGETHER: Duration = Duration::from_millis(500);

/// How much later than its agent a server starts at most that starts with it.
const START_SPREAD: Duration = Duration::from_secs(2);

/// How far the clocks of an agent and its server may be apart.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(200);

/// Longest time between two ticks of a process that runs.
const TICK_LIMIT: Duration = Duration::from_secs(1);

/// Time between two signs of life of an agent whose server is not listed.
const ANNOUNCE_EVERY: Duration = Duration::from_millis(250);

impl Agent {
    /// Takes note that the process runs. To be called several times a second,
    /// before packets are read.
    pub fn tick(&mut self, view: Option<&View>, now: Millis) {
        let frozen = now.since(self.ticked_at) > TICK_LIMIT;
        let complete = view.is_some_and(|v| self.has_watched_long(v, self.ticked_at));
        if frozen && !complete {
            // What came meanwhile may be lost, or not be read yet.
            self.watching_since = now;
        }
        self.ticked_at = now;
    }

    /// Takes note of a new view, as soon as it is there.
    pub fn check_clock(&mut self, view: &View, now: Millis) {
        let running_ms = now.since(self.started_at).as_millis() as u64;
        let latest_ms = self.started_ms + running_ms + CLOCK_TOLERANCE.as_millis() as u64;
        let member = view.member_or_lapsed(self.me, now);
        // A start later than now shows that this clock is behind.
        self.clock_behind |= member.is_some_and(|m| m.born_ms > latest_ms);
        if !std::mem::replace(&mut self.has_view, true) {
            // Such a start may have been later than now when this process began.
            let late_ms = self.started_ms + START_SPREAD.as_millis() as u64;
            self.clock_behind |= member.is_some_and(|m| m.born_ms > late_ms);
        }
    }

    /// Whether every flow of the server is known here: no server is there, or this
    /// process, the only way to it, started no later than the server or has seen
    /// every flow that is not idle for too long.
    pub fn knows_all_flows(&self, view: Option<&View>, now: Millis) -> bool {
        if self.liveness.is_absent() {
            return true;
        }
        let Some(view) = view else {
            return false;
        };
        if self.has_watched_long(view, now) {
            return true;
        }
        if self.clock_behind || self.server_older {
            return false;
        }
        let member = view.member_or_lapsed(self.me, now);
        let born_ms = member.map_or(0, |m| m.born_ms);
        born_ms + STARTED_TOGETHER.as_millis() as u64 >= self.started_ms
    }

    /// A balancer has asked something without a packet.
    pub fn note_balancer(&mut self, from: Ipv4Addr) {
        self.senders.register(from);
    }

    /// Balancers that get a sign of life now: those that have been heard here,
    /// while the server is not listed and shortly after. One that has just
    /// started knows of the server by nothing else.
    pub fn due_heartbeats(&mut self, view: Option<&View>, now: Millis) -> Vec<Ipv4Addr> {
        if view.is_some_and(|v| v.member(self.me).is_none()) {
            self.unlisted_at = Some(now);
        }
        // Balancers may hear later than this agent that it is listed again.
        let needed = |at: Millis| now.since(at) < RELIST_LIMIT;
        let due = now.since(self.announced_at) >= ANNOUNCE_EVERY;
        if self.leaving || !due || !self.unlisted_at.is_some_and(needed) {
            return Vec::new();
        }
        self.announced_at = now;
        self.senders.addresses().to_vec()
    }

    /// How long this process has run.
    pub fn uptime(&self, now: Millis) -> Duration {
        now.since(self.started_at)
    }

    /// Whether every flow that is in use or not idle for too long has shown
    /// itself.
    fn has_watched_long(&self, view: &View, now: Millis) -> bool {
        now.since(self.watching_since) > view.idle_limit + RESEND_LIMIT
    }

    /// What is known of a flow, without asking the server.
    pub fn knowledge(&self, view: Option<&View>, now: Millis, flow: &FlowKey) -> Knowledge {
        if self.flows.get(flow).is_some_and(|f| f.owned) {
            return Knowledge::Has;
        }
        if self.flows.contains_key(flow) || self.waiting.contains(flow) {
            return Knowledge::Unsure;
        }
        if self.knows_all_flows(view, now) {
            Knowledge::HasNot
        } else {
            Knowledge::Unsure
        }
    }

    /// What a balancer is told of a flow that it asks for.
    pub fn answer_query(&self, view: Option<&View>, now: Millis, flow: &FlowKey) -> Knowledge {
        let seen = self.flows.contains_key(flow) || self.waiting.contains(flow);
        match self.knowledge(view, now, flow) {
            Knowledge::Unsure if !seen => Knowledge::Unseen,
            knowledge => knowledge,
        }
    }
}

//! Answers whether the backend server has a flow, without asking the server.
//!
//! The agent confirms a flow if the caller accepted the server's SYN-ACK or the
//! server sent other packets on it, until both ends have closed it: the caller may
//! have a new flow with the same key elsewhere then, which only a packet shows. It denies a flow only if it knows all flows
//! of its server: because it started no later than the server, or has observed
//! all packets for longer than a flow may be idle. The first reason relies on the
//! system clock, which may be behind, so it does not hold if the server's packets
//! or the start time in its record contradict it.
//!
//! The module also decides which balancers get a heartbeat while the platform
//! does not list the server.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_protocol::frame::Knowledge;
use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

use super::Agent;
use super::flow::Flow;
use super::flow_table::CALLER_RETRANSMIT_TIMEOUT;
use crate::passthrough::published::RELIST_LIMIT;
use crate::passthrough::published::Revision;
use crate::passthrough::view::View;

/// How much earlier than its agent a server may have started without having flows
/// that the agent has not seen: a machine that boots starts both.
const MAX_SERVER_HEAD_START: Duration = Duration::from_millis(500);

/// How much later than its agent a server may start when their machine boots and
/// starts both.
const MAX_SERVER_START_DELAY: Duration = Duration::from_secs(2);

/// Largest expected difference between the clocks of an agent and its server.
const MAX_CLOCK_SKEW: Duration = Duration::from_millis(200);

/// Longer times between two ticks mean that the process was frozen.
const MAX_TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two heartbeats of an agent whose server is not listed.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

impl Agent {
    /// Records that the process runs, and detects that it was frozen. To be called
    /// several times a second, before packets are read.
    pub fn tick(&mut self, view: Option<&View>, now: Millis) {
        let frozen = now.since(self.last_tick_at) > MAX_TICK_INTERVAL;
        let complete = view.is_some_and(|v| self.has_watched_long_enough(v, self.last_tick_at));
        if frozen && !complete {
            // Packets that arrived meanwhile may be lost, or not be read yet.
            self.watching_since = now;
        }
        self.last_tick_at = now;
    }

    /// Compares the clock with the server's start time in a new view. To be called
    /// with each view, as soon as it arrives.
    pub fn check_clock(&mut self, view: &View, now: Millis) {
        let running_ms = now.since(self.started_at).as_millis() as u64;
        let latest_ms = self.started_ms + running_ms + MAX_CLOCK_SKEW.as_millis() as u64;
        let member = view.member_or_lapsed(self.server_ip, now);
        // A server that started in the future shows that this clock is behind.
        self.clock_behind |= member.is_some_and(|m| m.born_ms > latest_ms);
        if !std::mem::replace(&mut self.has_view, true) {
            // With the first view, a start well after this process's own is suspect
            // too: it may have been in the future when this process started.
            let late_ms = self.started_ms + MAX_SERVER_START_DELAY.as_millis() as u64;
            self.clock_behind |= member.is_some_and(|m| m.born_ms > late_ms);
        }
    }

    /// Whether the table holds every flow of the server. That is so if the server
    /// has ended, or if this process, through which all its packets go, started no
    /// later than the server or has watched for longer than a flow may be idle.
    pub fn knows_all_flows(&self, view: Option<&View>, now: Millis) -> bool {
        if self.liveness.is_absent() {
            return true;
        }
        let Some(view) = view else {
            return false;
        };
        if self.has_watched_long_enough(view, now) {
            return true;
        }
        if self.clock_behind || self.server_predates_agent {
            return false;
        }
        let member = view.member_or_lapsed(self.server_ip, now);
        let born_ms = member.map_or(0, |m| m.born_ms);
        born_ms + MAX_SERVER_HEAD_START.as_millis() as u64 >= self.started_ms
    }

    /// Records a balancer that sent a frame without a packet (a query or a probe).
    pub fn note_balancer(&mut self, from: Ipv4Addr) {
        self.senders.register(from);
    }

    /// Balancers to send a heartbeat now: all that this process has heard from,
    /// while the server is not listed and shortly after. A balancer that has just
    /// started has no other way to learn of the server.
    pub fn due_heartbeats(&mut self, view: Option<&View>, now: Millis) -> Vec<Ipv4Addr> {
        if view.is_some_and(|v| v.member(self.server_ip).is_none()) {
            self.last_unlisted_at = Some(now);
        }
        // Balancers may learn later than this agent that the server is listed again.
        let needed = |at: Millis| now.since(at) < RELIST_LIMIT;
        let due = now.since(self.last_heartbeats_at) >= HEARTBEAT_INTERVAL;
        if self.shutdown_since.is_some() || !due || !self.last_unlisted_at.is_some_and(needed) {
            return Vec::new();
        }
        self.last_heartbeats_at = now;
        self.senders.addresses().to_vec()
    }

    /// Records the revision of the platform's records that a balancer or another agent
    /// has.
    pub fn note_revision(&mut self, revision: Revision) {
        self.newest_heard = self.newest_heard.max(revision);
    }

    /// Newest revision that this process has or has heard of. A balancer that lacks it
    /// may not know the server of a flow yet, though this agent doesn't either.
    pub fn newest_revision(&self, view: Option<&View>) -> Revision {
        let own = view.map_or(Revision(0), |v| v.newest);
        own.max(self.newest_heard)
    }

    /// Time since this process started.
    pub fn uptime(&self, now: Millis) -> Duration {
        now.since(self.started_at)
    }

    /// Whether this process has watched for so long that every flow has sent a
    /// packet, or has exceeded the idle limit.
    fn has_watched_long_enough(&self, view: &View, now: Millis) -> bool {
        now.since(self.watching_since) > view.idle_limit + CALLER_RETRANSMIT_TIMEOUT
    }

    /// Whether the server has a flow, as far as its packets have shown. The server is
    /// not asked.
    pub fn knowledge(&self, view: Option<&View>, now: Millis, flow: &FlowKey) -> Knowledge {
        if self.flows.get(flow).is_some_and(Flow::is_certainly_open) {
            return Knowledge::Has;
        }
        if self.flows.contains_key(flow) || self.queue.contains(flow) {
            return Knowledge::Unsure;
        }
        if self.knows_all_flows(view, now) {
            Knowledge::HasNot
        } else {
            Knowledge::Unsure
        }
    }

    /// Answers a balancer's owner query: as [`Agent::knowledge`], but tells apart
    /// flows of which this process has seen no packet.
    pub fn answer_query(&self, view: Option<&View>, now: Millis, flow: &FlowKey) -> Knowledge {
        let seen = self.flows.contains_key(flow) || self.queue.contains(flow);
        match self.knowledge(view, now, flow) {
            Knowledge::Unsure if !seen => Knowledge::Unseen,
            knowledge => knowledge,
        }
    }
}

//! What a simulated server does with packets, and how its own reach callers through its
//! agent.

use std::net::Ipv4Addr;

use ramp_coordination::passthrough::agent::Bounce;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::Refusal;
use ramp_protocol::packet::Segment;

use super::fleet::Event;
use super::fleet::Fleet;
use super::fleet::process_of;
use super::invariants::Caller;
use super::server::FLOW_BYTES;
use super::server::HeldFlow;

/// Sequence number of a server's SYN-ACK for a flow that starts at `start`. Those of two
/// servers are far apart, so that an acknowledgement shows which server's SYN-ACK the
/// caller accepted.
fn first_seq(server: Ipv4Addr, start: u32) -> u32 {
    (u32::from(server.octets()[3]) << 24).wrapping_add(start / 3)
}

/// What the caller acknowledges on its flow at this server.
pub(super) fn reply_seq(server: Ipv4Addr, caller: &Caller) -> u32 {
    first_seq(server, caller.start())
}

/// Sequence number after a packet of a caller.
fn end_of(seg: &Segment) -> u32 {
    let flags = u32::from(seg.opens) + u32::from(seg.fin);
    seg.seq.wrapping_add(seg.len).wrapping_add(flags)
}

impl Fleet {
    pub(super) fn server_gets(&mut self, at: Ipv4Addr, from: usize, mark: u32, seg: &Segment) {
        if self.now < self.servers[&at].down_until {
            return;
        }
        let held = self.servers[&at].flow(self.now, &seg.key);
        if seg.opens {
            return self.server_gets_opening(at, mark, seg, held);
        }
        // Only packets of open flows are checked, since copies of an opening
        // may reach several servers.
        self.check_misdirected(at, from, seg);
        let Some(held) = held else {
            return self.server_bounces(at, mark, seg);
        };
        let port = seg.key.caller.port();
        if held.start == self.callers[&port].start() && held.ended_at.is_none() {
            if !self.has_flow(at, port) {
                return self.server_bounces(at, mark, seg);
            }
            self.callers[&port].opened = true;
            return self.server_works(at, seg);
        }
        // On a flow that has ended, data is answered with a reset; else a packet that does
        // not fit is answered with an acknowledgement of what the server has.
        if held.ended_at.is_some() && seg.len > 0 {
            self.server_resets(at, seg, held);
        } else if seg.len > 0 || seg.fin {
            let answer = Segment {
                seq: first_seq(at, held.start),
                ack: held.start.wrapping_add(1),
                len: 0,
                fin: false,
                ..*seg
            };
            self.agent_sends(at, &answer, seg);
        }
    }

    fn server_gets_opening(
        &mut self,
        at: Ipv4Addr,
        mark: u32,
        seg: &Segment,
        held: Option<HeldFlow>,
    ) {
        let port = seg.key.caller.port();
        let is_copy = held.is_some_and(|f| f.start == seg.seq);
        let is_late = seg.seq != self.callers[&port].start();
        if is_late && held.is_some() && !is_copy {
            // A server keeps the flow that it has.
            return self.server_bounces(at, mark, seg);
        }
        if is_copy && held.is_some_and(|f| f.ended_at.is_some()) {
            return;
        }
        if !is_late {
            self.check_new_flow(at, port);
        }
        if !is_copy {
            self.servers[&at].open(seg);
        }
        self.server_answers(at, seg);
    }

    /// A server resets a flow that it had, and that has ended.
    fn server_resets(&mut self, at: Ipv4Addr, seg: &Segment, held: HeldFlow) {
        let port = seg.key.caller.port();
        let reset = Segment {
            seq: first_seq(at, held.start),
            ack: held.start.wrapping_add(1),
            len: 0,
            rst: true,
            ..*seg
        };
        let delivered = self.agent_sends(at, &reset, seg);
        if delivered && seg.seq.wrapping_sub(self.callers[&port].start()) < FLOW_BYTES {
            self.caller_is_reset_by_server(at, port);
        }
    }

    fn server_works(&mut self, at: Ipv4Addr, seg: &Segment) {
        if seg.fin {
            self.servers[&at].close(self.now, &seg.key);
        }
        if self.scenario.work_ms == 0 || seg.fin || seg.len == 0 {
            return self.server_answers(at, seg);
        }
        let work_ms = 1 + self.rng.below(2 * self.scenario.work_ms);
        match self.servers[&at].begin(self.now, seg, work_ms) {
            Some(done) => {
                let event = Event::Done { at, seg: *seg };
                self.schedule(done - self.now, event);
            }
            None => self.server_acknowledges(at, seg),
        }
    }

    /// Acknowledges a copy of a request that is in progress.
    fn server_acknowledges(&mut self, at: Ipv4Addr, seg: &Segment) {
        let start = self.callers[&seg.key.caller.port()].start();
        let answer = Segment {
            seq: first_seq(at, start),
            ack: end_of(seg),
            len: 0,
            ..*seg
        };
        self.agent_sends(at, &answer, seg);
    }

    fn server_bounces(&mut self, at: Ipv4Addr, mark: u32, seg: &Segment) {
        let now = self.clock(process_of(at));
        let view = &self.views[&process_of(at)];
        let agent = &mut self.servers[&at].agent;
        let (kind, to) = match agent.on_bounce(Some(view), now, mark, seg) {
            Bounce::Return(to) => (FrameKind::Returned(Refusal::Bounced), to),
            Bounce::Lost(to) => (FrameKind::Returned(Refusal::Lost), to),
            Bounce::Deny(to) => (FrameKind::Denied, to),
            Bounce::UnknownMark => return,
        };
        self.send_frame_with_packet(at, usize::from(to.octets()[3]), kind, seg);
        self.poll_queue(at);
    }

    pub(super) fn server_answers(&mut self, at: Ipv4Addr, seg: &Segment) {
        let held = self
            .servers
            .get(&at)
            .and_then(|s| s.flow(self.now, &seg.key));
        let Some(held) = held.filter(|f| f.includes(seg)) else {
            // The server or the flow has ended since the request arrived.
            return;
        };
        let answer = Segment {
            syn: seg.opens,
            opens: false,
            seq: first_seq(at, held.start),
            ack: end_of(seg),
            has_ack: true,
            ..*seg
        };
        if self.agent_sends(at, &answer, seg) {
            self.caller_is_answered(at, seg);
        }
    }

    /// Passes a packet of the server through its agent to a caller; false: the
    /// server has crashed, or the agent holds the packet back.
    fn agent_sends(&mut self, at: Ipv4Addr, answer: &Segment, seg: &Segment) -> bool {
        let now = self.clock(process_of(at));
        let Some(server) = self.servers.get_mut(&at) else {
            return false;
        };
        let view = &self.views[&process_of(at)];
        let outbound = server.agent.on_server_packet(Some(view), now, answer);
        for to in outbound.denied_to.into_iter().flatten() {
            self.send_frame(at, usize::from(to.octets()[3]), FrameKind::Denied, seg);
        }
        if outbound.resets_earlier_flow {
            return false;
        }
        if let Some(to) = outbound.notify {
            self.send_frame(at, usize::from(to.octets()[3]), FrameKind::Owned, seg);
        }
        self.poll_queue(at);
        true
    }
}

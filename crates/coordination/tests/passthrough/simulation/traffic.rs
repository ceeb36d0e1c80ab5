//! Delivery of packets and frames between callers, balancers and agents, as the
//! transport does it.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_coordination::passthrough::agent::ConnectResult;
use ramp_coordination::passthrough::agent::Dequeued;
use ramp_coordination::passthrough::agent::Inbound;
use ramp_coordination::passthrough::agent::LostFlow;
use ramp_coordination::passthrough::balancer::Action;
use ramp_coordination::passthrough::balancer::OWNER_QUERY_INTERVAL;
use ramp_coordination::passthrough::balancer::OWNER_REPLY_TIMEOUT;
use ramp_coordination::passthrough::balancer::OwnerQuery;
use ramp_coordination::passthrough::balancer::OwnershipUpdate;
use ramp_coordination::passthrough::balancer::Reset;
use ramp_coordination::passthrough::balancer::ResetReason;
use ramp_coordination::passthrough::published::Revision;
use ramp_protocol::frame::Frame;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::Inquiry;
use ramp_protocol::frame::Knowledge;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::key::Version;

use super::fleet::Event;
use super::fleet::Fleet;
use super::fleet::ReplyCheck;
use super::fleet::process_of;
use super::invariants::Caller;
use super::network::Network;
use super::server_traffic::reply_seq;
use crate::fixture::*;

/// Transmissions of an opening after which a caller gives up.
const MAX_OPENINGS: u32 = 3;
/// How often an inquiry is repeated without another packet, as in the transport.
const MAX_REPEATS: u32 = 3;
/// Delay before the first retransmission of a packet; it doubles each time.
const FIRST_RETRANSMIT_MS: u64 = 200;
/// How often that delay doubles.
const MAX_RETRANSMIT_DOUBLINGS: u32 = 3;

/// The caller's current packet on its open flow.
fn caller_segment(port: u16, caller: &Caller) -> Segment {
    Segment {
        seq: caller.seq(),
        ack: caller.owner.map_or(0, |owner| reply_seq(owner, caller)),
        len: if caller.closing { 0 } else { 100 },
        fin: caller.closing,
        ..segment(flow(port))
    }
}

fn retransmit_pause_ms(tries: u32) -> u64 {
    FIRST_RETRANSMIT_MS << tries.min(MAX_RETRANSMIT_DOUBLINGS)
}

impl Fleet {
    /// Sends a packet through the balancer that the routers pick now, and
    /// schedules its retransmission unless it is answered before.
    pub(super) fn caller_sends(&mut self, port: u16, number: u32, packet: u32) {
        let caller = &mut self.callers[&port];
        if caller.ended {
            return;
        }
        if number == caller.flow + 1 {
            self.outcome.reopened += 1;
            *caller = Caller::with_flow(number);
        }
        if caller.flow != number || caller.packet != packet {
            return;
        }
        if packet == 0 && caller.tries == MAX_OPENINGS {
            caller.ended = true;
            self.outcome.unanswered += 1;
            return;
        }
        let again = retransmit_pause_ms(caller.tries);
        if caller.tries == 0 {
            caller.sent_at = self.now;
        }
        let age_ms = (0..caller.tries).map(retransmit_pause_ms).sum();
        caller.tries += 1;
        let seg = if packet == 0 {
            Segment {
                seq: caller.seq(),
                ..opening(flow(port), age_ms)
            }
        } else {
            caller_segment(port, caller)
        };
        let again_event = Event::Send {
            port,
            flow: number,
            packet,
        };
        self.send_to_balancer(seg);
        self.schedule(again, again_event);
    }

    /// The caller acknowledges the FIN of its flow's server.
    pub(super) fn caller_acknowledges_close(&mut self, port: u16) {
        let fin = caller_segment(port, &self.callers[&port]);
        let last = Segment {
            seq: fin.seq.wrapping_add(1),
            ack: fin.ack.wrapping_add(1),
            fin: false,
            ..fin
        };
        self.send_to_balancer(last);
    }

    fn send_to_balancer(&mut self, seg: Segment) {
        let port = usize::from(seg.key.caller.port());
        let at = self.routed_to[port % self.routed_to.len()];
        let delay = Network::caller_delay_ms(&mut self.rng);
        self.send(delay, Event::ToBalancer { at, seg });
    }

    pub(super) fn balancer_gets(&mut self, at: usize, seg: &Segment) {
        let now = self.clock(at);
        let action = self.balancers[at].on_packet(&self.views[&at], now, seg);
        self.schedule_reply_check(at, &action, seg, 0);
        self.carry_out(at, seg, action);
    }

    /// Handles a reply that is due or overdue, as the transport does.
    pub(super) fn balancer_checks_reply(&mut self, check: &ReplyCheck) {
        let ReplyCheck { at, seg, .. } = *check;
        if self.starts[at] != check.start {
            return;
        }
        let now = self.clock(at);
        if now < check.due {
            // The balancer's clock stood still in a freeze.
            return self.check_reply_later(check.due.since(now), check.clone());
        }
        let Some(action) = self.balancers[at].on_reply_timeout(&self.views[&at], now, &seg) else {
            if let Some(left) = self.balancers[at].reply_time_left(now, &seg) {
                let due = now + left;
                self.check_reply_later(
                    left,
                    ReplyCheck {
                        due,
                        ..check.clone()
                    },
                );
            }
            return;
        };
        self.schedule_reply_check(at, &action, &seg, check.repeats + 1);
        self.carry_out(at, &seg, action);
    }

    pub(super) fn balancer_receives(
        &mut self,
        to: usize,
        from: Ipv4Addr,
        frame: &Frame,
        seg: &Segment,
        carries_packet: bool,
    ) {
        let now = self.clock(to);
        let balancer = &mut self.balancers[to];
        let action = match frame.kind {
            FrameKind::Owned => {
                if balancer.on_owned(now, from, frame) == OwnershipUpdate::Outdated {
                    return;
                }
                return self.forward_awaiting(to, from, frame.flow);
            }
            FrameKind::OwnerReply => {
                balancer.on_unsure(now, from, frame);
                return self.copy_awaiting(to, from, frame.flow);
            }
            FrameKind::Denied if carries_packet => {
                balancer.on_denied_packet(&self.views[&to], now, from, frame, seg)
            }
            FrameKind::Denied => balancer.on_denied(&self.views[&to], now, from, frame),
            FrameKind::Returned(refusal) => {
                balancer.on_returned(&self.views[&to], now, from, refusal, frame, seg)
            }
            FrameKind::Queued => return balancer.on_queued(now, from, frame),
            FrameKind::Heartbeat => return balancer.on_heartbeat(now, from, frame),
            FrameKind::Shutdown => return balancer.on_agent_gone(now, from, frame),
            // The simulated links are not narrow, so that no relay is used.
            FrameKind::RelayQuery
            | FrameKind::RelayReply(_)
            | FrameKind::PeerQuery
            | FrameKind::PeerReply => return,
            FrameKind::Forward(_) | FrameKind::OwnerQuery | FrameKind::Probe => return,
        };
        if matches!(frame.kind, FrameKind::Returned(_)) {
            self.schedule_reply_check(to, &action, seg, 0);
        }
        self.carry_out(to, seg, action);
    }

    /// Forwards the packet that waited until its flow's owner was found.
    fn forward_awaiting(&mut self, at: usize, owner: Ipv4Addr, flow: FlowKey) {
        let Some(seg) = self.awaiting_owner.swap_remove(&(at, flow)) else {
            return;
        };
        self.forward(at, owner, Inquiry::None, &seg);
    }

    /// Sends a copy of that packet to an agent that does not know whether its
    /// server has the flow.
    fn copy_awaiting(&mut self, at: usize, agent: Ipv4Addr, flow: FlowKey) {
        if let Some(seg) = self.awaiting_owner.get(&(at, flow)).copied() {
            self.forward(at, agent, Inquiry::OwnerOfCopy, &seg);
        }
    }

    pub(super) fn carry_out(&mut self, from: usize, seg: &Segment, action: Action) {
        match action {
            Action::Forward { agent, inquiry, .. } => self.forward(from, agent, inquiry, seg),
            Action::QueryOwner(query) => self.query_owner(from, query, seg),
            Action::Reset(reset) => self.caller_is_reset(from, reset),
            Action::Drop(_) => {}
        }
    }

    /// Schedules a check for the reply if the packet was sent with an inquiry.
    fn schedule_reply_check(&mut self, at: usize, action: &Action, seg: &Segment, repeats: u32) {
        let limit = match action {
            Action::Forward { inquiry, .. } if *inquiry != Inquiry::None => OWNER_REPLY_TIMEOUT,
            Action::QueryOwner(_) => OWNER_QUERY_INTERVAL * (1 << repeats.min(MAX_REPEATS)),
            _ => return,
        };
        if !seg.opens && repeats > MAX_REPEATS {
            return;
        }
        let check = ReplyCheck {
            at,
            start: self.starts[at],
            due: self.clock(at) + limit,
            repeats,
            seg: *seg,
        };
        self.check_reply_later(limit, check);
    }

    fn check_reply_later(&mut self, left: Duration, check: ReplyCheck) {
        self.schedule(left.as_millis() as u64, Event::ReplyTimeout(check));
    }

    fn forward(&mut self, from: usize, at: Ipv4Addr, inquiry: Inquiry, seg: &Segment) {
        let event = Event::ToAgent {
            at,
            from,
            frame: self.forward_frame(from, inquiry, seg),
            seg: *seg,
        };
        self.send_between(from, process_of(at), event);
    }

    fn query_owner(&mut self, from: usize, query: OwnerQuery, seg: &Segment) {
        if !seg.opens && !query.by_key.is_empty() {
            self.awaiting_owner.insert((from, seg.key), *seg);
        }
        for at in query.by_key {
            let event = Event::OwnerQuery {
                at,
                from,
                frame: self.forward_frame(from, Inquiry::None, seg),
                seg: *seg,
            };
            self.send_between(from, process_of(at), event);
        }
        for at in query.packet_copies {
            self.forward(from, at, Inquiry::OwnerOfCopy, seg);
        }
    }

    fn forward_frame(&self, from: usize, inquiry: Inquiry, seg: &Segment) -> Frame {
        let view = &self.views[&from];
        Frame {
            version: view.version,
            revision: view.newest.0,
            ..frame(FrameKind::Forward(inquiry), seg.key)
        }
    }

    fn send_between(&mut self, from: usize, to: usize, event: Event) {
        let delay = self.network.delay_ms(&mut self.rng, from, to);
        self.send(delay, event);
    }

    pub(super) fn agent_gets(&mut self, at: Ipv4Addr, from: usize, frame: &Frame, seg: &Segment) {
        let FrameKind::Forward(inquiry) = frame.kind else {
            return;
        };
        let now = self.clock(process_of(at));
        let Some(server) = self.servers.get_mut(&at) else {
            return;
        };
        let view = &self.views[&process_of(at)];
        let sender = balancer_ip(from as u8);
        let agent = &mut server.agent;
        agent.note_revision(Revision(frame.revision));
        match agent.on_balancer_packet(Some(view), now, sender, frame, inquiry, seg) {
            Inbound::Queue => {
                server.waiting.insert(seg.key, (from, *seg));
                self.outcome.waited += 1;
                self.send_frame(at, from, FrameKind::Queued, seg);
            }
            Inbound::AlreadyQueued => self.send_frame(at, from, FrameKind::Queued, seg),
            Inbound::Refuse(refusal) => {
                let kind = match inquiry {
                    Inquiry::OwnerOfCopy => FrameKind::Denied,
                    _ => FrameKind::Returned(refusal),
                };
                self.send_frame_with_packet(at, from, kind, seg);
            }
            Inbound::Forward { mark, owned } => {
                if owned {
                    self.send_frame(at, from, FrameKind::Owned, seg);
                } else if inquiry == Inquiry::Owner && !seg.opens {
                    self.send_frame(at, from, FrameKind::Heartbeat, seg);
                }
                self.server_gets(at, from, mark.0, seg);
            }
        }
    }

    pub(super) fn agent_gets_query(
        &mut self,
        at: Ipv4Addr,
        from: usize,
        frame: &Frame,
        seg: &Segment,
    ) {
        let now = self.clock(process_of(at));
        let Some(server) = self.servers.get_mut(&at) else {
            return;
        };
        server.agent.note_revision(Revision(frame.revision));
        let view = &self.views[&process_of(at)];
        let kind = match server.agent.answer_query(Some(view), now, &frame.flow) {
            Knowledge::Has => FrameKind::Owned,
            Knowledge::HasNot => FrameKind::Denied,
            Knowledge::Unsure => FrameKind::OwnerReply,
            Knowledge::Unseen => return,
        };
        self.send_frame(at, from, kind, seg);
    }

    pub(super) fn poll_agents(&mut self) {
        let all: Vec<Ipv4Addr> = self.servers.keys().copied().collect();
        for at in all {
            if self.freezes.until(process_of(at), self.now).is_none() {
                self.poll_queue(at);
                self.check_connection(at);
                self.send_heartbeats(at);
            }
        }
    }

    /// Checks whether a server accepts connections; callers whose flows are lost
    /// are reset.
    fn check_connection(&mut self, at: Ipv4Addr) {
        let process = process_of(at);
        let now = self.clock(process);
        let view = &self.views[&process];
        let server = &mut self.servers[&at];
        if !server.agent.connect_check_due(Some(view), now) {
            return;
        }
        let result = match self.now < server.down_until {
            true => ConnectResult::Refused,
            false => ConnectResult::NotRefused,
        };
        for LostFlow { flow, seq } in server.agent.record_connect_check(Some(view), now, result) {
            let reason = ResetReason::Lost;
            self.caller_is_reset(process, Reset { flow, seq, reason });
        }
    }

    /// Sends heartbeats while the server is not listed.
    fn send_heartbeats(&mut self, at: Ipv4Addr) {
        let now = self.clock(process_of(at));
        let view = &self.views[&process_of(at)];
        for to in self.servers[&at].agent.due_heartbeats(Some(view), now) {
            let to = usize::from(to.octets()[3]);
            self.send_frame(at, to, FrameKind::Heartbeat, &segment(flow(0)));
        }
    }

    /// Lets openings that wait at an agent in, or returns them to the balancer.
    pub(super) fn poll_queue(&mut self, at: Ipv4Addr) {
        let now = self.clock(process_of(at));
        let view = &self.views[&process_of(at)];
        let server = &mut self.servers[&at];
        let Some(dequeued) = server.agent.poll_queue(Some(view), now) else {
            return;
        };
        match dequeued {
            Dequeued::Forward(flow, mark) => {
                if let Some((from, seg)) = server.waiting.swap_remove(&flow) {
                    self.server_gets(at, from, mark.0, &seg);
                }
            }
            Dequeued::Drop(flow) => {
                server.waiting.swap_remove(&flow);
            }
            Dequeued::Refuse(flow, _, refusal) => {
                if let Some((from, seg)) = server.waiting.swap_remove(&flow) {
                    let kind = FrameKind::Returned(refusal);
                    self.send_frame(at, from, kind, &seg);
                }
            }
        }
        self.poll_queue(at);
    }

    pub(super) fn send_frame(&mut self, from: Ipv4Addr, to: usize, kind: FrameKind, seg: &Segment) {
        self.send_from_agent(from, to, kind, seg, false);
    }

    pub(super) fn send_frame_with_packet(
        &mut self,
        from: Ipv4Addr,
        to: usize,
        kind: FrameKind,
        seg: &Segment,
    ) {
        self.send_from_agent(from, to, kind, seg, true);
    }

    fn send_from_agent(
        &mut self,
        from: Ipv4Addr,
        to: usize,
        kind: FrameKind,
        seg: &Segment,
        carries_packet: bool,
    ) {
        let now = self.clock(process_of(from));
        let view = &self.views[&process_of(from)];
        let agent = &self.servers[&from].agent;
        let frame = Frame {
            revision: agent.newest_revision(Some(view)).0,
            in_progress: agent.in_progress(),
            knows_all_flows: agent.knows_all_flows(Some(view), now),
            misses_servers: view.misses_servers(now),
            uptime: agent.uptime(now),
            version: Version(1),
            ..frame(kind, seg.key)
        };
        let event = Event::FromAgent {
            to,
            from,
            frame,
            seg: *seg,
            carries_packet,
        };
        let sender = process_of(from);
        let delay = match kind {
            FrameKind::Queued => self.network.queued_delay_ms(&mut self.rng, sender, to),
            _ => self.network.delay_ms(&mut self.rng, sender, to),
        };
        self.send(delay, event);
    }
}

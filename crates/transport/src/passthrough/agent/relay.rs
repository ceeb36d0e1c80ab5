//! Relays owner queries for balancers with a narrow link, and answers those that
//! other agents relay.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use ramp_coordination::passthrough::published::Revision;
use ramp_coordination::passthrough::search_relay::PeerAnswer;
use ramp_coordination::passthrough::search_relay::RelayReply;
use ramp_protocol::format::PacketFormat;
use ramp_protocol::frame::FlowEntry;
use ramp_protocol::frame::Frame;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::ListTag;
use ramp_protocol::frame::read_agents_and_list;
use ramp_protocol::frame::read_list;
use ramp_protocol::frame::write_agents_and_list;
use ramp_protocol::frame::write_list;

use super::Worker;

impl<F: PacketFormat> Worker<F> {
    /// Asks all other agents that the view holds or the balancer names.
    pub(super) fn relay_query(&mut self, from: Ipv4Addr, frame: &Frame, body: &[u8]) {
        let Some((named, list)) = read_agents_and_list(body) else {
            return self.telemetry.unreadable();
        };
        self.agent.note_balancer(from);
        self.report_newer_revision(Revision(frame.revision));
        let entries = self.known_of(list);
        let own_frame = self.header(FrameKind::PeerReply, frame.flow);
        let own = PeerAnswer {
            agent: self.traffic.settings.ip,
            frame: &own_frame,
            entries: &entries,
        };
        let tag = ListTag {
            balancer: from,
            ..ListTag::of(&frame.flow)
        };
        let holders = self.view.iter().flat_map(|view| view.holders());
        let now = self.traffic.clock.now();
        let query = self.relay.on_query(now, tag, holders.chain(named), own);
        self.telemetry
            .relay_query(from, entries.len(), query.as_ref());
        let Some(query) = query else {
            return;
        };
        let mut body = Vec::new();
        write_list(&entries, &mut body);
        for agent in query.agents {
            self.send_to_peer(agent, FrameKind::PeerQuery, query.tag, &body);
        }
    }

    /// Answers a query that another agent relays.
    pub(super) fn answer_peer(&mut self, from: Ipv4Addr, frame: &Frame, list: &[u8]) {
        let tag = ListTag::of(&frame.flow);
        self.agent.note_balancer(tag.balancer);
        self.report_newer_revision(Revision(frame.revision));
        let entries = self.known_of(read_list(list));
        let mut body = Vec::new();
        write_list(&entries, &mut body);
        self.send_to_peer(from, FrameKind::PeerReply, tag, &body);
    }

    /// Records another agent's answer to a query that this agent relays.
    pub(super) fn record_peer_reply(&mut self, from: Ipv4Addr, frame: &Frame, list: &[u8]) {
        self.report_newer_revision(Revision(frame.revision));
        let entries: Vec<FlowEntry> = read_list(list).collect();
        let answer = PeerAnswer {
            agent: from,
            frame,
            entries: &entries,
        };
        self.relay.on_peer_reply(ListTag::of(&frame.flow), answer);
    }

    /// Returns the answers that are due to the balancers that asked.
    pub(super) fn send_relay_replies(&mut self) {
        let due = self.relay.take_due(self.traffic.clock.now());
        for reply in due.replies {
            self.send_relay_reply(&reply);
        }
        for finished in due.finished {
            self.telemetry.relay_finished(&finished);
        }
    }

    fn send_relay_reply(&mut self, reply: &RelayReply) {
        let own = self.header(FrameKind::RelayReply(reply.knowledge), reply.tag.to_flow());
        let frame = Frame {
            service: reply.service.unwrap_or(own.service),
            revision: own.revision.max(reply.summary.revision),
            misses_servers: own.misses_servers || reply.summary.misses_servers,
            uptime: own.uptime.max(reply.summary.uptime),
            ..own
        };
        let mut body = Vec::new();
        write_agents_and_list(&reply.agents, &reply.flows, &mut body);
        let port = self.traffic.settings.peer_port;
        self.send_datagram(SocketAddrV4::new(reply.tag.balancer, port), &frame, &body);
    }

    fn send_to_peer(&mut self, to: Ipv4Addr, kind: FrameKind, tag: ListTag, body: &[u8]) {
        let frame = self.header(kind, tag.to_flow());
        let port = self.traffic.settings.data_port;
        self.send_datagram(SocketAddrV4::new(to, port), &frame, body);
    }
}

//! Handles frames from agents, and sends them the batched owner queries.

use std::net::Ipv4Addr;

use ramp_coordination::passthrough::balancer::Action;
use ramp_coordination::passthrough::balancer::OwnershipUpdate;
use ramp_coordination::passthrough::view::View;
use ramp_protocol::capacity_report::carries_capacity_report;
use ramp_protocol::capacity_report::read_capacity_report;
use ramp_protocol::format::PacketFormat;
use ramp_protocol::frame::FRAME_LEN_BYTES;
use ramp_protocol::frame::Frame;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::Inquiry;
use ramp_protocol::frame::Knowledge;
use ramp_protocol::frame::LIST_LIMIT_FLOWS;
use ramp_protocol::frame::NO_FLOW;
use ramp_protocol::frame::Refusal;
use ramp_protocol::frame::read_list;
use ramp_protocol::frame::write_list;
use ramp_state::key::FlowKey;
use ramp_state::key::ServiceId;

use super::Worker;

impl<F: PacketFormat> Worker<F> {
    pub(super) fn handle_frame(&mut self, buf: &mut [u8], from: Ipv4Addr) {
        let Some(view) = self.view.clone() else {
            return;
        };
        let Ok(frame) = Frame::read(buf) else {
            self.telemetry.unreadable();
            return;
        };
        let now = self.traffic.clock.now();
        self.reachability.record_reply();
        let packet = &mut buf[FRAME_LEN_BYTES..];
        match frame.kind {
            FrameKind::Owned => self.handle_owned(&view, from, &frame),
            FrameKind::Denied => self.handle_denied_packet(&view, from, &frame, packet),
            FrameKind::OwnerReply => self.handle_reply(&view, from, &frame, packet),
            FrameKind::Returned(refusal) => {
                self.handle_returned(&view, from, refusal, &frame, packet);
            }
            FrameKind::RelayReply(knowledge) => {
                self.handle_relay_reply(&view, from, knowledge, &frame, packet);
            }
            FrameKind::Queued => self.balancer.on_queued(now, from, &frame),
            FrameKind::Heartbeat => self.balancer.on_heartbeat(now, from, &frame),
            FrameKind::Shutdown => self.balancer.on_agent_gone(now, from, &frame),
            // No agent sends these to a balancer.
            FrameKind::Forward(_)
            | FrameKind::OwnerQuery
            | FrameKind::Probe
            | FrameKind::RelayQuery
            | FrameKind::PeerQuery
            | FrameKind::PeerReply => self.telemetry.unreadable(),
        }
        if carries_capacity_report(frame.kind) {
            let report = read_capacity_report(&buf[FRAME_LEN_BYTES..]);
            self.balancer.on_capacity_report(now, from, report);
        }
    }

    pub(super) fn handle_owned(&mut self, view: &View, from: Ipv4Addr, frame: &Frame) {
        let now = self.traffic.clock.now();
        let update = self.balancer.on_owned(now, from, frame);
        self.forward_kept_packet(view, from, frame, update);
    }

    /// Forwards the packet that is kept for a flow to the agent that has the flow.
    pub(super) fn forward_kept_packet(
        &mut self,
        view: &View,
        from: Ipv4Addr,
        frame: &Frame,
        update: OwnershipUpdate,
    ) {
        self.telemetry.owned(&frame.flow, from, update);
        if update == OwnershipUpdate::Outdated {
            return;
        }
        if let Some(packet) = self.owner_queries.take_packet(&frame.flow) {
            let kind = FrameKind::Forward(Inquiry::None);
            self.send_frame(view, frame.flow, from, kind, frame.service, &packet);
        }
    }

    pub(super) fn handle_denied(&mut self, view: &View, from: Ipv4Addr, frame: &Frame) {
        let now = self.traffic.clock.now();
        if let Action::Reset(reset) = self.balancer.on_denied(view, now, from, frame) {
            self.send_reset(reset);
        }
    }

    /// Handles a denial that may carry the header of the packet that the agent was asked
    /// with.
    fn handle_denied_packet(&mut self, view: &View, from: Ipv4Addr, frame: &Frame, header: &[u8]) {
        let Some(parsed) = F::read_header(header) else {
            return self.handle_denied(view, from, frame);
        };
        let now = self.traffic.clock.now();
        let segment = &parsed.segment;
        let denied = self
            .balancer
            .on_denied_packet(view, now, from, frame, segment);
        if let Action::Reset(reset) = denied {
            self.send_reset(reset);
        }
    }

    /// Handles what an agent knows of each flow of an owner query.
    pub(super) fn handle_reply(&mut self, view: &View, from: Ipv4Addr, frame: &Frame, list: &[u8]) {
        let now = self.traffic.clock.now();
        for entry in read_list(list) {
            let entry_frame = Frame {
                flow: entry.flow,
                ..*frame
            };
            match entry.knowledge {
                Knowledge::Has => self.handle_owned(view, from, &entry_frame),
                Knowledge::HasNot => self.handle_denied(view, from, &entry_frame),
                Knowledge::Unsure => self.handle_unsure(view, from, &entry_frame),
                Knowledge::Unseen if self.balancer.implies_denial(&entry_frame) => {
                    self.handle_denied(view, from, &entry_frame);
                }
                // The search sends such an agent the packet later.
                Knowledge::Unseen => self.balancer.on_heartbeat(now, from, frame),
            }
        }
    }

    /// Sends the packet to an agent that does not know whether its server has the
    /// flow, so that the server decides.
    fn handle_unsure(&mut self, view: &View, from: Ipv4Addr, frame: &Frame) {
        let now = self.traffic.clock.now();
        self.balancer.on_unsure(now, from, frame);
        self.copy_kept_packet(view, from, frame.flow);
    }

    /// Sends an agent a copy of the packet that is kept for a flow.
    pub(super) fn copy_kept_packet(&mut self, view: &View, to: Ipv4Addr, flow: FlowKey) {
        let Some(packet) = self.owner_queries.kept_packet(&flow) else {
            return;
        };
        let kind = FrameKind::Forward(Inquiry::OwnerOfCopy);
        self.send_frame(view, flow, to, kind, ServiceId(0), &packet);
    }

    /// Sends the owner queries that were collected in this loop iteration.
    pub(super) fn send_owner_queries(&mut self) {
        let Some(view) = self.view.clone() else {
            return;
        };
        let mut body = Vec::new();
        for (agent, list) in self.owner_queries.take_lists() {
            for part in list.chunks(LIST_LIMIT_FLOWS) {
                write_list(part, &mut body);
                self.send_frame(
                    &view,
                    NO_FLOW,
                    agent,
                    FrameKind::OwnerQuery,
                    ServiceId(0),
                    &body,
                );
            }
        }
    }

    pub(super) fn handle_returned(
        &mut self,
        view: &View,
        from: Ipv4Addr,
        refusal: Refusal,
        frame: &Frame,
        packet: &mut [u8],
    ) {
        let Some(parsed) = F::read(packet) else {
            self.telemetry.unreadable();
            return;
        };
        self.telemetry.returned(from, refusal, frame);
        let now = self.traffic.clock.now();
        let segment = parsed.segment;
        let action = self
            .balancer
            .on_returned(view, now, from, refusal, frame, &segment);
        self.track_reply(&segment, &action, packet, 0);
        self.execute(view, &segment, action, packet);
    }
}

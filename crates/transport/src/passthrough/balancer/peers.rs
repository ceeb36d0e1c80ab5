//! What agents say, and what they are asked.

use std::net::Ipv4Addr;

use ramp_coordination::passthrough::balancer::Action;
use ramp_coordination::passthrough::view::View;
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
        self.reach.record_reply();
        let packet = &mut buf[FRAME_LEN_BYTES..];
        match frame.kind {
            FrameKind::Owned => self.handle_owned(&view, from, &frame),
            FrameKind::Denied => self.handle_denied(&view, from, &frame),
            FrameKind::OwnerReply => self.handle_answer(&view, from, &frame, packet),
            FrameKind::Returned(refusal) => {
                self.handle_returned(&view, from, refusal, &frame, packet);
            }
            FrameKind::Queued => self.balancer.on_queued(now, from, &frame),
            FrameKind::Heartbeat => self.balancer.on_heartbeat(now, from, &frame),
            FrameKind::Shutdown => self.balancer.on_agent_gone(now, from, &frame),
            // Only a balancer sends these.
            FrameKind::Forward(_) | FrameKind::OwnerQuery | FrameKind::Probe => {
                self.telemetry.unreadable()
            }
        }
    }

    pub(super) fn handle_owned(&mut self, view: &View, from: Ipv4Addr, frame: &Frame) {
        let now = self.traffic.clock.now();
        let learned = self.balancer.on_owned(now, from, frame);
        self.telemetry.owned(&frame.flow, from, learned);
        if let Some(packet) = self.owner_queries.take_packet(&frame.flow) {
            let kind = FrameKind::Forward(Inquiry::None);
            self.send(view, frame.flow, from, kind, frame.service, &packet);
        }
    }

    pub(super) fn handle_denied(&mut self, view: &View, from: Ipv4Addr, frame: &Frame) {
        let now = self.traffic.clock.now();
        if let Action::Reset(reset) = self.balancer.on_denied(view, now, from, frame) {
            self.reset(reset);
        }
    }

    /// What an agent knows of each flow that it was asked for.
    pub(super) fn handle_answer(
        &mut self,
        view: &View,
        from: Ipv4Addr,
        frame: &Frame,
        list: &[u8],
    ) {
        let now = self.traffic.clock.now();
        for listed in read_list(list) {
            let of_one = Frame {
                flow: listed.flow,
                ..*frame
            };
            match listed.knowledge {
                Knowledge::Has => self.handle_owned(view, from, &of_one),
                Knowledge::HasNot => self.handle_denied(view, from, &of_one),
                Knowledge::Unsure => self.handle_unsure(view, from, &of_one),
                Knowledge::Unseen if self.balancer.implies_denial(&of_one) => {
                    self.handle_denied(view, from, &of_one);
                }
                // Those that can't tell get the packet in their turn.
                Knowledge::Unseen => self.balancer.on_heartbeat(now, from, frame),
            }
        }
    }

    /// An agent that does not know gets the packet, so that its server can tell.
    fn handle_unsure(&mut self, view: &View, from: Ipv4Addr, frame: &Frame) {
        let now = self.traffic.clock.now();
        self.balancer.on_unsure(now, from, frame);
        let Some(packet) = self.owner_queries.kept_packet(&frame.flow) else {
            return;
        };
        let kind = FrameKind::Forward(Inquiry::OwnerOfCopy);
        self.send(view, frame.flow, from, kind, ServiceId(0), &packet);
    }

    /// Sends the lists of flows that were gathered in this turn.
    pub(super) fn send_questions(&mut self) {
        let Some(view) = self.view.clone() else {
            return;
        };
        let mut body = Vec::new();
        for (agent, list) in self.owner_queries.take_lists() {
            for part in list.chunks(LIST_LIMIT_FLOWS) {
                write_list(part, &mut body);
                self.send(
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
        let Some(passing) = F::read(packet) else {
            self.telemetry.unreadable();
            return;
        };
        self.telemetry.returned(from, refusal, frame);
        let now = self.traffic.clock.now();
        let segment = passing.segment;
        let step = self
            .balancer
            .on_returned(view, now, from, refusal, frame, &segment);
        self.expect_answer(&segment, &step, packet, 0);
        self.carry_out(view, &segment, step, packet);
    }
}

//! Packets and questions of balancers.

use std::net::Ipv4Addr;

use ramp_coordination::passthrough::agent::Inbound;
use ramp_coordination::passthrough::mark::Mark;
use ramp_coordination::passthrough::published::Revision;
use ramp_protocol::format::PacketFormat;
use ramp_protocol::frame::FRAME_LEN_BYTES;
use ramp_protocol::frame::FlowEntry;
use ramp_protocol::frame::Frame;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::Inquiry;
use ramp_protocol::frame::read_list;
use ramp_protocol::frame::write_list;
use ramp_protocol::packet::Segment;

use super::Worker;
use crate::passthrough::thread_messages::Event;

impl<F: PacketFormat> Worker<F> {
    pub(super) fn handle_frame(&mut self, buf: &mut [u8], from: Ipv4Addr) {
        let Ok(frame) = Frame::read(buf) else {
            return self.telemetry.unreadable();
        };
        let inquiry = match frame.kind {
            FrameKind::Forward(inquiry) => inquiry,
            FrameKind::OwnerQuery => return self.answer(from, &frame, &buf[FRAME_LEN_BYTES..]),
            FrameKind::Probe => return self.answer_probe(from, &frame),
            _ => return self.telemetry.unreadable(),
        };
        let packet = &mut buf[FRAME_LEN_BYTES..];
        let Some(passing) = F::read(packet) else {
            return self.telemetry.unreadable();
        };
        self.hear(Revision(frame.revision));
        let view = self.view.as_deref();
        let now = self.traffic.clock.now();
        let segment = &passing.segment;
        let inbound = self
            .agent
            .on_balancer_packet(view, now, from, &frame, inquiry, segment);
        match inbound {
            Inbound::Forward { mark, owned } => {
                self.pass(packet, segment, mark);
                if owned {
                    self.tell(from, FrameKind::Owned, segment.key, &[]);
                } else if inquiry == Inquiry::Owner && !segment.opens {
                    self.tell(from, FrameKind::Heartbeat, segment.key, &[]);
                }
            }
            Inbound::Queue => {
                self.waiting.insert(segment.key, packet.to_vec());
                self.tell(from, FrameKind::Queued, segment.key, &[]);
            }
            Inbound::AlreadyQueued => self.tell(from, FrameKind::Queued, segment.key, &[]),
            Inbound::Refuse(refusal) => {
                let in_progress = self.agent.in_progress();
                self.telemetry
                    .refused(view, from, refusal, &frame, in_progress);
                let kind = match inquiry {
                    Inquiry::OwnerOfCopy => FrameKind::Denied,
                    _ => FrameKind::Returned(refusal),
                };
                self.tell(from, kind, segment.key, packet);
            }
        }
    }

    /// Gives a packet to the server.
    fn pass(&mut self, packet: &mut [u8], segment: &Segment, mark: Mark) {
        F::set_mark(packet, mark.0);
        self.to_server(packet);
        self.telemetry.passed();
        if segment.len > 0
            && let Some(request) = F::request_id(packet)
        {
            self.agent.set_request_id(&segment.key, request);
        }
    }

    fn answer_probe(&mut self, from: Ipv4Addr, frame: &Frame) {
        self.agent.note_balancer(from);
        self.tell(from, FrameKind::Heartbeat, frame.flow, &[]);
    }

    /// Answers for a list of flows.
    pub(super) fn answer(&mut self, from: Ipv4Addr, frame: &Frame, list: &[u8]) {
        self.agent.note_balancer(from);
        self.hear(Revision(frame.revision));
        let view = self.view.as_deref();
        let now = self.traffic.clock.now();
        let answers: Vec<FlowEntry> = read_list(list)
            .map(|asked| FlowEntry {
                flow: asked.flow,
                knowledge: self.agent.answer_query(view, now, &asked.flow),
            })
            .collect();
        let mut body = Vec::new();
        write_list(&answers, &mut body);
        self.tell(from, FrameKind::OwnerReply, frame.flow, &body);
    }

    /// Tells control when a balancer knows more than this process.
    pub(super) fn hear(&mut self, revision: Revision) {
        let known = self.view.as_ref().map(|v| v.cursor);
        if revision <= self.heard || known.is_some_and(|known| revision <= known) {
            return;
        }
        self.heard = revision;
        // Control outlives this thread; if it is gone, the next turn ends.
        let _ = self.traffic.events.send(Event::PeerRevision(revision));
    }
}

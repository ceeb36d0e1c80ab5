//! Handles frames from balancers and other agents: packets for the server, owner
//! queries and probes.

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
            FrameKind::RelayQuery => {
                return self.relay_query(from, &frame, &buf[FRAME_LEN_BYTES..]);
            }
            FrameKind::PeerQuery => return self.answer_peer(from, &frame, &buf[FRAME_LEN_BYTES..]),
            FrameKind::PeerReply => {
                return self.record_peer_reply(from, &frame, &buf[FRAME_LEN_BYTES..]);
            }
            _ => return self.telemetry.unreadable(),
        };
        let packet = &mut buf[FRAME_LEN_BYTES..];
        let Some(parsed) = F::read(packet) else {
            return self.telemetry.unreadable();
        };
        self.report_newer_revision(Revision(frame.revision));
        let view = self.view.as_deref();
        let now = self.traffic.clock.now();
        let segment = &parsed.segment;
        let inbound = self
            .agent
            .on_balancer_packet(view, now, from, &frame, inquiry, segment);
        if segment.opens && inbound != Inbound::AlreadyQueued {
            // That of an earlier flow with the same key no longer waits.
            self.queued_packets.swap_remove(&segment.key);
        }
        match inbound {
            Inbound::Forward { mark, owned } => {
                self.forward_to_server(packet, segment, mark);
                if owned {
                    self.send_frame(from, FrameKind::Owned, segment.key, &[]);
                } else if inquiry == Inquiry::Owner && !segment.opens {
                    self.send_frame(from, FrameKind::Heartbeat, segment.key, &[]);
                }
            }
            Inbound::Queue => {
                self.telemetry.queued(view, &segment.key);
                self.queued_packets.insert(segment.key, packet.to_vec());
                self.send_frame(from, FrameKind::Queued, segment.key, &[]);
            }
            Inbound::AlreadyQueued => self.send_frame(from, FrameKind::Queued, segment.key, &[]),
            Inbound::Refuse(refusal) => {
                if segment.opens {
                    let in_progress = self.agent.in_progress();
                    self.telemetry
                        .refused(view, from, refusal, &frame, in_progress);
                } else {
                    self.telemetry.other_flow(from, &segment.key);
                }
                let (kind, body) = match inquiry {
                    Inquiry::OwnerOfCopy => (FrameKind::Denied, F::header(packet)),
                    _ => (FrameKind::Returned(refusal), &*packet),
                };
                self.send_frame(from, kind, segment.key, body);
            }
        }
    }

    /// Sets the mark on a packet and sends it to the server.
    fn forward_to_server(&mut self, packet: &mut [u8], segment: &Segment, mark: Mark) {
        F::set_mark(packet, mark.0);
        self.send_to_server(packet);
        self.telemetry.passed();
        if segment.len > 0
            && let Some(request) = F::request_id(packet)
        {
            self.agent.set_request_id(&segment.key, request);
        }
    }

    fn answer_probe(&mut self, from: Ipv4Addr, frame: &Frame) {
        self.agent.note_balancer(from);
        self.send_frame(from, FrameKind::Heartbeat, frame.flow, &[]);
    }

    /// Answers an owner query for a list of flows.
    pub(super) fn answer(&mut self, from: Ipv4Addr, frame: &Frame, list: &[u8]) {
        self.agent.note_balancer(from);
        self.report_newer_revision(Revision(frame.revision));
        let entries = self.known_of(read_list(list));
        let mut body = Vec::new();
        write_list(&entries, &mut body);
        self.send_frame(from, FrameKind::OwnerReply, frame.flow, &body);
    }

    /// What this agent knows of each flow of a list.
    pub(super) fn known_of(&self, list: impl Iterator<Item = FlowEntry>) -> Vec<FlowEntry> {
        let view = self.view.as_deref();
        let now = self.traffic.clock.now();
        list.map(|query| FlowEntry {
            flow: query.flow,
            knowledge: self.agent.answer_query(view, now, &query.flow),
        })
        .collect()
    }

    /// Records the revision that another process has, and notifies the control thread
    /// if that is newer than this process's.
    pub(super) fn report_newer_revision(&mut self, revision: Revision) {
        self.agent.note_revision(revision);
        let known = self.view.as_ref().map(|v| v.cursor);
        if revision <= self.reported_revision || known.is_some_and(|known| revision <= known) {
            return;
        }
        self.reported_revision = revision;
        // Sending fails only if the control thread is gone; then the next loop
        // iteration ends this thread.
        let _ = self.traffic.events.send(Event::PeerRevision(revision));
    }
}

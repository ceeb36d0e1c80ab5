//! Handles packets from the server, and the queue of new flows that wait for a free
//! slot.

use ramp_coordination::passthrough::agent::Bounce;
use ramp_coordination::passthrough::agent::Dequeued;
use ramp_protocol::format::PacketFormat;
use ramp_protocol::format::ParsedPacket;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::Refusal;

use super::Worker;

impl<F: PacketFormat> Worker<F> {
    /// Forwards queued flows that have got a slot, and returns those whose time is
    /// up to their balancers.
    pub(super) fn handle_queue(&mut self) {
        loop {
            let now = self.traffic.clock.now();
            let Some(dequeued) = self.agent.poll_queue(self.view.as_deref(), now) else {
                return;
            };
            match dequeued {
                Dequeued::Forward(flow, mark) => {
                    if let Some(mut packet) = self.queued_packets.swap_remove(&flow) {
                        F::set_mark(&mut packet, mark.0);
                        self.send_to_server(&packet);
                        self.telemetry.passed();
                    }
                }
                Dequeued::Refuse(flow, to, refusal) => {
                    let packet = self.queued_packets.swap_remove(&flow).unwrap_or_default();
                    let in_progress = self.agent.in_progress();
                    let view = self.view.as_deref();
                    self.telemetry
                        .refused_queued(view, &flow, refusal, in_progress);
                    self.send_frame(to, FrameKind::Returned(refusal), flow, &packet);
                }
                Dequeued::Drop(flow) => {
                    self.queued_packets.swap_remove(&flow);
                }
            }
        }
    }

    pub(super) fn handle_server_packet(&mut self, packet: &[u8]) {
        let Some(parsed) = F::read_from_server(packet) else {
            return self.telemetry.unreadable();
        };
        if parsed.bounced {
            return self.handle_bounce(&parsed, packet);
        }
        let now = self.traffic.clock.now();
        let view = self.view.as_deref();
        let key = parsed.segment.key;
        let request = self.agent.last_request_id(&key);
        let outbound = self.agent.on_server_packet(view, now, &parsed.segment);
        for to in outbound.denied_to.into_iter().flatten() {
            self.send_frame(to, FrameKind::Denied, key, &[]);
        }
        if outbound.resets_earlier_flow {
            return self.telemetry.earlier_flow_reset(&key);
        }
        self.send_to_caller(key, packet);
        let failure = F::error_status(packet);
        self.telemetry.delivered(&key, request, &outbound, failure);
        if let Some(completed) = outbound.completed {
            self.agent.record_response(now, completed, failure);
        }
        if let Some(to) = outbound.notify {
            self.send_frame(to, FrameKind::Owned, key, &[]);
        }
    }

    pub(super) fn handle_bounce(&mut self, parsed: &ParsedPacket, packet: &[u8]) {
        let now = self.traffic.clock.now();
        let view = self.view.as_deref();
        let key = parsed.segment.key;
        let request = F::request_id(packet).or_else(|| self.agent.last_request_id(&key));
        let bounce = self
            .agent
            .on_bounce(view, now, parsed.mark, &parsed.segment);
        let copy = matches!(bounce, Bounce::Deny(_));
        self.telemetry.bounced(&key, request, copy);
        match bounce {
            Bounce::Return(to) => {
                self.send_frame(to, FrameKind::Returned(Refusal::Bounced), key, packet);
            }
            Bounce::Lost(to) => {
                self.send_frame(to, FrameKind::Returned(Refusal::Lost), key, packet);
            }
            Bounce::Deny(to) => {
                self.send_frame(to, FrameKind::Denied, key, F::header(packet));
            }
            Bounce::UnknownMark => {}
        }
    }
}

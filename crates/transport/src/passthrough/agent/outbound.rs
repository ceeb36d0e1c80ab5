//! Packets of the server, and new flows that its answers let in.

use ramp_coordination::passthrough::agent::Bounce;
use ramp_coordination::passthrough::agent::Dequeued;
use ramp_protocol::format::PacketFormat;
use ramp_protocol::format::ParsedPacket;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::Refusal;

use super::Worker;

impl<F: PacketFormat> Worker<F> {
    /// Lets new flows that wait in, or sends them back.
    pub(super) fn release_waiting(&mut self) {
        loop {
            let now = self.traffic.clock.now();
            let Some(release) = self.agent.poll_queue(self.view.as_deref(), now) else {
                return;
            };
            match release {
                Dequeued::Forward(flow, mark) => {
                    if let Some(mut packet) = self.waiting.swap_remove(&flow) {
                        F::set_mark(&mut packet, mark.0);
                        self.to_server(&packet);
                        self.telemetry.passed();
                    }
                }
                Dequeued::Refuse(flow, to, refusal) => {
                    let packet = self.waiting.swap_remove(&flow).unwrap_or_default();
                    let in_progress = self.agent.in_progress();
                    self.telemetry.gave_up(&flow, refusal, in_progress);
                    self.tell(to, FrameKind::Returned(refusal), flow, &packet);
                }
                Dequeued::Drop(flow) => {
                    self.waiting.swap_remove(&flow);
                }
            }
        }
    }

    pub(super) fn handle_server(&mut self, packet: &[u8]) {
        let Some(passing) = F::read_from_server(packet) else {
            return self.telemetry.unreadable();
        };
        if passing.bounced {
            return self.handle_bounce(&passing, packet);
        }
        let now = self.traffic.clock.now();
        let view = self.view.as_deref();
        let key = passing.segment.key;
        let request = self.agent.last_request_id(&key);
        let outbound = self.agent.on_server_packet(view, now, &passing.segment);
        self.to_caller(key, packet);
        let failure = F::error_status(packet);
        self.telemetry.delivered(&key, request, &outbound, failure);
        if let Some(to) = outbound.notify {
            self.tell(to, FrameKind::Owned, key, &[]);
        }
    }

    pub(super) fn handle_bounce(&mut self, passing: &ParsedPacket, packet: &[u8]) {
        let now = self.traffic.clock.now();
        let view = self.view.as_deref();
        let key = passing.segment.key;
        let request = F::request_id(packet).or_else(|| self.agent.last_request_id(&key));
        let bounce = self
            .agent
            .on_bounce(view, now, passing.mark, &passing.segment);
        let copy = matches!(bounce, Bounce::Deny(_));
        self.telemetry.bounced(&key, request, copy);
        match bounce {
            Bounce::Return(to) => {
                self.tell(to, FrameKind::Returned(Refusal::Bounced), key, packet);
            }
            Bounce::Lost(to) => {
                self.tell(to, FrameKind::Returned(Refusal::Lost), key, packet);
            }
            Bounce::Deny(to) => self.tell(to, FrameKind::Denied, key, &[]),
            Bounce::UnknownMark => {}
        }
    }
}

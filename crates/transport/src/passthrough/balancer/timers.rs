//! What a balancer does without a packet: answers that are overdue, and its reach.

use std::time::Duration;

use ramp_protocol::format::PacketFormat;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::NO_FLOW;
use ramp_state::key::ServiceId;

use super::SHORTEST_WAIT;
use super::Worker;
use crate::passthrough::thread_messages::Event;
use crate::udp;

impl<F: PacketFormat> Worker<F> {
    /// Time until something must be done without a packet.
    pub(super) fn time_to_next(&self) -> Duration {
        let Some(left) = self.pending.time_left(self.traffic.clock.now()) else {
            return udp::IDLE_READ_TIMEOUT;
        };
        left.clamp(SHORTEST_WAIT, udp::IDLE_READ_TIMEOUT)
    }

    /// Handles packets again whose questions were not answered in time.
    pub(super) fn handle_overdue(&mut self) {
        let now = self.traffic.clock.now();
        while let Some(pending) = self.pending.overdue(now) {
            let packet = &pending.packet;
            let (Some(view), Some(passing)) = (self.view.clone(), F::read(packet)) else {
                continue;
            };
            let seg = passing.segment;
            let Some(step) = self.balancer.on_reply_timeout(&view, now, &seg) else {
                if let Some(left) = self.balancer.reply_time_left(now, &seg) {
                    self.pending.add_again(now + left, pending);
                }
                continue;
            };
            self.expect_answer(&seg, &step, packet, pending.repeats + 1);
            self.carry_out(&view, &seg, step, packet);
        }
    }

    /// Tells control whether any agent answers, and asks some if none does.
    pub(super) fn watch_reach(&mut self) {
        let now = self.traffic.clock.now();
        let reaches = !self.reach.is_cut_off(now);
        if reaches != self.reaches {
            self.reaches = reaches;
            // Control outlives this thread; if it is gone, the next turn ends.
            let _ = self.traffic.events.send(Event::PeersReachable(reaches));
        }
        if !self.reach.probe_due(now) {
            return;
        }
        let Some(view) = self.view.clone() else {
            return;
        };
        for agent in view.holders() {
            self.send(&view, NO_FLOW, agent, FrameKind::Probe, ServiceId(0), &[]);
        }
    }

    /// Tells control when a peer knows more than this process.
    pub(super) fn tell_heard(&mut self) {
        let heard = self.balancer.newest_agent_revision();
        let known = self.view.as_ref().map(|v| v.cursor);
        if heard <= self.heard || known.is_some_and(|known| heard <= known) {
            return;
        }
        self.heard = heard;
        // Control outlives this thread; if it is gone, the next turn ends.
        let _ = self.traffic.events.send(Event::PeerRevision(heard));
    }
}

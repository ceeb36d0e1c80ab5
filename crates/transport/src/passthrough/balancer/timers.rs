//! Periodic tasks of a balancer: overdue replies, reachability of the agents, and
//! reports of newer revisions.

use std::time::Duration;

use ramp_protocol::format::PacketFormat;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::NO_FLOW;
use ramp_state::key::ServiceId;

use super::MIN_POLL_WAIT;
use super::Worker;
use crate::passthrough::thread_messages::Event;
use crate::udp;

impl<F: PacketFormat> Worker<F> {
    /// Time until there is something to do even if no packet arrives.
    pub(super) fn time_to_next(&self) -> Duration {
        let now = self.traffic.clock.now();
        let reply = self.pending_replies.time_to_next(now);
        let reply = reply.map(|left| left.max(MIN_POLL_WAIT));
        let datagram = self.egress.as_ref().and_then(|e| e.time_to_next(now));
        let next = reply.into_iter().chain(datagram).min();
        next.map_or(udp::IDLE_READ_TIMEOUT, |left| {
            left.min(udp::IDLE_READ_TIMEOUT)
        })
    }

    /// Handles packets again whose replies are overdue.
    pub(super) fn handle_overdue(&mut self) {
        let now = self.traffic.clock.now();
        while let Some(pending) = self.pending_replies.pop_overdue(now) {
            let packet = &pending.packet;
            let (Some(view), Some(parsed)) = (self.view.clone(), F::read(packet)) else {
                continue;
            };
            let seg = parsed.segment;
            let Some(action) = self.balancer.on_reply_timeout(&view, now, &seg) else {
                if let Some(left) = self.balancer.reply_time_left(now, &seg) {
                    self.pending_replies.reschedule(now + left, pending);
                }
                continue;
            };
            self.track_reply(&seg, &action, packet, pending.repeats + 1);
            self.execute(&view, &seg, action, packet);
        }
    }

    /// Notifies the control thread when the agents become reachable or unreachable,
    /// and probes them while none answers.
    pub(super) fn update_reachability(&mut self) {
        let now = self.traffic.clock.now();
        let agents_reachable = !self
            .reachability
            .is_cut_off(now, self.balancer.link_delay(now));
        if agents_reachable != self.agents_reachable {
            self.agents_reachable = agents_reachable;
            // Sending fails only if the control thread is gone; then the next loop
            // iteration ends this thread.
            let _ = self
                .traffic
                .events
                .send(Event::PeersReachable(agents_reachable));
        }
        if agents_reachable || !self.reachability.probe_due(now) {
            return;
        }
        let Some(view) = self.view.clone() else {
            return;
        };
        for agent in view.holders() {
            self.send_frame(&view, NO_FLOW, agent, FrameKind::Probe, ServiceId(0), &[]);
        }
    }

    /// Notifies the control thread if an agent has newer records than this process.
    pub(super) fn report_newer_revision(&mut self) {
        let newest = self.balancer.newest_agent_revision();
        let known = self.view.as_ref().map(|v| v.cursor);
        if newest <= self.reported_revision || known.is_some_and(|known| newest <= known) {
            return;
        }
        self.reported_revision = newest;
        // Sending fails only if the control thread is gone; then the next loop
        // iteration ends this thread.
        let _ = self.traffic.events.send(Event::PeerRevision(newest));
    }
}

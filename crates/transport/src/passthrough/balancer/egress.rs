//! Sends the balancer's datagrams: at once, or through the egress queue if the link
//! is narrow.

use std::net::SocketAddrV4;
use std::time::Duration;

use ramp_coordination::passthrough::egress::BulkMeter;
use ramp_coordination::passthrough::egress::Class;
use ramp_coordination::passthrough::egress::Datagram;
use ramp_coordination::passthrough::egress::EgressQueue;
use ramp_coordination::passthrough::link_rate::LinkRate;
use ramp_coordination::passthrough::view::View;
use ramp_protocol::format::PacketFormat;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::packet::Segment;
use ramp_state::time::Millis;

use super::Worker;
use crate::passthrough::telemetry::egress::Telemetry;

/// Socket through which a datagram leaves.
#[derive(Clone, Copy, Debug)]
pub(super) enum Outlet {
    /// The socket for resets to callers.
    Callers,
    /// The socket for frames to agents.
    Agents,
}

/// A datagram that waits for the link.
#[derive(Debug)]
struct Outgoing {
    outlet: Outlet,
    to: SocketAddrV4,
    payload: Vec<u8>,
}

impl Datagram for Outgoing {
    fn payload_len_bytes(&self) -> usize {
        self.payload.len()
    }
}

/// Egress queue of a balancer with a narrow link.
pub(super) struct Egress {
    queue: EgressQueue<Outgoing>,
    bulk_meter: BulkMeter,
    telemetry: Telemetry,
}

impl Egress {
    /// The queue for a link of this rate; none if it is not narrow.
    pub(super) fn for_link(rate: Option<LinkRate>) -> Option<Egress> {
        let queue = EgressQueue::for_link(rate)?;
        Some(Egress {
            queue,
            bulk_meter: BulkMeter::default(),
            telemetry: Telemetry::start(rate),
        })
    }

    /// Class of a frame that contains this packet of a caller, or a list, or nothing.
    pub(super) fn frame_class<F: PacketFormat>(
        &self,
        now: Millis,
        view: &View,
        kind: FrameKind,
        packet: &[u8],
    ) -> Class {
        if !matches!(kind, FrameKind::Forward(_)) {
            return Class::Control;
        }
        let Some(parsed) = F::read(packet) else {
            return Class::Control;
        };
        let Segment { key, len, .. } = parsed.segment;
        let priority = view.route(key.service).and_then(|route| route.priority);
        self.bulk_meter.class_of(now, &key, len, priority)
    }

    /// Time after which the queue is to be drained again; none if it is empty.
    pub(super) fn time_to_next(&self, now: Millis) -> Option<Duration> {
        self.queue.time_to_next(now)
    }
}

impl<F: PacketFormat> Worker<F> {
    /// Time that the link needs for what is queued; zero if the link is not narrow.
    pub(super) fn egress_backlog(&self, now: Millis) -> Duration {
        let queue = self.egress.as_ref().map(|egress| &egress.queue);
        queue.map_or(Duration::ZERO, |queue| queue.backlog(now))
    }

    /// Sends the contents of the send buffer, or queues them with the class that
    /// `class_of` returns.
    pub(super) fn send(
        &mut self,
        outlet: Outlet,
        to: SocketAddrV4,
        class_of: impl FnOnce(&Egress, Millis) -> Class,
    ) {
        let Some(egress) = &mut self.egress else {
            return self.transmit(outlet, to, &self.send_buf);
        };
        let now = self.traffic.clock.now();
        let class = class_of(egress, now);
        egress.telemetry.queued(class);
        let outgoing = Outgoing {
            outlet,
            to,
            payload: self.send_buf.clone(),
        };
        egress.queue.push(now, class, outgoing);
    }

    /// Counts the data of a packet from the routers.
    pub(super) fn record_data(&mut self, seg: &Segment) {
        let now = self.traffic.clock.now();
        if let Some(egress) = &mut self.egress {
            egress.bulk_meter.record(now, &seg.key, seg.len);
        }
    }

    /// Sends the queued datagrams for which the link has time now.
    pub(super) fn drain_egress(&mut self) {
        let now = self.traffic.clock.now();
        while let Some(outgoing) = self.egress.as_mut().and_then(|e| e.queue.pop(now)) {
            self.transmit(outgoing.outlet, outgoing.to, &outgoing.payload);
        }
        let backlog = self.egress_backlog(now);
        self.balancer.set_link_backlog(now, backlog);
        if let Some(egress) = &mut self.egress {
            let drops = egress.queue.take_drops();
            egress.telemetry.drained(now, backlog, &drops);
        }
    }

    fn transmit(&self, outlet: Outlet, to: SocketAddrV4, payload: &[u8]) {
        let socket = match outlet {
            Outlet::Callers => &self.traffic.data,
            Outlet::Agents => &self.traffic.peers,
        };
        if let Err(err) = socket.send_to(payload, to) {
            self.telemetry.send_failed(to, &err);
        }
    }
}

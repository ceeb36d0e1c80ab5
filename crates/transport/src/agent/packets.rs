//! Handles callers' packets at an agent: checks each packet, asks the router
//! where it belongs, and delivers it to a local flow, forwards it to another
//! agent, answers it with a reset, or drops it.

use std::io;

use metrics::counter;
use ramp_coordination::flows::Action;
use ramp_coordination::flows::Arrival;
use ramp_coordination::flows::ResetReason;
use ramp_coordination::group_snapshot::GroupSnapshot;
use ramp_protocol::header::Header;
use ramp_protocol::packet::Segment;
use ramp_state::key::InstanceId;
use ramp_state::key::Version;
use ramp_state::key::mix;
use ramp_state::outcome::FlowEnd;
use ramp_state::outcome::Outcome;
use ramp_state::time::Millis;

use crate::agent::thread_messages::Event;
use crate::agent::traffic::Worker;

/// Maximum number of packets read before the traffic loop does other work.
const BATCH_PACKETS: usize = 64;

impl Worker {
    pub(super) fn read_batch(&mut self, buf: &mut [u8]) -> io::Result<()> {
        for _ in 0..BATCH_PACKETS {
            match self.traffic.socket.try_recv(buf) {
                Ok(len) => self.handle(&buf[..len]),
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                // ICMP error for a packet sent earlier; it does not concern this
                // read.
                Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(err) => return Err(err),
            }
        }
        Ok(())
    }

    /// Handles the packets that were kept while traffic was held.
    pub(super) fn handle_held_packets(&mut self) {
        for datagram in self.held_packets.take() {
            self.handle(&datagram);
        }
    }

    fn handle(&mut self, datagram: &[u8]) {
        if self.pause_detector.is_holding() {
            if !self.held_packets.keep(datagram) {
                count_drop("held");
            }
            return;
        }
        let Some(snapshot) = self.snapshot.clone() else {
            return count_drop("no_configuration");
        };
        let Ok((header, packet)) = Header::read(&self.traffic.key, datagram) else {
            return count_drop("forged");
        };
        let Ok(segment) = Segment::parse(packet) else {
            return count_drop("malformed");
        };
        // The agent serves only its own group's service, even if a balancer
        // routed a packet of another service to it.
        if segment.key.service != snapshot.group.address {
            return count_drop("other_service");
        }
        self.compare_versions(&header, snapshot.version);
        self.route(&snapshot, &header, &segment, packet);
    }

    fn compare_versions(&self, header: &Header, mine: Version) {
        if header.config < mine {
            self.send_event(Event::StaleSender(header.sender));
        }
        if header.config > mine {
            self.send_event(Event::NewerConfig(header.config));
        }
    }

    fn route(
        &mut self,
        snapshot: &GroupSnapshot,
        header: &Header,
        segment: &Segment,
        packet: &[u8],
    ) {
        let now = self.traffic.clock.now();
        let arrival = Arrival {
            sender: Some(header.sender),
            hops: header.hops,
            to_owner: header.to_owner,
        };
        match self.router.on_packet(now, arrival, segment) {
            Action::Deliver => self.deliver(now, segment, packet),
            Action::Open => self.open(now, segment, packet),
            Action::Forward { to, to_owner } => {
                self.forward(snapshot, header, to, to_owner, packet);
            }
            Action::Drop(reason) => count_drop(reason.label()),
            Action::Reset(reason) => self.reset(segment, reason),
        }
    }

    fn open(&mut self, now: Millis, segment: &Segment, packet: &[u8]) {
        let seed = mix(self.traffic.seed ^ segment.key.hash64() ^ u64::from(segment.seq));
        let id = self.flows.open(segment.key, seed, now);
        self.flows.push(id, packet);
        self.drive(id, now);
    }

    fn deliver(&mut self, now: Millis, segment: &Segment, packet: &[u8]) {
        let Some(id) = self.flows.find(&segment.key) else {
            return count_drop("no_stack");
        };
        self.flows.push(id, packet);
        self.drive(id, now);
    }

    fn forward(
        &mut self,
        snapshot: &GroupSnapshot,
        header: &Header,
        to: InstanceId,
        to_owner: bool,
        packet: &[u8],
    ) {
        let Some(member) = snapshot.group.member(to).filter(|m| m.reachable) else {
            return count_drop("no_member");
        };
        let header = Header {
            sender: self.traffic.me,
            config: snapshot.version,
            hops: header.hops + 1,
            to_owner,
        };
        self.send_buf.clear();
        header.write(&self.traffic.key, packet, &mut self.send_buf);
        // A failed send counts as packet loss: TCP retransmits.
        let _ = self
            .traffic
            .socket
            .try_send_to(&self.send_buf, member.agent.into());
        counter!("agent_packets_forwarded_total").increment(1);
    }

    pub(super) fn reset(&mut self, segment: &Segment, reason: ResetReason) {
        // TCP never answers a reset with a reset.
        if segment.rst {
            return;
        }
        self.send_to_caller(&segment.reset());
        counter!("agent_resets_total").increment(1);
        let end = match reason {
            ResetReason::OwnerLost | ResetReason::Unowned => FlowEnd::OwnerLost,
            // The flow's owner counts this end; it must not be counted twice.
            ResetReason::GivenUp => return,
            // The flow never opened, or its end is already counted.
            ResetReason::Full | ResetReason::Ended => return,
        };
        self.record(segment.key, Outcome::FlowEnded(end));
    }

    pub(super) fn send_to_caller(&self, packet: &[u8]) {
        // A failed send counts as packet loss: TCP retransmits.
        let _ = self
            .traffic
            .socket
            .try_send_to(packet, self.traffic.fabric.into());
    }
}

fn count_drop(reason: &'static str) {
    counter!("agent_packets_dropped_total", "reason" => reason).increment(1);
}

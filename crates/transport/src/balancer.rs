//! Traffic thread of a balancer: reads callers' packets, chooses an agent for
//! each from the routing table, and forwards it to that agent.
//!
//! The routing table is immutable; the control thread replaces it as a whole.
//! Handling a packet takes no lock and allocates no memory.

use std::io;
use std::net::UdpSocket;
use std::sync::Arc;

use flume::Receiver;
use flume::Sender;
use flume::TryRecvError;
use metrics::Counter;
use metrics::counter;
use ramp_coordination::balancer::DropReason;
use ramp_coordination::balancer::route;
use ramp_coordination::pause::HeldPackets;
use ramp_coordination::pause::PauseDetector;
use ramp_coordination::pause::PauseId;
use ramp_protocol::auth::FleetKey;
use ramp_protocol::header::HEADER_LEN_BYTES;
use ramp_protocol::header::Header;
use ramp_state::key::InstanceId;
use ramp_state::routing_table::RoutingTable;

use crate::clock::Clock;
use crate::udp;

/// Maximum number of packets handled between two checks for updates.
const BATCH_PACKETS: usize = 64;

/// Message from the control thread to the traffic thread.
#[derive(Clone, Debug)]
pub enum Update {
    /// A new routing table replaces the earlier one.
    RoutingTable(Arc<RoutingTable>),
    /// The configuration was confirmed after this pause: traffic may resume.
    Confirm(PauseId),
}

/// Message from the traffic thread to the control thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The thread was paused; it holds traffic until this pause is confirmed.
    Paused(PauseId),
}

/// What a balancer's traffic thread is started with.
pub struct Traffic {
    /// Identity of this instance.
    pub me: InstanceId,
    /// Key that authenticates packets within the fleet.
    pub key: FleetKey,
    /// Socket for packets, with a read timeout of [`udp::IDLE_READ_TIMEOUT`].
    pub socket: UdpSocket,
    /// Clock of the process.
    pub clock: Clock,
    /// Messages from the control thread; the traffic thread ends when that
    /// thread has ended.
    pub updates: Receiver<Update>,
    /// Messages to the control thread.
    pub events: Sender<Event>,
}

/// Packet counters, registered once so that counting needs no lookup by name.
struct Counters {
    forwarded: Counter,
    malformed: Counter,
    unknown_service: Counter,
    no_member: Counter,
    held: Counter,
    send_failed: Counter,
}

/// State of the running thread.
struct Worker {
    traffic: Traffic,
    routing_table: Option<Arc<RoutingTable>>,
    pause_detector: PauseDetector,
    held_packets: HeldPackets,
    counters: Counters,
    send_buf: Vec<u8>,
}

impl Traffic {
    /// Runs until the control thread has ended.
    ///
    /// # Errors
    ///
    /// The socket failed.
    pub fn run(self) -> io::Result<()> {
        self.socket.set_read_timeout(Some(udp::IDLE_READ_TIMEOUT))?;
        let pause_detector = PauseDetector::new(self.clock.now());
        let mut worker = Worker {
            traffic: self,
            routing_table: None,
            pause_detector,
            held_packets: HeldPackets::default(),
            counters: Counters::new(),
            send_buf: Vec::with_capacity(HEADER_LEN_BYTES + udp::DATAGRAM_LIMIT_BYTES),
        };
        let mut buf = vec![0; udp::DATAGRAM_LIMIT_BYTES];
        while worker.take_updates() {
            worker.handle_batch(&mut buf)?;
        }
        Ok(())
    }
}

impl Worker {
    /// Applies the pending updates; false when the control thread has ended.
    fn take_updates(&mut self) -> bool {
        loop {
            match self.traffic.updates.try_recv() {
                Ok(Update::RoutingTable(routing_table)) => self.routing_table = Some(routing_table),
                Ok(Update::Confirm(pause_id)) => self.end_hold(pause_id),
                Err(TryRecvError::Empty) => return true,
                Err(TryRecvError::Disconnected) => return false,
            }
        }
    }

    fn handle_batch(&mut self, buf: &mut [u8]) -> io::Result<()> {
        let mut next = udp::receive(&self.traffic.socket, buf)?;
        self.check_pause();
        for _ in 0..BATCH_PACKETS {
            let Some(len) = next else {
                return Ok(());
            };
            self.handle(&buf[..len]);
            next = udp::receive_ready(&self.traffic.socket, buf)?;
            self.check_pause();
        }
        let Some(len) = next else {
            return Ok(());
        };
        self.handle(&buf[..len]);
        Ok(())
    }

    fn check_pause(&mut self) {
        let Some(pause_id) = self.pause_detector.record_turn(self.traffic.clock.now()) else {
            return;
        };
        // Sending fails only when the control thread has ended; the loop then
        // ends before the next batch.
        let _ = self.traffic.events.send(Event::Paused(pause_id));
    }

    fn end_hold(&mut self, pause_id: PauseId) {
        self.pause_detector.confirm(pause_id);
        for packet in self.held_packets.take() {
            self.handle(&packet);
        }
    }

    fn handle(&mut self, packet: &[u8]) {
        if self.pause_detector.is_holding() {
            if !self.held_packets.keep(packet) {
                self.counters.held.increment(1);
            }
            return;
        }
        let Some(routing_table) = &self.routing_table else {
            return self.counters.held.increment(1);
        };
        let member = match route(routing_table, packet) {
            Ok(member) => member,
            Err(reason) => return self.counters.count_drop(reason),
        };
        let header = Header {
            sender: self.traffic.me,
            config: routing_table.version,
            hops: 1,
            to_owner: false,
        };
        self.send_buf.clear();
        header.write(&self.traffic.key, packet, &mut self.send_buf);
        match self.traffic.socket.send_to(&self.send_buf, member.agent) {
            Ok(_) => self.counters.forwarded.increment(1),
            // A failed send counts as packet loss: TCP retransmits.
            Err(_) => self.counters.send_failed.increment(1),
        }
    }
}

impl Counters {
    fn new() -> Counters {
        Counters {
            forwarded: counter!("balancer_packets_forwarded_total"),
            malformed: drop_counter("malformed"),
            unknown_service: drop_counter("unknown_service"),
            no_member: drop_counter("no_member"),
            held: drop_counter("held"),
            send_failed: drop_counter("send_failed"),
        }
    }

    fn count_drop(&self, reason: DropReason) {
        match reason {
            DropReason::Malformed(_) => self.malformed.increment(1),
            DropReason::UnknownService => self.unknown_service.increment(1),
            DropReason::NoMember => self.no_member.increment(1),
        }
    }
}

fn drop_counter(reason: &'static str) -> Counter {
    counter!("balancer_packets_dropped_total", "reason" => reason)
}

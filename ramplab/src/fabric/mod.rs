//! Simulated network fabric between callers and the fleet.
//!
//! A caller connects to a local TCP port. For each such connection the fabric opens
//! another in user space, from a virtual caller address to the service's address, and
//! sends each of its packets to a balancer picked at random. Packets that agents send
//! back go to the connection they belong to.

pub mod caller_addresses;
pub mod connection;
pub mod device;
pub mod instance_list;
pub mod link;
pub mod packet_counters;

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ramp_protocol::packet::Segment;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::fabric::caller_addresses::CallerAddresses;
use crate::fabric::link::Faults;
use crate::fabric::link::Link;
use crate::fabric::packet_counters::PacketCounters;
use crate::history::EventData;
use crate::history::Writer;

/// Size of the receive buffer, the longest datagram accepted.
const MAX_DATAGRAM_LEN_BYTES: usize = 64 * 1024;

/// Sending end of the queue of packets for one connection.
type Inbox = mpsc::UnboundedSender<AgentPacket>;

/// A packet received from an agent, and the agent's address.
struct AgentPacket {
    packet: Vec<u8>,
    from: SocketAddr,
}

/// State shared by the tasks of the fabric.
pub struct Fabric {
    socket: UdpSocket,
    balancers: RefCell<Vec<SocketAddrV4>>,
    link: Link,
    packet_counters: RefCell<PacketCounters>,
    caller_addresses: RefCell<CallerAddresses>,
    inboxes: RefCell<HashMap<SocketAddrV4, Inbox>>,
    history: RefCell<Option<Writer>>,
    keep_alive_ms: u64,
    seed: u64,
}

/// Direction of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Direction {
    /// From a caller to a balancer.
    ToBalancer,
    /// From the agent with this address to a caller.
    ToCaller(SocketAddr),
}

impl Fabric {
    /// Creates a fabric that exchanges packets over `socket` and has no balancers
    /// yet.
    pub fn new(socket: UdpSocket, faults: Faults, keep_alive_ms: u64, seed: u64) -> Rc<Fabric> {
        Rc::new(Fabric {
            socket,
            balancers: RefCell::default(),
            link: Link::new(faults, seed),
            packet_counters: RefCell::default(),
            caller_addresses: RefCell::default(),
            inboxes: RefCell::default(),
            history: RefCell::default(),
            keep_alive_ms,
            seed,
        })
    }

    /// Replaces the balancers over which packets are distributed.
    pub fn set_balancers(&self, balancers: Vec<SocketAddrV4>) {
        *self.balancers.borrow_mut() = balancers;
    }

    /// Records events in `history` from now on.
    pub fn set_history(&self, history: Writer) {
        *self.history.borrow_mut() = Some(history);
    }

    /// Packet counts so far, as JSON.
    pub fn counts(&self) -> serde_json::Value {
        self.packet_counters
            .borrow()
            .to_json(self.inboxes.borrow().len())
    }

    /// Accepts callers' connections to `service`; never returns.
    pub async fn listen(self: Rc<Self>, listener: TcpListener, service: SocketAddrV4) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    spawn_local(self.clone().run_connection(stream, service));
                }
                Err(err) => {
                    log::warn!("cannot accept a connection of a caller: {err}");
                    tokio::task::yield_now().await;
                }
            }
        }
    }

    /// Receives packets from agents; never returns.
    pub async fn receive(self: Rc<Self>) {
        let mut buf = vec![0; MAX_DATAGRAM_LEN_BYTES];
        loop {
            let Ok((len, from)) = self.socket.recv_from(&mut buf).await else {
                continue;
            };
            self.packet_counters
                .borrow_mut()
                .count_from_agent(from, len);
            self.transmit(Direction::ToCaller(from), buf[..len].to_vec());
        }
    }

    /// Delivers delayed packets when they are due; never returns.
    pub async fn deliver_delayed(self: Rc<Self>) {
        loop {
            let (direction, packet) = self.link.next_due_packet().await;
            self.deliver(direction, packet);
        }
    }

    /// Sends a packet over the simulated link, subject to its faults.
    fn transmit(&self, direction: Direction, packet: Vec<u8>) {
        let faults = self.link.draw_faults();
        let mut packet_counters = self.packet_counters.borrow_mut();
        packet_counters.count_faults(&faults);
        drop(packet_counters);
        if faults.lost {
            return;
        }
        if let Some(delay) = faults.duplicate_delay {
            self.schedule(direction, packet.clone(), delay);
        }
        self.schedule(direction, packet, faults.delay);
    }

    fn record(&self, what: EventData) {
        if let Some(history) = &mut *self.history.borrow_mut() {
            history.write(what);
        }
    }

    fn schedule(&self, direction: Direction, packet: Vec<u8>, delay: Duration) {
        if delay.is_zero() {
            self.deliver(direction, packet);
        } else {
            self.link.delay_packet(direction, packet, delay);
        }
    }

    fn deliver(&self, direction: Direction, packet: Vec<u8>) {
        match direction {
            Direction::ToBalancer => self.deliver_to_balancer(&packet),
            Direction::ToCaller(from) => self.deliver_to_caller(packet, from),
        }
    }

    fn deliver_to_balancer(&self, packet: &[u8]) {
        let balancers = self.balancers.borrow();
        let mut packet_counters = self.packet_counters.borrow_mut();
        if balancers.is_empty() {
            packet_counters.no_balancer += 1;
            return;
        }
        let to = balancers[self.link.pick_balancer(balancers.len())];
        match self.socket.try_send_to(packet, to.into()) {
            Ok(len) => {
                if packet_counters.count_to_balancer(to, len) {
                    self.record(EventData::PacketAt { address: to.into() });
                }
            }
            // Packets are dropped when the send buffer is full, as on a real link.
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => packet_counters.full += 1,
            Err(_) => packet_counters.failed += 1,
        }
    }

    fn deliver_to_caller(&self, packet: Vec<u8>, from: SocketAddr) {
        let Ok(segment) = Segment::parse(&packet) else {
            self.packet_counters.borrow_mut().malformed += 1;
            return;
        };
        // The segment is parsed as sent towards the service, so on the way back the
        // caller's address is in the place of the service's.
        let to = segment.key.service;
        if let Some(inbox) = self.inboxes.borrow().get(&to) {
            let _ = inbox.send(AgentPacket { packet, from });
            return;
        }
        self.packet_counters.borrow_mut().unknown += 1;
        // Like a caller's host, answers a segment of an unknown connection by a reset.
        if !segment.rst {
            self.transmit(Direction::ToBalancer, segment.reset());
        }
    }
}

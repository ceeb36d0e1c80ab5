//! Stand-in for the fabric: callers' connections in, sprayed packets out.
//!
//! A caller connects to an ordinary local TCP port. The fabric opens a
//! connection of its own in user space, from a virtual caller address to the
//! service's address, and sends each of its packets to a balancer picked at
//! random. Packets that come back go to the connection they belong to.

pub mod callers;
pub mod carry;
pub mod device;
pub mod link;
pub mod tap;
pub mod watch;

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

use crate::fabric::callers::Callers;
use crate::fabric::link::Faults;
use crate::fabric::link::Link;
use crate::fabric::tap::Tap;
use crate::history::EventData;
use crate::history::Writer;

/// Longest packet taken in, in bytes.
const PACKET_LEN_BYTES: usize = 64 * 1024;

/// Queue of packets towards one connection.
type Inbox = mpsc::UnboundedSender<Returned>;

/// A packet that came back, and the agent that sent it.
struct Returned {
    packet: Vec<u8>,
    from: SocketAddr,
}

/// What the tasks of the fabric share.
pub struct Fabric {
    socket: UdpSocket,
    balancers: RefCell<Vec<SocketAddrV4>>,
    link: Link,
    tap: RefCell<Tap>,
    callers: RefCell<Callers>,
    inboxes: RefCell<HashMap<SocketAddrV4, Inbox>>,
    history: RefCell<Option<Writer>>,
    keep_alive_ms: u64,
    seed: u64,
}

/// Which way a packet goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Way {
    /// From a caller to a balancer.
    Inwards,
    /// From this agent to a caller.
    Outwards(SocketAddr),
}

impl Fabric {
    /// Fabric that exchanges packets by `socket`, with no balancers yet.
    pub fn new(socket: UdpSocket, faults: Faults, keep_alive_ms: u64, seed: u64) -> Rc<Fabric> {
        Rc::new(Fabric {
            socket,
            balancers: RefCell::default(),
            link: Link::new(faults, seed),
            tap: RefCell::default(),
            callers: RefCell::default(),
            inboxes: RefCell::default(),
            history: RefCell::default(),
            keep_alive_ms,
            seed,
        })
    }

    /// Replaces the balancers that packets are sprayed over.
    pub fn set_balancers(&self, balancers: Vec<SocketAddrV4>) {
        *self.balancers.borrow_mut() = balancers;
    }

    /// Writes each connection's end to `history` from now on.
    pub fn set_history(&self, history: Writer) {
        *self.history.borrow_mut() = Some(history);
    }

    /// Counts so far, as JSON.
    pub fn counts(&self) -> serde_json::Value {
        self.tap.borrow().to_json(self.inboxes.borrow().len())
    }

    /// Takes callers' connections to `service` for ever.
    pub async fn listen(self: Rc<Self>, listener: TcpListener, service: SocketAddrV4) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    spawn_local(self.clone().carry(stream, service));
                }
                Err(err) => {
                    log::warn!("accept: {err}");
                    tokio::task::yield_now().await;
                }
            }
        }
    }

    /// Takes packets from agents for ever.
    pub async fn receive(self: Rc<Self>) {
        let mut buf = vec![0; PACKET_LEN_BYTES];
        loop {
            let Ok((len, from)) = self.socket.recv_from(&mut buf).await else {
                continue;
            };
            self.tap.borrow_mut().returned(from, len);
            self.pass(Way::Outwards(from), buf[..len].to_vec());
        }
    }

    /// Delivers delayed packets for ever.
    pub async fn deliver_late(self: Rc<Self>) {
        loop {
            let (way, packet) = self.link.next_due().await;
            self.deliver(way, packet);
        }
    }

    /// Lets a packet pass the link, with its faults.
    fn pass(&self, way: Way, packet: Vec<u8>) {
        let fate = self.link.fate();
        let mut tap = self.tap.borrow_mut();
        tap.count_fate(&fate);
        drop(tap);
        if fate.lost {
            return;
        }
        if let Some(delay) = fate.duplicate_delay {
            self.dispatch(way, packet.clone(), delay);
        }
        self.dispatch(way, packet, fate.delay);
    }

    fn record(&self, what: EventData) {
        if let Some(history) = &mut *self.history.borrow_mut() {
            history.write(what);
        }
    }

    fn dispatch(&self, way: Way, packet: Vec<u8>, delay: Duration) {
        if delay.is_zero() {
            self.deliver(way, packet);
        } else {
            self.link.hold(way, packet, delay);
        }
    }

    fn deliver(&self, way: Way, packet: Vec<u8>) {
        match way {
            Way::Inwards => self.to_balancer(&packet),
            Way::Outwards(from) => self.to_caller(packet, from),
        }
    }

    fn to_balancer(&self, packet: &[u8]) {
        let balancers = self.balancers.borrow();
        let mut tap = self.tap.borrow_mut();
        if balancers.is_empty() {
            tap.no_balancer += 1;
            return;
        }
        let to = balancers[self.link.pick(balancers.len())];
        match self.socket.try_send_to(packet, to.into()) {
            Ok(len) => {
                if tap.sent(to, len) {
                    self.record(EventData::PacketAt { address: to.into() });
                }
            }
            // A full socket loses packets, as a real link does.
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => tap.full += 1,
            Err(_) => tap.failed += 1,
        }
    }

    fn to_caller(&self, packet: Vec<u8>, from: SocketAddr) {
        let Ok(segment) = Segment::parse(&packet) else {
            self.tap.borrow_mut().malformed += 1;
            return;
        };
        // Read the way it was sent, the destination stands as the service.
        let to = segment.key.service;
        if let Some(inbox) = self.inboxes.borrow().get(&to) {
            let _ = inbox.send(Returned { packet, from });
            return;
        }
        self.tap.borrow_mut().unknown += 1;
        // A caller's host answers a segment of no connection by a reset.
        if !segment.rst {
            self.pass(Way::Inwards, segment.reset());
        }
    }
}

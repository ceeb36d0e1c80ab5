//! Backend servers of the soak test: UDP sockets that hold flows, verify every packet,
//! and check that no new flow arrives while they drain or are evacuated.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::harness::daemon_process::Ports;
use crate::harness::daemon_process::wait_until;
use crate::harness::packet_codec;
use crate::harness::packet_codec::ACK;
use crate::harness::packet_codec::FIN;
use crate::harness::packet_codec::Packet;
use crate::harness::packet_codec::RST;
use crate::harness::packet_codec::SYN;
use crate::record::Record;
use crate::record::STORE;

/// Time after the start of a drain from which no new flow may arrive.
const DRAIN_DEADLINE: Duration = Duration::from_millis(3000);

/// Time after the start of an evacuation from which no new flow may arrive.
const EVACUATION_DEADLINE: Duration = Duration::from_millis(5000);

/// Time within which all undisturbed processes have read a record.
const READ_TIME: Duration = Duration::from_millis(2000);

/// Time for which a server remembers a flow that has ended.
const ENDED_MEMORY: Duration = Duration::from_millis(2000);

/// Distance between the initial sequence numbers of two flows of a server.
const DISTANCE_OF_ISNS: u32 = 0x0123_4567;

/// A flow at a server.
#[derive(Clone, Copy, Debug)]
struct Flow {
    /// Sequence number of the caller's opening.
    start: u32,
    isn: u32,
    /// Whether the handshake is complete.
    open: bool,
}

/// State of one server.
pub struct State {
    pub agent: String,
    pub service: String,
    /// Address of its service.
    pub address: SocketAddrV4,
    pub alive: bool,
    pub draining_since: Option<Instant>,
    pub evacuated_since: Option<Instant>,
    flows: HashMap<u16, Flow>,
    /// Flows that both ends have closed, with the time at which they ended.
    ended: HashMap<u16, (Instant, Flow)>,
    next_isn: u32,
    own_address: SocketAddrV4,
    /// Accepts the agent's connect checks; `None` while the server is not alive.
    _health: Option<TcpListener>,
}

/// A server, shared between its thread, the callers and the fault injection.
pub type Server = Arc<Mutex<State>>;

impl State {
    /// Starts the server again, without flows.
    pub fn restart(&mut self) {
        self.crash();
        self.flows.clear();
        self.ended.clear();
        self._health = Some(listen(self.own_address));
        self.alive = true;
        self.draining_since = None;
    }

    /// Ends the time in which new flows may arrive in spite of a drain or evacuation,
    /// if it was acknowledged [`READ_TIME`] ago: a restoration of the store must not
    /// give it back.
    pub fn end_deadlines(&mut self, now: Instant) {
        let limits = [
            (&mut self.draining_since, DRAIN_DEADLINE),
            (&mut self.evacuated_since, EVACUATION_DEADLINE),
        ];
        for (since, limit) in limits {
            if since.is_some_and(|since| now.duration_since(since) >= READ_TIME) {
                *since = now.checked_sub(limit).min(*since);
            }
        }
    }

    /// Stops the server, so that its flows are lost.
    pub fn crash(&mut self) {
        self.alive = false;
        self._health = None;
    }

    /// Whether the server is alive and has the open flow.
    pub fn has_open(&self, port: u16, isn: u32) -> bool {
        let flow = self.flows.get(&port);
        self.alive && flow.is_some_and(|flow| flow.open && flow.isn == isn)
    }
}

/// Starts a server at `ip`, which sends its packets to the agent on the same address.
pub fn start(
    ip: Ipv4Addr,
    ports: Ports,
    agent: &str,
    service: &str,
    address: SocketAddrV4,
    record: &Arc<Mutex<Record>>,
) -> Server {
    let own = SocketAddrV4::new(ip, ports.server);
    let state = Arc::new(Mutex::new(State {
        agent: agent.to_string(),
        service: service.to_string(),
        address,
        alive: true,
        draining_since: None,
        evacuated_since: None,
        flows: HashMap::new(),
        ended: HashMap::new(),
        next_isn: u32::from(ip) << 16,
        own_address: own,
        _health: Some(listen(own)),
    }));
    let socket = UdpSocket::bind(own).unwrap();
    let outbound = SocketAddrV4::new(ip, ports.outbound);
    let (server, record) = (Arc::clone(&state), Arc::clone(record));
    thread::spawn(move || {
        let mut buf = [0; 2048];
        while let Ok((len, _)) = socket.recv_from(&mut buf) {
            let answer = server.lock().unwrap().on_packet(&buf[..len], &record);
            if let Some(answer) = answer {
                // May fail because the agent is down.
                let _ = socket.send_to(&answer, outbound);
            }
        }
    });
    state
}

/// The server's own FIN in answer to a caller's.
fn close_of(packet: &Packet) -> Packet {
    Packet {
        ack: packet.seq.wrapping_add(1),
        ..packet.reply(FIN | ACK, packet.ack, b"")
    }
}

/// Listens at an address. Retries, because a process that is being forked holds a copy
/// of the closed listener for a moment.
fn listen(address: SocketAddrV4) -> TcpListener {
    let mut listener = None;
    wait_until("the server's port is free", || {
        listener = TcpListener::bind(address).ok();
        listener.is_some()
    });
    listener.unwrap()
}

impl State {
    fn on_packet(&mut self, buf: &[u8], record: &Mutex<Record>) -> Option<Vec<u8>> {
        if !self.alive {
            return None;
        }
        let Some(packet) = Packet::decode(buf) else {
            let what = format!("{} got a packet that was altered", self.agent);
            record.lock().unwrap().add_violation(&what);
            return None;
        };
        if packet.has(SYN) && packet.has(ACK) {
            let what = format!("{} got a server's answer", self.agent);
            record.lock().unwrap().add_violation(&what);
            return None;
        }
        let port = packet.from.port();
        if packet.opens() {
            let held = self.flows.get(&port);
            if held.is_some_and(|flow| flow.open && flow.start != packet.seq) {
                return Some(packet_codec::as_bounced(buf));
            }
            self.check_new_flow(&packet, &mut record.lock().unwrap());
            return Some(self.accept(&packet).encode());
        }
        let Some(flow) = self.flows.get_mut(&port).filter(|h| h.isn == packet.ack) else {
            return self.answer_without_flow(&packet, buf);
        };
        flow.open = true;
        if packet.has(FIN) {
            self.ended.insert(port, (Instant::now(), *flow));
            self.flows.remove(&port);
            return Some(close_of(&packet).encode());
        }
        let id = String::from_utf8_lossy(&packet.data).into_owned();
        if !id.is_empty() && !record.lock().unwrap().sent_requests.contains(&id) {
            let what = format!("{} ran a request that nobody sent: {id}", self.agent);
            record.lock().unwrap().add_violation(&what);
        }
        Some(packet.reply(ACK, packet.ack, &packet.data).encode())
    }

    /// Answers a packet of a flow that the server does not have. While it remembers an
    /// ended one from the same port, it answers data with a reset, a FIN of that flow
    /// with another FIN, and nothing else.
    fn answer_without_flow(&mut self, packet: &Packet, buf: &[u8]) -> Option<Vec<u8>> {
        let remembered = self.ended.get(&packet.from.port());
        let remembered = remembered.filter(|(at, _)| at.elapsed() < ENDED_MEMORY);
        let Some((_, ended)) = remembered else {
            return Some(packet_codec::as_bounced(buf));
        };
        if packet.has(FIN) && packet.ack == ended.isn {
            return Some(close_of(packet).encode());
        }
        let reset = Packet {
            ack: ended.start.wrapping_add(1),
            ..packet.reply(RST | ACK, ended.isn, b"")
        };
        (!packet.data.is_empty()).then(|| reset.encode())
    }

    fn accept(&mut self, packet: &Packet) -> Packet {
        let port = packet.from.port();
        self.next_isn = self.next_isn.wrapping_add(DISTANCE_OF_ISNS);
        let new = Flow {
            start: packet.seq,
            isn: self.next_isn,
            open: false,
        };
        self.ended.remove(&port);
        let flow = self.flows.entry(port).or_insert(new);
        if flow.start != packet.seq {
            *flow = new;
        }
        Packet {
            ack: packet.seq.wrapping_add(1),
            ..packet.reply(SYN | ACK, flow.isn, b"")
        }
    }

    fn check_new_flow(&self, packet: &Packet, record: &mut Record) {
        if packet.to != self.address {
            let what = format!("{} got a flow of {}", self.agent, packet.to);
            record.add_violation(&what);
        }
        let limits = [
            ("drains", self.draining_since, DRAIN_DEADLINE),
            ("is evacuated", self.evacuated_since, EVACUATION_DEADLINE),
        ];
        for (why, since, limit) in limits {
            // It is not known which balancer sent the SYN, so disruptions of any of
            // them count.
            let sources = [STORE, "balancer", &self.agent];
            let undisturbed = since.and_then(|since| record.undisturbed_since(&sources, since));
            if undisturbed.is_some_and(|undisturbed| undisturbed.elapsed() > limit) {
                let what = format!("{} {why} and got a new flow", self.agent);
                record.add_violation(&what);
            }
        }
    }
}

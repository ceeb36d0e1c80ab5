//! Callers of the soak test. Some send many requests on one flow, some open a flow for
//! each request. Every other new flow is opened from the port of the caller's last one.
//! They record how each attempt ends and check every reset.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use ramp_coordination::random::Random;

use crate::harness::packet_codec::ACK;
use crate::harness::packet_codec::FIN;
use crate::harness::packet_codec::Packet;
use crate::harness::packet_codec::RST;
use crate::harness::packet_codec::SYN;
use crate::record::Record;
use crate::servers::Server;

/// Maximum wait for a packet before timers are checked.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(2);

/// Times after the first SYN at which a caller sends it, the first included.
const SYN_SEND_TIMES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(600),
];
/// Time after the first SYN at which a caller gives up.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1400);

/// Delay before the first retransmission of a request; it doubles with each one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1600);

/// Time after which a caller gives up a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);

/// Maximum pause between two requests of one caller.
const MAX_PAUSE_MS: u64 = 150;

/// Time for which a caller that has sent its FIN waits for the server's.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);

/// How far the sequence number of a reset may be from what the caller expects on an open
/// flow.
const RESET_WINDOW_BYTES: u32 = 76_800;

/// One in this many callers opens a new flow for each request.
const FLOW_PER_REQUEST_ONE_IN: usize = 3;

/// The routers in front of the balancers: which balancers they use, and how many
/// packets they lose and duplicate.
pub struct Routers {
    pub balancers: Vec<Ipv4Addr>,
    pub in_rotation: Vec<bool>,
    /// Lost packets per thousand.
    pub loss_per_mille: u64,
    /// Duplicated packets per thousand.
    pub duplicate_per_mille: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FlowState {
    Opening,
    Idle,
    AwaitingResponse,
    Closing,
}

struct Caller {
    flow_per_request: bool,
    service: SocketAddrV4,
    port: u16,
    /// Port of the last flow; zero: there was none.
    last_port: u16,
    state: FlowState,
    /// Initial sequence number of the server.
    isn: u32,
    seq: u32,
    request: String,
    started_at: Instant,
    attempts: u32,
    next_at: Instant,
}

/// All callers of a run, on one socket.
pub struct Callers {
    socket: UdpSocket,
    ip: Ipv4Addr,
    data_port: u16,
    routers: Arc<Mutex<Routers>>,
    record: Arc<Mutex<Record>>,
    servers: Vec<Server>,
    callers: Vec<Caller>,
    random: Random,
    next_port: u16,
    next_request: u64,
}

impl Callers {
    pub fn new(
        ip: Ipv4Addr,
        data_port: u16,
        routers: Arc<Mutex<Routers>>,
        record: Arc<Mutex<Record>>,
        servers: Vec<Server>,
        seed: u64,
    ) -> Callers {
        let socket = UdpSocket::bind((ip, data_port)).unwrap();
        socket.set_read_timeout(Some(RECEIVE_TIMEOUT)).unwrap();
        Callers {
            socket,
            ip,
            data_port,
            routers,
            record,
            servers,
            callers: Vec::new(),
            random: Random::new(seed),
            next_port: 1024,
            next_request: 0,
        }
    }

    pub fn add(&mut self, service: SocketAddrV4, count: usize) {
        for n in 0..count {
            let now = Instant::now();
            self.callers.push(Caller {
                flow_per_request: n % FLOW_PER_REQUEST_ONE_IN == 0,
                service,
                port: 0,
                last_port: 0,
                state: FlowState::Idle,
                isn: 0,
                seq: 0,
                request: String::new(),
                started_at: now,
                attempts: 0,
                next_at: now + Duration::from_millis(self.random.below(MAX_PAUSE_MS)),
            });
        }
    }

    /// Handles all packets that have arrived, then all timers that are due.
    pub fn poll(&mut self) {
        let mut buf = [0; 2048];
        while let Ok((len, _)) = self.socket.recv_from(&mut buf) {
            match Packet::decode(&buf[..len]) {
                Some(packet) => self.on_packet(&packet),
                None => self.add_violation("a caller got a packet that was altered"),
            }
        }
        for index in 0..self.callers.len() {
            if Instant::now() >= self.callers[index].next_at {
                self.run_timer(index);
            }
        }
    }

    fn run_timer(&mut self, index: usize) {
        let caller = &mut self.callers[index];
        let elapsed = caller.started_at.elapsed();
        match caller.state {
            FlowState::Idle if caller.port == 0 => self.open_flow(index),
            FlowState::Idle => self.start_request(index),
            FlowState::Opening if elapsed >= OPEN_TIMEOUT => {
                self.record.lock().unwrap().outcomes.unopened += 1;
                self.close(index);
            }
            FlowState::Opening => self.send_opening(index),
            FlowState::AwaitingResponse if elapsed >= REQUEST_TIMEOUT => {
                self.record.lock().unwrap().outcomes.unanswered += 1;
                self.close(index);
            }
            FlowState::AwaitingResponse => self.send_request(index),
            FlowState::Closing => self.close(index),
        }
    }

    fn open_flow(&mut self, index: usize) {
        self.next_port = if self.next_port < 60_000 {
            self.next_port + 1
        } else {
            1025
        };
        let reuse = self.random.below(2) == 0;
        let start = self.random.below(1 << 32) as u32;
        let caller = &mut self.callers[index];
        let reused = Some(caller.last_port).filter(|port| reuse && *port != 0);
        caller.port = reused.unwrap_or(self.next_port);
        caller.last_port = caller.port;
        caller.seq = start;
        caller.state = FlowState::Opening;
        caller.started_at = Instant::now();
        caller.attempts = 0;
        self.send_opening(index);
    }

    fn send_opening(&mut self, index: usize) {
        let caller = &mut self.callers[index];
        let copy = caller.attempts;
        caller.attempts += 1;
        let next = SYN_SEND_TIMES.get(caller.attempts as usize).copied();
        caller.next_at = caller.started_at + next.unwrap_or(OPEN_TIMEOUT);
        self.send(index, SYN, copy, b"");
    }

    fn start_request(&mut self, index: usize) {
        self.next_request += 1;
        let id = format!("r-{}", self.next_request);
        self.record.lock().unwrap().sent_requests.insert(id.clone());
        let caller = &mut self.callers[index];
        caller.request = id;
        caller.state = FlowState::AwaitingResponse;
        caller.started_at = Instant::now();
        caller.attempts = 0;
        self.send_request(index);
    }

    fn send_request(&mut self, index: usize) {
        let caller = &mut self.callers[index];
        let retry_delay = (MIN_RETRY_DELAY * 2u32.pow(caller.attempts.min(8))).min(MAX_RETRY_DELAY);
        caller.attempts += 1;
        caller.next_at = Instant::now() + retry_delay;
        let (isn, data) = (caller.isn, caller.request.clone());
        self.send(index, ACK, isn, data.as_bytes());
    }

    fn on_packet(&mut self, packet: &Packet) {
        let port = packet.to.port();
        let Some(index) = self.callers.iter().position(|c| c.port == port) else {
            return;
        };
        if packet.from != self.callers[index].service {
            return self.add_violation("a caller got a packet of another flow");
        }
        if packet.has(RST) {
            return self.on_reset(index, packet);
        }
        let caller = &mut self.callers[index];
        let data = String::from_utf8_lossy(&packet.data).into_owned();
        match caller.state {
            FlowState::Opening if packet.has(SYN) => {
                caller.isn = packet.seq;
                caller.state = FlowState::Idle;
                self.start_request(index);
            }
            FlowState::AwaitingResponse if data == caller.request => self.on_response(index),
            FlowState::Closing if packet.has(FIN) && packet.seq == caller.isn => {
                caller.seq = caller.seq.wrapping_add(1);
                let after_fin = caller.isn.wrapping_add(1);
                self.send(index, ACK, after_fin, b"");
                self.close(index);
            }
            FlowState::Idle
            | FlowState::Opening
            | FlowState::AwaitingResponse
            | FlowState::Closing => {}
        }
    }

    fn on_response(&mut self, index: usize) {
        self.record.lock().unwrap().outcomes.served += 1;
        let pause = Duration::from_millis(self.random.below(MAX_PAUSE_MS));
        let caller = &mut self.callers[index];
        caller.seq = caller.seq.wrapping_add(caller.request.len() as u32);
        caller.state = FlowState::Idle;
        caller.next_at = Instant::now() + pause;
        if caller.flow_per_request {
            let isn = caller.isn;
            caller.state = FlowState::Closing;
            caller.next_at = Instant::now() + CLOSE_TIMEOUT;
            self.send(index, FIN | ACK, isn, b"");
        }
    }

    fn on_reset(&mut self, index: usize, packet: &Packet) {
        let caller = &self.callers[index];
        let (port, isn) = (caller.port, caller.isn);
        let distance = packet.seq.wrapping_sub(isn) as i32;
        if caller.state != FlowState::Opening && distance.unsigned_abs() > RESET_WINDOW_BYTES {
            // On an open flow such a reset has no effect.
            return;
        }
        if caller.state == FlowState::Opening {
            self.record.lock().unwrap().outcomes.refused += 1;
            return self.close(index);
        }
        self.record.lock().unwrap().outcomes.cut += 1;
        for server in self.servers.clone() {
            let server = server.lock().unwrap();
            if server.has_open(port, isn) {
                self.check_reset(port, &server.agent);
            }
        }
        self.close(index);
    }

    /// A reset of a flow that its server still has is a violation, unless the
    /// server's record was missing and its agent was disrupted at about the same
    /// time.
    fn check_reset(&self, port: u16, agent: &str) {
        let mut record = self.record.lock().unwrap();
        let record_missing = record.was_disrupted(&record_missing(agent));
        if record_missing && record.was_disrupted(agent) {
            return;
        }
        record.add_violation(&format!(
            "flow {port} was reset though {agent}'s server has it"
        ));
    }

    fn close(&mut self, index: usize) {
        let pause = Duration::from_millis(self.random.below(MAX_PAUSE_MS));
        let caller = &mut self.callers[index];
        caller.port = 0;
        caller.state = FlowState::Idle;
        caller.next_at = Instant::now() + pause;
    }

    fn send(&mut self, index: usize, flags: u8, ack: u32, data: &[u8]) {
        let caller = &self.callers[index];
        let packet = Packet {
            from: SocketAddrV4::new(self.ip, caller.port),
            to: caller.service,
            flags,
            seq: caller.seq,
            ack,
            data: data.to_vec(),
        };
        let routers = self.routers.lock().unwrap();
        let to = routers.pick(caller.port);
        let (loss, duplicate) = (routers.loss_per_mille, routers.duplicate_per_mille);
        drop(routers);
        if self.random.below(1000) < loss {
            return;
        }
        let copies = if self.random.below(1000) < duplicate {
            2
        } else {
            1
        };
        for _ in 0..copies {
            // May fail because the balancer is down.
            let _ = self.socket.send_to(&packet.encode(), (to, self.data_port));
        }
    }

    fn add_violation(&self, what: &str) {
        self.record.lock().unwrap().add_violation(what);
    }
}

impl Routers {
    /// The balancer of a flow: by rendezvous hashing among those in rotation, or
    /// among all if none is.
    fn pick(&self, port: u16) -> Ipv4Addr {
        let all = || self.balancers.iter().zip(&self.in_rotation);
        let some = self.in_rotation.iter().any(|active| *active);
        let hash =
            |ip: Ipv4Addr| ramp_state::key::mix(u64::from(port) << 32 | u64::from(u32::from(ip)));
        let usable = all().filter(|(_, active)| **active || !some);
        let best = usable.max_by_key(|(ip, _)| hash(**ip));
        best.map_or(Ipv4Addr::UNSPECIFIED, |(ip, _)| *ip)
    }
}

/// Target name of the disruption that the record of an agent's server is missing.
pub fn record_missing(agent: &str) -> String {
    format!("record of {agent}")
}

//! Callers: some keep a flow open for many requests, some open one for each.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use ramp_coordination::random::Random;

use crate::record::Record;
use crate::servers::Server;
use crate::stand_ins::wire::ACK;
use crate::stand_ins::wire::FIN;
use crate::stand_ins::wire::Packet;
use crate::stand_ins::wire::RST;
use crate::stand_ins::wire::SYN;

/// Longest wait for a packet before timers are looked at.
const TURN: Duration = Duration::from_millis(2);

/// Moments at which an opening is sent, and when it is given up.
const OPENINGS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(600),
];
const OPENING_LIMIT: Duration = Duration::from_millis(1400);

/// First pause before a request is sent again; it doubles.
const AGAIN_FIRST: Duration = Duration::from_millis(200);
const AGAIN_LONGEST: Duration = Duration::from_millis(1600);

/// Time that a request has.
const REQUEST_LIMIT: Duration = Duration::from_millis(2500);

/// Longest pause between two requests of one caller, in milliseconds.
const PAUSE_MS: u64 = 150;

/// Share of the callers that open a flow for each request: one in so many.
const FRESH_ONE_IN: usize = 3;

/// What the routers know and lose.
pub struct Routers {
    pub balancers: Vec<Ipv4Addr>,
    pub in_rotation: Vec<bool>,
    /// Packets that are lost on their way, of a thousand.
    pub lost_per_mille: u64,
    /// Packets that arrive twice, of a thousand.
    pub doubled_per_mille: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Opening,
    Idle,
    Asking,
}

struct Caller {
    fresh: bool,
    service: SocketAddrV4,
    port: u16,
    stage: Stage,
    /// Number with which the server has opened the flow.
    isn: u32,
    seq: u32,
    request: String,
    since: Instant,
    tries: u32,
    next_at: Instant,
}

/// All callers of a run.
pub struct Callers {
    socket: UdpSocket,
    at: Ipv4Addr,
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
        at: Ipv4Addr,
        data_port: u16,
        routers: Arc<Mutex<Routers>>,
        record: Arc<Mutex<Record>>,
        servers: Vec<Server>,
        seed: u64,
    ) -> Callers {
        let socket = UdpSocket::bind((at, data_port)).unwrap();
        socket.set_read_timeout(Some(TURN)).unwrap();
        Callers {
            socket,
            at,
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
                fresh: n % FRESH_ONE_IN == 0,
                service,
                port: 0,
                stage: Stage::Idle,
                isn: 0,
                seq: 0,
                request: String::new(),
                since: now,
                tries: 0,
                next_at: now + Duration::from_millis(self.random.below(PAUSE_MS)),
            });
        }
    }

    /// One turn: what has come, then what is due.
    pub fn turn(&mut self) {
        let mut buf = [0; 2048];
        while let Ok((len, _)) = self.socket.recv_from(&mut buf) {
            match Packet::decode(&buf[..len]) {
                Some(packet) => self.take(&packet),
                None => self.violation("a caller got a packet that nobody wrote so"),
            }
        }
        for at in 0..self.callers.len() {
            if Instant::now() >= self.callers[at].next_at {
                self.act(at);
            }
        }
    }

    fn act(&mut self, at: usize) {
        let caller = &mut self.callers[at];
        let spent = caller.since.elapsed();
        match caller.stage {
            Stage::Idle if caller.port == 0 => self.open(at),
            Stage::Idle => self.ask(at),
            Stage::Opening if spent >= OPENING_LIMIT => {
                self.record.lock().unwrap().ends.unopened += 1;
                self.leave(at);
            }
            Stage::Opening => self.send_opening(at),
            Stage::Asking if spent >= REQUEST_LIMIT => {
                self.record.lock().unwrap().ends.unanswered += 1;
                self.leave(at);
            }
            Stage::Asking => self.send_request(at),
        }
    }

    fn open(&mut self, at: usize) {
        self.next_port = if self.next_port < 60_000 {
            self.next_port + 1
        } else {
            1025
        };
        let caller = &mut self.callers[at];
        caller.port = self.next_port;
        caller.seq = 1;
        caller.stage = Stage::Opening;
        caller.since = Instant::now();
        caller.tries = 0;
        self.send_opening(at);
    }

    fn send_opening(&mut self, at: usize) {
        let caller = &mut self.callers[at];
        let copy = caller.tries;
        caller.tries += 1;
        let next = OPENINGS.get(caller.tries as usize).copied();
        caller.next_at = caller.since + next.unwrap_or(OPENING_LIMIT);
        self.send(at, SYN, copy, b"");
    }

    fn ask(&mut self, at: usize) {
        self.next_request += 1;
        let id = format!("r-{}", self.next_request);
        self.record.lock().unwrap().asked.insert(id.clone());
        let caller = &mut self.callers[at];
        caller.request = id;
        caller.stage = Stage::Asking;
        caller.since = Instant::now();
        caller.tries = 0;
        self.send_request(at);
    }

    fn send_request(&mut self, at: usize) {
        let caller = &mut self.callers[at];
        let again = (AGAIN_FIRST * 2u32.pow(caller.tries.min(8))).min(AGAIN_LONGEST);
        caller.tries += 1;
        caller.next_at = Instant::now() + again;
        let (isn, data) = (caller.isn, caller.request.clone());
        self.send(at, ACK, isn, data.as_bytes());
    }

    fn take(&mut self, packet: &Packet) {
        let port = packet.to.port();
        let Some(at) = self.callers.iter().position(|c| c.port == port) else {
            return;
        };
        if packet.from != self.callers[at].service {
            return self.violation("a caller got a packet of another flow");
        }
        if packet.has(RST) {
            return self.take_reset(at);
        }
        let caller = &mut self.callers[at];
        let data = String::from_utf8_lossy(&packet.data).into_owned();
        match caller.stage {
            Stage::Opening if packet.has(SYN) => {
                caller.isn = packet.seq;
                caller.stage = Stage::Idle;
                self.ask(at);
            }
            Stage::Asking if data == caller.request => self.served(at),
            Stage::Idle | Stage::Opening | Stage::Asking => {}
        }
    }

    fn served(&mut self, at: usize) {
        self.record.lock().unwrap().ends.served += 1;
        let pause = Duration::from_millis(self.random.below(PAUSE_MS));
        let caller = &mut self.callers[at];
        caller.seq += caller.request.len() as u32;
        caller.stage = Stage::Idle;
        caller.next_at = Instant::now() + pause;
        if caller.fresh {
            let isn = caller.isn;
            self.send(at, FIN | ACK, isn, b"");
            self.leave(at);
        }
    }

    fn take_reset(&mut self, at: usize) {
        let caller = &self.callers[at];
        let (port, isn) = (caller.port, caller.isn);
        if caller.stage == Stage::Opening {
            self.record.lock().unwrap().ends.refused += 1;
            return self.leave(at);
        }
        self.record.lock().unwrap().ends.cut += 1;
        for server in self.servers.clone() {
            let server = server.lock().unwrap();
            if server.has_open(port, isn) {
                self.judge_reset(port, &server.agent);
            }
        }
        self.leave(at);
    }

    /// A reset is wrong while the flow's server has it, unless that server's
    /// record was gone and its agent unable to speak at about the same time.
    fn judge_reset(&self, port: u16, agent: &str) {
        let mut record = self.record.lock().unwrap();
        let unlisted = record.is_troubled(&unlisted(agent));
        if unlisted && record.is_troubled(agent) {
            return;
        }
        record.violation(&format!(
            "flow {port} was reset though {agent}'s server has it"
        ));
    }

    fn leave(&mut self, at: usize) {
        let pause = Duration::from_millis(self.random.below(PAUSE_MS));
        let caller = &mut self.callers[at];
        caller.port = 0;
        caller.stage = Stage::Idle;
        caller.next_at = Instant::now() + pause;
    }

    fn send(&mut self, at: usize, flags: u8, ack: u32, data: &[u8]) {
        let caller = &self.callers[at];
        let packet = Packet {
            from: SocketAddrV4::new(self.at, caller.port),
            to: caller.service,
            flags,
            seq: caller.seq,
            ack,
            data: data.to_vec(),
        };
        let routers = self.routers.lock().unwrap();
        let to = routers.pick(caller.port);
        let (lost, doubled) = (routers.lost_per_mille, routers.doubled_per_mille);
        drop(routers);
        if self.random.below(1000) < lost {
            return;
        }
        let copies = if self.random.below(1000) < doubled {
            2
        } else {
            1
        };
        for _ in 0..copies {
            // Nobody may listen there now.
            let _ = self.socket.send_to(&packet.encode(), (to, self.data_port));
        }
    }

    fn violation(&self, what: &str) {
        self.record.lock().unwrap().violation(what);
    }
}

impl Routers {
    /// The balancer of a flow, among those in rotation.
    fn pick(&self, port: u16) -> Ipv4Addr {
        let all = || self.balancers.iter().zip(&self.in_rotation);
        let some = self.in_rotation.iter().any(|rotates| *rotates);
        let hash =
            |at: Ipv4Addr| ramp_state::key::mix(u64::from(port) << 32 | u64::from(u32::from(at)));
        let usable = all().filter(|(_, rotates)| **rotates || !some);
        let best = usable.max_by_key(|(at, _)| hash(**at));
        best.map_or(Ipv4Addr::UNSPECIFIED, |(at, _)| *at)
    }
}

/// Name under which it is noted that an agent's server has no record.
pub fn unlisted(agent: &str) -> String {
    format!("record of {agent}")
}

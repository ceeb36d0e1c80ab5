//! Fixture: runs a balancer and agents as real processes, each on its own loopback
//! address. The test plays the backend servers and callers with UDP sockets.

use std::collections::BTreeSet;
use std::collections::HashSet;
use std::fs;
use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::ops::Range;
use std::path::PathBuf;
use std::process::Child;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use ramp_platform::packet::HEADER_LEN_BYTES;
use ramp_platform::packet::PlatformPacket;
use ramp_protocol::format::PacketFormat;
use serde_json::Value;

use crate::fake_store::FakeStore;
use crate::fake_store::configuration_entry;
use crate::fake_store::server_entry;
use crate::harness::daemon_process;
use crate::harness::daemon_process::Ports;
use crate::harness::daemon_process::ProcessConfig;
use crate::harness::daemon_process::send_signal;
use crate::harness::daemon_process::wait_until;
use crate::harness::packet_codec;
use crate::harness::packet_codec::ACK;
use crate::harness::packet_codec::Packet;
use crate::harness::packet_codec::SYN;

/// Interval at which a caller retransmits a packet.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a caller stops retransmitting.
const CALLER_TIMEOUT: Duration = Duration::from_millis(2500);

const SERVICE_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// Number of the next fleet; each fleet of a test process has its own addresses.
static NEXT_FLEET: AtomicU32 = AtomicU32::new(0);

/// Result of an exchange, as the caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Status(u16),
    Reset,
    Nothing,
}

/// How the backend servers behave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerBehavior {
    Normal,
    /// Forget all flows whenever a packet arrives, so that they bounce it unless it
    /// opens a flow.
    ForgetsFlows,
    /// Accept flows and requests, but answer no request.
    IgnoresRequests,
    /// Answer each request with status 503.
    Status503,
    /// Not running, although the store still lists them.
    Stopped,
}

/// Destination of the processes' standard output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    File,
    NeverRead,
    Closed,
}

struct Process {
    name: String,
    child: Child,
    /// Read end of standard output, kept open without being read.
    _pipe: Option<std::process::ChildStdout>,
}

/// The processes, fake store and sockets of one test.
pub struct Fleet {
    pub store: FakeStore,
    number: u8,
    ports: Ports,
    output: Output,
    link_mbps: Option<u64>,
    dir: PathBuf,
    processes: Vec<Process>,
    behavior: Arc<Mutex<ServerBehavior>>,
    caller: Arc<UdpSocket>,
}

/// A flow that a caller has opened.
pub struct Flow {
    caller: Arc<UdpSocket>,
    balancer: SocketAddrV4,
    port: u16,
    seq: u32,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Fleet {
    pub fn start(agents: u8) -> Fleet {
        Fleet::start_with(agents, Output::File)
    }

    pub fn start_with(agents: u8, output: Output) -> Fleet {
        let number = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        let number = (std::process::id().wrapping_mul(31).wrapping_add(number) % 200) as u8 + 20;
        let ports = Ports::pick();
        let dir = std::env::temp_dir().join(format!("ramp-{}-{number}", std::process::id()));
        fs::create_dir_all(&dir).unwrap();
        let caller = UdpSocket::bind((ip(number, 250), ports.data)).unwrap();
        let mut fleet = Fleet {
            store: FakeStore::start(),
            number,
            ports,
            output,
            link_mbps: None,
            dir,
            processes: Vec::new(),
            behavior: Arc::new(Mutex::new(ServerBehavior::Normal)),
            caller: Arc::new(caller),
        };
        fleet
            .store
            .put("op/config", &configuration_entry(3, "voucher"));
        for agent in 1..=agents {
            fleet.start_server(agent);
            fleet.write_server(agent, "ready");
            fleet.start_agent(agent);
        }
        fleet.start_balancer();
        fleet
    }

    /// Address of the server beside an agent.
    pub fn server_address(&self, agent: u8) -> String {
        format!("{}:{}", self.agent_ip(agent), self.ports.server)
    }

    /// Writes the record of the server beside an agent.
    pub fn write_server(&self, agent: u8, state: &str) {
        let entry = server_entry("voucher", &self.server_address(agent), state);
        self.store.put(&format!("servers/i-{agent}"), &entry);
    }

    pub fn start_balancer(&mut self) {
        self.start_process("balancer", None);
    }

    pub fn start_agent(&mut self, agent: u8) {
        self.start_process(&format!("agent-{agent}"), Some("voucher"));
    }

    fn start_process(&mut self, name: &str, service: Option<&str>) {
        let reader = SocketAddrV4::new(ip(self.number, 1), self.ports.control);
        let config = ProcessConfig {
            name,
            ip: self.ip_of(name),
            ports: self.ports,
            store: self.store.address,
            readers: &[reader],
            service,
            link_mbps: self.link_mbps,
        };
        let log = self.dir.join(format!("{name}.log"));
        let out = File::options().create(true).append(true).open(&log);
        let stdout = match self.output {
            Output::File => Stdio::from(out.unwrap()),
            Output::NeverRead | Output::Closed => Stdio::piped(),
        };
        let mut child = config.start(&self.dir, stdout);
        let mut pipe = child.stdout.take();
        if self.output == Output::Closed {
            pipe = None;
        }
        self.processes.push(Process {
            name: name.to_string(),
            child,
            _pipe: pipe,
        });
        wait_until("a process is ready", || config.is_ready());
    }

    /// Starts a backend server, which bounces packets of flows that it does not
    /// have.
    fn start_server(&self, agent: u8) {
        let agent_ip = self.agent_ip(agent);
        let socket = UdpSocket::bind((agent_ip, self.ports.server)).unwrap();
        // Agents check whether connections to this port are refused.
        let health = TcpListener::bind((agent_ip, self.ports.server)).unwrap();
        let outbound = SocketAddrV4::new(agent_ip, self.ports.outbound);
        let behavior = Arc::clone(&self.behavior);
        thread::spawn(move || {
            let mut health = Some(health);
            let mut flows = HashSet::new();
            let mut buf = [0; 2048];
            while let Ok((len, _)) = socket.recv_from(&mut buf) {
                let behavior = *behavior.lock().unwrap();
                if matches!(
                    behavior,
                    ServerBehavior::ForgetsFlows | ServerBehavior::Stopped
                ) {
                    flows.clear();
                }
                if behavior == ServerBehavior::Stopped {
                    health.take();
                    continue;
                }
                if let Some(answer) = serve(&buf[..len], behavior, &mut flows) {
                    socket.send_to(&answer, outbound).unwrap();
                }
            }
        });
    }

    pub fn open(&self, port: u16) -> Flow {
        assert_eq!(self.try_open(port), Answer::Status(0), "flow {port} opens");
        Flow {
            caller: Arc::clone(&self.caller),
            balancer: self.balancer(),
            port,
            seq: 100,
        }
    }

    /// Sends a SYN; the answer has status 0 if the flow opens.
    pub fn try_open(&self, port: u16) -> Answer {
        let opening = encode_packet(self.caller_ip(), port, SYN, 1, b"");
        exchange(&self.caller, self.balancer(), port, &opening)
    }

    /// Starts the balancer again, with a link of this rate in its settings.
    pub fn restart_balancer_with_link(&mut self, mbps: u64) {
        self.kill("balancer");
        self.link_mbps = Some(mbps);
        self.start_balancer();
    }

    /// Sends one packet of an upload on an open flow, without waiting for an answer.
    pub fn upload(&self, port: u16, seq: u32) {
        let data = encode_packet(self.caller_ip(), port, ACK, seq, &[b'x'; 1200]);
        self.caller.send_to(&data, self.balancer()).unwrap();
    }

    /// Sends data on a flow that no server has, without waiting for an answer.
    pub fn send_unknown(&self, port: u16) {
        let data = encode_packet(self.caller_ip(), port, ACK, 1, b"x");
        self.caller.send_to(&data, self.balancer()).unwrap();
    }

    pub fn set_servers(&self, behavior: ServerBehavior) {
        *self.behavior.lock().unwrap() = behavior;
    }

    pub fn kill(&mut self, name: &str) {
        let mut process = self.remove_process(name);
        process.child.kill().unwrap();
        process.child.wait().unwrap();
    }

    pub fn terminate(&self, name: &str) {
        let process = self.processes.iter().find(|p| p.name == name).unwrap();
        send_signal(&process.child, "-TERM");
    }

    pub fn wait_for_end(&mut self, name: &str) -> ExitStatus {
        let mut process = self.remove_process(name);
        let mut ended = None;
        wait_until("the process ends", || {
            ended = process.child.try_wait().unwrap();
            ended.is_some()
        });
        ended.unwrap()
    }

    pub fn is_ready(&self, name: &str) -> bool {
        daemon_process::is_ready(self.ip_of(name), self.ports)
    }

    pub fn metrics(&self, name: &str) -> String {
        daemon_process::http_get(
            SocketAddrV4::new(self.ip_of(name), self.ports.metrics),
            "/metrics",
        )
        .1
    }

    /// Waits for a log line that contains all of `parts`, of any process whose name
    /// starts with `name`.
    pub fn wait_for_log(&self, name: &str, parts: &[&str]) -> String {
        let mut found = None;
        wait_until(&format!("{name} logs {parts:?}"), || {
            found = self.find_log(name, parts);
            found.is_some()
        });
        found.unwrap()
    }

    /// The first such line, if there is one already.
    pub fn find_log(&self, name: &str, parts: &[&str]) -> Option<String> {
        let logs = fs::read_dir(&self.dir).unwrap().flatten();
        let logs = logs.map(|entry| entry.path()).filter(|path| {
            let file = path.file_name().unwrap().to_string_lossy().into_owned();
            file.starts_with(name) && file.ends_with(".log")
        });
        logs.flat_map(|path| lines(&path))
            .find(|line| parts.iter().all(|part| line.contains(part)))
    }

    /// Opens flows from these ports and returns the agents that confirmed them.
    pub fn agents_of_new_flows(&self, ports: Range<u16>) -> Vec<u8> {
        for port in ports.clone() {
            self.open(port);
        }
        let agents = ports.map(|port| {
            let caller = format!(":{port}\"");
            let line = self.wait_for_log("balancer", &["new flow placed", &caller]);
            let agent: Ipv4Addr = field(&line, "agent").parse().unwrap();
            agent.octets()[3] - 10
        });
        let agents: BTreeSet<u8> = agents.collect();
        agents.into_iter().collect()
    }

    fn remove_process(&mut self, name: &str) -> Process {
        let at = self.processes.iter().position(|p| p.name == name).unwrap();
        self.processes.remove(at)
    }

    fn ip_of(&self, name: &str) -> Ipv4Addr {
        match name.strip_prefix("agent-") {
            Some(agent) => self.agent_ip(agent.parse().unwrap()),
            None => ip(self.number, 1),
        }
    }

    fn agent_ip(&self, agent: u8) -> Ipv4Addr {
        ip(self.number, 10 + agent)
    }

    fn caller_ip(&self) -> Ipv4Addr {
        ip(self.number, 250)
    }

    fn balancer(&self) -> SocketAddrV4 {
        SocketAddrV4::new(ip(self.number, 1), self.ports.data)
    }
}

impl Flow {
    pub fn request(&mut self, id: &str) -> Answer {
        let SocketAddr::V4(own) = self.caller.local_addr().unwrap() else {
            unreachable!("bound to IPv4")
        };
        let text = format!("GET / HTTP/1.1\r\nBramleyramp-Request-Id: {id}\r\n\r\n");
        let data = encode_packet(*own.ip(), self.port, ACK, self.seq, text.as_bytes());
        self.seq += text.len() as u32;
        exchange(&self.caller, self.balancer, self.port, &data)
    }
}

/// Sends and retransmits `data` until a packet for `port` comes back.
fn exchange(caller: &UdpSocket, to: SocketAddrV4, port: u16, data: &[u8]) -> Answer {
    let end = Instant::now() + CALLER_TIMEOUT;
    caller.set_read_timeout(Some(RETRY_INTERVAL)).unwrap();
    let mut buf = [0; 2048];
    while Instant::now() < end {
        caller.send_to(data, to).unwrap();
        while let Ok((len, _)) = caller.recv_from(&mut buf) {
            let parsed = PlatformPacket::read_from_server(&buf[..len]).unwrap();
            if parsed.segment.key.caller.port() != port {
                continue;
            }
            if parsed.segment.rst {
                return Answer::Reset;
            }
            let text = String::from_utf8_lossy(&buf[HEADER_LEN_BYTES..len]).into_owned();
            let status = text.split(' ').nth(1).unwrap_or("0");
            return Answer::Status(status.parse().unwrap());
        }
    }
    Answer::Nothing
}

fn serve(buf: &[u8], behavior: ServerBehavior, flows: &mut HashSet<u16>) -> Option<Vec<u8>> {
    let packet = Packet::decode(buf)?;
    let port = packet.from.port();
    if packet.opens() {
        flows.insert(port);
        return Some(packet.reply(SYN | ACK, 0, b"").encode());
    }
    if !flows.contains(&port) {
        return Some(packet_codec::as_bounced(buf));
    }
    let data: &[u8] = match behavior {
        ServerBehavior::IgnoresRequests | ServerBehavior::Stopped => return None,
        ServerBehavior::Status503 => b"HTTP/1.1 503 busy\r\n\r\n",
        ServerBehavior::Normal | ServerBehavior::ForgetsFlows => b"HTTP/1.1 200 fine\r\n\r\n",
    };
    Some(packet.reply(ACK, 0, data).encode())
}

fn encode_packet(caller: Ipv4Addr, port: u16, flags: u8, seq: u32, data: &[u8]) -> Vec<u8> {
    let packet = Packet {
        from: SocketAddrV4::new(caller, port),
        to: SERVICE_ADDRESS,
        flags,
        seq,
        ack: 0,
        data: data.to_vec(),
    };
    packet.encode()
}

/// Value of a field of a JSON log line, as text.
pub fn field(line: &str, name: &str) -> String {
    let line: Value = serde_json::from_str(line).unwrap();
    match &line[name] {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn lines(path: &std::path::Path) -> Vec<String> {
    let text = fs::read_to_string(path).unwrap_or_default();
    text.lines().map(str::to_string).collect()
}

fn ip(fleet: u8, machine: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 77, fleet, machine)
}

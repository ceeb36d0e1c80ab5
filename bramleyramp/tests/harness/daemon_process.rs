//! Starts real balancer and agent processes on loopback addresses, probes them over
//! HTTP and sends them signals.

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Time after which [`wait_until`] fails the test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

/// Timeout to connect and to read, each.
const HTTP_TIMEOUT: Duration = Duration::from_millis(500);

/// Ports of the processes, the same on all addresses of a fleet.
#[derive(Clone, Copy)]
pub struct Ports {
    pub data: u16,
    pub peers: u16,
    pub outbound: u16,
    pub server: u16,
    pub ready: u16,
    pub control: u16,
    pub metrics: u16,
}

/// Configuration of a process to start.
pub struct ProcessConfig<'a> {
    pub name: &'a str,
    pub ip: Ipv4Addr,
    pub ports: Ports,
    pub store: SocketAddrV4,
    /// Addresses at which this process reaches the balancers that read the
    /// platform for the others.
    pub readers: &'a [SocketAddrV4],
    /// Service of the agent's backend server; `None` for a balancer.
    pub service: Option<&'a str>,
    /// Rate of the link in the process's settings, in Mbit/s; `None` if they have none.
    pub link_mbps: Option<u64>,
}

impl ProcessConfig<'_> {
    pub fn start(&self, dir: &Path, stdout: Stdio) -> Child {
        let file = dir.join(format!("{}.conf", self.name));
        fs::write(&file, self.settings()).unwrap();
        self.start_with(&file, stdout)
    }

    /// Starts the process with a settings file that may be written later.
    pub fn start_with(&self, file: &Path, stdout: Stdio) -> Child {
        let role = self.service.map_or("balancer", |_| "agent");
        let metrics = self.ports.metrics.to_string();
        Command::new(env!("CARGO_BIN_EXE_bramleyramp"))
            .args([role, "--on-platform", "--metrics-port", &metrics])
            .env("BRAMLEYRAMP_NODE_FILE", file)
            .stdout(stdout)
            .spawn()
            .unwrap()
    }

    pub fn settings(&self) -> String {
        let ProcessConfig {
            name, ip, ports, ..
        } = self;
        let readers: Vec<String> = self.readers.iter().map(SocketAddrV4::to_string).collect();
        let own = match self.service {
            Some(service) => format!(
                "Listen.outbound={ip}:{}\napp={ip}:{}\nService={service}\n",
                ports.outbound, ports.server
            ),
            None => format!("Listen.Control={ip}:{}\n", ports.control),
        };
        let link = self
            .link_mbps
            .map(|rate| format!("Limits.LinkMbps={rate}\n"));
        let link = link.unwrap_or_default();
        format!(
            "NodeName={name}\nListen.DataAddr={ip}:{}\nListen.Ready={ip}:{}\n\
             InternalPorts={},{}\nBounds.GraceS=4\nplatform.Address={}\nSeeds={}\n{own}{link}",
            ports.data,
            ports.ready,
            ports.peers,
            ports.peers,
            self.store,
            readers.join(",")
        )
    }

    pub fn is_ready(&self) -> bool {
        is_ready(self.ip, self.ports)
    }
}

impl Ports {
    /// Free ports, chosen by the kernel; each stays bound until all are chosen.
    pub fn pick() -> Ports {
        let held: Vec<UdpSocket> = (0..7)
            .map(|_| UdpSocket::bind("127.0.0.1:0").unwrap())
            .collect();
        let port = |index: usize| held[index].local_addr().unwrap().port();
        Ports {
            data: port(0),
            peers: port(1),
            outbound: port(2),
            server: port(3),
            ready: port(4),
            control: port(5),
            metrics: port(6),
        }
    }
}

pub fn is_ready(ip: Ipv4Addr, ports: Ports) -> bool {
    http_get(SocketAddrV4::new(ip, ports.ready), "/ready").0 == 200
}

/// Status and whole text of the answer; status 0 if there is none.
pub fn http_get(address: SocketAddrV4, path: &str) -> (u16, String) {
    let none = (0, String::new());
    let Ok(mut stream) = TcpStream::connect_timeout(&address.into(), HTTP_TIMEOUT) else {
        return none;
    };
    stream.set_read_timeout(Some(HTTP_TIMEOUT)).unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    let mut text = String::new();
    if stream.write_all(request.as_bytes()).is_err() || stream.read_to_string(&mut text).is_err() {
        return none;
    }
    let status = text.split(' ').nth(1).and_then(|s| s.parse().ok());
    (status.unwrap_or(0), text)
}

/// Sends the signal, such as `-TERM`, to the process.
pub fn send_signal(child: &Child, name: &str) {
    let pid = child.id().to_string();
    let status = Command::new("kill").args([name, &pid]).status();
    assert!(status.unwrap().success(), "kill {name} {pid}");
}

pub fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !done() {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

//! Fake processes that answer operator calls on loopback, and helpers to run the
//! binary against them.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Command;
use std::thread;
use std::time::Duration;

use ramp_protocol::message::Load;
use ramp_protocol::message::Warmth;
use ramp_protocol::operator::Document;
use ramp_protocol::operator::MemberStatus;
use ramp_protocol::operator::Readiness;
use ramp_protocol::operator::ServiceStatus;
use ramp_protocol::operator::Status;
use ramp_state::instances::Role;
use ramp_state::key::Incarnation;
use ramp_state::key::Version;
use ramp_state::ledger::Ledger;
use ramp_state::ledger::summary::Summary;
use ramp_state::ledger::summary::Window;
use ramp_state::time::Millis;
use ramp_transport::operator;
use ramp_transport::operator::OperatorSource;
use serde_json::Value;
use tokio::task::LocalSet;

/// Fixed time at which all fake processes answer, long after their start.
pub const NOW: Millis = Millis(100 * 3_600_000);

/// A process that answers operator calls with fixed values.
#[derive(Clone)]
pub struct FakeProcess {
    pub status: Status,
    pub ledger: Ledger,
    pub document: Option<Document>,
}

impl OperatorSource for FakeProcess {
    fn status(&self) -> Status {
        self.status.clone()
    }

    fn ledger(&self, window: Window) -> Summary {
        self.ledger.summary(NOW, window)
    }

    fn document(&self) -> Option<Document> {
        self.document.clone()
    }
}

impl FakeProcess {
    /// Agent `name` with configuration version 7, an empty ledger and itself as the
    /// only member.
    pub fn agent(name: &str, data_centre: &str) -> FakeProcess {
        FakeProcess {
            status: Status {
                name: name.to_string(),
                role: Role::Agent,
                data_centre: data_centre.to_string(),
                incarnation: Incarnation(1),
                uptime: Duration::from_secs(100 * 3_600),
                config: Version(7),
                readiness: Readiness::Serving,
                services: vec![ServiceStatus {
                    name: "ledger".to_string(),
                    address: SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 1), 80),
                    members: vec![member(name, data_centre)],
                }],
                flows: 12,
                drains: Vec::new(),
                platform_calls: 3,
                platform_silent: Some(Duration::from_secs(2)),
                refused: None,
            },
            ledger: Ledger::new(Millis(0)),
            document: None,
        }
    }

    /// Serves `listener` on a new thread until the test process exits.
    pub fn serve(self, listener: TcpListener) {
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            LocalSet::new().block_on(&runtime, async {
                listener.set_nonblocking(true).unwrap();
                let listener = tokio::net::TcpListener::from_std(listener).unwrap();
                operator::serve(listener, self).await;
            });
        });
    }

    /// Serves on a free port, chosen by the kernel.
    pub fn start(self) -> SocketAddrV4 {
        let (listener, address) = listen();
        self.serve(listener);
        address
    }
}

/// Exit code and output of a run of the binary.
pub struct Run {
    pub code: i32,
    pub out: String,
    pub err: String,
}

impl Run {
    /// Parses the standard output as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|err| panic!("{err}: {}", self.out))
    }
}

/// Runs the binary with `args` until it exits.
pub fn bramleyramp(args: &[&str]) -> Run {
    let output = Command::new(env!("CARGO_BIN_EXE_bramleyramp"))
        .args(args)
        .output()
        .unwrap();
    Run {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Runs the subcommand `name` against `processes`.
pub fn run_on(name: &str, processes: &[SocketAddrV4], options: &[&str]) -> Run {
    let addresses: Vec<String> = processes.iter().map(SocketAddrV4::to_string).collect();
    let mut args = vec![name];
    for address in &addresses {
        args.extend(["--process", address]);
    }
    args.extend(options);
    bramleyramp(&args)
}

/// Listener on a free port, chosen by the kernel.
pub fn listen() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        panic!("not an IPv4 address");
    };
    (listener, address)
}

/// Address at which nothing listens: no test binds this part of loopback.
pub fn unused_address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 99, 0, number), 1)
}

fn member(name: &str, data_centre: &str) -> MemberStatus {
    MemberStatus {
        name: name.to_string(),
        data_centre: data_centre.to_string(),
        alive: true,
        reachable: true,
        leaving: false,
        slots: 5,
        connections: 2_000,
        load: Some(Load {
            flows: 12,
            in_progress: 2,
            waiting: 0,
            slots: 5,
            warmth: Warmth::Warm,
            leaving: false,
        }),
    }
}

/// Starts a fake platform that publishes these documents as version 7 until the test
/// process exits.
pub fn platform(fleet: String, instances: String) -> SocketAddrV4 {
    let (listener, address) = listen();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let path = request_path(&stream);
            let text = match path.starts_with("/fleet") {
                true => &fleet,
                false => &instances,
            };
            let head = format!(
                "HTTP/1.1 200 OK\r\nx-version: 7\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
                text.len()
            );
            stream.write_all(head.as_bytes()).unwrap();
            stream.write_all(text.as_bytes()).unwrap();
        }
    });
    address
}

/// Reads the head of an HTTP request and returns its path.
fn request_path(stream: &TcpStream) -> String {
    let mut lines = BufReader::new(stream).lines().map(Result::unwrap);
    let first = lines.next().unwrap_or_default();
    lines.find(String::is_empty);
    let path = first.split(' ').nth(1).unwrap_or_default();
    path.to_string()
}

//! Test harness on loopback: agents, backend servers that follow a script, and
//! callers that send requests and read the responses.

#![allow(dead_code, reason = "each test file uses a part")]

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use ramp_coordination::group_snapshot::GroupSnapshot;
use ramp_protocol::auth::FleetKey;
use ramp_protocol::message::Load;
use ramp_protocol::message::Warmth;
use ramp_state::fleet::Policy;
use ramp_state::fleet::ServerState;
use ramp_state::key::Incarnation;
use ramp_state::key::InstanceId;
use ramp_state::key::ServiceId;
use ramp_state::key::Version;
use ramp_state::outcome::Outcome;
use ramp_state::outcome::Record;
use ramp_state::routing_table::Group;
use ramp_state::routing_table::Member;
use ramp_state::verdict::Verdict;
use ramp_transport::requests::RequestConfig;
use ramp_transport::requests::RequestContext;
use ramp_transport::requests::serve_flow;
use ramp_transport::requests::serve_peers;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

/// Time after which a test fails, so that none hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub fn run(test: impl Future<Output = ()>) {
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let limited = async { tokio::time::timeout(TEST_TIMEOUT, test).await.unwrap() };
    LocalSet::new().block_on(&rt, limited);
}

pub async fn listen() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = address(&listener);
    (listener, at)
}

fn address(listener: &TcpListener) -> SocketAddrV4 {
    match listener.local_addr().unwrap() {
        SocketAddr::V4(at) => at,
        SocketAddr::V6(_) => unreachable!("bound to IPv4"),
    }
}

/// An address where connections are refused.
pub async fn unused_address() -> SocketAddrV4 {
    listen().await.1
}

pub fn fleet_key() -> FleetKey {
    FleetKey::new([3; 16])
}

pub struct Agent {
    pub id: InstanceId,
    pub cx: Rc<RequestContext>,
    pub address: SocketAddrV4,
}

impl Agent {
    /// Starts an agent in front of `backend_server`. It also accepts requests
    /// that other agents forward.
    pub async fn start(name: &str, backend_server: SocketAddrV4) -> Agent {
        let id = InstanceId::of(name);
        let cx = RequestContext::new(RequestConfig {
            me: id,
            service: ServiceId::of("ledger"),
            backend_server,
            key: fleet_key(),
            seed: 1,
            incarnation: Incarnation(1),
            epoch: Instant::now(),
        });
        let (listener, address) = listen().await;
        spawn_local(serve_peers(cx.clone(), listener));
        Agent { id, cx, address }
    }

    /// Opens a flow to this agent, as a caller would.
    pub async fn flow(&self) -> TcpStream {
        let (listener, at) = listen().await;
        let cx = self.cx.clone();
        spawn_local(async move {
            let (stream, _) = listener.accept().await.unwrap();
            serve_flow(cx, at, TokioIo::new(stream)).await;
        });
        TcpStream::connect(at).await.unwrap()
    }

    /// Sends one request on a new flow and reads until the flow is closed.
    pub async fn send_request(&self, req: &str) -> HttpResponse {
        let mut flow = self.flow().await;
        flow.write_all(req.as_bytes()).await.unwrap();
        HttpResponse::read(&mut flow).await
    }

    /// Takes the response times of the requests recorded as served since the
    /// last call. Other records are discarded.
    pub fn take_response_times(&self) -> Vec<Duration> {
        let served = |record: Record| match record.outcome {
            Outcome::Request {
                verdict: Verdict::Served,
                took,
            } => Some(took),
            _ => None,
        };
        self.cx.records().drain().filter_map(served).collect()
    }

    /// Takes the verdicts recorded since the last call.
    pub fn take_verdicts(&self) -> Vec<Verdict> {
        let outcomes = self
            .cx
            .records()
            .drain()
            .map(|r| r.outcome)
            .collect::<Vec<_>>();
        let verdict = |outcome| match outcome {
            Outcome::Request { verdict, .. } => Some(verdict),
            _ => None,
        };
        outcomes.into_iter().filter_map(verdict).collect()
    }
}

/// Gives every agent a snapshot of the whole group, with all members idle and
/// warm.
pub fn install_group(agents: &[&Agent], policy: &Policy, leaving: &[InstanceId]) {
    let members = agents.iter().map(|a| member(a, policy, leaving)).collect();
    install_members(agents, policy, members);
}

/// Gives the agent a snapshot in which its data centre was taken out.
pub fn take_data_centre_out(agent: &Agent, policy: &Policy) {
    let member = Member {
        reachable: false,
        ..member(agent, policy, &[])
    };
    install_members(&[agent], policy, vec![member]);
}

fn install_members(agents: &[&Agent], policy: &Policy, mut members: Vec<Member>) {
    members.sort_by_key(|m| m.id);
    let load = Load {
        slots: policy.slots,
        warmth: Warmth::Warm,
        ..Load::default()
    };
    let snapshot = Arc::new(GroupSnapshot {
        version: Version(1),
        latest: Version(1),
        loads: members
            .iter()
            .map(|m| (m.id, load))
            .collect::<IndexMap<_, _>>(),
        group: Arc::new(Group {
            service: ServiceId::of("ledger"),
            name: Arc::from("ledger"),
            address: "192.0.2.1:80".parse().unwrap(),
            members,
        }),
        gone: HashSet::new(),
    });
    for agent in agents {
        agent.cx.install(snapshot.clone());
    }
}

fn member(agent: &Agent, policy: &Policy, leaving: &[InstanceId]) -> Member {
    Member {
        id: agent.id,
        name: Arc::from("member"),
        data_centre: Arc::from("east"),
        agent: agent.address,
        control: agent.address,
        reachable: true,
        state: if leaving.contains(&agent.id) {
            ServerState::Leaving
        } else {
            ServerState::In
        },
        alive: true,
        policy: Arc::new(policy.clone()),
    }
}

/// All bytes that came back on a flow, read as one HTTP response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    pub bytes: Vec<u8>,
}

impl HttpResponse {
    pub async fn read(flow: &mut TcpStream) -> HttpResponse {
        let mut bytes = Vec::new();
        let _ = flow.read_to_end(&mut bytes).await;
        HttpResponse { bytes }
    }

    pub fn head(&self) -> String {
        let text = String::from_utf8_lossy(&self.bytes);
        let (head, _) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        head.to_ascii_lowercase()
    }

    pub fn body(&self) -> &[u8] {
        let at = self.bytes.windows(4).position(|w| w == b"\r\n\r\n");
        at.map_or(&[], |at| &self.bytes[at + 4..])
    }

    pub fn status(&self) -> u16 {
        let head = self.head();
        let status = head.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> Option<String> {
        self.head().lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            (key == name).then(|| value.trim().to_string())
        })
    }

    pub fn verdict(&self) -> Option<String> {
        self.header("bramleyramp-verdict")
    }
}

/// What a fake backend server does with each connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Script {
    /// Closes the connection as soon as it is accepted.
    DieOnConnect,
    /// Closes the connection after it has read the head of the request.
    DieAfterHead,
    /// Closes the connection after it has read half of the body.
    DieMidBody,
    /// Closes the connection after it has read the request, without a response.
    DieBeforeAnswer,
    /// Closes the connection in the middle of its response.
    DieMidAnswer,
    /// Responds with `ok` to every request.
    Serve,
    /// Responds with 503 and the header that says the request did not run.
    Refuse,
    /// Reads the request and responds after [`Backend::release`] was called.
    Hold,
    /// Begins an event stream and keeps it open.
    Feed,
}

/// A fake backend server that counts the requests it receives.
pub struct Backend {
    pub address: SocketAddrV4,
    pub stats: Rc<BackendStats>,
}

#[derive(Default)]
pub struct BackendStats {
    /// Requests of which at least one byte was received.
    pub requests: Cell<u32>,
    /// Connections that the agent closed while [`Script::Hold`] held the
    /// response back.
    pub closed_by_agent: Cell<u32>,
    pub open: Cell<u32>,
    pub max_open: Cell<u32>,
    pub released: Cell<bool>,
    pub heads: RefCell<Vec<String>>,
}

impl Backend {
    pub async fn start(script: Script) -> Backend {
        let (listener, address) = listen().await;
        let stats = Rc::<BackendStats>::default();
        let shared = stats.clone();
        spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                spawn_local(handle_connection(stream, script, shared.clone()));
            }
        });
        Backend { address, stats }
    }

    pub fn release(&self) {
        self.stats.released.set(true);
    }

    pub async fn wait_for_requests(&self, count: u32) {
        while self.stats.requests.get() < count {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

async fn handle_connection(mut stream: TcpStream, script: Script, stats: Rc<BackendStats>) {
    if script == Script::DieOnConnect {
        return;
    }
    let mut buf = Vec::new();
    if !read_more(&mut stream, &mut buf).await {
        return;
    }
    stats.requests.set(stats.requests.get() + 1);
    stats.open.set(stats.open.get() + 1);
    stats
        .max_open
        .set(stats.max_open.get().max(stats.open.get()));
    respond(&mut stream, script, &stats, buf).await;
    stats.open.set(stats.open.get() - 1);
}

async fn respond(stream: &mut TcpStream, script: Script, stats: &BackendStats, mut buf: Vec<u8>) {
    let Some(head_len) = read_head(stream, &mut buf).await else {
        return;
    };
    let head = String::from_utf8_lossy(&buf[..head_len]).into_owned();
    let body_len = content_length(&head);
    stats.heads.borrow_mut().push(head);
    if script == Script::DieAfterHead {
        return;
    }
    let wanted = if script == Script::DieMidBody {
        head_len + body_len / 2
    } else {
        head_len + body_len
    };
    while buf.len() < wanted {
        if !read_more(stream, &mut buf).await {
            return;
        }
    }
    match script {
        Script::DieMidAnswer => {
            let _ = stream
                .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf")
                .await;
        }
        Script::Serve => write_ok(stream).await,
        Script::Refuse => {
            let _ = stream
                .write_all(b"HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n")
                .await;
        }
        Script::Hold => {
            while !stats.released.get() {
                let mut byte = [0; 1];
                let wait = Duration::from_millis(1);
                if let Ok(Ok(0) | Err(_)) = tokio::time::timeout(wait, stream.read(&mut byte)).await
                {
                    stats.closed_by_agent.set(stats.closed_by_agent.get() + 1);
                    return;
                }
            }
            write_ok(stream).await;
        }
        Script::Feed => {
            let _ = stream
                .write_all(
                    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                      transfer-encoding: chunked\r\n\r\n5\r\ndata\n\r\n",
                )
                .await;
            let _ = read_more(stream, &mut buf).await;
        }
        Script::DieOnConnect
        | Script::DieAfterHead
        | Script::DieMidBody
        | Script::DieBeforeAnswer => {}
    }
}

async fn write_ok(stream: &mut TcpStream) {
    let _ = stream
        .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
        .await;
    let _ = stream.read(&mut [0; 16]).await;
}

async fn read_head(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<usize> {
    loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            return Some(at + 4);
        }
        if !read_more(stream, buf).await {
            return None;
        }
    }
}

async fn read_more(stream: &mut TcpStream, buf: &mut Vec<u8>) -> bool {
    matches!(stream.read_buf(buf).await, Ok(n) if n > 0)
}

fn content_length(head: &str) -> usize {
    let line = head.lines().find_map(|line| {
        line.to_ascii_lowercase()
            .strip_prefix("content-length:")
            .map(str::to_string)
    });
    line.and_then(|len| len.trim().parse().ok()).unwrap_or(0)
}

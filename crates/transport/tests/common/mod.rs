//! Fakes on loopback: agents, scripted backend servers and callers.

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

/// No test waits longer than this for anything.
const TEST_LIMIT: Duration = Duration::from_secs(20);

pub fn run(test: impl Future<Output = ()>) {
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let limited = async { tokio::time::timeout(TEST_LIMIT, test).await.unwrap() };
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

/// An address where nobody listens.
pub async fn nobody() -> SocketAddrV4 {
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
    /// An agent before `backend_server` that takes requests of other agents.
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

    /// Opens a flow as a caller.
    pub async fn flow(&self) -> TcpStream {
        let (listener, at) = listen().await;
        let cx = self.cx.clone();
        spawn_local(async move {
            let (stream, _) = listener.accept().await.unwrap();
            serve_flow(cx, at, TokioIo::new(stream)).await;
        });
        TcpStream::connect(at).await.unwrap()
    }

    /// Sends one request on a flow of its own and reads until its end.
    pub async fn ask(&self, req: &str) -> Answer {
        let mut flow = self.flow().await;
        flow.write_all(req.as_bytes()).await.unwrap();
        Answer::read(&mut flow).await
    }

    /// Answer times of the requests recorded as served since the last call.
    pub fn served_times(&self) -> Vec<Duration> {
        let served = |record: Record| match record.outcome {
            Outcome::Request {
                verdict: Verdict::Served,
                took,
            } => Some(took),
            _ => None,
        };
        self.cx.records().drain().filter_map(served).collect()
    }

    /// Verdicts recorded since the last call.
    pub fn verdicts(&self) -> Vec<Verdict> {
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

/// Lets every agent know the whole group, all idle and warm.
pub fn acquaint(agents: &[&Agent], policy: &Policy, leaving: &[InstanceId]) {
    let members = agents.iter().map(|a| member(a, policy, leaving)).collect();
    show(agents, policy, members);
}

/// Shows the agent that its data centre was taken out.
pub fn take_out(agent: &Agent, policy: &Policy) {
    let member = Member {
        reachable: false,
        ..member(agent, policy, &[])
    };
    show(&[agent], policy, vec![member]);
}

fn show(agents: &[&Agent], policy: &Policy, mut members: Vec<Member>) {
    members.sort_by_key(|m| m.id);
    let load = Load {
        slots: policy.slots,
        warmth: Warmth::Warm,
        ..Load::default()
    };
    let picture = Arc::new(GroupSnapshot {
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
        agent.cx.install(picture.clone());
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

/// All that came back on a flow.
#[derive(Clone, Debug)]
pub struct Answer {
    pub bytes: Vec<u8>,
}

impl Answer {
    pub async fn read(flow: &mut TcpStream) -> Answer {
        let mut bytes = Vec::new();
        let _ = flow.read_to_end(&mut bytes).await;
        Answer { bytes }
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

/// What a scripted backend server does with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Script {
    /// Dies as soon as the connection is made.
    DieOnConnect,
    /// Dies when it has read the head of the request.
    DieAfterHead,
    /// Dies when it has read a part of the body.
    DieMidBody,
    /// Dies when it has read the request and before it answers.
    DieBeforeAnswer,
    /// Dies in the middle of its answer.
    DieMidAnswer,
    /// Answers `ok` to everything.
    Serve,
    /// Refuses and says that it did not run the request.
    Refuse,
    /// Reads the request and answers when [`Backend::let_go`] is called.
    Hold,
    /// Begins an event stream and keeps it open.
    Feed,
}

/// A backend server that counts what reaches it.
pub struct Backend {
    pub at: SocketAddrV4,
    pub seen: Rc<Seen>,
}

#[derive(Default)]
pub struct Seen {
    /// Requests of which at least one byte came.
    pub begun: Cell<u32>,
    /// Connections that the other side closed while a request was held.
    pub abandoned: Cell<u32>,
    pub open: Cell<u32>,
    pub most_open: Cell<u32>,
    pub let_go: Cell<bool>,
    pub heads: RefCell<Vec<String>>,
}

impl Backend {
    pub async fn start(script: Script) -> Backend {
        let (listener, at) = listen().await;
        let seen = Rc::<Seen>::default();
        let shared = seen.clone();
        spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                spawn_local(converse(stream, script, shared.clone()));
            }
        });
        Backend { at, seen }
    }

    pub fn let_go(&self) {
        self.seen.let_go.set(true);
    }

    pub async fn until_begun(&self, count: u32) {
        while self.seen.begun.get() < count {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

async fn converse(mut stream: TcpStream, script: Script, seen: Rc<Seen>) {
    if script == Script::DieOnConnect {
        return;
    }
    let mut buf = Vec::new();
    if !read_more(&mut stream, &mut buf).await {
        return;
    }
    seen.begun.set(seen.begun.get() + 1);
    seen.open.set(seen.open.get() + 1);
    seen.most_open
        .set(seen.most_open.get().max(seen.open.get()));
    answer(&mut stream, script, &seen, buf).await;
    seen.open.set(seen.open.get() - 1);
}

async fn answer(stream: &mut TcpStream, script: Script, seen: &Seen, mut buf: Vec<u8>) {
    let Some(head_len) = read_head(stream, &mut buf).await else {
        return;
    };
    let head = String::from_utf8_lossy(&buf[..head_len]).into_owned();
    let body_len = content_length(&head);
    seen.heads.borrow_mut().push(head);
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
            while !seen.let_go.get() {
                let mut byte = [0; 1];
                let wait = Duration::from_millis(1);
                if let Ok(Ok(0) | Err(_)) = tokio::time::timeout(wait, stream.read(&mut byte)).await
                {
                    seen.abandoned.set(seen.abandoned.get() + 1);
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

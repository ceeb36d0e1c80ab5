//! Operator calls over loopback connections to a fake process.

use std::cell::Cell;
use std::future::Future;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ramp_protocol::message::Load;
use ramp_protocol::message::Warmth;
use ramp_protocol::operator::Document;
use ramp_protocol::operator::Drain;
use ramp_protocol::operator::MemberStatus;
use ramp_protocol::operator::Readiness;
use ramp_protocol::operator::RefusedDocument;
use ramp_protocol::operator::ServiceStatus;
use ramp_protocol::operator::Status;
use ramp_state::instances::Role;
use ramp_state::key::Incarnation;
use ramp_state::key::InstanceId;
use ramp_state::key::ServiceId;
use ramp_state::key::Version;
use ramp_state::ledger::Ledger;
use ramp_state::ledger::event_kind;
use ramp_state::ledger::event_kind::EventKind;
use ramp_state::ledger::summary::Summary;
use ramp_state::ledger::summary::Window;
use ramp_state::outcome::Outcome;
use ramp_state::outcome::Record;
use ramp_state::time::Millis;
use ramp_transport::operator;
use ramp_transport::operator::OperatorSource;
use ramp_transport::operator::RpcError;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time;

const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

const WINDOW: Window = Window {
    lookback: Duration::from_secs(600),
    callers: true,
};

/// Fake process that answers with fixed values and counts its calls.
struct FakeProcess {
    document: Option<Document>,
    calls: Rc<Cell<u32>>,
}

impl OperatorSource for FakeProcess {
    fn status(&self) -> Status {
        self.calls.set(self.calls.get() + 1);
        status()
    }

    fn ledger(&self, window: Window) -> Summary {
        self.calls.set(self.calls.get() + 1);
        ledger().summary(Millis(20_000), window)
    }

    fn document(&self) -> Option<Document> {
        self.calls.set(self.calls.get() + 1);
        self.document.clone()
    }
}

#[test]
fn status_comes_back_whole() {
    with_fake_process(None, |address, _| async move {
        let got = operator::fetch_status(address, REPLY_TIMEOUT)
            .await
            .unwrap();
        assert_eq!(got, status());
    });
}

#[test]
fn ledger_of_every_kind_of_event_comes_back_whole() {
    with_fake_process(None, |address, _| async move {
        let got = operator::fetch_ledger(address, WINDOW, REPLY_TIMEOUT)
            .await
            .unwrap();
        assert_eq!(got, ledger().summary(Millis(20_000), WINDOW));
        assert_eq!(got.total().kinds().count(), event_kind::KIND_COUNT);
    });
}

#[test]
fn process_report_takes_one_connection() {
    with_fake_process(None, |address, calls| async move {
        let windows = vec![WINDOW, WINDOW];
        let got = operator::fetch_process_report(address, windows, REPLY_TIMEOUT)
            .await
            .unwrap();
        assert_eq!(got.status, status());
        assert_eq!(got.summaries.len(), 2);
        assert_eq!(calls.get(), 3);
    });
}

#[test]
fn document_of_a_megabyte_comes_back() {
    let document = Document {
        version: Version(9),
        text: "x".repeat(1024 * 1024),
    };
    with_fake_process(Some(document.clone()), |address, _| async move {
        let got = operator::fetch_document(address, REPLY_TIMEOUT)
            .await
            .unwrap();
        assert_eq!(got, Some(document));
    });
}

#[test]
fn no_document_is_told_apart_from_an_empty_one() {
    with_fake_process(None, |address, _| async move {
        let got = operator::fetch_document(address, REPLY_TIMEOUT)
            .await
            .unwrap();
        assert_eq!(got, None);
    });
}

#[test]
fn silent_process_is_a_timeout() {
    run(async {
        let (listener, address) = listen().await;
        let got = operator::fetch_status(address, Duration::from_millis(50)).await;
        assert!(matches!(got, Err(RpcError::Timeout(_))), "{got:?}");
        drop(listener);
    });
}

#[test]
fn absent_process_is_an_error_at_once() {
    run(async {
        // No test listens on this loopback address.
        let address = SocketAddrV4::new(Ipv4Addr::new(127, 99, 0, 1), 1);
        let got = operator::fetch_status(address, REPLY_TIMEOUT).await;
        assert!(matches!(got, Err(RpcError::Io(_))), "{got:?}");
    });
}

#[test]
fn garbage_and_an_oversized_call_hurt_no_other_call() {
    with_fake_process(None, |address, calls| async move {
        // Header of a message with one segment of 16 MB, more than the server
        // accepts in a call.
        let oversized = [0, 0, 0, 0, 0, 0, 32, 0];
        let unfinished = [0; 3];
        for bytes in [&oversized[..], &[0xff; 64][..]] {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(bytes).await.unwrap();
            // The server sends a reason and closes the connection, or resets it.
            let closed = time::timeout(REPLY_TIMEOUT, stream.read_to_end(&mut Vec::new())).await;
            assert!(closed.is_ok());
        }
        let mut held = TcpStream::connect(address).await.unwrap();
        held.write_all(&unfinished).await.unwrap();
        let got = operator::fetch_status(address, REPLY_TIMEOUT)
            .await
            .unwrap();
        assert_eq!(got, status());
        assert_eq!(calls.get(), 1);
    });
}

#[test]
fn connections_above_the_limit_are_closed_and_places_come_free_again() {
    with_fake_process(None, |address, _| async move {
        let mut held = Vec::new();
        for _ in 0..operator::MAX_CONNECTIONS {
            held.push(TcpStream::connect(address).await.unwrap());
        }
        let refused = operator::fetch_status(address, REPLY_TIMEOUT).await;
        assert!(matches!(refused, Err(RpcError::Call(_))), "{refused:?}");

        drop(held);
        // The server notices the closed connections with a delay.
        while operator::fetch_status(address, REPLY_TIMEOUT)
            .await
            .is_err()
        {
            tokio::task::yield_now().await;
        }
    });
}

fn with_fake_process<F: Future<Output = ()>>(
    document: Option<Document>,
    test: impl FnOnce(SocketAddrV4, Rc<Cell<u32>>) -> F,
) {
    run(async {
        let (listener, address) = listen().await;
        let calls = Rc::new(Cell::new(0));
        let fake = FakeProcess {
            document,
            calls: Rc::clone(&calls),
        };
        let server = tokio::task::spawn_local(operator::serve(listener, fake));
        test(address, calls).await;
        server.abort();
    });
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test);
}

async fn listen() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        panic!("not an IPv4 address");
    };
    (listener, address)
}

fn ledger() -> Ledger {
    let mut ledger = Ledger::new(Millis(1_000));
    ledger.add_lost(Millis(2_000), 3);
    for (i, kind) in event_kind::ALL.into_iter().enumerate() {
        let outcome = match kind {
            EventKind::Request(verdict) => Outcome::Request {
                verdict,
                took: Duration::from_millis(30),
            },
            EventKind::FlowOpened => Outcome::FlowOpened,
            EventKind::FlowEnded(end) => Outcome::FlowEnded(end),
        };
        let record = Record {
            caller: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, i as u8), 4000),
            service: ServiceId::of("ledger"),
            server: (i % 2 == 0).then(|| InstanceId::of("ledger-1")),
            outcome,
        };
        ledger.add(Millis(2_000 + i as u64 * 500), &record);
    }
    ledger
}

fn status() -> Status {
    Status {
        name: "ledger-1".to_string(),
        role: Role::Agent,
        data_centre: "north".to_string(),
        incarnation: Incarnation(7),
        uptime: Duration::from_millis(61_002),
        config: Version(12),
        readiness: Readiness::Draining,
        services: vec![ServiceStatus {
            name: "ledger".to_string(),
            address: SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 1), 80),
            members: vec![member("ledger-1", Some(load())), member("ledger-2", None)],
        }],
        flows: 1_999,
        drains: vec![Drain {
            server: "ledger-1".to_string(),
            flows: 1_999,
            in_progress: 4,
            time_left: Duration::from_secs(3_000),
        }],
        platform_calls: 55,
        platform_silent: Some(Duration::from_secs(2)),
        refused: Some(RefusedDocument {
            version: Version(13),
            why: "line 4: no reason given".to_string(),
        }),
    }
}

fn member(name: &str, load: Option<Load>) -> MemberStatus {
    MemberStatus {
        name: name.to_string(),
        data_centre: "north".to_string(),
        alive: load.is_some(),
        reachable: true,
        leaving: true,
        slots: 5,
        connections: 2_000,
        load,
    }
}

fn load() -> Load {
    Load {
        flows: 1_999,
        in_progress: 4,
        waiting: 1,
        slots: 5,
        warmth: Warmth::Warming,
        leaving: true,
    }
}

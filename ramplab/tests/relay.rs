//! The relay, which forwards datagrams and connections between two data centres
//! with a delay and blocks them while the network is cut.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ramplab::expected_response;
use ramplab::relay;
use ramplab::relay::Relay;
use ramplab::relay::control::parse_cuts;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// One-way delay between the two networks.
const DELAY: Duration = Duration::from_millis(30);

/// Longest time that a test may take.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Cut between the two networks that the tests use.
const CUT: &str = "127.21.1 127.21.2\n";

/// Runs a test on a single-threaded runtime, with a timeout.
fn run_test(work: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        tokio::time::timeout(TEST_TIMEOUT, work).await.unwrap();
    });
}

/// Starts forwarding datagrams to `target`; returns the address to send them to.
async fn start_udp(relay: &Rc<Relay>, target: SocketAddr) -> SocketAddr {
    let socket = UdpSocket::bind("127.21.2.2:0").await.unwrap();
    let listed = socket.local_addr().unwrap();
    spawn_local(relay::udp::serve(relay.clone(), socket, target));
    listed
}

#[test]
fn datagrams_pass_in_order_after_the_delay_and_answers_come_back() {
    run_test(async {
        let relay = Relay::new(DELAY, None);
        let near = UdpSocket::bind("127.21.1.1:0").await.unwrap();
        let far = UdpSocket::bind("127.21.2.1:0").await.unwrap();
        let listed = start_udp(&relay, far.local_addr().unwrap()).await;
        let started = Instant::now();
        for number in 0..20u8 {
            near.send_to(&[number], listed).await.unwrap();
        }
        let mut buf = [0; 8];
        let mut source = None;
        for number in 0..20u8 {
            let (len, from) = far.recv_from(&mut buf).await.unwrap();
            assert_eq!(&buf[..len], [number]);
            source = Some(from);
        }
        assert!(started.elapsed() >= DELAY);
        far.send_to(b"back", source.unwrap()).await.unwrap();
        let (len, from) = near.recv_from(&mut buf).await.unwrap();
        assert_eq!((&buf[..len], from), (&b"back"[..], listed));
    });
}

#[test]
fn nothing_passes_a_cut_until_it_heals() {
    run_test(async {
        let relay = Relay::new(Duration::ZERO, None);
        relay.set_cuts(parse_cuts(CUT).unwrap());
        let near = UdpSocket::bind("127.21.1.1:0").await.unwrap();
        let neighbour = UdpSocket::bind("127.21.2.3:0").await.unwrap();
        let far = UdpSocket::bind("127.21.2.1:0").await.unwrap();
        let listed = start_udp(&relay, far.local_addr().unwrap()).await;
        near.send_to(b"cut", listed).await.unwrap();
        neighbour.send_to(b"same network", listed).await.unwrap();
        let mut buf = [0; 16];
        let (len, _) = far.recv_from(&mut buf).await.unwrap();
        assert_eq!(&buf[..len], b"same network");
        relay.set_cuts(parse_cuts("").unwrap());
        near.send_to(b"healed", listed).await.unwrap();
        let (len, _) = far.recv_from(&mut buf).await.unwrap();
        assert_eq!(&buf[..len], b"healed");
    });
}

#[test]
fn connections_pass_whole_with_a_half_close() {
    run_test(async {
        let relay = Relay::new(Duration::from_millis(2), None);
        let target = TcpListener::bind("127.21.2.1:0").await.unwrap();
        let listener = TcpListener::bind("127.21.2.2:0").await.unwrap();
        let listed = listener.local_addr().unwrap();
        let bound = target.local_addr().unwrap();
        spawn_local(relay::tcp::serve(relay, listener, bound, true));
        spawn_local(async move {
            let (mut stream, _) = target.accept().await.unwrap();
            let mut got = Vec::new();
            stream.read_to_end(&mut got).await.unwrap();
            stream.write_all(&got).await.unwrap();
        });
        let sent = expected_response::response_bytes("relay", 300_000);
        let mut stream = TcpStream::connect(listed).await.unwrap();
        stream.write_all(&sent).await.unwrap();
        stream.shutdown().await.unwrap();
        let mut got = Vec::new();
        stream.read_to_end(&mut got).await.unwrap();
        assert!(got == sent);
    });
}

#[test]
fn malformed_cuts_are_refused() {
    assert_eq!(parse_cuts("127.21.1"), None);
    assert_eq!(parse_cuts("127.21.1 127.21.300"), None);
    assert_eq!(parse_cuts("\n").map(|cuts| cuts.len()), Some(0));
}

//! Tests the simulated fabric against an echo service in user space: bytes, closes
//! and resets must pass unchanged, also over a lossy link.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::time::Duration;

use ramplab::expected_response;
use ramplab::fabric::Fabric;
use ramplab::fabric::device::PacketQueues;
use ramplab::fabric::instance_list::BalancerList;
use ramplab::fabric::link::Faults;
use smoltcp::iface::Config;
use smoltcp::iface::Interface;
use smoltcp::iface::SocketSet;
use smoltcp::socket::tcp;
use smoltcp::time::Instant;
use smoltcp::wire::HardwareAddress;
use smoltcp::wire::IpCidr;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

const SERVICE: &str = "198.18.0.1:80";
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Echoes one connection; resets it after `resets_at` bytes, if given.
async fn echo(socket: UdpSocket, fabric_address: SocketAddr, resets_at: Option<usize>) {
    let service: SocketAddrV4 = SERVICE.parse().unwrap();
    let mut queues = PacketQueues::default();
    let config = Config::new(HardwareAddress::Ip);
    let mut iface = Interface::new(config, &mut queues, Instant::ZERO);
    iface.update_ip_addrs(|a| a.push(IpCidr::new((*service.ip()).into(), 32)).unwrap());
    iface
        .routes_mut()
        .add_default_ipv4_route(*service.ip())
        .unwrap();
    let buffer = || tcp::SocketBuffer::new(vec![0; 64 * 1024]);
    let mut server = tcp::Socket::new(buffer(), buffer());
    server.listen(service.port()).unwrap();
    let mut sockets = SocketSet::new(Vec::new());
    let handle = sockets.add(server);
    let started = std::time::Instant::now();
    let mut buf = vec![0; 64 * 1024];
    let mut seen = 0;
    loop {
        let now = Instant::from_micros(started.elapsed().as_micros() as i64);
        iface.poll(now, &mut queues, &mut sockets);
        let server = sockets.get_mut::<tcp::Socket>(handle);
        while server.can_recv() && server.can_send() {
            let room = server.send_capacity() - server.send_queue();
            let got = server.recv(|b| {
                let len = b.len().min(room);
                (len, b[..len].to_vec())
            });
            let got = got.unwrap();
            seen += got.len();
            server.send_slice(&got).unwrap();
        }
        if resets_at.is_some_and(|limit| seen >= limit) {
            server.abort();
        }
        if server.state() == tcp::State::CloseWait && !server.can_recv() {
            server.close();
        }
        iface.poll(now, &mut queues, &mut sockets);
        for packet in queues.tx.drain(..) {
            socket.send_to(&packet, fabric_address).await.unwrap();
        }
        let sleep_time = iface
            .poll_delay(now, &sockets)
            .map_or(1000, |d| d.total_micros());
        let sleep_time = Duration::from_micros(sleep_time.clamp(100, 5000));
        if let Ok(Ok((len, _))) = tokio::time::timeout(sleep_time, socket.recv_from(&mut buf)).await
        {
            queues.rx.push_back(buf[..len].to_vec());
        }
    }
}

/// Runs `caller` on a connection through a fabric with these faults.
fn through_fabric<F: Future>(
    faults: Faults,
    resets_at: Option<usize>,
    caller: impl FnOnce(TcpStream) -> F,
) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let packets = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let balancer = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let fabric_address = packets.local_addr().unwrap();
        let SocketAddr::V4(to) = balancer.local_addr().unwrap() else {
            unreachable!();
        };
        let fabric = Fabric::new(packets, faults, 0, 7);
        fabric.set_balancers(vec![to]);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let local = listener.local_addr().unwrap();
        spawn_local(fabric.clone().listen(listener, SERVICE.parse().unwrap()));
        spawn_local(fabric.clone().receive());
        spawn_local(fabric.clone().deliver_delayed());
        spawn_local(echo(balancer, fabric_address, resets_at));
        let stream = TcpStream::connect(local).await.unwrap();
        tokio::time::timeout(TEST_TIMEOUT, caller(stream))
            .await
            .unwrap()
    })
}

async fn send_and_read_back(mut stream: TcpStream, len: usize) {
    let sent = expected_response::response_bytes("echo", len);
    let expected = sent.clone();
    let (mut rx, mut tx) = stream.split();
    let send = async {
        tx.write_all(&sent).await.unwrap();
        tx.shutdown().await.unwrap();
    };
    let read = async {
        let mut got = Vec::new();
        rx.read_to_end(&mut got).await.unwrap();
        got
    };
    let ((), got) = tokio::join!(send, read);
    assert!(got == expected, "{} of {len} bytes came back", got.len());
}

#[test]
fn bytes_come_back_whole_with_a_half_close() {
    through_fabric(Faults::default(), None, |s| {
        send_and_read_back(s, 2_000_000)
    });
}

#[test]
fn bytes_come_back_whole_over_a_lossy_link() {
    let faults = Faults {
        lose: 0.01,
        duplicate: 0.05,
        reorder: 0.05,
        delay: Duration::from_millis(1),
    };
    through_fabric(faults, None, |s| send_and_read_back(s, 200_000));
}

#[test]
fn a_reset_reaches_the_caller_as_a_reset() {
    through_fabric(Faults::default(), Some(1), |mut stream| async move {
        stream.write_all(b"x").await.unwrap();
        let mut buf = [0; 16];
        loop {
            match stream.read(&mut buf).await {
                Ok(0) => panic!("closed in order"),
                Ok(_) => {}
                Err(err) => break assert_eq!(err.kind(), std::io::ErrorKind::ConnectionReset),
            }
        }
    });
}

#[test]
fn the_instance_list_names_balancers_live_and_leaving() {
    let text = "[instance b1]\nrole=balancer\naddress=127.0.0.1:1\nstate=live\n\
                [instance b2]\nrole=balancer\naddress=127.0.0.1:2\nstate=leaving\n\
                [instance a1]\nrole=agent\naddress=127.0.0.1:3\nstate=live\n";
    let balancers = BalancerList::parse(text);
    assert_eq!(balancers.live, ["127.0.0.1:1".parse().unwrap()]);
    assert_eq!(balancers.leaving, ["127.0.0.1:2".parse().unwrap()]);
}

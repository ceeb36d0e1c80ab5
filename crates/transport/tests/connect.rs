//! Connecting to a server whose accept queue is full, so that the kernel drops
//! the opening packet (SYN).

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use ramp_transport::passthrough::connect::connect;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// Time after which the listener accepts, so that its queue has room again.
const ACCEPT_DELAY: Duration = Duration::from_millis(300);

/// Shorter than one second, after which TCP retransmits an opening packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(900);

/// Creates a listener whose accept queue has room for one connection, and fills
/// it with that connection.
fn full_listener() -> (Socket, SocketAddrV4, TcpStream) {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    listener.bind(&any.into()).unwrap();
    listener.listen(0).unwrap();
    let address = listener.local_addr().unwrap().as_socket_ipv4().unwrap();
    let first = TcpStream::connect(address).unwrap();
    (listener, address, first)
}

#[tokio::test]
async fn a_lost_opening_packet_costs_less_than_a_second() {
    let (listener, address, _first) = full_listener();
    let accepting = thread::spawn(move || {
        thread::sleep(ACCEPT_DELAY);
        (listener.accept().unwrap(), listener.accept().unwrap())
    });
    let connected = connect(address, CONNECT_TIMEOUT).await;
    assert!(connected.is_ok(), "{connected:?}");
    accepting.join().unwrap();
}

#[tokio::test]
async fn nobody_is_waited_for_beyond_the_limit() {
    let (_listener, address, _first) = full_listener();
    let connected = connect(address, Duration::from_millis(200)).await;
    let err = connected.unwrap_err();
    assert_eq!(err.kind(), std::io::ErrorKind::TimedOut);
}

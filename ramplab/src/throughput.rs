//! Packets a second of a balancer's traffic thread, against a relay without
//! decisions on the same kind of sockets.

use std::collections::HashSet;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use ramp_protocol::auth::FleetKey;
use ramp_state::fleet::Fleet;
use ramp_state::key::InstanceId;
use ramp_state::routing_table::RoutingTable;
use ramp_transport::balancer::Traffic;
use ramp_transport::balancer::Update;
use ramp_transport::clock::Clock;
use ramp_transport::udp;

use crate::slopes::fleet;
use crate::slopes::packets;

/// Time for which each run sends.
const SPAN: Duration = Duration::from_secs(2);

/// Packets that a relay handles before it looks up.
const BATCH_PACKETS: usize = 64;

/// What was measured in one run.
#[derive(Clone, Copy, Debug)]
pub struct Pair {
    /// Packets a second that the relay sent on.
    pub relay: f64,
    /// Packets a second that the balancer sent on.
    pub balancer: f64,
}

impl Pair {
    /// The balancer's share of the relay's rate.
    pub fn ratio(&self) -> f64 {
        self.balancer / self.relay
    }
}

/// Measures relay and balancer one after the other.
///
/// # Errors
///
/// A socket failed.
pub fn measure() -> io::Result<Pair> {
    Ok(Pair {
        relay: run(start_relay)?,
        balancer: run(start_balancer)?,
    })
}

/// A forwarding thread and what ends it.
struct Forwarder {
    address: SocketAddrV4,
    thread: JoinHandle<io::Result<()>>,
    /// Dropped to end the thread.
    stop: Stop,
}

/// Ends a forwarding thread when dropped.
enum Stop {
    Flag(Arc<AtomicBool>),
    Updates(#[expect(dead_code, reason = "dropping it ends the thread")] flume::Sender<Update>),
}

fn run(start: impl FnOnce(SocketAddrV4) -> io::Result<Forwarder>) -> io::Result<f64> {
    let sink = bind()?;
    let forwarder = start(address(&sink)?)?;
    let received = Arc::new(AtomicU64::new(0));
    let done = Arc::new(AtomicBool::new(false));
    let counting = count(sink, Arc::clone(&received), Arc::clone(&done));
    let began = Instant::now();
    send(forwarder.address)?;
    let rate = received.load(Ordering::Relaxed) as f64 / began.elapsed().as_secs_f64();
    done.store(true, Ordering::Relaxed);
    if let Stop::Flag(flag) = &forwarder.stop {
        flag.store(true, Ordering::Relaxed);
    }
    drop(forwarder.stop);
    let _ = forwarder.thread.join();
    let _ = counting.join();
    Ok(rate)
}

/// Sends as fast as the sockets take it, for the span.
fn send(to: SocketAddrV4) -> io::Result<()> {
    let socket = bind()?;
    let packets = packets::packets(fleet::TARGET_GROUPS);
    let began = Instant::now();
    while began.elapsed() < SPAN {
        for packet in packets.iter().take(1_000) {
            let _ = socket.send_to(packet, to);
        }
    }
    Ok(())
}

fn count(socket: UdpSocket, received: Arc<AtomicU64>, done: Arc<AtomicBool>) -> JoinHandle<()> {
    thread::spawn(move || {
        let _ = socket.set_read_timeout(Some(udp::IDLE_READ_TIMEOUT));
        let mut buf = vec![0; udp::DATAGRAM_LIMIT_BYTES];
        while !done.load(Ordering::Relaxed) {
            if let Ok(Some(_)) = udp::receive(&socket, &mut buf) {
                received.fetch_add(1, Ordering::Relaxed);
            }
        }
    })
}

fn start_relay(sink: SocketAddrV4) -> io::Result<Forwarder> {
    let socket = bind()?;
    let address = address(&socket)?;
    let stop = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&stop);
    let thread = thread::spawn(move || relay(&socket, sink, &flag));
    Ok(Forwarder {
        address,
        thread,
        stop: Stop::Flag(stop),
    })
}

fn relay(socket: &UdpSocket, sink: SocketAddrV4, stop: &AtomicBool) -> io::Result<()> {
    socket.set_read_timeout(Some(udp::IDLE_READ_TIMEOUT))?;
    let mut buf = vec![0; udp::DATAGRAM_LIMIT_BYTES];
    while !stop.load(Ordering::Relaxed) {
        let mut next = udp::receive(socket, &mut buf)?;
        for _ in 0..BATCH_PACKETS {
            let Some(len) = next else {
                break;
            };
            let _ = socket.send_to(&buf[..len], sink);
            next = udp::receive_ready(socket, &mut buf)?;
        }
    }
    Ok(())
}

fn start_balancer(sink: SocketAddrV4) -> io::Result<Forwarder> {
    let socket = bind()?;
    let address = address(&socket)?;
    let (updates_tx, updates) = flume::unbounded();
    let (events, _events) = flume::unbounded();
    let view = Arc::new(RoutingTable::compile(&all_at(sink), &HashSet::new()));
    let _ = updates_tx.send(Update::RoutingTable(view));
    let traffic = Traffic {
        me: InstanceId::of("balancer"),
        key: FleetKey::new([7; 16]),
        socket,
        clock: Clock::start(),
        updates,
        events,
    };
    let thread = thread::spawn(move || traffic.run());
    Ok(Forwarder {
        address,
        thread,
        stop: Stop::Updates(updates_tx),
    })
}

/// The fleet of the size to come, all of whose agents are at the sink.
fn all_at(sink: SocketAddrV4) -> Fleet {
    let mut fleet = fleet::fleet(fleet::TARGET_GROUPS, fleet::TARGET_MEMBERS);
    for server in fleet.servers.values_mut() {
        server.agent = sink;
    }
    fleet
}

fn bind() -> io::Result<UdpSocket> {
    udp::bind(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0))
}

fn address(socket: &UdpSocket) -> io::Result<SocketAddrV4> {
    match socket.local_addr()? {
        std::net::SocketAddr::V4(address) => Ok(address),
        std::net::SocketAddr::V6(_) => Err(io::ErrorKind::Unsupported.into()),
    }
}

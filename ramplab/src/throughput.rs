//! Throughput benchmark: packets per second forwarded by a balancer's traffic
//! thread, compared with a relay that forwards everything to one address over the
//! same kind of sockets.

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

use crate::slopes::routing;
use crate::slopes::synthetic_fleet;

/// Duration of sending in each run.
const SEND_DURATION: Duration = Duration::from_secs(2);

/// Packets that the relay forwards before it checks the stop flag again.
const BATCH_PACKETS: usize = 64;

/// Rates of one relay run and one balancer run.
#[derive(Clone, Copy, Debug)]
pub struct ThroughputPair {
    /// Packets per second forwarded by the relay.
    pub relay_packets_per_s: f64,
    /// Packets per second forwarded by the balancer.
    pub balancer_packets_per_s: f64,
}

impl ThroughputPair {
    /// Rate of the balancer divided by the rate of the relay.
    pub fn ratio(&self) -> f64 {
        self.balancer_packets_per_s / self.relay_packets_per_s
    }
}

/// Measures the relay, then the balancer.
///
/// # Errors
///
/// When a socket operation failed.
pub fn measure() -> io::Result<ThroughputPair> {
    Ok(ThroughputPair {
        relay_packets_per_s: run(start_relay)?,
        balancer_packets_per_s: run(start_balancer)?,
    })
}

/// Thread under test, with its address and the means to stop it.
struct Forwarder {
    address: SocketAddrV4,
    thread: JoinHandle<io::Result<()>>,
    /// Signals the thread to stop.
    stop: Stop,
}

/// Way to stop a forwarding thread: set a flag that it polls, or drop the sender of
/// its update channel.
enum Stop {
    Flag(Arc<AtomicBool>),
    Updates(#[expect(dead_code, reason = "dropping it ends the thread")] flume::Sender<Update>),
}

fn run(start: impl FnOnce(SocketAddrV4) -> io::Result<Forwarder>) -> io::Result<f64> {
    let sink = bind()?;
    let forwarder = start(address(&sink)?)?;
    let received = Arc::new(AtomicU64::new(0));
    let stop_counting = Arc::new(AtomicBool::new(false));
    let counter_thread = count(sink, Arc::clone(&received), Arc::clone(&stop_counting));
    let started = Instant::now();
    send(forwarder.address)?;
    let rate = received.load(Ordering::Relaxed) as f64 / started.elapsed().as_secs_f64();
    stop_counting.store(true, Ordering::Relaxed);
    if let Stop::Flag(flag) = &forwarder.stop {
        flag.store(true, Ordering::Relaxed);
    }
    drop(forwarder.stop);
    let _ = forwarder.thread.join();
    let _ = counter_thread.join();
    Ok(rate)
}

/// Sends packets without pause for [`SEND_DURATION`].
fn send(to: SocketAddrV4) -> io::Result<()> {
    let socket = bind()?;
    let packets = routing::generate_packets(synthetic_fleet::TARGET_GROUP_COUNT);
    let started = Instant::now();
    while started.elapsed() < SEND_DURATION {
        for packet in packets.iter().take(1_000) {
            let _ = socket.send_to(packet, to);
        }
    }
    Ok(())
}

fn count(
    socket: UdpSocket,
    received: Arc<AtomicU64>,
    stop_counting: Arc<AtomicBool>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        let _ = socket.set_read_timeout(Some(udp::IDLE_READ_TIMEOUT));
        let mut buf = vec![0; udp::DATAGRAM_LIMIT_BYTES];
        while !stop_counting.load(Ordering::Relaxed) {
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
    let routing_table = Arc::new(RoutingTable::compile(
        &fleet_with_agents_at(sink),
        &HashSet::new(),
    ));
    let _ = updates_tx.send(Update::RoutingTable(routing_table));
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

/// Fleet of the target size with the sink as the address of every agent.
fn fleet_with_agents_at(sink: SocketAddrV4) -> Fleet {
    let mut fleet = synthetic_fleet::fleet(
        synthetic_fleet::TARGET_GROUP_COUNT,
        synthetic_fleet::TARGET_MEMBER_COUNT,
    );
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

//! User-space TCP stack of one flow. Each flow has its own interface with one
//! socket, so that the work per packet does not grow with the number of flows.

use std::net::SocketAddrV4;

use ramp_state::key::FlowKey;
use ramp_state::time::Millis;
use smoltcp::iface::Config;
use smoltcp::iface::Interface;
use smoltcp::iface::SocketHandle;
use smoltcp::iface::SocketSet;
use smoltcp::iface::SocketStorage;
use smoltcp::socket::tcp;
use smoltcp::time::Duration;
use smoltcp::time::Instant;
use smoltcp::wire::HardwareAddress;
use smoltcp::wire::IpCidr;
use smoltcp::wire::IpListenEndpoint;

use crate::agent::device::QueueDevice;

/// Size of a flow's receive buffer, which is the TCP window that callers see.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;

/// Size of a flow's send buffer.
const SEND_BUFFER_BYTES: usize = 32 << 10;

/// Idle time after which a keep-alive probe is sent to the caller.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(60);

/// Time without an acknowledgement after which the connection is aborted.
const CALLER_TIMEOUT: Duration = Duration::from_secs(180);

/// Prefix length of a single IPv4 address, in bits.
const HOST_PREFIX_BITS: u8 = 32;

/// The user-space TCP of one flow.
pub struct FlowStack {
    iface: Interface,
    sockets: SocketSet<'static>,
    handle: SocketHandle,
    device: QueueDevice,
}

impl FlowStack {
    /// Creates a stack that listens for the flow's first packet. The initial
    /// sequence number is derived from `seed`, which must differ between agents.
    pub fn listen(key: &FlowKey, seed: u64, now: Millis) -> FlowStack {
        let mut device = QueueDevice::default();
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = seed;
        let mut iface = Interface::new(config, &mut device, instant(now));
        iface.update_ip_addrs(|addrs| {
            let host = IpCidr::new((*key.service.ip()).into(), HOST_PREFIX_BITS);
            // Can't fail: an interface has room for at least one address.
            let _ = addrs.push(host);
        });
        // Allocates exactly one slot. A set that starts empty grows, and would
        // reserve memory for more sockets.
        let mut sockets = SocketSet::new(vec![SocketStorage::EMPTY]);
        let handle = sockets.add(socket(key.service));
        FlowStack {
            iface,
            sockets,
            handle,
            device,
        }
    }

    /// The flow's socket.
    pub fn socket(&mut self) -> &mut tcp::Socket<'static> {
        self.sockets.get_mut(self.handle)
    }

    /// State of the flow's connection.
    pub fn state(&self) -> tcp::State {
        self.sockets.get::<tcp::Socket<'_>>(self.handle).state()
    }

    /// Queues a packet from the caller; false when the queue is full.
    pub fn push(&mut self, packet: &[u8]) -> bool {
        self.device.push(packet)
    }

    /// Processes queued packets, data of the socket and due timers.
    pub fn poll(&mut self, now: Millis) {
        self.iface
            .poll(instant(now), &mut self.device, &mut self.sockets);
    }

    /// Removes and returns the next packet to the caller.
    pub fn pop(&mut self) -> Option<Vec<u8>> {
        self.device.pop()
    }

    /// When the stack must be polled next; none when it only waits for packets
    /// or data.
    pub fn next_timer(&mut self, now: Millis) -> Option<Millis> {
        let at = self.iface.poll_at(instant(now), &self.sockets)?;
        let at = Millis(at.total_millis().max(0) as u64);
        Some(at.max(now))
    }
}

fn socket(service: SocketAddrV4) -> tcp::Socket<'static> {
    let receive = tcp::SocketBuffer::new(vec![0; RECEIVE_BUFFER_BYTES]);
    let send = tcp::SocketBuffer::new(vec![0; SEND_BUFFER_BYTES]);
    let mut socket = tcp::Socket::new(receive, send);
    socket.set_nagle_enabled(false);
    socket.set_keep_alive(Some(KEEP_ALIVE_INTERVAL));
    socket.set_timeout(Some(CALLER_TIMEOUT));
    let endpoint = IpListenEndpoint {
        addr: Some((*service.ip()).into()),
        port: service.port(),
    };
    // Fails only for port zero. The packet's destination port was matched with
    // the configuration, which has no service at port zero.
    let _ = socket.listen(endpoint);
    socket
}

fn instant(now: Millis) -> Instant {
    Instant::from_millis(now.0 as i64)
}

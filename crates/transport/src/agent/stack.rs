//! TCP of one flow in user space: one interface with one socket, so that the
//! work for a packet does not grow with the number of flows.

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

/// Receive buffer of a flow, in bytes; the window that callers see.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;

/// Send buffer of a flow, in bytes.
const SEND_BUFFER_BYTES: usize = 32 << 10;

/// Silence after which the caller is probed.
const KEEP_ALIVE: Duration = Duration::from_secs(60);

/// Time without an acknowledgement after which the caller is given up.
const CALLER_TIMEOUT: Duration = Duration::from_secs(180);

/// Prefix of a single address, in bits.
const HOST_PREFIX_BITS: u8 = 32;

/// The user-space TCP of one flow.
pub struct FlowStack {
    iface: Interface,
    sockets: SocketSet<'static>,
    handle: SocketHandle,
    device: QueueDevice,
}

impl FlowStack {
    /// Stack that waits for the flow's first packet. The seed decides the
    /// initial sequence number, so it must differ between agents.
    pub fn listen(key: &FlowKey, seed: u64, now: Millis) -> FlowStack {
        let mut device = QueueDevice::default();
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = seed;
        let mut iface = Interface::new(config, &mut device, instant(now));
        iface.update_ip_addrs(|addrs| {
            let host = IpCidr::new((*key.service.ip()).into(), HOST_PREFIX_BITS);
            // An interface holds at least one address.
            let _ = addrs.push(host);
        });
        // One slot: a set of owned storage would grow to hold more.
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

    /// Takes a packet from the caller; false when too many wait.
    pub fn push(&mut self, packet: &[u8]) -> bool {
        self.device.push(packet)
    }

    /// Lets TCP act on packets, data and time.
    pub fn poll(&mut self, now: Millis) {
        self.iface
            .poll(instant(now), &mut self.device, &mut self.sockets);
    }

    /// Takes the next packet to the caller.
    pub fn pop(&mut self) -> Option<Vec<u8>> {
        self.device.pop()
    }

    /// When TCP wants to act next; none when only a packet or data wakes it.
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
    socket.set_keep_alive(Some(KEEP_ALIVE));
    socket.set_timeout(Some(CALLER_TIMEOUT));
    let endpoint = IpListenEndpoint {
        addr: Some((*service.ip()).into()),
        port: service.port(),
    };
    // A packet's destination port was matched with the configuration, which
    // has no service at port zero.
    let _ = socket.listen(endpoint);
    socket
}

fn instant(now: Millis) -> Instant {
    Instant::from_millis(now.0 as i64)
}

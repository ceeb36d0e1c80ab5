//! Nonblocking datagram sockets, and waiting for two of them at once.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::time::Duration;

use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;
use rustix::event::poll;
use rustix::io::Errno;

use crate::udp;

/// Maximum size of a datagram between balancers and agents, in bytes.
pub const DATAGRAM_LIMIT_BYTES: usize = 2048;

/// Maximum number of datagrams that are read from one socket before the other
/// one is read.
pub const BATCH_DATAGRAMS: usize = 64;

/// Binds a nonblocking socket.
///
/// # Errors
///
/// The address can't be bound.
pub fn bind(address: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = udp::bind(address)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Waits until a socket is readable, at most for `limit`. Returns which of them
/// are.
///
/// # Errors
///
/// Any error of the sockets except an interruption by a signal.
pub fn wait(sockets: [&UdpSocket; 2], limit: Duration) -> io::Result<[bool; 2]> {
    let [a, b] = sockets;
    let mut fds = [PollFd::new(a, PollFlags::IN), PollFd::new(b, PollFlags::IN)];
    let limit = Timespec {
        tv_sec: limit.as_secs() as i64,
        tv_nsec: i64::from(limit.subsec_nanos()),
    };
    match poll(&mut fds, Some(&limit)) {
        Ok(_) => Ok([!fds[0].revents().is_empty(), !fds[1].revents().is_empty()]),
        Err(Errno::INTR) => Ok([false, false]),
        Err(err) => Err(err.into()),
    }
}

/// Reads a datagram if one has arrived. Returns its length and its sender.
///
/// # Errors
///
/// Any error of the socket, except that there is nothing to read.
pub fn receive(socket: &UdpSocket, buf: &mut [u8]) -> io::Result<Option<(usize, Ipv4Addr)>> {
    loop {
        match socket.recv_from(buf) {
            Ok((len, SocketAddr::V4(from))) => return Ok(Some((len, *from.ip()))),
            Ok((_, SocketAddr::V6(_))) => {}
            Err(err) => match err.kind() {
                io::ErrorKind::WouldBlock => return Ok(None),
                // ConnectionRefused is an ICMP error for a datagram sent earlier;
                // it does not concern this read.
                io::ErrorKind::Interrupted | io::ErrorKind::ConnectionRefused => {}
                _ => return Err(err),
            },
        }
    }
}

//! Waiting on two datagram sockets at once, and reading them in turns.

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

/// Largest datagram between our processes, in bytes.
pub const DATAGRAM_LIMIT_BYTES: usize = 2048;

/// Datagrams read from one socket before the other has its turn.
pub const BATCH_DATAGRAMS: usize = 64;

/// Binds a socket that never blocks.
///
/// # Errors
///
/// The address can't be bound.
pub fn bind(address: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = udp::bind(address)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Waits until one of the sockets has something to read, or `limit` is over.
///
/// # Errors
///
/// Any error of the sockets but an interruption.
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

/// Reads a datagram that is already there, with its sender.
///
/// # Errors
///
/// Any error of the socket but that there is nothing.
pub fn receive(socket: &UdpSocket, buf: &mut [u8]) -> io::Result<Option<(usize, Ipv4Addr)>> {
    loop {
        match socket.recv_from(buf) {
            Ok((len, SocketAddr::V4(from))) => return Ok(Some((len, *from.ip()))),
            Ok((_, SocketAddr::V6(_))) => {}
            Err(err) => match err.kind() {
                io::ErrorKind::WouldBlock => return Ok(None),
                // A refusal of an earlier send says nothing of this read.
                io::ErrorKind::Interrupted | io::ErrorKind::ConnectionRefused => {}
                _ => return Err(err),
            },
        }
    }
}

//! UDP sockets with large buffers, and functions that read datagrams in batches:
//! one waits for the first datagram, the other takes those that follow without
//! waiting.

use std::io;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::time::Duration;

use rustix::io::Errno;
use rustix::net::RecvFlags;
use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;

/// Size of the receive and send buffers requested from the kernel.
const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// Largest datagram that is read, in bytes.
pub const DATAGRAM_LIMIT_BYTES: usize = 9216;

/// Longest time that a traffic thread waits for a packet, and so the longest
/// time until it sees an update.
pub const IDLE_READ_TIMEOUT: Duration = Duration::from_millis(100);

/// Binds a UDP socket with large buffers.
///
/// # Errors
///
/// The address can't be bound.
pub fn bind(address: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
    // The kernel may grant smaller buffers; the only effect is that more packets
    // are dropped.
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
    socket.bind(&address.into())?;
    Ok(socket.into())
}

/// Waits for a datagram, at most for the socket's read timeout, and returns its
/// length; none if no datagram was read.
///
/// # Errors
///
/// Any error of the socket other than a timeout.
pub fn receive(socket: &UdpSocket, buf: &mut [u8]) -> io::Result<Option<usize>> {
    read(socket, buf, RecvFlags::empty())
}

/// Reads a datagram without waiting and returns its length; none if no datagram
/// was read.
///
/// # Errors
///
/// Any error of the socket other than an empty queue.
pub fn receive_ready(socket: &UdpSocket, buf: &mut [u8]) -> io::Result<Option<usize>> {
    read(socket, buf, RecvFlags::DONTWAIT)
}

fn read(socket: &UdpSocket, buf: &mut [u8], flags: RecvFlags) -> io::Result<Option<usize>> {
    match rustix::net::recv(socket, buf, flags) {
        Ok((len, _)) => Ok(Some(len)),
        // CONNREFUSED is an ICMP error for a datagram sent earlier; it does not
        // concern this read.
        Err(Errno::AGAIN | Errno::INTR | Errno::CONNREFUSED) => Ok(None),
        Err(err) => Err(err.into()),
    }
}

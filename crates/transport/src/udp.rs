//! UDP sockets as the traffic threads use them: large buffers, and a batch of
//! datagrams read without waiting after the first.

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

/// Socket buffers asked of the kernel, in bytes.
const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// Largest datagram that is read, in bytes.
pub const DATAGRAM_LIMIT_BYTES: usize = 9216;

/// Read timeout of an idle traffic thread: how late it may see an update.
pub const IDLE_READ_TIMEOUT: Duration = Duration::from_millis(100);

/// Binds a UDP socket with large buffers.
///
/// # Errors
///
/// The address can't be bound.
pub fn bind(address: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
    // The kernel may give less than asked for; that costs only drops.
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
    socket.bind(&address.into())?;
    Ok(socket.into())
}

/// Waits up to the socket's read timeout for a datagram; gives its length.
///
/// # Errors
///
/// Any error of the socket but an ended wait.
pub fn receive(socket: &UdpSocket, buf: &mut [u8]) -> io::Result<Option<usize>> {
    read(socket, buf, RecvFlags::empty())
}

/// Reads a datagram that is already there; gives its length.
///
/// # Errors
///
/// Any error of the socket but that there is none.
pub fn receive_ready(socket: &UdpSocket, buf: &mut [u8]) -> io::Result<Option<usize>> {
    read(socket, buf, RecvFlags::DONTWAIT)
}

fn read(socket: &UdpSocket, buf: &mut [u8], flags: RecvFlags) -> io::Result<Option<usize>> {
    match rustix::net::recv(socket, buf, flags) {
        Ok((len, _)) => Ok(Some(len)),
        // A refusal told by an earlier destination says nothing of this read.
        Err(Errno::AGAIN | Errno::INTR | Errno::CONNREFUSED) => Ok(None),
        Err(err) => Err(err.into()),
    }
}

//! Opens TCP connections quickly even if a SYN packet is lost.
//!
//! A SYN may be lost in a network failure that is just ending, or at a listener
//! whose backlog is full. The kernel retransmits it only after one second, so a
//! new connection is attempted long before that.

use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time after which a SYN without a reply is considered lost.
const SYN_TIMEOUT: Duration = Duration::from_millis(150);

/// Opens a connection within `limit`, with retries.
///
/// # Errors
///
/// The connection was refused, or none was established in time.
pub async fn connect(address: SocketAddrV4, limit: Duration) -> io::Result<TcpStream> {
    timeout(limit, connect_with_retries(address)).await?
}

async fn connect_with_retries(address: SocketAddrV4) -> io::Result<TcpStream> {
    loop {
        let attempt = timeout(SYN_TIMEOUT, TcpStream::connect(address));
        if let Ok(result) = attempt.await {
            return result;
        }
    }
}

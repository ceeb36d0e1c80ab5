//! Opening connections that must be there soon.
//!
//! An opening packet may be lost, at a cut that is just ending or at a listener
//! whose queue is full. TCP sends it again only after a second, so another
//! connection is tried long before.

use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time after which an opening packet counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(150);

/// Opens a connection within `limit`.
///
/// # Errors
///
/// The connection is refused, or none was opened in time.
pub async fn connect(address: SocketAddrV4, limit: Duration) -> io::Result<TcpStream> {
    timeout(limit, connect_again(address)).await?
}

async fn connect_again(address: SocketAddrV4) -> io::Result<TcpStream> {
    loop {
        let connecting = timeout(LOST_AFTER, TcpStream::connect(address));
        if let Ok(result) = connecting.await {
            return result;
        }
    }
}

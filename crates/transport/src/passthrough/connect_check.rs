//! Checks whether the backend server on an agent's machine accepts connections.
//!
//! The traffic thread requests each check; the control thread connects and sends
//! the result back.

use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use ramp_coordination::passthrough::agent::ConnectResult;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::thread_messages::Update;

/// Time in which the machine must accept or refuse the connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Connects to `server` once for each request of the traffic thread.
pub async fn serve(requests: Receiver<()>, server: SocketAddrV4, updates: Sender<Update>) {
    while requests.recv_async().await.is_ok() {
        let result = check_once(server).await;
        if updates.send(Update::ConnectChecked(result)).is_err() {
            return;
        }
    }
}

async fn check_once(server: SocketAddrV4) -> ConnectResult {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(server)).await {
        Ok(Err(err)) if err.kind() == ErrorKind::ConnectionRefused => ConnectResult::Refused,
        _ => ConnectResult::NotRefused,
    }
}

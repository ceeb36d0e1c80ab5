//! Trying whether the server beside an agent takes connections.

use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use ramp_coordination::passthrough::agent::ConnectResult;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::thread_messages::Update;

/// Time that a machine has to connect or refuse.
const TRY_LIMIT: Duration = Duration::from_millis(100);

/// Tries `server` as often as the traffic thread asks for it.
pub async fn serve(tries: Receiver<()>, server: SocketAddrV4, updates: Sender<Update>) {
    while tries.recv_async().await.is_ok() {
        let reached = try_once(server).await;
        if updates.send(Update::ConnectChecked(reached)).is_err() {
            return;
        }
    }
}

async fn try_once(server: SocketAddrV4) -> ConnectResult {
    match timeout(TRY_LIMIT, TcpStream::connect(server)).await {
        Ok(Err(err)) if err.kind() == ErrorKind::ConnectionRefused => ConnectResult::Refused,
        _ => ConnectResult::NotRefused,
    }
}

//! Forwards TCP connections from one listed address to the bound address behind
//! it. While the network is cut, connections stall, and no data is lost.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::task::spawn_local;

use crate::relay::Relay;
use crate::relay::delay_queue::Receiver;
use crate::relay::delay_queue::Sender;
use crate::relay::delay_queue::delay_queue;

/// Most bytes that are read and delayed as one item.
const MAX_CHUNK_LEN_BYTES: usize = 16 * 1024;

/// Forwards the connections accepted by `listener` to `target`, and records their
/// arrivals when `records` is set. Runs until the task is dropped.
pub async fn serve(relay: Rc<Relay>, listener: TcpListener, target: SocketAddr, records: bool) {
    let Ok(listed) = listener.local_addr() else {
        return;
    };
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        if records {
            relay.record_arrival(listed);
        }
        spawn_local(relay_connection(relay.clone(), stream, from, target));
    }
}

/// Forwards one connection in both directions; on an error the accepted connection
/// is reset instead of closed.
async fn relay_connection(
    relay: Rc<Relay>,
    mut near: TcpStream,
    from: SocketAddr,
    target: SocketAddr,
) {
    relay.wait_until_connected(from.ip(), target.ip()).await;
    let relayed = async {
        let mut far = TcpStream::connect(target).await?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        let delay = relay.delay(from.ip(), target.ip());
        let (near_rx, near_tx) = near.split();
        let (far_rx, far_tx) = far.split();
        let ends = (from, target);
        tokio::try_join!(
            copy_one_way(&relay, ends, delay, near_rx, far_tx),
            copy_one_way(&relay, ends, delay, far_rx, near_tx),
        )
    };
    let relayed: io::Result<_> = relayed.await;
    if relayed.is_err() {
        let _ = socket2::SockRef::from(&near).set_linger(Some(Duration::ZERO));
    }
}

/// Copies bytes in one direction until the end of the stream.
async fn copy_one_way(
    relay: &Relay,
    ends: (SocketAddr, SocketAddr),
    delay: Duration,
    rx: ReadHalf<'_>,
    tx: WriteHalf<'_>,
) -> io::Result<()> {
    let (sender, receiver) = delay_queue(delay);
    tokio::try_join!(receive(relay, ends, rx, sender), deliver(receiver, tx)).map(|_| ())
}

/// Reads bytes into the delay queue; while the network is cut, nothing is sent on.
async fn receive(
    relay: &Relay,
    (from, target): (SocketAddr, SocketAddr),
    mut rx: ReadHalf<'_>,
    sender: Sender<Vec<u8>>,
) -> io::Result<()> {
    let mut buf = vec![0; MAX_CHUNK_LEN_BYTES];
    loop {
        let len = rx.read(&mut buf).await?;
        relay.wait_until_connected(from.ip(), target.ip()).await;
        if len == 0 || !sender.send(buf[..len].to_vec()).await {
            return Ok(());
        }
    }
}

/// Writes the bytes that come out of the delay queue.
async fn deliver(mut receiver: Receiver<Vec<u8>>, mut tx: WriteHalf<'_>) -> io::Result<()> {
    while let Some(chunk) = receiver.recv().await {
        tx.write_all(&chunk).await?;
    }
    tx.shutdown().await
}

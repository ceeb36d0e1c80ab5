//! Connections to one listed address.

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
use crate::relay::line::Receiver;
use crate::relay::line::Sender;
use crate::relay::line::line;

/// Most bytes that pass in one piece.
const PIECE_LEN_BYTES: usize = 16 * 1024;

/// Relays connections that come to `listener` to `target` for ever, noting
/// them when `noted`.
pub async fn serve(relay: Rc<Relay>, listener: TcpListener, target: SocketAddr, noted: bool) {
    let Ok(listed) = listener.local_addr() else {
        return;
    };
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        if noted {
            relay.note(listed);
        }
        spawn_local(connection(relay.clone(), stream, from, target));
    }
}

async fn connection(relay: Rc<Relay>, mut near: TcpStream, from: SocketAddr, target: SocketAddr) {
    relay.until_open(from.ip(), target.ip()).await;
    let carried = async {
        let mut far = TcpStream::connect(target).await?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        let delay = relay.delay(from.ip(), target.ip());
        let (near_rx, near_tx) = near.split();
        let (far_rx, far_tx) = far.split();
        let ends = (from, target);
        tokio::try_join!(
            pass(&relay, ends, delay, near_rx, far_tx),
            pass(&relay, ends, delay, far_rx, near_tx),
        )
    };
    let carried: io::Result<_> = carried.await;
    if carried.is_err() {
        let _ = socket2::SockRef::from(&near).set_linger(Some(Duration::ZERO));
    }
}

/// Passes bytes one way until their end.
async fn pass(
    relay: &Relay,
    ends: (SocketAddr, SocketAddr),
    delay: Duration,
    rx: ReadHalf<'_>,
    tx: WriteHalf<'_>,
) -> io::Result<()> {
    let (sender, receiver) = line(delay);
    tokio::try_join!(take(relay, ends, rx, sender), give(receiver, tx)).map(|_| ())
}

async fn take(
    relay: &Relay,
    (from, target): (SocketAddr, SocketAddr),
    mut rx: ReadHalf<'_>,
    sender: Sender<Vec<u8>>,
) -> io::Result<()> {
    let mut buf = vec![0; PIECE_LEN_BYTES];
    loop {
        let len = rx.read(&mut buf).await?;
        relay.until_open(from.ip(), target.ip()).await;
        if len == 0 || !sender.send(buf[..len].to_vec()).await {
            return Ok(());
        }
    }
}

async fn give(mut receiver: Receiver<Vec<u8>>, mut tx: WriteHalf<'_>) -> io::Result<()> {
    while let Some(piece) = receiver.recv().await {
        tx.write_all(&piece).await?;
    }
    tx.shutdown().await
}

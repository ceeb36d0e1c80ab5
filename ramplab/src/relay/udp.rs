//! Forwards datagrams from one listed address to the bound address behind it, and
//! the responses back to their senders. Datagrams are dropped while the network is
//! cut or the delay queue is full.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;

use indexmap::IndexMap;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

use crate::relay::Relay;
use crate::relay::delay_queue::Receiver;
use crate::relay::delay_queue::Sender;
use crate::relay::delay_queue::delay_queue;

/// Longest datagram that is forwarded, in bytes.
const MAX_DATAGRAM_LEN_BYTES: usize = 64 * 1024;

/// Forwards the datagrams that `socket` receives to `target`. Runs until the task
/// is dropped.
pub async fn serve(relay: Rc<Relay>, socket: UdpSocket, target: SocketAddr) {
    let socket = Rc::new(socket);
    let Ok(listed) = socket.local_addr() else {
        return;
    };
    let mut sources: IndexMap<SocketAddr, Sender<Vec<u8>>> = IndexMap::new();
    let mut buf = vec![0; MAX_DATAGRAM_LEN_BYTES];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        if relay.is_cut(from.ip(), target.ip()) {
            continue;
        }
        relay.record_arrival(listed);
        if !sources.contains_key(&from) {
            match open_flow(&relay, &socket, from, target).await {
                Ok(sender) => sources.insert(from, sender),
                Err(err) => {
                    log::warn!("can't open a socket for datagrams from {from}: {err}");
                    continue;
                }
            };
        }
        sources[&from].send_or_drop(buf[..len].to_vec());
    }
}

/// Opens a socket for the datagrams of one source, so that the target's responses
/// can be told apart, and starts forwarding in both directions.
async fn open_flow(
    relay: &Rc<Relay>,
    socket: &Rc<UdpSocket>,
    from: SocketAddr,
    target: SocketAddr,
) -> io::Result<Sender<Vec<u8>>> {
    let upstream = Rc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
    let (to_target, arrivals) = delay_queue(relay.delay(from.ip(), target.ip()));
    spawn_local(forward(arrivals, upstream.clone(), target));
    let (to_source, arrivals) = delay_queue(relay.delay(target.ip(), from.ip()));
    spawn_local(forward(arrivals, socket.clone(), from));
    spawn_local(return_responses(relay.clone(), upstream, to_source, from));
    Ok(to_target)
}

async fn forward(mut arrivals: Receiver<Vec<u8>>, socket: Rc<UdpSocket>, to: SocketAddr) {
    while let Some(datagram) = arrivals.recv().await {
        // UDP gives no guarantee of delivery, so a failed send is treated as a lost
        // datagram.
        let _ = socket.send_to(&datagram, to).await;
    }
}

async fn return_responses(
    relay: Rc<Relay>,
    upstream: Rc<UdpSocket>,
    to_source: Sender<Vec<u8>>,
    to: SocketAddr,
) {
    let mut buf = vec![0; MAX_DATAGRAM_LEN_BYTES];
    loop {
        let Ok((len, from)) = upstream.recv_from(&mut buf).await else {
            continue;
        };
        if !relay.is_cut(from.ip(), to.ip()) {
            to_source.send_or_drop(buf[..len].to_vec());
        }
    }
}

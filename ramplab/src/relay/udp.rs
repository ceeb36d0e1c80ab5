//! Datagrams to one listed address, and the answers to them.

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

/// Longest datagram, in bytes.
const MAX_DATAGRAM_LEN_BYTES: usize = 64 * 1024;

/// Relays datagrams that come to `socket` to `target` for ever.
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
                    log::warn!("no socket for {from}: {err}");
                    continue;
                }
            };
        }
        sources[&from].send_or_drop(buf[..len].to_vec());
    }
}

/// Opens a socket for the datagrams of one source.
async fn open_flow(
    relay: &Rc<Relay>,
    socket: &Rc<UdpSocket>,
    from: SocketAddr,
    target: SocketAddr,
) -> io::Result<Sender<Vec<u8>>> {
    let outward = Rc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
    let (there, arrivals) = delay_queue(relay.delay(from.ip(), target.ip()));
    spawn_local(forward(arrivals, outward.clone(), target));
    let (back, arrivals) = delay_queue(relay.delay(target.ip(), from.ip()));
    spawn_local(forward(arrivals, socket.clone(), from));
    spawn_local(return_responses(relay.clone(), outward, back, from));
    Ok(there)
}

async fn forward(mut arrivals: Receiver<Vec<u8>>, socket: Rc<UdpSocket>, to: SocketAddr) {
    while let Some(datagram) = arrivals.recv().await {
        // A datagram that can't be sent is lost like any other.
        let _ = socket.send_to(&datagram, to).await;
    }
}

async fn return_responses(
    relay: Rc<Relay>,
    outward: Rc<UdpSocket>,
    back: Sender<Vec<u8>>,
    to: SocketAddr,
) {
    let mut buf = vec![0; MAX_DATAGRAM_LEN_BYTES];
    loop {
        let Ok((len, from)) = outward.recv_from(&mut buf).await else {
            continue;
        };
        if !relay.is_cut(from.ip(), to.ip()) {
            back.send_or_drop(buf[..len].to_vec());
        }
    }
}

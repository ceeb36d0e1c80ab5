//! Virtual caller addresses: one IP for each local peer, one port a connection.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use indexmap::IndexMap;

const FIRST_PORT: u16 = 10_000;

/// Second octet and up of the callers' network, 10.200.0.0/16.
const NETWORK: [u8; 2] = [10, 200];

/// Gives out caller addresses.
#[derive(Default)]
pub struct Callers {
    next_port: IndexMap<IpAddr, u16>,
}

impl Callers {
    /// Next address for a connection from `peer`. A port comes again only
    /// after all others of its IP; `in_use` says which to pass over.
    pub fn next(&mut self, peer: IpAddr, in_use: impl Fn(&SocketAddrV4) -> bool) -> SocketAddrV4 {
        let entry = self.next_port.entry(peer);
        let [high, low] = (entry.index() as u16 + 1).to_be_bytes();
        let ip = Ipv4Addr::new(NETWORK[0], NETWORK[1], high, low);
        let port = entry.or_insert(FIRST_PORT);
        loop {
            let caller = SocketAddrV4::new(ip, *port);
            *port = port.checked_add(1).unwrap_or(FIRST_PORT);
            if !in_use(&caller) {
                return caller;
            }
        }
    }
}

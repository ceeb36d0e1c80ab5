//! Allocates virtual caller addresses: one IP for each local IP that callers connect
//! from, and a port for each connection.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use indexmap::IndexMap;

/// First port allocated, and the one that follows 65535.
const FIRST_CALLER_PORT: u16 = 10_000;

/// First two octets of the callers' network, 10.200.0.0/16.
const CALLER_NETWORK_PREFIX: [u8; 2] = [10, 200];

/// Allocator of virtual caller addresses.
#[derive(Default)]
pub struct CallerAddresses {
    next_port: IndexMap<IpAddr, u16>,
}

impl CallerAddresses {
    /// Allocates an address for a connection from `peer`. A port is reused only after
    /// all others of its IP; addresses for which `in_use` is true are skipped.
    pub fn allocate(
        &mut self,
        peer: IpAddr,
        in_use: impl Fn(&SocketAddrV4) -> bool,
    ) -> SocketAddrV4 {
        let entry = self.next_port.entry(peer);
        let [high, low] = (entry.index() as u16 + 1).to_be_bytes();
        let ip = Ipv4Addr::new(
            CALLER_NETWORK_PREFIX[0],
            CALLER_NETWORK_PREFIX[1],
            high,
            low,
        );
        let port = entry.or_insert(FIRST_CALLER_PORT);
        loop {
            let caller = SocketAddrV4::new(ip, *port);
            *port = port.checked_add(1).unwrap_or(FIRST_CALLER_PORT);
            if !in_use(&caller) {
                return caller;
            }
        }
    }
}

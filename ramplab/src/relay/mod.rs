//! Simulated network between data centres: forwards datagrams and connections
//! with a delay, blocks them where the network is cut, and records arrivals.
//!
//! Each process binds an address of its own but is listed under an address of the
//! relay, which forwards to the bound one. The first three parts of an IP address
//! identify the data centre, so each data centre has its own network on loopback.

pub mod control;
pub mod delay_queue;
pub mod tcp;
pub mod udp;

use std::cell::RefCell;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::sync::Notify;

use crate::history::EventData;
use crate::history::Writer;
use crate::history::wall_clock_ms;

/// Shortest interval between two recorded arrivals at one address, in
/// milliseconds; arrivals in between are not recorded.
const ARRIVAL_RECORD_PERIOD_MS: u64 = 100;

/// Network of a data centre: the first three parts of its IPv4 addresses.
pub type Network = [u8; 3];

/// Network partition between two data centres: nothing is forwarded in either
/// direction. The lower network comes first, so that the order does not matter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Cut(Network, Network);

impl Cut {
    /// Creates a cut between two networks, in either order.
    pub fn between(a: Network, b: Network) -> Cut {
        Cut(a.min(b), a.max(b))
    }
}

/// State shared by the tasks of a relay.
pub struct Relay {
    delay: Duration,
    cuts: RefCell<IndexSet<Cut>>,
    cuts_changed: Notify,
    history: RefCell<Option<Writer>>,
    last_recorded_ms: RefCell<IndexMap<SocketAddr, u64>>,
}

impl Relay {
    /// Creates a relay with this one-way delay between data centres; arrivals are
    /// recorded in `history`.
    pub fn new(delay: Duration, history: Option<Writer>) -> Rc<Relay> {
        Rc::new(Relay {
            delay,
            cuts: RefCell::default(),
            cuts_changed: Notify::new(),
            history: RefCell::new(history),
            last_recorded_ms: RefCell::default(),
        })
    }

    /// Replaces all cuts.
    pub fn set_cuts(&self, cuts: IndexSet<Cut>) {
        *self.cuts.borrow_mut() = cuts;
        self.cuts_changed.notify_waiters();
    }

    /// Whether the network between two addresses is cut.
    pub fn is_cut(&self, a: IpAddr, b: IpAddr) -> bool {
        self.cuts
            .borrow()
            .contains(&Cut::between(network(a), network(b)))
    }

    /// Waits until the network between two addresses is no longer cut.
    async fn wait_until_connected(&self, a: IpAddr, b: IpAddr) {
        while self.is_cut(a, b) {
            self.cuts_changed.notified().await;
        }
    }

    /// One-way delay between two addresses; zero within a data centre.
    fn delay(&self, a: IpAddr, b: IpAddr) -> Duration {
        if network(a) == network(b) {
            Duration::ZERO
        } else {
            self.delay
        }
    }

    /// Records that a packet arrived for `address`, at most once per
    /// [`ARRIVAL_RECORD_PERIOD_MS`].
    fn record_arrival(&self, address: SocketAddr) {
        let Some(history) = &mut *self.history.borrow_mut() else {
            return;
        };
        let now_ms = wall_clock_ms();
        let mut last_recorded_ms = self.last_recorded_ms.borrow_mut();
        let last_ms = last_recorded_ms.entry(address).or_default();
        if now_ms >= *last_ms + ARRIVAL_RECORD_PERIOD_MS {
            *last_ms = now_ms;
            history.write_at(now_ms, EventData::PacketAt { address });
        }
    }
}

/// Network that an address belongs to; all zeros for an IPv6 address.
pub fn network(ip: IpAddr) -> Network {
    match ip {
        IpAddr::V4(ip) => {
            let [a, b, c, _] = ip.octets();
            [a, b, c]
        }
        IpAddr::V6(_) => Network::default(),
    }
}

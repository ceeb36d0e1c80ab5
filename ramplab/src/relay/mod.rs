//! Stand-in for the network between data centres: delay, cuts, and a tap.
//!
//! Processes are listed under the relay's addresses and bind others. A data
//! centre is told by the first three parts of an address, so each has a
//! network of its own on loopback.

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

/// Time between two notes of packets to one address, in milliseconds.
const ARRIVAL_RECORD_PERIOD_MS: u64 = 100;

/// Network of a data centre: the first three parts of its addresses.
pub type Network = [u8; 3];

/// Two networks that don't hear each other, the lower one first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Cut(Network, Network);

impl Cut {
    /// Cut between two networks.
    pub fn between(a: Network, b: Network) -> Cut {
        Cut(a.min(b), a.max(b))
    }
}

/// What the tasks of a relay share.
pub struct Relay {
    delay: Duration,
    cuts: RefCell<IndexSet<Cut>>,
    cuts_changed: Notify,
    history: RefCell<Option<Writer>>,
    last_recorded_ms: RefCell<IndexMap<SocketAddr, u64>>,
}

impl Relay {
    /// Relay with this delay between data centres, one way.
    pub fn new(delay: Duration, history: Option<Writer>) -> Rc<Relay> {
        Rc::new(Relay {
            delay,
            cuts: RefCell::default(),
            cuts_changed: Notify::new(),
            history: RefCell::new(history),
            last_recorded_ms: RefCell::default(),
        })
    }

    /// Replaces the cuts.
    pub fn set_cuts(&self, cuts: IndexSet<Cut>) {
        *self.cuts.borrow_mut() = cuts;
        self.cuts_changed.notify_waiters();
    }

    /// Whether nothing passes between two addresses.
    pub fn is_cut(&self, a: IpAddr, b: IpAddr) -> bool {
        self.cuts
            .borrow()
            .contains(&Cut::between(network(a), network(b)))
    }

    /// Waits until something passes between two addresses.
    async fn wait_until_connected(&self, a: IpAddr, b: IpAddr) {
        while self.is_cut(a, b) {
            self.cuts_changed.notified().await;
        }
    }

    /// Time from one address to another.
    fn delay(&self, a: IpAddr, b: IpAddr) -> Duration {
        if network(a) == network(b) {
            Duration::ZERO
        } else {
            self.delay
        }
    }

    /// Notes that a packet came for `address`, now and then.
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

/// Network of an address.
pub fn network(ip: IpAddr) -> Network {
    match ip {
        IpAddr::V4(ip) => {
            let [a, b, c, _] = ip.octets();
            [a, b, c]
        }
        IpAddr::V6(_) => Network::default(),
    }
}

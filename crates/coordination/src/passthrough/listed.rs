//! Backend servers as the platform lists them, and those that it no longer
//! lists.
//!
//! A server that vanishes from the listing may live on and have flows. When
//! calls of the platform failed shortly before, its record has most likely
//! lapsed for no other reason, and it still gets new flows for a while.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_state::key::ServerId;
use ramp_state::time::Millis;

use super::published::RELIST_LIMIT;
use super::published::Server;
use super::published::ServerState;
use super::view::RemovedServer;

/// How long a server that left is still asked for its flows.
const DEPARTED_KEPT: Duration = Duration::from_secs(20);

/// How long a server that vanished without leaving is still asked for its
/// flows: it may live on, cut off from the platform alone.
const VANISHED_KEPT: Duration = Duration::from_secs(60);

/// Time for which a server whose record lapsed while the platform was away
/// still gets new flows.
const LAPSED_KEPT: Duration = Duration::from_millis(2000);

/// A listed server and when its record was read.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListedServer {
    pub(super) server: Server,
    pub(super) read_at: Millis,
}

/// A server that was ready when its record lapsed.
#[derive(Clone, Copy, Debug)]
struct Lapse {
    id: ServerId,
    listed: ListedServer,
    until: Millis,
}

/// Servers that are no longer listed.
#[derive(Clone, Debug, Default)]
pub(super) struct UnlistedServers {
    departed: Vec<RemovedServer>,
    lapses: Vec<Lapse>,
    /// When a call of the platform failed last.
    failed_at: Option<Millis>,
}

impl ListedServer {
    /// The record as it would read at `now`.
    pub(super) fn server_at(&self, now: Millis) -> Server {
        let mut server = self.server;
        server.cold_for = server.cold_for.saturating_sub(now.since(self.read_at));
        server
    }

    fn address(&self) -> Ipv4Addr {
        *self.server.address.ip()
    }
}

impl UnlistedServers {
    /// A call of the platform failed, here or at the reader that is followed.
    pub(super) fn call_failed(&mut self, now: Millis) {
        self.failed_at = Some(now);
    }

    /// A server has vanished from the listing.
    pub(super) fn missed(&mut self, now: Millis, id: ServerId, listed: ListedServer) {
        let address = listed.address();
        let was_ready = listed.server.state == ServerState::Ready;
        self.departed.retain(|d| d.address != address);
        self.departed.push(RemovedServer {
            address,
            at: now,
            was_ready,
        });
        let failed = |at: Millis| now.since(at) < RELIST_LIMIT;
        let by_failure = self.failed_at.is_some_and(failed);
        if by_failure && was_ready {
            let until = now + LAPSED_KEPT;
            self.lapses.push(Lapse { id, listed, until });
        }
    }

    /// A server is listed (again), or another one at its address.
    pub(super) fn listed(&mut self, id: ServerId, address: Ipv4Addr) {
        self.departed.retain(|d| d.address != address);
        let other = |l: &Lapse| l.id != id && l.listed.address() != address;
        self.lapses.retain(other);
    }

    /// Forgets those that have been missing for long.
    pub(super) fn forget(&mut self, now: Millis) {
        self.departed.retain(|d| may_have_flows(d, now));
        self.lapses.retain(|l| now < l.until);
    }

    /// Servers that may still be asked for their flows.
    pub(super) fn departed(&self, now: Millis) -> impl Iterator<Item = RemovedServer> {
        let departed = self.departed.iter().copied();
        departed.filter(move |d| may_have_flows(d, now))
    }

    /// Servers that still get new flows, and until when.
    pub(super) fn lapsed(&self, now: Millis) -> impl Iterator<Item = (&ListedServer, Millis)> {
        let recent = self.lapses.iter().filter(move |l| now < l.until);
        recent.map(|l| (&l.listed, l.until))
    }
}

fn may_have_flows(departed: &RemovedServer, now: Millis) -> bool {
    let kept = if departed.was_ready {
        VANISHED_KEPT
    } else {
        DEPARTED_KEPT
    };
    now.since(departed.at) < kept
}

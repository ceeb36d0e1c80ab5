//! Backend servers that the platform lists, and those that it no longer lists.
//!
//! A server that is no longer listed may still be running and have flows, so
//! it is still asked for them for a while. If calls to the platform failed
//! shortly before, the server most likely only could not renew its lease; it
//! then still gets new flows for a moment.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_state::key::ServerId;
use ramp_state::time::Millis;

use super::published::RELIST_LIMIT;
use super::published::Server;
use super::published::ServerState;
use super::view::RemovedServer;

/// How long a server that drained before its removal is still asked for its
/// flows.
const DRAINED_RETENTION: Duration = Duration::from_secs(20);

/// How long a server that was removed without draining is still asked for its
/// flows: it may still be running, cut off only from the platform.
const UNPLANNED_RETENTION: Duration = Duration::from_secs(60);

/// How long a server whose record lapsed during an outage of the platform
/// still gets new flows.
const LAPSED_GRACE: Duration = Duration::from_millis(2000);

/// A server's record and when this process first read it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListedServer {
    pub(super) server: Server,
    pub(super) read_at: Millis,
}

/// A server whose record lapsed during an outage of the platform while the
/// server was ready.
#[derive(Clone, Copy, Debug)]
struct LapsedRecord {
    id: ServerId,
    listed: ListedServer,
    until: Millis,
}

/// A server that drained before its removal.
#[derive(Clone, Copy, Debug)]
struct DrainedServer {
    id: ServerId,
    born_ms: u64,
    removed_at: Millis,
}

/// Servers that are no longer listed.
#[derive(Clone, Debug, Default)]
pub(super) struct UnlistedServers {
    removed: Vec<RemovedServer>,
    lapsed_records: Vec<LapsedRecord>,
    drained: Vec<DrainedServer>,
    /// When a call to the platform last failed.
    last_failure_at: Option<Millis>,
}

impl ListedServer {
    /// The record with its cold start time reduced by its age at `now`.
    pub(super) fn server_at(&self, now: Millis) -> Server {
        let mut server = self.server;
        server.cold_for = server.cold_for.saturating_sub(now.since(self.read_at));
        server
    }

    pub(super) fn address(&self) -> Ipv4Addr {
        *self.server.address.ip()
    }

    /// Whether it drains and `server` is a record of the same start.
    pub(super) fn drains_as(&self, server: &Server) -> bool {
        self.server.state == ServerState::Draining && self.server.born_ms == server.born_ms
    }
}

impl DrainedServer {
    fn is_recent(&self, now: Millis) -> bool {
        now.since(self.removed_at) < DRAINED_RETENTION
    }
}

impl UnlistedServers {
    /// Records a failed call to the platform, by this process or by the reader
    /// that it follows.
    pub(super) fn call_failed(&mut self, now: Millis) {
        self.last_failure_at = Some(now);
    }

    /// Records that a server is no longer listed.
    pub(super) fn server_removed(&mut self, now: Millis, id: ServerId, listed: ListedServer) {
        let address = listed.address();
        let was_ready = listed.server.state == ServerState::Ready;
        self.removed.retain(|d| d.address != address);
        self.removed.push(RemovedServer {
            address,
            removed_at: now,
            was_ready,
        });
        if !was_ready {
            self.drained.push(DrainedServer {
                id,
                born_ms: listed.server.born_ms,
                removed_at: now,
            });
        }
        let failed = |at: Millis| now.since(at) < RELIST_LIMIT;
        let after_failure = self.last_failure_at.is_some_and(failed);
        if after_failure && was_ready {
            let until = now + LAPSED_GRACE;
            self.lapsed_records.push(LapsedRecord { id, listed, until });
        }
    }

    /// Records that a server is listed. An older server with the same id or at
    /// the same address is forgotten.
    pub(super) fn server_listed(&mut self, id: ServerId, address: Ipv4Addr) {
        self.removed.retain(|d| d.address != address);
        let other = |l: &LapsedRecord| l.id != id && l.listed.address() != address;
        self.lapsed_records.retain(other);
        self.drained.retain(|d| d.id != id);
    }

    /// Whether this server drained before it was removed, not long ago.
    pub(super) fn has_drained(&self, now: Millis, id: ServerId, born_ms: u64) -> bool {
        let mut drained = self.drained.iter();
        drained.any(|d| d.id == id && d.born_ms == born_ms && d.is_recent(now))
    }

    /// Forgets servers whose retention or grace period is over.
    pub(super) fn evict_expired(&mut self, now: Millis) {
        self.removed.retain(|d| may_have_flows(d, now));
        self.lapsed_records.retain(|l| now < l.until);
        self.drained.retain(|d| d.is_recent(now));
    }

    /// Servers that may still be asked for their flows.
    pub(super) fn removed(&self, now: Millis) -> impl Iterator<Item = RemovedServer> {
        let removed = self.removed.iter().copied();
        removed.filter(move |d| may_have_flows(d, now))
    }

    /// Servers that still get new flows though they are not listed, and until
    /// when.
    pub(super) fn lapsed(&self, now: Millis) -> impl Iterator<Item = (&ListedServer, Millis)> {
        let recent = self.lapsed_records.iter().filter(move |l| now < l.until);
        recent.map(|l| (&l.listed, l.until))
    }
}

fn may_have_flows(removed: &RemovedServer, now: Millis) -> bool {
    let kept = if removed.was_ready {
        UNPLANNED_RETENTION
    } else {
        DRAINED_RETENTION
    };
    now.since(removed.removed_at) < kept
}

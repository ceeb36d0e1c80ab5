//! What remains in effect after the platform's store was restored from a stale
//! copy: acknowledged records that the copy lacks or contradicts.
//!
//! Until the operator and the servers have written them again, the safe reading of
//! both is used. A server that is draining in either drains. A data centre that was
//! evacuated stays so for a limited time. An entry of the copy whose id or address
//! belonged to a server that started later is set aside: most likely its server has
//! ended, and the later one registers again.

use std::net::Ipv4Addr;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use ramp_state::key::DataCentreId;
use ramp_state::key::ServerId;
use ramp_state::time::Millis;

use super::listed::ListedServer;
use super::listed::UnlistedServers;
use super::published::Listing;
use super::published::RELIST_LIMIT;
use super::published::Record;
use super::published::Server;
use super::published::ServerState;

/// How long an evacuation that the copy lacks remains in effect after the first
/// answer of the new epoch. The operator writes it again within this time.
const EVACUATION_HOLD: Duration = Duration::from_secs(5);

/// Number of records of each kind that remain in effect after a restoration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldRecords {
    /// Drains that the copy does not show.
    pub drains: usize,
    /// Evacuations that are missing in the copy.
    pub evacuations: usize,
    /// Entries of the copy that contradict a server that started later.
    pub set_aside: usize,
}

/// Records that remain in effect after the last restoration.
#[derive(Clone, Debug)]
pub(super) struct Restoration {
    /// First answer of the new epoch.
    answered_at: Millis,
    /// Evacuations that are missing in the copy.
    evacuations: IndexSet<DataCentreId>,
    /// Draining servers with their start, until their records are written again.
    drains: IndexMap<ServerId, u64>,
    /// Entries of the copy that are not used until [`RELIST_LIMIT`] has passed.
    set_aside: IndexMap<ServerId, Server>,
}

impl Restoration {
    /// Compares the records in force with the first listing of a new epoch.
    pub(super) fn new(
        now: Millis,
        servers: &IndexMap<ServerId, ListedServer>,
        unlisted: &UnlistedServers,
        evacuated: impl Iterator<Item = DataCentreId>,
        copy: &Listing,
    ) -> Restoration {
        let mut restoration = Restoration {
            answered_at: now,
            evacuations: evacuated.collect(),
            drains: IndexMap::new(),
            set_aside: IndexMap::new(),
        };
        // Of several servers at one address, the one that started last has it.
        let mut by_start: Vec<_> = servers.iter().collect();
        by_start.sort_by_key(|(_, listed)| listed.server.born_ms);
        let by_address = by_start.into_iter().map(|(id, l)| (l.address(), *id));
        let by_address: IndexMap<Ipv4Addr, ServerId> = by_address.collect();
        for record in &copy.records {
            match record {
                Record::Server(id, server) => {
                    let drained = servers.get(id).is_some_and(|l| l.drains_as(server))
                        || unlisted.has_drained(now, *id, server.born_ms);
                    if drained && server.state == ServerState::Ready {
                        restoration.drains.insert(*id, server.born_ms);
                    }
                    if is_replaced(servers, &by_address, *id, server) {
                        let server = restoration.with_drain(*id, *server);
                        restoration.set_aside.insert(*id, server);
                    }
                }
                Record::Evacuation(data_centre) => {
                    restoration.evacuations.swap_remove(data_centre);
                }
                Record::Configuration(_) => {}
            }
        }
        restoration
    }

    /// The reading of a listed server's record; `None` while it is set aside.
    pub(super) fn read_listed(&self, now: Millis, id: ServerId, server: Server) -> Option<Server> {
        let server = self.with_drain(id, server);
        let may_return = now.since(self.answered_at) < RELIST_LIMIT;
        let content = |s: &Server| (s.born_ms, s.address, s.state);
        let is_aside = |s: &Server| content(s) == content(&server);
        if may_return && self.set_aside.get(&id).is_some_and(is_aside) {
            return None;
        }
        Some(server)
    }

    /// The record with the drain that is held for its server, if any.
    fn with_drain(&self, id: ServerId, server: Server) -> Server {
        let state = match self.drains.get(&id) {
            Some(born_ms) if *born_ms == server.born_ms => ServerState::Draining,
            _ => server.state,
        };
        Server { state, ..server }
    }

    /// Records that a server's record was written or removed in the new epoch, so
    /// that it alone is valid.
    pub(super) fn server_changed(&mut self, id: ServerId) {
        self.drains.swap_remove(&id);
        self.set_aside.swap_remove(&id);
    }

    /// Records that an evacuation was ended in the new epoch; true if it was held.
    pub(super) fn evacuation_removed(&mut self, data_centre: DataCentreId) -> bool {
        self.evacuations.swap_remove(&data_centre)
    }

    /// Forgets drains of servers that a listing lacks, and entries that it lacks or
    /// that are used now.
    pub(super) fn listing_read(
        &mut self,
        listed: &IndexSet<ServerId>,
        used: &IndexMap<ServerId, ListedServer>,
    ) {
        self.drains.retain(|id, _| listed.contains(id));
        self.set_aside
            .retain(|id, _| listed.contains(id) && !used.contains_key(id));
    }

    /// Evacuations that are held.
    pub(super) fn evacuations(&self) -> impl Iterator<Item = DataCentreId> {
        self.evacuations.iter().copied()
    }

    /// Entries that are set aside.
    pub(super) fn set_aside(&self) -> impl Iterator<Item = (ServerId, Server)> {
        self.set_aside.iter().map(|(id, server)| (*id, *server))
    }

    /// Removes and returns the evacuations whose time is over.
    pub(super) fn take_ended_evacuations(&mut self, now: Millis) -> IndexSet<DataCentreId> {
        if now.since(self.answered_at) < EVACUATION_HOLD {
            return IndexSet::new();
        }
        std::mem::take(&mut self.evacuations)
    }

    /// Removes and returns the entries that are no longer set aside: the later
    /// servers had the time to register again.
    pub(super) fn take_accepted(&mut self, now: Millis) -> IndexMap<ServerId, ListedServer> {
        if now.since(self.answered_at) < RELIST_LIMIT {
            return IndexMap::new();
        }
        let read_at = self.answered_at;
        let accepted = std::mem::take(&mut self.set_aside).into_iter();
        let accepted = accepted.map(|(id, server)| (id, ListedServer { server, read_at }));
        accepted.collect()
    }

    /// Number of records that are held.
    pub(super) fn held(&self) -> HeldRecords {
        HeldRecords {
            drains: self.drains.len(),
            evacuations: self.evacuations.len(),
            set_aside: self.set_aside.len(),
        }
    }
}

/// Whether the id or the address of an entry belongs to another server in force
/// that did not start before the entry's. Without a known order the one in force is
/// kept.
fn is_replaced(
    servers: &IndexMap<ServerId, ListedServer>,
    by_address: &IndexMap<Ipv4Addr, ServerId>,
    id: ServerId,
    server: &Server,
) -> bool {
    let at_address = by_address.get(server.address.ip()).copied();
    let in_force = [Some(id), at_address].into_iter().flatten();
    let mut in_force = in_force.filter_map(|other| Some((other, &servers.get(&other)?.server)));
    let identity = |id: ServerId, server: &Server| (id, server.born_ms, server.address);
    in_force.any(|(other_id, other)| {
        identity(other_id, other) != identity(id, server) && other.born_ms >= server.born_ms
    })
}

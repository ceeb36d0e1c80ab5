//! Everything that the platform has published, as one process knows it.
//!
//! A listing replaces what was known, changes add to it; news that are older
//! than what is known change nothing. The version of the configuration never
//! falls. A server that vanishes is remembered for a while: it may live on and
//! have flows although its record lapsed.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use ramp_state::key::DataCentreId;
use ramp_state::key::ServerId;
use ramp_state::time::Millis;

use super::listed::ListedServer;
use super::listed::UnlistedServers;
use super::published::Change;
use super::published::Changes;
use super::published::Configuration;
use super::published::Listing;
use super::published::RELIST_LIMIT;
use super::published::Record;
use super::published::RecordKey;
use super::published::Revision;
use super::published::ServerState;
use super::view::LapsedServer;
use super::view::Member;
use super::view::PlatformAnswers;
use super::view::View;

/// Age of the newest answer from which a listing says nothing of the present.
const FRESH_LIMIT: Duration = Duration::from_millis(1600);

/// Dropped routes that are remembered, the newest.
const DROPPED_ROUTES: usize = 1024;

/// Records of the platform.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    cursor: Revision,
    newest: Revision,
    configuration: Option<Arc<Configuration>>,
    /// Addresses whose routes were dropped since this process started.
    dropped_routes: Arc<IndexSet<SocketAddrV4>>,
    servers: IndexMap<ServerId, ListedServer>,
    evacuated: IndexSet<DataCentreId>,
    /// When each data centre was taken back.
    taken_back: IndexMap<DataCentreId, Millis>,
    unlisted: UnlistedServers,
    /// Since when the platform has answered without a gap.
    well_since: Option<Millis>,
    /// When the platform first answered.
    known_since: Option<Millis>,
    /// When the platform or a reader answered last.
    answered_at: Millis,
    /// Whether that was too long ago.
    is_old: bool,
    /// Whether the platform failed before it first answered.
    failed_first: bool,
}

impl Catalog {
    /// Nothing is known yet.
    pub fn new() -> Catalog {
        Catalog::default()
    }

    /// Revision after which changes must be followed.
    pub fn cursor(&self) -> Revision {
        self.cursor
    }

    /// Whether the platform has answered without a gap, the last time just now.
    pub fn is_current(&self) -> bool {
        self.well_since.is_some() && !self.is_old
    }

    /// Whether a configuration is known.
    pub fn has_configuration(&self) -> bool {
        self.configuration.is_some()
    }

    /// Takes note of a call of the platform that failed, here or at the reader
    /// that this process follows: records may have lapsed for no other reason.
    pub fn call_failed(&mut self, now: Millis) {
        self.unlisted.call_failed(now);
        // A process that has known servers before would see them vanish.
        self.failed_first |= self.cursor == Revision(0);
    }

    /// Takes note that the platform is away; true when it was not before.
    pub fn platform_failed(&mut self) -> bool {
        self.failed_first |= self.cursor == Revision(0);
        self.well_since.take().is_some()
    }

    /// Takes note of the time, while nothing may be heard; true when everything
    /// that is known has just become too old to tell who is gone. Nothing has
    /// failed, so the next answer ends this.
    pub fn update_staleness(&mut self, now: Millis) -> bool {
        let expired = self.is_current() && now.since(self.answered_at) >= FRESH_LIMIT;
        self.is_old |= expired;
        expired
    }

    /// Replaces everything by a listing, unless it is older.
    pub fn replace(&mut self, now: Millis, listing: Listing) {
        if listing.cursor < self.cursor {
            return;
        }
        self.answered(now);
        let old = std::mem::take(&mut self.servers);
        let evacuated = std::mem::take(&mut self.evacuated);
        for record in listing.records {
            self.write(now, record, &old);
        }
        for (id, listed) in old {
            if !self.servers.contains_key(&id) {
                self.unlisted.missed(now, id, listed);
            }
        }
        for data_centre in evacuated {
            if !self.evacuated.contains(&data_centre) {
                self.taken_back.insert(data_centre, now);
            }
        }
        self.cursor = listing.cursor;
        self.newest = self.newest.max(listing.newest);
    }

    /// Adds changes. Those up to an older revision are known already, and what
    /// came after them must not be undone.
    pub fn apply(&mut self, now: Millis, changes: Changes) {
        if changes.cursor < self.cursor {
            return;
        }
        self.answered(now);
        let none = IndexMap::new();
        for change in changes.changes {
            match change {
                Change::Written(record) => self.write(now, record, &none),
                Change::Removed(key) => self.remove(now, key),
            }
        }
        self.cursor = changes.cursor;
        self.newest = self.newest.max(changes.newest);
    }

    /// Everything that is known, for a process that follows this one.
    pub fn listing(&self, now: Millis) -> Listing {
        let configuration = self.configuration.iter();
        let configuration = configuration.map(|c| Record::Configuration(Configuration::clone(c)));
        let evacuated = self.evacuated.iter().copied().map(Record::Evacuation);
        let servers = self.servers.iter();
        let servers = servers.map(|(id, listed)| Record::Server(*id, listed.server_at(now)));
        Listing {
            cursor: self.cursor,
            newest: self.newest,
            records: configuration.chain(evacuated).chain(servers).collect(),
        }
    }

    /// Compiles what the traffic threads need.
    pub fn view(&self, now: Millis) -> Option<View> {
        let configuration = Arc::clone(self.configuration.as_ref()?);
        let mut members: IndexMap<Ipv4Addr, Member> = IndexMap::new();
        for listed in self.servers.values() {
            let member = self.member(listed, &configuration);
            let held = members.entry(member.address).or_insert(member);
            // Addresses are used again: the server that started last has it.
            if held.born_ms < member.born_ms {
                *held = member;
            }
        }
        let is_free = |address: Ipv4Addr| !members.contains_key(&address);
        let departed = self.unlisted.departed(now);
        let departed = departed.filter(|d| is_free(d.address)).collect();
        let lapsed = self
            .unlisted
            .lapsed(now)
            .map(|(listed, until)| LapsedServer {
                member: self.member(listed, &configuration),
                until,
            });
        let lapsed = lapsed.filter(|l| is_free(l.member.address)).collect();
        let view = View::new(
            self.newest,
            self.cursor,
            configuration,
            members.into_values().collect(),
            lapsed,
            departed,
            PlatformAnswers {
                first_at: self.known_since,
                settled_at: self.settled_at(),
            },
        );
        Some(view.with_dropped_routes(Arc::clone(&self.dropped_routes)))
    }

    /// Moment from which a server that is not listed counts as gone.
    fn settled_at(&self) -> Option<Millis> {
        let since = self.well_since.filter(|_| !self.is_old)?;
        if self.failed_first {
            return Some(since + RELIST_LIMIT);
        }
        Some(since)
    }

    fn answered(&mut self, now: Millis) {
        self.answered_at = now;
        self.is_old = false;
        if self.well_since.is_none() {
            if self.cursor > Revision(0) {
                self.failed_first = true;
            }
            self.well_since = Some(now);
            self.known_since.get_or_insert(now);
        }
        self.unlisted.forget(now);
    }

    fn write(&mut self, now: Millis, record: Record, old: &IndexMap<ServerId, ListedServer>) {
        match record {
            Record::Configuration(new) => {
                let held = self.configuration.as_ref().map(|c| c.version);
                if held.is_none_or(|version| version < new.version) {
                    self.note_dropped_routes(&new);
                    self.configuration = Some(Arc::new(new));
                }
            }
            Record::Server(id, server) => {
                let listed = old.get(&id).or_else(|| self.servers.get(&id));
                // An unchanged record says nothing new of how cold it is.
                let read_at = match listed {
                    Some(listed) if listed.server == server => listed.read_at,
                    _ => now,
                };
                self.unlisted.listed(id, *server.address.ip());
                self.servers.insert(id, ListedServer { server, read_at });
            }
            Record::Evacuation(data_centre) => {
                self.evacuated.insert(data_centre);
            }
        }
    }

    fn note_dropped_routes(&mut self, new: &Configuration) {
        let Some(old) = &self.configuration else {
            return;
        };
        let routed: IndexSet<SocketAddrV4> = new.routes.iter().map(|r| r.address).collect();
        let old = old.routes.iter().map(|r| r.address);
        let gone: Vec<SocketAddrV4> = old.filter(|a| !routed.contains(a)).collect();
        let back = self.dropped_routes.iter().any(|a| routed.contains(a));
        if gone.is_empty() && !back {
            return;
        }
        let dropped = Arc::make_mut(&mut self.dropped_routes);
        dropped.retain(|address| !routed.contains(address));
        dropped.extend(gone);
        let excess = dropped.len().saturating_sub(DROPPED_ROUTES);
        dropped.drain(..excess);
    }

    fn remove(&mut self, now: Millis, key: RecordKey) {
        match key {
            // The last good configuration stays in force.
            RecordKey::Configuration => {}
            RecordKey::Server(id) => {
                if let Some(listed) = self.servers.swap_remove(&id) {
                    self.unlisted.missed(now, id, listed);
                }
            }
            RecordKey::Evacuation(data_centre) => {
                if self.evacuated.swap_remove(&data_centre) {
                    self.taken_back.insert(data_centre, now);
                }
            }
        }
    }

    fn member(&self, listed: &ListedServer, configuration: &Configuration) -> Member {
        let server = &listed.server;
        let policy = configuration
            .services
            .iter()
            .find(|p| p.service == server.service);
        let mut cold_until = listed.read_at + server.cold_for;
        if let (Some(back), Some(policy)) = (self.taken_back.get(&server.data_centre), policy) {
            // Its servers may have restarted while nothing was sent to them.
            cold_until = cold_until.max(*back + policy.cold_start);
        }
        Member {
            address: *server.address.ip(),
            service: server.service,
            slots: server.slots,
            draining: server.state == ServerState::Draining,
            evacuated: self.evacuated.contains(&server.data_centre),
            cold_until,
            cold_rate_per_s: policy.and_then(|p| p.cold_rate_per_s),
            born_ms: server.born_ms,
        }
    }
}

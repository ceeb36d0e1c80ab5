//! One process's copy of the records that the platform publishes.
//!
//! A listing replaces the copy and changes update it; listings and changes of
//! an older revision are ignored. The version of the configuration never goes
//! back. A server whose record is removed is remembered for a while: only its
//! lease may have expired, and it may still be running with open flows.
//!
//! The first listing of a newer epoch comes from a stale copy of the store. What was
//! acknowledged before and is missing in it remains in effect for a while.

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
use super::restoration::HeldRecords;
use super::restoration::Restoration;
use super::view::LapsedServer;
use super::view::Member;
use super::view::PlatformAnswers;
use super::view::View;

/// Age of the last answer from which the catalog counts as stale: it no longer
/// shows which servers are listed now.
const STALE_AFTER: Duration = Duration::from_millis(1600);

/// Limit on remembered dropped routes; the oldest are forgotten first.
const MAX_DROPPED_ROUTES: usize = 1024;

/// The platform's records and how current they are.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    cursor: Revision,
    newest: Revision,
    configuration: Option<Arc<Configuration>>,
    /// Addresses whose routes were dropped since this process started, the
    /// newest last.
    dropped_routes: Arc<IndexSet<SocketAddrV4>>,
    servers: IndexMap<ServerId, ListedServer>,
    evacuated: IndexSet<DataCentreId>,
    /// When the evacuation of each data centre ended.
    evacuation_ended_at: IndexMap<DataCentreId, Millis>,
    unlisted: UnlistedServers,
    /// What remains in effect since the store was restored; none: it was not, as
    /// far as this process has seen.
    restoration: Option<Restoration>,
    /// Start of the current span without a failure of the platform; none while
    /// it fails.
    answering_since: Option<Millis>,
    /// When the platform answered this process for the first time.
    first_answer_at: Option<Millis>,
    /// When the platform, or the reader that is followed, answered last.
    last_answer_at: Millis,
    /// Whether the last answer is older than [`STALE_AFTER`].
    is_stale: bool,
    /// Whether running servers may be missing from the listing because the
    /// platform failed, before its first answer or later. They then have
    /// [`RELIST_LIMIT`] from its next answer to be listed again.
    awaits_relisting: bool,
}

impl Catalog {
    /// An empty catalog.
    pub fn new() -> Catalog {
        Catalog::default()
    }

    /// Revision up to which the platform has been read; changes are read from
    /// here on.
    pub fn cursor(&self) -> Revision {
        self.cursor
    }

    /// Whether the platform does not fail and its last answer is not stale.
    pub fn is_current(&self) -> bool {
        self.answering_since.is_some() && !self.is_stale
    }

    /// Whether any version of the configuration has been read.
    pub fn has_configuration(&self) -> bool {
        self.configuration.is_some()
    }

    /// Records a failed call to the platform, by this process or by the reader
    /// that it follows. Servers can't renew their leases during an outage, so
    /// records that expire afterwards may belong to running servers.
    pub fn call_failed(&mut self, now: Millis) {
        self.unlisted.call_failed(now);
        // A process that already has records sees their removal; one that has
        // none can't know which servers are missing.
        self.awaits_relisting |= self.cursor == Revision(0);
    }

    /// Records that the platform can't be read; true if it could until now.
    pub fn platform_failed(&mut self) -> bool {
        self.awaits_relisting |= self.cursor == Revision(0);
        self.answering_since.take().is_some()
    }

    /// Marks the catalog stale once the last answer is too old; true at the
    /// moment when it becomes stale. While it is stale, no server counts as
    /// gone. No call has failed, so the next answer makes it current again.
    pub fn update_staleness(&mut self, now: Millis) -> bool {
        let expired = self.is_current() && now.since(self.last_answer_at) >= STALE_AFTER;
        self.is_stale |= expired;
        expired
    }

    /// Replaces all records by a listing, unless it is older than the catalog.
    pub fn replace(&mut self, now: Millis, listing: Listing) {
        if listing.cursor < self.cursor {
            return;
        }
        let epoch = listing.cursor.epoch();
        if self.cursor > Revision(0) && epoch > self.cursor.epoch() {
            self.store_restored(now, &listing);
        }
        self.note_answer(now);
        let old = std::mem::take(&mut self.servers);
        let evacuated = std::mem::take(&mut self.evacuated);
        let mut listed_ids = IndexSet::new();
        for record in listing.records {
            if let Record::Server(id, _) = &record {
                listed_ids.insert(*id);
            }
            if let Some(record) = self.read_listed(now, record) {
                self.insert_record(now, record, &old);
            }
        }
        for (id, listed) in old {
            if !self.servers.contains_key(&id) {
                self.unlisted.server_removed(now, id, listed);
            }
        }
        for data_centre in evacuated {
            if !self.is_evacuated(data_centre) {
                self.evacuation_ended_at.insert(data_centre, now);
            }
        }
        if let Some(restoration) = &mut self.restoration {
            restoration.listing_read(&listed_ids, &self.servers);
        }
        self.cursor = listing.cursor;
        // Without any record, the start of the epoch still shows other instances
        // that there is a new one.
        let newest = listing.newest.max(Revision::start_of(epoch));
        self.newest = self.newest.max(newest);
    }

    /// Applies changes, unless they end at an older revision than the catalog:
    /// those are known already and would undo newer ones. Changes of a newer epoch
    /// are ignored too, since a listing must precede them.
    pub fn apply(&mut self, now: Millis, changes: Changes) {
        if changes.cursor < self.cursor || self.needs_listing_for(changes.cursor) {
            return;
        }
        self.note_answer(now);
        let none = IndexMap::new();
        for change in changes.changes {
            self.note_change(&change);
            match change {
                Change::Written(record) => self.insert_record(now, record, &none),
                Change::Removed(key) => self.remove_record(now, key),
            }
        }
        self.cursor = changes.cursor;
        self.newest = self.newest.max(changes.newest);
    }

    /// Whether changes up to `cursor` can be applied only after a listing, because
    /// the store was restored since the catalog was read.
    pub fn needs_listing_for(&self, cursor: Revision) -> bool {
        cursor.epoch() > self.cursor.epoch()
    }

    /// Records that remain in effect since the store was restored.
    pub fn held_records(&self) -> HeldRecords {
        let restoration = self.restoration.as_ref();
        restoration.map(Restoration::held).unwrap_or_default()
    }

    /// Ends what remained in effect after a restoration and whose time is over. If
    /// anything has ended, returns the changes for processes that got these records
    /// from this one.
    pub fn end_holds(&mut self, now: Millis) -> Option<Changes> {
        let restoration = self.restoration.as_mut()?;
        let accepted = restoration.take_accepted(now);
        let mut ended = restoration.take_ended_evacuations(now);
        ended.retain(|data_centre| !self.evacuated.contains(data_centre));
        if accepted.is_empty() && ended.is_empty() {
            return None;
        }
        for (id, listed) in accepted {
            self.unlisted.server_listed(id, listed.address());
            self.servers.insert(id, listed);
        }
        for data_centre in &ended {
            self.evacuation_ended_at.insert(*data_centre, now);
        }
        let ended = ended.into_iter().map(RecordKey::Evacuation);
        Some(Changes {
            cursor: self.cursor,
            changes: ended.map(Change::Removed).collect(),
            ..Changes::default()
        })
    }

    /// All records, for a process that follows this one.
    pub fn listing(&self, now: Millis) -> Listing {
        let configuration = self.configuration.iter();
        let configuration = configuration.map(|c| Record::Configuration(Configuration::clone(c)));
        let evacuated = self.all_evacuated().into_iter().map(Record::Evacuation);
        let servers = self.servers.iter();
        let servers = servers.map(|(id, listed)| Record::Server(*id, listed.server_at(now)));
        // The follower can't tell which server has the address now.
        let set_aside = self.restoration.iter().flat_map(Restoration::set_aside);
        let set_aside = set_aside.map(|(id, server)| Record::Server(id, server));
        let records = configuration.chain(evacuated).chain(servers);
        Listing {
            cursor: self.cursor,
            newest: self.newest,
            records: records.chain(set_aside).collect(),
        }
    }

    /// Compiles the tables for the traffic threads; none without a
    /// configuration.
    pub fn view(&self, now: Millis) -> Option<View> {
        let configuration = Arc::clone(self.configuration.as_ref()?);
        let mut members: IndexMap<Ipv4Addr, Member> = IndexMap::new();
        for listed in self.servers.values() {
            let member = self.member(listed, &configuration);
            let held = members.entry(member.address).or_insert(member);
            // An address can be reused: the server that started last has it.
            if held.born_ms < member.born_ms {
                *held = member;
            }
        }
        let is_free = |address: Ipv4Addr| !members.contains_key(&address);
        let removed = self.unlisted.removed(now);
        let removed = removed.filter(|d| is_free(d.address)).collect();
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
            removed,
            PlatformAnswers {
                first_answer_at: self.first_answer_at,
                settled_at: self.settled_at(),
            },
        );
        Some(view.with_dropped_routes(Arc::clone(&self.dropped_routes)))
    }

    /// Moment from which a server that is not listed counts as gone; none while
    /// the platform fails or the catalog is stale.
    fn settled_at(&self) -> Option<Millis> {
        let since = self.answering_since.filter(|_| !self.is_stale)?;
        if self.awaits_relisting {
            return Some(since + RELIST_LIMIT);
        }
        Some(since)
    }

    fn note_answer(&mut self, now: Millis) {
        self.last_answer_at = now;
        self.is_stale = false;
        if self.answering_since.is_none() {
            if self.cursor > Revision(0) {
                self.awaits_relisting = true;
            }
            self.answering_since = Some(now);
            self.first_answer_at.get_or_insert(now);
        }
        self.unlisted.evict_expired(now);
    }

    /// Prepares the catalog for the first listing of a new epoch.
    fn store_restored(&mut self, now: Millis, listing: &Listing) {
        let evacuated = self.all_evacuated().into_iter();
        let restoration = Restoration::new(now, &self.servers, &self.unlisted, evacuated, listing);
        self.restoration = Some(restoration);
        // Servers that are missing in the copy are treated like those whose records
        // lapsed in an outage that ends now.
        self.unlisted.call_failed(now);
        self.answering_since = None;
    }

    /// The reading of a listed record; `None` if it is not used for now.
    fn read_listed(&self, now: Millis, record: Record) -> Option<Record> {
        match (&self.restoration, record) {
            (Some(restoration), Record::Server(id, server)) => {
                let server = restoration.read_listed(now, id, server)?;
                Some(Record::Server(id, server))
            }
            (_, record) => Some(record),
        }
    }

    /// Records that a server's record was written or removed after the restoration.
    fn note_change(&mut self, change: &Change) {
        let id = match change {
            Change::Written(Record::Server(id, _)) | Change::Removed(RecordKey::Server(id)) => *id,
            _ => return,
        };
        if let Some(restoration) = &mut self.restoration {
            restoration.server_changed(id);
        }
    }

    fn all_evacuated(&self) -> IndexSet<DataCentreId> {
        let held = self.restoration.iter().flat_map(Restoration::evacuations);
        self.evacuated.iter().copied().chain(held).collect()
    }

    fn is_evacuated(&self, data_centre: DataCentreId) -> bool {
        let mut held = self.restoration.iter().flat_map(Restoration::evacuations);
        self.evacuated.contains(&data_centre) || held.any(|h| h == data_centre)
    }

    fn insert_record(
        &mut self,
        now: Millis,
        record: Record,
        old: &IndexMap<ServerId, ListedServer>,
    ) {
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
                // `cold_for` counts from the moment at which the record was
                // first read; reading it again must not restart it.
                let read_at = match listed {
                    Some(listed) if listed.server == server => listed.read_at,
                    _ => now,
                };
                self.unlisted.server_listed(id, *server.address.ip());
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
        let excess = dropped.len().saturating_sub(MAX_DROPPED_ROUTES);
        dropped.drain(..excess);
    }

    fn remove_record(&mut self, now: Millis, key: RecordKey) {
        match key {
            // The last configuration stays in force.
            RecordKey::Configuration => {}
            RecordKey::Server(id) => {
                if let Some(listed) = self.servers.swap_remove(&id) {
                    self.unlisted.server_removed(now, id, listed);
                }
            }
            RecordKey::Evacuation(data_centre) => {
                let restoration = self.restoration.as_mut();
                let was_held = restoration.is_some_and(|r| r.evacuation_removed(data_centre));
                if self.evacuated.swap_remove(&data_centre) || was_held {
                    self.evacuation_ended_at.insert(data_centre, now);
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
        if let (Some(back), Some(policy)) =
            (self.evacuation_ended_at.get(&server.data_centre), policy)
        {
            // Its servers may have restarted during the evacuation, so they
            // all count as cold.
            cold_until = cold_until.max(*back + policy.cold_start);
        }
        Member {
            address: *server.address.ip(),
            service: server.service,
            slots: server.slots,
            draining: server.state == ServerState::Draining,
            evacuated: self.is_evacuated(server.data_centre),
            cold_until,
            cold_rate_per_s: policy.and_then(|p| p.cold_rate_per_s),
            born_ms: server.born_ms,
        }
    }
}

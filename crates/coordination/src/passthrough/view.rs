//! Immutable lookup tables that the traffic threads use for each packet:
//! routes, servers that may get new flows, and servers that may own open ones.
//!
//! A [`View`] is compiled from the catalog whenever that changes. What it says
//! also depends on the time that is passed in, since records become outdated
//! without any change: a cold start ends, or a removed server counts as gone.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use ramp_state::key::FlowKey;
use ramp_state::key::ServiceId;
use ramp_state::key::Version;
use ramp_state::key::mix;
use ramp_state::time::Millis;

use super::published::Configuration;
use super::published::RELIST_LIMIT;
use super::published::Revision;
use super::published::Route;
use super::published::ServicePolicy;
use super::published::Share;

/// Idle time after which a flow may be forgotten, if the configuration sets
/// none.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(60);

/// One backend server with its agent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    /// Address of the machine, by which the member is identified.
    pub address: Ipv4Addr,
    /// Service that it serves.
    pub service: ServiceId,
    /// Requests that it can work on at the same time; zero if it does not say.
    pub slots: u16,
    /// Whether it is leaving and gets no new flows.
    pub draining: bool,
    /// Whether its data centre is evacuated, so that it gets no new flows.
    pub evacuated: bool,
    /// End of its cold start.
    pub cold_until: Millis,
    /// Limit on new flows a second while it is cold; none: no limit.
    pub cold_rate_per_s: Option<f64>,
    /// Start of the server, Unix milliseconds; zero if it does not say.
    pub born_ms: u64,
}

impl Member {
    /// Whether it may get new flows.
    pub fn accepts_new_flows(&self) -> bool {
        !self.draining && !self.evacuated
    }

    /// Whether a server with that many requests in progress has no free slot.
    pub fn is_busy(&self, in_progress: u16) -> bool {
        self.slots > 0 && in_progress >= self.slots
    }

    /// Whether a server with that many requests in progress has neither a free
    /// slot nor room in its queue. The queue holds half as many requests as
    /// there are slots, so that no slot is idle while the next request is on
    /// its way.
    pub fn is_full(&self, in_progress: u16) -> bool {
        self.slots > 0 && in_progress >= self.places()
    }

    /// Requests that it holds when it is full, those in its queue included; zero if
    /// it does not say.
    pub fn places(&self) -> u16 {
        self.slots.saturating_add(self.slots / 2)
    }

    /// Whether its new flows are limited because it is in its cold start.
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until && self.cold_rate_per_s.is_some()
    }
}

/// A server that is no longer listed but may still have flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemovedServer {
    /// Address of its machine.
    pub address: Ipv4Addr,
    /// When its record was first found to be gone.
    pub removed_at: Millis,
    /// Whether it was ready until then: it did not drain before, so it may have
    /// crashed or only lost its lease.
    pub was_ready: bool,
}

impl RemovedServer {
    /// Whether it has not yet had [`RELIST_LIMIT`] to be listed again.
    fn may_be_relisted(&self, now: Millis) -> bool {
        now.since(self.removed_at) < RELIST_LIMIT
    }
}

/// A server whose record lapsed during an outage of the platform. It most
/// likely still runs and is listed again soon, so it still gets new flows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LapsedServer {
    /// The server as it was listed.
    pub member: Member,
    /// When it stops getting new flows, unless it is listed again.
    pub until: Millis,
}

/// When the platform answered this process, as far as the view depends on it.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformAnswers {
    /// When the platform answered for the first time; none: not yet.
    pub first_answer_at: Option<Millis>,
    /// Moment from which a server that is not listed counts as gone; none while
    /// the platform does not answer.
    pub settled_at: Option<Millis>,
}

/// Routes and servers as known at one moment.
#[derive(Clone, Debug)]
pub struct View {
    /// Newest revision of any record in the view.
    pub newest: Revision,
    /// Revision up to which the platform's history has been read.
    pub cursor: Revision,
    /// Version of the configuration that the routes are from.
    pub version: Version,
    /// Idle time after which a flow may be forgotten.
    pub idle_limit: Duration,
    routes: IndexMap<SocketAddrV4, Route>,
    dropped_routes: Arc<IndexSet<SocketAddrV4>>,
    policies: Vec<ServicePolicy>,
    members: Vec<Member>,
    lapsed: Vec<LapsedServer>,
    removed: Vec<RemovedServer>,
    answers: PlatformAnswers,
}

impl View {
    /// Builds a view of these records, without any dropped routes.
    pub fn new(
        newest: Revision,
        cursor: Revision,
        configuration: Arc<Configuration>,
        members: Vec<Member>,
        lapsed: Vec<LapsedServer>,
        removed: Vec<RemovedServer>,
        answers: PlatformAnswers,
    ) -> View {
        let routes = configuration.routes.iter();
        let idle_limit = match configuration.idle_limit {
            Duration::ZERO => DEFAULT_IDLE_LIMIT,
            limit => limit,
        };
        View {
            newest,
            cursor,
            version: configuration.version,
            idle_limit,
            routes: routes.map(|r| (r.address, r.clone())).collect(),
            dropped_routes: Arc::default(),
            policies: configuration.services.clone(),
            members,
            lapsed,
            removed,
            answers,
        }
    }

    /// The same view, with the addresses whose routes this process saw dropped
    /// from the configuration.
    pub fn with_dropped_routes(self, dropped_routes: Arc<IndexSet<SocketAddrV4>>) -> View {
        View {
            dropped_routes,
            ..self
        }
    }

    /// Whether this process saw the route of an address dropped from the
    /// configuration. An address that has no route for another reason may have
    /// one in a version that is newer than the view.
    pub fn has_dropped_route(&self, address: SocketAddrV4) -> bool {
        self.dropped_routes.contains(&address)
    }

    /// Limit on new flows a second of a cold server of a service; none: no
    /// limit.
    pub fn cold_rate_per_s(&self, service: ServiceId) -> Option<f64> {
        self.policy(service)?.cold_rate_per_s
    }

    /// How long a server of a service is cold after its start.
    pub fn cold_start(&self, service: ServiceId) -> Option<Duration> {
        Some(self.policy(service)?.cold_start)
    }

    fn policy(&self, service: ServiceId) -> Option<&ServicePolicy> {
        self.policies.iter().find(|p| p.service == service)
    }

    /// The route of an address that callers connect to.
    pub fn route(&self, address: SocketAddrV4) -> Option<&Route> {
        self.routes.get(&address)
    }

    /// Number of routes in the configuration.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Whether the route of an address names `service` among its shares.
    pub fn sends_to(&self, address: SocketAddrV4, service: ServiceId) -> bool {
        let named = |route: &Route| route.shares.iter().any(|s| s.service == service);
        self.route(address).is_some_and(named)
    }

    /// All listed servers, one per address.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The listed server at an address.
    pub fn member(&self, address: Ipv4Addr) -> Option<&Member> {
        self.members.iter().find(|m| m.address == address)
    }

    /// The server at an address that is listed, or whose record lapsed a moment
    /// ago in an outage of the platform.
    pub fn member_or_lapsed(&self, address: Ipv4Addr, now: Millis) -> Option<&Member> {
        let lapsed = || self.lapsed_at(now).find(|m| m.address == address);
        self.member(address).or_else(lapsed)
    }

    /// Servers of a service that are listed, or whose records lapsed a moment
    /// ago in an outage of the platform.
    pub fn servers_of(&self, service: ServiceId, now: Millis) -> impl Iterator<Item = &Member> {
        let known = self.members.iter().chain(self.lapsed_at(now));
        known.filter(move |m| m.service == service)
    }

    fn lapsed_at(&self, now: Millis) -> impl Iterator<Item = &Member> {
        let lapsed = self.lapsed.iter().filter(move |l| now < l.until);
        lapsed.map(|l| &l.member)
    }

    /// Addresses of all servers that may have flows: listed ones, and those
    /// that were removed not long ago.
    pub fn holders(&self) -> impl Iterator<Item = Ipv4Addr> {
        let members = self.members.iter().map(|m| m.address);
        members.chain(self.removed.iter().map(|d| d.address))
    }

    /// Whether the server at `address` counts as gone: it is not listed, the
    /// view is settled, and it had the time to be listed again.
    pub fn is_gone(&self, address: Ipv4Addr, now: Millis) -> bool {
        if !self.is_settled(now) || self.member(address).is_some() {
            return false;
        }
        let removed = self.removed.iter().find(|d| d.address == address);
        removed.is_none_or(|d| !d.may_be_relisted(now))
    }

    /// Whether running servers may be missing from the listing: the platform
    /// failed a moment ago, or a server was removed without draining. Servers
    /// that are removed just after this process started do not count: after a
    /// power failure, these are most likely records of servers that no longer
    /// run.
    pub fn misses_servers(&self, now: Millis) -> bool {
        let may_return = |d: &RemovedServer| {
            d.was_ready && d.may_be_relisted(now) && self.known_for(d.removed_at) >= RELIST_LIMIT
        };
        !self.is_settled(now)
            || self.lapsed_at(now).next().is_some()
            || self.removed.iter().any(may_return)
    }

    /// Time since the platform first answered this process.
    pub fn known_for(&self, now: Millis) -> Duration {
        self.answers
            .first_answer_at
            .map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Whether the listing can be relied on: the platform answers, and servers
    /// whose records lapsed in an outage have had the time to be listed again.
    pub fn is_settled(&self, now: Millis) -> bool {
        self.answers.settled_at.is_some_and(|at| now >= at)
    }
}

impl Route {
    /// Service of a new flow: chosen by the weights and the flow's hash, so
    /// that every process chooses the same one.
    pub fn service_of(&self, flow: &FlowKey) -> Option<ServiceId> {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        if total == 0 {
            return self.shares.first().map(|s| s.service);
        }
        let mut left = mix(flow.hash64()) % total;
        for Share { service, weight } in &self.shares {
            let weight = u64::from(*weight);
            if left < weight {
                return Some(*service);
            }
            left -= weight;
        }
        None
    }
}

/// Rank of a member for a flow by rendezvous hashing: the member with the
/// highest rank comes first, and every process computes the same order.
pub fn rank(flow: &FlowKey, member: Ipv4Addr) -> u64 {
    mix(flow.hash64() ^ mix(u64::from(u32::from(member))))
}

/// Rank of a member as the relay of a balancer's owner queries: the member with the
/// highest rank comes first. Balancers thus use different relays.
pub fn relay_rank(balancer: Ipv4Addr, member: Ipv4Addr) -> u64 {
    let balancer = mix(u64::from(u32::from(balancer)));
    mix(balancer ^ mix(u64::from(u32::from(member))))
}

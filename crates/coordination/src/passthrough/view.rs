//! Immutable tables that the traffic threads decide by.

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

/// Silence after which a flow may be forgotten where the configuration does not
/// say.
const IDLE_LIMIT_UNTOLD: Duration = Duration::from_secs(60);

/// One backend server with its agent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    /// Address of the machine, which names the member.
    pub address: Ipv4Addr,
    /// Service that it serves.
    pub service: ServiceId,
    /// Requests that it works on at the same time; zero when untold.
    pub slots: u16,
    /// Whether it is leaving.
    pub draining: bool,
    /// Whether its data centre is evacuated.
    pub evacuated: bool,
    /// Until when it is cold.
    pub cold_until: Millis,
    /// New flows a second that it bears while cold; none: not limited.
    pub cold_rate_per_s: Option<f64>,
    /// Start of the server, Unix milliseconds.
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

    /// Whether a server with that many requests in progress has no room for
    /// more. Half as many as it has slots may queue there, so that no slot is
    /// idle while the next request is on its way.
    pub fn is_full(&self, in_progress: u16) -> bool {
        self.slots > 0 && in_progress >= self.slots + self.slots / 2
    }

    /// Whether it is in cold start and limited.
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until && self.cold_rate_per_s.is_some()
    }
}

/// A server that is no longer listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemovedServer {
    /// Address of its machine.
    pub address: Ipv4Addr,
    /// When it was missed first.
    pub at: Millis,
    /// Whether it was ready, and so did not leave by plan.
    pub was_ready: bool,
}

impl RemovedServer {
    /// Whether it has not had the time to be listed again.
    fn is_recent(&self, now: Millis) -> bool {
        now.since(self.at) < RELIST_LIMIT
    }
}

/// A server whose record lapsed while the platform was away. It most likely
/// lives and is listed again soon, so it still gets new flows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LapsedServer {
    /// The server as it was listed.
    pub member: Member,
    /// From when it counts as gone, unless it is listed again.
    pub until: Millis,
}

/// When the platform answered this process.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformAnswers {
    /// For the first time.
    pub first_at: Option<Millis>,
    /// From when a server that is not listed counts as gone; none while the
    /// platform does not answer.
    pub settled_at: Option<Millis>,
}

/// Tables of one moment.
#[derive(Clone, Debug)]
pub struct View {
    /// Newest revision of anything that the view is made of.
    pub newest: Revision,
    /// Revision up to which the platform's history is known.
    pub cursor: Revision,
    /// Version of the configuration.
    pub version: Version,
    /// Silence after which a flow may be forgotten.
    pub idle_limit: Duration,
    routes: IndexMap<SocketAddrV4, Route>,
    dropped_routes: Arc<IndexSet<SocketAddrV4>>,
    policies: Vec<ServicePolicy>,
    members: Vec<Member>,
    lapsed: Vec<LapsedServer>,
    departed: Vec<RemovedServer>,
    answers: PlatformAnswers,
}

impl View {
    /// View of these records.
    pub fn new(
        newest: Revision,
        cursor: Revision,
        configuration: Arc<Configuration>,
        members: Vec<Member>,
        lapsed: Vec<LapsedServer>,
        departed: Vec<RemovedServer>,
        answers: PlatformAnswers,
    ) -> View {
        let routes = configuration.routes.iter();
        let idle_limit = match configuration.idle_limit {
            Duration::ZERO => IDLE_LIMIT_UNTOLD,
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
            departed,
            answers,
        }
    }

    /// The same view, with addresses whose routes this process saw dropped.
    pub fn with_dropped_routes(self, dropped_routes: Arc<IndexSet<SocketAddrV4>>) -> View {
        View {
            dropped_routes,
            ..self
        }
    }

    /// Whether this process saw the route of an address dropped. Otherwise an
    /// address without a route may have one that is newer than the view.
    pub fn has_dropped_route(&self, address: SocketAddrV4) -> bool {
        self.dropped_routes.contains(&address)
    }

    /// New flows a second that a cold server of a service bears; none: not
    /// limited.
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

    /// The route of an address.
    pub fn route(&self, address: SocketAddrV4) -> Option<&Route> {
        self.routes.get(&address)
    }

    /// Routes of the configuration.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Whether the route of an address sends anything to `service`.
    pub fn sends_to(&self, address: SocketAddrV4, service: ServiceId) -> bool {
        let named = |route: &Route| route.shares.iter().any(|s| s.service == service);
        self.route(address).is_some_and(named)
    }

    /// All members.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The member at an address.
    pub fn member(&self, address: Ipv4Addr) -> Option<&Member> {
        self.members.iter().find(|m| m.address == address)
    }

    /// The member at an address, also if its record lapsed a moment ago.
    pub fn member_or_lapsed(&self, address: Ipv4Addr, now: Millis) -> Option<&Member> {
        let lapsed = || self.lapsed_at(now).find(|m| m.address == address);
        self.member(address).or_else(lapsed)
    }

    /// Servers of a service that are listed, or whose records lapsed a moment
    /// ago.
    pub fn servers_of(&self, service: ServiceId, now: Millis) -> impl Iterator<Item = &Member> {
        let known = self.members.iter().chain(self.lapsed_at(now));
        known.filter(move |m| m.service == service)
    }

    fn lapsed_at(&self, now: Millis) -> impl Iterator<Item = &Member> {
        let lapsed = self.lapsed.iter().filter(move |l| now < l.until);
        lapsed.map(|l| &l.member)
    }

    /// Everyone who may have flows: members, and those lately departed.
    pub fn holders(&self) -> impl Iterator<Item = Ipv4Addr> {
        let members = self.members.iter().map(|m| m.address);
        members.chain(self.departed.iter().map(|d| d.address))
    }

    /// Whether a server at `address` is known to be gone.
    pub fn is_gone(&self, address: Ipv4Addr, now: Millis) -> bool {
        if !self.is_settled(now) || self.member(address).is_some() {
            return false;
        }
        let departed = self.departed.iter().find(|d| d.address == address);
        departed.is_none_or(|d| !d.is_recent(now))
    }

    /// Whether living servers may be missing from the listing: the platform was
    /// away a moment ago, or a server vanished without leaving. What vanishes
    /// just after the start is most likely left from before a loss of power.
    pub fn misses_servers(&self, now: Millis) -> bool {
        let may_return = |d: &RemovedServer| {
            d.was_ready && d.is_recent(now) && self.known_for(d.at) >= RELIST_LIMIT
        };
        !self.is_settled(now)
            || self.lapsed_at(now).next().is_some()
            || self.departed.iter().any(may_return)
    }

    /// How long this process has known anything.
    pub fn known_for(&self, now: Millis) -> Duration {
        self.answers
            .first_at
            .map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Whether a server that is not listed has had the time to come back.
    pub fn is_settled(&self, now: Millis) -> bool {
        self.answers.settled_at.is_some_and(|at| now >= at)
    }
}

impl Route {
    /// Service of a new flow: by weight, the same at every process.
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

/// Rank of a member for a flow; the highest goes first.
pub fn rank(flow: &FlowKey, member: Ipv4Addr) -> u64 {
    mix(flow.hash64() ^ mix(u64::from(u32::from(member))))
}

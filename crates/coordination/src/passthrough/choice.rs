//! Which member gets a new flow.
//!
//! The home of the flow, which ranks first, keeps it unless it seems to have
//! no free slot; then the least busy member gets it. So most flows are found
//! again at their home by a balancer that never saw them, and a burst spreads.
//! What is known of loads is old by a few openings: an agent whose server is
//! full sends the flow back, and only when two did is one made to take it.

use std::net::Ipv4Addr;
use std::time::Duration;

use indexmap::IndexMap;
use ramp_protocol::hop::Frame;
use ramp_protocol::hop::FrameKind;
use ramp_protocol::hop::Inquiry;
use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

use super::published::RELIST_LIMIT;
use super::suspects::Suspects;
use super::view::Member;
use super::view::rank;

/// Age from which a load says nothing any more.
const LOAD_KEPT: Duration = Duration::from_millis(1000);

/// Members that may send a new flow back for being busy.
const BUSY_TRIES: usize = 2;

/// What is known of one member's load.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// Requests in progress, as its agent told.
    in_progress: u16,
    /// New flows sent there since.
    sent: u16,
    /// Whether the agent knows every flow of its server.
    complete: bool,
    /// Whether the agent knows of an outage in which records may have lapsed.
    misses_servers: bool,
    /// Whether it has ended, and no server is left beside it.
    gone: bool,
    told_at: Millis,
}

/// What a balancer knows of the members' loads.
#[derive(Clone, Debug, Default)]
pub(super) struct Loads(IndexMap<Ipv4Addr, Load>);

/// Everything that decides where a new flow goes.
pub(super) struct Choice<'a> {
    pub(super) flow: &'a FlowKey,
    /// Members that may take it.
    pub(super) candidates: &'a [&'a Member],
    /// Members that sent it back for being busy.
    pub(super) busy: &'a [Ipv4Addr],
    pub(super) suspects: &'a Suspects,
    pub(super) loads: &'a Loads,
    pub(super) now: Millis,
}

/// The member that gets a new flow, and what it is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Chosen {
    pub(super) agent: Ipv4Addr,
    pub(super) inquiry: Inquiry,
}

impl Loads {
    pub(super) fn update(&mut self, agent: Ipv4Addr, frame: &Frame, now: Millis) {
        let load = Load {
            in_progress: frame.in_progress,
            sent: 0,
            complete: frame.complete,
            misses_servers: frame.misses_servers,
            gone: frame.kind == FrameKind::Gone,
            told_at: now,
        };
        self.0.insert(agent, load);
    }

    pub(super) fn note_sent(&mut self, agent: Ipv4Addr) {
        if let Some(load) = self.0.get_mut(&agent) {
            load.sent = load.sent.saturating_add(1);
        }
    }

    /// Whether an agent has said that it knows every flow of its server.
    pub(super) fn is_complete(&self, agent: Ipv4Addr) -> bool {
        self.0.get(&agent).is_some_and(|load| load.complete)
    }

    /// Whether an agent's last word was that it ends and has no server.
    pub(super) fn is_gone(&self, agent: Ipv4Addr) -> bool {
        self.0.get(&agent).is_some_and(|load| load.gone)
    }

    /// Whether an agent has said anything since a moment.
    pub(super) fn heard_from_since(&self, agent: Ipv4Addr, since: Millis) -> bool {
        self.0.get(&agent).is_some_and(|load| load.told_at >= since)
    }

    /// Whether an agent has said nothing for so long that its load is unknown.
    pub(super) fn is_silent(&self, agent: Ipv4Addr, now: Millis) -> bool {
        let fresh = |load: &Load| now.since(load.told_at) < LOAD_KEPT;
        !self.0.get(&agent).is_some_and(fresh)
    }

    /// Agents that have said anything since a moment.
    pub(super) fn agents_heard_since(&self, since: Millis) -> impl Iterator<Item = Ipv4Addr> {
        let heard = self.0.iter().filter(move |(_, l)| l.told_at >= since);
        heard.map(|(agent, _)| *agent)
    }

    /// Whether an agent has told lately that living servers may not be listed.
    pub(super) fn report_missing_servers(&self, now: Millis) -> bool {
        let lately = |load: &&Load| now.since(load.told_at) < RELIST_LIMIT;
        self.0
            .values()
            .filter(lately)
            .any(|load| load.misses_servers)
    }

    fn load_of(&self, agent: Ipv4Addr, now: Millis) -> u16 {
        let fresh = |load: &&Load| now.since(load.told_at) < LOAD_KEPT;
        let load = self.0.get(&agent).filter(fresh);
        load.map_or(0, |load| load.in_progress.saturating_add(load.sent))
    }
}

impl Choice<'_> {
    pub(super) fn choose(&self) -> Option<Chosen> {
        let trusted = |m: &&Member| !self.suspects.contains(m.address, self.now);
        let open = |m: &&Member| trusted(m) && !self.busy.contains(&m.address);
        if self.busy.len() < BUSY_TRIES
            && let Some(agent) = self.home_or_least(open)
        {
            return Some(Chosen {
                agent,
                inquiry: Inquiry::Owner,
            });
        }
        let agent = self.least(trusted).or_else(|| self.least(|_| true))?;
        Some(Chosen {
            agent,
            inquiry: Inquiry::OwnerThoughBusy,
        })
    }

    fn home_or_least(&self, open: impl Fn(&&Member) -> bool) -> Option<Ipv4Addr> {
        let members = || self.candidates.iter().copied().filter(&open);
        let home = members().max_by_key(|m| rank(self.flow, m.address))?;
        if !home.is_busy(self.loads.load_of(home.address, self.now)) {
            return Some(home.address);
        }
        self.least(open)
    }

    fn least(&self, open: impl Fn(&&Member) -> bool) -> Option<Ipv4Addr> {
        let members = self.candidates.iter().copied().filter(open);
        let least = members.min_by_key(|m| {
            let load = self.loads.load_of(m.address, self.now);
            (load, u64::MAX - rank(self.flow, m.address))
        });
        least.map(|m| m.address)
    }
}

/// The member that ranks first for a flow.
pub(super) fn first_ranked<'a>(
    flow: &FlowKey,
    members: impl Iterator<Item = &'a Member>,
) -> Option<Ipv4Addr> {
    members
        .map(|m| m.address)
        .max_by_key(|address| rank(flow, *address))
}

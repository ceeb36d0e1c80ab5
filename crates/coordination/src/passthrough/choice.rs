//! Selects the member that gets a new flow, by the load and other state that
//! the agents report.
//!
//! The member that ranks first for the flow gets it, unless it seems to have
//! no free slot; then the least loaded member does. So a balancer that never
//! saw a flow finds most flows at their first-ranked member, and a burst is
//! spread over all members. The known loads lag behind by a few openings, so
//! an agent whose server is full sends the opening back. After
//! [`MAX_BUSY_RETURNS`] of these the least loaded member must take the flow.
//!
//! Where the servers of a service differ in speed, and a request would take far
//! longer at the first-ranked member than at the median one, the flow goes to the
//! better of the members that rank second and third for it. A member is an
//! alternative only for the flows that rank it there, so balancers that learn the
//! same estimate at once do not all choose the same member.

use std::net::Ipv4Addr;
use std::time::Duration;

use indexmap::IndexMap;
use ramp_protocol::capacity_report::CapacityReport;
use ramp_protocol::frame::Frame;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::Inquiry;
use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

use super::published::RELIST_LIMIT;
use super::service_times::ESTIMATE_MAX_AGE;
use super::service_times::MemberLoad;
use super::service_times::RecentLoad;
use super::service_times::ServiceTimes;
use super::suspects::Suspects;
use super::view::Member;
use super::view::rank;

/// Age from which a reported load is no longer used.
const LOAD_MAX_AGE: Duration = Duration::from_millis(1000);

/// Time over which the reported loads of an agent are averaged.
const MEAN_LOAD_TIME: Duration = Duration::from_millis(1000);

/// Longest time for which an answer may be under way through a relay.
const MAX_RELAYED_AGE: Duration = Duration::from_millis(1000);

/// Number of members that may send a new flow back because they are busy.
const MAX_BUSY_RETURNS: usize = 2;

/// Number of members, beside the first-ranked one, that a new flow may go to
/// because of the expected times.
const ALTERNATIVES: usize = 2;

/// What an agent last reported about itself and its server.
#[derive(Clone, Copy, Debug)]
struct AgentReport {
    /// Requests in progress at its server.
    in_progress: u16,
    /// New flows sent there since the report.
    sent_since: u16,
    /// Whether the agent knows every flow of its server.
    knows_all_flows: bool,
    /// Whether running servers may be missing from the agent's listing.
    misses_servers: bool,
    /// Whether the agent has ended, with no server left beside it.
    gone: bool,
    heard_at: Millis,
    /// When the load was reported; a relayed answer carries none.
    load_at: Option<Millis>,
    /// Mean of the reported requests in progress over [`MEAN_LOAD_TIME`].
    mean_in_progress: f64,
    /// Last capacity report, and when it arrived. Most frames carry none.
    capacity: Option<(CapacityReport, Millis)>,
}

/// The last report of each agent, by the agent's address.
#[derive(Clone, Debug, Default)]
pub(super) struct AgentReports(IndexMap<Ipv4Addr, AgentReport>);

/// The inputs for selecting the member of one new flow.
pub(super) struct Choice<'a> {
    pub(super) flow: &'a FlowKey,
    /// Members that may get the flow.
    pub(super) candidates: &'a [&'a Member],
    /// Members that sent the flow back because they are busy.
    pub(super) busy: &'a [Ipv4Addr],
    pub(super) suspects: &'a Suspects,
    pub(super) loads: &'a AgentReports,
    pub(super) now: Millis,
}

/// The member that gets a new flow, and the inquiry that its opening carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Chosen {
    pub(super) agent: Ipv4Addr,
    pub(super) inquiry: Inquiry,
}

impl AgentReports {
    /// Stores the report in a frame of an agent.
    pub(super) fn update(&mut self, agent: Ipv4Addr, frame: &Frame, now: Millis) {
        let held = self.0.get(&agent);
        let in_progress = f64::from(frame.in_progress);
        let held_load = held.and_then(|held| Some((held.load_at?, held.mean_in_progress)));
        let mean_in_progress = held_load.map_or(in_progress, |(load_at, mean)| {
            let gap = now.since(load_at).as_secs_f64();
            let kept = (-gap / MEAN_LOAD_TIME.as_secs_f64()).exp();
            in_progress + (mean - in_progress) * kept
        });
        let report = AgentReport {
            in_progress: frame.in_progress,
            sent_since: 0,
            knows_all_flows: frame.knows_all_flows,
            misses_servers: frame.misses_servers,
            gone: frame.kind == FrameKind::Shutdown,
            heard_at: now,
            load_at: Some(now),
            mean_in_progress,
            capacity: held.and_then(|held| held.capacity),
        };
        self.0.insert(agent, report);
    }

    /// Stores what an answer that came through a relay shows of an agent.
    /// `knows_all_flows` is none if it shows nothing of that. The relay may have kept
    /// the answer for a moment, so it does not clear `misses_servers`, and shows nothing
    /// of an agent that has just ended.
    pub(super) fn update_relayed(
        &mut self,
        agent: Ipv4Addr,
        misses_servers: bool,
        knows_all_flows: Option<bool>,
        now: Millis,
    ) {
        let report = self.0.entry(agent).or_insert(AgentReport {
            in_progress: 0,
            sent_since: 0,
            knows_all_flows: false,
            misses_servers: false,
            gone: false,
            heard_at: now,
            load_at: None,
            mean_in_progress: 0.0,
            capacity: None,
        });
        if report.gone && now.since(report.heard_at) < MAX_RELAYED_AGE {
            return;
        }
        report.heard_at = now;
        report.gone = false;
        report.misses_servers |= misses_servers;
        report.knows_all_flows = knows_all_flows.unwrap_or(report.knows_all_flows);
    }

    /// Stores the capacity report that follows a frame's header; none: the agent
    /// says that it knows nothing.
    pub(super) fn update_capacity(
        &mut self,
        agent: Ipv4Addr,
        capacity: Option<CapacityReport>,
        now: Millis,
    ) {
        if let Some(report) = self.0.get_mut(&agent) {
            report.capacity = capacity.map(|capacity| (capacity, now));
        }
    }

    /// The estimate of an agent for its server, unless it is too old.
    fn estimate_of(&self, agent: Ipv4Addr, now: Millis) -> Option<CapacityReport> {
        let (capacity, heard_at) = self.0.get(&agent)?.capacity?;
        let age = capacity.age + now.since(heard_at);
        (age < ESTIMATE_MAX_AGE).then_some(capacity)
    }

    /// Counts a new flow that was sent to an agent since its last report.
    pub(super) fn note_sent(&mut self, agent: Ipv4Addr) {
        if let Some(report) = self.0.get_mut(&agent) {
            report.sent_since = report.sent_since.saturating_add(1);
        }
    }

    /// Whether an agent's last report says that it knows every flow of its
    /// server.
    pub(super) fn knows_all_flows(&self, agent: Ipv4Addr) -> bool {
        self.0
            .get(&agent)
            .is_some_and(|report| report.knows_all_flows)
    }

    /// Whether an agent's last report says that it ends and has no server.
    pub(super) fn is_gone(&self, agent: Ipv4Addr) -> bool {
        self.0.get(&agent).is_some_and(|report| report.gone)
    }

    /// Whether an agent has reported at `since` or later.
    pub(super) fn heard_from_since(&self, agent: Ipv4Addr, since: Millis) -> bool {
        self.0
            .get(&agent)
            .is_some_and(|report| report.heard_at >= since)
    }

    /// Whether an agent's last report is too old to use, or there is none.
    pub(super) fn is_silent(&self, agent: Ipv4Addr, now: Millis) -> bool {
        let fresh = |report: &AgentReport| now.since(report.heard_at) < LOAD_MAX_AGE;
        !self.0.get(&agent).is_some_and(fresh)
    }

    /// Agents that have reported at `since` or later.
    pub(super) fn agents_heard_since(&self, since: Millis) -> impl Iterator<Item = Ipv4Addr> {
        let heard = self.0.iter().filter(move |(_, l)| l.heard_at >= since);
        heard.map(|(agent, _)| *agent)
    }

    /// Whether any agent has reported, within [`RELIST_LIMIT`], that running
    /// servers may be missing from its listing.
    pub(super) fn report_missing_servers(&self, now: Millis) -> bool {
        let recent = |report: &&AgentReport| now.since(report.heard_at) < RELIST_LIMIT;
        self.0
            .values()
            .filter(recent)
            .any(|report| report.misses_servers)
    }

    /// What is known of the requests in progress at an agent's server.
    fn recent_load(&self, agent: Ipv4Addr, now: Millis) -> RecentLoad {
        let report = self.0.get(&agent);
        let reported = report.and_then(|report| Some((report, report.load_at?)));
        reported.map_or_else(RecentLoad::default, |(report, load_at)| RecentLoad {
            last: f64::from(report.in_progress) + f64::from(report.sent_since),
            mean: report.mean_in_progress,
            age: now.since(load_at),
        })
    }

    /// Requests in progress and new flows sent since; zero if the report is too
    /// old.
    fn load_of(&self, agent: Ipv4Addr, now: Millis) -> u16 {
        let is_fresh = |at: Millis| now.since(at) < LOAD_MAX_AGE;
        let report = self.0.get(&agent);
        let report = report.filter(|report| report.load_at.is_some_and(is_fresh));
        report.map_or(0, |report| {
            report.in_progress.saturating_add(report.sent_since)
        })
    }
}

impl Choice<'_> {
    pub(super) fn choose(&self) -> Option<Chosen> {
        let unsuspected = |m: &&Member| !self.suspects.contains(m.address, self.now);
        let eligible = |m: &&Member| unsuspected(m) && !self.busy.contains(&m.address);
        if self.busy.len() < MAX_BUSY_RETURNS
            && let Some(agent) = self.preferred_or_least_loaded(eligible)
        {
            return Some(Chosen {
                agent,
                inquiry: Inquiry::Owner,
            });
        }
        let agent = self
            .least_loaded(unsuspected)
            .or_else(|| self.least_loaded(|_| true))?;
        Some(Chosen {
            agent,
            inquiry: Inquiry::OwnerEvenIfBusy,
        })
    }

    fn preferred_or_least_loaded(&self, eligible: impl Fn(&&Member) -> bool) -> Option<Ipv4Addr> {
        let members = || self.candidates.iter().copied().filter(&eligible);
        let preferred = members().max_by_key(|m| rank(self.flow, m.address))?;
        let loads: Vec<MemberLoad> = members().map(|m| self.load(m)).collect();
        let chosen = match ServiceTimes::new(&loads) {
            Some(times) => self.preferred_or_faster(preferred, &loads, &times),
            None => {
                let in_progress = self.loads.load_of(preferred.address, self.now);
                (!preferred.is_busy(in_progress)).then_some(preferred.address)
            }
        };
        chosen.or_else(|| self.least_loaded(eligible))
    }

    fn load<'m>(&self, member: &'m Member) -> MemberLoad<'m> {
        MemberLoad {
            member,
            estimate: self.loads.estimate_of(member.address, self.now),
            recent: self.loads.recent_load(member.address, self.now),
        }
    }

    /// The preferred member, or the better of its alternatives if it has no free slot
    /// or a request would take far longer there than at the median member. None if
    /// all of these have no free slot.
    fn preferred_or_faster(
        &self,
        preferred: &Member,
        members: &[MemberLoad],
        times: &ServiceTimes,
    ) -> Option<Ipv4Addr> {
        let load = self.load(preferred);
        if !times.is_busy(&load) && !times.is_overloaded(&load) {
            return Some(preferred.address);
        }
        let alternatives = self.alternatives(preferred, members).into_iter().flatten();
        let faster = std::iter::once(load)
            .chain(alternatives)
            .filter(|l| !times.is_busy(l))
            .min_by(|a, b| times.expected_ms(a).total_cmp(&times.expected_ms(b)));
        faster.map(|l| l.member.address)
    }

    /// The members that rank next after the preferred one.
    fn alternatives<'m>(
        &self,
        preferred: &Member,
        members: &[MemberLoad<'m>],
    ) -> [Option<MemberLoad<'m>>; ALTERNATIVES] {
        let rank_of = |l: &MemberLoad| rank(self.flow, l.member.address);
        let mut best = [None; ALTERNATIVES];
        for load in members {
            if load.member.address == preferred.address {
                continue;
            }
            let lower =
                |held: &Option<MemberLoad>| held.is_none_or(|h| rank_of(&h) < rank_of(load));
            if let Some(at) = best.iter().position(lower) {
                best[at..].rotate_right(1);
                best[at] = Some(*load);
            }
        }
        best
    }

    fn least_loaded(&self, eligible: impl Fn(&&Member) -> bool) -> Option<Ipv4Addr> {
        let members = self.candidates.iter().copied().filter(eligible);
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

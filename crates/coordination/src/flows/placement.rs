//! Choice of the owner of a new flow: bounded loads.
//!
//! The home keeps a flow unless its own load is above its share of the
//! group's by more than a bound; then the better of two members chosen at
//! random gets it. A member in cold start counts with the part of its weight
//! that its slots bear.
//!
//! Loads of others are as old as their last heartbeat, while one's own is
//! exact. Compared as they are, each home would find itself above the mean
//! whenever the group grows, and give every flow away. So each report is
//! carried forward at the rate by which reports have changed, or, where a
//! burst begins, by what happened here since: homes get equal shares of the
//! new flows, so the others have grown about as much. Growth here counts as
//! far as it stands out of the noise of as many random events.

use std::time::Duration;

use indexmap::IndexMap;
use ramp_protocol::message::Load;
use ramp_protocol::message::Warmth;
use ramp_state::key::InstanceId;
use ramp_state::time::Millis;
use ramp_state::view::Member;

use crate::picture::GroupPicture;
use crate::random::Random;

/// Load above its share at which a home gives flows away, in percent.
const HOME_LOAD_LIMIT_PERCENT: u64 = 105;

/// Standard deviations of a count of random events that are taken for noise.
const NOISE_SIGMAS: u64 = 4;

/// Time after which a load that has not changed counts as reported again.
const UNCHANGED_REPORT_INTERVAL: Duration = Duration::from_millis(1100);

/// Time over which a report is carried forward.
const EXTRAPOLATION_LIMIT: Duration = Duration::from_secs(3);

/// Parts that a member's weight is counted in.
const WEIGHT_SCALE: u64 = 64;

/// Chooses owners and remembers what it granted.
#[derive(Debug)]
pub struct Placement {
    me: InstanceId,
    random: Random,
    /// New flows placed by this home less flows that ended here, since the start.
    net_growth: i64,
    /// New flows placed by this home and flows that ended here, since the start.
    events: u64,
    reports: IndexMap<InstanceId, Report>,
}

/// What happened since another member's last report.
#[derive(Clone, Copy, Debug, Default)]
struct Report {
    reported_at: Millis,
    /// Flows that it reports.
    flows: i64,
    /// Change of flows since the report before.
    flow_change: i64,
    /// Time since the report before, in milliseconds.
    interval_ms: i64,
    /// Growth here when it came.
    net_growth: i64,
    /// Events here when it came.
    events: u64,
    /// Flows granted to the member since.
    assigned: u64,
}

/// A member that may be given a flow.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    id: InstanceId,
    /// Flows as last reported, or as counted if this agent's own.
    flows: u64,
    /// Growth since.
    growth: i64,
    /// Flows granted since.
    assigned: u64,
    weight: u64,
}

impl Placement {
    /// Placement at the home `me`; `seed` drives its random choices.
    pub fn new(me: InstanceId, seed: u64) -> Placement {
        Placement {
            me,
            random: Random::new(seed),
            net_growth: 0,
            events: 0,
            reports: IndexMap::new(),
        }
    }

    /// Notes which members have reported between two pictures.
    pub fn update_reports(&mut self, now: Millis, old: Option<&GroupPicture>, new: &GroupPicture) {
        self.reports.retain(|id, _| new.loads.contains_key(id));
        for (id, load) in &new.loads {
            let last = self.reports.get(id).copied();
            let age = last.map_or(Duration::MAX, |last| now.since(last.reported_at));
            // A member that reports the same load again has reported as well.
            let same = old.and_then(|old| old.loads.get(id)) == Some(load);
            if same && age < UNCHANGED_REPORT_INTERVAL {
                continue;
            }
            let flows = i64::from(load.flows);
            let report = Report {
                reported_at: now,
                flows,
                flow_change: last.map_or(0, |last| flows - last.flows),
                interval_ms: last.map_or(0, |last| now.since(last.reported_at).as_millis() as i64),
                net_growth: self.net_growth,
                events: self.events,
                assigned: 0,
            };
            self.reports.insert(*id, report);
        }
    }

    /// Counts a flow given to `to`.
    pub fn record_assignment(&mut self, to: InstanceId) {
        self.reports.entry(to).or_default().assigned += 1;
    }

    /// Counts a flow of this agent that has ended.
    pub fn record_flow_end(&mut self) {
        self.net_growth -= 1;
        self.events += 1;
    }

    /// Owner of a new flow whose home this agent is, with `own_flows` open
    /// flows here. None when no member may be given work.
    pub fn choose(
        &mut self,
        now: Millis,
        picture: &GroupPicture,
        own_flows: usize,
    ) -> Option<InstanceId> {
        let share = self.share(now, picture, own_flows);
        let mine = self.candidate(now, picture, own_flows, self.me);
        self.net_growth += 1;
        self.events += 1;
        if mine.is_some_and(|own| share.allows(own, HOME_LOAD_LIMIT_PERCENT)) {
            return Some(self.me);
        }
        self.less_loaded_of_two(now, picture, own_flows, |c| share.allows(c, 100))
            .or_else(|| self.less_loaded_of_two(now, picture, own_flows, |_| true))
    }

    /// Another member for a flow that this agent may not open, not `sender`.
    pub fn choose_other(
        &mut self,
        now: Millis,
        picture: &GroupPicture,
        own_flows: usize,
        sender: Option<InstanceId>,
    ) -> Option<InstanceId> {
        let me = self.me;
        self.less_loaded_of_two(now, picture, own_flows, |c| {
            c.id != me && Some(c.id) != sender
        })
    }

    /// Whether this agent may open a flow that another member gave it.
    pub fn may_open(&self, now: Millis, picture: &GroupPicture, own_flows: usize) -> bool {
        self.candidate(now, picture, own_flows, self.me).is_some()
    }

    /// What the whole group bears once it has one flow more.
    fn share(&self, now: Millis, picture: &GroupPicture, own_flows: usize) -> Share {
        let mut share = Share {
            flows: 1,
            weight: 0,
        };
        for member in self.candidates(now, picture, own_flows) {
            share.flows += member.estimate();
            share.weight += member.weight;
        }
        share
    }

    fn less_loaded_of_two(
        &mut self,
        now: Millis,
        picture: &GroupPicture,
        own_flows: usize,
        allowed: impl Fn(Candidate) -> bool,
    ) -> Option<InstanceId> {
        let count = self
            .candidates(now, picture, own_flows)
            .filter(|c| allowed(*c))
            .count();
        let (low, high) = two_distinct(count, &mut self.random)?;
        let mut candidates = self
            .candidates(now, picture, own_flows)
            .filter(|c| allowed(*c));
        let a = candidates.nth(low)?;
        let b = match high - low {
            0 => a,
            apart => candidates.nth(apart - 1)?,
        };
        let a_is_better = (a.load() + 1) * b.weight <= (b.load() + 1) * a.weight;
        Some(if a_is_better { a.id } else { b.id })
    }

    fn candidates(
        &self,
        now: Millis,
        picture: &GroupPicture,
        own_flows: usize,
    ) -> impl Iterator<Item = Candidate> {
        let members = picture.group.members.iter();
        members.filter_map(move |m| self.candidate(now, picture, own_flows, m.id))
    }

    /// Growth of a member since its report.
    fn growth_since(&self, now: Millis, report: &Report) -> i64 {
        let age_ms = now
            .since(report.reported_at)
            .min(EXTRAPOLATION_LIMIT)
            .as_millis() as i64;
        let others = || self.reports.iter().filter(|(id, _)| **id != self.me);
        let flow_change: i64 = others().map(|(_, r)| r.flow_change).sum();
        let interval_ms: i64 = others().map(|(_, r)| r.interval_ms).sum();
        let extrapolated = flow_change * age_ms / interval_ms.max(1);
        let local_growth = self.net_growth - report.net_growth;
        let noise = NOISE_SIGMAS * (self.events - report.events).isqrt();
        extrapolated.max(local_growth.saturating_sub_unsigned(noise))
    }

    fn candidate(
        &self,
        now: Millis,
        picture: &GroupPicture,
        own_flows: usize,
        id: InstanceId,
    ) -> Option<Candidate> {
        let member = picture.group.member(id)?;
        let load = picture.loads.get(&id);
        // The load of another member that has not reported yet is unknown, so
        // it gets nothing. One's own table is always known.
        if !member.takes_work() || (load.is_none() && id != self.me) {
            return None;
        }
        let report = self.reports.get(&id).copied().unwrap_or_default();
        let (flows, growth, assigned) = if id == self.me {
            (own_flows as u64, 0, 0)
        } else {
            let flows = load.map_or(0, |l| u64::from(l.flows));
            (flows, self.growth_since(now, &report), report.assigned)
        };
        let weight = effective_weight(member, load);
        let open = load.is_none_or(|l| !l.leaving);
        let full = flows + assigned >= u64::from(member.policy.connections);
        (open && !full && weight > 0).then_some(Candidate {
            id,
            flows,
            growth,
            assigned,
            weight,
        })
    }
}

/// Flows of the members that take work, and their weight.
#[derive(Clone, Copy, Debug)]
struct Share {
    flows: u64,
    weight: u64,
}

impl Share {
    /// Whether the load of `c` is within `percent` of its share.
    fn allows(&self, c: Candidate, percent: u64) -> bool {
        c.load() * self.weight * 100 <= self.flows * c.weight * percent
    }
}

impl Candidate {
    /// Flows open by now.
    fn estimate(&self) -> u64 {
        self.flows.saturating_add_signed(self.growth)
    }

    /// The estimate, with what was granted.
    fn load(&self) -> u64 {
        self.estimate() + self.assigned
    }
}

/// Weight of a member in parts; in cold start that which its slots bear.
fn effective_weight(member: &Member, load: Option<&Load>) -> u64 {
    let full_weight = u64::from(member.policy.weight) * WEIGHT_SCALE;
    let Some(load) = load.filter(|l| l.warmth != Warmth::Warm) else {
        return full_weight;
    };
    let max_slots = u64::from(member.policy.slots.max(1));
    let slots = u64::from(load.slots).min(max_slots);
    full_weight * slots / max_slots
}

/// Two places below `count`, the lower first; different ones if there are.
fn two_distinct(count: usize, random: &mut Random) -> Option<(usize, usize)> {
    if count == 0 {
        return None;
    }
    let count = count as u64;
    let first = random.below(count);
    let second = (first + 1 + random.below(count - 1)) % count;
    Some((first.min(second) as usize, first.max(second) as usize))
}

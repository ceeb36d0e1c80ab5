//! Choice of the owner of a new flow: its home by rendezvous hashing, with bounded
//! loads.
//!
//! The home keeps a flow unless its load exceeds its share of the group's load
//! by more than a bound. Then the less loaded of two members chosen at random
//! gets the flow. The weight of a member in cold start is reduced to the
//! fraction of its slots that are open.
//!
//! The loads of other members are as old as their last heartbeat, while the
//! agent's own load is exact. If they were compared directly, each home would
//! find itself above the mean whenever the group's load grows, and assign every
//! flow elsewhere. Therefore each report is extrapolated, either at the rate at
//! which reports have changed or, at the start of a burst, by the local growth
//! since the report: homes get equal shares of new flows, so the others have
//! grown about as much. Local growth counts only as far as it exceeds the
//! statistical noise of the same number of random events.

use std::time::Duration;

use indexmap::IndexMap;
use ramp_protocol::message::Load;
use ramp_protocol::message::Warmth;
use ramp_state::key::InstanceId;
use ramp_state::routing_table::Member;
use ramp_state::time::Millis;

use crate::group_snapshot::GroupSnapshot;
use crate::random::Random;

/// Load of a home, in percent of its share, above which it assigns new flows to
/// other members.
const HOME_LOAD_LIMIT_PERCENT: u64 = 105;

/// Growth within this many standard deviations of a random count is noise.
const NOISE_SIGMAS: u64 = 4;

/// Time after which an unchanged load counts as a new report; a little
/// longer than the period of heartbeats.
const UNCHANGED_REPORT_INTERVAL: Duration = Duration::from_millis(1100);

/// Longest time over which a report is extrapolated.
const EXTRAPOLATION_LIMIT: Duration = Duration::from_secs(3);

/// Scale of weights, so that fractions of a weight stay integers.
const WEIGHT_SCALE: u64 = 64;

/// Chooses owners of new flows and keeps count of the flows it has assigned.
#[derive(Debug)]
pub struct Placement {
    me: InstanceId,
    random: Random,
    /// New flows placed by this home minus flows that ended here, since the start.
    net_growth: i64,
    /// New flows placed by this home plus flows that ended here, since the start.
    events: u64,
    reports: IndexMap<InstanceId, Report>,
}

/// Last load report of a member, and what has happened since.
#[derive(Clone, Copy, Debug, Default)]
struct Report {
    reported_at: Millis,
    /// Number of flows in the report.
    flows: i64,
    /// Change of the number of flows since the previous report.
    flow_change: i64,
    /// Time between the previous report and this one, in milliseconds.
    interval_ms: i64,
    /// [`Placement::net_growth`] when the report arrived.
    net_growth: i64,
    /// [`Placement::events`] when the report arrived.
    events: u64,
    /// Flows assigned to the member since the report.
    assigned: u64,
}

/// A member that a flow may be assigned to.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    id: InstanceId,
    /// Number of flows in the last report; the exact number for this agent.
    flows: u64,
    /// Estimated change of the number of flows since the report.
    growth: i64,
    /// Flows assigned to it since the report.
    assigned: u64,
    weight: u64,
}

impl Placement {
    /// Creates the placement of the agent `me`; `seed` drives its random choices.
    pub fn new(me: InstanceId, seed: u64) -> Placement {
        Placement {
            me,
            random: Random::new(seed),
            net_growth: 0,
            events: 0,
            reports: IndexMap::new(),
        }
    }

    /// Updates the reports with the loads that differ between two snapshots.
    pub fn update_reports(
        &mut self,
        now: Millis,
        old: Option<&GroupSnapshot>,
        new: &GroupSnapshot,
    ) {
        self.reports.retain(|id, _| new.loads.contains_key(id));
        for (id, load) in &new.loads {
            let last = self.reports.get(id).copied();
            let age = last.map_or(Duration::MAX, |last| now.since(last.reported_at));
            // The same load again is also a new report.
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

    /// Counts a flow assigned to `to`.
    pub fn record_assignment(&mut self, to: InstanceId) {
        self.reports.entry(to).or_default().assigned += 1;
    }

    /// Counts a flow of this agent that has ended.
    pub fn record_flow_end(&mut self) {
        self.net_growth -= 1;
        self.events += 1;
    }

    /// Chooses the owner of a new flow whose home is this agent. `own_flows` is
    /// the number of open flows here. None when no member takes new flows.
    pub fn choose(
        &mut self,
        now: Millis,
        snapshot: &GroupSnapshot,
        own_flows: usize,
    ) -> Option<InstanceId> {
        let share = self.share(now, snapshot, own_flows);
        let mine = self.candidate(now, snapshot, own_flows, self.me);
        self.net_growth += 1;
        self.events += 1;
        if mine.is_some_and(|own| share.allows(own, HOME_LOAD_LIMIT_PERCENT)) {
            return Some(self.me);
        }
        self.less_loaded_of_two(now, snapshot, own_flows, |c| share.allows(c, 100))
            .or_else(|| self.less_loaded_of_two(now, snapshot, own_flows, |_| true))
    }

    /// Chooses a member other than `sender` for a flow that this agent may not
    /// open.
    pub fn choose_other(
        &mut self,
        now: Millis,
        snapshot: &GroupSnapshot,
        own_flows: usize,
        sender: Option<InstanceId>,
    ) -> Option<InstanceId> {
        let me = self.me;
        self.less_loaded_of_two(now, snapshot, own_flows, |c| {
            c.id != me && Some(c.id) != sender
        })
    }

    /// Whether this agent may open a flow that another member assigned to it.
    pub fn may_open(&self, now: Millis, snapshot: &GroupSnapshot, own_flows: usize) -> bool {
        self.candidate(now, snapshot, own_flows, self.me).is_some()
    }

    /// Flows of the whole group, including the new one, and its total weight.
    fn share(&self, now: Millis, snapshot: &GroupSnapshot, own_flows: usize) -> Share {
        let mut share = Share {
            flows: 1,
            weight: 0,
        };
        for member in self.candidates(now, snapshot, own_flows) {
            share.flows += member.estimate();
            share.weight += member.weight;
        }
        share
    }

    /// Less loaded of two random candidates among the allowed ones.
    fn less_loaded_of_two(
        &mut self,
        now: Millis,
        snapshot: &GroupSnapshot,
        own_flows: usize,
        allowed: impl Fn(Candidate) -> bool,
    ) -> Option<InstanceId> {
        let count = self
            .candidates(now, snapshot, own_flows)
            .filter(|c| allowed(*c))
            .count();
        let (low, high) = two_distinct(count, &mut self.random)?;
        let mut candidates = self
            .candidates(now, snapshot, own_flows)
            .filter(|c| allowed(*c));
        let a = candidates.nth(low)?;
        let b = match high - low {
            0 => a,
            apart => candidates.nth(apart - 1)?,
        };
        let a_is_better = (a.load() + 1) * b.weight <= (b.load() + 1) * a.weight;
        Some(if a_is_better { a.id } else { b.id })
    }

    /// Members that a flow may be assigned to.
    fn candidates(
        &self,
        now: Millis,
        snapshot: &GroupSnapshot,
        own_flows: usize,
    ) -> impl Iterator<Item = Candidate> {
        let members = snapshot.group.members.iter();
        members.filter_map(move |m| self.candidate(now, snapshot, own_flows, m.id))
    }

    /// Estimated change of a member's number of flows since its report.
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

    /// The member `id`, if a flow may be assigned to it.
    fn candidate(
        &self,
        now: Millis,
        snapshot: &GroupSnapshot,
        own_flows: usize,
        id: InstanceId,
    ) -> Option<Candidate> {
        let member = snapshot.group.member(id)?;
        let load = snapshot.loads.get(&id);
        // Another member that has not reported its load yet gets no flows. The
        // load of this agent itself is always known.
        if !member.accepts_new_work() || (load.is_none() && id != self.me) {
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

/// Total flows and weight of the members that take new flows.
#[derive(Clone, Copy, Debug)]
struct Share {
    flows: u64,
    weight: u64,
}

impl Share {
    /// Whether the load of `c` is at most `percent` of its share.
    fn allows(&self, c: Candidate, percent: u64) -> bool {
        c.load() * self.weight * 100 <= self.flows * c.weight * percent
    }
}

impl Candidate {
    /// Estimated number of open flows, without those assigned since the report.
    fn estimate(&self) -> u64 {
        self.flows.saturating_add_signed(self.growth)
    }

    /// Estimated number of flows, with those assigned since the report.
    fn load(&self) -> u64 {
        self.estimate() + self.assigned
    }
}

/// Weight of a member times [`WEIGHT_SCALE`], reduced in cold start to the
/// fraction of its slots that are open.
fn effective_weight(member: &Member, load: Option<&Load>) -> u64 {
    let full_weight = u64::from(member.policy.weight) * WEIGHT_SCALE;
    let Some(load) = load.filter(|l| l.warmth != Warmth::Warm) else {
        return full_weight;
    };
    let max_slots = u64::from(member.policy.slots.max(1));
    let slots = u64::from(load.slots).min(max_slots);
    full_weight * slots / max_slots
}

/// Two random indexes below `count`, the lower first; distinct if `count` is
/// above one.
fn two_distinct(count: usize, random: &mut Random) -> Option<(usize, usize)> {
    if count == 0 {
        return None;
    }
    let count = count as u64;
    let first = random.below(count);
    let second = (first + 1 + random.below(count - 1)) % count;
    Some((first.min(second) as usize, first.max(second) as usize))
}

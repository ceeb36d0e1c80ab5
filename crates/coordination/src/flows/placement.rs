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
//! carried forward by what happened here since: homes get equal shares of the
//! new flows, so the others have grown about as much.

use indexmap::IndexMap;
use ramp_protocol::message::Load;
use ramp_protocol::message::Warmth;
use ramp_state::key::InstanceId;
use ramp_state::key::mix;
use ramp_state::view::Member;

use crate::picture::GroupPicture;

/// Load above its share at which a home gives flows away, in percent.
const BOUND_PERCENT: u64 = 105;

/// Flows above the bound that a home still keeps, so that small groups of
/// flows aren't sent around for the sake of a single one.
const SLACK_FLOWS: u64 = 1;

/// Parts that a member's weight is counted in.
const WEIGHT_PARTS: u64 = 64;

/// Chooses owners and remembers what it granted.
#[derive(Debug)]
pub struct Placement {
    me: InstanceId,
    random: u64,
    /// New flows placed by this home less flows that ended here, since the start.
    growth: i64,
    reports: IndexMap<InstanceId, Report>,
}

/// What happened since another member's last report.
#[derive(Clone, Copy, Debug, Default)]
struct Report {
    /// Growth when it came.
    growth: i64,
    /// Flows granted to the member since.
    grants: u64,
}

/// A member that may be given a flow.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    id: InstanceId,
    /// Flows as far as known; with `grown`, the estimate for this moment.
    flows: u64,
    grown: i64,
    granted: u64,
    weight: u64,
}

impl Placement {
    /// Placement at the home `me`; `seed` drives its random choices.
    pub fn new(me: InstanceId, seed: u64) -> Placement {
        Placement {
            me,
            random: seed,
            growth: 0,
            reports: IndexMap::new(),
        }
    }

    /// Notes which members have reported between two pictures.
    pub fn report(&mut self, old: Option<&GroupPicture>, new: &GroupPicture) {
        self.reports.retain(|id, _| new.loads.contains_key(id));
        for (id, load) in &new.loads {
            if old.and_then(|old| old.loads.get(id)) != Some(load) {
                let growth = self.growth;
                self.reports.insert(*id, Report { growth, grants: 0 });
            }
        }
    }

    /// Counts a flow given to `to`.
    pub fn grant(&mut self, to: InstanceId) {
        self.reports.entry(to).or_default().grants += 1;
    }

    /// Counts a flow of this agent that has ended.
    pub fn ended(&mut self) {
        self.growth -= 1;
    }

    /// Owner of a new flow whose home this agent is, with `own_flows` open
    /// flows here. None when no member may be given work.
    pub fn choose(&mut self, picture: &GroupPicture, own_flows: usize) -> Option<InstanceId> {
        let mine = self.candidate(picture, own_flows, self.me);
        let keeps = mine.is_some_and(|own| self.keeps(picture, own_flows, own));
        self.growth += 1;
        if keeps {
            return Some(self.me);
        }
        self.better_of_two(picture, own_flows, |_| true)
    }

    /// Another member for a flow that this agent may not open, not `sender`.
    pub fn choose_other(
        &mut self,
        picture: &GroupPicture,
        own_flows: usize,
        sender: Option<InstanceId>,
    ) -> Option<InstanceId> {
        let me = self.me;
        self.better_of_two(picture, own_flows, |id| id != me && Some(id) != sender)
    }

    /// Whether this agent may open a flow that another member gave it.
    pub fn may_open(&self, picture: &GroupPicture, own_flows: usize) -> bool {
        self.candidate(picture, own_flows, self.me).is_some()
    }

    fn keeps(&self, picture: &GroupPicture, own_flows: usize, own: Candidate) -> bool {
        let (mut flows, mut weight) = (1, 0);
        for other in self.candidates(picture, own_flows) {
            flows += other.estimate();
            weight += other.weight;
        }
        let load = (own.flows + 1).saturating_sub(SLACK_FLOWS);
        load * weight * 100 <= flows * own.weight * BOUND_PERCENT
    }

    fn better_of_two(
        &mut self,
        picture: &GroupPicture,
        own_flows: usize,
        allowed: impl Fn(InstanceId) -> bool,
    ) -> Option<InstanceId> {
        let candidates = || {
            self.candidates(picture, own_flows)
                .filter(|c| allowed(c.id))
        };
        let (first, second) = match candidates().count() {
            0 => return None,
            1 => (0, 0),
            count => two_of(count, mix(self.random)),
        };
        let (a, b) = (candidates().nth(first)?, candidates().nth(second)?);
        self.random = mix(self.random);
        let load = |c: Candidate| c.estimate() + c.granted + 1;
        let a_is_better = load(a) * b.weight <= load(b) * a.weight;
        Some(if a_is_better { a.id } else { b.id })
    }

    fn candidates(
        &self,
        picture: &GroupPicture,
        own_flows: usize,
    ) -> impl Iterator<Item = Candidate> {
        let members = picture.group.members.iter();
        members.filter_map(move |m| self.candidate(picture, own_flows, m.id))
    }

    fn candidate(
        &self,
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
        let (flows, grown, granted) = if id == self.me {
            (own_flows as u64, 0, 0)
        } else {
            let flows = load.map_or(0, |l| u64::from(l.flows));
            (flows, self.growth - report.growth, report.grants)
        };
        let weight = weight(member, load);
        let open = load.is_none_or(|l| !l.leaving);
        let full = flows + granted >= u64::from(member.policy.connections);
        (open && !full && weight > 0).then_some(Candidate {
            id,
            flows,
            grown,
            granted,
            weight,
        })
    }
}

impl Candidate {
    /// Flows open by now.
    fn estimate(&self) -> u64 {
        self.flows.saturating_add_signed(self.grown)
    }
}

/// Weight of a member in parts; in cold start that which its slots bear.
fn weight(member: &Member, load: Option<&Load>) -> u64 {
    let full = u64::from(member.policy.weight) * WEIGHT_PARTS;
    let Some(load) = load.filter(|l| l.warmth != Warmth::Warm) else {
        return full;
    };
    let most = u64::from(member.policy.slots.max(1));
    let slots = u64::from(load.slots).min(most);
    full * slots / most
}

/// Two different places below `count`, which is at least two.
fn two_of(count: usize, random: u64) -> (usize, usize) {
    let count = count as u64;
    let first = (random >> 32) % count;
    let second = (first + 1 + (random & 0xffff_ffff) % (count - 1)) % count;
    (first as usize, second as usize)
}

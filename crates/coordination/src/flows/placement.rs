//! Choice of the owner of a new flow: bounded loads.
//!
//! The home keeps a flow unless its own load is above its share of the
//! group's by more than a bound; then the better of two members chosen at
//! random gets it. Loads of others are as old as their last heartbeat, so
//! flows granted since then are added. A member in cold start counts with the
//! part of its weight that its slots bear.

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
    /// Flows granted to others since their last report.
    grants: IndexMap<InstanceId, u32>,
}

/// A member that may be given a flow.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    id: InstanceId,
    flows: u64,
    weight: u64,
}

impl Placement {
    /// Placement at the home `me`; `seed` drives its random choices.
    pub fn new(me: InstanceId, seed: u64) -> Placement {
        Placement {
            me,
            random: seed,
            grants: IndexMap::new(),
        }
    }

    /// Forgets grants to members whose report has changed since `old`.
    pub fn report(&mut self, old: &GroupPicture, new: &GroupPicture) {
        self.grants
            .retain(|id, _| old.loads.get(id) == new.loads.get(id));
    }

    /// Counts a flow given to `to`.
    pub fn grant(&mut self, to: InstanceId) {
        *self.grants.entry(to).or_default() += 1;
    }

    /// Owner of a new flow whose home this agent is, with `own_flows` open
    /// flows here. None when no member may be given work.
    pub fn choose(&mut self, picture: &GroupPicture, own_flows: usize) -> Option<InstanceId> {
        let mine = self.candidate(picture, own_flows, self.me);
        if mine.is_some_and(|own| self.keeps(picture, own_flows, own)) {
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
        for member in &picture.group.members {
            let Some(other) = self.candidate(picture, own_flows, member.id) else {
                continue;
            };
            flows += other.flows;
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
            picture
                .group
                .members
                .iter()
                .filter(|m| allowed(m.id))
                .filter_map(|m| self.candidate(picture, own_flows, m.id))
        };
        let count = candidates().count();
        let (first, second) = match count {
            0 => return None,
            1 => (0, 0),
            _ => two_of(count, mix(self.random)),
        };
        let (a, b) = (candidates().nth(first)?, candidates().nth(second)?);
        self.random = mix(self.random);
        let a_is_better = (a.flows + 1) * b.weight <= (b.flows + 1) * a.weight;
        Some(if a_is_better { a.id } else { b.id })
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
        let flows = if id == self.me {
            own_flows as u64
        } else {
            let granted = self.grants.get(&id).copied().unwrap_or(0);
            u64::from(load.map_or(0, |l| l.flows)) + u64::from(granted)
        };
        let weight = weight(member, load);
        let open = load.is_none_or(|l| !l.leaving);
        let full = flows >= u64::from(member.policy.connections);
        (open && !full && weight > 0).then_some(Candidate { id, flows, weight })
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

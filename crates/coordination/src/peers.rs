//! Choice of another agent for a request that can't run here.
//!
//! Two candidates are drawn and the emptier one gets the request. What was
//! handed to a peer since its load was last heard counts as load already, so
//! that a burst does not all go to the peer that looked empty.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use ramp_protocol::message::Load;
use ramp_state::key::InstanceId;
use ramp_state::time::Millis;
use ramp_state::view::Member;

use crate::picture::GroupPicture;
use crate::random::Random;

/// Time for which a peer that refused is not asked again.
const REFUSAL_PAUSE: Duration = Duration::from_millis(100);

/// A load report may have been written so long before it came.
const REPORT_AGE: Duration = Duration::from_millis(100);

/// After so long, a request that was handed on is in the peer's reports.
const HANDED_LIMIT: Duration = Duration::from_secs(1);

/// A peer is worth a hop when it has so many fewer requests in progress.
const SHARE_MARGIN: u32 = 2;

#[derive(Clone, Debug, Default)]
struct Peer {
    /// When each request was handed to it that its load may not show yet.
    handed: Vec<Millis>,
    refused_until: Millis,
}

/// The other agents of the group, as possible receivers of requests.
#[derive(Debug)]
pub struct Peers {
    me: InstanceId,
    picture: Option<Arc<GroupPicture>>,
    peers: IndexMap<InstanceId, Peer>,
    random: Random,
}

impl Peers {
    /// No peers known yet.
    pub fn new(me: InstanceId, seed: u64) -> Peers {
        Peers {
            me,
            picture: None,
            peers: IndexMap::new(),
            random: Random::new(seed),
        }
    }

    /// Takes a new picture of the group.
    pub fn install(&mut self, now: Millis, picture: Arc<GroupPicture>) {
        self.peers
            .retain(|id, _| picture.group.member(*id).is_some());
        for (id, peer) in &mut self.peers {
            let before = self.picture.as_ref().and_then(|p| p.loads.get(id));
            let is_news = picture.loads.get(id) != before;
            let keep = if is_news { REPORT_AGE } else { HANDED_LIMIT };
            peer.handed.retain(|at| *at + keep > now);
        }
        self.picture = Some(picture);
    }

    /// Peer with a free slot that is not in `tried`.
    pub fn choose(&mut self, now: Millis, tried: &[InstanceId]) -> Option<InstanceId> {
        self.draw(now, tried)
    }

    /// Peer that has clearly fewer requests in progress than `mine`.
    pub fn emptier(&mut self, now: Millis, mine: u32) -> Option<InstanceId> {
        if mine < SHARE_MARGIN {
            return None;
        }
        let found = self.draw(now, &[])?;
        let load = self.load(found)?;
        (self.busy(found, &load) + SHARE_MARGIN <= mine).then_some(found)
    }

    /// Whether any peer has a free slot.
    pub fn has_room(&self, now: Millis) -> bool {
        let Some(picture) = &self.picture else {
            return false;
        };
        let members = &picture.group.members;
        members
            .iter()
            .any(|m| self.is_candidate(now, m, picture, &[]) && self.free(m.id).is_some())
    }

    /// A request goes to `to`.
    pub fn handed(&mut self, now: Millis, to: InstanceId) {
        let peer = self.peers.entry(to).or_default();
        peer.handed.retain(|at| *at + HANDED_LIMIT > now);
        peer.handed.push(now);
    }

    /// A request that went to `to` has ended.
    pub fn ended(&mut self, now: Millis, to: InstanceId) {
        if let Some(peer) = self.peers.get_mut(&to) {
            peer.handed.retain(|at| *at + HANDED_LIMIT > now);
            peer.handed.pop();
        }
    }

    /// `to` refused a request without running it.
    pub fn refused(&mut self, now: Millis, to: InstanceId) {
        let peer = self.peers.entry(to).or_default();
        peer.refused_until = now + REFUSAL_PAUSE;
    }

    fn draw(&mut self, now: Millis, tried: &[InstanceId]) -> Option<InstanceId> {
        let picture = self.picture.clone()?;
        let free: Vec<(InstanceId, u32)> = picture
            .group
            .members
            .iter()
            .filter(|m| self.is_candidate(now, m, &picture, tried))
            .filter_map(|m| Some((m.id, self.free(m.id)?)))
            .collect();
        let len = free.len() as u64;
        if len == 0 {
            return None;
        }
        let first = self.random.below(len) as usize;
        let step = 1 + self.random.below(len.saturating_sub(1)) as usize;
        let second = (first + step) % free.len();
        let (a, b) = (free[first], free[second]);
        Some(if b.1 > a.1 { b.0 } else { a.0 })
    }

    fn is_candidate(
        &self,
        now: Millis,
        m: &Member,
        picture: &GroupPicture,
        tried: &[InstanceId],
    ) -> bool {
        let paused = self.peers.get(&m.id).is_some_and(|p| now < p.refused_until);
        m.id != self.me
            && m.takes_work()
            && !paused
            && !picture.gone.contains(&m.id)
            && !tried.contains(&m.id)
    }

    /// Free slots of a peer that takes work; nothing when it has none.
    fn free(&self, id: InstanceId) -> Option<u32> {
        let load = self.load(id)?;
        if load.leaving || load.waiting > 0 {
            return None;
        }
        let free = load.slots.checked_sub(self.busy(id, &load))?;
        (free > 0).then_some(free)
    }

    fn busy(&self, id: InstanceId, load: &Load) -> u32 {
        let handed = self.peers.get(&id).map_or(0, |p| p.handed.len());
        load.in_progress + handed as u32
    }

    fn load(&self, id: InstanceId) -> Option<Load> {
        self.picture.as_ref()?.loads.get(&id).copied()
    }
}

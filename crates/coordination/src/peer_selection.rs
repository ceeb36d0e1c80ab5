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
use ramp_state::routing_table::Member;
use ramp_state::time::Millis;

use crate::group_snapshot::GroupSnapshot;
use crate::random::Random;

/// Time for which a peer that refused is not asked again.
const REFUSAL_PAUSE: Duration = Duration::from_millis(25);

/// A request handed on that did not end in this time counts no longer; the
/// peer's reports show it by then.
const HANDED_LIMIT: Duration = Duration::from_secs(1);

/// Requests in progress above the peers' mean that are worth a hop, in
/// thousandths.
const SHARE_MARGIN: u32 = 400;

/// Difference of means from which a group is uneven, in thousandths.
const UNEVEN_LEAST: u32 = 100;

/// Free part of a slot, in thousandths, that makes a peer worth asking.
const FREE_LEAST: u32 = 500;

/// Share of a new report in a peer's mean, one in so many.
const REPORT_SHARE: u32 = 4;

/// Thousandths in one request.
const THOUSANDTHS: u32 = 1000;

#[derive(Clone, Debug, Default)]
struct Peer {
    /// When each request was handed to it that has not ended.
    handed: Vec<Millis>,
    /// Mean of the length of `handed` over its reports, in thousandths.
    handed_mean: u32,
    refused_until: Millis,
    /// Mean of its requests in progress over its reports, in thousandths.
    mean: Option<u32>,
}

/// The other agents of the group, as possible receivers of requests.
#[derive(Debug)]
pub struct PeerSelector {
    me: InstanceId,
    picture: Option<Arc<GroupSnapshot>>,
    peers: IndexMap<InstanceId, Peer>,
    /// Mean of this agent's own requests in progress, in thousandths.
    mean: Option<u32>,
    random: Random,
}

impl PeerSelector {
    /// No peers known yet.
    pub fn new(me: InstanceId, seed: u64) -> PeerSelector {
        PeerSelector {
            me,
            picture: None,
            peers: IndexMap::new(),
            mean: None,
            random: Random::new(seed),
        }
    }

    /// Takes a new picture of the group, and the requests in progress here.
    pub fn install(&mut self, now: Millis, picture: Arc<GroupSnapshot>, mine: u32) {
        self.mean = Some(moved(self.mean, mine));
        self.peers
            .retain(|id, _| picture.group.member(*id).is_some());
        for (id, load) in &picture.loads {
            self.peers.entry(*id).or_default().reported(now, load);
        }
        self.picture = Some(picture);
    }

    /// Peer with a free slot that is not in `tried`.
    pub fn choose(&mut self, now: Millis, tried: &[InstanceId]) -> Option<InstanceId> {
        self.draw(now, tried)
    }

    /// Peer with a free slot, if this agent has more in progress than others,
    /// on average and with `mine` at this moment too. In an even group nothing
    /// is gained by moving requests around.
    pub fn choose_less_loaded(&mut self, now: Millis, mine: u32) -> Option<InstanceId> {
        let usual = self.usual(now)?;
        let is_uneven = self.mean? >= usual + UNEVEN_LEAST;
        if !is_uneven || mine * THOUSANDTHS < usual + SHARE_MARGIN {
            return None;
        }
        self.draw(now, &[])
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
    pub fn record_forward(&mut self, now: Millis, to: InstanceId) {
        let peer = self.peers.entry(to).or_default();
        peer.forget_handed(now);
        peer.handed.push(now);
    }

    /// A request that went to `to` has ended.
    pub fn record_forward_end(&mut self, now: Millis, to: InstanceId) {
        if let Some(peer) = self.peers.get_mut(&to) {
            peer.forget_handed(now);
            peer.handed.pop();
        }
    }

    /// `to` refused a request without running it.
    pub fn record_refusal(&mut self, now: Millis, to: InstanceId) {
        let peer = self.peers.entry(to).or_default();
        peer.refused_until = now + REFUSAL_PAUSE;
    }

    /// Mean of the requests in progress at peers that take work, in
    /// thousandths.
    fn usual(&self, now: Millis) -> Option<u32> {
        let picture = self.picture.as_ref()?;
        let members = picture.group.members.iter();
        let means: Vec<u32> = members
            .filter(|m| self.is_candidate(now, m, picture, &[]))
            .filter_map(|m| self.peers.get(&m.id)?.mean)
            .collect();
        let count = means.len() as u32;
        (count > 0).then(|| means.iter().sum::<u32>() / count)
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
        picture: &GroupSnapshot,
        tried: &[InstanceId],
    ) -> bool {
        let paused = self.peers.get(&m.id).is_some_and(|p| now < p.refused_until);
        m.id != self.me
            && m.accepts_new_work()
            && !paused
            && !picture.gone.contains(&m.id)
            && !tried.contains(&m.id)
    }

    /// Free slots of a peer that takes work, in thousandths; nothing when it
    /// has none.
    fn free(&self, id: InstanceId) -> Option<u32> {
        let load = self.picture.as_ref()?.loads.get(&id)?;
        if load.leaving {
            return None;
        }
        let busy = self.peers.get(&id).map_or(0, Peer::busy);
        let free = (load.slots * THOUSANDTHS).checked_sub(busy)?;
        (free >= FREE_LEAST).then_some(free)
    }
}

impl Peer {
    /// A report is older than most requests that it counts, so its numbers
    /// only move the mean.
    fn reported(&mut self, now: Millis, load: &Load) {
        self.forget_handed(now);
        let busy = load.in_progress + load.waiting;
        self.mean = Some(moved(self.mean, busy));
        self.handed_mean = moved(Some(self.handed_mean), self.handed.len() as u32);
    }

    /// Requests in progress to expect there now: the mean, and what was
    /// handed to it above the usual.
    fn busy(&self) -> u32 {
        let handed = self.handed.len() as u32 * THOUSANDTHS;
        let mean = self.mean.unwrap_or(0);
        (mean + handed).saturating_sub(self.handed_mean)
    }

    fn forget_handed(&mut self, now: Millis) {
        self.handed.retain(|at| *at + HANDED_LIMIT > now);
    }
}

/// Mean after one more report, in thousandths.
fn moved(mean: Option<u32>, reported: u32) -> u32 {
    let reported = reported * THOUSANDTHS;
    let mean = mean.unwrap_or(reported);
    (mean * (REPORT_SHARE - 1) + reported) / REPORT_SHARE
}

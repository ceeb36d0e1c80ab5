//! Selects another agent of the group to forward a request to.
//!
//! Selection takes the better of two random choices: two peers are drawn, and
//! the one with more free slots gets the request. Load reports lag behind, so
//! requests forwarded to a peer since its last report count as load at once.
//! Otherwise a burst would all go to the peer that last reported a low load.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use ramp_protocol::message::Load;
use ramp_state::key::InstanceId;
use ramp_state::routing_table::Member;
use ramp_state::time::Millis;

use crate::group_snapshot::GroupSnapshot;
use crate::random::Random;

/// Time for which a peer that refused a request gets no further ones.
const REFUSAL_COOLDOWN: Duration = Duration::from_millis(25);

/// Time for which a forwarded request counts as load of its peer, unless it ends
/// earlier. By then the peer's reports include it.
const FORWARD_EXPIRY: Duration = Duration::from_secs(1);

/// Requests that this agent has in progress above the peers' mean, in
/// thousandths, from which evening out the load is worth the extra hop.
const REBALANCE_MARGIN_THOUSANDTHS: u32 = 400;

/// Difference between this agent's mean and the peers' mean, in thousandths of
/// a request, from which the load counts as uneven.
const MIN_IMBALANCE_THOUSANDTHS: u32 = 100;

/// Free capacity that a peer needs to be a candidate, in thousandths of a slot.
const MIN_FREE_THOUSANDTHS: u32 = 500;

/// Weight of a new report in the moving averages, as a divisor.
const MEAN_DIVISOR: u32 = 4;

/// Factor from requests to thousandths of a request.
const THOUSANDTHS_PER_REQUEST: u32 = 1000;

#[derive(Clone, Debug, Default)]
struct Peer {
    /// Requests forwarded to it that have not ended, by the time of forwarding.
    forwarded: Vec<Millis>,
    /// Moving average of the length of `forwarded`, sampled at each report, in
    /// thousandths.
    forwarded_mean: u32,
    refused_until: Millis,
    /// Moving average of the requests in progress or waiting that it reports,
    /// in thousandths; `None` before its first report.
    mean: Option<u32>,
}

/// Tracks the load of the group's other agents, to select one of them.
#[derive(Debug)]
pub struct PeerSelector {
    me: InstanceId,
    snapshot: Option<Arc<GroupSnapshot>>,
    peers: IndexMap<InstanceId, Peer>,
    /// Moving average of this agent's own requests in progress or waiting, in
    /// thousandths.
    mean: Option<u32>,
    random: Random,
}

impl PeerSelector {
    /// Selector without peers, until the first snapshot is installed.
    pub fn new(me: InstanceId, seed: u64) -> PeerSelector {
        PeerSelector {
            me,
            snapshot: None,
            peers: IndexMap::new(),
            mean: None,
            random: Random::new(seed),
        }
    }

    /// Installs a new snapshot of the group. `mine` counts the requests in
    /// progress or waiting at this agent.
    pub fn install(&mut self, now: Millis, snapshot: Arc<GroupSnapshot>, mine: u32) {
        self.mean = Some(moving_mean(self.mean, mine));
        self.peers
            .retain(|id, _| snapshot.group.member(*id).is_some());
        for (id, load) in &snapshot.loads {
            self.peers.entry(*id).or_default().reported(now, load);
        }
        self.snapshot = Some(snapshot);
    }

    /// Selects a peer that has a free slot and is not in `tried`.
    pub fn choose(&mut self, now: Millis, tried: &[InstanceId]) -> Option<InstanceId> {
        self.draw(now, tried)
    }

    /// Selects a peer with a free slot, if this agent has more requests in
    /// progress than its peers, both on average and now, where it has `mine`.
    /// While the load is even, forwarding would gain nothing.
    pub fn choose_less_loaded(&mut self, now: Millis, mine: u32) -> Option<InstanceId> {
        let peers_mean = self.peers_mean(now)?;
        let is_uneven = self.mean? >= peers_mean + MIN_IMBALANCE_THOUSANDTHS;
        if !is_uneven || mine * THOUSANDTHS_PER_REQUEST < peers_mean + REBALANCE_MARGIN_THOUSANDTHS
        {
            return None;
        }
        self.draw(now, &[])
    }

    /// Whether any candidate has a free slot.
    pub fn has_room(&self, now: Millis) -> bool {
        let Some(snapshot) = &self.snapshot else {
            return false;
        };
        let members = &snapshot.group.members;
        members
            .iter()
            .any(|m| self.is_candidate(now, m, snapshot, &[]) && self.free(m.id).is_some())
    }

    /// Records that a request is forwarded to `to`.
    pub fn record_forward(&mut self, now: Millis, to: InstanceId) {
        let peer = self.peers.entry(to).or_default();
        peer.expire_forwarded(now);
        peer.forwarded.push(now);
    }

    /// Records that a request forwarded to `to` has ended.
    pub fn record_forward_end(&mut self, now: Millis, to: InstanceId) {
        if let Some(peer) = self.peers.get_mut(&to) {
            peer.expire_forwarded(now);
            peer.forwarded.pop();
        }
    }

    /// Records that `to` refused a request without running it.
    pub fn record_refusal(&mut self, now: Millis, to: InstanceId) {
        let peer = self.peers.entry(to).or_default();
        peer.refused_until = now + REFUSAL_COOLDOWN;
    }

    /// Mean over all candidates of their requests in progress or waiting, in
    /// thousandths.
    fn peers_mean(&self, now: Millis) -> Option<u32> {
        let snapshot = self.snapshot.as_ref()?;
        let members = snapshot.group.members.iter();
        let means: Vec<u32> = members
            .filter(|m| self.is_candidate(now, m, snapshot, &[]))
            .filter_map(|m| self.peers.get(&m.id)?.mean)
            .collect();
        let count = means.len() as u32;
        (count > 0).then(|| means.iter().sum::<u32>() / count)
    }

    fn draw(&mut self, now: Millis, tried: &[InstanceId]) -> Option<InstanceId> {
        let snapshot = self.snapshot.clone()?;
        let free: Vec<(InstanceId, u32)> = snapshot
            .group
            .members
            .iter()
            .filter(|m| self.is_candidate(now, m, &snapshot, tried))
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
        snapshot: &GroupSnapshot,
        tried: &[InstanceId],
    ) -> bool {
        let is_cooling_down = self.peers.get(&m.id).is_some_and(|p| now < p.refused_until);
        m.id != self.me
            && m.accepts_new_work()
            && !is_cooling_down
            && !snapshot.gone.contains(&m.id)
            && !tried.contains(&m.id)
    }

    /// Free slots of a peer, in thousandths; `None` if it has not reported its
    /// load, is leaving, or has less than `MIN_FREE_THOUSANDTHS`.
    fn free(&self, id: InstanceId) -> Option<u32> {
        let load = self.snapshot.as_ref()?.loads.get(&id)?;
        if load.leaving {
            return None;
        }
        let busy = self.peers.get(&id).map_or(0, Peer::busy);
        let free = (load.slots * THOUSANDTHS_PER_REQUEST).checked_sub(busy)?;
        (free >= MIN_FREE_THOUSANDTHS).then_some(free)
    }
}

impl Peer {
    /// Takes a load report. Most requests that it counts have ended by the time
    /// that it arrives, so it is only averaged into the mean.
    fn reported(&mut self, now: Millis, load: &Load) {
        self.expire_forwarded(now);
        let busy = load.in_progress + load.waiting;
        self.mean = Some(moving_mean(self.mean, busy));
        self.forwarded_mean = moving_mean(Some(self.forwarded_mean), self.forwarded.len() as u32);
    }

    /// Requests expected to be in progress there now, in thousandths: the mean,
    /// plus those forwarded to it beyond their own mean.
    fn busy(&self) -> u32 {
        let forwarded = self.forwarded.len() as u32 * THOUSANDTHS_PER_REQUEST;
        let mean = self.mean.unwrap_or(0);
        (mean + forwarded).saturating_sub(self.forwarded_mean)
    }

    fn expire_forwarded(&mut self, now: Millis) {
        self.forwarded.retain(|at| *at + FORWARD_EXPIRY > now);
    }
}

/// Moving average in thousandths after one more report; the first report
/// becomes the average.
fn moving_mean(mean: Option<u32>, reported: u32) -> u32 {
    let reported = reported * THOUSANDTHS_PER_REQUEST;
    let mean = mean.unwrap_or(reported);
    (mean * (MEAN_DIVISOR - 1) + reported) / MEAN_DIVISOR
}

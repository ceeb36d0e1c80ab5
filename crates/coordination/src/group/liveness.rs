//! Failure detector of an agent: tracks when the last message of each other
//! member of its group arrived, its reported load, and whether the platform
//! lists it.

use std::collections::HashSet;
use std::time::Duration;

use indexmap::IndexMap;
use ramp_protocol::message::Envelope;
use ramp_protocol::message::Load;
use ramp_protocol::message::Message;
use ramp_state::key::InstanceId;
use ramp_state::routing_table::Member;
use ramp_state::time::Millis;

use super::replay_filter::MessageOrder;
use super::tick_gap::TickGapDetector;

/// Time without a message after which a member is suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(2200);

/// Time for which a silent member must be absent from the platform's list
/// before it counts as gone.
const UNLISTED_TIMEOUT: Duration = Duration::from_secs(2);

/// What is known about another member.
#[derive(Clone, Copy, Debug)]
struct Peer {
    last_message_at: Millis,
    /// Order of the newest heartbeat among the member's messages.
    newest_heartbeat: MessageOrder,
    load: Option<Load>,
    unlisted_at: Option<Millis>,
}

/// The other members of the group whose data centre is in service, by id.
#[derive(Debug, Default)]
pub(super) struct Liveness {
    peers: IndexMap<InstanceId, Peer>,
    tick_gap: TickGapDetector,
}

impl Liveness {
    /// Replaces the set of tracked members. Known ones keep their state; a new
    /// one counts as if a message of it had arrived now.
    pub(super) fn retain_members<'a>(
        &mut self,
        now: Millis,
        members: impl Iterator<Item = &'a Member>,
    ) {
        let mut old = std::mem::take(&mut self.peers);
        for member in members {
            let peer = old.swap_remove(&member.id).unwrap_or(Peer {
                last_message_at: now,
                newest_heartbeat: MessageOrder::default(),
                load: None,
                unlisted_at: None,
            });
            self.peers.insert(member.id, peer);
        }
    }

    /// Records which members the platform lists.
    pub(super) fn update_listed(&mut self, now: Millis, listed: impl Fn(InstanceId) -> bool) {
        for (id, peer) in &mut self.peers {
            if listed(*id) {
                peer.unlisted_at = None;
            } else {
                peer.unlisted_at.get_or_insert(now);
            }
        }
    }

    /// Records a message; true when it is a heartbeat that updates a load.
    pub(super) fn record_message(&mut self, now: Millis, envelope: &Envelope) -> bool {
        let Some(peer) = self.peers.get_mut(&envelope.sender) else {
            return false;
        };
        peer.last_message_at = peer.last_message_at.max(now);
        let Message::Heartbeat { load, .. } = &envelope.message else {
            return false;
        };
        let order = MessageOrder::of(envelope);
        if order < peer.newest_heartbeat {
            return false;
        }
        peer.newest_heartbeat = order;
        peer.load = Some(*load);
        true
    }

    /// Adds a pause of this process to the times of the others' last messages,
    /// so that the pause doesn't count as their silence.
    pub(super) fn exclude_own_pause(&mut self, now: Millis) {
        let Some(gap) = self.tick_gap.long_gap(now) else {
            return;
        };
        for peer in self.peers.values_mut() {
            peer.last_message_at = (peer.last_message_at + gap).min(now);
        }
    }

    /// Members that are suspected.
    pub(super) fn suspected(&self, now: Millis) -> HashSet<InstanceId> {
        self.peers
            .iter()
            .filter(|(_, peer)| peer.is_silent(now))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Members that are silent and no longer listed by the platform.
    pub(super) fn gone(&self, now: Millis) -> impl Iterator<Item = InstanceId> {
        self.peers
            .iter()
            .filter(move |(_, peer)| peer.is_silent(now) && peer.is_unlisted(now))
            .map(|(id, _)| *id)
    }

    /// Last known load of each member that has reported one.
    pub(super) fn loads(&self) -> impl Iterator<Item = (InstanceId, Load)> {
        let peers = self.peers.iter();
        peers.filter_map(|(id, peer)| Some((*id, peer.load?)))
    }

    /// When the next member that was not yet suspected at `last` will be
    /// suspected.
    pub(super) fn next_suspicion(&self, last: Millis) -> Option<Millis> {
        let peers = self.peers.values();
        let times = peers.map(|peer| peer.last_message_at + SUSPECT_AFTER);
        times.filter(|at| *at > last).min()
    }
}

impl Peer {
    fn is_silent(&self, now: Millis) -> bool {
        now.since(self.last_message_at) >= SUSPECT_AFTER
    }

    fn is_unlisted(&self, now: Millis) -> bool {
        self.unlisted_at
            .is_some_and(|at| now.since(at) >= UNLISTED_TIMEOUT)
    }
}

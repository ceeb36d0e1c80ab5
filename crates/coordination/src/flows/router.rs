//! The flow router of an agent's traffic thread: holds its state and dispatches
//! packets, control messages and timers to the other files of this module.

use std::sync::Arc;

use indexmap::IndexMap;
use ramp_protocol::message::Message;
use ramp_protocol::message::Ownership;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::key::InstanceId;
use ramp_state::key::mix;
use ramp_state::routing_table::Group;
use ramp_state::time::Millis;

use super::Action;
use super::Arrival;
use super::DropReason;
use super::FlowCounts;
use super::Outgoing;
use super::Placement;
use super::Reset;
use super::directory::Directory;
use super::ended_flows::EndedFlows;
use super::owner_queries::OwnerQueries;
use super::peer_messages::can_message;
use super::registration::Registration;
use super::registration::SCAN_FLOWS_PER_PERIOD;
use super::table::FlowId;
use super::table::FlowTable;
use super::table::Handshake;
use super::token_bucket::TokenBucket;
use crate::group_snapshot::GroupSnapshot;

/// Routes the packets of callers among the agents of a group.
///
/// There is one per traffic thread. See the [module](crate::flows) for the
/// rules and for how to drive it.
#[derive(Debug)]
pub struct FlowRouter {
    pub(super) me: InstanceId,
    pub(super) snapshot: Option<Arc<GroupSnapshot>>,
    /// Whether this agent's own data centre was taken out.
    pub(super) is_out: bool,
    pub(super) table: FlowTable,
    pub(super) directory: Directory,
    pub(super) ended_flows: EndedFlows,
    pub(super) owner_queries: OwnerQueries,
    pub(super) placement: Placement,
    pub(super) registration: Registration,
    pub(super) answer_limits: IndexMap<InstanceId, TokenBucket>,
    pub(super) outbox: Vec<Outgoing>,
    pub(super) resets: Vec<Reset>,
    pub(super) abandoned: Vec<FlowKey>,
    pub(super) counts: FlowCounts,
}

impl FlowRouter {
    /// Creates the router of the agent `me`. `seed` drives its random choices
    /// and keys its hash tables, so it should be secret.
    pub fn new(me: InstanceId, seed: u64) -> FlowRouter {
        FlowRouter {
            me,
            snapshot: None,
            is_out: false,
            table: FlowTable::new(mix(seed)),
            directory: Directory::new(mix(seed ^ 1)),
            ended_flows: EndedFlows::new(mix(seed ^ 4)),
            owner_queries: OwnerQueries::new(mix(seed ^ 2)),
            placement: Placement::new(me, mix(seed ^ 3)),
            registration: Registration::new(),
            answer_limits: IndexMap::new(),
            outbox: Vec::new(),
            resets: Vec::new(),
            abandoned: Vec::new(),
            counts: FlowCounts::default(),
        }
    }

    /// Replaces the snapshot of the group.
    pub fn install(&mut self, now: Millis, snapshot: Arc<GroupSnapshot>) {
        let old = self.snapshot.replace(snapshot.clone());
        self.is_out = snapshot.group.member(self.me).is_some_and(|m| !m.reachable);
        self.answer_limits
            .retain(|id, _| can_message(&snapshot, *id));
        self.registration.retain(|id| can_message(&snapshot, id));
        self.placement
            .update_reports(now, old.as_deref(), &snapshot);
        let homes_changed = old
            .as_ref()
            .is_none_or(|old| homes_differ(&old.group, &snapshot.group));
        if homes_changed {
            self.registration
                .restart_scan(now, self.table.established());
        }
        // A snapshot that only brings new loads can't conclude a query.
        if old.is_none_or(|old| possible_owners_differ(&old, &snapshot)) {
            self.conclude_owner_queries();
        }
    }

    /// Decides what to do with a packet of a caller, and counts it.
    pub fn on_packet(&mut self, now: Millis, arrival: Arrival, segment: &Segment) -> Action {
        let action = match self.choose_action(now, arrival, segment) {
            Action::Reset(_) if segment.rst => Action::Drop(DropReason::ResetOfGone),
            action => action,
        };
        match action {
            Action::Open => self.counts.opened += 1,
            Action::Forward { .. } => self.counts.forwarded += 1,
            Action::Drop(reason) => self.counts.drops.add(reason),
            Action::Deliver | Action::Reset(_) => {}
        }
        action
    }

    /// Records the initial sequence number with which the SYN-ACK was sent.
    pub fn on_syn_ack_sent(&mut self, _now: Millis, key: FlowKey, isn: u32) {
        let Some(flow) = self.table.find_mut(&key) else {
            return;
        };
        if flow.handshake == Handshake::SynReceived {
            flow.handshake = Handshake::SynAckSent(isn);
        }
    }

    /// Whether this agent owns the flow and its handshake is complete.
    pub fn is_established(&self, key: FlowKey) -> bool {
        self.table
            .find(&key)
            .is_some_and(|flow| flow.handshake == Handshake::Established)
    }

    /// Removes a flow whose TCP endpoint has ended.
    pub fn on_flow_closed(&mut self, now: Millis, key: FlowKey) {
        let Some(flow) = self.table.remove(&key) else {
            return;
        };
        self.placement.record_flow_end();
        self.ended_flows.insert(now, key);
        if let Some(home) = flow.pointer_holder {
            self.registration.release(now, home, key);
        }
    }

    /// Handles a control message of another member of the group.
    pub fn on_message(&mut self, now: Millis, from: InstanceId, message: &Message) {
        // Registrations and releases are applied without a check of the views:
        // the owner may have learned of a newer view before this agent.
        match message {
            Message::Register { flows } => self.on_register(from, flows),
            Message::Release { flows } => self.on_release(now, from, flows),
            Message::OwnerQuery { key, ack } => self.on_owner_query(now, from, *key, *ack),
            Message::OwnerReply { key, answer } if self.can_message(from) => match answer {
                Ownership::Owner => self.on_owned(from, key),
                Ownership::NotOwner => self.on_denied(from, key),
            },
            _ => {}
        }
    }

    /// Expires flows and queries, and sends registrations that are due.
    pub fn tick(&mut self, now: Millis) {
        while let Some(flow) = self.table.expire(now) {
            self.abandon_half_open(flow.key);
        }
        self.owner_queries.expire(now);
        if self.registration.begin_period(now) && !self.is_out {
            self.register_displaced(now);
            self.counts.registered += self.registration.send(now, &mut self.outbox) as u64;
        }
    }

    /// When to call [`FlowRouter::tick`] next; none when nothing is scheduled.
    pub fn next_timer(&self) -> Option<Millis> {
        [
            self.table.next_expiry(),
            self.owner_queries.next_expiry(),
            self.registration.next_timer(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Removes and returns the messages to send.
    pub fn take_outbox(&mut self) -> impl Iterator<Item = Outgoing> {
        self.outbox.drain(..)
    }

    /// Removes and returns the resets to send outside of packet handling.
    pub fn take_resets(&mut self) -> impl Iterator<Item = Reset> {
        self.resets.drain(..)
    }

    /// Removes and returns the half-open flows whose TCP endpoints must be dropped
    /// without a reset to the caller. Call it before the next packet.
    pub fn take_abandoned(&mut self) -> impl Iterator<Item = FlowKey> {
        self.abandoned.drain(..)
    }

    /// Counters since the start and current sizes.
    pub fn counts(&self) -> FlowCounts {
        FlowCounts {
            flows: self.table.len(),
            half_open: self.table.half_open(),
            pointers: self.directory.len(),
            owner_queries: self.owner_queries.len(),
            ..self.counts
        }
    }

    /// Concludes the owner queries that a change of the members has decided.
    fn conclude_owner_queries(&mut self) {
        for key in self.owner_queries.keys() {
            if let Some(reset) = self.conclude_owner_query(&key) {
                self.resets.push(reset);
            }
        }
    }

    /// Decides what to do with a packet of a caller.
    fn choose_action(&mut self, now: Millis, arrival: Arrival, segment: &Segment) -> Action {
        if self.is_out {
            return Action::Drop(DropReason::DataCentreOut);
        }
        if let Some(id) = self.table.id(&segment.key) {
            let flow = self.table.get(id).expect("the table is consistent");
            if flow.handshake == Handshake::Established || segment.opens || segment.rst {
                return Action::Deliver;
            }
            if flow.matches_ack(segment.ack) && segment.has_ack {
                self.establish(now, segment.key);
                return Action::Deliver;
            }
        }
        let Some(snapshot) = self.snapshot.clone() else {
            return Action::Drop(DropReason::NoSnapshot);
        };
        if segment.key.service != snapshot.group.address {
            return Action::Drop(DropReason::ForeignService);
        }
        if segment.opens {
            self.route_new(now, &snapshot, arrival, segment)
        } else {
            self.route_existing(now, &snapshot, arrival, segment)
        }
    }

    /// Marks a half-open flow as established and queues its registration, in case
    /// its home is another member.
    fn establish(&mut self, now: Millis, key: FlowKey) {
        let Some(id) = self.table.id(&key) else {
            return;
        };
        self.table.establish(id);
        self.counts.established += 1;
        self.owner_queries.remove(&key);
        // The home may have no pointer to a flow that was forwarded around it.
        self.registration.scan_flow(now, id);
    }

    /// Scans the next flows and queues registrations of the displaced ones, and
    /// the repeated registrations that are due.
    fn register_displaced(&mut self, now: Millis) {
        for _ in 0..SCAN_FLOWS_PER_PERIOD {
            let Some(id) = self.registration.next_scanned() else {
                break;
            };
            if let Some((home, key)) = self.displaced_home(id)
                && self.table.set_pointer_holder(id, home)
            {
                self.registration.register(home, key);
                self.registration.schedule_repeat(now, id);
            }
        }
        for _ in 0..SCAN_FLOWS_PER_PERIOD {
            let Some(id) = self.registration.next_repeat(now) else {
                break;
            };
            if let Some((home, key)) = self.displaced_home(id) {
                self.registration.register(home, key);
            }
        }
    }

    /// Home and key of a flow of this agent, if its home is another member.
    fn displaced_home(&self, id: FlowId) -> Option<(InstanceId, FlowKey)> {
        let key = self.table.get(id)?.key;
        let home = self.snapshot.as_ref()?.group.home(key.hash64())?.id;
        (home != self.me).then_some((home, key))
    }
}

/// Whether some flow key has a different home in `new` than in `old`.
fn homes_differ(old: &Group, new: &Group) -> bool {
    let homes = |group: &'_ Group| -> Vec<InstanceId> {
        group
            .members
            .iter()
            .filter(|m| m.can_be_home())
            .map(|m| m.id)
            .collect()
    };
    homes(old) != homes(new)
}

/// Whether the set of members that may own flows differs between the snapshots.
fn possible_owners_differ(old: &GroupSnapshot, new: &GroupSnapshot) -> bool {
    !Arc::ptr_eq(&old.group, &new.group)
        || old.gone != new.gone
        || (old.version, old.latest) != (new.version, new.latest)
}

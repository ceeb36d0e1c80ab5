//! The router of one agent's traffic thread.

use std::sync::Arc;

use indexmap::IndexMap;
use ramp_protocol::message::Answer;
use ramp_protocol::message::Message;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::key::InstanceId;
use ramp_state::key::mix;
use ramp_state::time::Millis;
use ramp_state::view::Group;

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
use crate::picture::GroupPicture;

/// Decides for each packet of a caller where it goes.
///
/// One per traffic thread of an agent. See the [module](crate::flows) for the
/// rules, and how to drive it.
#[derive(Debug)]
pub struct FlowRouter {
    pub(super) me: InstanceId,
    pub(super) picture: Option<Arc<GroupPicture>>,
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
    /// Router of the agent `me`; `seed` drives its random choices and should
    /// be secret, since it also keys its tables.
    pub fn new(me: InstanceId, seed: u64) -> FlowRouter {
        FlowRouter {
            me,
            picture: None,
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

    /// Takes a new picture of the group into force.
    pub fn install(&mut self, now: Millis, picture: Arc<GroupPicture>) {
        let old = self.picture.replace(picture.clone());
        self.is_out = picture.group.member(self.me).is_some_and(|m| !m.reachable);
        self.answer_limits
            .retain(|id, _| can_message(&picture, *id));
        self.registration.retain(|id| can_message(&picture, id));
        self.placement.update_reports(now, old.as_deref(), &picture);
        let homes_changed = old
            .as_ref()
            .is_none_or(|old| homes_differ(&old.group, &picture.group));
        if homes_changed {
            self.registration
                .restart_scan(now, self.table.established());
        }
        // Pictures that bring new loads alone end no query.
        if old.is_none_or(|old| possible_owners_differ(&old, &picture)) {
            self.conclude_owner_queries();
        }
    }

    /// Decides what to do with a packet of a caller.
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

    /// Notes the initial sequence number with which our SYN-ACK left.
    pub fn on_syn_ack_sent(&mut self, _now: Millis, key: FlowKey, isn: u32) {
        let Some(flow) = self.table.find_mut(&key) else {
            return;
        };
        if flow.handshake == Handshake::SynReceived {
            flow.handshake = Handshake::SynAckSent(isn);
        }
    }

    /// Whether this agent owns the flow and its handshake is done.
    pub fn is_established(&self, key: FlowKey) -> bool {
        self.table
            .find(&key)
            .is_some_and(|flow| flow.handshake == Handshake::Established)
    }

    /// Forgets a flow whose TCP endpoint has ended.
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

    /// Takes a control message of another member of the group.
    pub fn on_message(&mut self, now: Millis, from: InstanceId, message: &Message) {
        // What an owner tells is kept even before this agent knows the view
        // by which it was told: the owner may just have heard of it earlier.
        match message {
            Message::Register { flows } => self.on_register(from, flows),
            Message::Release { flows } => self.on_release(now, from, flows),
            Message::WhoOwns { key, ack } => self.on_who_owns(now, from, *key, *ack),
            Message::OwnerIs { key, answer } if self.can_message(from) => match answer {
                Answer::Owns => self.on_owned(from, key),
                Answer::NotMine => self.on_denied(from, key),
            },
            _ => {}
        }
    }

    /// Does what has become due.
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

    /// Moment of the next [`FlowRouter::tick`]; none when nothing is due.
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

    /// Messages to be sent.
    pub fn take_outbox(&mut self) -> impl Iterator<Item = Outgoing> {
        self.outbox.drain(..)
    }

    /// Resets that are due without a packet.
    pub fn take_resets(&mut self) -> impl Iterator<Item = Reset> {
        self.resets.drain(..)
    }

    /// Half-open flows whose TCP endpoints are to be thrown away without a
    /// word to the caller. Take them before the next packet.
    pub fn take_abandoned(&mut self) -> impl Iterator<Item = FlowKey> {
        self.abandoned.drain(..)
    }

    /// Counters and sizes.
    pub fn counts(&self) -> FlowCounts {
        FlowCounts {
            flows: self.table.len(),
            half_open: self.table.half_open(),
            pointers: self.directory.len(),
            owner_queries: self.owner_queries.len(),
            ..self.counts
        }
    }

    fn conclude_owner_queries(&mut self) {
        for key in self.owner_queries.keys() {
            if let Some(reset) = self.conclude_owner_query(&key) {
                self.resets.push(reset);
            }
        }
    }

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
        let Some(picture) = self.picture.clone() else {
            return Action::Drop(DropReason::NoPicture);
        };
        if segment.key.service != picture.group.address {
            return Action::Drop(DropReason::ForeignService);
        }
        if segment.opens {
            self.route_new(now, &picture, arrival, segment)
        } else {
            self.route_existing(now, &picture, arrival, segment)
        }
    }

    fn establish(&mut self, now: Millis, key: FlowKey) {
        let Some(id) = self.table.id(&key) else {
            return;
        };
        self.table.establish(id);
        self.counts.established += 1;
        self.owner_queries.remove(&key);
        // A flow that reached its owner by a detour is not known to its home.
        self.registration.scan_flow(now, id);
    }

    /// Looks at the next flows of the walk and batches the displaced ones.
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

    /// Home and key of a flow that lives here, if its home is another member.
    fn displaced_home(&self, id: FlowId) -> Option<(InstanceId, FlowKey)> {
        let key = self.table.get(id)?.key;
        let home = self.picture.as_ref()?.group.home(key.hash64())?.id;
        (home != self.me).then_some((home, key))
    }
}

/// Whether some flow key has another home in `new` than in `old`.
fn homes_differ(old: &Group, new: &Group) -> bool {
    let homes = |group: &'_ Group| -> Vec<InstanceId> {
        group
            .members
            .iter()
            .filter(|m| m.is_home())
            .map(|m| m.id)
            .collect()
    };
    homes(old) != homes(new)
}

/// Whether another set of members may own flows in `new` than in `old`.
fn possible_owners_differ(old: &GroupPicture, new: &GroupPicture) -> bool {
    !Arc::ptr_eq(&old.group, &new.group)
        || old.gone != new.gone
        || (old.version, old.latest) != (new.version, new.latest)
}

//! Table of the flows that this agent owns, with their handshake state and the
//! expiry of half-open flows.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use ramp_state::key::FlowKey;
use ramp_state::key::InstanceId;
use ramp_state::time::Millis;
use slotmap::SlotMap;
use slotmap::new_key_type;

use super::hash::SeededBuildHasher;

/// Time after which a half-open flow expires.
pub(super) const HALF_OPEN_TIMEOUT: Duration = Duration::from_secs(15);

new_key_type! {
    /// Key of a flow in the slot map; never reused for another flow.
    pub(super) struct FlowId;
}

/// State of the TCP handshake of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Handshake {
    /// SYN received; our initial sequence number is not known yet.
    SynReceived,
    /// SYN-ACK sent with this initial sequence number.
    SynAckSent(u32),
    /// The caller has acknowledged the SYN-ACK.
    Established,
}

/// One flow that this agent owns.
#[derive(Clone, Copy, Debug)]
pub(super) struct Flow {
    pub(super) key: FlowKey,
    pub(super) handshake: Handshake,
    /// Member known to hold a pointer to the flow.
    pub(super) pointer_holder: Option<InstanceId>,
}

impl Flow {
    /// Whether a segment with this acknowledgement number belongs to the flow.
    pub(super) fn matches_ack(&self, ack: u32) -> bool {
        match self.handshake {
            Handshake::SynReceived => false,
            Handshake::SynAckSent(isn) => ack == isn.wrapping_add(1),
            Handshake::Established => true,
        }
    }
}

/// Table of the flows that this agent owns, by key.
#[derive(Debug)]
pub(super) struct FlowTable {
    ids: HashMap<FlowKey, FlowId, SeededBuildHasher>,
    flows: SlotMap<FlowId, Flow>,
    /// Half-open flows in order of expiry; some may have been established or
    /// removed since.
    expiry_queue: VecDeque<(Millis, FlowId)>,
    half_open: usize,
}

impl FlowTable {
    pub(super) fn new(seed: u64) -> FlowTable {
        FlowTable {
            ids: HashMap::with_hasher(SeededBuildHasher::new(seed)),
            flows: SlotMap::with_key(),
            expiry_queue: VecDeque::new(),
            half_open: 0,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.flows.len()
    }

    pub(super) fn half_open(&self) -> usize {
        self.half_open
    }

    pub(super) fn id(&self, key: &FlowKey) -> Option<FlowId> {
        self.ids.get(key).copied()
    }

    pub(super) fn get(&self, id: FlowId) -> Option<&Flow> {
        self.flows.get(id)
    }

    pub(super) fn find(&self, key: &FlowKey) -> Option<&Flow> {
        self.flows.get(self.id(key)?)
    }

    pub(super) fn find_mut(&mut self, key: &FlowKey) -> Option<&mut Flow> {
        let id = self.id(key)?;
        self.flows.get_mut(id)
    }

    /// Adds a half-open flow.
    pub(super) fn insert_half_open(
        &mut self,
        now: Millis,
        key: FlowKey,
        pointer_holder: Option<InstanceId>,
    ) {
        let id = self.flows.insert(Flow {
            key,
            handshake: Handshake::SynReceived,
            pointer_holder,
        });
        self.ids.insert(key, id);
        self.expiry_queue.push_back((now + HALF_OPEN_TIMEOUT, id));
        self.half_open += 1;
    }

    /// Marks a half-open flow as established.
    pub(super) fn establish(&mut self, id: FlowId) {
        let Some(flow) = self.flows.get_mut(id) else {
            return;
        };
        if flow.handshake != Handshake::Established {
            flow.handshake = Handshake::Established;
            self.half_open -= 1;
        }
    }

    /// Records that `home` holds a pointer to the flow; false if already known.
    pub(super) fn set_pointer_holder(&mut self, id: FlowId, home: InstanceId) -> bool {
        let flow = self.flows.get_mut(id);
        flow.is_some_and(|flow| flow.pointer_holder.replace(home) != Some(home))
    }

    pub(super) fn remove(&mut self, key: &FlowKey) -> Option<Flow> {
        let id = self.ids.remove(key)?;
        let flow = self.flows.remove(id)?;
        if flow.handshake != Handshake::Established {
            self.half_open -= 1;
        }
        Some(flow)
    }

    /// Removes and returns the next expired half-open flow.
    pub(super) fn expire(&mut self, now: Millis) -> Option<Flow> {
        self.drop_stale_expiries();
        let (at, id) = *self.expiry_queue.front()?;
        if at > now {
            return None;
        }
        let key = self.flows.get(id)?.key;
        self.expiry_queue.pop_front();
        self.remove(&key)
    }

    /// Removes and returns the oldest half-open flow.
    pub(super) fn evict_oldest_half_open(&mut self) -> Option<Flow> {
        self.drop_stale_expiries();
        let (_, id) = self.expiry_queue.pop_front()?;
        let key = self.flows.get(id)?.key;
        self.remove(&key)
    }

    /// When the next half-open flow may expire.
    pub(super) fn next_expiry(&self) -> Option<Millis> {
        self.expiry_queue.front().map(|(at, _)| *at)
    }

    pub(super) fn established(&self) -> impl Iterator<Item = FlowId> {
        self.flows
            .iter()
            .filter(|(_, flow)| flow.handshake == Handshake::Established)
            .map(|(id, _)| id)
    }

    /// Drops entries at the front of the queue that are no longer half-open.
    fn drop_stale_expiries(&mut self) {
        while let Some((_, id)) = self.expiry_queue.front() {
            let half_open = self
                .flows
                .get(*id)
                .is_some_and(|flow| flow.handshake != Handshake::Established);
            if half_open {
                return;
            }
            self.expiry_queue.pop_front();
        }
    }
}

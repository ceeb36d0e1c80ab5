//! Open flows of a traffic thread: their stacks, by key and by timer.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use ramp_state::key::FlowKey;
use ramp_state::time::Millis;
use slotmap::SlotMap;
use smoltcp::socket::tcp;

use crate::agent::io::FlowId;
use crate::agent::io::FlowIo;
use crate::agent::io::Pending;
use crate::agent::stack::FlowStack;
use crate::agent::timers::Timers;

/// One open flow.
struct Flow {
    key: FlowKey,
    stack: Rc<RefCell<FlowStack>>,
    wake_at: Option<Millis>,
    served: bool,
}

/// What driving a flow led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing that others need to know.
    None,
    /// The handshake is done; its requests can be served.
    Established(FlowKey),
    /// The flow is over and forgotten.
    Closed(FlowKey),
}

/// All open flows of one traffic thread.
#[derive(Default)]
pub struct Flows {
    flows: SlotMap<FlowId, Flow>,
    by_key: HashMap<FlowKey, FlowId>,
    timers: Timers,
    pending: Rc<Pending>,
}

impl Flows {
    /// Flows that have something for TCP to do.
    pub fn pending(&self) -> Rc<Pending> {
        Rc::clone(&self.pending)
    }

    /// Number of open flows.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether no flow is open.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Keys of all open flows.
    pub fn keys(&self) -> Vec<FlowKey> {
        self.by_key.keys().copied().collect()
    }

    /// Flow with this key.
    pub fn find(&self, key: &FlowKey) -> Option<FlowId> {
        self.by_key.get(key).copied()
    }

    /// Opens a flow that waits for its first packet.
    pub fn open(&mut self, key: FlowKey, seed: u64, now: Millis) -> FlowId {
        let stack = FlowStack::listen(&key, seed, now);
        let id = self.flows.insert(Flow {
            key,
            stack: Rc::new(RefCell::new(stack)),
            wake_at: None,
            served: false,
        });
        if let Some(earlier) = self.by_key.insert(key, id) {
            self.flows.remove(earlier);
        }
        id
    }

    /// Takes a packet for a flow; it acts at the next [`Flows::drive`].
    pub fn push(&mut self, id: FlowId, packet: &[u8]) {
        let Some(flow) = self.flows.get(id) else {
            return;
        };
        // A full queue drops the packet; TCP sends it again.
        flow.stack.borrow_mut().push(packet);
    }

    /// Lets a flow's TCP act; its packets go to `send`.
    pub fn drive(&mut self, id: FlowId, now: Millis, send: &mut impl FnMut(&[u8])) -> Change {
        let Some(flow) = self.flows.get_mut(id) else {
            return Change::None;
        };
        let mut stack = flow.stack.borrow_mut();
        stack.poll(now);
        while let Some(packet) = stack.pop() {
            send(&packet);
        }
        let state = stack.state();
        let next = stack.next_timer(now);
        drop(stack);
        if matches!(state, tcp::State::Closed | tcp::State::Listen) {
            let key = flow.key;
            self.forget(id);
            return Change::Closed(key);
        }
        if let Some(at) = next
            && flow.wake_at.is_none_or(|earlier| at < earlier)
        {
            flow.wake_at = Some(at);
            self.timers.push(at, id);
        }
        if flow.served || state == tcp::State::SynReceived {
            return Change::None;
        }
        flow.served = true;
        Change::Established(flow.key)
    }

    /// Byte stream of an established flow.
    pub fn io(&self, id: FlowId) -> Option<FlowIo> {
        let flow = self.flows.get(id)?;
        Some(FlowIo::new(id, Rc::clone(&flow.stack), self.pending()))
    }

    /// Resets a flow towards its caller; it ends at the next [`Flows::drive`].
    pub fn abort(&mut self, id: FlowId) {
        if let Some(flow) = self.flows.get(id) {
            flow.stack.borrow_mut().socket().abort();
            self.pending.mark(id);
        }
    }

    /// Forgets a flow without a word to its caller.
    pub fn forget(&mut self, id: FlowId) {
        let Some(flow) = self.flows.remove(id) else {
            return;
        };
        if self.by_key.get(&flow.key) == Some(&id) {
            self.by_key.remove(&flow.key);
        }
    }

    /// Takes a flow whose timer has come.
    pub fn pop_due(&mut self, now: Millis) -> Option<FlowId> {
        loop {
            let id = self.timers.pop_due(now)?;
            // A flow that is gone leaves its timer behind.
            if let Some(flow) = self.flows.get_mut(id) {
                flow.wake_at = None;
                return Some(id);
            }
        }
    }

    /// When the next timer comes.
    pub fn next_timer(&self) -> Option<Millis> {
        self.timers.next()
    }
}

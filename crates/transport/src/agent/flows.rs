//! Open flows of a traffic thread: their stacks, by key and by timer.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use ramp_state::key::FlowKey;
use ramp_state::time::Millis;
use slotmap::SlotMap;
use smoltcp::socket::tcp;

use crate::agent::io::FlowId;
use crate::agent::io::FlowIo;
use crate::agent::io::Pending;
use crate::agent::stack::FlowStack;
use crate::agent::timers::Timers;

/// Time that a flow may take to close. The TCP library gives up sending a lost
/// FIN again after three repeated acknowledgements, and a caller may never
/// close its side.
pub const CLOSE_TIMEOUT: Duration = Duration::from_secs(15);

/// One open flow.
struct Flow {
    key: FlowKey,
    stack: Rc<RefCell<FlowStack>>,
    timer_at: Option<Millis>,
    served: bool,
    /// When a flow that closes is cut short.
    close_deadline: Option<Millis>,
}

/// What driving a flow led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowChange {
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
            timer_at: None,
            served: false,
            close_deadline: None,
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
    pub fn drive(&mut self, id: FlowId, now: Millis, send: &mut impl FnMut(&[u8])) -> FlowChange {
        let Some(flow) = self.flows.get_mut(id) else {
            return FlowChange::None;
        };
        let mut stack = flow.stack.borrow_mut();
        if flow.close_deadline.is_some_and(|deadline| now >= deadline) {
            stack.socket().abort();
        }
        stack.poll(now);
        while let Some(packet) = stack.pop() {
            send(&packet);
        }
        let state = stack.state();
        let next = stack.next_timer(now);
        drop(stack);
        if matches!(state, tcp::State::Closed | tcp::State::Listen) {
            let key = flow.key;
            self.discard(id);
            return FlowChange::Closed(key);
        }
        if is_closing(state) {
            flow.close_deadline.get_or_insert(now + CLOSE_TIMEOUT);
        }
        if let Some(at) = next.into_iter().chain(flow.close_deadline).min()
            && flow.timer_at.is_none_or(|earlier| at < earlier)
        {
            flow.timer_at = Some(at);
            self.timers.push(at, id);
        }
        if flow.served || state == tcp::State::SynReceived {
            return FlowChange::None;
        }
        flow.served = true;
        FlowChange::Established(flow.key)
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
    pub fn discard(&mut self, id: FlowId) {
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
                flow.timer_at = None;
                return Some(id);
            }
        }
    }

    /// When the next timer comes.
    pub fn next_timer(&self) -> Option<Millis> {
        self.timers.next()
    }
}

/// Whether our side of the connection has been closed, and not all of it yet.
fn is_closing(state: tcp::State) -> bool {
    matches!(
        state,
        tcp::State::FinWait1 | tcp::State::FinWait2 | tcp::State::Closing | tcp::State::LastAck
    )
}

//! Open flows of a traffic thread: each flow's TCP stack, indexed by flow key
//! and by timer.

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

/// Time after which a flow that has not finished closing is reset. It may
/// never finish on its own: the TCP library stops retransmitting a lost FIN
/// after three duplicate acknowledgements, and a caller may never close its
/// side.
pub const CLOSE_TIMEOUT: Duration = Duration::from_secs(15);

/// One open flow.
struct Flow {
    key: FlowKey,
    stack: Rc<RefCell<FlowStack>>,
    timer_at: Option<Millis>,
    served: bool,
    /// When the flow is reset if it is still closing; set when closing starts.
    close_deadline: Option<Millis>,
}

/// State change of a flow that [`Flows::drive`] reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowChange {
    /// No change to report.
    None,
    /// The handshake is complete: the flow's requests can be served.
    Established(FlowKey),
    /// The flow has ended and was removed.
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
    /// Shared list of the flows that must be driven.
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

    /// Id of the open flow with this key.
    pub fn find(&self, key: &FlowKey) -> Option<FlowId> {
        self.by_key.get(key).copied()
    }

    /// Opens a flow that listens for its first packet. It replaces an open flow
    /// with the same key.
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

    /// Queues a packet for a flow; the next [`Flows::drive`] processes it.
    pub fn push(&mut self, id: FlowId, packet: &[u8]) {
        let Some(flow) = self.flows.get(id) else {
            return;
        };
        // A full queue drops the packet; the caller's TCP retransmits it.
        flow.stack.borrow_mut().push(packet);
    }

    /// Runs a flow's TCP stack and passes the packets it sends to `send`.
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

    /// Aborts a flow: the next [`Flows::drive`] sends a reset to the caller and
    /// closes the flow.
    pub fn abort(&mut self, id: FlowId) {
        if let Some(flow) = self.flows.get(id) {
            flow.stack.borrow_mut().socket().abort();
            self.pending.mark(id);
        }
    }

    /// Removes a flow without sending anything to its caller.
    pub fn discard(&mut self, id: FlowId) {
        let Some(flow) = self.flows.remove(id) else {
            return;
        };
        if self.by_key.get(&flow.key) == Some(&id) {
            self.by_key.remove(&flow.key);
        }
    }

    /// Removes the next due timer and returns its flow.
    pub fn pop_due(&mut self, now: Millis) -> Option<FlowId> {
        loop {
            let id = self.timers.pop_due(now)?;
            // Timers of removed flows stay in the heap and are skipped here.
            if let Some(flow) = self.flows.get_mut(id) {
                flow.timer_at = None;
                return Some(id);
            }
        }
    }

    /// When the next timer is due.
    pub fn next_timer(&self) -> Option<Millis> {
        self.timers.next()
    }
}

/// Whether this side has closed the connection and the close is not complete.
fn is_closing(state: tcp::State) -> bool {
    matches!(
        state,
        tcp::State::FinWait1 | tcp::State::FinWait2 | tcp::State::Closing | tcp::State::LastAck
    )
}

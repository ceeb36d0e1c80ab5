//! The stay of a request at another agent.

use std::rc::Rc;

use ramp_state::key::InstanceId;

use super::context::RequestContext;

/// A request at another agent, noted as ended when dropped.
pub struct Visit {
    cx: Rc<RequestContext>,
    to: InstanceId,
}

impl Visit {
    /// A request that goes to `to` now.
    pub fn new(cx: Rc<RequestContext>, to: InstanceId) -> Visit {
        Visit { cx, to }
    }

    /// The agent did not take it.
    pub fn refused(&self) {
        let now = self.cx.now();
        let mut requests = self.cx.requests.borrow_mut();
        requests.on_forward_refused(now, self.to);
    }
}

impl Drop for Visit {
    fn drop(&mut self) {
        let now = self.cx.now();
        let mut requests = self.cx.requests.borrow_mut();
        requests.on_forward_ended(now, self.to);
    }
}

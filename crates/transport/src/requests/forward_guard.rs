//! Counts a request as in progress at the agent that it was forwarded to.
//!
//! The router compares these counts when it chooses an agent for the next
//! request.

use std::rc::Rc;

use ramp_state::key::InstanceId;

use super::context::RequestContext;

/// A request forwarded to another agent; dropping the guard counts it as ended.
pub struct ForwardGuard {
    cx: Rc<RequestContext>,
    to: InstanceId,
}

impl ForwardGuard {
    /// Creates the guard of a request that is about to be forwarded to `to`.
    pub fn new(cx: Rc<RequestContext>, to: InstanceId) -> ForwardGuard {
        ForwardGuard { cx, to }
    }

    /// Reports that the agent did not run the request.
    pub fn on_refused(&self) {
        let now = self.cx.now();
        let mut router = self.cx.router.borrow_mut();
        router.on_forward_refused(now, self.to);
    }
}

impl Drop for ForwardGuard {
    fn drop(&mut self) {
        let now = self.cx.now();
        let mut router = self.cx.router.borrow_mut();
        router.on_forward_ended(now, self.to);
    }
}

//! Use of the server's estimated capacity in the agent.
//!
//! The learned limit only sends a new flow back to a balancer that can try another
//! server. It never queues or refuses what the slots admit: the estimate may be
//! wrong, and a caller is served better late than refused.

use ramp_protocol::capacity_report::CapacityReport;
use ramp_protocol::frame::Inquiry;
use ramp_state::time::Millis;

use super::Agent;
use crate::passthrough::server_capacity::CompletedRequest;
use crate::passthrough::server_capacity::LimitChange;
use crate::passthrough::server_capacity::Response;
use crate::passthrough::view::Member;
use crate::passthrough::view::View;

/// HTTP status of a server that refuses a request because of its rate.
const TOO_MANY_REQUESTS: u16 = 429;

/// HTTP status of a server that is overloaded.
const SERVICE_UNAVAILABLE: u16 = 503;

impl Agent {
    /// Records a request whose response has begun, with the response's HTTP status
    /// if it is an error. A fast error is not taken for a fast server.
    pub fn record_response(
        &mut self,
        now: Millis,
        request: CompletedRequest,
        error_status: Option<u16>,
    ) {
        let response = match error_status {
            None => Response::Served,
            Some(TOO_MANY_REQUESTS | SERVICE_UNAVAILABLE) => Response::Overloaded,
            Some(_) => Response::Failed,
        };
        self.capacity.record(now, request, response);
    }

    /// The server's estimated capacity; none while it is unknown. In a cold start
    /// nothing is learned, because the times there say nothing about the time after.
    pub fn capacity_report(&mut self, view: Option<&View>, now: Millis) -> Option<CapacityReport> {
        if self.is_cold(view, now) {
            self.capacity.discard_estimate();
            return None;
        }
        let slots = self.slots(view, now)?;
        self.capacity.report(now, slots)
    }

    /// A change of the server's limit by a quarter or more since the last call.
    pub fn take_limit_change(&mut self, view: Option<&View>, now: Millis) -> Option<LimitChange> {
        let slots = self.slots(view, now)?;
        self.capacity.take_limit_change(slots)
    }

    /// Whether a new flow is sent back so that its balancer tries another server,
    /// because the server has more requests in progress than it can handle well. The
    /// room beyond the limit is the same as in [`Member::is_full`].
    pub(super) fn exceeds_learned_limit(
        &self,
        view: Option<&View>,
        now: Millis,
        inquiry: Inquiry,
    ) -> bool {
        let member = view.and_then(|v| v.member_or_lapsed(self.server_ip, now));
        let (Some(member), Some(limit)) = (member, self.capacity.learned_limit()) else {
            return false;
        };
        let limited = Member {
            slots: limit.min(member.slots),
            ..*member
        };
        inquiry != Inquiry::OwnerEvenIfBusy && limited.is_full(self.in_progress)
    }

    fn slots(&self, view: Option<&View>, now: Millis) -> Option<u16> {
        Some(view?.member_or_lapsed(self.server_ip, now)?.slots)
    }

    fn is_cold(&self, view: Option<&View>, now: Millis) -> bool {
        let limited = view.is_some_and(|v| v.cold_rate_per_s(self.service).is_some());
        let member = view.and_then(|v| v.member_or_lapsed(self.server_ip, now));
        limited && (now < self.cold_until || member.is_some_and(|m| m.is_cold(now)))
    }
}

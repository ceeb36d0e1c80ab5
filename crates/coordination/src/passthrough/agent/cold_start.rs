//! Limit on the new flows of a server in cold start.
//!
//! The rate holds for each second. Flows with a priority wait for their turn if most
//! other servers of the service are cold too; all others are sent back to the balancer
//! once the rate is used up.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_protocol::frame::Inquiry;
use ramp_protocol::frame::Refusal;
use ramp_protocol::packet::Segment;
use ramp_state::time::Millis;

use super::Agent;
use super::action::Inbound;
use crate::passthrough::opening_queue::QueuedOpening;
use crate::passthrough::opening_queue::RouteTerms;
use crate::passthrough::priority_turns::Rank;
use crate::passthrough::rate_limit::RateLimiter;
use crate::passthrough::view::Member;
use crate::passthrough::view::View;

/// Limit on new flows of a cold server.
///
/// Those with a priority are spread evenly over the second. Otherwise the first ones
/// after a start use up its permits at once, and as the limit holds for each second,
/// none is left for most of every later second either.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdLimit {
    per_s: u32,
    /// End of the cold start; none while the server is not listed.
    ends_at: Option<Millis>,
}

impl ColdLimit {
    /// Time between two new flows that are spread evenly.
    pub(super) fn interval(&self) -> Duration {
        Duration::from_secs(1) / self.per_s
    }

    /// Time until the server may get the `turn`th new flow from now on.
    fn time_to_permit(&self, limiter: &RateLimiter, now: Millis, turn: usize) -> Duration {
        let interval = self.interval();
        let first = limiter.last().map_or(now, |at| now.max(at + interval));
        let spread = first + interval * turn.saturating_sub(1) as u32;
        let wait = limiter.time_until(now, self.per_s as usize, turn);
        let wait = wait.max(spread.since(now));
        self.ends_at.map_or(wait, |end| wait.min(end.since(now)))
    }
}

impl Agent {
    /// Refuses or queues a new flow while the rate of the cold server is used up. It
    /// waits only if it has a priority, most other servers are cold too, and its turn
    /// comes in time; otherwise the balancer tries another server.
    pub(super) fn queue_while_cold(
        &mut self,
        view: Option<&View>,
        now: Millis,
        from: Ipv4Addr,
        inquiry: Inquiry,
        seg: &Segment,
    ) -> Inbound {
        let refused = Inbound::Refuse(Refusal::Cold);
        let terms = RouteTerms::of(view, seg);
        let Some(limit) = self.cold_limit(view, now) else {
            return refused;
        };
        let may_wait = inquiry == Inquiry::OwnerEvenIfBusy && terms.rank.has_priority();
        if !may_wait || self.are_most_others_warm(view, now) {
            return refused;
        }
        let pace = self.pace(view, now);
        let (deadline, turn) = self.queue.prospect(seg, terms, pace, now);
        let in_time = now + self.time_to_permit(limit, now, turn) < deadline;
        if in_time && self.queue.add(seg, from, terms, pace, now) {
            return Inbound::Queue;
        }
        refused
    }

    /// Whether more than half of the service's other servers that take new flows are
    /// warm. Not whether any is: after a restart of all machines, a record that has not
    /// lapsed yet may show a server as warm that has gone.
    pub(super) fn are_most_others_warm(&self, view: Option<&View>, now: Millis) -> bool {
        let is_other = |m: &&Member| m.address != self.server_ip && m.accepts_new_flows();
        let servers = view.iter().flat_map(|v| v.servers_of(self.service, now));
        let (cold, warm): (Vec<&Member>, Vec<&Member>) =
            servers.filter(is_other).partition(|m| m.is_cold(now));
        warm.len() > cold.len()
    }

    /// Takes a flow out of the queue that can't get a permit of the cold server before
    /// its wait is over.
    pub(super) fn pop_without_permit(
        &mut self,
        limit: ColdLimit,
        now: Millis,
    ) -> Option<QueuedOpening> {
        let limiter = &self.cold_start_limiter;
        let time_to_turn = |turn| limit.time_to_permit(limiter, now, turn);
        self.queue.pop_hopeless(now, time_to_turn)
    }

    /// Whether the next flow of the queue has to wait for a permit of the cold server.
    /// One without a priority does not wait for it but is refused.
    pub(super) fn next_awaits_permit(&mut self, limit: ColdLimit, now: Millis) -> bool {
        let wait = self.time_to_permit(limit, now, 1);
        let waits = !wait.is_zero() && self.queue.peek_rank(now).is_some_and(Rank::has_priority);
        self.permit_at = waits.then(|| now + wait);
        waits
    }

    fn time_to_permit(&self, limit: ColdLimit, now: Millis, turn: usize) -> Duration {
        limit.time_to_permit(&self.cold_start_limiter, now, turn)
    }

    pub(super) fn admit_cold(
        &mut self,
        view: Option<&View>,
        now: Millis,
        rank: Rank,
    ) -> Result<(), Refusal> {
        let Some(limit) = self.cold_limit(view, now) else {
            // The server may turn out to be cold within the next second.
            self.cold_start_limiter.record(now);
            return Ok(());
        };
        let too_early = rank.has_priority() && !self.time_to_permit(limit, now, 1).is_zero();
        if !too_early
            && self
                .cold_start_limiter
                .try_acquire(now, limit.per_s as usize)
        {
            return Ok(());
        }
        Err(Refusal::Cold)
    }

    /// Limit on new flows while the server is cold; `None` while it is not.
    pub(super) fn cold_limit(&self, view: Option<&View>, now: Millis) -> Option<ColdLimit> {
        let view = view?;
        let rate = view.cold_rate_per_s(self.service)?;
        let member = view.member_or_lapsed(self.server_ip, now);
        // A server that is not listed yet has just started, so it is cold.
        let cold = member.is_none_or(|m| m.is_cold(now)) || now < self.cold_until;
        cold.then(|| ColdLimit {
            per_s: rate.floor().clamp(1.0, f64::from(u32::MAX)) as u32,
            ends_at: member.map(|m| m.cold_until.max(self.cold_until)),
        })
    }
}

//! Placement of new flows: an opening packet is forwarded to one member after
//! another until an agent accepts the flow.
//!
//! A member that refuses is not tried again, unless it was only busy. A member that
//! does not reply may have the flow all the same: until the caller retransmits the
//! opening, which is then tried there again, the flow is not refused.

use std::net::Ipv4Addr;

use ramp_protocol::frame::Frame;
use ramp_protocol::frame::Inquiry;
use ramp_protocol::frame::Refusal;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

use super::Balancer;
use super::action::Action;
use super::action::DropReason;
use super::action::ResetReason;
use super::flow::Flow;
use super::search::Search;
use crate::passthrough::choice::Choice;
use crate::passthrough::view::Member;
use crate::passthrough::view::View;

/// Silent members after which the balancer waits for the caller's retransmission.
const MAX_SILENT_MEMBERS: usize = 3;

/// Members that one new flow has been forwarded to without success.
#[derive(Clone, Debug, Default)]
pub(super) struct PlacementAttempt {
    /// Members that refused the flow.
    refused: Vec<Ipv4Addr>,
    /// Members that did not reply in time and may have the flow all the same.
    silent: Vec<Ipv4Addr>,
    /// Members that refused because they are busy; they may be tried again.
    busy: Vec<Ipv4Addr>,
    pub(super) seen_at: Millis,
}

impl PlacementAttempt {
    fn may_try(&self, member: &Member) -> bool {
        let tried = [&self.refused, &self.silent];
        member.accepts_new_flows() && !tried.iter().any(|list| list.contains(&member.address))
    }
}

impl Balancer {
    /// An agent has queued a new flow until its server has a free slot. The agent
    /// will report later whether the flow was opened or refused.
    pub fn on_queued(&mut self, now: Millis, from: Ipv4Addr, frame: &Frame) {
        self.record_agent_frame(now, from, frame);
        if let Some(flow) = self.flows.get_mut(&frame.flow)
            && flow.agent == from
        {
            flow.confirm();
        }
    }

    pub(super) fn route_opening(&mut self, view: &View, now: Millis, seg: &Segment) -> Action {
        let link_delay = self.link_delay(now);
        let Some(flow) = self.flows.get_mut(&seg.key) else {
            // The caller has retransmitted, so silent members are tried again.
            if let Some(attempt) = self.placement_attempts.get_mut(&seg.key) {
                attempt.silent.clear();
            }
            return self.place(view, now, seg);
        };
        if flow.confirmed || flow.past_opening || !flow.is_reply_overdue(now, link_delay) {
            flow.record_packet(now, seg);
            return flow.forward(Inquiry::Owner);
        }
        let agent = flow.agent;
        self.suspects.add(agent, now);
        self.placement_attempt(now, seg.key).silent.push(agent);
        self.place(view, now, seg)
    }

    /// Part of [`Balancer::on_reply_timeout`] for opening packets: tries another
    /// member if no agent has confirmed the flow.
    pub(super) fn on_opening_reply_timeout(
        &mut self,
        view: &View,
        now: Millis,
        seg: &Segment,
    ) -> Option<Action> {
        let flow = self.flows.get(&seg.key)?;
        let placed = flow.confirmed || flow.past_opening;
        let late = !placed && flow.is_reply_overdue(now, self.link_delay(now));
        late.then(|| self.route_opening(view, now, seg))
    }

    /// An agent refused a new flow and returned its opening packet.
    pub(super) fn on_returned_opening(
        &mut self,
        view: &View,
        now: Millis,
        from: Ipv4Addr,
        refusal: Refusal,
        seg: &Segment,
    ) -> Action {
        let is_known =
            self.flows.contains_key(&seg.key) || self.placement_attempts.contains_key(&seg.key);
        if !is_known {
            // The flow was placed before this process started, or was given up since.
            return Action::Drop(DropReason::PlacedElsewhere);
        }
        let attempt = self.placement_attempt(now, seg.key);
        if refusal == Refusal::Busy {
            attempt.busy.push(from);
        } else {
            attempt.refused.push(from);
        }
        let placed_elsewhere = |f: &Flow| f.agent != from || f.past_opening;
        if self.flows.get(&seg.key).is_some_and(placed_elsewhere) {
            return Action::Drop(DropReason::PlacedElsewhere);
        }
        if refusal == Refusal::Overloaded {
            return self.refuse(view, now, seg, ResetReason::Overloaded);
        }
        self.place(view, now, seg)
    }

    /// Forwards the opening packet to the best member that has not refused the flow.
    pub(super) fn place(&mut self, view: &View, now: Millis, seg: &Segment) -> Action {
        let service = view
            .route(seg.key.service)
            .and_then(|r| r.service_of(&seg.key));
        let Some(service) = service else {
            return self.handle_missing_route(view, now, seg);
        };
        let no_attempt = PlacementAttempt::default();
        let attempt = self.placement_attempts.get(&seg.key).unwrap_or(&no_attempt);
        if attempt.silent.len() >= MAX_SILENT_MEMBERS {
            self.flows.swap_remove(&seg.key);
            return Action::Drop(DropReason::Unanswered);
        }
        let members = view.servers_of(service, now);
        let candidates: Vec<&Member> = members.filter(|m| attempt.may_try(m)).collect();
        let choice = Choice {
            flow: &seg.key,
            candidates: &candidates,
            busy: &attempt.busy,
            suspects: &self.suspects,
            loads: &self.loads,
            now,
        };
        let Some(chosen) = choice.choose() else {
            return self.refuse_unless_silent(view, now, seg);
        };
        // Replies to queries from before this placement no longer apply.
        self.searches.swap_remove(&seg.key);
        self.loads.note_sent(chosen.agent);
        self.remember_flow(now, seg, chosen.agent, service);
        Action::Forward {
            agent: chosen.agent,
            inquiry: chosen.inquiry,
            service,
        }
    }

    /// Refuses a new flow that no member accepts, unless a member that has not
    /// replied may have it.
    fn refuse_unless_silent(&mut self, view: &View, now: Millis, seg: &Segment) -> Action {
        let attempt = self.placement_attempts.get(&seg.key);
        if attempt.is_some_and(|a| !a.silent.is_empty()) {
            self.flows.swap_remove(&seg.key);
            return Action::Drop(DropReason::Unanswered);
        }
        self.refuse(view, now, seg, ResetReason::NoMember)
    }

    /// Refuses a new flow. If another copy of the opening packet may have reached
    /// another balancer, the holders are asked first, as the flow may be open by
    /// now.
    fn refuse(&mut self, view: &View, now: Millis, seg: &Segment, reason: ResetReason) -> Action {
        self.flows.swap_remove(&seg.key);
        self.placement_attempts.swap_remove(&seg.key);
        if reason == ResetReason::NoMember && seg.opening_age.is_zero() {
            return self.reset_unless_view_outdated(view, seg, reason);
        }
        self.searches.insert(seg.key, Search::new(now, seg, reason));
        self.query_owner(view, now, seg)
    }

    pub(super) fn placement_attempt(
        &mut self,
        now: Millis,
        flow: FlowKey,
    ) -> &mut PlacementAttempt {
        let attempt = self.placement_attempts.entry(flow).or_default();
        attempt.seen_at = now;
        attempt
    }
}

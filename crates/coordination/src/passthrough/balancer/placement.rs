//! Placement of new flows: an opening packet is forwarded to one member after
//! another until an agent accepts the flow.
//!
//! A member that refuses is not tried again, unless it was only busy. A member that
//! does not reply may have the flow all the same: until the caller retransmits the
//! opening, which is then tried there again, the flow is not refused.
//!
//! If only cold members are left, a flow with a priority waits at one of them for its
//! turn. Each of them takes a limited number of flows a second, so trying one after
//! another seldom finds room and costs two messages each.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_protocol::frame::Frame;
use ramp_protocol::frame::Inquiry;
use ramp_protocol::frame::Refusal;
use ramp_protocol::packet::Segment;
use ramp_state::key::ServiceId;
use ramp_state::time::Millis;

use super::Balancer;
use super::action::Action;
use super::action::DropReason;
use super::action::ResetReason;
use super::flow::Flow;
use super::search::Search;
use crate::passthrough::choice::Choice;
use crate::passthrough::choice::Chosen;
use crate::passthrough::choice::first_ranked;
use crate::passthrough::view::Member;
use crate::passthrough::view::View;

/// Silent members after which the balancer waits for the caller's retransmission.
const MAX_SILENT_MEMBERS: usize = 3;

/// Cold members that may refuse a new flow with a priority before the others are taken
/// to have used up their rates too.
const MAX_COLD_REFUSALS: usize = 2;

/// Time from an opening's first refusal within which the caller can't have sent another
/// copy: it retransmits after 200 ms, and the opening may have been on its way for some.
const MAX_SINGLE_COPY_TIME: Duration = Duration::from_millis(150);

/// Members that one new flow has been forwarded to without success.
#[derive(Clone, Debug, Default)]
pub(super) struct PlacementAttempt {
    /// Sequence number of the flow's opening packet.
    opening_seq: u32,
    /// Members that refused the flow.
    refused: Vec<Ipv4Addr>,
    /// Members that did not reply in time and may have the flow all the same.
    silent: Vec<Ipv4Addr>,
    /// Members that refused because they are busy; they may be tried again.
    busy: Vec<Ipv4Addr>,
    /// Members that refused because they are cold and their rate is used up.
    cold: Vec<Ipv4Addr>,
    /// Whether the flow was sent to a cold member to wait there.
    waited_cold: bool,
    began_at: Millis,
    pub(super) seen_at: Millis,
}

impl PlacementAttempt {
    /// Whether the packet is a copy of the opening that is placed.
    pub(super) fn includes(&self, seg: &Segment) -> bool {
        !seg.opens || seg.seq == self.opening_seq
    }

    fn may_try(&self, member: &Member) -> bool {
        self.may_wait_at(member) && !self.cold.contains(&member.address)
    }

    /// Whether a member may be tried again if it refused only because it is cold.
    fn may_wait_at(&self, member: &Member) -> bool {
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
        self.placement_attempt(now, seg).silent.push(agent);
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
        let attempt = self.placement_attempt(now, seg);
        match refusal {
            Refusal::Busy => attempt.busy.push(from),
            Refusal::Cold => attempt.cold.push(from),
            _ => attempt.refused.push(from),
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
        let route = view.route(seg.key.service);
        let Some(service) = route.and_then(|r| r.service_of(&seg.key)) else {
            return self.handle_missing_route(view, now, seg);
        };
        let no_attempt = PlacementAttempt::default();
        let attempt = self.placement_attempts.get(&seg.key).unwrap_or(&no_attempt);
        if attempt.silent.len() >= MAX_SILENT_MEMBERS {
            self.flows.swap_remove(&seg.key);
            return Action::Drop(DropReason::Unanswered);
        }
        let members = view.servers_of(service, now);
        let mut candidates: Vec<&Member> = members.filter(|m| attempt.may_try(m)).collect();
        let has_priority = route.is_some_and(|r| r.priority.is_some());
        if has_priority && attempt.cold.len() >= MAX_COLD_REFUSALS {
            candidates.retain(|m| !m.is_cold(now) && !self.suspects.contains(m.address, now));
        }
        if has_priority && candidates.is_empty() && !attempt.cold.is_empty() {
            return self.wait_at_cold_member(view, now, seg, service);
        }
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
        self.forward_opening(now, seg, chosen, service)
    }

    fn forward_opening(
        &mut self,
        now: Millis,
        seg: &Segment,
        chosen: Chosen,
        service: ServiceId,
    ) -> Action {
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

    /// Sends a new flow to the cold member that ranks first for it, to wait there until
    /// the member may take it; refuses the flow if it has been at one already. The rank
    /// spreads the flows evenly, while the load of cold members says nothing.
    fn wait_at_cold_member(
        &mut self,
        view: &View,
        now: Millis,
        seg: &Segment,
        service: ServiceId,
    ) -> Action {
        let attempt = self.placement_attempt(now, seg);
        let waited = std::mem::replace(&mut attempt.waited_cold, true);
        let attempt = attempt.clone();
        let reachable = |m: &&Member| {
            let cold = m.is_cold(now) || attempt.cold.contains(&m.address);
            cold && attempt.may_wait_at(m) && !self.suspects.contains(m.address, now)
        };
        let members = view.servers_of(service, now).filter(reachable);
        let agent = first_ranked(&seg.key, members).filter(|_| !waited);
        let Some(agent) = agent else {
            return self.refuse_unless_silent(view, now, seg);
        };
        let chosen = Chosen {
            agent,
            inquiry: Inquiry::OwnerEvenIfBusy,
        };
        self.forward_opening(now, seg, chosen, service)
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
        let attempt = self.placement_attempts.swap_remove(&seg.key);
        let took = attempt.map_or(Duration::ZERO, |a| now.since(a.began_at));
        let single_copy = seg.opening_age.is_zero() && took < MAX_SINGLE_COPY_TIME;
        if reason == ResetReason::NoMember && single_copy {
            return self.reset_unless_view_outdated(view, seg, reason);
        }
        self.searches.insert(seg.key, Search::new(now, seg, reason));
        self.query_owner(view, now, seg)
    }

    fn placement_attempt(&mut self, now: Millis, seg: &Segment) -> &mut PlacementAttempt {
        let attempt = self.placement_attempts.entry(seg.key);
        let attempt = attempt.or_insert_with(|| PlacementAttempt {
            opening_seq: seg.seq,
            began_at: now,
            ..PlacementAttempt::default()
        });
        attempt.seen_at = now;
        attempt
    }
}

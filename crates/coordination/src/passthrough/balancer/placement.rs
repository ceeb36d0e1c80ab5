//! Finding a member that takes a new flow.

use std::net::Ipv4Addr;

use ramp_protocol::hop::Frame;
use ramp_protocol::hop::Inquiry;
use ramp_protocol::hop::Refusal;
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

/// Members that may be silent before the caller's next copy is waited for.
const SILENT_TRIES: usize = 3;

/// Looking for a member that takes a new flow.
#[derive(Clone, Debug, Default)]
pub(super) struct Placing {
    /// Members that refused it.
    refused: Vec<Ipv4Addr>,
    /// Members that did not answer in time, and may have the flow all the same.
    silent: Vec<Ipv4Addr>,
    /// Members that refused because they are busy, and may be asked again.
    busy: Vec<Ipv4Addr>,
    pub(super) seen_at: Millis,
}

impl Placing {
    fn may_try(&self, member: &Member) -> bool {
        let tried = [&self.refused, &self.silent];
        member.accepts_new_flows() && !tried.iter().any(|list| list.contains(&member.address))
    }
}

impl Balancer {
    /// A new flow waits at an agent, which will say what becomes of it.
    pub fn on_queued(&mut self, now: Millis, from: Ipv4Addr, frame: &Frame) {
        self.hear(now, from, frame);
        if let Some(flow) = self.flows.get_mut(&frame.flow)
            && flow.agent == from
        {
            flow.confirm();
        }
    }

    pub(super) fn opening(&mut self, view: &View, now: Millis, seg: &Segment) -> Action {
        let Some(flow) = self.flows.get_mut(&seg.key) else {
            // The caller still waits, so those that were silent get this copy.
            if let Some(placing) = self.placings.get_mut(&seg.key) {
                placing.silent.clear();
            }
            return self.place(view, now, seg);
        };
        if flow.confirmed || flow.opened || !flow.is_unanswered(now) {
            flow.note(now, seg);
            return flow.carry(Inquiry::Owner);
        }
        let agent = flow.agent;
        self.suspects.add(agent, now);
        self.placing(now, seg.key).silent.push(agent);
        self.place(view, now, seg)
    }

    /// A new flow was placed [`OWNER_REPLY_TIMEOUT`] ago; gives what to do with its
    /// opening packet if no agent has confirmed it yet.
    ///
    /// [`OWNER_REPLY_TIMEOUT`]: super::CONFIRM_LIMIT
    pub(super) fn overdue_opening(
        &mut self,
        view: &View,
        now: Millis,
        seg: &Segment,
    ) -> Option<Action> {
        let flow = self.flows.get(&seg.key)?;
        let placed = flow.confirmed || flow.opened;
        let late = !placed && flow.is_unanswered(now);
        late.then(|| self.opening(view, now, seg))
    }

    /// An agent did not take a new flow.
    pub(super) fn returned_opening(
        &mut self,
        view: &View,
        now: Millis,
        from: Ipv4Addr,
        refusal: Refusal,
        seg: &Segment,
    ) -> Action {
        let here = self.flows.contains_key(&seg.key) || self.placings.contains_key(&seg.key);
        if !here {
            // Placed before this process started, or given up on since.
            return Action::Drop(DropReason::PlacedElsewhere);
        }
        let placing = self.placing(now, seg.key);
        if refusal == Refusal::Busy {
            placing.busy.push(from);
        } else {
            placing.refused.push(from);
        }
        let elsewhere = |f: &Flow| f.agent != from || f.opened;
        if self.flows.get(&seg.key).is_some_and(elsewhere) {
            return Action::Drop(DropReason::PlacedElsewhere);
        }
        if refusal == Refusal::Overloaded {
            return self.refuse(view, now, seg, ResetReason::Overloaded);
        }
        self.place(view, now, seg)
    }

    /// Sends a new flow to the best member that has not refused it.
    pub(super) fn place(&mut self, view: &View, now: Millis, seg: &Segment) -> Action {
        let service = view
            .route(seg.key.service)
            .and_then(|r| r.service_of(&seg.key));
        let Some(service) = service else {
            return self.no_route(view, now, seg);
        };
        let none = Placing::default();
        let placing = self.placings.get(&seg.key).unwrap_or(&none);
        if placing.silent.len() >= SILENT_TRIES {
            self.flows.swap_remove(&seg.key);
            return Action::Drop(DropReason::Unanswered);
        }
        let members = view.servers_of(service, now);
        let able: Vec<&Member> = members.filter(|m| placing.may_try(m)).collect();
        let choice = Choice {
            flow: &seg.key,
            candidates: &able,
            busy: &placing.busy,
            suspects: &self.suspects,
            loads: &self.loads,
            now,
        };
        let Some(chosen) = choice.choose() else {
            return self.refuse_unless_silent(view, now, seg);
        };
        // Whatever was asked for before this placing is moot.
        self.searches.swap_remove(&seg.key);
        self.loads.note_sent(chosen.agent);
        self.remember(now, seg, chosen.agent, service);
        Action::Forward {
            agent: chosen.agent,
            inquiry: chosen.inquiry,
            service,
        }
    }

    /// Refuses a new flow that no member takes, unless one that has not
    /// answered may have it.
    fn refuse_unless_silent(&mut self, view: &View, now: Millis, seg: &Segment) -> Action {
        let placing = self.placings.get(&seg.key);
        if placing.is_some_and(|p| !p.silent.is_empty()) {
            self.flows.swap_remove(&seg.key);
            return Action::Drop(DropReason::Unanswered);
        }
        self.refuse(view, now, seg, ResetReason::NoMember)
    }

    /// Refuses a new flow. Where another copy of its opening may have come
    /// through another balancer, the holders are asked first: the flow may be
    /// open by now.
    fn refuse(&mut self, view: &View, now: Millis, seg: &Segment, reason: ResetReason) -> Action {
        self.flows.swap_remove(&seg.key);
        self.placings.swap_remove(&seg.key);
        if reason == ResetReason::NoMember && seg.opening_age.is_zero() {
            return self.reset_unless_behind(view, seg, reason);
        }
        self.searches.insert(seg.key, Search::new(now, seg, reason));
        self.ask(view, now, seg)
    }

    pub(super) fn placing(&mut self, now: Millis, flow: FlowKey) -> &mut Placing {
        let placing = self.placings.entry(flow).or_default();
        placing.seen_at = now;
        placing
    }
}

//! Finding a member that takes a new flow.

use std::net::Ipv4Addr;

use ramp_protocol::hop::Frame;
use ramp_protocol::hop::Inquiry;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

use super::Balancer;
use super::step::ResetReason;
use super::step::Step;
use crate::passthrough::choice::Choice;
use crate::passthrough::view::Member;
use crate::passthrough::view::View;

/// Looking for a member that takes a new flow.
#[derive(Clone, Debug, Default)]
pub(super) struct Placing {
    /// Members that refused it, or did not confirm it in time. Such a member
    /// may have the flow all the same.
    pub(super) refused: Vec<Ipv4Addr>,
    /// Members that refused because they are busy, and may be asked again.
    pub(super) busy: Vec<Ipv4Addr>,
    pub(super) seen_at: Millis,
}

impl Balancer {
    /// A new flow was placed [`CONFIRM_LIMIT`] ago; gives what to do with its
    /// opening packet if no agent has confirmed it yet.
    ///
    /// [`CONFIRM_LIMIT`]: super::CONFIRM_LIMIT
    pub(super) fn overdue_opening(
        &mut self,
        view: &View,
        now: Millis,
        seg: &Segment,
    ) -> Option<Step> {
        let flow = self.flows.get(&seg.key)?;
        let late = !flow.confirmed && flow.is_unanswered(now);
        late.then(|| self.opening(view, now, seg))
    }

    /// A new flow waits at an agent, which will say what becomes of it.
    pub fn waits(&mut self, now: Millis, from: Ipv4Addr, frame: &Frame) {
        self.hear(now, from, frame);
        if let Some(flow) = self.flows.get_mut(&frame.flow)
            && flow.agent == from
        {
            flow.confirm();
        }
    }

    pub(super) fn opening(&mut self, view: &View, now: Millis, seg: &Segment) -> Step {
        if let Some(flow) = self.flows.get_mut(&seg.key) {
            let late = !flow.confirmed && flow.is_unanswered(now);
            if !late {
                flow.note(now, seg);
                return Step::Carry {
                    agent: flow.agent,
                    inquiry: Inquiry::Owner,
                    service: flow.service,
                };
            }
            let agent = flow.agent;
            self.suspects.add(agent, now);
            self.placing(now, seg.key).refused.push(agent);
        }
        self.place(view, now, seg)
    }

    /// Sends a new flow to the best member that has not refused it.
    pub(super) fn place(&mut self, view: &View, now: Millis, seg: &Segment) -> Step {
        let service = view
            .route(seg.key.service)
            .and_then(|r| r.service_of(&seg.key));
        let Some(service) = service else {
            return self.reset_unless_behind(view, seg, ResetReason::NoRoute);
        };
        let (refused, busy) = match self.placings.get(&seg.key) {
            Some(placing) => (placing.refused.as_slice(), placing.busy.as_slice()),
            None => Default::default(),
        };
        let able = |m: &&Member| m.takes_new() && !refused.contains(&m.address);
        let able: Vec<&Member> = view.servers_of(service, now).filter(able).collect();
        let choice = Choice {
            flow: &seg.key,
            able: &able,
            busy,
            suspects: &self.suspects,
            loads: &self.loads,
            now,
        };
        let Some(chosen) = choice.choose() else {
            self.flows.swap_remove(&seg.key);
            self.placings.swap_remove(&seg.key);
            return self.reset_unless_behind(view, seg, ResetReason::NoMember);
        };
        self.loads.sent(chosen.agent);
        self.remember(now, seg, chosen.agent, service);
        Step::Carry {
            agent: chosen.agent,
            inquiry: chosen.inquiry,
            service,
        }
    }

    pub(super) fn placing(&mut self, now: Millis, flow: FlowKey) -> &mut Placing {
        let placing = self.placings.entry(flow).or_default();
        placing.seen_at = now;
        placing
    }
}

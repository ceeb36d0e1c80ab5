//! Finding the owner of an open flow, or that it has none.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_protocol::hop::Frame;
use ramp_protocol::hop::Inquiry;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

use super::Balancer;
use super::step::DropReason;
use super::step::Question;
use super::step::Reset;
use super::step::ResetReason;
use super::step::Step;
use crate::passthrough::choice::first_ranked;
use crate::passthrough::view::Member;
use crate::passthrough::view::View;

/// Time between two copies of a packet to all holders of one flow.
const ASK_AGAIN: Duration = Duration::from_millis(100);

/// Silence after the first of at least two questions from which a holder that
/// is not listed counts as gone.
const SILENT_LIMIT: Duration = Duration::from_millis(300);

/// Looking for the owner of an open flow.
#[derive(Clone, Debug)]
pub(super) struct Search {
    /// Holders whose servers do not have it.
    pub(super) denied: Vec<Ipv4Addr>,
    /// When the holders were asked last; none: they may be asked at once.
    pub(super) asked_at: Option<Millis>,
    /// When they were asked first.
    first_asked_at: Option<Millis>,
    /// How often they were asked.
    questions: u32,
    pub(super) seen_at: Millis,
    pub(super) seq: u32,
}

impl Search {
    pub(super) fn new(now: Millis, seg: &Segment) -> Search {
        Search {
            denied: Vec::new(),
            asked_at: None,
            first_asked_at: None,
            questions: 0,
            seen_at: now,
            seq: seg.ack,
        }
    }

    fn note_question(&mut self, now: Millis) {
        self.asked_at = Some(now);
        self.first_asked_at.get_or_insert(now);
        self.questions += 1;
    }

    /// Since when holders that stay silent have not answered; none while they
    /// still may.
    fn unanswered_since(&self, now: Millis) -> Option<Millis> {
        let since = self.first_asked_at?;
        let long = now.since(since) >= SILENT_LIMIT;
        (self.questions > 1 && long).then_some(since)
    }
}

impl Balancer {
    /// An agent's server does not have the flow.
    pub fn denied(&mut self, view: &View, now: Millis, from: Ipv4Addr, frame: &Frame) -> Step {
        self.hear(now, from, frame);
        let Some(search) = self.searches.get_mut(&frame.flow) else {
            return Step::Drop(DropReason::OwnerFound);
        };
        if !search.denied.contains(&from) {
            search.denied.push(from);
        }
        self.conclude(view, now, frame.flow)
    }

    /// An agent does not know whether its server has a flow.
    pub fn unsure(&mut self, now: Millis, from: Ipv4Addr, frame: &Frame) {
        self.hear(now, from, frame);
        if let Some(search) = self.searches.get_mut(&frame.flow) {
            // The caller's next packet is sent to its server at once.
            search.asked_at = None;
        }
    }

    /// Callers whose flows a new view shows to be owned by nobody.
    pub fn concluded(&mut self, view: &View, now: Millis) -> Vec<Reset> {
        let asked = self.searches.iter().filter(|(_, s)| s.asked_at.is_some());
        let flows: Vec<FlowKey> = asked.map(|(flow, _)| *flow).collect();
        let steps = flows.into_iter().map(|flow| self.conclude(view, now, flow));
        steps
            .filter_map(|step| match step {
                Step::Reset(reset) => Some(reset),
                _ => None,
            })
            .collect()
    }

    pub(super) fn open_flow(&mut self, view: &View, now: Millis, seg: &Segment) -> Step {
        if let Some(flow) = self.flows.get_mut(&seg.key) {
            flow.seen_at = now;
            flow.finished |= seg.fin || seg.rst;
            let flow = *flow;
            if !view.is_gone(flow.agent, now) {
                return Step::Carry {
                    agent: flow.agent,
                    inquiry: if flow.confirmed {
                        Inquiry::None
                    } else {
                        Inquiry::Owner
                    },
                    service: flow.service,
                };
            }
            // Gone by this view only: should it be listed again, it is asked.
            self.flows.swap_remove(&seg.key);
            return self.ask(view, now, seg);
        }
        if let Some(search) = self.searches.get_mut(&seg.key) {
            search.seen_at = now;
            search.seq = seg.ack;
            return self.ask(view, now, seg);
        }
        self.guess(view, now, seg)
    }

    /// Sends a packet of a flow that is not remembered where it most likely
    /// belongs.
    pub(super) fn guess(&mut self, view: &View, now: Millis, seg: &Segment) -> Step {
        let route = view.route(seg.key.service);
        let Some(service) = route.and_then(|r| r.service_of(&seg.key)) else {
            return self.reset_unless_behind(view, seg, ResetReason::NoRoute);
        };
        let members = view.servers_of(service, now);
        let trusted = |m: &&Member| !self.suspects.holds(m.address, now);
        let Some(agent) = first_ranked(&seg.key, members.filter(trusted)) else {
            return self.ask(view, now, seg);
        };
        self.remember(now, seg, agent, service);
        Step::Carry {
            agent,
            inquiry: Inquiry::Owner,
            service,
        }
    }

    /// Asks all holders that have not denied the flow.
    pub(super) fn ask(&mut self, view: &View, now: Millis, seg: &Segment) -> Step {
        let search = self.searches.entry(seg.key);
        search.or_insert_with(|| Search::new(now, seg));
        if let step @ Step::Reset(_) = self.conclude(view, now, seg.key) {
            return step;
        }
        let Some(search) = self.searches.get_mut(&seg.key) else {
            return Step::Drop(DropReason::OwnerFound);
        };
        if search.asked_at.is_some_and(|at| now.since(at) < ASK_AGAIN) {
            return Step::Drop(DropReason::Asked);
        }
        search.note_question(now);
        let mut question = Question::default();
        for holder in view.holders().filter(|h| !search.denied.contains(h)) {
            if self.loads.is_complete(holder) {
                question.named.push(holder);
            } else {
                question.copies.push(holder);
            }
        }
        if question.agent_count() == 0 {
            return Step::Drop(DropReason::Unsettled);
        }
        Step::Ask(question)
    }

    /// Resets the caller once nobody can have the flow.
    pub(super) fn conclude(&mut self, view: &View, now: Millis, flow: FlowKey) -> Step {
        let Some(search) = self.searches.get(&flow) else {
            return Step::Drop(DropReason::OwnerFound);
        };
        // Listed members are never gone, so each must have denied it.
        if search.denied.len() < view.members().len() {
            return Step::Drop(DropReason::Asked);
        }
        let denied = |h: Ipv4Addr| {
            search.denied.contains(&h)
                || view.is_gone(h, now)
                || self.is_silent_and_unlisted(view, now, search, h)
        };
        if !view.holders().all(denied) {
            return Step::Drop(DropReason::Asked);
        }
        // A holder that this view does not have yet may own the flow.
        let behind = self.newest_heard > view.cursor;
        if behind || !view.is_settled(now) || self.may_have_missed_an_outage(view, now) {
            return Step::Drop(DropReason::Unsettled);
        }
        let seq = search.seq;
        self.searches.swap_remove(&flow);
        self.flows.swap_remove(&flow);
        Step::Reset(Reset {
            flow,
            seq,
            reason: ResetReason::Unowned,
        })
    }

    /// Whether this balancer may have started just after an outage, so that it
    /// has never seen the records of servers that live.
    fn may_have_missed_an_outage(&self, view: &View, now: Millis) -> bool {
        let nobody_told = view.members().is_empty();
        view.is_young(now) && (nobody_told || self.loads.tell_of_missing_servers(now))
    }

    /// Whether a holder has reported neither to the platform nor to this
    /// balancer for so long that its flows can't be served in any case.
    fn is_silent_and_unlisted(
        &self,
        view: &View,
        now: Millis,
        search: &Search,
        holder: Ipv4Addr,
    ) -> bool {
        let Some(since) = search.unanswered_since(now) else {
            return false;
        };
        view.member(holder).is_none() && !self.loads.has_told_since(holder, since)
    }

    pub(super) fn note_denial(&mut self, now: Millis, seg: &Segment, agent: Ipv4Addr) {
        let search = self.searches.entry(seg.key);
        let search = search.or_insert_with(|| Search::new(now, seg));
        search.seen_at = now;
        search.seq = seg.ack;
        if !search.denied.contains(&agent) {
            search.denied.push(agent);
        }
    }
}

//! Finding the owner of an open flow, or that it has none.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_protocol::hop::Frame;
use ramp_protocol::hop::Inquiry;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

use super::Balancer;
use super::action::Action;
use super::action::DropReason;
use super::action::OverdueReply;
use super::action::Reset;
use super::action::ResetReason;
use super::search::Candidate;
use super::search::Search;
use super::stalled_search::ViewUncertainty;
use crate::passthrough::choice::first_ranked;
use crate::passthrough::published::RELIST_LIMIT;
use crate::passthrough::view::Member;
use crate::passthrough::view::View;

/// Time for which an agent that is not listed may be asked after its last word.
const PRESENT_KEPT: Duration = Duration::from_secs(10);

/// Time for which an agent may be away, as by a restart, while its server lives.
const AWAY_LIMIT: Duration = Duration::from_secs(3);

/// Time after which a process that was started beside a running fleet knows all
/// of it: missing records are back, and have been heard of.
const JOIN_LIMIT: Duration = Duration::from_secs(4);

/// Longest time for which a caller tries to open a flow.
const OPENING_LASTS: Duration = Duration::from_secs(2);

/// Copies of packets to silent agents that a balancer sends at most: after a
/// data centre is lost, each of its flows is searched for there.
const SILENT_COPIES_PER_S: usize = 400;

impl Balancer {
    /// An agent's server does not have the flow.
    pub fn on_denied(&mut self, view: &View, now: Millis, from: Ipv4Addr, frame: &Frame) -> Action {
        self.hear(now, from, frame);
        let Some(search) = self.searches.get_mut(&frame.flow) else {
            return Action::Drop(DropReason::OwnerFound);
        };
        search.note_denial(from);
        if self.flows.get(&frame.flow).is_some_and(|f| f.agent == from) {
            self.flows.swap_remove(&frame.flow);
        }
        // The answer of one that seems silent may be the next to be read.
        self.conclude(view, now, frame.flow, |_| false)
    }

    /// An agent does not know whether its server has a flow.
    pub fn on_unsure(&mut self, now: Millis, from: Ipv4Addr, frame: &Frame) {
        self.hear(now, from, frame);
        if let Some(search) = self.searches.get_mut(&frame.flow) {
            search.note_unsure(from);
        }
    }

    /// Whether an agent that has seen nothing of a flow since it started denies
    /// it by that: the flow is a new one, and the agent is older.
    pub fn implies_denial(&self, frame: &Frame) -> bool {
        let search = self.searches.get(&frame.flow);
        search.is_some_and(Search::is_of_opening) && frame.running_for >= OPENING_LASTS
    }

    /// Callers whose flows a new view shows to be owned by nobody.
    pub fn on_new_view(&mut self, view: &View, now: Millis) -> Vec<Reset> {
        let asked = self.searches.iter().filter(|(_, s)| s.is_asked());
        let flows: Vec<FlowKey> = asked.map(|(flow, _)| *flow).collect();
        let steps = flows
            .into_iter()
            .map(|flow| self.conclude_by_silence(view, now, flow));
        steps
            .filter_map(|step| match step {
                Action::Reset(reset) => Some(reset),
                _ => None,
            })
            .collect()
    }

    pub(super) fn open_flow(&mut self, view: &View, now: Millis, seg: &Segment) -> Action {
        self.forget_refusal(&seg.key);
        let Some(flow) = self.flows.get_mut(&seg.key) else {
            if self.searches.contains_key(&seg.key) {
                return self.ask(view, now, seg);
            }
            return self.guess(view, now, seg);
        };
        flow.note(now, seg);
        let gone = view.is_gone(flow.agent, now) && self.loads.is_silent(flow.agent, now);
        if gone {
            flow.doubt(now);
        }
        let flow = *flow;
        if gone || flow.is_unanswered(now) {
            return self.ask(view, now, seg);
        }
        flow.carry(flow.inquiry())
    }

    /// A packet of an open flow was sent with a question [`OWNER_REPLY_TIMEOUT`] ago;
    /// gives what to do with it if nobody has answered.
    ///
    /// [`OWNER_REPLY_TIMEOUT`]: super::CONFIRM_LIMIT
    pub(super) fn overdue_answer(
        &mut self,
        view: &View,
        now: Millis,
        seg: &Segment,
    ) -> Option<Action> {
        let flow = self.flows.get(&seg.key);
        let unanswered = flow.is_some_and(|f| f.is_unanswered(now));
        let search = self.searches.get(&seg.key);
        if !unanswered && search.is_none() {
            return None;
        }
        let left = self.candidates(view, now, &seg.key);
        if search.is_some_and(|s| !s.is_to_repeat(&left)) {
            return None;
        }
        let step = self.ask(view, now, seg);
        // The agent that most likely has it got this packet already.
        matches!(step, Action::QueryOwner(_) | Action::Reset(_)).then_some(step)
    }

    /// Sends a packet of a flow that is not remembered where it most likely
    /// belongs.
    pub(super) fn guess(&mut self, view: &View, now: Millis, seg: &Segment) -> Action {
        let route = view.route(seg.key.service);
        let Some(service) = route.and_then(|r| r.service_of(&seg.key)) else {
            return self.no_route(view, now, seg);
        };
        let members = view.servers_of(service, now);
        let trusted = |m: &&Member| !self.suspects.contains(m.address, now);
        let Some(agent) = first_ranked(&seg.key, members.filter(trusted)) else {
            return self.ask(view, now, seg);
        };
        self.remember(now, seg, agent, service);
        Action::Forward {
            agent,
            inquiry: Inquiry::Owner,
            service,
        }
    }

    /// Asks all holders that have not denied the flow. Between two questions
    /// the agent that most likely has it gets its packets all the same.
    pub(super) fn ask(&mut self, view: &View, now: Millis, seg: &Segment) -> Action {
        self.search(now, seg);
        if let step @ Action::Reset(_) = self.conclude_by_silence(view, now, seg.key) {
            return step;
        }
        let candidates = self.candidates(view, now, &seg.key);
        let likely = self.flows.get(&seg.key).copied();
        let Some(search) = self.searches.get_mut(&seg.key) else {
            return Action::Drop(DropReason::OwnerFound);
        };
        if !search.is_due(now, &candidates) {
            let wait = Action::Drop(DropReason::Asked);
            return likely.map_or(wait, |f| f.carry(Inquiry::Owner));
        }
        let copies = &mut self.copies;
        let may_copy = || copies.try_acquire(now, SILENT_COPIES_PER_S);
        let mut question = search.question(now, seg, &candidates, may_copy);
        question.overdue = likely
            .filter(|f| f.is_unanswered(now))
            .map(|f| OverdueReply {
                agent: f.agent,
                confirmed: f.confirmed,
                waited: f.waited(now),
            });
        if question.agent_count() == 0 {
            return Action::Drop(DropReason::Unsettled);
        }
        Action::QueryOwner(question)
    }

    /// Everyone who may have flows: those that the platform lists or has listed,
    /// and agents that give signs of life without that.
    fn holders(&self, view: &View, now: Millis) -> impl Iterator<Item = Ipv4Addr> {
        let unlisted = self.loads.agents_heard_since(now - PRESENT_KEPT);
        let unlisted = unlisted.filter(|agent| view.holders().all(|h| h != *agent));
        let all = view.holders().chain(unlisted);
        all.filter(|h| !self.loads.is_gone(*h) || view.member(*h).is_some())
    }

    /// Holders that have not denied a flow.
    pub(super) fn candidates(&self, view: &View, now: Millis, flow: &FlowKey) -> Vec<Candidate> {
        let denied = self.searches.get(flow).map(|s| s.denied.as_slice());
        let denied = denied.unwrap_or_default();
        let likely = self.flows.get(flow).map(|f| f.agent);
        let holders = self.holders(view, now);
        holders
            .filter(|h| !denied.contains(h))
            .map(|agent| Candidate {
                agent,
                likely: likely == Some(agent),
                listed: view.member(agent).is_some(),
                complete: self.loads.is_complete(agent),
            })
            .collect()
    }

    /// Resets the caller once nobody can have the flow, by silence of those that
    /// count as gone too.
    fn conclude_by_silence(&mut self, view: &View, now: Millis, flow: FlowKey) -> Action {
        let search = self.searches.get(&flow);
        let gone: Vec<Ipv4Addr> = search.map_or_else(Vec::new, |search| {
            let holders = self.holders(view, now);
            let gone = holders.filter(|h| self.counts_as_gone(view, now, search, *h));
            gone.collect()
        });
        self.conclude(view, now, flow, |holder| gone.contains(&holder))
    }

    /// Resets the caller once each holder has denied the flow or is gone.
    fn conclude(
        &mut self,
        view: &View,
        now: Millis,
        flow: FlowKey,
        is_gone: impl Fn(Ipv4Addr) -> bool,
    ) -> Action {
        let Some(search) = self.searches.get(&flow) else {
            return Action::Drop(DropReason::OwnerFound);
        };
        if search.is_stale(now) {
            self.searches.swap_remove(&flow);
            return Action::Drop(DropReason::Unanswered);
        }
        // Listed members are never gone, so each must have denied it.
        if search.denied.len() < view.members().len() {
            return Action::Drop(DropReason::Asked);
        }
        let denied = |h: Ipv4Addr| search.denied.contains(&h) || is_gone(h);
        if !self.holders(view, now).all(denied) {
            return Action::Drop(DropReason::Asked);
        }
        if self.view_uncertainty(view, now).is_some() {
            return Action::Drop(DropReason::Unsettled);
        }
        let (seq, reason) = (search.seq, search.reason);
        self.searches.swap_remove(&flow);
        self.flows.swap_remove(&flow);
        Action::Reset(Reset { flow, seq, reason })
    }

    /// Why there may be holders that this balancer does not know of.
    pub(super) fn view_uncertainty(&self, view: &View, now: Millis) -> Option<ViewUncertainty> {
        if self.newest_heard > view.cursor {
            return Some(ViewUncertainty::Behind);
        }
        if !view.is_settled(now) {
            return Some(ViewUncertainty::Unsettled);
        }
        self.may_have_missed_records(view, now)
            .then_some(ViewUncertainty::MissedRecords)
    }

    /// Whether this balancer may have started while records of servers that live
    /// were missing, so that it has never seen them. Where the whole fleet has
    /// just started, no flow is older than this process.
    fn may_have_missed_records(&self, view: &View, now: Millis) -> bool {
        let nobody_told = view.members().is_empty();
        let may_lack = nobody_told || self.loads.report_missing_servers(now);
        let known_for = view.known_for(now);
        (may_lack && known_for < RELIST_LIMIT) || (self.fleet_is_older && known_for < JOIN_LIMIT)
    }

    /// Whether a holder has no record and stays silent, so that its flows can't
    /// be served in any case. A missing record alone says nothing: it lapses
    /// also when its server lives and is cut off from the platform.
    pub(super) fn counts_as_gone(
        &self,
        view: &View,
        now: Millis,
        search: &Search,
        holder: Ipv4Addr,
    ) -> bool {
        if view.member(holder).is_some() {
            return false;
        }
        if self.loads.heard_from_since(holder, now - AWAY_LIMIT) {
            return false;
        }
        let known_gone = view.is_gone(holder, now);
        let since = search.silent_since(now, known_gone);
        since.is_some_and(|since| !self.loads.heard_from_since(holder, since))
    }

    /// Forgets what was asked for an opening: denials from then say nothing of
    /// the flow that is open now.
    fn forget_refusal(&mut self, flow: &FlowKey) {
        if self.searches.get(flow).is_some_and(Search::is_of_opening) {
            self.searches.swap_remove(flow);
        }
    }

    /// The search for the owner of a packet's flow, which may begin with it.
    fn search(&mut self, now: Millis, seg: &Segment) -> &mut Search {
        let search = self.searches.entry(seg.key);
        let search = search.or_insert_with(|| Search::new(now, seg, ResetReason::Unowned));
        search.note(now, seg);
        search
    }

    pub(super) fn note_denial(&mut self, now: Millis, seg: &Segment, agent: Ipv4Addr) {
        self.search(now, seg).note_denial(agent);
    }
}

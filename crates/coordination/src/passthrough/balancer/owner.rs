//! Finding the owner of a flow, or proving that it has none.
//!
//! Packets of open flows are forwarded to the agent in the flow table or, without
//! an entry, to the member that ranks first. When that agent denies the flow or
//! does not reply, all other holders are asked. The caller is reset once every
//! holder has denied the flow or counts as gone, and only if the balancer can
//! have missed no holder.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_protocol::frame::Frame;
use ramp_protocol::frame::Inquiry;
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

/// Time after its last message for which an unlisted agent counts as a holder.
const UNLISTED_AGENT_TTL: Duration = Duration::from_secs(10);

/// Longest time for which an agent may be silent while its server runs, for example
/// during a restart of the agent.
const AGENT_RESTART_LIMIT: Duration = Duration::from_secs(3);

/// Time after which a process that joins a running fleet knows all holders:
/// missing records have been restored and received here.
const FLEET_DISCOVERY_TIME: Duration = Duration::from_secs(4);

/// Longest time for which a caller retries its opening packet.
pub(in crate::passthrough) const OPENING_RETRY_TIME: Duration = Duration::from_secs(2);

/// Limit on packet copies to agents that do not reply. When a data centre is lost,
/// every flow of its servers starts a search that includes the lost agents.
const SILENT_COPIES_PER_S: usize = 400;

impl Balancer {
    /// An agent reports that its server does not have the flow.
    pub fn on_denied(&mut self, view: &View, now: Millis, from: Ipv4Addr, frame: &Frame) -> Action {
        self.record_agent_frame(now, from, frame);
        self.apply_denial(view, now, from, frame.flow)
    }

    /// As [`Balancer::on_denied`], for an agent that returns the header of the packet it was
    /// asked with.
    pub fn on_denied_packet(
        &mut self,
        view: &View,
        now: Millis,
        from: Ipv4Addr,
        frame: &Frame,
        seg: &Segment,
    ) -> Action {
        if self.is_of_other_flow(seg) {
            self.record_agent_frame(now, from, frame);
            return Action::Drop(DropReason::EarlierFlow);
        }
        if let Some(search) = self.searches.get_mut(&seg.key) {
            search.record_refusal(from);
        }
        self.on_denied(view, now, from, frame)
    }

    /// As [`Balancer::on_denied`], without what the frame says of the agent itself.
    pub(super) fn apply_denial(
        &mut self,
        view: &View,
        now: Millis,
        from: Ipv4Addr,
        flow: FlowKey,
    ) -> Action {
        let Some(search) = self.searches.get_mut(&flow) else {
            // The others are asked with the packet whose reply was awaited.
            if let Some(flow) = self.flows.get_mut(&flow).filter(|f| f.agent == from) {
                flow.mark_denied();
            }
            return Action::Drop(DropReason::OwnerFound);
        };
        search.record_denial(from);
        if self.flows.get(&flow).is_some_and(|f| f.agent == from) {
            self.flows.swap_remove(&flow);
        }
        // Only denials count here: the reply of an agent that seems silent may be
        // in the socket buffer already.
        self.finish_search(view, now, flow, |_| false)
    }

    /// An agent reports that it does not know whether its server has the flow.
    pub fn on_unsure(&mut self, now: Millis, from: Ipv4Addr, frame: &Frame) {
        self.record_agent_frame(now, from, frame);
        if let Some(search) = self.searches.get_mut(&frame.flow) {
            search.record_unsure(from);
        }
    }

    /// Whether a reply of an agent that has not seen the flow since the agent
    /// started counts as a denial. It does for a new flow if the agent has been
    /// running for longer than a caller retries its opening.
    pub fn implies_denial(&self, frame: &Frame) -> bool {
        let search = self.searches.get(&frame.flow);
        search.is_some_and(Search::is_for_opening) && frame.uptime >= OPENING_RETRY_TIME
    }

    /// Handles a new view: returns resets for the searches that it ends because no
    /// holder is left that may have the flow.
    pub fn on_new_view(&mut self, view: &View, now: Millis) -> Vec<Reset> {
        let asked = self.searches.iter().filter(|(_, s)| s.has_queried());
        let flows: Vec<FlowKey> = asked.map(|(flow, _)| *flow).collect();
        let actions = flows
            .into_iter()
            .map(|flow| self.finish_search_by_silence(view, now, flow));
        actions
            .filter_map(|action| match action {
                Action::Reset(reset) => Some(reset),
                _ => None,
            })
            .collect()
    }

    pub(super) fn route_open_flow(&mut self, view: &View, now: Millis, seg: &Segment) -> Action {
        self.discard_opening_search(&seg.key);
        let link_delay = self.link_delay(now);
        let Some(flow) = self.flows.get_mut(&seg.key) else {
            if self.searches.contains_key(&seg.key) {
                return self.query_owner(view, now, seg);
            }
            return self.forward_to_first_ranked(view, now, seg);
        };
        flow.record_packet(now, seg);
        let gone = view.is_gone(flow.agent, now) && self.loads.is_silent(flow.agent, now);
        if gone {
            flow.expect_reply(now);
        }
        let flow = *flow;
        if gone || flow.is_reply_overdue(now, link_delay) {
            return self.query_owner(view, now, seg);
        }
        flow.forward(flow.inquiry())
    }

    /// Part of [`Balancer::on_reply_timeout`] for packets of open flows: queries the
    /// owner if the reply is still missing.
    pub(super) fn on_open_flow_reply_timeout(
        &mut self,
        view: &View,
        now: Millis,
        seg: &Segment,
    ) -> Option<Action> {
        let flow = self.flows.get(&seg.key);
        let unanswered = flow.is_some_and(|f| f.is_reply_overdue(now, self.link_delay(now)));
        let search = self.searches.get(&seg.key);
        if !unanswered && search.is_none() {
            return None;
        }
        let remaining = self.candidates(view, now, &seg.key);
        if search.is_some_and(|s| !s.may_repeat_query(&remaining)) {
            return None;
        }
        let action = self.query_owner(view, now, seg);
        // Forwarding is left out: the likely owner has got this packet already.
        matches!(action, Action::QueryOwner(_) | Action::Reset(_)).then_some(action)
    }

    /// Forwards a packet of an unknown flow to the member that ranks first, which
    /// most likely has the flow.
    pub(super) fn forward_to_first_ranked(
        &mut self,
        view: &View,
        now: Millis,
        seg: &Segment,
    ) -> Action {
        let route = view.route(seg.key.service);
        let Some(service) = route.and_then(|r| r.service_of(&seg.key)) else {
            return self.handle_missing_route(view, now, seg);
        };
        let members = view.servers_of(service, now);
        let trusted = |m: &&Member| !self.suspects.contains(m.address, now);
        let Some(agent) = first_ranked(&seg.key, members.filter(trusted)) else {
            return self.query_owner(view, now, seg);
        };
        self.remember_flow(now, seg, agent, service);
        Action::Forward {
            agent,
            inquiry: Inquiry::Owner,
            service,
        }
    }

    /// Asks all holders that have not denied the flow. Between two queries, packets
    /// are forwarded to the likely owner.
    pub(super) fn query_owner(&mut self, view: &View, now: Millis, seg: &Segment) -> Action {
        self.search_entry(now, seg);
        if let action @ Action::Reset(_) = self.finish_search_by_silence(view, now, seg.key) {
            return action;
        }
        let mut candidates = self.candidates(view, now, &seg.key);
        candidates.retain(|c| c.listed || !self.unanswered.may_skip(c.agent, now));
        let likely_owner = self.flows.get(&seg.key).copied();
        let link_delay = self.link_delay(now);
        let within_share = self.narrow_link.as_ref().is_none_or(|l| l.may_search(now));
        let copies_per_s = self.silent_copies_per_s();
        let relay = self.relay_for(view, now, &seg.key);
        let Some(search) = self.searches.get_mut(&seg.key) else {
            return Action::Drop(DropReason::OwnerFound);
        };
        if !within_share || !search.is_query_due(now, &candidates, link_delay) {
            // Without a search, packets must not go on to an agent that has not
            // confirmed the flow: its server may be the wrong one.
            let target = likely_owner.filter(|f| within_share || f.confirmed);
            let wait = Action::Drop(DropReason::Asked);
            return target.map_or(wait, |f| f.forward(Inquiry::Owner));
        }
        let limiter = &mut self.silent_copy_limiter;
        let may_copy = || limiter.try_acquire(now, copies_per_s);
        let mut query = search.next_query(now, seg, &candidates, link_delay, relay, may_copy);
        query.overdue = likely_owner
            .filter(|f| f.is_reply_overdue(now, link_delay))
            .map(|f| OverdueReply {
                agent: f.agent,
                confirmed: f.confirmed,
                waited: f.waited(now),
            });
        if query.agent_count() == 0 {
            return Action::Drop(DropReason::Unsettled);
        }
        for agent in query.packet_copies.iter().chain(&query.by_key) {
            self.unanswered.note_query(*agent, now);
        }
        Action::QueryOwner(query)
    }

    /// Limit on packet copies to silent agents. On a narrow link they may use a small
    /// part of its rate only.
    fn silent_copies_per_s(&self) -> usize {
        let link = self.narrow_link.as_ref();
        link.map_or(SILENT_COPIES_PER_S, |link| {
            SILENT_COPIES_PER_S.min(link.copies_per_s())
        })
    }

    /// Agents that may have flows: those that the platform lists or has listed,
    /// and unlisted ones that have sent a message within [`UNLISTED_AGENT_TTL`].
    fn holders(&self, view: &View, now: Millis) -> impl Iterator<Item = Ipv4Addr> {
        let unlisted = self.loads.agents_heard_since(now - UNLISTED_AGENT_TTL);
        let unlisted = unlisted.filter(|agent| view.holders().all(|h| h != *agent));
        let all = view.holders().chain(unlisted);
        all.filter(|h| !self.loads.is_gone(*h) || view.member(*h).is_some())
    }

    /// Holders that have not denied the flow.
    pub(super) fn candidates(&self, view: &View, now: Millis, flow: &FlowKey) -> Vec<Candidate> {
        let denied = self.searches.get(flow).map(|s| s.denied.as_slice());
        let denied = denied.unwrap_or_default();
        let likely_owner = self.flows.get(flow).map(|f| f.agent);
        let holders = self.holders(view, now);
        holders
            .filter(|h| !denied.contains(h))
            .map(|agent| Candidate {
                agent,
                likely_owner: likely_owner == Some(agent),
                listed: view.member(agent).is_some(),
                knows_all_flows: self.loads.knows_all_flows(agent),
            })
            .collect()
    }

    /// Resets the caller if every holder has denied the flow or counts as gone by
    /// its silence.
    fn finish_search_by_silence(&mut self, view: &View, now: Millis, flow: FlowKey) -> Action {
        let search = self.searches.get(&flow);
        let gone: Vec<Ipv4Addr> = search.map_or_else(Vec::new, |search| {
            let holders = self.holders(view, now);
            let gone = holders.filter(|h| self.counts_as_gone(view, now, search, *h));
            gone.collect()
        });
        self.finish_search(view, now, flow, |holder| gone.contains(&holder))
    }

    /// Resets the caller if every holder has denied the flow or is gone by `is_gone`.
    fn finish_search(
        &mut self,
        view: &View,
        now: Millis,
        flow: FlowKey,
        is_gone: impl Fn(Ipv4Addr) -> bool,
    ) -> Action {
        let Some(search) = self.searches.get(&flow) else {
            return Action::Drop(DropReason::OwnerFound);
        };
        if search.denials_expired(now) {
            self.searches.swap_remove(&flow);
            return Action::Drop(DropReason::Unanswered);
        }
        // Listed members never count as gone, so each must have denied the flow.
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

    /// Why there may be holders that this balancer does not know of, if so.
    pub(super) fn view_uncertainty(&self, view: &View, now: Millis) -> Option<ViewUncertainty> {
        if self.newest_agent_revision > view.cursor {
            return Some(ViewUncertainty::Behind);
        }
        if !view.is_settled(now) {
            return Some(ViewUncertainty::Unsettled);
        }
        self.may_have_missed_records(view, now)
            .then_some(ViewUncertainty::MissedRecords)
    }

    /// Whether this balancer may have started while the platform lacked records of
    /// running servers, so that it has never seen them. This does not matter where
    /// the whole fleet has just started: no flow is older than this process then.
    fn may_have_missed_records(&self, view: &View, now: Millis) -> bool {
        let no_member_listed = view.members().is_empty();
        let may_miss_servers = no_member_listed || self.loads.report_missing_servers(now);
        let known_for = view.known_for(now);
        (may_miss_servers && known_for < RELIST_LIMIT)
            || (self.fleet_is_older && known_for < FLEET_DISCOVERY_TIME)
    }

    /// Whether a holder is unlisted and stays silent, so that its flows can't be
    /// served in any case. A missing record alone is no proof: it also lapses when
    /// the server runs but is cut off from the platform.
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
        if self
            .loads
            .heard_from_since(holder, now - AGENT_RESTART_LIMIT)
        {
            return false;
        }
        // Queries of other searches show as much as those of this one.
        if self.unanswered.is_silent(holder, now) {
            return true;
        }
        let known_gone = view.is_gone(holder, now);
        let since = search.silent_since(now, known_gone, self.link_delay(now));
        since.is_some_and(|since| !self.loads.heard_from_since(holder, since))
    }

    /// Removes a search that was started for the opening: its denials may be older
    /// than the flow, which is open now.
    fn discard_opening_search(&mut self, flow: &FlowKey) {
        if self.searches.get(flow).is_some_and(Search::is_for_opening) {
            self.searches.swap_remove(flow);
        }
    }

    /// Search for the owner of the packet's flow; started if there is none.
    fn search_entry(&mut self, now: Millis, seg: &Segment) -> &mut Search {
        let search = self.searches.entry(seg.key);
        let search = search.or_insert_with(|| Search::new(now, seg, ResetReason::Unowned));
        search.record_packet(now, seg);
        search
    }

    pub(super) fn record_refusal(&mut self, now: Millis, seg: &Segment, agent: Ipv4Addr) {
        self.search_entry(now, seg).record_refusal(agent);
    }
}

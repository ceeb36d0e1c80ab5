//! Decisions of a balancer whose packets pass through.
//!
//! A new flow goes to the member that ranks first for it among those that
//! take new flows; the agent there has the last word and may send the packet
//! back. A packet of a flow that is not remembered goes to the member that
//! ranks first; when its server does not have the flow, every other holder
//! gets a copy, and the one that has it says so. Only when all holders have
//! denied the flow is the caller reset, and then at once.

use std::net::Ipv4Addr;
use std::time::Duration;

use indexmap::IndexMap;
use ramp_protocol::hop::Frame;
use ramp_protocol::hop::Inquiry;
use ramp_protocol::hop::Refusal;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::key::ServiceId;
use ramp_state::time::Millis;

use super::choice::Choice;
use super::choice::Loads;
use super::choice::first_ranked;
use super::published::Revision;
use super::suspects::Suspects;
use super::sweep::Sweep;
use super::view::Member;
use super::view::View;

/// Time between two copies of a packet to all holders of one flow.
const ASK_AGAIN: Duration = Duration::from_millis(100);

/// Time an agent has to confirm a new flow before another is tried.
pub const CONFIRM_LIMIT: Duration = Duration::from_millis(70);

/// Flows looked at for their age with each packet.
const SWEEP_FLOWS: usize = 4;

/// Silence after which a finished flow is forgotten.
const FINISHED_KEPT: Duration = Duration::from_secs(3);

/// Silence after which a search is forgotten.
const SEARCH_KEPT: Duration = Duration::from_secs(10);

/// What to do with a packet or with the flow that a message is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send the packet to this agent.
    Carry {
        /// The agent.
        agent: Ipv4Addr,
        /// What it is asked.
        inquiry: Inquiry,
        /// Service that it is meant for.
        service: ServiceId,
    },
    /// Ask these agents for the owner, and keep the packet for it.
    Ask(Question),
    /// Reset the caller's flow.
    Reset(Reset),
    /// Do nothing.
    Drop(DropReason),
}

/// Whom to ask for the owner of a flow.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Question {
    /// Agents whose servers must be asked: each gets a copy of the packet.
    pub copies: Vec<Ipv4Addr>,
    /// Agents that know by themselves: the name of the flow is enough.
    pub named: Vec<Ipv4Addr>,
}

impl Question {
    /// Agents that are asked.
    pub fn agent_count(&self) -> usize {
        self.copies.len() + self.named.len()
    }
}

/// A reset to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reset {
    /// The flow.
    pub flow: FlowKey,
    /// Sequence number that the caller expects.
    pub seq: u32,
    /// Why.
    pub reason: ResetReason,
}

/// Why a caller was reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResetReason {
    /// The configuration has no such route.
    NoRoute,
    /// No member takes new flows now.
    NoMember,
    /// It waited at a full server for as long as it may.
    Overloaded,
    /// All holders have denied the flow.
    Unowned,
}

/// Why a packet was dropped without a word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// The holders have been asked; the caller sends again.
    Asked,
    /// All known holders denied, but the view may be incomplete.
    Unsettled,
    /// A caller's end of a flow that nobody has.
    AlreadyEnded,
    /// A copy that came back after the owner was found.
    OwnerFound,
    /// Such a packet never comes from a caller.
    Forged,
}

/// What an agent's word that its server has a flow has brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Learned {
    /// A new flow is open, so long after it was placed.
    Confirmed {
        /// Since it was placed.
        after: Duration,
    },
    /// The owner of a flow that was asked for.
    Found,
    /// Nothing new.
    Known,
}

/// A flow that came through here.
#[derive(Clone, Copy, Debug)]
struct Flow {
    agent: Ipv4Addr,
    service: ServiceId,
    /// Whether the agent has said that its server has the flow.
    confirmed: bool,
    sent_at: Millis,
    seen_at: Millis,
    finished: bool,
}

/// Looking for a member that takes a new flow.
#[derive(Clone, Debug, Default)]
struct Placing {
    /// Members that refused it, or did not confirm it in time. Such a member
    /// may have the flow all the same.
    refused: Vec<Ipv4Addr>,
    /// Members that refused because they are busy, and may be asked again.
    busy: Vec<Ipv4Addr>,
    seen_at: Millis,
}

/// Looking for the owner of an open flow.
#[derive(Clone, Debug)]
struct Search {
    /// Holders whose servers do not have it.
    denied: Vec<Ipv4Addr>,
    asked_at: Option<Millis>,
    seen_at: Millis,
    seq: u32,
}

/// State of a balancer; see the module's head.
#[derive(Debug, Default)]
pub struct Balancer {
    flows: IndexMap<FlowKey, Flow>,
    placings: IndexMap<FlowKey, Placing>,
    searches: IndexMap<FlowKey, Search>,
    suspects: Suspects,
    loads: Loads,
    swept_flows: Sweep,
    swept_placings: Sweep,
    swept_searches: Sweep,
    newest_heard: Revision,
}

impl Balancer {
    /// Knows no flow.
    pub fn new() -> Balancer {
        Balancer::default()
    }

    /// Flows remembered.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Newest position in the platform's history that an agent has told.
    pub fn newest_heard(&self) -> Revision {
        self.newest_heard
    }

    /// A packet of a caller.
    pub fn arrival(&mut self, view: &View, now: Millis, seg: &Segment) -> Step {
        self.sweep(view, now);
        if seg.syn && seg.has_ack {
            return Step::Drop(DropReason::Forged);
        }
        if view.route(seg.key.service).is_none() {
            self.flows.swap_remove(&seg.key);
            return reset_or_drop(seg, ResetReason::NoRoute);
        }
        if seg.opens {
            return self.opening(view, now, seg);
        }
        self.open_flow(view, now, seg)
    }

    /// A packet that an agent sent back.
    pub fn returned(
        &mut self,
        view: &View,
        now: Millis,
        from: Ipv4Addr,
        refusal: Refusal,
        frame: &Frame,
        seg: &Segment,
    ) -> Step {
        self.hear(now, from, frame);
        if refusal == Refusal::Silent {
            self.suspects.add(from, now);
        }
        if refusal == Refusal::Overloaded {
            self.flows.swap_remove(&seg.key);
            self.placings.swap_remove(&seg.key);
            return reset_or_drop(seg, ResetReason::Overloaded);
        }
        if seg.opens {
            let placing = self.placing(now, seg.key);
            if refusal == Refusal::Busy {
                placing.busy.push(from);
            } else {
                placing.refused.push(from);
            }
            return self.place(view, now, seg);
        }
        let flow = self.flows.get(&seg.key).copied();
        if let Some(flow) = flow.filter(|f| f.agent != from && f.confirmed) {
            return Step::Carry {
                agent: flow.agent,
                inquiry: Inquiry::None,
                service: flow.service,
            };
        }
        self.flows.swap_remove(&seg.key);
        if seg.rst {
            return Step::Drop(DropReason::AlreadyEnded);
        }
        self.note_denial(now, seg, from);
        self.ask(view, now, seg)
    }

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

    /// An agent's server has the flow.
    pub fn owned(&mut self, now: Millis, from: Ipv4Addr, frame: &Frame) -> Learned {
        self.hear(now, from, frame);
        self.placings.swap_remove(&frame.flow);
        let searched = self.searches.swap_remove(&frame.flow).is_some();
        let before = self.flows.insert(
            frame.flow,
            Flow {
                agent: from,
                service: frame.service,
                confirmed: true,
                sent_at: now,
                seen_at: now,
                finished: false,
            },
        );
        match before {
            _ if searched => Learned::Found,
            Some(flow) if !flow.confirmed && flow.agent == from => Learned::Confirmed {
                after: now.since(flow.sent_at),
            },
            _ => Learned::Known,
        }
    }

    /// A new flow was placed [`CONFIRM_LIMIT`] ago; gives what to do with its
    /// opening packet if no agent has confirmed it yet.
    pub fn overdue(&mut self, view: &View, now: Millis, seg: &Segment) -> Option<Step> {
        let flow = self.flows.get(&seg.key)?;
        let late = !flow.confirmed && now.since(flow.sent_at) >= CONFIRM_LIMIT;
        late.then(|| self.opening(view, now, seg))
    }

    /// A new flow waits at an agent, which will say what becomes of it.
    pub fn waits(&mut self, now: Millis, from: Ipv4Addr, frame: &Frame) {
        self.hear(now, from, frame);
        if let Some(flow) = self.flows.get_mut(&frame.flow)
            && flow.agent == from
        {
            flow.confirmed = true;
        }
    }

    /// An agent does not know whether its server has a flow.
    pub fn unsure(&mut self, now: Millis, from: Ipv4Addr, frame: &Frame) {
        self.hear(now, from, frame);
        if let Some(search) = self.searches.get_mut(&frame.flow) {
            // The caller's next packet is sent to its server at once.
            search.asked_at = None;
        }
    }

    /// An agent has given a sign of life.
    pub fn present(&mut self, now: Millis, from: Ipv4Addr, frame: &Frame) {
        self.hear(now, from, frame);
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

    fn opening(&mut self, view: &View, now: Millis, seg: &Segment) -> Step {
        if let Some(flow) = self.flows.get_mut(&seg.key) {
            let late = !flow.confirmed && now.since(flow.sent_at) >= CONFIRM_LIMIT;
            if !late {
                flow.seen_at = now;
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
    fn place(&mut self, view: &View, now: Millis, seg: &Segment) -> Step {
        let service = view
            .route(seg.key.service)
            .and_then(|r| r.service_of(&seg.key));
        let Some(service) = service else {
            return reset_or_drop(seg, ResetReason::NoRoute);
        };
        let (refused, busy) = match self.placings.get(&seg.key) {
            Some(placing) => (placing.refused.as_slice(), placing.busy.as_slice()),
            None => Default::default(),
        };
        let able =
            |m: &&Member| m.service == service && m.takes_new() && !refused.contains(&m.address);
        let able: Vec<&Member> = view.members().iter().filter(able).collect();
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
            return reset_or_drop(seg, ResetReason::NoMember);
        };
        self.loads.sent(chosen.agent);
        self.remember(now, seg, chosen.agent, service);
        Step::Carry {
            agent: chosen.agent,
            inquiry: chosen.inquiry,
            service,
        }
    }

    fn open_flow(&mut self, view: &View, now: Millis, seg: &Segment) -> Step {
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
    fn guess(&mut self, view: &View, now: Millis, seg: &Segment) -> Step {
        let route = view.route(seg.key.service);
        let Some(service) = route.and_then(|r| r.service_of(&seg.key)) else {
            return reset_or_drop(seg, ResetReason::NoRoute);
        };
        let members = view.members().iter().filter(|m| m.service == service);
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
    fn ask(&mut self, view: &View, now: Millis, seg: &Segment) -> Step {
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
        search.asked_at = Some(now);
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
    fn conclude(&mut self, view: &View, now: Millis, flow: FlowKey) -> Step {
        let Some(search) = self.searches.get(&flow) else {
            return Step::Drop(DropReason::OwnerFound);
        };
        // Listed members are never gone, so each must have denied it.
        if search.denied.len() < view.members().len() {
            return Step::Drop(DropReason::Asked);
        }
        let denied = |h: Ipv4Addr| search.denied.contains(&h) || view.is_gone(h, now);
        if !view.holders().all(denied) {
            return Step::Drop(DropReason::Asked);
        }
        // A holder that this view does not have yet may own the flow.
        if !view.is_settled(now) || self.newest_heard > view.cursor {
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

    /// What every message of an agent tells.
    fn hear(&mut self, now: Millis, from: Ipv4Addr, frame: &Frame) {
        self.suspects.clear(from);
        self.loads.told(from, frame, now);
        self.newest_heard = self.newest_heard.max(Revision(frame.revision));
    }

    fn placing(&mut self, now: Millis, flow: FlowKey) -> &mut Placing {
        let placing = self.placings.entry(flow).or_default();
        placing.seen_at = now;
        placing
    }

    fn note_denial(&mut self, now: Millis, seg: &Segment, agent: Ipv4Addr) {
        let search = self.searches.entry(seg.key);
        let search = search.or_insert_with(|| Search::new(now, seg));
        search.seen_at = now;
        search.seq = seg.ack;
        if !search.denied.contains(&agent) {
            search.denied.push(agent);
        }
    }

    fn remember(&mut self, now: Millis, seg: &Segment, agent: Ipv4Addr, service: ServiceId) {
        self.flows.insert(
            seg.key,
            Flow {
                agent,
                service,
                confirmed: false,
                sent_at: now,
                seen_at: now,
                finished: seg.fin || seg.rst,
            },
        );
    }

    /// Forgets a few old flows and searches.
    fn sweep(&mut self, view: &View, now: Millis) {
        self.swept_flows
            .forget(&mut self.flows, SWEEP_FLOWS, |_, flow| {
                let kept = if flow.finished {
                    FINISHED_KEPT
                } else {
                    view.idle_limit
                };
                now.since(flow.seen_at) > kept
            });
        self.swept_searches
            .forget(&mut self.searches, SWEEP_FLOWS, |_, search| {
                now.since(search.seen_at) > SEARCH_KEPT
            });
        self.swept_placings
            .forget(&mut self.placings, SWEEP_FLOWS, |_, placing| {
                now.since(placing.seen_at) > SEARCH_KEPT
            });
    }
}

impl Search {
    fn new(now: Millis, seg: &Segment) -> Search {
        Search {
            denied: Vec::new(),
            asked_at: None,
            seen_at: now,
            seq: seg.ack,
        }
    }
}

fn reset_or_drop(seg: &Segment, reason: ResetReason) -> Step {
    // A reset is never answered by a reset.
    if seg.rst {
        return Step::Drop(DropReason::AlreadyEnded);
    }
    Step::Reset(Reset {
        flow: seg.key,
        seq: seg.ack,
        reason,
    })
}

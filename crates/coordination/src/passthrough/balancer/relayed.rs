//! Owner queries that go through a relay, and the evaluation of relayed answers.
//!
//! On a narrow link, a query by key to many holders is sent to one agent, the
//! relay, which asks the others and returns their answers. A relayed answer counts
//! as the answer of the agent that gave it, but does not show that this balancer
//! reaches that agent, nor how busy its server is. It counts only for a search
//! that was running when the query was sent: an answer to an earlier search may
//! be older than the flow.

use std::net::Ipv4Addr;

use ramp_protocol::frame::Frame;
use ramp_protocol::frame::Knowledge;
use ramp_protocol::frame::ListTag;
use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

use super::Balancer;
use super::action::Action;
use super::action::OwnerQuery;
use super::action::OwnershipUpdate;
use super::action::RelayRequest;
use super::search::Candidate;
use crate::passthrough::view::View;
use crate::passthrough::view::relay_rank;

/// Largest number of holders that are asked by key without a relay.
const MAX_HOLDERS_WITHOUT_RELAY: usize = 8;

/// Number of queries of one search that may go through a relay.
const MAX_RELAYED_QUERIES: u32 = 2;

/// Identity of a balancer in its queries to relays.
#[derive(Clone, Copy, Debug)]
pub(super) struct RelayClient {
    address: Ipv4Addr,
    /// Number of the relay queries that are sent next.
    next_number: u32,
}

/// What a search has asked through relays.
#[derive(Clone, Debug, Default)]
pub(super) struct RelayedQueries {
    /// Agents that were asked to relay a query.
    relays: Vec<Ipv4Addr>,
    /// Number of the first query.
    first_number: u32,
    /// Number of holders that the last query asked through a relay; zero if it was
    /// direct.
    holder_count: usize,
    /// Number of answers of relays since the last query.
    answer_count: usize,
    /// Agents that got the packet itself with the last relayed query.
    packet_copies: Vec<Ipv4Addr>,
}

/// An agent that may relay the next query of a search.
#[derive(Clone, Copy, Debug)]
pub(super) struct Relay {
    address: Ipv4Addr,
    number: u32,
}

/// An answer that came through a relay.
#[derive(Clone, Copy, Debug)]
pub struct RelayedAnswer<'a> {
    /// Agent that relayed it.
    pub relay: Ipv4Addr,
    /// Agent that gave it.
    pub agent: Ipv4Addr,
    /// Flow that it is about.
    pub flow: FlowKey,
    /// What the agent knows of the flow.
    pub knowledge: Knowledge,
    /// Header of the relay's reply.
    pub frame: &'a Frame,
}

/// What follows from a relayed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayedOutcome {
    /// The agent's server has the flow.
    Owned(OwnershipUpdate),
    /// The denial was recorded, with this result.
    Denied(Action),
    /// Only the agent's server can tell, so it gets a copy of the packet.
    NeedsPacket,
    /// Nothing.
    Ignored,
}

impl RelayClient {
    pub(super) fn new(address: Ipv4Addr, first_number: u32) -> RelayClient {
        RelayClient {
            address,
            next_number: first_number,
        }
    }
}

impl RelayedQueries {
    /// Whether a relay was asked last and has returned the answers of less than half
    /// of the holders. It is silent then, or can't reach the others.
    pub(super) fn is_unanswered(&self) -> bool {
        self.answer_count * 2 < self.holder_count
    }

    /// Records that the last query went directly to the holders.
    pub(super) fn record_direct_query(&mut self) {
        self.holder_count = 0;
    }

    /// Replaces the query by key with one through `relay`, if it would go to many
    /// holders.
    pub(super) fn relay_query(
        &mut self,
        query: &mut OwnerQuery,
        relay: Option<Relay>,
        holders: &[Candidate],
    ) {
        let many = query.by_key.len() > MAX_HOLDERS_WITHOUT_RELAY;
        let Some(relay) = relay.filter(|_| many) else {
            return;
        };
        let by_key = std::mem::take(&mut query.by_key);
        let unlisted = |agent: &Ipv4Addr| holders.iter().any(|c| c.agent == *agent && !c.listed);
        if self.relays.is_empty() {
            self.first_number = relay.number;
        }
        self.relays.push(relay.address);
        self.holder_count = by_key.len();
        self.answer_count = 0;
        self.packet_copies.clone_from(&query.packet_copies);
        query.relay = Some(RelayRequest {
            relay: relay.address,
            holder_count: by_key.len(),
            named: by_key.into_iter().filter(unlisted).collect(),
        });
    }

    /// Whether a reply of `relay` belongs to a query of this search. `next_number` is
    /// the number of the query that is sent next.
    fn includes(&self, relay: Ipv4Addr, number: u32, next_number: u32) -> bool {
        let sent = next_number.wrapping_sub(self.first_number);
        self.relays.contains(&relay) && number.wrapping_sub(self.first_number) < sent
    }
}

impl Balancer {
    /// The same balancer with its own address and the number of its first query to a
    /// relay. The number should differ from those of an earlier process.
    pub fn with_relay_client(self, address: Ipv4Addr, first_number: u32) -> Balancer {
        Balancer {
            relay_client: Some(RelayClient::new(address, first_number)),
            ..self
        }
    }

    /// Tag for the relay queries that are sent now. To be called once for all queries
    /// that were chosen since the last call.
    pub fn next_relay_tag(&mut self) -> Option<ListTag> {
        let client = self.relay_client.as_mut()?;
        let number = client.next_number;
        client.next_number = number.wrapping_add(1);
        Some(ListTag {
            number,
            balancer: client.address,
            shortest_uptime: std::time::Duration::ZERO,
        })
    }

    /// Agent that may relay the next query for a flow: the first in this balancer's
    /// order that is listed, is not suspected and has not relayed a query of this
    /// search.
    pub(super) fn relay_for(&self, view: &View, now: Millis, flow: &FlowKey) -> Option<Relay> {
        self.narrow_link.as_ref()?;
        let client = self.relay_client?;
        let search = self.searches.get(flow)?;
        if search.query_count() >= MAX_RELAYED_QUERIES {
            return None;
        }
        let asked = &search.relayed.relays;
        let members = view.members().iter().map(|m| m.address);
        let usable = members.filter(|agent| {
            !self.suspects.contains(*agent, now)
                && !self.loads.is_gone(*agent)
                && !asked.contains(agent)
        });
        let address = usable.max_by_key(|agent| relay_rank(client.address, *agent))?;
        Some(Relay {
            address,
            number: client.next_number,
        })
    }

    /// Handles the header of a relay's reply, and what the reply shows of the `agents`
    /// that it names. To be called before [`Balancer::on_relayed_answer`].
    pub fn on_relay_reply(
        &mut self,
        now: Millis,
        relay: Ipv4Addr,
        frame: &Frame,
        knowledge: Knowledge,
        agents: &[Ipv4Addr],
    ) {
        self.record_agent_frame(now, relay, frame);
        // An agent denies a flow itself only if it knows all flows of its server.
        let knows_all_flows = match knowledge {
            Knowledge::HasNot => Some(true),
            Knowledge::Unseen => Some(false),
            Knowledge::Has | Knowledge::Unsure => None,
        };
        for agent in agents.iter().filter(|agent| **agent != relay) {
            self.unanswered.clear(*agent);
            self.loads
                .update_relayed(*agent, frame.misses_servers, knows_all_flows, now);
        }
    }

    /// Handles what an agent knows of one flow, as a relay reports it.
    pub fn on_relayed_answer(
        &mut self,
        view: &View,
        now: Millis,
        answer: RelayedAnswer,
    ) -> RelayedOutcome {
        let tag = ListTag::of(&answer.frame.flow);
        let next_number = self.relay_client.map(|client| client.next_number);
        let search = self.searches.get_mut(&answer.flow);
        let search = search.filter(|search| {
            next_number.is_some_and(|next| search.relayed.includes(answer.relay, tag.number, next))
        });
        let asked = search.is_some();
        if let Some(search) = search {
            search.relayed.answer_count += 1;
        }
        let agent = answer.agent;
        let frame = Frame {
            flow: answer.flow,
            uptime: tag.shortest_uptime,
            ..*answer.frame
        };
        match answer.knowledge {
            Knowledge::Has => RelayedOutcome::Owned(self.apply_owned(now, agent, &frame)),
            Knowledge::HasNot if asked => {
                RelayedOutcome::Denied(self.apply_denial(view, now, agent, answer.flow))
            }
            Knowledge::Unseen if asked && self.implies_denial(&frame) => {
                RelayedOutcome::Denied(self.apply_denial(view, now, agent, answer.flow))
            }
            Knowledge::Unsure if asked => self.apply_relayed_unsure(agent, &answer.flow),
            _ => RelayedOutcome::Ignored,
        }
    }

    /// Records that only the agent's server can tell. An agent that got the packet
    /// with the query needs no second copy.
    fn apply_relayed_unsure(&mut self, agent: Ipv4Addr, flow: &FlowKey) -> RelayedOutcome {
        match self.searches.get_mut(flow) {
            Some(search) if !search.relayed.packet_copies.contains(&agent) => {
                search.record_unsure(agent);
                RelayedOutcome::NeedsPacket
            }
            _ => RelayedOutcome::Ignored,
        }
    }
}

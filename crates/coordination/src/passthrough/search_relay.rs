//! Relay of owner queries at an agent: asks all other agents on behalf of a
//! balancer whose link is narrow, and returns their answers together.
//!
//! [`SearchRelay`] has no I/O. It keeps each query until all agents have answered
//! or [`QUERY_LIFETIME`] is over. Answers are returned once all have arrived,
//! otherwise every [`REPLY_INTERVAL`]. Agents that gave the same answers are kept
//! together, and flows with the same answers share one reply. The relay makes no
//! decision about a flow.

use std::net::Ipv4Addr;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use ramp_protocol::frame::FlowEntry;
use ramp_protocol::frame::Frame;
use ramp_protocol::frame::Knowledge;
use ramp_protocol::frame::ListTag;
use ramp_state::key::FlowKey;
use ramp_state::key::ServiceId;
use ramp_state::time::Millis;

use super::balancer::OPENING_RETRY_TIME;

/// Time between two replies to a query that not all agents have answered.
pub const REPLY_INTERVAL: Duration = Duration::from_millis(40);

/// Time after which a query is discarded.
pub const QUERY_LIFETIME: Duration = Duration::from_millis(200);

/// Maximum number of flows in all queries that are kept.
pub const MAX_FLOWS: usize = 4096;

/// Maximum number of agents in one reply. With a full list of flows the datagram
/// then has 1,390 bytes, so that it is not fragmented.
const MAX_AGENTS_PER_REPLY: usize = 128;

/// Answers of one agent to a list of flows.
#[derive(Clone, Copy, Debug)]
pub struct PeerAnswer<'a> {
    /// Address of the agent.
    pub agent: Ipv4Addr,
    /// Header of its reply.
    pub frame: &'a Frame,
    /// What it knows of each flow.
    pub entries: &'a [FlowEntry],
}

/// Query to be sent to other agents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerQuery {
    /// Tag that the agents repeat in their replies.
    pub tag: ListTag,
    /// Agents to ask.
    pub agents: Vec<Ipv4Addr>,
}

/// Reply to a balancer: each of the agents has given this answer for each of the
/// flows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayReply {
    /// Tag with the number of the balancer's query.
    pub tag: ListTag,
    /// The answer.
    pub knowledge: Knowledge,
    /// Service of the agents' servers if they have the flows.
    pub service: Option<ServiceId>,
    /// Values for the header.
    pub summary: AnswerSummary,
    /// Agents that gave the answer.
    pub agents: Vec<Ipv4Addr>,
    /// Flows that the answer is about.
    pub flows: Vec<FlowEntry>,
}

/// Highest values in the headers of all answers to a query.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerSummary {
    /// Newest revision.
    pub revision: u64,
    /// Whether any agent reports that its listing may lack running servers.
    pub misses_servers: bool,
    /// Longest time since an agent started.
    pub uptime: Duration,
}

/// A query that is no longer kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedQuery {
    /// Balancer that sent it.
    pub balancer: Ipv4Addr,
    /// Number of flows.
    pub flow_count: usize,
    /// Number of agents asked.
    pub asked_count: usize,
    /// Number of agents that have not answered.
    pub unanswered_count: usize,
}

/// What is due at a moment: replies to send, and queries that have ended.
#[derive(Clone, Debug, Default)]
pub struct DueReplies {
    /// Replies to send.
    pub replies: Vec<RelayReply>,
    /// Queries that have ended.
    pub finished: Vec<FinishedQuery>,
}

/// Queries that an agent relays.
#[derive(Clone, Debug)]
pub struct SearchRelay {
    pending: IndexMap<u32, PendingQuery>,
    next_number: u32,
    flow_count: usize,
}

#[derive(Clone, Debug)]
struct PendingQuery {
    tag: ListTag,
    flows: Vec<FlowKey>,
    /// Whether an agent has answered that its server has the flow, for each flow.
    owned: Vec<bool>,
    received_at: Millis,
    next_reply_at: Millis,
    asked_count: usize,
    /// Agents that have not answered.
    awaited: IndexSet<Ipv4Addr>,
    /// Answers that have not been returned, and the agents that gave them.
    answers: IndexMap<Answers, AnsweringAgents>,
    summary: AnswerSummary,
}

#[derive(Clone, Debug)]
struct AnsweringAgents {
    addresses: Vec<Ipv4Addr>,
    shortest_uptime: Duration,
}

/// What an agent knows of each flow of a query; none where it gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Answers {
    service: ServiceId,
    /// Whether the agent started less than [`OPENING_RETRY_TIME`] ago, so that
    /// [`Knowledge::Unseen`] does not imply a denial.
    young: bool,
    knowledge: Vec<Option<Knowledge>>,
}

/// What the flows in one reply have in common.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct GroupKey {
    knowledge: Knowledge,
    service: Option<ServiceId>,
    young: bool,
    /// Indexes of the answers that contain it.
    answers: Vec<usize>,
}

impl SearchRelay {
    /// A relay without queries. `first_number` should differ from the numbers that
    /// an earlier process at this address used lately.
    pub fn new(first_number: u32) -> SearchRelay {
        SearchRelay {
            pending: IndexMap::new(),
            next_number: first_number,
            flow_count: 0,
        }
    }

    /// Takes a query of a balancer, with this agent's own answer to it. Returns the
    /// query for the `agents`; none if the flows would exceed [`MAX_FLOWS`].
    pub fn on_query(
        &mut self,
        now: Millis,
        tag: ListTag,
        agents: impl IntoIterator<Item = Ipv4Addr>,
        own: PeerAnswer,
    ) -> Option<PeerQuery> {
        if self.flow_count + own.entries.len() > MAX_FLOWS {
            return None;
        }
        let agents = agents.into_iter().filter(|agent| *agent != own.agent);
        let awaited: IndexSet<Ipv4Addr> = agents.collect();
        let mut query = PendingQuery {
            tag,
            flows: own.entries.iter().map(|entry| entry.flow).collect(),
            owned: vec![false; own.entries.len()],
            received_at: now,
            next_reply_at: now + REPLY_INTERVAL,
            asked_count: awaited.len(),
            awaited,
            answers: IndexMap::new(),
            summary: AnswerSummary::default(),
        };
        query.record(own);
        self.flow_count += query.flows.len();
        let number = self.next_number;
        self.next_number = number.wrapping_add(1);
        let agents = query.awaited.iter().copied().collect();
        self.pending.insert(number, query);
        Some(PeerQuery {
            tag: ListTag { number, ..tag },
            agents,
        })
    }

    /// Takes an agent's reply to a query with this tag. A reply of an agent that was
    /// not asked, or has answered, is ignored.
    pub fn on_peer_reply(&mut self, tag: ListTag, answer: PeerAnswer) {
        let Some(query) = self.pending.get_mut(&tag.number) else {
            return;
        };
        if query.awaited.swap_remove(&answer.agent) {
            query.record(answer);
        }
    }

    /// Replies that are due, and queries that have ended.
    pub fn take_due(&mut self, now: Millis) -> DueReplies {
        let mut due = DueReplies::default();
        let flow_count = &mut self.flow_count;
        self.pending.retain(|_, query| {
            if query.time_to_reply(now).is_zero() {
                due.replies.extend(query.take_replies());
                query.next_reply_at = now + REPLY_INTERVAL;
            }
            let kept = !query.has_ended(now);
            if !kept {
                *flow_count -= query.flows.len();
                due.finished.push(query.finished());
            }
            kept
        });
        due
    }

    /// Time until replies are due; none if no query is kept.
    pub fn time_to_next(&self, now: Millis) -> Option<Duration> {
        let queries = self.pending.values();
        queries.map(|query| query.time_to_reply(now)).min()
    }
}

impl PendingQuery {
    fn record(&mut self, answer: PeerAnswer) {
        let frame = answer.frame;
        self.summary.revision = self.summary.revision.max(frame.revision);
        self.summary.misses_servers |= frame.misses_servers;
        self.summary.uptime = self.summary.uptime.max(frame.uptime);
        let mut knowledge = vec![None; self.flows.len()];
        for (index, entry) in answer.entries.iter().enumerate() {
            let Some(index) = self.index_of(index, &entry.flow) else {
                continue;
            };
            knowledge[index] = Some(entry.knowledge);
            self.owned[index] |= entry.knowledge == Knowledge::Has;
        }
        let answers = Answers {
            service: frame.service,
            young: frame.uptime < OPENING_RETRY_TIME,
            knowledge,
        };
        let agents = self.answers.entry(answers).or_insert(AnsweringAgents {
            addresses: Vec::new(),
            shortest_uptime: frame.uptime,
        });
        agents.addresses.push(answer.agent);
        agents.shortest_uptime = agents.shortest_uptime.min(frame.uptime);
    }

    /// Index of a flow, which is most likely `guess`: agents keep the order of the
    /// list.
    fn index_of(&self, guess: usize, flow: &FlowKey) -> Option<usize> {
        if self.flows.get(guess) == Some(flow) {
            return Some(guess);
        }
        self.flows.iter().position(|f| f == flow)
    }

    fn has_ended(&self, now: Millis) -> bool {
        self.awaited.is_empty() || now.since(self.received_at) >= QUERY_LIFETIME
    }

    fn time_to_reply(&self, now: Millis) -> Duration {
        if self.has_ended(now) {
            return Duration::ZERO;
        }
        let at = self.next_reply_at.min(self.received_at + QUERY_LIFETIME);
        at.since(now)
    }

    fn finished(&self) -> FinishedQuery {
        FinishedQuery {
            balancer: self.tag.balancer,
            flow_count: self.flows.len(),
            asked_count: self.asked_count,
            unanswered_count: self.awaited.len(),
        }
    }

    /// Removes the answers that have arrived since the last call, as replies. Denials
    /// of a flow that an agent has are left out: the balancer's search ends with the
    /// owner's answer.
    fn take_replies(&mut self) -> Vec<RelayReply> {
        let answers = std::mem::take(&mut self.answers);
        let mut groups: IndexMap<GroupKey, Vec<FlowEntry>> = IndexMap::new();
        for (index, flow) in self.flows.iter().enumerate() {
            for key in group_keys(&answers, index) {
                if key.knowledge == Knowledge::HasNot && self.owned[index] {
                    continue;
                }
                let entry = FlowEntry {
                    flow: *flow,
                    knowledge: key.knowledge,
                };
                groups.entry(key).or_default().push(entry);
            }
        }
        let groups = groups.iter();
        groups
            .flat_map(|(key, flows)| self.replies(&answers, key, flows))
            .collect()
    }

    fn replies(
        &self,
        answers: &IndexMap<Answers, AnsweringAgents>,
        key: &GroupKey,
        flows: &[FlowEntry],
    ) -> Vec<RelayReply> {
        let groups = key.answers.iter().map(|index| &answers[*index]);
        let shortest_uptime = groups.clone().map(|agents| agents.shortest_uptime).min();
        let tag = ListTag {
            shortest_uptime: shortest_uptime.unwrap_or_default(),
            ..self.tag
        };
        let agents: Vec<Ipv4Addr> = groups.flat_map(|a| a.addresses.iter().copied()).collect();
        let parts = agents.chunks(MAX_AGENTS_PER_REPLY);
        parts
            .map(|part| RelayReply {
                tag,
                knowledge: key.knowledge,
                service: key.service,
                summary: self.summary,
                agents: part.to_vec(),
                flows: flows.to_vec(),
            })
            .collect()
    }
}

/// The different answers for the flow with this index.
fn group_keys(
    answers: &IndexMap<Answers, AnsweringAgents>,
    flow_index: usize,
) -> impl Iterator<Item = GroupKey> {
    let mut indexes: IndexMap<(Knowledge, Option<ServiceId>, bool), Vec<usize>> = IndexMap::new();
    for (index, given) in answers.keys().enumerate() {
        let Some(knowledge) = given.knowledge[flow_index] else {
            continue;
        };
        let service = (knowledge == Knowledge::Has).then_some(given.service);
        let young = knowledge == Knowledge::Unseen && given.young;
        let key = (knowledge, service, young);
        indexes.entry(key).or_default().push(index);
    }
    let keys = indexes.into_iter();
    keys.map(|((knowledge, service, young), answers)| GroupKey {
        knowledge,
        service,
        young,
        answers,
    })
}

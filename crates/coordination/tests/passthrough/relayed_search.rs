//! Searches of a balancer with a narrow link, whose queries go through a relay.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use ramp_coordination::passthrough::balancer::Action;
use ramp_coordination::passthrough::balancer::Balancer;
use ramp_coordination::passthrough::balancer::DropReason;
use ramp_coordination::passthrough::balancer::OwnerQuery;
use ramp_coordination::passthrough::balancer::RelayedAnswer;
use ramp_coordination::passthrough::balancer::RelayedOutcome;
use ramp_coordination::passthrough::balancer::ResetReason;
use ramp_coordination::passthrough::catalog::Catalog;
use ramp_coordination::passthrough::link_rate::LinkRate;
use ramp_coordination::passthrough::published::Listing;
use ramp_coordination::passthrough::published::Record;
use ramp_coordination::passthrough::published::Revision;
use ramp_coordination::passthrough::published::Server;
use ramp_coordination::passthrough::view::View;
use ramp_protocol::frame::Frame;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::Knowledge;
use ramp_protocol::frame::ListTag;
use ramp_protocol::frame::NO_FLOW;
use ramp_protocol::frame::Refusal;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::key::ServerId;
use ramp_state::time::Millis;

use crate::fixture::*;

/// Time since the agents started: with the balancer, so that no record is missed.
const UPTIME: Duration = Duration::from_secs(2);

pub fn member(n: u32) -> Ipv4Addr {
    Ipv4Addr::from(0x0a02_0000 + n)
}

pub fn fleet_view(members: u32) -> View {
    let mut records = vec![Record::Configuration(configuration(1))];
    records.extend((1..=members).map(|n| {
        let address = SocketAddrV4::new(member(n), 8080);
        let server = Server {
            address,
            ..server(1, FEEDS)
        };
        Record::Server(ServerId(u64::from(n)), server)
    }));
    let mut catalog = Catalog::new();
    let listing = Listing {
        cursor: Revision(100),
        newest: Revision(100),
        records,
    };
    catalog.replace(Millis(0), listing);
    catalog.view(Millis(0)).unwrap()
}

/// A balancer to which all members have reported that they know their flows.
pub fn balancer(members: u32, link_mbps: f64) -> Balancer {
    let mut balancer = Balancer::new()
        .with_link_rate(LinkRate::from_megabits(link_mbps))
        .with_relay_client(balancer_ip(1), u32::MAX);
    let heartbeat = agent_frame(FrameKind::Heartbeat, NO_FLOW);
    for n in 1..=members {
        balancer.on_heartbeat(Millis(0), member(n), &heartbeat);
    }
    balancer
}

pub fn agent_frame(kind: FrameKind, key: FlowKey) -> Frame {
    Frame {
        knows_all_flows: true,
        uptime: UPTIME,
        ..frame(kind, key)
    }
}

fn query_of(action: Action) -> OwnerQuery {
    match action {
        Action::QueryOwner(query) => query,
        _ => panic!("nobody was asked: {action:?}"),
    }
}

/// Query after the member that ranks first has bounced a packet of the flow.
fn search(balancer: &mut Balancer, view: &View, now: u64, seg: &Segment) -> OwnerQuery {
    let action = balancer.on_packet(view, Millis(now), seg);
    let Action::Forward { agent, .. } = action else {
        panic!("not forwarded: {action:?}")
    };
    let refusal = Refusal::Bounced;
    let frame = agent_frame(FrameKind::Returned(refusal), seg.key);
    query_of(balancer.on_returned(view, Millis(now), agent, refusal, &frame, seg))
}

/// View of 20 members, and a balancer that searches for a flow through the relay.
fn relayed_search(seg: &Segment) -> (View, Balancer, Ipv4Addr) {
    let (view, mut balancer) = (fleet_view(20), balancer(20, 10.0));
    let relay = relay_of(&search(&mut balancer, &view, 1, seg));
    (view, balancer, relay)
}

fn relay_of(query: &OwnerQuery) -> Ipv4Addr {
    assert!(query.by_key.is_empty(), "no agent is asked directly");
    query.relay.as_ref().expect("a relay is asked").relay
}

/// Header of a relay's reply to the query with this tag.
fn reply_frame(tag: ListTag, knowledge: Knowledge) -> Frame {
    let tag = ListTag {
        shortest_uptime: UPTIME,
        ..tag
    };
    agent_frame(FrameKind::RelayReply(knowledge), tag.to_flow())
}

/// Outcomes of a relay's reply that gives the same answer for each agent.
pub fn relayed(
    balancer: &mut Balancer,
    view: &View,
    now: u64,
    (relay, frame): (Ipv4Addr, Frame),
    agents: &[Ipv4Addr],
    flow: FlowKey,
) -> Vec<RelayedOutcome> {
    let FrameKind::RelayReply(knowledge) = frame.kind else {
        panic!("not of a relay: {:?}", frame.kind)
    };
    balancer.on_relay_reply(Millis(now), relay, &frame, knowledge, agents);
    let answers = agents.iter().map(|agent| RelayedAnswer {
        relay,
        agent: *agent,
        flow,
        knowledge,
        frame: &frame,
    });
    answers
        .map(|answer| balancer.on_relayed_answer(view, Millis(now), answer))
        .collect()
}

fn reset(outcomes: &[RelayedOutcome]) -> Option<ResetReason> {
    outcomes.iter().find_map(|outcome| match outcome {
        RelayedOutcome::Denied(Action::Reset(reset)) => Some(reset.reason),
        _ => None,
    })
}

// Guards against changes for wide links and small services, which need no relay.
#[test]
fn only_many_holders_behind_a_narrow_link_are_asked_through_a_relay() {
    let seg = segment(flow(7));
    for (members, link_mbps, through_relay) in
        [(10, 10.0, true), (9, 10.0, false), (60, 100.0, false)]
    {
        let view = fleet_view(members);
        let query = search(&mut balancer(members, link_mbps), &view, 1, &seg);
        assert_eq!(query.relay.is_some(), through_relay, "{members} members");
        assert_eq!(query.agent_count(), members as usize - 1);
    }
}

// Guards against a search that ends with a relay which is dead or of an older build, or
// which reaches no other agent.
#[test]
fn silent_relays_cost_one_interval_each_and_no_packet_of_the_caller() {
    for answers_itself in [false, true] {
        let seg = segment(flow(7));
        let (view, mut balancer, first) = relayed_search(&seg);
        let frame = reply_frame(balancer.next_relay_tag().unwrap(), Knowledge::HasNot);
        if answers_itself {
            let from = (first, frame);
            relayed(&mut balancer, &view, 41, from, &[first], seg.key);
        }
        let mut repeat = |now| balancer.on_reply_timeout(&view, Millis(now), &seg);
        let second = relay_of(&query_of(repeat(101).unwrap()));
        assert_ne!(first, second);
        let direct = query_of(repeat(301).unwrap());
        assert_eq!(direct.by_key.len(), 19 - usize::from(answers_itself));
        assert!(direct.packet_copies.is_empty());
        // Agents that do not reply to a direct query either get the packet.
        let action = balancer.on_packet(&view, Millis(401), &seg);
        assert_eq!(query_of(action).packet_copies.len(), 8);
    }
}

// Guards against a reset because the relay's view lacks the flow's owner.
#[test]
fn holders_without_an_answer_are_asked_directly() {
    let seg = segment(flow(7));
    let (view, mut balancer, relay) = relayed_search(&seg);
    let frame = reply_frame(balancer.next_relay_tag().unwrap(), Knowledge::HasNot);
    let agents: Vec<_> = (1..=18).map(member).collect();
    let outcomes = relayed(&mut balancer, &view, 50, (relay, frame), &agents, seg.key);
    assert_eq!(reset(&outcomes), None);
    let query = query_of(balancer.on_reply_timeout(&view, Millis(101), &seg).unwrap());
    assert!(!query.by_key.is_empty() && query.relay.is_none());
    for agent in query.by_key {
        let frame = agent_frame(FrameKind::Denied, seg.key);
        let action = balancer.on_denied(&view, Millis(110), agent, &frame);
        // The last denial completes the proof.
        assert_eq!(matches!(action, Action::Reset(_)), agent == member(20));
    }
}

// Guards against a reset of an open flow by denials that a relay collected before the
// flow was opened.
#[test]
fn answers_to_an_earlier_search_do_not_count() {
    let seg = segment(flow(7));
    let (view, mut balancer, relay) = relayed_search(&seg);
    let old = balancer.next_relay_tag().unwrap();
    // The owner is found elsewhere, and loses touch: a new search starts.
    let owned = agent_frame(FrameKind::Owned, seg.key);
    balancer.on_owned(Millis(5), member(3), &owned);
    let bounced = agent_frame(FrameKind::Returned(Refusal::Bounced), seg.key);
    let action = balancer.on_returned(
        &view,
        Millis(9),
        member(3),
        Refusal::Bounced,
        &bounced,
        &seg,
    );
    assert_eq!(relay_of(&query_of(action)), relay);
    let all: Vec<_> = (1..=20).map(member).collect();
    let mut reply = |tag| {
        let frame = reply_frame(tag, Knowledge::HasNot);
        relayed(&mut balancer, &view, 40, (relay, frame), &all, seg.key)
    };
    assert!(reply(old).iter().all(|o| *o == RelayedOutcome::Ignored));
    let unsent = ListTag {
        number: old.number.wrapping_add(1),
        ..old
    };
    assert_eq!(reset(&reply(unsent)), None, "not sent yet");
    let tag = balancer.next_relay_tag().unwrap();
    let frame = reply_frame(tag, Knowledge::HasNot);
    let outcomes = relayed(&mut balancer, &view, 41, (relay, frame), &all, seg.key);
    assert_eq!(reset(&outcomes), Some(ResetReason::Unowned));
}

// Guards against a reset by a view that is older than an agent's behind the relay.
#[test]
fn a_newer_revision_behind_the_relay_prevents_a_reset() {
    let seg = segment(flow(7));
    let (view, mut balancer, relay) = relayed_search(&seg);
    let frame = Frame {
        revision: 101,
        ..reply_frame(balancer.next_relay_tag().unwrap(), Knowledge::HasNot)
    };
    let all: Vec<_> = (1..=20).map(member).collect();
    let outcomes = relayed(&mut balancer, &view, 50, (relay, frame), &all, seg.key);
    let unsettled = RelayedOutcome::Denied(Action::Drop(DropReason::Unsettled));
    assert!(outcomes.contains(&unsettled) && reset(&outcomes).is_none());
}

// Guards against a refusal of a new flow by agents that started after its opening:
// only an agent that has been running for longer denies a flow that it has not seen.
#[test]
fn an_unseen_opening_is_denied_only_by_agents_that_run_for_long() {
    let view = fleet_view(20);
    for (uptime_ms, refused) in [(1900, false), (2000, true)] {
        let mut balancer = balancer(20, 10.0);
        let seg = opening(flow(7), 200);
        let action = balancer.on_packet(&view, Millis(0), &seg);
        let Action::Forward { agent, .. } = action else {
            panic!("not placed: {action:?}")
        };
        let refusal = Refusal::Overloaded;
        let frame = agent_frame(FrameKind::Returned(refusal), seg.key);
        let action = balancer.on_returned(&view, Millis(1), agent, refusal, &frame, &seg);
        let relay = relay_of(&query_of(action));
        let tag = balancer.next_relay_tag().unwrap();
        let young = ListTag {
            shortest_uptime: Duration::from_millis(uptime_ms),
            ..tag
        };
        let kind = FrameKind::RelayReply(Knowledge::Unseen);
        let frame = agent_frame(kind, young.to_flow());
        let all: Vec<_> = (1..=20).map(member).collect();
        let outcomes = relayed(&mut balancer, &view, 20, (relay, frame), &all, seg.key);
        assert_eq!(reset(&outcomes).is_some(), refused, "{uptime_ms} ms");
    }
}

// Guards against a server that counts as gone though nobody has asked its agent: both
// relays were silent.
#[test]
fn an_unlisted_holder_is_gone_only_after_direct_queries() {
    let view = fleet_view(20);
    let mut balancer = balancer(20, 10.0);
    let seg = segment(flow(7));
    let (unlisted, late) = (member(99), 5000);
    let heartbeat = agent_frame(FrameKind::Heartbeat, NO_FLOW);
    balancer.on_heartbeat(Millis(1), unlisted, &heartbeat);
    let first = search(&mut balancer, &view, late, &seg);
    assert_eq!(first.relay.unwrap().named, [unlisted]);
    let second = query_of(balancer.on_packet(&view, Millis(late + 100), &seg));
    assert_eq!(second.relay.unwrap().named, [unlisted]);
    for n in 1..=20 {
        let frame = agent_frame(FrameKind::Denied, seg.key);
        balancer.on_denied(&view, Millis(late + 150), member(n), &frame);
    }
    let mut at = |after| balancer.on_packet(&view, Millis(late + after), &seg);
    for after in [300, 400] {
        assert_eq!(query_of(at(after)).agent_count(), 1, "{after} ms");
    }
    assert!(matches!(at(500), Action::Reset(_)));
}

// Guards against searches that wait for seconds for an agent that has ended: an answer
// that it gave before arrives after its last message.
#[test]
fn a_relayed_answer_does_not_bring_an_agent_back_that_has_just_ended() {
    let seg = segment(flow(7));
    let (view, mut balancer, relay) = relayed_search(&seg);
    let ended = member(99);
    balancer.on_agent_gone(
        Millis(20),
        ended,
        &agent_frame(FrameKind::Shutdown, NO_FLOW),
    );
    let frame = reply_frame(balancer.next_relay_tag().unwrap(), Knowledge::Unsure);
    relayed(&mut balancer, &view, 30, (relay, frame), &[ended], seg.key);
    let denials = (1..=20).map(|n| {
        let frame = agent_frame(FrameKind::Denied, seg.key);
        balancer.on_denied(&view, Millis(40), member(n), &frame)
    });
    let last = denials.last();
    assert!(matches!(last, Some(Action::Reset(_))), "{last:?}");
}

// Guards against a second copy of a packet, which would cost the narrow link a
// thousand bytes.
#[test]
fn an_unsure_agent_gets_the_packet_once() {
    let view = fleet_view(20);
    let mut balancer = balancer(20, 10.0);
    let seg = segment(flow(7));
    balancer.on_packet(&view, Millis(0), &seg);
    let query = query_of(balancer.on_reply_timeout(&view, Millis(70), &seg).unwrap());
    let relay = relay_of(&query);
    let [likely_owner] = query.packet_copies[..] else {
        panic!("only the likely owner gets a copy: {query:?}")
    };
    let other = (1..).map(member).find(|agent| *agent != likely_owner);
    let agents = [likely_owner, other.unwrap()];
    let frame = reply_frame(balancer.next_relay_tag().unwrap(), Knowledge::Unsure);
    let outcomes = relayed(&mut balancer, &view, 75, (relay, frame), &agents, seg.key);
    assert_eq!(
        outcomes,
        [RelayedOutcome::Ignored, RelayedOutcome::NeedsPacket]
    );
}

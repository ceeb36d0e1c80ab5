//! Owner queries that an agent relays: which agents are asked, and which answers are
//! returned when.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_coordination::passthrough::search_relay::MAX_FLOWS;
use ramp_coordination::passthrough::search_relay::PeerAnswer;
use ramp_coordination::passthrough::search_relay::PeerQuery;
use ramp_coordination::passthrough::search_relay::RelayReply;
use ramp_coordination::passthrough::search_relay::SearchRelay;
use ramp_protocol::frame::FlowEntry;
use ramp_protocol::frame::Frame;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::Knowledge;
use ramp_protocol::frame::ListTag;
use ramp_protocol::frame::NO_FLOW;
use ramp_state::time::Millis;

use crate::fixture::*;

const RELAY: u8 = 1;

fn entries(knowledge: &[Knowledge]) -> Vec<FlowEntry> {
    let flows = knowledge.iter().zip(1..);
    flows
        .map(|(knowledge, port)| FlowEntry {
            flow: flow(port),
            knowledge: *knowledge,
        })
        .collect()
}

fn tag() -> ListTag {
    ListTag {
        number: 77,
        balancer: balancer_ip(1),
        shortest_uptime: Duration::ZERO,
    }
}

fn header(uptime_ms: u64) -> Frame {
    Frame {
        uptime: Duration::from_millis(uptime_ms),
        ..frame(FrameKind::PeerReply, NO_FLOW)
    }
}

/// Asks the agents 1 to `last` through the relay, whose server has none of the flows.
fn ask(relay: &mut SearchRelay, now: u64, flows: usize, last: u8) -> Option<PeerQuery> {
    let own = PeerAnswer {
        agent: ip(RELAY),
        frame: &header(5000),
        entries: &entries(&vec![Knowledge::HasNot; flows]),
    };
    relay.on_query(Millis(now), tag(), (1..=last).map(ip), own)
}

fn relay_of(flows: usize, last: u8) -> (SearchRelay, PeerQuery) {
    let mut relay = SearchRelay::new(u32::MAX);
    let query = ask(&mut relay, 0, flows, last).unwrap();
    (relay, query)
}

fn answer(relay: &mut SearchRelay, query: &PeerQuery, last: u8, knowledge: &[Knowledge]) {
    answer_with(relay, query, last, knowledge, header(5000));
}

fn answer_with(
    relay: &mut SearchRelay,
    query: &PeerQuery,
    last: u8,
    knowledge: &[Knowledge],
    frame: Frame,
) {
    let entries = entries(knowledge);
    let answer = PeerAnswer {
        agent: ip(last),
        frame: &frame,
        entries: &entries,
    };
    relay.on_peer_reply(query.tag, answer);
}

/// Answer, agents and number of flows of each reply.
fn contents(replies: &[RelayReply]) -> Vec<(Knowledge, Vec<Ipv4Addr>, usize)> {
    let replies = replies.iter();
    replies
        .map(|r| (r.knowledge, r.agents.clone(), r.flows.len()))
        .collect()
}

// Guards against one reply for each agent or flow, which would fill the balancer's
// link as direct replies do.
#[test]
fn flows_with_the_same_answers_share_one_reply() {
    use Knowledge::*;
    let (mut relay, query) = relay_of(3, 4);
    assert_eq!(query.agents, [ip(2), ip(3), ip(4)], "not the relay itself");
    answer(&mut relay, &query, 2, &[HasNot, HasNot, HasNot]);
    answer(&mut relay, &query, 3, &[HasNot, Has, HasNot]);
    assert!(relay.take_due(Millis(5)).replies.is_empty());
    answer(&mut relay, &query, 4, &[HasNot, HasNot, HasNot]);
    let due = relay.take_due(Millis(6));
    // The owner's answer ends the search, so denials of its flow are left out.
    let all = vec![ip(1), ip(2), ip(4), ip(3)];
    assert_eq!(
        contents(&due.replies),
        [(HasNot, all, 2), (Has, vec![ip(3)], 1)]
    );
    assert_eq!(due.replies[1].service, Some(FEEDS));
    assert_eq!(due.replies[0].tag.number, 77, "the balancer's number");
    assert_eq!(due.finished[0].unanswered_count, 0);
    assert_eq!(relay.time_to_next(Millis(6)), None);
}

// Guards against answers that are kept back by one silent agent, and against queries
// that are kept forever.
#[test]
fn answers_are_returned_in_steps_while_agents_are_silent() {
    use Knowledge::HasNot;
    let (mut relay, query) = relay_of(1, 4);
    answer(&mut relay, &query, 2, &[HasNot]);
    answer(&mut relay, &query, 2, &[Knowledge::Has]);
    answer(&mut relay, &query, 9, &[HasNot]);
    let left = relay.time_to_next(Millis(10));
    assert_eq!(left, Some(Duration::from_millis(30)));
    assert!(relay.take_due(Millis(39)).replies.is_empty());
    let due = relay.take_due(Millis(40));
    let first = (HasNot, vec![ip(1), ip(2)], 1);
    assert_eq!(contents(&due.replies), [first], "one answer for each agent");
    answer(&mut relay, &query, 3, &[HasNot]);
    assert!(relay.take_due(Millis(79)).replies.is_empty());
    let due = relay.take_due(Millis(80));
    assert_eq!(contents(&due.replies), [(HasNot, vec![ip(3)], 1)]);
    assert!(due.finished.is_empty());
    let due = relay.take_due(Millis(200));
    assert_eq!(due.finished[0].unanswered_count, 1);
    answer(&mut relay, &query, 4, &[HasNot]);
    assert!(relay.take_due(Millis(240)).replies.is_empty());
}

// Guards against a balancer that relies on an older view than some agent has, and
// against an `Unseen` of a young agent that is taken for a denial because another
// agent has been running for long.
#[test]
fn the_headers_of_all_answers_are_combined() {
    use Knowledge::Unseen;
    let (mut relay, query) = relay_of(1, 4);
    let newer = Frame {
        revision: 120,
        misses_servers: true,
        ..header(300)
    };
    answer_with(&mut relay, &query, 2, &[Unseen], newer);
    answer_with(&mut relay, &query, 3, &[Unseen], header(9000));
    answer_with(&mut relay, &query, 4, &[Unseen], header(2500));
    let replies = relay.take_due(Millis(1)).replies;
    for reply in &replies {
        assert_eq!(reply.summary.revision, 120);
        assert!(reply.summary.misses_servers);
        assert_eq!(reply.summary.uptime, Duration::from_secs(9));
    }
    let unseen = replies.iter().filter(|r| r.knowledge == Unseen);
    let unseen: Vec<_> = unseen
        .map(|r| (r.agents.clone(), r.tag.shortest_uptime.as_millis()))
        .collect();
    assert_eq!(unseen, [(vec![ip(2)], 300), (vec![ip(3), ip(4)], 2500)]);
}

// Guards against unbounded memory at a relay that many balancers ask at once.
#[test]
fn queries_beyond_the_limit_are_dropped_until_others_end() {
    let (mut relay, _) = relay_of(MAX_FLOWS, 3);
    assert!(ask(&mut relay, 1, 1, 2).is_none());
    relay.take_due(Millis(200));
    assert!(ask(&mut relay, 201, 1, 2).is_some());
}

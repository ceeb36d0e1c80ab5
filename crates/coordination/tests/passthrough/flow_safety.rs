//! Regression tests of the rules that protect healthy flows: sequences of lost, late
//! or missing messages in which a flow could be reset or its packets could miss its
//! server.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_coordination::passthrough::agent::Agent;
use ramp_coordination::passthrough::agent::Inbound;
use ramp_coordination::passthrough::balancer::Action;
use ramp_coordination::passthrough::balancer::Balancer;
use ramp_coordination::passthrough::balancer::OWNER_REPLY_TIMEOUT;
use ramp_coordination::passthrough::catalog::Catalog;
use ramp_coordination::passthrough::published::Change;
use ramp_coordination::passthrough::published::Record;
use ramp_coordination::passthrough::published::RecordKey;
use ramp_coordination::passthrough::published::ServerState;
use ramp_coordination::passthrough::view::View;
use ramp_protocol::frame::Frame;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::Inquiry;
use ramp_protocol::frame::Knowledge;
use ramp_protocol::frame::Refusal;
use ramp_protocol::packet::Segment;
use ramp_state::time::Millis;

use crate::fixture::*;

/// Times at which a caller transmits a packet that is not acknowledged, with the
/// retransmissions.
const CALLER_SENDS_MS: [u64; 5] = [0, 200, 600, 1400, 3000];

/// Longest time for which packets may miss their server.
const MISROUTING_LIMIT_MS: u64 = 2000;

/// Agents that get the packet itself.
fn reached(action: &Action) -> Vec<Ipv4Addr> {
    match action {
        Action::Forward { agent, .. } => vec![*agent],
        Action::QueryOwner(query) => query.packet_copies.clone(),
        _ => Vec::new(),
    }
}

fn forwarded(action: &Action) -> Ipv4Addr {
    match action {
        Action::Forward { agent, .. } => *agent,
        _ => panic!("not forwarded: {action:?}"),
    }
}

/// Simulates the packets of a flow that the balancer does not know. `denies_at`
/// gives the time in ms at which an agent's denial arrives; none if it is lost.
/// Returns the agents that got the packet, each with the time in ms of its first
/// copy.
fn simulate(view: &View, all: u8, denies_at: impl Fn(u8) -> Option<u64>) -> Vec<(Ipv4Addr, u64)> {
    simulate_flow(7, |_| view, all, denies_at)
}

/// As [`simulate`], for the flow of the caller's port `port` and with a view that
/// changes over time.
fn simulate_flow<'a>(
    port: u16,
    view_at: impl Fn(u64) -> &'a View,
    all: u8,
    denies_at: impl Fn(u8) -> Option<u64>,
) -> Vec<(Ipv4Addr, u64)> {
    let mut balancer = balancer_beside(1..=all);
    let seg = segment(flow(port));
    let mut first = Vec::new();
    for now in 0..=CALLER_SENDS_MS[4] {
        let view = view_at(now);
        let mut actions = Vec::new();
        if CALLER_SENDS_MS.contains(&now) {
            actions.push(balancer.on_packet(view, Millis(now), &seg));
        }
        let due = |sent: &u64| now == sent + OWNER_REPLY_TIMEOUT.as_millis() as u64;
        if CALLER_SENDS_MS.iter().any(due) {
            actions.extend(balancer.on_reply_timeout(view, Millis(now), &seg));
        }
        for agent in actions.iter().flat_map(reached) {
            if first.iter().all(|(known, _)| *known != agent) {
                first.push((agent, now));
            }
        }
        for last in (1..=all).filter(|last| denies_at(*last) == Some(now)) {
            let reply = frame(FrameKind::Denied, flow(port));
            balancer.on_denied(view, Millis(now), ip(last), &reply);
        }
    }
    first
}

fn assert_all_reached(first: &[(Ipv4Addr, u64)], owners: impl Iterator<Item = u8>) {
    let missed: Vec<u8> = owners
        .filter(|last| {
            let at = first.iter().find(|(agent, _)| *agent == ip(*last));
            at.is_none_or(|(_, at)| *at > MISROUTING_LIMIT_MS)
        })
        .collect();
    assert_eq!(missed, [], "owners that got no packet in time");
}

// 60 servers, of which one data centre's 20 get packets but their replies are lost.
// The caller retransmits too rarely for a slow rotation of copies to reach each of
// them in time.
#[test]
fn each_of_twenty_silent_agents_gets_a_packet_in_time() {
    let all: Vec<u8> = (1..=60).collect();
    let first = simulate(&view(&all), 60, |last| (last > 20).then_some(75));
    assert_all_reached(&first, 1..=20);
}

// Eleven holders: ten servers and one that was removed shortly before. A denial
// that arrives late shortens the list of silent agents, which must not make the
// rotation of copies skip one of them.
#[test]
fn a_late_denial_takes_no_agents_turn() {
    let all: Vec<u8> = (1..=11).collect();
    for late in 1..=11 {
        let first = simulate(&view(&all), 11, |last| (last == late).then_some(1000));
        assert_all_reached(&first, (1..=11).filter(|last| *last != late));
    }
}

// A release of ten servers while replies of some are lost: seven servers were
// removed shortly before, and the first of them expires from the holders during
// the search.
#[test]
fn departed_holders_take_no_silent_owners_turn() {
    let gone = |last| Change::Removed(RecordKey::Server(id(last)));
    let all: Vec<u8> = (1..=17).collect();
    let mut catalog = catalog(&all);
    let leaving = (11..=17).map(|last| {
        let mut draining = server(last, FEEDS);
        draining.state = ServerState::Draining;
        Change::Written(Record::Server(id(last), draining))
    });
    catalog.apply(Millis(0), changes(100, leaving.collect()));
    catalog.apply(Millis(0), changes(101, vec![gone(11)]));
    let rest = (12..=17).map(gone).collect();
    catalog.apply(Millis(5000), changes(102, rest));
    let before = catalog.view(Millis(19_000)).unwrap();
    assert_eq!(before.holders().count(), 17);
    let after = catalog.view(Millis(21_000)).unwrap();
    assert_eq!(after.holders().count(), 16);
    for port in 1..200 {
        let view_at = |now| if now < 1000 { &before } else { &after };
        let answers = |last| (4..=10).contains(&last).then_some(75);
        let first = simulate_flow(port, view_at, 17, answers);
        assert_all_reached(&first, 1..=3);
    }
}

// The caller's next packet shows that some server has answered the opening. Only
// the agent's confirmation was lost.
#[test]
fn an_opening_that_the_caller_saw_answered_is_not_placed_again() {
    let view = view(&[1, 2, 3, 4]);
    let mut balancer = Balancer::new();
    let syn = opening(flow(7), 0);
    let owner = forwarded(&balancer.on_packet(&view, Millis(0), &syn));
    let data = segment(flow(7));
    assert_eq!(
        forwarded(&balancer.on_packet(&view, Millis(10), &data)),
        owner
    );
    let placed = balancer.on_reply_timeout(&view, Millis(70), &syn);
    let placed_elsewhere = matches!(placed, Some(Action::Forward { agent, .. }) if agent != owner);
    assert!(!placed_elsewhere, "a second server gets the opening");
}

// As above, at a balancer that receives no message of any agent: each reply timeout
// of the opening could send the open flow to one more server that does not have
// it.
#[test]
fn timers_of_an_opening_send_no_open_flow_to_other_servers() {
    let all: Vec<u8> = (1..=60).collect();
    let view = view(&all);
    let mut balancer = Balancer::new();
    let syn = opening(flow(7), 0);
    let owner = forwarded(&balancer.on_packet(&view, Millis(0), &syn));
    let mut seg = segment(flow(7));
    let mut owner_got_at = 0;
    let mut misrouted = 0;
    for now in 1..=4000 {
        if now % 70 == 0 {
            balancer.on_reply_timeout(&view, Millis(now), &syn);
        }
        if now % 50 == 10 {
            seg.seq += 100;
            let got = reached(&balancer.on_packet(&view, Millis(now), &seg));
            if got.contains(&owner) {
                (owner_got_at, misrouted) = (now, 0);
            } else {
                misrouted += got.len();
            }
        }
        let missed = now - owner_got_at >= MISROUTING_LIMIT_MS && misrouted >= 3;
        assert!(
            !missed,
            "{misrouted} packets missed the owner from {owner_got_at} to {now}"
        );
    }
}

// A balancer that is shutting down refuses an opening, and one member does not
// reply to its query. Meanwhile a copy of the opening opens the flow through
// another balancer, at a member that has denied it before.
#[test]
fn old_denials_of_an_opening_reset_no_flow_that_was_opened_since() {
    let view = view(&[1, 2, 3]);
    let mut balancer = Balancer::new();
    let syn = opening(flow(7), 0);
    let first = forwarded(&balancer.on_packet(&view, Millis(0), &syn));
    balancer.on_queued(Millis(1), first, &frame(FrameKind::Queued, flow(7)));
    let reply = frame(FrameKind::Returned(Refusal::Overloaded), flow(7));
    balancer.on_returned(&view, Millis(801), first, Refusal::Overloaded, &reply, &syn);
    let denied = frame(FrameKind::Denied, flow(7));
    balancer.on_denied(&view, Millis(803), ip(1), &denied);
    balancer.on_denied(&view, Millis(803), ip(2), &denied);
    let action = balancer.on_denied(&view, Millis(3000), ip(3), &denied);
    assert!(!matches!(action, Action::Reset(_)), "{action:?}");
}

// A queued opening is about to be opened, so its agent must not reply that its
// server does not have the flow.
#[test]
fn an_agent_does_not_deny_a_flow_that_waits_beside_it() {
    let mut small = server(1, FEEDS);
    small.slots = 1;
    let mut catalog = catalog(&[1]);
    catalog.apply(Millis(0), written(101, Record::Server(id(1), small)));
    let view = catalog.view(Millis(0)).unwrap();
    let mut agent = Agent::new(ip(1), FEEDS, 1, 1, Millis(0));
    let forward_frame = frame(FrameKind::Forward(Inquiry::OwnerEvenIfBusy), flow(1));
    let mut add = |port| {
        agent.on_balancer_packet(
            Some(&view),
            Millis(1),
            balancer_ip(1),
            &forward_frame,
            Inquiry::OwnerEvenIfBusy,
            &opening(flow(port), 0),
        )
    };
    assert!(matches!(add(1), Inbound::Forward { .. }));
    assert_eq!(add(2), Inbound::Queue);
    let known = agent.knowledge(Some(&view), Millis(2), &flow(2));
    assert_ne!(known, Knowledge::HasNot);
}

// The system clock was set back between the start of a server and the restart of
// its agent, so by the clock the agent seems to have started first.
#[test]
fn an_agent_restarted_after_the_clock_was_set_back_denies_nothing() {
    let mut sound = server(1, FEEDS);
    sound.born_ms = 100_000;
    let mut catalog = catalog(&[1]);
    catalog.apply(Millis(0), written(101, Record::Server(id(1), sound)));
    let view = catalog.view(Millis(20_000)).unwrap();
    // 20 s later, by a clock that was set back by 25 s.
    let mut agent = Agent::new(ip(1), FEEDS, 1, 95_000, Millis(20_000));
    agent.check_clock(&view, Millis(20_000));
    let known = agent.knowledge(Some(&view), Millis(20_001), &flow(7));
    assert_ne!(known, Knowledge::HasNot);
}

// The configured idle limit is longer than the time for which an agent keeps idle
// flows.
#[test]
fn an_agent_denies_no_flow_that_may_be_idle_for_longer_than_it_remembers() {
    let mut long = configuration(2);
    long.idle_limit = Duration::from_secs(50);
    let mut catalog = catalog(&[1]);
    catalog.apply(Millis(0), written(101, Record::Configuration(long)));
    let view = catalog.view(Millis(0)).unwrap();
    let mut agent = Agent::new(ip(1), FEEDS, 1, 1, Millis(0));
    agent.on_server_packet(Some(&view), Millis(1), &segment(flow(7)));
    agent.take_unanswered_requests(Some(&view), Millis(35_000));
    let known = agent.knowledge(Some(&view), Millis(35_001), &flow(7));
    assert_ne!(known, Knowledge::HasNot);
}

// An agent that was paused returns an opening packet to a balancer that has been
// restarted since. A copy of the packet has opened the flow through another
// balancer, and no member accepts new flows now.
#[test]
fn an_opening_of_an_earlier_process_that_comes_back_late_resets_nothing() {
    let mut draining = server(2, FEEDS);
    draining.state = ServerState::Draining;
    let mut catalog = catalog(&[1, 2]);
    catalog.apply(Millis(0), written(101, Record::Server(id(2), draining)));
    let view = catalog.view(Millis(0)).unwrap();
    let mut balancer = Balancer::new();
    let reply = frame(FrameKind::Returned(Refusal::Leaving), flow(7));
    let syn = opening(flow(7), 0);
    let action = balancer.on_returned(&view, Millis(2000), ip(1), Refusal::Leaving, &reply, &syn);
    assert!(!matches!(action, Action::Reset(_)), "{action:?}");
}

// Two servers have answered an opening, and the balancer has recorded the wrong one.
// The caller only acknowledges, again and again, what the right one retransmits.
#[test]
fn a_repeated_acknowledgement_makes_the_agent_confirm_the_flow_again() {
    let view = view(&[1, 2, 3]);
    let mut balancer = Balancer::new();
    let syn = opening(flow(7), 0);
    let wrong = forwarded(&balancer.on_packet(&view, Millis(0), &syn));
    balancer.on_owned(Millis(1), wrong, &frame(FrameKind::Owned, flow(7)));
    let ack = Segment {
        len: 0,
        ..segment(flow(7))
    };
    let mut others = 0;
    for now in [100, 300, 700, 1500, 3100] {
        let got = reached(&balancer.on_packet(&view, Millis(now), &ack));
        others += got.iter().filter(|agent| **agent != wrong).count();
        if let Some(action) = balancer.on_reply_timeout(&view, Millis(now + 70), &ack) {
            others += reached(&action).iter().filter(|a| **a != wrong).count();
        }
    }
    assert!(others > 0, "all of them went to the wrong server");
}

// A single lost datagram does not show that a server without a record is gone.
#[test]
fn one_lost_answer_resets_no_flow_of_a_server_without_a_record() {
    let mut catalog = catalog(&[1, 2]);
    let before = catalog.view(Millis(0)).unwrap();
    let mut balancer = Balancer::new();
    let syn = opening(flow(7), 0);
    let owner = forwarded(&balancer.on_packet(&before, Millis(0), &syn));
    balancer.on_owned(Millis(1), owner, &frame(FrameKind::Owned, flow(7)));
    let last = owner.octets()[3];
    let removed = Change::Removed(RecordKey::Server(id(last)));
    catalog.apply(Millis(10), changes(101, vec![removed]));
    let view = catalog.view(Millis(3000)).unwrap();
    let seg = segment(flow(7));
    assert!(reached(&balancer.on_packet(&view, Millis(3000), &seg)).contains(&owner));
    let other = ip(3 - last);
    balancer.on_denied(
        &view,
        Millis(3002),
        other,
        &frame(FrameKind::Denied, flow(7)),
    );
    let next = Segment { seq: 1100, ..seg };
    let action = balancer.on_packet(&view, Millis(3080), &next);
    assert!(!matches!(action, Action::Reset(_)), "{action:?}");
}

// A balancer that started just after an outage of the platform does not know the
// server at which another balancer has opened the flow. All servers that it knows
// deny the flow.
#[test]
fn an_opening_is_not_refused_by_a_view_that_may_lack_its_server() {
    let mut catalog = catalog(&[1]);
    catalog.apply(Millis(1), written(101, Record::Evacuation(EAST)));
    let view = catalog.view(Millis(1)).unwrap();
    let mut balancer = Balancer::new();
    let mut reply = frame(FrameKind::Denied, flow(7));
    reply.misses_servers = true;
    let copy = opening(flow(7), 200);
    assert!(matches!(
        balancer.on_packet(&view, Millis(300), &copy),
        Action::QueryOwner(_)
    ));
    let action = balancer.on_denied(&view, Millis(302), ip(1), &reply);
    assert!(!matches!(action, Action::Reset(_)), "{action:?}");
}

// Two balancers ask about the same flow before the server answers. Both must get
// the confirmation; otherwise the first treats a healthy agent as silent.
#[test]
fn every_balancer_that_asked_hears_of_the_owner() {
    let view = view(&[1]);
    let mut agent = Agent::new(ip(1), FEEDS, 1, 1, Millis(0));
    let forward_frame = frame(FrameKind::Forward(Inquiry::Owner), flow(1));
    let mut notified = Vec::new();
    for (last, age) in [(1, 0), (2, 200)] {
        let from = balancer_ip(last);
        let syn = opening(flow(1), age);
        let now = Millis(age + 1);
        agent.on_balancer_packet(Some(&view), now, from, &forward_frame, Inquiry::Owner, &syn);
    }
    for now in [202, 203] {
        let answer = Segment {
            syn: true,
            len: 0,
            ..segment(flow(1))
        };
        notified.extend(
            agent
                .on_server_packet(Some(&view), Millis(now), &answer)
                .notify,
        );
    }
    notified.sort();
    assert_eq!(notified, [balancer_ip(1), balancer_ip(2)]);
}

// Several servers may answer copies of an opening, and the caller uses only one of
// the answers. So an agent can't confirm the flow by its server's answer alone.
#[test]
fn an_agent_does_not_confirm_a_flow_whose_opening_alone_was_answered() {
    let view = view(&[1]);
    let mut agent = Agent::new(ip(1), FEEDS, 1, 1, Millis(0));
    let forward_frame = frame(FrameKind::Forward(Inquiry::Owner), flow(1));
    let from = balancer_ip(1);
    let syn = opening(flow(1), 0);
    agent.on_balancer_packet(
        Some(&view),
        Millis(1),
        from,
        &forward_frame,
        Inquiry::Owner,
        &syn,
    );
    let answer = Segment {
        syn: true,
        len: 0,
        ..segment(flow(1))
    };
    agent.on_server_packet(Some(&view), Millis(2), &answer);
    let known = agent.knowledge(Some(&view), Millis(3), &flow(1));
    assert_eq!(known, Knowledge::Unsure);
}

// A route is dropped and added again while the platform does not answer this
// balancer. By its outdated view, a flow that was opened since has no route.
#[test]
fn an_old_view_resets_no_flow_of_a_route_that_may_be_back() {
    let mut catalog = catalog(&[1, 2]);
    let mut without = configuration(2);
    without.routes.retain(|r| r.address != feeds_address());
    catalog.apply(Millis(0), written(101, Record::Configuration(without)));
    catalog.platform_failed();
    let view = catalog.view(Millis(5000)).unwrap();
    let mut balancer = Balancer::new();
    let action = balancer.on_packet(&view, Millis(5000), &segment(flow(7)));
    assert!(!matches!(action, Action::Reset(_)), "{action:?}");
}

/// View of servers 1 and 2, 3 s after the record of server 3 was removed.
fn view_without_record_of_3() -> View {
    let mut catalog = catalog(&[1, 2, 3]);
    let removed = Change::Removed(RecordKey::Server(id(3)));
    catalog.apply(Millis(10), changes(101, vec![removed]));
    catalog.view(Millis(3000)).unwrap()
}

/// A balancer that does not know flow 7 and has asked all other holders for it,
/// after the agent that ranks first returned the packet. Returns the balancer and
/// the other listed agent.
fn balancer_that_asks(view: &View, now: Millis) -> (Balancer, Ipv4Addr) {
    let mut balancer = balancer_beside(1..=3);
    let heartbeat = frame(FrameKind::Heartbeat, flow(1));
    balancer.on_heartbeat(Millis(now.0 - 1), ip(3), &heartbeat);
    let seg = segment(flow(7));
    let guess = forwarded(&balancer.on_packet(view, now, &seg));
    let reply = frame(FrameKind::Returned(Refusal::Bounced), flow(7));
    let action = balancer.on_returned(view, now, guess, Refusal::Bounced, &reply, &seg);
    assert!(matches!(action, Action::QueryOwner(_)), "{action:?}");
    let other = ip(3 - guess.octets()[3]);
    (balancer, other)
}

// An agent whose server has no record has a planned restart, which takes 300 ms.
// The server and its flows stay healthy meanwhile.
#[test]
fn the_restart_of_an_agent_resets_no_flow_of_a_server_without_a_record() {
    let view = view_without_record_of_3();
    let (mut balancer, other) = balancer_that_asks(&view, Millis(3000));
    let denied = frame(FrameKind::Denied, flow(7));
    balancer.on_denied(&view, Millis(3002), other, &denied);
    let seg = segment(flow(7));
    balancer.on_reply_timeout(&view, Millis(3100), &seg);
    let action = balancer.on_packet(&view, Millis(3200), &seg);
    assert!(!matches!(action, Action::Reset(_)), "{action:?}");
}

// A busy balancer reads the replies late, and the owner's confirmation last.
#[test]
fn a_denial_that_is_read_first_resets_no_flow_whose_owner_has_answered() {
    let view = view_without_record_of_3();
    let (mut balancer, other) = balancer_that_asks(&view, Millis(3000));
    balancer.on_reply_timeout(&view, Millis(3100), &segment(flow(7)));
    let denied = frame(FrameKind::Denied, flow(7));
    let action = balancer.on_denied(&view, Millis(3171), other, &denied);
    assert!(!matches!(action, Action::Reset(_)), "{action:?}");
}

// A balancer and later an agent are restarted while the record of the agent's
// server is missing, so neither knows the other's address.
#[test]
#[ignore = "known red: KNOWN-RED.txt"]
fn a_restarted_agent_without_a_record_is_known_to_a_restarted_balancer() {
    let view = view(&[1]);
    let mut agent = Agent::new(ip(3), FEEDS, 1, 100_000, Millis(0));
    let mut balancer = Balancer::new();
    let mut heartbeat = frame(FrameKind::Heartbeat, flow(1));
    heartbeat.uptime = Duration::from_secs(60);
    for now in (0..=5000).step_by(250) {
        balancer.on_heartbeat(Millis(now), ip(1), &heartbeat);
        for _ in agent.due_heartbeats(Some(&view), Millis(now)) {
            balancer.on_heartbeat(Millis(now), ip(3), &heartbeat);
        }
    }
    let seg = segment(flow(7));
    balancer.on_packet(&view, Millis(5000), &seg);
    let reply = frame(FrameKind::Returned(Refusal::Bounced), flow(7));
    let action = balancer.on_returned(&view, Millis(5001), ip(1), Refusal::Bounced, &reply, &seg);
    assert!(!matches!(action, Action::Reset(_)), "{action:?}");
}

// The clock had been set back by 5 s when the agent was restarted, 2 s after its
// server. The first view arrives 4 s later; by then the server's start time is in
// the past.
#[test]
fn an_agent_that_gets_its_first_view_late_denies_nothing_by_a_clock_set_back() {
    let mut older = server(1, FEEDS);
    older.born_ms = 103_000;
    let mut catalog = catalog(&[1]);
    catalog.apply(Millis(0), written(101, Record::Server(id(1), older)));
    let view = catalog.view(Millis(4000)).unwrap();
    let mut agent = Agent::new(ip(1), FEEDS, 1, 100_000, Millis(0));
    for now in (0..=4000).step_by(250) {
        agent.tick(None, Millis(now));
    }
    agent.check_clock(&view, Millis(4000));
    let known = agent.knowledge(Some(&view), Millis(4000), &flow(7));
    assert_eq!(known, Knowledge::Unsure);
}

// A balancer is added while the record of a running server is missing. The server's
// agent sends heartbeats only to balancers that have sent it packets.
#[test]
#[ignore = "known red: KNOWN-RED.txt"]
fn an_added_balancer_resets_no_flow_of_a_server_without_a_record() {
    let mut agent = Agent::new(ip(3), FEEDS, 1, 1, Millis(0));
    let forward_frame = frame(FrameKind::Forward(Inquiry::Owner), flow(1));
    let (older, added) = (balancer_ip(1), balancer_ip(2));
    let syn = opening(flow(1), 0);
    let listed = view(&[1, 3]);
    agent.on_balancer_packet(
        Some(&listed),
        Millis(0),
        older,
        &forward_frame,
        Inquiry::Owner,
        &syn,
    );
    let view = view(&[1]);
    let mut balancer = Balancer::new();
    let mut heartbeat = frame(FrameKind::Heartbeat, flow(1));
    heartbeat.uptime = Duration::from_secs(60);
    for now in (0..=5000).step_by(250) {
        balancer.on_heartbeat(Millis(now), ip(1), &heartbeat);
        if agent
            .due_heartbeats(Some(&view), Millis(now))
            .contains(&added)
        {
            balancer.on_heartbeat(Millis(now), ip(3), &heartbeat);
        }
    }
    let seg = segment(flow(7));
    balancer.on_packet(&view, Millis(5000), &seg);
    let reply = frame(FrameKind::Returned(Refusal::Bounced), flow(7));
    let action = balancer.on_returned(&view, Millis(5001), ip(1), Refusal::Bounced, &reply, &seg);
    assert!(!matches!(action, Action::Reset(_)), "{action:?}");
}

// The balancer knows the agent by its heartbeats alone, and the agent has a planned
// restart. It must still be asked after 1 s without a heartbeat.
#[test]
fn a_pause_between_heartbeats_resets_no_flow_of_a_server_without_a_record() {
    let view = view(&[1]);
    let mut balancer = Balancer::new();
    let heartbeat = frame(FrameKind::Heartbeat, flow(1));
    balancer.on_heartbeat(Millis(0), ip(1), &heartbeat);
    balancer.on_heartbeat(Millis(5000), ip(3), &heartbeat);
    let seg = segment(flow(7));
    balancer.on_packet(&view, Millis(6100), &seg);
    let reply = frame(FrameKind::Returned(Refusal::Bounced), flow(7));
    let action = balancer.on_returned(&view, Millis(6101), ip(1), Refusal::Bounced, &reply, &seg);
    assert!(!matches!(action, Action::Reset(_)), "{action:?}");
}

// A restarted agent does not know flows from before its start. It still denies
// openings that are younger than that; otherwise callers would never be refused.
#[test]
fn an_agent_older_than_an_opening_denies_it_though_it_knows_no_older_flows() {
    let view = view(&[1, 2]);
    let deny = |uptime| {
        let mut balancer = Balancer::new();
        let syn = opening(flow(7), 0);
        let first = forwarded(&balancer.on_packet(&view, Millis(0), &syn));
        balancer.on_queued(Millis(1), first, &frame(FrameKind::Queued, flow(7)));
        let reply = frame(FrameKind::Returned(Refusal::Overloaded), flow(7));
        balancer.on_returned(&view, Millis(801), first, Refusal::Overloaded, &reply, &syn);
        let mut answer = frame(FrameKind::OwnerReply, flow(7));
        answer.uptime = uptime;
        balancer.implies_denial(&answer)
    };
    assert!(deny(Duration::from_secs(2)));
    assert!(
        !deny(Duration::from_millis(1900)),
        "it may have missed the opening"
    );
    let mut balancer = Balancer::new();
    balancer.on_packet(&view, Millis(0), &segment(flow(7)));
    let mut answer = frame(FrameKind::OwnerReply, flow(7));
    answer.uptime = Duration::from_secs(60);
    assert!(
        !balancer.implies_denial(&answer),
        "an open flow may be older"
    );
}

// An agent that is about to shut down delivers a packet and reports it, and the
// server's bounce is lost when the agent ends. The balancer must not wait for the
// caller's next packet, which may be 0.8 s away.
#[test]
fn an_agent_that_ends_after_it_passed_a_packet_on_is_not_waited_for() {
    let view = view(&[1, 2, 3]);
    let mut balancer = balancer_beside(1..=3);
    let seg = segment(flow(7));
    let guess = forwarded(&balancer.on_packet(&view, Millis(0), &seg));
    balancer.on_heartbeat(Millis(1), guess, &frame(FrameKind::Heartbeat, flow(7)));
    assert_eq!(balancer.on_reply_timeout(&view, Millis(70), &seg), None);
    let left = balancer.reply_time_left(Millis(70), &seg);
    assert_eq!(left, Some(Duration::from_millis(530)));
    let action = balancer.on_reply_timeout(&view, Millis(600), &seg);
    assert!(matches!(action, Some(Action::QueryOwner(_))), "{action:?}");
    assert_eq!(balancer.reply_time_left(Millis(600), &seg), None);
}

// Guards against callers of lost flows that wait for four seconds more after a restart of
// everything in which the platform answers late: the balancer took the time before its
// first packet for that of an older fleet.
#[test]
fn a_first_view_that_comes_late_does_not_make_the_fleet_older() {
    let mut catalog = Catalog::new();
    catalog.replace(Millis(3000), listing(&[1, 2, 3]));
    let view = catalog.view(Millis(3000)).unwrap();
    let mut balancer = Balancer::new().with_start(Millis(0));
    let seg = segment(flow(7));
    let first = forwarded(&balancer.on_packet(&view, Millis(3001), &seg));
    let answer = |kind| Frame {
        knows_all_flows: true,
        uptime: Duration::from_millis(3000),
        ..frame(kind, seg.key)
    };
    let bounced = answer(FrameKind::Returned(Refusal::Bounced));
    balancer.on_returned(&view, Millis(3002), first, Refusal::Bounced, &bounced, &seg);
    let others = (1..=3).map(ip).filter(|agent| *agent != first);
    let denials = others.map(|agent| {
        let denied = answer(FrameKind::Denied);
        balancer.on_denied(&view, Millis(3010), agent, &denied)
    });
    let last = denials.last();
    assert!(matches!(last, Some(Action::Reset(_))), "{last:?}");
}

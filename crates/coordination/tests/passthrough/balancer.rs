//! Decisions of one balancer for packets, replies and timeouts: placement of new
//! flows, the search for owners, and when callers are reset.

use std::net::Ipv4Addr;

use ramp_coordination::passthrough::balancer::Action;
use ramp_coordination::passthrough::balancer::Balancer;
use ramp_coordination::passthrough::balancer::DropReason;
use ramp_coordination::passthrough::balancer::ResetReason;
use ramp_coordination::passthrough::published::Change;
use ramp_coordination::passthrough::published::Record;
use ramp_coordination::passthrough::published::RecordKey;
use ramp_coordination::passthrough::published::Revision;
use ramp_coordination::passthrough::published::ServerState;
use ramp_coordination::passthrough::view::View;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::Inquiry;
use ramp_protocol::frame::Refusal;
use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

use crate::fixture::*;

fn forwarded(action: &Action) -> (Ipv4Addr, Inquiry) {
    match action {
        Action::Forward { agent, inquiry, .. } => (*agent, *inquiry),
        _ => panic!("not forwarded: {action:?}"),
    }
}

fn queried(action: Action) -> Vec<Ipv4Addr> {
    match action {
        Action::QueryOwner(query) => [query.packet_copies, query.by_key].concat(),
        _ => panic!("nobody was asked: {action:?}"),
    }
}

fn reset_reason(action: &Action) -> Option<ResetReason> {
    match action {
        Action::Reset(reset) => Some(reset.reason),
        _ => None,
    }
}

/// Opens a flow and lets its agent confirm it; returns the owner.
fn open(balancer: &mut Balancer, view: &View, key: FlowKey) -> Ipv4Addr {
    let (agent, _) = forwarded(&balancer.on_packet(view, Millis(0), &opening(key, 0)));
    balancer.on_owned(Millis(1), agent, &frame(FrameKind::Owned, key));
    agent
}

fn returned(
    balancer: &mut Balancer,
    view: &View,
    now: u64,
    from: Ipv4Addr,
    refusal: Refusal,
    seg: &ramp_protocol::packet::Segment,
) -> Action {
    let reply = frame(FrameKind::Returned(refusal), seg.key);
    balancer.on_returned(view, Millis(now), from, refusal, &reply, seg)
}

/// Handles a packet of an unknown flow, which the first agent returns as bounced.
/// Returns that agent and those that are asked then.
fn bounced_by_the_first(
    balancer: &mut Balancer,
    view: &View,
    seg: &ramp_protocol::packet::Segment,
) -> (Ipv4Addr, Vec<Ipv4Addr>) {
    let (first, _) = forwarded(&balancer.on_packet(view, Millis(0), seg));
    let action = returned(balancer, view, 1, first, Refusal::Bounced, seg);
    (first, queried(action))
}

fn denied(balancer: &mut Balancer, view: &View, now: u64, from: Ipv4Addr, key: FlowKey) -> Action {
    balancer.on_denied(view, Millis(now), from, &frame(FrameKind::Denied, key))
}

#[test]
fn an_open_flow_stays_with_its_owner_when_servers_come() {
    let mut balancer = Balancer::new();
    let before = view(&[1, 2, 3]);
    let after = view(&[1, 2, 3, 4, 5, 6, 7, 8, 9]);
    for port in 1..200 {
        let owner = open(&mut balancer, &before, flow(port));
        let action = balancer.on_packet(&after, Millis(10), &segment(flow(port)));
        assert_eq!(forwarded(&action), (owner, Inquiry::None));
    }
}

#[test]
fn a_new_balancer_guesses_the_owner_of_most_flows() {
    let view = view(&[1, 2, 3, 4, 5, 6, 7]);
    let mut first = Balancer::new();
    let mut second = Balancer::new();
    for port in 1..200 {
        let owner = open(&mut first, &view, flow(port));
        let action = second.on_packet(&view, Millis(10), &segment(flow(port)));
        assert_eq!(forwarded(&action), (owner, Inquiry::Owner));
    }
}

#[test]
fn a_bounced_packet_goes_to_all_others_once() {
    let view = view(&[1, 2, 3]);
    let mut balancer = Balancer::new();
    let seg = segment(flow(7));
    let (first, others) = bounced_by_the_first(&mut balancer, &view, &seg);
    assert_eq!(others.len(), 2);
    assert!(!others.contains(&first));
    let again = balancer.on_packet(&view, Millis(50), &seg);
    assert_eq!(again, Action::Drop(DropReason::Asked));
    assert_eq!(
        queried(balancer.on_packet(&view, Millis(250), &seg)).len(),
        2,
        "copies that were lost are sent again"
    );
}

#[test]
fn the_caller_is_reset_at_once_when_the_last_holder_denies() {
    let view = view(&[1, 2, 3]);
    let mut balancer = Balancer::new();
    let seg = segment(flow(7));
    let (_, others) = bounced_by_the_first(&mut balancer, &view, &seg);
    let action = denied(&mut balancer, &view, 2, others[0], flow(7));
    assert_eq!(action, Action::Drop(DropReason::Asked));
    let action = denied(&mut balancer, &view, 3, others[1], flow(7));
    assert_eq!(reset_reason(&action), Some(ResetReason::Unowned));
    let Action::Reset(reset) = action else {
        unreachable!()
    };
    assert_eq!(reset.seq, seg.ack, "the caller expects this number");
}

#[test]
fn no_reset_while_one_holder_is_silent() {
    let view = view(&[1, 2, 3]);
    let mut balancer = Balancer::new();
    let seg = segment(flow(7));
    let (_, others) = bounced_by_the_first(&mut balancer, &view, &seg);
    denied(&mut balancer, &view, 2, others[0], flow(7));
    for now in (0..20).map(|turn| 200 + turn * 200) {
        let action = balancer.on_packet(&view, Millis(now), &seg);
        assert_eq!(queried(action), vec![others[1]]);
    }
}

#[test]
fn no_reset_by_a_view_that_an_agent_shows_to_be_old() {
    let view = view(&[1]);
    let mut balancer = Balancer::new();
    let seg = segment(flow(7));
    let (first, _) = forwarded(&balancer.on_packet(&view, Millis(0), &seg));
    let mut reply = frame(FrameKind::Returned(Refusal::Bounced), flow(7));
    reply.revision = 101;
    let action = balancer.on_returned(&view, Millis(1), first, Refusal::Bounced, &reply, &seg);
    assert_eq!(action, Action::Drop(DropReason::Unsettled));
    assert_eq!(balancer.newest_agent_revision(), Revision(101));

    // The newer view shows a server that may have the flow.
    let mut catalog = catalog(&[1]);
    catalog.apply(Millis(2), written(101, record(2, FEEDS)));
    let newer = catalog.view(Millis(2)).unwrap();
    assert!(balancer.on_new_view(&newer, Millis(2)).is_empty());
    assert_eq!(
        queried(balancer.on_packet(&newer, Millis(200), &seg)),
        vec![ip(2)]
    );
}

#[test]
fn a_newer_view_without_the_last_holder_ends_the_search() {
    let mut catalog = catalog(&[1, 2]);
    let old = catalog.view(Millis(0)).unwrap();
    let mut balancer = Balancer::new();
    let seg = segment(flow(7));
    let (_, others) = bounced_by_the_first(&mut balancer, &old, &seg);
    let gone = if others == [ip(1)] { 1 } else { 2 };
    catalog.apply(
        Millis(10),
        changes(101, vec![Change::Removed(RecordKey::Server(id(gone)))]),
    );
    let soon = catalog.view(Millis(10)).unwrap();
    assert!(
        balancer.on_new_view(&soon, Millis(10)).is_empty(),
        "a lapsed server may come back"
    );
    let later = catalog.view(Millis(3000)).unwrap();
    assert_eq!(balancer.on_new_view(&later, Millis(3000)).len(), 1);
}

/// After a power failure, a server that does not come back stays listed until its
/// record lapses. Resets of lost flows wait for its reply until then, but no longer.
#[test]
fn an_unlisted_holder_that_stays_silent_holds_up_no_reset() {
    let mut catalog = catalog(&[1, 2]);
    let listed = catalog.view(Millis(0)).unwrap();
    let lapsed = Change::Removed(RecordKey::Server(id(2)));
    catalog.apply(Millis(10), changes(101, vec![lapsed]));
    let unlisted = catalog.view(Millis(10)).unwrap();
    let search = |view: &View| {
        let mut balancer = Balancer::new();
        let seg = segment(flow(7));
        balancer.on_packet(view, Millis(0), &seg);
        returned(&mut balancer, view, 1, ip(1), Refusal::Bounced, &seg);
        assert_eq!(
            queried(balancer.on_packet(view, Millis(200), &seg)),
            [ip(2)]
        );
        balancer
    };
    let seg = segment(flow(7));

    let action = search(&unlisted).on_packet(&unlisted, Millis(290), &seg);
    assert_eq!(
        action,
        Action::Drop(DropReason::Asked),
        "not silent for long enough"
    );
    let action = search(&unlisted).on_packet(&unlisted, Millis(600), &seg);
    assert_eq!(reset_reason(&action), Some(ResetReason::Unowned));
    let action = search(&listed).on_packet(&listed, Millis(600), &seg);
    assert_eq!(
        queried(action),
        [ip(2)],
        "a listed server may be unreachable from here only"
    );

    let mut balancer = search(&unlisted);
    let other = frame(FrameKind::Owned, flow(8));
    balancer.on_owned(Millis(400), ip(2), &other);
    let action = balancer.on_packet(&unlisted, Millis(600), &seg);
    assert_eq!(
        queried(action),
        [ip(2)],
        "its agent is running and will reply"
    );
}

/// A balancer that is replaced just after an outage of the platform gets a first
/// listing that lacks servers whose records lapsed. Found by the soak test, seed
/// 41.
#[test]
fn a_balancer_that_started_just_after_an_outage_resets_nothing_for_a_while() {
    let mut catalog = catalog(&[1]);
    let young = catalog.view(Millis(0)).unwrap();
    let seg = segment(flow(7));
    let deny = |view: &View, now, misses_servers| {
        let mut balancer = Balancer::new();
        balancer.on_packet(view, Millis(now), &seg);
        let mut reply = frame(FrameKind::Returned(Refusal::Bounced), flow(7));
        reply.misses_servers = misses_servers;
        balancer.on_returned(view, Millis(now), ip(1), Refusal::Bounced, &reply, &seg)
    };
    assert_eq!(deny(&young, 300, true), Action::Drop(DropReason::Unsettled));
    let all_restarted = deny(&young, 300, false);
    assert_eq!(reset_reason(&all_restarted), Some(ResetReason::Unowned));
    let old_enough = deny(&young, 2500, true);
    assert_eq!(reset_reason(&old_enough), Some(ResetReason::Unowned));

    let gone = Change::Removed(RecordKey::Server(id(1)));
    catalog.apply(Millis(1), changes(101, vec![gone]));
    let empty = catalog.view(Millis(1)).unwrap();
    let action = Balancer::new().on_packet(&empty, Millis(300), &seg);
    assert_eq!(queried(action), [ip(1)]);
    let mut nobody = ramp_coordination::passthrough::catalog::Catalog::new();
    nobody.replace(Millis(0), listing(&[]));
    let nobody = nobody.view(Millis(0)).unwrap();
    let action = Balancer::new().on_packet(&nobody, Millis(300), &seg);
    assert_eq!(
        action,
        Action::Drop(DropReason::Unsettled),
        "nobody is listed"
    );
    let action = Balancer::new().on_packet(&nobody, Millis(2500), &seg);
    assert_eq!(reset_reason(&action), Some(ResetReason::Unowned));
}

#[test]
fn an_agent_tells_of_an_outage_while_servers_may_be_missing() {
    let mut catalog = catalog(&[1, 2]);
    assert!(!catalog.view(Millis(0)).unwrap().misses_servers(Millis(9)));
    catalog.platform_failed();
    let away = catalog.view(Millis(5000)).unwrap();
    assert!(away.misses_servers(Millis(9000)));
    catalog.replace(Millis(9000), listing(&[1]));
    let back = catalog.view(Millis(9000)).unwrap();
    assert!(back.misses_servers(Millis(11_000)));
    assert!(!back.misses_servers(Millis(11_500)));
}

#[test]
fn an_owner_that_was_missed_and_is_back_has_not_denied_its_flow() {
    // Found in a simulation in which no packet left one data centre for 6 s.
    let mut catalog = catalog(&[1, 2]);
    let before = catalog.view(Millis(0)).unwrap();
    let mut balancer = Balancer::new();
    let owner = open(&mut balancer, &before, flow(7));
    let last = owner.octets()[3];
    let other = ip(3 - last);
    let lapsed = Change::Removed(RecordKey::Server(id(last)));
    catalog.apply(Millis(10), changes(101, vec![lapsed]));
    let gone = catalog.view(Millis(3000)).unwrap();
    let seg = segment(flow(7));
    assert!(queried(balancer.on_packet(&gone, Millis(3000), &seg)).contains(&other));
    catalog.apply(Millis(4000), written(102, record(last, FEEDS)));
    let back = catalog.view(Millis(4000)).unwrap();
    let action = denied(&mut balancer, &back, 4001, other, flow(7));
    assert_eq!(action, Action::Drop(DropReason::Asked));
    assert_eq!(
        queried(balancer.on_packet(&back, Millis(4200), &seg)),
        vec![owner]
    );
}

#[test]
fn an_opening_packet_goes_to_no_server_that_should_not_have_it() {
    let mut catalog = catalog(&[1, 2, 3, 4, 5, 6]);
    let mut draining = server(2, FEEDS);
    draining.state = ServerState::Draining;
    catalog.apply(Millis(1), written(101, Record::Server(id(2), draining)));
    catalog.apply(Millis(1), written(102, Record::Evacuation(EAST)));
    catalog.apply(Millis(1), written(103, record(8, UPLOADS)));
    let view = catalog.view(Millis(1)).unwrap();
    let mut balancer = Balancer::new();
    for port in 1..300 {
        let action = balancer.on_packet(&view, Millis(2), &opening(flow(port), 0));
        let (agent, _) = forwarded(&action);
        assert!([ip(4), ip(6)].contains(&agent), "{agent}");
    }
}

#[test]
fn an_opening_packet_that_nobody_may_take_is_reset_at_once() {
    let mut catalog = catalog(&[1]);
    catalog.apply(Millis(1), written(101, Record::Evacuation(EAST)));
    let view = catalog.view(Millis(1)).unwrap();
    let mut balancer = Balancer::new();
    let action = balancer.on_packet(&view, Millis(2), &opening(flow(1), 0));
    assert_eq!(reset_reason(&action), Some(ResetReason::NoMember));
    let mut unknown = flow(2);
    unknown.service.set_port(1);
    let action = balancer.on_packet(&view, Millis(2), &opening(unknown, 0));
    assert_eq!(reset_reason(&action), Some(ResetReason::NoRoute));
}

/// While a balancer was paused, a copy of an opening packet stayed in its socket
/// buffer, and the flow was opened at a server that its outdated view lacks. Found
/// by the soak test, seed 21.
#[test]
fn no_opening_is_reset_by_a_view_that_an_agent_shows_to_be_old() {
    let view = view(&[1]);
    let mut balancer = Balancer::new();
    let seg = opening(flow(7), 0);
    forwarded(&balancer.on_packet(&view, Millis(0), &seg));
    let mut reply = frame(FrameKind::Returned(Refusal::Evacuated), flow(7));
    reply.revision = 101;
    let action = balancer.on_returned(&view, Millis(1), ip(1), Refusal::Evacuated, &reply, &seg);
    assert_eq!(action, Action::Drop(DropReason::Unsettled));
    let unrouted = FlowKey {
        service: std::net::SocketAddrV4::new(ip(99), 1),
        ..flow(8)
    };
    let action = balancer.on_packet(&view, Millis(2), &opening(unrouted, 0));
    assert_eq!(action, Action::Drop(DropReason::Unsettled), "it may be new");

    let mut catalog = catalog(&[1]);
    catalog.apply(Millis(3), written(101, record(2, FEEDS)));
    let newer = catalog.view(Millis(3)).unwrap();
    let copy = balancer.on_packet(&newer, Millis(200), &opening(flow(7), 200));
    assert_eq!(forwarded(&copy).0, ip(2));
    let action = balancer.on_packet(&newer, Millis(201), &opening(unrouted, 200));
    assert_eq!(reset_reason(&action), Some(ResetReason::NoRoute));
}

#[test]
fn a_refused_opening_is_tried_at_each_member_once() {
    let view = view(&[1, 2, 3, 4]);
    let mut balancer = Balancer::new();
    let seg = opening(flow(9), 0);
    let mut action = balancer.on_packet(&view, Millis(0), &seg);
    let mut tried = Vec::new();
    while let Action::Forward { agent, .. } = action {
        assert!(!tried.contains(&agent));
        tried.push(agent);
        action = returned(&mut balancer, &view, 1, agent, Refusal::Cold, &seg);
    }
    assert_eq!(tried.len(), 4);
    assert_eq!(reset_reason(&action), Some(ResetReason::NoMember));
}

#[test]
fn a_copy_of_an_unconfirmed_opening_goes_to_another_server() {
    let view = view(&[1, 2, 3, 4]);
    let mut balancer = Balancer::new();
    let (first, _) = forwarded(&balancer.on_packet(&view, Millis(0), &opening(flow(9), 0)));
    let (second, _) = forwarded(&balancer.on_packet(&view, Millis(200), &opening(flow(9), 200)));
    assert_ne!(first, second);
}

#[test]
fn an_opening_that_nobody_confirms_is_placed_again_before_its_copy_comes() {
    let view = view(&[1, 2, 3, 4]);
    let mut balancer = Balancer::new();
    let seg = opening(flow(9), 0);
    let (first, _) = forwarded(&balancer.on_packet(&view, Millis(0), &seg));
    assert_eq!(balancer.on_reply_timeout(&view, Millis(60), &seg), None);
    let action = balancer.on_reply_timeout(&view, Millis(70), &seg).unwrap();
    assert_ne!(forwarded(&action).0, first);
    // No new flow goes to the silent agent until it sends a message.
    for port in 100..200 {
        let action = balancer.on_packet(&view, Millis(80), &opening(flow(port), 0));
        assert_ne!(forwarded(&action).0, first);
    }
    balancer.on_owned(Millis(90), first, &frame(FrameKind::Owned, flow(1)));
    let again = (200..300).any(|port| {
        let action = balancer.on_packet(&view, Millis(95), &opening(flow(port), 0));
        forwarded(&action).0 == first
    });
    assert!(again);
}

#[test]
fn a_confirmed_opening_is_not_placed_again() {
    let view = view(&[1, 2, 3, 4]);
    let mut balancer = Balancer::new();
    open(&mut balancer, &view, flow(9));
    let seg = opening(flow(9), 0);
    assert_eq!(balancer.on_reply_timeout(&view, Millis(500), &seg), None);
}

#[test]
fn a_copy_of_a_confirmed_opening_goes_to_the_same_server() {
    let view = view(&[1, 2, 3, 4]);
    let mut balancer = Balancer::new();
    let owner = open(&mut balancer, &view, flow(9));
    let action = balancer.on_packet(&view, Millis(200), &opening(flow(9), 200));
    assert_eq!(forwarded(&action).0, owner);
}

#[test]
fn a_dropped_route_ends_its_flows_and_others_stay() {
    let mut catalog = catalog(&[1, 2, 3]);
    let before = catalog.view(Millis(0)).unwrap();
    let mut balancer = Balancer::new();
    let owner = open(&mut balancer, &before, flow(9));
    let mut next = configuration(2);
    next.routes.swap_remove(1);
    catalog.apply(Millis(5), written(101, Record::Configuration(next)));
    let after = catalog.view(Millis(5)).unwrap();
    let action = balancer.on_packet(&after, Millis(6), &segment(flow(9)));
    assert_eq!(forwarded(&action).0, owner);
    let mut dropped = flow(10);
    dropped.service = uploads_address();
    let action = balancer.on_packet(&after, Millis(6), &segment(dropped));
    assert_eq!(reset_reason(&action), Some(ResetReason::NoRoute));
}

#[test]
fn a_flow_stays_open_when_its_route_goes_to_another_service() {
    let mut catalog = catalog(&[1, 2, 3]);
    catalog.apply(Millis(0), written(101, record(8, UPLOADS)));
    let before = catalog.view(Millis(0)).unwrap();
    let mut balancer = Balancer::new();
    let owner = open(&mut balancer, &before, flow(9));
    let mut next = configuration(2);
    next.routes[0].shares[0].service = UPLOADS;
    catalog.apply(Millis(5), written(102, Record::Configuration(next)));
    let after = catalog.view(Millis(5)).unwrap();
    let action = balancer.on_packet(&after, Millis(6), &segment(flow(9)));
    assert_eq!(forwarded(&action).0, owner);

    // A balancer that does not know the flow asks the servers of all services.
    let mut fresh = Balancer::new();
    let (guess, _) = forwarded(&fresh.on_packet(&after, Millis(6), &segment(flow(9))));
    assert_eq!(guess, ip(8));
    let action = returned(
        &mut fresh,
        &after,
        7,
        guess,
        Refusal::Bounced,
        &segment(flow(9)),
    );
    assert!(queried(action).contains(&owner));
}

#[test]
fn forged_and_ending_packets_are_never_answered() {
    let view = view(&[1]);
    let mut balancer = Balancer::new();
    let mut forged = segment(flow(1));
    forged.syn = true;
    let action = balancer.on_packet(&view, Millis(0), &forged);
    assert_eq!(action, Action::Drop(DropReason::Forged));
    let mut reset = segment(flow(1));
    reset.rst = true;
    reset.key.service.set_port(1);
    let action = balancer.on_packet(&view, Millis(0), &reset);
    assert_eq!(action, Action::Drop(DropReason::AlreadyEnded));
}

#[test]
fn the_size_of_the_flow_table_stays_bounded() {
    let view = view(&[1, 2, 3]);
    let mut balancer = Balancer::new();
    for turn in 0..200_000u32 {
        // 2,000 new flows a second, each silent after its first packet.
        let mut key = flow(turn as u16);
        key.caller.set_ip(Ipv4Addr::from(turn >> 16));
        balancer.on_packet(&view, Millis(u64::from(turn) / 2), &opening(key, 0));
    }
    let kept_s = 15;
    assert!(balancer.flow_count() < 2_000 * kept_s * 2);
}

#[test]
fn agents_that_know_all_their_flows_are_asked_by_key() {
    let view = view(&[1, 2, 3]);
    let mut balancer = Balancer::new();
    let mut heartbeat = frame(FrameKind::Heartbeat, flow(1));
    heartbeat.knows_all_flows = true;
    balancer.on_heartbeat(Millis(0), ip(2), &heartbeat);
    let seg = (10..)
        .map(|port| segment(flow(port)))
        .find(|seg| forwarded(&balancer.on_packet(&view, Millis(0), seg)).0 == ip(1));
    let seg = seg.unwrap();
    let action = returned(&mut balancer, &view, 1, ip(1), Refusal::Bounced, &seg);
    let Action::QueryOwner(query) = action else {
        panic!("nobody was asked: {action:?}")
    };
    assert_eq!(query.by_key, [ip(2)]);
    assert_eq!(query.packet_copies, [ip(3)]);
    // An agent that replies that it does not know gets a copy of the next packet.
    balancer.on_unsure(Millis(2), ip(2), &frame(FrameKind::OwnerReply, seg.key));
    let action = balancer.on_packet(&view, Millis(3), &seg);
    let Action::QueryOwner(query) = action else {
        panic!("nobody was asked: {action:?}")
    };
    assert_eq!(query.packet_copies, [ip(2), ip(3)]);
}

// Guards against an open flow whose packets all go to a member that does not have
// the flow, because that member's replies are lost.
#[test]
fn a_member_whose_answers_are_lost_holds_up_no_open_flow() {
    let view = view(&[1, 2, 3]);
    let mut balancer = Balancer::new();
    let seg = segment(flow(7));
    let (guess, _) = forwarded(&balancer.on_packet(&view, Millis(0), &seg));
    let queried = queried(balancer.on_packet(&view, Millis(200), &seg));
    assert_eq!(queried.len(), 3, "the silent agent may be the owner");
    assert!(queried.contains(&guess));
}

// Guards against an open flow that stalls until its caller's next packet, because a
// member's reply to the last one is lost.
#[test]
fn a_question_that_stays_unanswered_needs_no_further_packet() {
    let view = view(&[1, 2, 3]);
    let mut balancer = Balancer::new();
    let seg = segment(flow(7));
    forwarded(&balancer.on_packet(&view, Millis(0), &seg));
    assert_eq!(balancer.on_reply_timeout(&view, Millis(60), &seg), None);
    let action = balancer.on_reply_timeout(&view, Millis(70), &seg).unwrap();
    assert_eq!(queried(action).len(), 3);
    balancer.on_owned(Millis(75), ip(2), &frame(FrameKind::Owned, flow(7)));
    assert_eq!(balancer.on_reply_timeout(&view, Millis(200), &seg), None);
}

// Guards against a search that keeps packets from the owner of a flow when only the
// replies of the owner's agent are lost.
#[test]
fn a_member_whose_answers_are_lost_still_gets_each_packet() {
    let view = view(&[1, 2, 3, 4, 5, 6, 7]);
    let mut balancer = Balancer::new();
    let seg = segment(flow(7));
    let (guess, _) = forwarded(&balancer.on_packet(&view, Millis(0), &seg));
    for now in 80..400 {
        match balancer.on_packet(&view, Millis(now), &seg) {
            Action::Forward { agent, .. } => assert_eq!(agent, guess),
            Action::QueryOwner(query) => assert!(query.packet_copies.contains(&guess)),
            action => panic!("{action:?} at {now}"),
        }
    }
}

// Two servers may have answered an opening. Guards against packets that go on to the
// one whose agent confirmed first, if the caller uses the other one and the bounces
// are lost.
#[test]
fn a_retransmission_makes_the_agent_confirm_the_flow_again() {
    let view = view(&[1, 2, 3]);
    let mut balancer = Balancer::new();
    let wrong = open(&mut balancer, &view, flow(7));
    let seg = segment(flow(7));
    let inquiry = |action: &Action| forwarded(action).1;
    let first = balancer.on_packet(&view, Millis(10), &seg);
    assert_eq!(inquiry(&first), Inquiry::None);
    let again = balancer.on_packet(&view, Millis(210), &seg);
    assert_eq!(inquiry(&again), Inquiry::Owner);
    let others = queried(balancer.on_reply_timeout(&view, Millis(280), &seg).unwrap());
    assert_eq!(others.len(), 3);

    let owner = others.into_iter().find(|agent| *agent != wrong).unwrap();
    balancer.on_owned(Millis(290), owner, &frame(FrameKind::Owned, flow(7)));
    let action = balancer.on_packet(&view, Millis(300), &seg);
    assert_eq!(forwarded(&action).0, owner);
}

#[test]
fn a_repeated_confirmation_ends_the_wait_for_a_reply() {
    let view = view(&[1, 2, 3]);
    let mut balancer = Balancer::new();
    let owner = open(&mut balancer, &view, flow(7));
    let seg = segment(flow(7));
    balancer.on_packet(&view, Millis(10), &seg);
    balancer.on_packet(&view, Millis(210), &seg);
    balancer.on_owned(Millis(214), owner, &frame(FrameKind::Owned, flow(7)));
    assert_eq!(balancer.on_reply_timeout(&view, Millis(280), &seg), None);
    let next = ramp_protocol::packet::Segment { seq: 1100, ..seg };
    let action = balancer.on_packet(&view, Millis(290), &next);
    assert_eq!(forwarded(&action), (owner, Inquiry::None));
}

// Guards against an owner that is only ever asked by flow key and never gets the
// packet, because its replies are lost.
#[test]
fn an_agent_that_is_silent_to_a_query_by_key_gets_the_packet() {
    let view = view(&[1, 2, 3]);
    let mut balancer = balancer_beside(1..=3);
    let seg = segment(flow(7));
    let (first, others) = bounced_by_the_first(&mut balancer, &view, &seg);
    denied(&mut balancer, &view, 2, others[0], flow(7));
    let Action::QueryOwner(query) = balancer.on_packet(&view, Millis(210), &seg) else {
        panic!("nobody was asked")
    };
    assert_eq!(query.packet_copies, [others[1]], "{first} bounced it");
}

// Guards against an owner that is only ever asked by flow key and never gets the
// packet, because it can't tell before its server has answered.
#[test]
fn a_complete_agent_that_is_unsure_gets_the_packet() {
    let view = view(&[1, 2, 3]);
    let mut balancer = balancer_beside(1..=3);
    let seg = segment(flow(7));
    let (_, others) = bounced_by_the_first(&mut balancer, &view, &seg);
    let mut reply = frame(FrameKind::OwnerReply, flow(7));
    reply.knows_all_flows = true;
    balancer.on_unsure(Millis(2), others[0], &reply);
    let Action::QueryOwner(query) = balancer.on_packet(&view, Millis(3), &seg) else {
        panic!("nobody was asked")
    };
    assert_eq!(query.packet_copies, [others[0]]);
}

// Guards against a search that floods a large service with copies while many agents
// are silent. Each packet must go to a few agents, and all get one in rotation.
#[test]
fn many_silent_agents_get_the_packets_in_turn() {
    let all: Vec<u8> = (1..=60).collect();
    let view = view(&all);
    let mut balancer = balancer_beside(all);
    let seg = segment(flow(7));
    bounced_by_the_first(&mut balancer, &view, &seg);
    let mut reached = std::collections::HashSet::new();
    for now in (0..8).map(|turn| 300 + turn * 200) {
        let Action::QueryOwner(query) = balancer.on_packet(&view, Millis(now), &seg) else {
            panic!("nobody was asked at {now}")
        };
        assert!(query.packet_copies.len() <= 8);
        assert_eq!(query.agent_count(), 59);
        reached.extend(query.packet_copies);
    }
    assert_eq!(reached.len(), 59);
}

// Guards against a reset of a flow that is open at another member, because the first
// member returns the opening late.
#[test]
fn a_member_that_gives_up_late_resets_no_flow_that_is_open_elsewhere() {
    let view = view(&[1, 2, 3]);
    for refusal in [Refusal::Overloaded, Refusal::Busy, Refusal::Cold] {
        let mut balancer = Balancer::new();
        let seg = opening(flow(7), 0);
        let (first, _) = forwarded(&balancer.on_packet(&view, Millis(0), &seg));
        let action = balancer.on_reply_timeout(&view, Millis(70), &seg).unwrap();
        let (second, _) = forwarded(&action);
        balancer.on_owned(Millis(75), second, &frame(FrameKind::Owned, flow(7)));
        let action = returned(&mut balancer, &view, 800, first, refusal, &seg);
        assert_eq!(
            action,
            Action::Drop(DropReason::PlacedElsewhere),
            "{refusal:?}"
        );
        let action = balancer.on_packet(&view, Millis(810), &segment(flow(7)));
        assert_eq!(forwarded(&action).0, second, "{refusal:?}");
    }
}

// Guards against a reset of a flow that another balancer has opened with a copy of
// the opening packet, after a member refused the flow here.
#[test]
fn an_opening_that_is_given_up_on_resets_no_flow_that_any_member_has() {
    let view = view(&[1, 2, 3]);
    let place = || {
        let mut balancer = Balancer::new();
        let seg = opening(flow(7), 0);
        let (first, _) = forwarded(&balancer.on_packet(&view, Millis(0), &seg));
        balancer.on_queued(Millis(1), first, &frame(FrameKind::Queued, flow(7)));
        let action = returned(&mut balancer, &view, 801, first, Refusal::Overloaded, &seg);
        let Action::QueryOwner(query) = action else {
            panic!("nobody was asked: {action:?}")
        };
        assert!(query.packet_copies.is_empty(), "a copy would open the flow");
        assert_eq!(query.by_key.len(), 3);
        balancer
    };
    let mut balancer = place();
    for last in [1, 2] {
        let action = denied(&mut balancer, &view, 803, ip(last), flow(7));
        assert_eq!(reset_reason(&action), None);
    }
    let action = denied(&mut balancer, &view, 803, ip(3), flow(7));
    assert_eq!(reset_reason(&action), Some(ResetReason::Overloaded));

    let mut balancer = place();
    denied(&mut balancer, &view, 803, ip(1), flow(7));
    balancer.on_owned(Millis(803), ip(2), &frame(FrameKind::Owned, flow(7)));
    let action = denied(&mut balancer, &view, 803, ip(3), flow(7));
    assert_eq!(reset_reason(&action), None);
    let action = balancer.on_packet(&view, Millis(900), &segment(flow(7)));
    assert_eq!(forwarded(&action).0, ip(2));
}

// Guards against a reset by denials from before the flow was open: they are no
// longer valid once it is.
#[test]
fn denials_of_an_opening_do_not_count_for_the_open_flow() {
    let view = view(&[1, 2]);
    let mut balancer = Balancer::new();
    let seg = opening(flow(7), 0);
    let (first, _) = forwarded(&balancer.on_packet(&view, Millis(0), &seg));
    balancer.on_queued(Millis(1), first, &frame(FrameKind::Queued, flow(7)));
    returned(&mut balancer, &view, 801, first, Refusal::Overloaded, &seg);
    denied(&mut balancer, &view, 803, ip(1), flow(7));
    let data = segment(flow(7));
    let (guess, _) = forwarded(&balancer.on_packet(&view, Millis(900), &data));
    let action = returned(&mut balancer, &view, 901, guess, Refusal::Bounced, &data);
    assert_eq!(queried(action).len(), 1, "the other one may have it by now");
}

// Guards against a reset of a flow because all other members refused its opening,
// while the confirmation of the member that has it was lost.
#[test]
fn an_opening_that_a_silent_member_may_have_is_not_refused() {
    let view = view(&[1, 2]);
    let mut balancer = Balancer::new();
    let seg = opening(flow(7), 0);
    let (silent, _) = forwarded(&balancer.on_packet(&view, Millis(0), &seg));
    let action = balancer.on_reply_timeout(&view, Millis(70), &seg).unwrap();
    let (other, _) = forwarded(&action);
    let action = returned(&mut balancer, &view, 72, other, Refusal::Cold, &seg);
    assert_eq!(action, Action::Drop(DropReason::Unanswered));
    let action = balancer.on_packet(&view, Millis(200), &opening(flow(7), 200));
    assert_eq!(
        forwarded(&action).0,
        silent,
        "the caller's copy tries it again"
    );
}

// Guards against a reset caused by a copy of an opening packet when no member accepts
// new flows now, but another balancer has opened the flow in the meantime.
#[test]
fn a_copy_of_an_opening_is_refused_only_when_nobody_has_its_flow() {
    let mut catalog = catalog(&[1, 3]);
    catalog.apply(Millis(1), written(101, Record::Evacuation(EAST)));
    let view = catalog.view(Millis(1)).unwrap();
    let mut balancer = Balancer::new();
    let copy = opening(flow(1), 200);
    assert_eq!(
        queried(balancer.on_packet(&view, Millis(2), &copy)).len(),
        2
    );
    denied(&mut balancer, &view, 4, ip(1), flow(1));
    let action = denied(&mut balancer, &view, 5, ip(3), flow(1));
    assert_eq!(reset_reason(&action), Some(ResetReason::NoMember));
}

// Guards against a reset that is based on a missing record alone, while the server is
// running and its agent replies.
#[test]
fn an_owner_without_a_record_is_asked_before_its_flow_is_reset() {
    let mut catalog = catalog(&[1, 2]);
    let before = catalog.view(Millis(0)).unwrap();
    let mut balancer = Balancer::new();
    let owner = open(&mut balancer, &before, flow(7));
    let last = owner.octets()[3];
    let other = ip(3 - last);
    let gone = Change::Removed(RecordKey::Server(id(last)));
    catalog.apply(Millis(10), changes(101, vec![gone]));
    let view = catalog.view(Millis(3000)).unwrap();
    let seg = segment(flow(7));
    assert!(queried(balancer.on_packet(&view, Millis(3000), &seg)).contains(&owner));
    let action = denied(&mut balancer, &view, 3002, other, flow(7));
    assert_eq!(reset_reason(&action), None);

    let action = balancer.on_packet(&view, Millis(3200), &seg);
    assert!(queried(action).contains(&owner), "one answer may be lost");
    let action = balancer.on_packet(&view, Millis(3400), &seg);
    assert_eq!(
        reset_reason(&action),
        Some(ResetReason::Unowned),
        "it is silent"
    );

    let owner = open(&mut balancer, &before, flow(8));
    let seg = segment(flow(8));
    balancer.on_packet(&view, Millis(3300), &seg);
    balancer.on_owned(Millis(3301), owner, &frame(FrameKind::Owned, flow(8)));
    for member in [1, 2].map(ip).into_iter().filter(|m| *m != owner) {
        let action = denied(&mut balancer, &view, 3302, member, flow(8));
        assert_eq!(reset_reason(&action), None);
    }
    let next = ramp_protocol::packet::Segment { seq: 1100, ..seg };
    let action = balancer.on_packet(&view, Millis(3500), &next);
    assert_eq!(
        forwarded(&action),
        (owner, Inquiry::None),
        "its agent replies"
    );
}

// Guards against a reset by a balancer that was restarted while the record of a
// running server was missing, although no call to the platform failed.
#[test]
fn a_balancer_restarted_beside_a_running_fleet_resets_nothing_for_a_while() {
    let view = view(&[1]);
    let seg = segment(flow(7));
    let deny = |now, running_ms| {
        let mut balancer = Balancer::new();
        balancer.on_packet(&view, Millis(now), &seg);
        let mut reply = frame(FrameKind::Returned(Refusal::Bounced), flow(7));
        reply.uptime = std::time::Duration::from_millis(running_ms);
        balancer.on_returned(&view, Millis(now), ip(1), Refusal::Bounced, &reply, &seg)
    };
    assert_eq!(deny(300, 9000), Action::Drop(DropReason::Unsettled));
    let all_restarted = deny(300, 1500);
    assert_eq!(reset_reason(&all_restarted), Some(ResetReason::Unowned));
    assert_eq!(deny(3900, 9000), Action::Drop(DropReason::Unsettled));
    let old_enough = deny(4000, 9000);
    assert_eq!(reset_reason(&old_enough), Some(ResetReason::Unowned));
}

// Guards against a reset by a balancer that was restarted while the record of a
// running server was missing, and the record has not been restored yet.
#[test]
fn an_agent_that_sends_heartbeats_without_a_record_may_own_a_flow() {
    let view = view(&[1]);
    let mut balancer = Balancer::new();
    balancer.on_heartbeat(Millis(2900), ip(2), &frame(FrameKind::Heartbeat, flow(1)));
    let seg = segment(flow(7));
    forwarded(&balancer.on_packet(&view, Millis(3000), &seg));
    let action = returned(&mut balancer, &view, 3001, ip(1), Refusal::Bounced, &seg);
    assert_eq!(queried(action), [ip(2)]);
    let action = denied(&mut balancer, &view, 3002, ip(2), flow(7));
    assert_eq!(reset_reason(&action), Some(ResetReason::Unowned));
}

// Guards against a reset of an open flow whose packets are routed to another
// balancer, if the flow's route is newer than that balancer's view.
#[test]
fn an_open_flow_without_a_route_is_reset_only_where_its_route_was_dropped() {
    let mut catalog = catalog(&[1]);
    let view = catalog.view(Millis(0)).unwrap();
    let mut balancer = Balancer::new();
    let new = FlowKey {
        service: std::net::SocketAddrV4::new(ip(99), 1),
        ..flow(7)
    };
    let action = balancer.on_packet(&view, Millis(1), &segment(new));
    assert_eq!(action, Action::Drop(DropReason::Unsettled));
    let action = balancer.on_packet(&view, Millis(2), &opening(new, 0));
    assert_eq!(reset_reason(&action), Some(ResetReason::NoRoute));

    let mut next = configuration(2);
    next.routes.swap_remove(0);
    catalog.apply(Millis(5), written(101, Record::Configuration(next)));
    let dropped = catalog.view(Millis(5)).unwrap();
    let action = balancer.on_packet(&dropped, Millis(6), &segment(flow(8)));
    assert_eq!(reset_reason(&action), Some(ResetReason::NoRoute));
    catalog.apply(
        Millis(7),
        written(102, Record::Configuration(configuration(3))),
    );
    let back = catalog.view(Millis(7)).unwrap();
    assert!(!back.has_dropped_route(feeds_address()));

    catalog.platform_failed();
    let away = catalog.view(Millis(8)).unwrap();
    let action = balancer.on_packet(&away, Millis(9), &opening(new, 0));
    assert_eq!(action, Action::Drop(DropReason::Unsettled), "it may be new");
}

// Guards against a search for each flow after a restart of all agents. An agent that
// can't tell yet waits for its server, which may need longer than the reply timeout
// to answer.
#[test]
fn an_agent_that_passed_a_packet_on_has_time_for_its_servers_answer() {
    let view = view(&[1, 2, 3]);
    let mut balancer = Balancer::new();
    let seg = segment(flow(7));
    let (agent, _) = forwarded(&balancer.on_packet(&view, Millis(0), &seg));
    balancer.on_heartbeat(Millis(2), agent, &frame(FrameKind::Heartbeat, flow(7)));
    assert_eq!(balancer.on_reply_timeout(&view, Millis(70), &seg), None);
    let action = balancer.on_packet(&view, Millis(200), &seg);
    assert_eq!(forwarded(&action), (agent, Inquiry::Owner));
    let action = balancer.on_packet(&view, Millis(600), &seg);
    assert_eq!(queried(action).len(), 3, "the bounce may be lost");
}

// Guards against a flood of copies at a large service after a restart of all agents.
// The agent that is only slow to reply most likely has the flow.
#[test]
fn a_slow_answer_sends_copies_to_few_agents_that_cannot_tell() {
    let all: Vec<u8> = (1..=60).collect();
    let view = view(&all);
    let mut balancer = Balancer::new();
    let seg = segment(flow(7));
    let (agent, _) = forwarded(&balancer.on_packet(&view, Millis(0), &seg));
    let Some(Action::QueryOwner(query)) = balancer.on_reply_timeout(&view, Millis(70), &seg) else {
        panic!("nobody was asked")
    };
    assert!(query.packet_copies.contains(&agent));
    assert_eq!(query.packet_copies.len(), 9);
    assert_eq!(query.agent_count(), 60);
}

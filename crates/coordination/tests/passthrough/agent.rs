//! Decisions of one agent: admission and queueing of new flows, bounced packets,
//! and what it knows of its server's flows.

use std::time::Duration;

use ramp_coordination::passthrough::agent::Agent;
use ramp_coordination::passthrough::agent::Bounce;
use ramp_coordination::passthrough::agent::Dequeued;
use ramp_coordination::passthrough::agent::Inbound;
use ramp_coordination::passthrough::published::Configuration;
use ramp_coordination::passthrough::published::Record;
use ramp_coordination::passthrough::published::Revision;
use ramp_coordination::passthrough::published::Server;
use ramp_coordination::passthrough::published::ServerState;
use ramp_coordination::passthrough::view::View;
use ramp_protocol::frame::Frame;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::Inquiry;
use ramp_protocol::frame::Knowledge;
use ramp_protocol::frame::Refusal;
use ramp_protocol::packet::Segment;
use ramp_state::key::Version;
use ramp_state::time::Millis;

use crate::fixture::*;

fn agent(last: u8) -> Agent {
    Agent::new(ip(last), FEEDS, 7, 1000, Millis(0))
}

fn forward_frame(port: u16) -> Frame {
    frame(FrameKind::Forward(Inquiry::Owner), flow(port))
}

fn open(agent: &mut Agent, view: &View, now: u64, port: u16) -> Inbound {
    let seg = opening(flow(port), 0);
    let from = balancer_ip(1);
    agent.on_balancer_packet(
        Some(view),
        Millis(now),
        from,
        &forward_frame(port),
        Inquiry::Owner,
        &seg,
    )
}

fn is_forwarded(inbound: Inbound) -> bool {
    matches!(inbound, Inbound::Forward { .. })
}

/// The server answers an opening packet with a SYN-ACK.
fn send_syn_ack(agent: &mut Agent, view: &View, now: u64, port: u16) {
    let mut seg = segment(flow(port));
    seg.syn = true;
    seg.len = 0;
    agent.on_server_packet(Some(view), Millis(now), &seg);
}

/// The caller sends a request.
fn send_request(agent: &mut Agent, view: &View, now: u64, port: u16) {
    let seg = Segment {
        seq: 1001,
        ..segment(flow(port))
    };
    let from = balancer_ip(1);
    agent.on_balancer_packet(
        Some(view),
        Millis(now),
        from,
        &forward_frame(port),
        Inquiry::None,
        &seg,
    );
}

/// The server answers a request.
fn send_response(agent: &mut Agent, view: &View, now: u64, port: u16) {
    agent.on_server_packet(Some(view), Millis(now), &segment(flow(port)));
}

#[test]
fn an_opening_is_refused_by_the_agents_own_view() {
    let mut catalog = catalog(&[1, 2]);
    let mut draining = server(1, FEEDS);
    draining.state = ServerState::Draining;
    catalog.apply(Millis(1), written(101, Record::Server(id(1), draining)));
    catalog.apply(Millis(1), written(102, Record::Evacuation(WEST)));
    let view = catalog.view(Millis(1)).unwrap();
    let refused = |last| open(&mut agent(last), &view, 2, 1);
    assert_eq!(refused(1), Inbound::Refuse(Refusal::Draining));
    assert_eq!(refused(2), Inbound::Refuse(Refusal::Evacuated));
}

#[test]
fn an_opening_for_another_service_is_refused() {
    let view = view(&[1]);
    let mut agent = agent(1);
    let mut foreign = forward_frame(1);
    foreign.service = UPLOADS;
    let seg = opening(flow(1), 0);
    let from = balancer_ip(1);
    let inbound =
        agent.on_balancer_packet(Some(&view), Millis(0), from, &foreign, Inquiry::Owner, &seg);
    assert_eq!(inbound, Inbound::Refuse(Refusal::OtherService));
}

#[test]
fn an_older_route_of_the_balancer_does_not_count() {
    let mut catalog = catalog(&[1]);
    let mut next = configuration(2);
    next.routes[0].shares[0].service = UPLOADS;
    catalog.apply(Millis(1), written(101, Record::Configuration(next)));
    let view = catalog.view(Millis(1)).unwrap();
    let inbound = open(&mut agent(1), &view, 2, 1);
    assert_eq!(inbound, Inbound::Refuse(Refusal::OtherService));
}

#[test]
fn a_newer_route_of_the_balancer_counts() {
    let view = view(&[1]);
    let mut agent = agent(1);
    let mut key = flow(1);
    key.service.set_port(9);
    let mut newer = frame(FrameKind::Forward(Inquiry::Owner), key);
    newer.version = Version(2);
    let seg = opening(key, 0);
    let from = balancer_ip(1);
    let inbound =
        agent.on_balancer_packet(Some(&view), Millis(0), from, &newer, Inquiry::Owner, &seg);
    assert!(is_forwarded(inbound));
}

#[test]
fn packets_of_open_flows_always_pass() {
    let mut catalog = catalog(&[1]);
    catalog.apply(Millis(1), written(101, Record::Evacuation(EAST)));
    let view = catalog.view(Millis(1)).unwrap();
    let mut agent = agent(1);
    agent.begin_shutdown(Millis(0));
    let from = balancer_ip(1);
    let inbound = agent.on_balancer_packet(
        Some(&view),
        Millis(2),
        from,
        &forward_frame(1),
        Inquiry::Owner,
        &segment(flow(1)),
    );
    assert!(is_forwarded(inbound));
}

#[test]
fn a_cold_server_gets_no_more_new_flows_per_second_than_its_limit() {
    let mut catalog = catalog(&[]);
    let mut cold = server(1, FEEDS);
    cold.cold_for = COLD_START;
    catalog.apply(Millis(0), written(101, Record::Server(id(1), cold)));
    let view = catalog.view(Millis(0)).unwrap();
    let mut agent = agent(1);
    let mut forwarded = Vec::new();
    for now in 0..2000 {
        let port = now as u16 + 1;
        if is_forwarded(open(&mut agent, &view, now, port)) {
            forwarded.push(now);
            send_syn_ack(&mut agent, &view, now, port);
            send_response(&mut agent, &view, now, port);
        }
    }
    for at in &forwarded {
        let window = forwarded.iter().filter(|t| (*at..at + 1000).contains(t));
        assert!(window.count() <= 10);
    }
    assert_eq!(forwarded.len(), 20);
    assert!(is_forwarded(open(&mut agent, &view, 2500, 5000)));
}

#[test]
fn a_server_that_is_not_listed_yet_is_taken_for_cold() {
    let view = view(&[2]);
    let mut agent = agent(1);
    let mut forwarded = 0;
    for port in 1..100 {
        if is_forwarded(open(&mut agent, &view, 0, port)) {
            forwarded += 1;
            send_syn_ack(&mut agent, &view, 0, port);
            send_response(&mut agent, &view, 0, port);
        }
    }
    assert_eq!(forwarded, 10);
}

#[test]
fn a_server_whose_data_centre_was_taken_back_is_cold() {
    let mut catalog = catalog(&[1]);
    catalog.apply(Millis(0), written(101, Record::Evacuation(EAST)));
    let back = ramp_coordination::passthrough::published::RecordKey::Evacuation(EAST);
    let removed = ramp_coordination::passthrough::published::Change::Removed(back);
    catalog.apply(Millis(9000), changes(102, vec![removed]));
    let view = catalog.view(Millis(9000)).unwrap();
    let mut agent = agent(1);
    let mut forwarded = 0;
    for port in 1..100 {
        if is_forwarded(open(&mut agent, &view, 9500, port)) {
            forwarded += 1;
            send_syn_ack(&mut agent, &view, 9500, port);
            send_response(&mut agent, &view, 9500, port);
        }
    }
    assert_eq!(forwarded, 10);
}

#[test]
fn a_silent_server_gets_only_a_few_openings() {
    let view = view(&[1]);
    let mut agent = agent(1);
    let mut forwarded = 0;
    for now in 200..1200 {
        let seg = opening(flow(now as u16), 0);
        let inbound = agent.on_balancer_packet(
            Some(&view),
            Millis(now),
            balancer_ip(1),
            &forward_frame(now as u16),
            Inquiry::OwnerEvenIfBusy,
            &seg,
        );
        if now >= 400 {
            forwarded += usize::from(is_forwarded(inbound));
        }
    }
    assert!(forwarded <= 8, "{forwarded}");
}

#[test]
fn a_server_that_answers_after_a_long_silence_is_cold() {
    let view = view(&[1]);
    let mut agent = agent(1);
    assert!(is_forwarded(open(&mut agent, &view, 0, 1)));
    send_syn_ack(&mut agent, &view, 900, 1);
    let mut forwarded = 0;
    for port in 2..100 {
        if is_forwarded(open(&mut agent, &view, 1000, port)) {
            forwarded += 1;
            send_syn_ack(&mut agent, &view, 1000, port);
            send_response(&mut agent, &view, 1000, port);
        }
    }
    assert!(forwarded <= 10, "{forwarded}");
}

/// Opens a flow for which the balancer has found no less busy server.
fn open_though_busy(agent: &mut Agent, view: &View, now: u64, port: u16) -> Inbound {
    agent.on_balancer_packet(
        Some(view),
        Millis(now),
        balancer_ip(1),
        &forward_frame(port),
        Inquiry::OwnerEvenIfBusy,
        &opening(flow(port), 0),
    )
}

/// Fills the four slots and the two places in the queue behind them.
fn fill_server(agent: &mut Agent, view: &View) {
    for port in 1..=6 {
        let inbound = open_though_busy(agent, view, 0, port);
        assert!(is_forwarded(inbound), "{port}: {inbound:?}");
        send_syn_ack(agent, view, 0, port);
        send_request(agent, view, 0, port);
    }
}

#[test]
fn a_full_server_sends_openings_back_and_takes_them_again() {
    let view = view(&[1]);
    let mut agent = agent(1);
    fill_server(&mut agent, &view);
    let inbound = open(&mut agent, &view, 1, 9);
    assert_eq!(inbound, Inbound::Refuse(Refusal::Busy));
    assert_eq!(open_though_busy(&mut agent, &view, 1, 9), Inbound::Queue);
    send_response(&mut agent, &view, 2, 1);
    send_response(&mut agent, &view, 2, 2);
    assert!(is_forwarded(open(&mut agent, &view, 3, 10)));
}

#[test]
fn a_caller_that_has_gone_holds_no_slot_for_long() {
    // Opening packets that were forwarded twice, or after their caller had given up,
    // once kept every server full for two seconds, and no flow got through.
    let view = view(&[1]);
    let mut agent = agent(1);
    for port in 1..=6 {
        assert!(is_forwarded(open_though_busy(&mut agent, &view, 0, port)));
        send_syn_ack(&mut agent, &view, 0, port);
    }
    assert_eq!(open_though_busy(&mut agent, &view, 50, 11), Inbound::Queue);
    assert!(agent.poll_queue(Some(&view), Millis(59)).is_none());
    assert!(matches!(
        agent.poll_queue(Some(&view), Millis(60)),
        Some(Dequeued::Forward(..))
    ));
    assert_eq!(agent.in_progress(), 1);
}

#[test]
fn new_flows_wait_at_a_full_server_and_the_newest_goes_first() {
    let view = view(&[1]);
    let mut agent = agent(1);
    fill_server(&mut agent, &view);
    for port in 11..=13 {
        let now = u64::from(port);
        assert_eq!(
            open_though_busy(&mut agent, &view, now, port),
            Inbound::Queue
        );
    }
    assert_eq!(
        open_though_busy(&mut agent, &view, 20, 11),
        Inbound::AlreadyQueued
    );
    assert_eq!(agent.poll_queue(Some(&view), Millis(20)), None);
    for (answered, expected_port) in [(1, 13), (2, 12), (3, 11)] {
        send_response(&mut agent, &view, 21, answered);
        let dequeued = agent.poll_queue(Some(&view), Millis(21));
        assert!(
            matches!(dequeued, Some(Dequeued::Forward(key, _)) if key == flow(expected_port)),
            "{dequeued:?}"
        );
        assert_eq!(agent.poll_queue(Some(&view), Millis(21)), None);
    }
}

/// Guards against late answers after an outage: delayed copies of opening packets
/// arrive in random order, while callers that have just begun can still be served
/// in time.
#[test]
fn of_the_openings_that_wait_the_one_that_began_last_goes_first() {
    let view = view(&[1]);
    let mut agent = agent(1);
    fill_server(&mut agent, &view);
    for (now, port, age_ms) in [(10, 11, 0), (20, 12, 600), (30, 13, 200)] {
        let inbound = agent.on_balancer_packet(
            Some(&view),
            Millis(now),
            balancer_ip(1),
            &forward_frame(port),
            Inquiry::OwnerEvenIfBusy,
            &opening(flow(port), age_ms),
        );
        assert_eq!(inbound, Inbound::Queue);
    }
    for (answered, expected_port) in [(1, 11), (2, 13), (3, 12)] {
        send_response(&mut agent, &view, 40, answered);
        let dequeued = agent.poll_queue(Some(&view), Millis(40));
        assert!(
            matches!(dequeued, Some(Dequeued::Forward(key, _)) if key == flow(expected_port)),
            "{dequeued:?}"
        );
    }
}

#[test]
fn a_new_flow_that_waits_in_vain_is_given_up_on_in_time() {
    let view = view(&[1]);
    let mut agent = agent(1);
    fill_server(&mut agent, &view);
    assert_eq!(open_though_busy(&mut agent, &view, 5, 11), Inbound::Queue);
    assert_eq!(agent.poll_queue(Some(&view), Millis(800)), None);
    let dequeued = agent.poll_queue(Some(&view), Millis(805));
    let refused = Dequeued::Refuse(flow(11), balancer_ip(1), Refusal::Overloaded);
    assert_eq!(dequeued, Some(refused));
}

/// Flows that leave the queue until `now`, without those that are dropped.
fn dequeued_until(agent: &mut Agent, view: &View, now: u64) -> Vec<Dequeued> {
    let mut dequeued_flows = Vec::new();
    for at in 0..=now {
        while let Some(dequeued) = agent.poll_queue(Some(view), Millis(at)) {
            dequeued_flows.push(dequeued);
        }
    }
    let counts = |r: &Dequeued| matches!(r, Dequeued::Forward(..) | Dequeued::Refuse(..));
    dequeued_flows.into_iter().filter(counts).collect()
}

/// Guards against the reset of a flow that is queued here but open at another
/// server, which got a copy of its opening packet.
#[test]
fn a_flow_that_its_caller_has_opened_no_longer_waits() {
    let view = view(&[1]);
    let mut agent = agent(1);
    fill_server(&mut agent, &view);
    assert_eq!(open_though_busy(&mut agent, &view, 5, 11), Inbound::Queue);
    send_request(&mut agent, &view, 50, 11);
    assert_eq!(dequeued_until(&mut agent, &view, 1000), []);
}

/// Guards against the reset of a flow that the server has answered after an earlier
/// agent process forwarded it, while a copy of its opening packet is queued here.
#[test]
fn a_flow_that_the_server_has_answered_no_longer_waits() {
    let view = view(&[1]);
    let mut agent = agent(1);
    fill_server(&mut agent, &view);
    assert_eq!(open_though_busy(&mut agent, &view, 5, 11), Inbound::Queue);
    send_response(&mut agent, &view, 50, 11);
    assert_eq!(dequeued_until(&mut agent, &view, 1000), []);
    let knowledge = agent.knowledge(Some(&view), Millis(1000), &flow(11));
    assert_eq!(knowledge, Knowledge::Has);
}

#[test]
fn waiting_flows_are_given_up_on_when_the_server_drains() {
    let mut catalog = catalog(&[1]);
    let before = catalog.view(Millis(0)).unwrap();
    let mut agent = agent(1);
    fill_server(&mut agent, &before);
    assert_eq!(open_though_busy(&mut agent, &before, 5, 11), Inbound::Queue);
    let mut draining = server(1, FEEDS);
    draining.state = ServerState::Draining;
    catalog.apply(Millis(6), written(101, Record::Server(id(1), draining)));
    let after = catalog.view(Millis(6)).unwrap();
    send_response(&mut agent, &after, 7, 1);
    let dequeued = agent.poll_queue(Some(&after), Millis(7));
    let refused = Dequeued::Refuse(flow(11), balancer_ip(1), Refusal::Draining);
    assert_eq!(dequeued, Some(refused));
}

#[test]
fn only_so_many_new_flows_wait() {
    let view = view(&[1]);
    let mut agent = agent(1);
    fill_server(&mut agent, &view);
    let mut waits = |port| open_though_busy(&mut agent, &view, 1, port) == Inbound::Queue;
    assert_eq!((100..300).filter(|port| waits(*port)).count(), 64);
}

/// After a power failure, 60 callers reconnect at once; then new ones arrive at
/// half of the server's capacity. Each request takes 40 ms on one of four slots.
#[test]
fn new_callers_are_served_in_time_while_many_callers_reconnect() {
    let view = view(&[1]);
    let mut agent = agent(1);
    let mut running: Vec<(u64, u16)> = Vec::new();
    let mut queued: Vec<u16> = Vec::new();
    let all_reconnecting: Vec<u16> = (1..=60).collect();
    let (mut in_time, mut new_callers) = (0, 0);
    for now in 0..1500_u64 {
        let reconnecting: &[u16] = if now == 0 { &all_reconnecting } else { &[] };
        let new_caller = (now >= 100 && now.is_multiple_of(20)).then_some(1000 + now as u16);
        new_callers += usize::from(new_caller.is_some());
        for port in reconnecting.iter().copied().chain(new_caller) {
            if is_forwarded(open_though_busy(&mut agent, &view, now, port)) {
                send_request(&mut agent, &view, now, port);
                queued.push(port);
            }
        }
        for (_, port) in running.extract_if(.., |(end, _)| *end <= now) {
            send_syn_ack(&mut agent, &view, now, port);
            send_response(&mut agent, &view, now, port);
            let started = u64::from(port.max(1000) - 1000);
            in_time += usize::from(port >= 1000 && now - started <= 120);
        }
        while let Some(dequeued) = agent.poll_queue(Some(&view), Millis(now)) {
            if let Dequeued::Forward(key, _) = dequeued {
                send_request(&mut agent, &view, now, key.caller.port());
                queued.push(key.caller.port());
            }
        }
        while running.len() < 4 && !queued.is_empty() {
            running.push((now + 40, queued.remove(0)));
        }
    }
    // Up to four are still being served at the end.
    assert!(in_time + 4 >= new_callers, "{in_time} of {new_callers}");
}

#[test]
fn a_request_that_is_sent_again_counts_once() {
    let view = view(&[1]);
    let mut agent = agent(1);
    let from = balancer_ip(1);
    let request = segment(flow(1));
    let forward = |agent: &mut Agent, seg| {
        agent.on_balancer_packet(
            Some(&view),
            Millis(1),
            from,
            &forward_frame(1),
            Inquiry::None,
            seg,
        )
    };
    let mut empty = request;
    empty.len = 0;
    open(&mut agent, &view, 0, 1);
    send_syn_ack(&mut agent, &view, 0, 1);
    forward(&mut agent, &empty);
    forward(&mut agent, &request);
    forward(&mut agent, &request);
    assert_eq!(agent.in_progress(), 1);
    send_response(&mut agent, &view, 2, 1);
    forward(&mut agent, &request);
    assert_eq!(
        agent.in_progress(),
        0,
        "a retransmitted request is not counted again"
    );
}

#[test]
fn a_bounced_packet_names_the_balancer_that_sent_it() {
    let view = view(&[1]);
    let mut agent = agent(1);
    let inquiries = [
        (1, Inquiry::Owner),
        (2, Inquiry::OwnerOfCopy),
        (3, Inquiry::None),
    ];
    let marks = inquiries.map(|(last, inquiry)| {
        let inbound = agent.on_balancer_packet(
            Some(&view),
            Millis(0),
            balancer_ip(last),
            &forward_frame(1),
            inquiry,
            &segment(flow(1)),
        );
        match inbound {
            Inbound::Forward { mark, .. } => mark.0,
            other => panic!("{other:?}"),
        }
    });
    let mut bounce = |mark| agent.on_bounce(Some(&view), Millis(1), mark, &segment(flow(1)));
    assert_eq!(bounce(marks[0]), Bounce::Return(balancer_ip(1)));
    assert_eq!(bounce(marks[1]), Bounce::Deny(balancer_ip(2)));
    assert_eq!(bounce(marks[2]), Bounce::Return(balancer_ip(3)));

    let mut restarted = Agent::new(ip(1), FEEDS, 8, 1000, Millis(0));
    let bounced = restarted.on_bounce(Some(&view), Millis(1), marks[0], &segment(flow(1)));
    assert_eq!(
        bounced,
        Bounce::UnknownMark,
        "an earlier process set this mark"
    );
}

#[test]
fn the_owner_says_so_once_the_server_has_answered() {
    let view = view(&[1]);
    let mut agent = agent(1);
    open(&mut agent, &view, 0, 1);
    let mut seg = segment(flow(1));
    seg.syn = true;
    let outbound = agent.on_server_packet(Some(&view), Millis(1), &seg);
    assert_eq!(outbound.notify, Some(balancer_ip(1)));
    assert_eq!(
        agent.on_server_packet(Some(&view), Millis(2), &seg).notify,
        None
    );
    // Another balancer asks for the owner of a flow that the agent knows.
    let inbound = agent.on_balancer_packet(
        Some(&view),
        Millis(3),
        balancer_ip(2),
        &forward_frame(1),
        Inquiry::OwnerOfCopy,
        &segment(flow(1)),
    );
    assert!(matches!(inbound, Inbound::Forward { owned: true, .. }));
}

#[test]
fn only_a_request_that_came_counts_as_unanswered() {
    let view = view(&[1]);
    let mut agent = agent(1);
    // On one flow no request arrives; on the other it is not answered.
    open(&mut agent, &view, 0, 1);
    open(&mut agent, &view, 0, 2);
    send_syn_ack(&mut agent, &view, 1, 1);
    send_syn_ack(&mut agent, &view, 1, 2);
    let from = balancer_ip(1);
    let seg = segment(flow(2));
    agent.on_balancer_packet(
        Some(&view),
        Millis(2),
        from,
        &forward_frame(2),
        Inquiry::None,
        &seg,
    );
    assert!(
        agent
            .take_unanswered_requests(Some(&view), Millis(1900))
            .is_empty()
    );
    let unanswered = agent.take_unanswered_requests(Some(&view), Millis(3000));
    assert_eq!(unanswered.len(), 1);
    assert_eq!(unanswered[0].flow, flow(2));
    assert_eq!(agent.in_progress(), 0, "neither request keeps its slot");
}

#[test]
fn an_agent_denies_unknown_flows_only_if_its_server_started_with_it() {
    let view = view(&[1]);
    let knowledge_of = |agent: &Agent, now| agent.knowledge(Some(&view), Millis(now), &flow(9));
    // The server started at 1 ms.
    let together = Agent::new(ip(1), FEEDS, 1, 400, Millis(0));
    assert_eq!(knowledge_of(&together, 10), Knowledge::HasNot);
    let restarted = Agent::new(ip(1), FEEDS, 1, 2_000, Millis(0));
    assert_eq!(knowledge_of(&restarted, 10), Knowledge::Unsure);
    assert_eq!(knowledge_of(&restarted, 25_000), Knowledge::Unsure);
    // By now every flow has sent a packet, was abandoned by its caller, or has
    // exceeded the idle limit.
    assert_eq!(knowledge_of(&restarted, 25_001), Knowledge::HasNot);
    assert_eq!(
        together.knowledge(None, Millis(10), &flow(9)),
        Knowledge::Unsure,
        "without a view it does not know when its server started"
    );
}

/// View, created at `now`, of a server that started at `born_ms`.
fn view_of_server_started_at(now: u64, born_ms: u64) -> View {
    let mut catalog = catalog(&[]);
    let born = Server {
        born_ms,
        ..server(1, FEEDS)
    };
    catalog.apply(Millis(now), written(101, Record::Server(id(1), born)));
    catalog.view(Millis(now)).unwrap()
}

/// Guards against the denial of open flows by an agent that was restarted after
/// its machine's clock was set back.
#[test]
fn an_agent_whose_clock_is_behind_its_servers_start_denies_no_flow() {
    // The agent starts 3 s after its server, but its clock is 5 s behind.
    let mut agent = Agent::new(ip(1), FEEDS, 1, 8_000, Millis(0));
    let view = view_of_server_started_at(100, 10_000);
    agent.check_clock(&view, Millis(100));
    for now in [100, 6_000, 25_000] {
        let knowledge = agent.knowledge(Some(&view), Millis(now), &flow(9));
        assert_eq!(knowledge, Knowledge::Unsure, "after {now} ms");
    }
    let knowledge = agent.knowledge(Some(&view), Millis(25_001), &flow(9));
    assert_eq!(knowledge, Knowledge::HasNot);
}

/// Guards against the denial of open flows by an agent that, because of a wrong
/// clock, assumes that it started together with its server.
#[test]
fn an_agent_whose_server_sends_on_an_older_flow_denies_no_flow() {
    let view = view(&[1]);
    let mut agent = Agent::new(ip(1), FEEDS, 1, 1, Millis(0));
    let knowledge_of = |agent: &Agent| agent.knowledge(Some(&view), Millis(30), &flow(9));
    assert_eq!(knowledge_of(&agent), Knowledge::HasNot);
    send_request(&mut agent, &view, 10, 8);
    send_response(&mut agent, &view, 20, 8);
    assert_eq!(knowledge_of(&agent), Knowledge::Unsure);
}

/// Guards against an agent that is unsure although it has seen all flows of its
/// server.
#[test]
fn an_agent_that_saw_its_flows_open_or_end_still_denies_others() {
    let view = view(&[1]);
    let mut agent = Agent::new(ip(1), FEEDS, 1, 1, Millis(0));
    open(&mut agent, &view, 0, 8);
    send_syn_ack(&mut agent, &view, 1, 8);
    send_request(&mut agent, &view, 2, 8);
    send_response(&mut agent, &view, 3, 8);
    // On an ended flow, the server acknowledges the caller's FIN once more.
    let acknowledged = Segment {
        len: 0,
        ..segment(flow(7))
    };
    agent.on_server_packet(Some(&view), Millis(4), &acknowledged);
    let knowledge = agent.knowledge(Some(&view), Millis(5), &flow(9));
    assert_eq!(knowledge, Knowledge::HasNot);
}

/// Guards against a slow recovery of the whole fleet after a power failure, which
/// restarts agents and servers together.
#[test]
fn an_agent_denies_unknown_flows_at_once_if_its_server_starts_with_it_or_later() {
    for (now, born_ms) in [(60, 10_050), (300, 9_600), (7_000, 16_990)] {
        let mut agent = Agent::new(ip(1), FEEDS, 1, 10_000, Millis(0));
        agent.check_clock(&view(&[2]), Millis(20));
        let view = view_of_server_started_at(now, born_ms);
        agent.check_clock(&view, Millis(now));
        let knowledge = agent.knowledge(Some(&view), Millis(now), &flow(9));
        assert_eq!(knowledge, Knowledge::HasNot, "started at {born_ms}");
    }
}

/// Guards against the denial of a flow whose caller sends again after a pause, but
/// whose packets are lost in a network partition while the agent restarts.
#[test]
fn a_flow_in_use_may_be_silent_for_longer_than_the_idle_limit() {
    let view = view(&[1]);
    let agent = Agent::new(ip(1), FEEDS, 1, 2_000, Millis(0));
    // The caller pauses for 14 s, then its packets are lost for 5 s.
    let knowledge = agent.knowledge(Some(&view), Millis(19_000), &flow(9));
    assert_eq!(knowledge, Knowledge::Unsure);
}

/// Guards against the denial of flows whose packets were lost while a restarted
/// agent was frozen.
#[test]
fn time_that_a_restarted_agent_was_frozen_does_not_count() {
    let view = view(&[1]);
    let mut agent = Agent::new(ip(1), FEEDS, 1, 2_000, Millis(0));
    let mut run = |from: u64, to: u64| {
        for now in (from..=to).step_by(100) {
            agent.tick(Some(&view), Millis(now));
        }
        agent.knowledge(Some(&view), Millis(to), &flow(9))
    };
    assert_eq!(run(0, 1_000), Knowledge::Unsure);
    assert_eq!(run(25_100, 30_100), Knowledge::Unsure, "frozen for 24 s");
    assert_eq!(run(30_200, 50_100), Knowledge::Unsure);
    assert_eq!(run(50_200, 50_200), Knowledge::HasNot);
    assert_eq!(
        run(60_000, 60_000),
        Knowledge::HasNot,
        "it knew all flows before"
    );
}

#[test]
fn an_agent_knows_the_flows_that_its_server_has_answered() {
    let view = view(&[1]);
    let mut agent = Agent::new(ip(1), FEEDS, 1, 1, Millis(0));
    open(&mut agent, &view, 0, 9);
    let knowledge_of = |agent: &Agent| agent.knowledge(Some(&view), Millis(5), &flow(9));
    assert_eq!(
        knowledge_of(&agent),
        Knowledge::Unsure,
        "the server has not answered the opening"
    );
    send_syn_ack(&mut agent, &view, 1, 9);
    assert_eq!(
        knowledge_of(&agent),
        Knowledge::Unsure,
        "another server may have answered too"
    );
    send_request(&mut agent, &view, 2, 9);
    assert_eq!(
        knowledge_of(&agent),
        Knowledge::Has,
        "the caller accepted its SYN-ACK"
    );
    agent.on_bounce(Some(&view), Millis(2), 0, &segment(flow(9)));
    assert_eq!(
        knowledge_of(&agent),
        Knowledge::HasNot,
        "its server has lost it"
    );
}

/// Guards against an agent that claims a flow which another server answered too,
/// and whose caller accepted the other SYN-ACK.
#[test]
fn a_server_whose_answer_the_caller_did_not_take_is_not_the_owner() {
    let view = view(&[1]);
    let mut agent = Agent::new(ip(1), FEEDS, 1, 1, Millis(0));
    open(&mut agent, &view, 0, 9);
    send_syn_ack(&mut agent, &view, 1, 9);
    let elsewhere = Segment {
        ack: 0x9000_0000,
        ..segment(flow(9))
    };
    let from = balancer_ip(2);
    let inquiry = Inquiry::OwnerOfCopy;
    let inbound = agent.on_balancer_packet(
        Some(&view),
        Millis(2),
        from,
        &forward_frame(9),
        inquiry,
        &elsewhere,
    );
    assert!(matches!(inbound, Inbound::Forward { owned: false, .. }));
    let knowledge = agent.knowledge(Some(&view), Millis(2), &flow(9));
    assert_eq!(knowledge, Knowledge::Unsure);
}

/// Guards against a denial that a balancer remembers, while the queued opening
/// packet goes to the server later.
#[test]
fn a_flow_whose_opening_waits_is_not_denied() {
    let view = view(&[1]);
    let mut agent = Agent::new(ip(1), FEEDS, 1, 1, Millis(0));
    fill_server(&mut agent, &view);
    assert_eq!(open_though_busy(&mut agent, &view, 5, 11), Inbound::Queue);
    let knowledge = agent.knowledge(Some(&view), Millis(6), &flow(11));
    assert_eq!(knowledge, Knowledge::Unsure);
}

/// Guards against a claim or a denial by an agent that got a packet although its
/// balancer did not know the owner, and whose server has not reacted to it.
#[test]
fn a_packet_that_the_server_does_not_react_to_leaves_the_agent_unsure() {
    let view = view(&[1]);
    let mut agent = Agent::new(ip(1), FEEDS, 1, 1, Millis(0));
    open(&mut agent, &view, 0, 8);
    send_request(&mut agent, &view, 0, 9);
    // The server answers after a long silence.
    send_syn_ack(&mut agent, &view, 900, 8);
    for now in [1_000, 15_000, 29_000] {
        agent.take_unanswered_requests(Some(&view), Millis(now));
        let knowledge = agent.knowledge(Some(&view), Millis(now), &flow(9));
        assert_eq!(knowledge, Knowledge::Unsure, "after {now} ms");
    }
}

/// Guards against an agent that is unsure about a flow until the server's next
/// packet, which may come late.
#[test]
fn a_packet_that_acknowledges_the_servers_answer_is_owned_at_once() {
    let view = view(&[1]);
    let mut agent = agent(1);
    open(&mut agent, &view, 0, 9);
    send_syn_ack(&mut agent, &view, 1, 9);
    let from = balancer_ip(2);
    let inquiry = Inquiry::OwnerOfCopy;
    let request = segment(flow(9));
    let inbound = agent.on_balancer_packet(
        Some(&view),
        Millis(2),
        from,
        &forward_frame(9),
        inquiry,
        &request,
    );
    assert!(matches!(inbound, Inbound::Forward { owned: true, .. }));
}

/// Guards against a claim for a server that only retransmits its SYN-ACK, while the
/// flow is open at another server.
#[test]
fn a_repeated_answer_to_the_opening_tells_nobody_who_asked_later() {
    let view = view(&[1]);
    let mut agent = agent(1);
    let from = balancer_ip(2);
    let inquiry = Inquiry::OwnerOfCopy;
    let request = segment(flow(9));
    agent.on_balancer_packet(
        Some(&view),
        Millis(1),
        from,
        &forward_frame(9),
        inquiry,
        &request,
    );
    let answer = Segment {
        syn: true,
        len: 0,
        ..request
    };
    let outbound = agent.on_server_packet(Some(&view), Millis(2), &answer);
    assert_eq!(outbound.notify, None);
    let outbound = agent.on_server_packet(Some(&view), Millis(3), &request);
    assert_eq!(outbound.notify, Some(from));
}

/// Guards against the denial of an open flow whose server bounced a copy of its
/// opening packet.
#[test]
fn a_bounced_copy_of_the_opening_says_nothing_of_an_open_flow() {
    let view = view(&[1]);
    let mut agent = Agent::new(ip(1), FEEDS, 1, 1, Millis(0));
    open(&mut agent, &view, 0, 9);
    let copy = opening(flow(9), 200);
    send_syn_ack(&mut agent, &view, 1, 9);
    send_request(&mut agent, &view, 2, 9);
    agent.on_bounce(Some(&view), Millis(200), 0, &copy);
    let knowledge = agent.knowledge(Some(&view), Millis(201), &flow(9));
    assert_eq!(knowledge, Knowledge::Has);
}

#[test]
fn an_opening_that_the_server_did_not_take_leaves_no_flow() {
    let view = view(&[1]);
    let mut agent = Agent::new(ip(1), FEEDS, 1, 1, Millis(0));
    open(&mut agent, &view, 0, 9);
    agent.on_bounce(Some(&view), Millis(1), 0, &opening(flow(9), 0));
    let knowledge = agent.knowledge(Some(&view), Millis(2), &flow(9));
    assert_eq!(knowledge, Knowledge::HasNot);
    assert_eq!(agent.in_progress(), 0);
}

/// Guards against the denial of idle flows, where the idle limit exceeds the time
/// for which an agent keeps a flow by default.
#[test]
fn a_flow_is_remembered_for_as_long_as_it_may_be_idle() {
    let mut catalog = catalog(&[1]);
    let longer_idle_limit = Configuration {
        idle_limit: Duration::from_secs(60),
        ..configuration(2)
    };
    catalog.apply(
        Millis(1),
        written(101, Record::Configuration(longer_idle_limit)),
    );
    let view = catalog.view(Millis(1)).unwrap();
    let mut agent = Agent::new(ip(1), FEEDS, 1, 1, Millis(0));
    send_response(&mut agent, &view, 0, 9);
    for now in [31_000, 59_000, 60_000] {
        agent.take_unanswered_requests(Some(&view), Millis(now));
        let knowledge = agent.knowledge(Some(&view), Millis(now), &flow(9));
        assert_eq!(knowledge, Knowledge::Has, "after {now} ms");
    }
    agent.take_unanswered_requests(Some(&view), Millis(100_000));
    let knowledge = agent.knowledge(Some(&view), Millis(100_000), &flow(9));
    assert_eq!(knowledge, Knowledge::HasNot);
}

#[test]
fn a_flood_of_unknown_flows_makes_no_server_full() {
    let view = view(&[1]);
    let mut agent = agent(1);
    for port in 2000..3500 {
        // The server may bounce only some of them, as it is flooded as well.
        send_request(&mut agent, &view, 0, port);
    }
    assert_eq!(agent.in_progress(), 0);
    assert!(is_forwarded(open(&mut agent, &view, 1, 1)));
}

#[test]
fn the_request_of_a_queued_flow_counts_whatever_its_sequence_numbers() {
    let view = view(&[1]);
    let mut agent = agent(1);
    fill_server(&mut agent, &view);
    let from = balancer_ip(1);
    let high = Segment {
        seq: 0xf000_0000,
        ..opening(flow(11), 0)
    };
    let inquiry = Inquiry::OwnerEvenIfBusy;
    let inbound = agent.on_balancer_packet(
        Some(&view),
        Millis(1),
        from,
        &forward_frame(11),
        inquiry,
        &high,
    );
    assert_eq!(inbound, Inbound::Queue);
    send_response(&mut agent, &view, 2, 1);
    assert!(agent.poll_queue(Some(&view), Millis(2)).is_some());
    send_syn_ack(&mut agent, &view, 3, 11);
    let request = Segment {
        seq: 0xf000_0001,
        ..segment(flow(11))
    };
    agent.on_balancer_packet(
        Some(&view),
        Millis(4),
        from,
        &forward_frame(11),
        Inquiry::None,
        &request,
    );
    // The slot is now occupied by the request itself, no longer reserved for an
    // expected one, so it does not expire.
    agent.poll_queue(Some(&view), Millis(200));
    assert_eq!(agent.in_progress(), 6);
}

// Guards against a restarted balancer that assumes a flow has no owner because the
// server's record is missing: only heartbeats tell it that the server is running.
#[test]
fn an_agent_whose_server_is_not_listed_sends_heartbeats() {
    let mut agent = Agent::new(ip(1), FEEDS, 1, 1, Millis(0));
    let listed = view(&[1, 2]);
    let forwarded = frame(FrameKind::Forward(Inquiry::Owner), flow(1));
    let from = balancer_ip(1);
    agent.on_balancer_packet(
        Some(&listed),
        Millis(1),
        from,
        &forwarded,
        Inquiry::Owner,
        &opening(flow(1), 0),
    );
    assert!(agent.due_heartbeats(Some(&listed), Millis(1000)).is_empty());
    let unlisted = view(&[2]);
    assert_eq!(agent.due_heartbeats(Some(&unlisted), Millis(1001)), [from]);
    assert!(
        agent
            .due_heartbeats(Some(&unlisted), Millis(1100))
            .is_empty()
    );
    assert_eq!(agent.due_heartbeats(Some(&unlisted), Millis(1300)), [from]);
    let late = "balancers may learn later that it is listed again";
    assert_eq!(
        agent.due_heartbeats(Some(&listed), Millis(2300)),
        [from],
        "{late}"
    );
    assert!(agent.due_heartbeats(Some(&listed), Millis(4000)).is_empty());
    agent.begin_shutdown(Millis(0));
    assert!(
        agent
            .due_heartbeats(Some(&unlisted), Millis(5000))
            .is_empty()
    );
}

// Guards against a reset of a flow at a server that was added a moment ago: neither the
// balancer that searches nor any agent that it asks has its record yet, but another
// balancer has, and has sent the agents packets.
#[test]
fn an_agent_reports_a_revision_that_it_has_only_heard_of() {
    let view = view(&[1, 2]);
    let mut agent = agent(1);
    assert_eq!(agent.newest_revision(Some(&view)), Revision(100));
    agent.note_revision(Revision(101));
    agent.note_revision(Revision(99));
    assert_eq!(agent.newest_revision(Some(&view)), Revision(101));
}

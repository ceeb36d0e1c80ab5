//! An agent whose server has ended: it knows so, and says so.

use ramp_coordination::passthrough::agent::Agent;
use ramp_coordination::passthrough::agent::Bounce;
use ramp_coordination::passthrough::agent::ConnectResult;
use ramp_coordination::passthrough::agent::Dequeued;
use ramp_coordination::passthrough::agent::Inbound;
use ramp_coordination::passthrough::agent::LostFlow;
use ramp_coordination::passthrough::balancer::Action;
use ramp_coordination::passthrough::balancer::ResetReason;
use ramp_coordination::passthrough::view::View;
use ramp_protocol::hop::FrameKind;
use ramp_protocol::hop::Inquiry;
use ramp_protocol::hop::Knowledge;
use ramp_protocol::hop::Refusal;
use ramp_protocol::packet::Segment;
use ramp_state::time::Millis;

use crate::fixture::*;

/// Start of a server that is much older than its agent.
const OLD_AGENT_MS: u64 = 1_000_000;

fn agent() -> Agent {
    Agent::new(ip(1), FEEDS, 7, OLD_AGENT_MS, Millis(0))
}

fn arrive(agent: &mut Agent, view: &View, now: u64, inquiry: Inquiry, seg: &Segment) -> Inbound {
    let carry = frame(FrameKind::Carry(inquiry), seg.key);
    agent.on_balancer_packet(
        Some(view),
        Millis(now),
        balancer_ip(1),
        &carry,
        inquiry,
        seg,
    )
}

/// Opens a flow whose caller has taken the server's answer.
fn open(agent: &mut Agent, view: &View, now: u64, port: u16) {
    arrive(agent, view, now, Inquiry::Owner, &opening(flow(port), 0));
    let answer = Segment {
        seq: 4000,
        syn: true,
        len: 0,
        ..segment(flow(port))
    };
    agent.on_server_packet(Some(view), Millis(now), &answer);
    arrive(agent, view, now, Inquiry::None, &segment(flow(port)));
    agent.on_server_packet(Some(view), Millis(now), &segment(flow(port)));
}

fn view_without_1() -> View {
    view(&[2])
}

/// Tries until the agent is sure; gives when, and what was lost.
fn tried_until_absent(agent: &mut Agent, view: &View, from: u64) -> (u64, Vec<LostFlow>) {
    for now in from..from + 5000 {
        if agent.connect_check_due(Some(view), Millis(now)) {
            let lost = agent.record_connect_check(Some(view), Millis(now), ConnectResult::Refused);
            if agent.is_server_absent() {
                return (now - from, lost);
            }
        }
    }
    panic!("it never finds out");
}

// Guards against callers that wait for a server that has ended until its record
// lapses, seconds later.
#[test]
fn a_server_that_has_ended_is_found_out_by_a_packet_that_it_does_not_answer() {
    let view = view(&[1, 2]);
    let mut agent = agent();
    open(&mut agent, &view, 0, 1);
    arrive(&mut agent, &view, 1000, Inquiry::None, &segment(flow(1)));
    let (took_ms, lost) = tried_until_absent(&mut agent, &view, 1000);
    assert!((1000..=1100).contains(&took_ms), "{took_ms} ms");
    let expected = LostFlow {
        flow: flow(1),
        seq: segment(flow(1)).ack,
    };
    assert_eq!(lost, [expected], "its callers are told at once");
}

#[test]
fn a_server_that_is_listed_and_answers_is_not_tried() {
    let view = view(&[1]);
    let mut agent = agent();
    open(&mut agent, &view, 0, 1);
    let ack = Segment {
        len: 0,
        ..segment(flow(1))
    };
    // A bare acknowledgement is not answered.
    arrive(&mut agent, &view, 10, Inquiry::None, &ack);
    let tried = (10..5000).any(|now| agent.connect_check_due(Some(&view), Millis(now)));
    assert!(!tried);
}

#[test]
fn one_refusal_or_a_silent_machine_proves_nothing() {
    let view = view(&[2]);
    let mut agent = agent();
    for reached in [
        ConnectResult::Refused,
        ConnectResult::NotRefused,
        ConnectResult::Refused,
    ] {
        agent.record_connect_check(Some(&view), Millis(0), reached);
        assert!(!agent.is_server_absent(), "{reached:?}");
    }
    let known = agent.knowledge(Some(&view), Millis(0), &flow(1));
    assert_eq!(known, Knowledge::Unsure);
}

// Guards against resets of sound flows: the record has lapsed, and the server
// refuses to tell its health, or its connections.
#[test]
fn a_server_that_refuses_and_serves_is_not_absent() {
    let view = view_without_1();
    let mut agent = agent();
    open(&mut agent, &view, 0, 1);
    for now in 0..5000 {
        if now % 900 == 0 {
            agent.on_server_packet(Some(&view), Millis(now), &segment(flow(1)));
        }
        if agent.connect_check_due(Some(&view), Millis(now)) {
            agent.record_connect_check(Some(&view), Millis(now), ConnectResult::Refused);
        }
        assert!(!agent.is_server_absent(), "at {now} ms");
    }
}

// Guards against an agent that is not sure while the ended server's machine goes
// on bouncing packets.
#[test]
fn bounces_are_no_sign_of_flows() {
    let view = view_without_1();
    let mut agent = agent();
    let seg = segment(flow(5));
    for now in 0..1000 {
        let inbound = arrive(&mut agent, &view, now, Inquiry::Owner, &seg);
        if let Inbound::Forward { mark, .. } = inbound {
            agent.on_bounce(Some(&view), Millis(now), mark.0, &seg);
        }
        if agent.connect_check_due(Some(&view), Millis(now)) {
            agent.record_connect_check(Some(&view), Millis(now), ConnectResult::Refused);
        }
    }
    assert!(agent.is_server_absent());
}

// Guards against searches that wait for an agent whose server did not come back
// after a loss of power: it was restarted, so it could not tell.
#[test]
fn an_agent_without_a_server_denies_flows_and_takes_no_new_ones() {
    let view = view(&[2]);
    let mut agent = agent();
    let (took_ms, _) = tried_until_absent(&mut agent, &view, 0);
    assert!(took_ms <= 100, "{took_ms} ms");
    let known = agent.knowledge(Some(&view), Millis(100), &flow(1));
    assert_eq!(known, Knowledge::HasNot);
    let seg = segment(flow(1));
    let inbound = arrive(&mut agent, &view, 100, Inquiry::Owner, &seg);
    assert_eq!(inbound, Inbound::Refuse(Refusal::Bounced));
    let inbound = arrive(&mut agent, &view, 100, Inquiry::Owner, &opening(flow(2), 0));
    assert_eq!(inbound, Inbound::Refuse(Refusal::Silent));
}

#[test]
fn a_server_that_is_there_again_gets_flows_at_once() {
    let mut agent = agent();
    tried_until_absent(&mut agent, &view(&[2]), 0);
    let view = view(&[1]);
    agent.record_connect_check(Some(&view), Millis(90), ConnectResult::NotRefused);
    let inbound = arrive(&mut agent, &view, 100, Inquiry::Owner, &opening(flow(2), 0));
    assert!(matches!(inbound, Inbound::Forward { .. }), "{inbound:?}");
}

// Guards against new flows that wait beside a server that has ended, and are then
// reset though others have room.
#[test]
fn flows_that_wait_for_a_server_that_has_ended_go_elsewhere() {
    let view = view(&[1]);
    let unlisted = view_without_1();
    let mut agent = agent();
    for port in 1..=6 {
        arrive(
            &mut agent,
            &view,
            0,
            Inquiry::Owner,
            &opening(flow(port), 0),
        );
    }
    let syn = opening(flow(9), 0);
    let waits = arrive(&mut agent, &view, 1, Inquiry::OwnerThoughBusy, &syn);
    assert_eq!(waits, Inbound::Queue);
    tried_until_absent(&mut agent, &unlisted, 200);
    let release = agent.poll_queue(Some(&view), Millis(790));
    let refused = Dequeued::Refuse(flow(9), balancer_ip(1), Refusal::Silent);
    assert_eq!(release, Some(refused));
}

// Guards against questions to the whole fleet about a flow whose own server has
// restarted: nobody else can have it.
#[test]
fn a_flow_that_its_server_has_lost_is_reset_without_a_question() {
    let view = view(&[1, 2]);
    let mut agent = agent();
    open(&mut agent, &view, 0, 1);
    let seg = segment(flow(1));
    let Inbound::Forward { mark, .. } = arrive(&mut agent, &view, 1000, Inquiry::None, &seg) else {
        panic!("it goes to the server");
    };
    let bounce = agent.on_bounce(Some(&view), Millis(1001), mark.0, &seg);
    assert_eq!(bounce, Bounce::Lost(balancer_ip(1)));
    let mut balancer = balancer_beside(1..=2);
    balancer.on_packet(&view, Millis(1000), &seg);
    let told = frame(FrameKind::Returned(Refusal::Lost), flow(1));
    let step = balancer.on_returned(&view, Millis(1002), ip(1), Refusal::Lost, &told, &seg);
    assert!(
        matches!(step, Action::Reset(reset) if reset.reason == ResetReason::Lost),
        "{step:?}"
    );
}

/// A balancer whose search has been denied by all but the agent 3, which is not
/// listed.
fn search_that_waits_for_3(last_word: FrameKind) -> Action {
    let view = view(&[1, 2]);
    let mut balancer = balancer_beside(1..=3);
    balancer.on_heartbeat(Millis(4900), ip(3), &frame(FrameKind::Present, flow(9)));
    balancer.on_agent_gone(Millis(5000), ip(3), &frame(last_word, flow(9)));
    let seg = segment(flow(7));
    balancer.on_packet(&view, Millis(5100), &seg);
    let told = frame(FrameKind::Returned(Refusal::Bounced), flow(7));
    balancer.on_returned(&view, Millis(5101), ip(1), Refusal::Bounced, &told, &seg);
    let denied = frame(FrameKind::Denied, flow(7));
    balancer.on_denied(&view, Millis(5102), ip(2), &denied)
}

// Guards against searches that wait for 3 s after the last word of an agent that
// ended with its server.
#[test]
fn an_agent_that_ended_after_its_server_holds_up_no_reset() {
    let step = search_that_waits_for_3(FrameKind::Gone);
    assert!(matches!(step, Action::Reset(_)), "{step:?}");
    let step = search_that_waits_for_3(FrameKind::Present);
    assert!(!matches!(step, Action::Reset(_)), "{step:?}");
}

#[test]
fn an_agent_says_that_it_is_gone_only_without_a_server() {
    let view = view(&[2]);
    let mut agent = agent();
    agent.note_balancer(balancer_ip(4));
    agent.begin_shutdown();
    assert!(agent.shutdown_notice_recipients().is_empty());
    tried_until_absent(&mut agent, &view, 0);
    assert_eq!(agent.shutdown_notice_recipients(), [balancer_ip(4)]);
}

// Its record may be missing, and come back.
#[test]
fn an_agent_that_was_gone_and_is_heard_again_is_asked_again() {
    let view = view(&[1]);
    let mut balancer = balancer_beside([1, 3]);
    balancer.on_agent_gone(Millis(0), ip(3), &frame(FrameKind::Gone, flow(9)));
    balancer.on_heartbeat(Millis(100), ip(3), &frame(FrameKind::Present, flow(9)));
    let seg = segment(flow(7));
    balancer.on_packet(&view, Millis(200), &seg);
    let told = frame(FrameKind::Returned(Refusal::Bounced), flow(7));
    let step = balancer.on_returned(&view, Millis(201), ip(1), Refusal::Bounced, &told, &seg);
    assert!(!matches!(step, Action::Reset(_)), "{step:?}");
}

//! Agents whose backend server has ended: they detect it by refused connections,
//! reset its flows, refuse new ones, and tell balancers as they exit.

use ramp_coordination::passthrough::agent::Agent;
use ramp_coordination::passthrough::agent::Bounce;
use ramp_coordination::passthrough::agent::ConnectResult;
use ramp_coordination::passthrough::agent::Dequeued;
use ramp_coordination::passthrough::agent::Inbound;
use ramp_coordination::passthrough::agent::LostFlow;
use ramp_coordination::passthrough::balancer::Action;
use ramp_coordination::passthrough::balancer::ResetReason;
use ramp_coordination::passthrough::view::View;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::Inquiry;
use ramp_protocol::frame::Knowledge;
use ramp_protocol::frame::Refusal;
use ramp_protocol::packet::Segment;
use ramp_state::time::Millis;

use crate::fixture::*;

/// Start of an agent that is much younger than its server, in Unix milliseconds.
const AGENT_STARTED_MS: u64 = 1_000_000;

fn agent() -> Agent {
    Agent::new(ip(1), FEEDS, 7, AGENT_STARTED_MS, Millis(0))
}

fn forward(agent: &mut Agent, view: &View, now: u64, inquiry: Inquiry, seg: &Segment) -> Inbound {
    let forward_frame = frame(FrameKind::Forward(inquiry), seg.key);
    agent.on_balancer_packet(
        Some(view),
        Millis(now),
        balancer_ip(1),
        &forward_frame,
        inquiry,
        seg,
    )
}

/// Opens a flow whose caller accepts the server's SYN-ACK, and serves one request
/// on it.
fn open(agent: &mut Agent, view: &View, now: u64, port: u16) {
    forward(agent, view, now, Inquiry::Owner, &opening(flow(port), 0));
    let answer = Segment {
        seq: 4000,
        syn: true,
        len: 0,
        ..segment(flow(port))
    };
    agent.on_server_packet(Some(view), Millis(now), &answer);
    forward(agent, view, now, Inquiry::None, &segment(flow(port)));
    agent.on_server_packet(Some(view), Millis(now), &segment(flow(port)));
}

fn view_without_1() -> View {
    view(&[2])
}

/// Reports refused connections until the agent counts the server as ended; returns
/// the milliseconds that it took, and the lost flows.
fn refuse_until_absent(agent: &mut Agent, view: &View, from: u64) -> (u64, Vec<LostFlow>) {
    for now in from..from + 5000 {
        if agent.connect_check_due(Some(view), Millis(now)) {
            let lost = agent.record_connect_check(Some(view), Millis(now), ConnectResult::Refused);
            if agent.is_server_absent() {
                return (now - from, lost);
            }
        }
    }
    panic!("the agent never counts its server as ended");
}

// Guards against callers that wait for an ended server until its record's lease
// expires, seconds later.
#[test]
fn a_server_that_has_ended_is_found_out_by_a_packet_that_it_does_not_answer() {
    let view = view(&[1, 2]);
    let mut agent = agent();
    open(&mut agent, &view, 0, 1);
    forward(&mut agent, &view, 1000, Inquiry::None, &segment(flow(1)));
    let (took_ms, lost) = refuse_until_absent(&mut agent, &view, 1000);
    assert!((1000..=1100).contains(&took_ms), "{took_ms} ms");
    let expected = LostFlow {
        flow: flow(1),
        seq: segment(flow(1)).ack,
    };
    assert_eq!(lost, [expected], "its callers are reset at once");
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
    // A bare acknowledgement gets no reply.
    forward(&mut agent, &view, 10, Inquiry::None, &ack);
    let checked = (10..5000).any(|now| agent.connect_check_due(Some(&view), Millis(now)));
    assert!(!checked);
}

#[test]
fn one_refusal_or_a_silent_machine_proves_nothing() {
    let view = view(&[2]);
    let mut agent = agent();
    for result in [
        ConnectResult::Refused,
        ConnectResult::NotRefused,
        ConnectResult::Refused,
    ] {
        agent.record_connect_check(Some(&view), Millis(0), result);
        assert!(!agent.is_server_absent(), "{result:?}");
    }
    let known = agent.knowledge(Some(&view), Millis(0), &flow(1));
    assert_eq!(known, Knowledge::Unsure);
}

// Guards against resets of open flows: the server's record has lapsed, and it
// refuses health checks or new connections, but still serves its flows.
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

// Guards against an agent that does not detect the end of its server, because the
// server's machine still bounces packets.
#[test]
fn bounces_are_no_sign_of_flows() {
    let view = view_without_1();
    let mut agent = agent();
    let seg = segment(flow(5));
    for now in 0..1000 {
        let inbound = forward(&mut agent, &view, now, Inquiry::Owner, &seg);
        if let Inbound::Forward { mark, .. } = inbound {
            agent.on_bounce(Some(&view), Millis(now), mark.0, &seg);
        }
        if agent.connect_check_due(Some(&view), Millis(now)) {
            agent.record_connect_check(Some(&view), Millis(now), ConnectResult::Refused);
        }
    }
    assert!(agent.is_server_absent());
}

// Guards against owner searches that wait for an agent whose server did not come
// back after a power failure: the agent had restarted too, so it could not tell
// which flows the server had.
#[test]
fn an_agent_without_a_server_denies_flows_and_takes_no_new_ones() {
    let view = view(&[2]);
    let mut agent = agent();
    let (took_ms, _) = refuse_until_absent(&mut agent, &view, 0);
    assert!(took_ms <= 100, "{took_ms} ms");
    let known = agent.knowledge(Some(&view), Millis(100), &flow(1));
    assert_eq!(known, Knowledge::HasNot);
    let seg = segment(flow(1));
    let inbound = forward(&mut agent, &view, 100, Inquiry::Owner, &seg);
    assert_eq!(inbound, Inbound::Refuse(Refusal::Bounced));
    let inbound = forward(&mut agent, &view, 100, Inquiry::Owner, &opening(flow(2), 0));
    assert_eq!(inbound, Inbound::Refuse(Refusal::Silent));
}

#[test]
fn a_server_that_is_there_again_gets_flows_at_once() {
    let mut agent = agent();
    refuse_until_absent(&mut agent, &view(&[2]), 0);
    let view = view(&[1]);
    agent.record_connect_check(Some(&view), Millis(90), ConnectResult::NotRefused);
    let inbound = forward(&mut agent, &view, 100, Inquiry::Owner, &opening(flow(2), 0));
    assert!(matches!(inbound, Inbound::Forward { .. }), "{inbound:?}");
}

// Guards against new flows that stay in the queue of an ended server, and are
// then reset although other servers have free slots.
#[test]
fn flows_that_wait_for_a_server_that_has_ended_go_elsewhere() {
    let view = view(&[1]);
    let unlisted = view_without_1();
    let mut agent = agent();
    for port in 1..=6 {
        forward(
            &mut agent,
            &view,
            0,
            Inquiry::Owner,
            &opening(flow(port), 0),
        );
    }
    let syn = opening(flow(9), 0);
    let inbound = forward(&mut agent, &view, 1, Inquiry::OwnerEvenIfBusy, &syn);
    assert_eq!(inbound, Inbound::Queue);
    refuse_until_absent(&mut agent, &unlisted, 200);
    let dequeued = agent.poll_queue(Some(&view), Millis(790));
    let refused = Dequeued::Refuse(flow(9), balancer_ip(1), Refusal::Silent);
    assert_eq!(dequeued, Some(refused));
}

// Guards against owner queries to the whole fleet about a flow whose server has
// restarted: no other server can have it.
#[test]
fn a_flow_that_its_server_has_lost_is_reset_without_a_question() {
    let view = view(&[1, 2]);
    let mut agent = agent();
    open(&mut agent, &view, 0, 1);
    let seg = segment(flow(1));
    let Inbound::Forward { mark, .. } = forward(&mut agent, &view, 1000, Inquiry::None, &seg)
    else {
        panic!("the packet is not forwarded to the server");
    };
    let bounce = agent.on_bounce(Some(&view), Millis(1001), mark.0, &seg);
    assert_eq!(bounce, Bounce::Lost(balancer_ip(1)));
    let mut balancer = balancer_beside(1..=2);
    balancer.on_packet(&view, Millis(1000), &seg);
    let returned = frame(FrameKind::Returned(Refusal::Lost), flow(1));
    let action = balancer.on_returned(&view, Millis(1002), ip(1), Refusal::Lost, &returned, &seg);
    assert!(
        matches!(action, Action::Reset(reset) if reset.reason == ResetReason::Lost),
        "{action:?}"
    );
}

/// Result of an owner search in which all agents have denied the flow but agent 3,
/// which is not listed and has sent `last_frame`.
fn search_without_answer_of_3(last_frame: FrameKind) -> Action {
    let view = view(&[1, 2]);
    let mut balancer = balancer_beside(1..=3);
    balancer.on_heartbeat(Millis(4900), ip(3), &frame(FrameKind::Heartbeat, flow(9)));
    balancer.on_agent_gone(Millis(5000), ip(3), &frame(last_frame, flow(9)));
    let seg = segment(flow(7));
    balancer.on_packet(&view, Millis(5100), &seg);
    let returned = frame(FrameKind::Returned(Refusal::Bounced), flow(7));
    balancer.on_returned(
        &view,
        Millis(5101),
        ip(1),
        Refusal::Bounced,
        &returned,
        &seg,
    );
    let denied = frame(FrameKind::Denied, flow(7));
    balancer.on_denied(&view, Millis(5102), ip(2), &denied)
}

// Guards against owner searches that wait 3 s for an agent that has told the
// balancer that it exits and that no server is left.
#[test]
fn an_agent_that_ended_after_its_server_holds_up_no_reset() {
    let action = search_without_answer_of_3(FrameKind::Shutdown);
    assert!(matches!(action, Action::Reset(_)), "{action:?}");
    let action = search_without_answer_of_3(FrameKind::Heartbeat);
    assert!(!matches!(action, Action::Reset(_)), "{action:?}");
}

#[test]
fn an_agent_says_that_it_is_gone_only_without_a_server() {
    let view = view(&[2]);
    let mut agent = agent();
    agent.note_balancer(balancer_ip(4));
    agent.begin_shutdown(Millis(2000));
    assert!(agent.shutdown_notice_recipients().is_empty());
    refuse_until_absent(&mut agent, &view, 0);
    assert_eq!(agent.shutdown_notice_recipients(), [balancer_ip(4)]);
}

// Guards against resets by a balancer that leaves out an agent that is back: the
// server's record may be missing for a while.
#[test]
fn an_agent_that_was_gone_and_is_heard_again_is_asked_again() {
    let view = view(&[1]);
    let mut balancer = balancer_beside([1, 3]);
    balancer.on_agent_gone(Millis(0), ip(3), &frame(FrameKind::Shutdown, flow(9)));
    balancer.on_heartbeat(Millis(100), ip(3), &frame(FrameKind::Heartbeat, flow(9)));
    let seg = segment(flow(7));
    balancer.on_packet(&view, Millis(200), &seg);
    let returned = frame(FrameKind::Returned(Refusal::Bounced), flow(7));
    let action = balancer.on_returned(&view, Millis(201), ip(1), Refusal::Bounced, &returned, &seg);
    assert!(!matches!(action, Action::Reset(_)), "{action:?}");
}

/// Asks the agent to exit at 150 ms, with the same result of all connect checks; returns
/// when it does, in milliseconds.
fn stop(agent: &mut Agent, view: &View, result: ConnectResult) -> Option<u64> {
    agent.begin_shutdown(Millis(150));
    (150..3000).find(|now| {
        if agent.connect_check_due(Some(view), Millis(*now)) {
            agent.record_connect_check(Some(view), Millis(*now), result);
        }
        agent.may_exit(Millis(*now))
    })
}

// Guards against callers of lost flows that wait for seconds for the agent of a server
// that was stopped together with it, as when servers are replaced one after the other:
// the agent exited after 100 ms, so balancers expected it back.
#[test]
fn an_agent_that_is_stopped_with_its_server_exits_with_the_proof_that_it_has_ended() {
    let mut agent = agent();
    open(&mut agent, &view_without_1(), 0, 1);
    forward(
        &mut agent,
        &view_without_1(),
        100,
        Inquiry::None,
        &segment(flow(1)),
    );
    agent.on_server_packet(Some(&view_without_1()), Millis(100), &segment(flow(1)));
    let exited_at = stop(&mut agent, &view_without_1(), ConnectResult::Refused);
    assert!(exited_at.is_some_and(|at| at <= 1250), "{exited_at:?}");
    assert_eq!(agent.shutdown_notice_recipients(), [balancer_ip(1)]);
}

// Guards against restarts of agents that take longer than needed: a server that takes
// connections goes on without its agent.
#[test]
fn an_agent_that_is_stopped_beside_a_running_server_exits_at_once() {
    let mut agent = agent();
    let exited_at = stop(&mut agent, &view(&[1]), ConnectResult::NotRefused);
    assert_eq!(exited_at, Some(250));
    assert!(agent.shutdown_notice_recipients().is_empty());
}

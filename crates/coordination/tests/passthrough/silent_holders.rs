//! Tests of searches after a power failure, when records of servers that no longer run
//! have just been removed and their agents answer nothing.

use std::net::Ipv4Addr;

use ramp_coordination::passthrough::balancer::Action;
use ramp_coordination::passthrough::balancer::Balancer;
use ramp_coordination::passthrough::published::Change;
use ramp_coordination::passthrough::published::RecordKey;
use ramp_coordination::passthrough::view::View;
use ramp_protocol::frame::FrameKind;
use ramp_state::time::Millis;

use super::fixture::balancer_beside;
use super::fixture::catalog;
use super::fixture::changes;
use super::fixture::flow;
use super::fixture::frame;
use super::fixture::id;
use super::fixture::ip;
use super::fixture::segment;

const RUNNING: std::ops::RangeInclusive<u8> = 1..=4;
const ENDED: std::ops::RangeInclusive<u8> = 11..=16;

/// View in which the records of the ended servers were removed at 5 s.
fn view_after_removal() -> View {
    let all: Vec<u8> = RUNNING.chain(ENDED).collect();
    let mut catalog = catalog(&all);
    let removed = ENDED.map(|last| Change::Removed(RecordKey::Server(id(last))));
    catalog.apply(Millis(5000), changes(101, removed.collect()));
    catalog.view(Millis(5000)).unwrap()
}

/// The running agents deny a flow; returns the last action.
fn deny(balancer: &mut Balancer, view: &View, now: Millis, port: u16) -> Action {
    let mut denied = frame(FrameKind::Denied, flow(port));
    denied.knows_all_flows = true;
    let denials = RUNNING.map(|last| balancer.on_denied(view, now, ip(last), &denied));
    denials.last().unwrap()
}

/// Searches for the owner of one flow from `start` on, every 100 ms, until its caller is
/// reset; returns how long that took in milliseconds.
fn search(balancer: &mut Balancer, view: &View, start: u64, port: u16) -> u64 {
    for waited in (0..3000).step_by(100) {
        let now = Millis(start + waited);
        let action = balancer.on_packet(view, now, &segment(flow(port)));
        if matches!(action, Action::Reset(_)) {
            return waited;
        }
        deny(balancer, view, now, port);
    }
    panic!("the caller was not reset");
}

fn agents_asked(action: &Action) -> Vec<Ipv4Addr> {
    let Action::QueryOwner(query) = action else {
        return Vec::new();
    };
    let asked = query.packet_copies.iter().chain(&query.by_key);
    asked.copied().collect()
}

/// Guards against a recovery in which each of thousands of flows waits anew for the
/// same servers that no longer run.
#[test]
fn later_searches_do_not_wait_for_agents_known_to_be_silent() {
    let view = view_after_removal();
    let mut balancer = balancer_beside(RUNNING);
    for port in 1..=4 {
        search(&mut balancer, &view, 5000 + u64::from(port) * 300, port);
    }
    let waited = search(&mut balancer, &view, 6600, 100);
    assert!(waited <= 200, "{waited} ms");
}

/// Guards against a reset of a flow whose server is only cut off from the platform: its
/// agent answers, so it must be waited for.
#[test]
fn an_agent_that_answers_anything_is_waited_for() {
    let view = view_after_removal();
    let mut balancer = balancer_beside(RUNNING);
    for port in 1..=4 {
        search(&mut balancer, &view, 5000 + u64::from(port) * 300, port);
    }
    let heartbeat = frame(FrameKind::Heartbeat, flow(9));
    balancer.on_heartbeat(Millis(6600), ip(11), &heartbeat);
    for waited in (0..2000).step_by(100) {
        let now = Millis(6600 + waited);
        let action = balancer.on_packet(&view, now, &segment(flow(100)));
        assert!(!matches!(action, Action::Reset(_)), "after {waited} ms");
        deny(&mut balancer, &view, now, 100);
    }
}

/// Guards against a flood of queries to machines that are gone: each is asked once in
/// 100 ms, however many flows are searched for.
#[test]
fn silent_agents_are_asked_by_few_searches() {
    let view = view_after_removal();
    let mut balancer = balancer_beside(RUNNING);
    for port in 1..=4 {
        search(&mut balancer, &view, 5000 + u64::from(port) * 300, port);
    }
    let mut queries = 0;
    for port in 200..300 {
        balancer.on_packet(&view, Millis(6600), &segment(flow(port)));
        let action = balancer.on_reply_timeout(&view, Millis(6670), &segment(flow(port)));
        let asked = action.iter().flat_map(agents_asked);
        queries += asked.filter(|agent| *agent == ip(11)).count();
    }
    assert_eq!(queries, 1);
}

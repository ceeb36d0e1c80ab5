//! Reports on owner searches that take long.

use ramp_coordination::passthrough::balancer::Action;
use ramp_coordination::passthrough::balancer::PendingHolder;
use ramp_coordination::passthrough::balancer::PendingReason;
use ramp_coordination::passthrough::balancer::StalledSearch;
use ramp_coordination::passthrough::balancer::ViewUncertainty;
use ramp_coordination::passthrough::view::View;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::Refusal;
use ramp_state::time::Millis;

use crate::fixture::*;

/// Report, at `now` in ms, on a search that began at 100 ms and has not ended. The
/// agents in `heard` have sent heartbeats since, but no reply for the flow.
fn report_at(now: u64, view: &View, heard: &[u8]) -> Option<StalledSearch> {
    let mut balancer = balancer_beside(1..=3);
    let seg = segment(flow(7));
    balancer.on_packet(view, Millis(100), &seg);
    let reply = frame(FrameKind::Returned(Refusal::Bounced), flow(7));
    let action = balancer.on_returned(view, Millis(101), ip(1), Refusal::Bounced, &reply, &seg);
    assert!(matches!(action, Action::QueryOwner(_)), "{action:?}");
    for last in heard {
        let heartbeat = frame(FrameKind::Heartbeat, flow(1));
        balancer.on_heartbeat(Millis(200), ip(*last), &heartbeat);
    }
    balancer.stalled_search(view, Millis(now), &flow(7))
}

fn reasons(stalled: &StalledSearch) -> Vec<(u8, PendingReason)> {
    let reason = |h: &PendingHolder| (h.agent.octets()[3], h.reason);
    stalled.pending_sample.iter().map(reason).collect()
}

#[test]
fn a_search_that_goes_on_for_long_names_the_agents_that_it_waits_for() {
    let stalled = report_at(700, &view(&[1, 2, 3]), &[3]).unwrap();
    let expected = [(2, PendingReason::Silent), (3, PendingReason::Unanswered)];
    assert_eq!(reasons(&stalled), expected);
    assert_eq!((stalled.denied_count, stalled.pending_count), (1, 2));
    assert_eq!(stalled.view_uncertainty, None);
}

#[test]
fn agents_without_a_listed_server_are_reported_as_unlisted() {
    let stalled = report_at(700, &view(&[1, 2]), &[3]).unwrap();
    let expected = [
        (2, PendingReason::Silent),
        (3, PendingReason::UnlistedHeard),
    ];
    assert_eq!(reasons(&stalled), expected);
}

#[test]
fn a_search_that_has_just_begun_is_not_reported() {
    assert_eq!(report_at(500, &view(&[1, 2]), &[]), None);
}

#[test]
fn a_view_that_is_not_settled_is_reported() {
    let mut catalog = catalog(&[1]);
    catalog.platform_failed();
    let view = catalog.view(Millis(0)).unwrap();
    let stalled = report_at(700, &view, &[]).unwrap();
    assert_eq!(stalled.view_uncertainty, Some(ViewUncertainty::Unsettled));
}

#[test]
fn one_search_is_reported_once_a_second() {
    let view = view(&[1, 2]);
    let mut balancer = balancer_beside(1..=2);
    let seg = segment(flow(7));
    balancer.on_packet(&view, Millis(100), &seg);
    let reply = frame(FrameKind::Returned(Refusal::Bounced), flow(7));
    balancer.on_returned(&view, Millis(101), ip(1), Refusal::Bounced, &reply, &seg);
    let times = (0..3000).step_by(50);
    let reports = times.filter(|at| {
        balancer
            .stalled_search(&view, Millis(*at), &flow(7))
            .is_some()
    });
    assert_eq!(reports.count(), 3);
}

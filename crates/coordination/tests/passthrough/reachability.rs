//! Tests of how a balancer detects that it can't reach any agent.

use std::time::Duration;

use ramp_coordination::passthrough::reachability::Reachability;
use ramp_state::time::Millis;

#[test]
fn silence_counts_only_after_a_query() {
    let mut reachability = Reachability::default();
    assert!(!reachability.is_cut_off(Millis(60_000), Duration::ZERO));
    reachability.record_query(Millis(60_000));
    assert!(!reachability.is_cut_off(Millis(60_400), Duration::ZERO));
    assert!(reachability.is_cut_off(Millis(60_500), Duration::ZERO));
}

#[test]
fn one_reply_shows_that_agents_are_reachable() {
    let mut reachability = Reachability::default();
    reachability.record_query(Millis(1000));
    reachability.record_query(Millis(1400));
    reachability.record_reply();
    assert!(!reachability.is_cut_off(Millis(5000), Duration::ZERO));
}

#[test]
fn heartbeats_are_requested_at_a_bounded_rate() {
    let mut reachability = Reachability::default();
    reachability.record_query(Millis(0));
    let probes = (0..2000).filter(|now| reachability.probe_due(Millis(*now)));
    assert_eq!(probes.count(), 6);
    reachability.record_reply();
    assert!(!reachability.probe_due(Millis(9000)));
}

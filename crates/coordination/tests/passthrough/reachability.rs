//! Whether a balancer knows that it is cut off.

use ramp_coordination::passthrough::reachability::Reachability;
use ramp_state::time::Millis;

#[test]
fn silence_counts_only_after_a_question() {
    let mut reach = Reachability::default();
    assert!(!reach.is_cut_off(Millis(60_000)));
    reach.record_query(Millis(60_000));
    assert!(!reach.is_cut_off(Millis(60_400)));
    assert!(reach.is_cut_off(Millis(60_500)));
}

#[test]
fn one_answer_ends_it() {
    let mut reach = Reachability::default();
    reach.record_query(Millis(1000));
    reach.record_query(Millis(1400));
    reach.record_reply();
    assert!(!reach.is_cut_off(Millis(5000)));
}

#[test]
fn signs_of_life_are_asked_for_at_a_bounded_rate() {
    let mut reach = Reachability::default();
    reach.record_query(Millis(0));
    let probes = (0..2000).filter(|now| reach.probe_due(Millis(*now)));
    assert_eq!(probes.count(), 6);
    reach.record_reply();
    assert!(!reach.probe_due(Millis(9000)));
}

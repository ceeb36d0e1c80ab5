//! Tests of the detection of process pauses and of the packets held after one.

use ramp_coordination::pause::HeldPackets;
use ramp_coordination::pause::PAUSE_THRESHOLD;
use ramp_coordination::pause::PauseDetector;
use ramp_coordination::pause::PauseId;
use ramp_state::time::Millis;

#[test]
fn only_the_confirmation_of_the_last_pause_ends_the_hold() {
    let pause_ms = PAUSE_THRESHOLD.as_millis() as u64 + 1;
    let mut detector = PauseDetector::new(Millis(0));
    assert_eq!(detector.record_turn(Millis(pause_ms)), Some(PauseId(1)));
    assert_eq!(detector.record_turn(Millis(2 * pause_ms)), Some(PauseId(2)));
    detector.confirm(PauseId(1));
    assert!(detector.is_holding());
    detector.confirm(PauseId(2));
    assert!(!detector.is_holding());
}

/// Guards against packets lost by a pause: callers' packets wait at the socket
/// of the paused process, and are not retransmitted for seconds.
#[test]
fn packets_are_kept_in_their_order_and_given_out_once() {
    let mut held = HeldPackets::default();
    assert!(held.keep(b"first"));
    assert!(held.keep(b"second"));
    let kept: Vec<Vec<u8>> = held.take().collect();
    assert_eq!(kept, [b"first".to_vec(), b"second".to_vec()]);
    assert_eq!(held.take().count(), 0);
}

#[test]
fn number_of_held_packets_is_bounded() {
    let mut held = HeldPackets::default();
    let kept = (0..100_000).filter(|_| held.keep(b"x")).count();
    assert_eq!(held.take().count(), kept);
    assert!(kept < 10_000);
    assert!(held.keep(b"x"));
}

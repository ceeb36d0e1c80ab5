//! Waking late.

use ramp_coordination::wake::HeldPackets;
use ramp_coordination::wake::LATE_LIMIT;
use ramp_coordination::wake::Wake;
use ramp_coordination::wake::WakeGuard;
use ramp_state::time::Millis;

#[test]
fn only_the_confirmation_of_the_last_wake_ends_the_hold() {
    let late_ms = LATE_LIMIT.as_millis() as u64 + 1;
    let mut guard = WakeGuard::new(Millis(0));
    assert_eq!(guard.turn(Millis(late_ms)), Some(Wake(1)));
    assert_eq!(guard.turn(Millis(2 * late_ms)), Some(Wake(2)));
    guard.confirm(Wake(1));
    assert!(guard.is_holding());
    guard.confirm(Wake(2));
    assert!(!guard.is_holding());
}

/// The pattern of a process that slept: its callers' packets wait at its
/// socket, and their next tries are seconds away.
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
fn what_is_kept_is_bounded() {
    let mut held = HeldPackets::default();
    let kept = (0..100_000).filter(|_| held.keep(b"x")).count();
    assert_eq!(held.take().count(), kept);
    assert!(kept < 10_000);
    assert!(held.keep(b"x"));
}

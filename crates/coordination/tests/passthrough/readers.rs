//! Tests of which processes read the platform, and which reader the others
//! follow.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use ramp_coordination::passthrough::readers::Readers;
use ramp_state::key::InstanceId;
use ramp_state::time::Millis;

fn reader(last: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), 8000)
}

fn addresses() -> Vec<SocketAddrV4> {
    (1..=3).map(reader).collect()
}

#[test]
fn a_reader_reads_and_follows_another_only_when_refused() {
    let readers = Readers::new(InstanceId(1), Some(reader(2)), &addresses());
    assert!(readers.is_reader());
    assert_eq!(readers.pick(Millis(0), false), None);
    let other = readers.pick(Millis(0), true).unwrap();
    assert_ne!(other, reader(2));
    assert!(readers.follow_limit().is_some());
}

#[test]
fn followers_share_the_readers() {
    let mut followed = [0; 3];
    for id in 0..300 {
        let readers = Readers::new(InstanceId(id), None, &addresses());
        let reader = readers.pick(Millis(0), false).unwrap();
        followed[usize::from(reader.ip().octets()[3]) - 1] += 1;
    }
    assert!(
        followed.iter().all(|n| (70..130).contains(n)),
        "{followed:?}"
    );
}

#[test]
fn a_follower_reads_by_itself_when_no_reader_can_be_followed() {
    let mut readers = Readers::new(InstanceId(1), None, &addresses());
    for _ in 0..3 {
        let reader = readers.pick(Millis(0), false).unwrap();
        readers.failed(reader, Millis(0));
    }
    assert_eq!(readers.pick(Millis(1000), false), None);
    assert!(readers.pick(Millis(1500), false).is_some());
}

/// Guards against a process that never reads the platform itself. If all readers
/// accept connections and stay silent, trying each of them takes so long that
/// the first one's backoff is over again.
#[test]
fn after_a_slow_round_of_lost_readers_the_platform_is_read() {
    let mut readers = Readers::new(InstanceId(1), None, &addresses());
    let mut now = Millis(0);
    for _ in 0..3 {
        let reader = readers.pick(now, false).unwrap();
        now = now + Duration::from_millis(1200);
        readers.failed(reader, now);
    }
    assert_eq!(readers.pick(now, false), None);
    assert!(
        readers
            .pick(now + Duration::from_millis(1500), false)
            .is_some()
    );
}

#[test]
fn a_reader_that_was_followed_in_between_is_not_lost() {
    let mut readers = Readers::new(InstanceId(1), None, &addresses());
    let first = readers.pick(Millis(0), false).unwrap();
    readers.failed(first, Millis(0));
    assert_eq!(readers.pick(Millis(5000), false), Some(first));
    readers.followed(first);
    for other in addresses().into_iter().filter(|r| *r != first) {
        readers.failed(other, Millis(9000));
    }
    assert_eq!(readers.pick(Millis(9000), false), Some(first));
}

#[test]
fn without_readers_everyone_reads() {
    let readers = Readers::new(InstanceId(1), Some(reader(9)), &[]);
    assert_eq!(readers.pick(Millis(0), true), None);
}

/// Guards against a start of the whole fleet in which every process reads the
/// platform: the readers start at the same time and are ready a moment later.
#[test]
fn a_reader_that_may_be_starting_is_passed_over_only_for_a_moment() {
    let mut readers = Readers::new(InstanceId(1), None, &addresses());
    for _ in 0..3 {
        let reader = readers.pick(Millis(0), false).unwrap();
        readers.not_ready(reader, Millis(0));
    }
    assert_eq!(readers.pick(Millis(50), false), None);
    assert!(readers.pick(Millis(100), false).is_some());
}

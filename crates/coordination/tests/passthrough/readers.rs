//! Who reads the platform, and who follows whom.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use ramp_coordination::passthrough::readers::Readers;
use ramp_state::key::InstanceId;
use ramp_state::time::Millis;

fn reader(last: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), 8000)
}

fn readers() -> Vec<SocketAddrV4> {
    (1..=3).map(reader).collect()
}

#[test]
fn a_reader_reads_and_follows_another_only_when_refused() {
    let feeds = Readers::new(InstanceId(1), Some(reader(2)), &readers());
    assert!(feeds.is_reader());
    assert_eq!(feeds.pick(Millis(0), false), None);
    let other = feeds.pick(Millis(0), true).unwrap();
    assert_ne!(other, reader(2));
    assert!(feeds.follow_limit().is_some());
}

#[test]
fn followers_share_the_readers() {
    let mut followed = [0; 3];
    for id in 0..300 {
        let feeds = Readers::new(InstanceId(id), None, &readers());
        let reader = feeds.pick(Millis(0), false).unwrap();
        followed[usize::from(reader.ip().octets()[3]) - 1] += 1;
    }
    assert!(
        followed.iter().all(|n| (70..130).contains(n)),
        "{followed:?}"
    );
}

#[test]
fn a_follower_reads_by_itself_when_no_reader_can_be_followed() {
    let mut feeds = Readers::new(InstanceId(1), None, &readers());
    for _ in 0..3 {
        let reader = feeds.pick(Millis(0), false).unwrap();
        feeds.failed(reader, Millis(0));
    }
    assert_eq!(feeds.pick(Millis(1000), false), None);
    assert!(feeds.pick(Millis(1500), false).is_some());
}

/// Guards against harm by readers that accept connections and stay silent: a round of
/// them takes so long that the first may be tried again. Nobody would ever read
/// the platform itself, and the view would stay as it is.
#[test]
fn after_a_slow_round_of_lost_readers_the_platform_is_read() {
    let mut feeds = Readers::new(InstanceId(1), None, &readers());
    let mut now = Millis(0);
    for _ in 0..3 {
        let reader = feeds.pick(now, false).unwrap();
        now = now + Duration::from_millis(1200);
        feeds.failed(reader, now);
    }
    assert_eq!(feeds.pick(now, false), None);
    assert!(
        feeds
            .pick(now + Duration::from_millis(1500), false)
            .is_some()
    );
}

#[test]
fn a_reader_that_was_followed_in_between_is_not_lost() {
    let mut feeds = Readers::new(InstanceId(1), None, &readers());
    let first = feeds.pick(Millis(0), false).unwrap();
    feeds.failed(first, Millis(0));
    assert_eq!(feeds.pick(Millis(5000), false), Some(first));
    feeds.followed(first);
    for other in readers().into_iter().filter(|r| *r != first) {
        feeds.failed(other, Millis(9000));
    }
    assert_eq!(feeds.pick(Millis(9000), false), Some(first));
}

#[test]
fn without_readers_everyone_reads() {
    let feeds = Readers::new(InstanceId(1), Some(reader(9)), &[]);
    assert_eq!(feeds.pick(Millis(0), true), None);
}

/// Guards against a watch of the platform by each process of a fleet that starts: its
/// readers start beside it, and are there a moment later.
#[test]
fn a_reader_that_may_be_starting_is_passed_over_only_for_a_moment() {
    let mut feeds = Readers::new(InstanceId(1), None, &readers());
    for _ in 0..3 {
        let reader = feeds.pick(Millis(0), false).unwrap();
        feeds.not_ready(reader, Millis(0));
    }
    assert_eq!(feeds.pick(Millis(50), false), None);
    assert!(feeds.pick(Millis(100), false).is_some());
}

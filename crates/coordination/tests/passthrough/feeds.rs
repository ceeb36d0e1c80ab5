//! Who reads the platform, and who follows whom.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use ramp_coordination::passthrough::feeds::Feeds;
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
    let feeds = Feeds::new(InstanceId(1), Some(reader(2)), &readers());
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
        let feeds = Feeds::new(InstanceId(id), None, &readers());
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
    let mut feeds = Feeds::new(InstanceId(1), None, &readers());
    for _ in 0..3 {
        let reader = feeds.pick(Millis(0), false).unwrap();
        feeds.failed(reader, Millis(0));
    }
    assert_eq!(feeds.pick(Millis(1000), false), None);
    assert!(feeds.pick(Millis(1500), false).is_some());
}

#[test]
fn without_readers_everyone_reads() {
    let feeds = Feeds::new(InstanceId(1), Some(reader(9)), &[]);
    assert_eq!(feeds.pick(Millis(0), true), None);
}

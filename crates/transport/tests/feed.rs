//! Feed that a reader of the platform sends to its followers.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::rc::Rc;

use ramp_coordination::passthrough::published::Changes;
use ramp_coordination::passthrough::published::Epoch;
use ramp_coordination::passthrough::published::FeedMessage;
use ramp_coordination::passthrough::published::Listing;
use ramp_coordination::passthrough::published::Revision;
use ramp_state::time::Millis;
use ramp_transport::clock::Clock;
use ramp_transport::passthrough::feed::Feed;
use ramp_transport::passthrough::feed::FeedClient;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

const FIRST: Revision = Revision(100);

/// Starts a reader that has read up to [`FIRST`], and returns it with its
/// address.
async fn start_reader() -> (Rc<Feed>, SocketAddrV4) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let port = listener.local_addr().unwrap().port();
    let feed = Rc::new(Feed::new(Clock::start()));
    let listing = Listing {
        cursor: FIRST,
        ..Listing::default()
    };
    feed.record_platform_answer(true);
    feed.catalog.borrow_mut().replace(Millis(1), listing);
    spawn_local(Rc::clone(&feed).serve(listener));
    (feed, SocketAddrV4::new(Ipv4Addr::LOCALHOST, port))
}

fn apply_change(feed: &Feed, cursor: Revision) {
    let changes = Changes {
        cursor,
        ..Changes::default()
    };
    feed.broadcast(&FeedMessage::Changes(changes.clone()));
    feed.catalog.borrow_mut().apply(Millis(2), changes);
}

/// Guards against changes that a follower never gets. If a heartbeat carried the
/// cursor of changes not sent yet and the follower then lost its reader, it would
/// give the next reader that cursor, and these changes would be skipped.
#[tokio::test]
async fn a_heartbeat_does_not_overtake_changes() {
    let run = async {
        let (feed, address) = start_reader().await;
        let mut client = FeedClient::connect(address, FIRST).await.unwrap();
        let first = client.next().await.unwrap();
        assert!(matches!(first, FeedMessage::Alive { cursor: FIRST, .. }));
        let newest = Revision(FIRST.0 + 3);
        for revision in FIRST.0 + 1..=newest.0 {
            apply_change(&feed, Revision(revision));
        }
        let mut cursor_seen = FIRST;
        while cursor_seen < newest {
            match client.next().await.unwrap() {
                FeedMessage::Changes(changes) => cursor_seen = changes.cursor,
                FeedMessage::Alive { cursor, .. } => assert_eq!(cursor, cursor_seen),
                FeedMessage::Listing(_) => panic!("the follower had everything"),
            }
        }
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against a follower that keeps the records of an older epoch because its
/// number is higher.
#[tokio::test]
async fn a_follower_with_a_higher_number_of_an_older_epoch_gets_the_listing() {
    let run = async {
        let (feed, address) = start_reader().await;
        let restored = Revision::new(Epoch(1), 90).unwrap();
        let listing = Listing {
            cursor: restored,
            ..Listing::default()
        };
        feed.catalog.borrow_mut().replace(Millis(2), listing);
        for has in [Revision(500), Revision(restored.number())] {
            let mut client = FeedClient::connect(address, has).await.unwrap();
            let first = client.next().await.unwrap();
            assert!(matches!(first, FeedMessage::Listing(l) if l.cursor == restored));
        }
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against a process that takes a reader's outdated data for current: the
/// platform does not answer this reader.
#[tokio::test]
async fn only_a_reader_that_the_platform_answers_is_joined() {
    let run = async {
        let (feed, address) = start_reader().await;
        let (_client, known) = FeedClient::connect_to_current(address).await.unwrap();
        assert!(matches!(&known[..], [FeedMessage::Listing(l)] if l.cursor == FIRST));
        feed.record_platform_answer(false);
        assert!(FeedClient::connect_to_current(address).await.is_err());
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn a_reader_that_knows_nothing_yet_is_not_joined() {
    let run = async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let port = listener.local_addr().unwrap().port();
        let feed = Rc::new(Feed::new(Clock::start()));
        spawn_local(Rc::clone(&feed).serve(listener));
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        assert!(FeedClient::connect_to_current(address).await.is_err());
    };
    LocalSet::new().run_until(run).await;
}

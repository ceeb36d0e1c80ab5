//! Control thread of a process whose platform stops answering: tests when its
//! view counts as settled, and how readers that also lost the platform affect
//! this.

use std::future::pending;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use ramp_coordination::passthrough::platform_client::PlatformClient;
use ramp_coordination::passthrough::platform_client::PlatformError;
use ramp_coordination::passthrough::published::Changes;
use ramp_coordination::passthrough::published::Configuration;
use ramp_coordination::passthrough::published::Epoch;
use ramp_coordination::passthrough::published::FeedMessage;
use ramp_coordination::passthrough::published::Listing;
use ramp_coordination::passthrough::published::RELIST_LIMIT;
use ramp_coordination::passthrough::published::Record;
use ramp_coordination::passthrough::published::Revision;
use ramp_coordination::passthrough::readers::Readers;
use ramp_coordination::passthrough::view::View;
use ramp_state::key::InstanceId;
use ramp_transport::clock::Clock;
use ramp_transport::passthrough::control::Control;
use ramp_transport::passthrough::feed::Feed;
use ramp_transport::passthrough::readiness::Readiness;
use ramp_transport::passthrough::thread_messages::Event;
use ramp_transport::passthrough::thread_messages::Update;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

/// Time within which the next view must be sent.
const VIEW_TIMEOUT: Duration = Duration::from_millis(3000);

/// Time within which one more refused call must lead to a view that shows the
/// outage.
const OUTAGE_TIMEOUT: Duration = Duration::from_millis(1000);

const CURSOR: Revision = Revision(100);

/// Fake platform that is read up to [`CURSOR`]. Each watch hangs until the test
/// sends its result.
struct FakePlatform {
    results: Receiver<Result<(), PlatformError>>,
}

impl PlatformClient for FakePlatform {
    async fn list(&mut self) -> Result<Listing, PlatformError> {
        Ok(first_listing())
    }

    async fn watch(&mut self, after: Revision, _: Duration) -> Result<Changes, PlatformError> {
        let Ok(result) = self.results.recv_async().await else {
            return pending().await;
        };
        result?;
        Ok(Changes {
            cursor: after,
            ..Changes::default()
        })
    }
}

/// Channels of the control thread under test; dropping them ends the thread.
struct ControlHandle {
    updates: Receiver<Update>,
    events: Sender<Event>,
}

fn start<S: PlatformClient + 'static>(platform: S, readers: Readers) -> (ControlHandle, Clock) {
    let clock = Clock::start();
    let (updates_tx, updates) = flume::unbounded();
    let (events_tx, events) = flume::unbounded();
    let control = Control {
        platform,
        clock,
        updates: updates_tx,
        events,
        readiness: Rc::new(Readiness::default()),
        feed: Rc::new(Feed::new(clock)),
        readers,
        has_reader_listing: false,
    };
    spawn_local(control.run());
    let handle = ControlHandle {
        updates,
        events: events_tx,
    };
    (handle, clock)
}

fn first_listing() -> Listing {
    Listing {
        cursor: CURSOR,
        newest: CURSOR,
        records: vec![Record::Configuration(Configuration::default())],
    }
}

async fn next_view(updates: &Receiver<Update>) -> Arc<View> {
    let update = timeout(VIEW_TIMEOUT, updates.recv_async()).await;
    let Update::View(view) = update.expect("a view in time").unwrap() else {
        panic!("nobody asked the process to end");
    };
    view
}

/// Serves a reader that the platform refuses too. On each connection it has one
/// more revision than before, and reports that it is not current.
async fn serve_refused_reader(listener: TcpListener) {
    for revision in CURSOR.0 + 1.. {
        let (mut stream, _) = listener.accept().await.unwrap();
        let cursor = Revision(revision);
        let listing = FeedMessage::Listing(Listing {
            cursor,
            ..Listing::default()
        });
        let alive = FeedMessage::Alive {
            cursor,
            current: false,
        };
        for message in [listing, alive] {
            let line = serde_json::to_string(&message).unwrap() + "\n";
            stream.write_all(line.as_bytes()).await.unwrap();
        }
    }
}

/// Fake platform that answers the first call and then refuses every call.
struct RefusingPlatform;

impl PlatformClient for RefusingPlatform {
    async fn list(&mut self) -> Result<Listing, PlatformError> {
        Ok(first_listing())
    }

    async fn watch(&mut self, _: Revision, _: Duration) -> Result<Changes, PlatformError> {
        Err(PlatformError::Refused(503))
    }
}

/// Guards against an outage that ends too early. Readers may still get a few new
/// revisions during an outage; data from a reader that is not current must not
/// count as an answer of the platform.
#[tokio::test]
async fn a_reader_that_is_not_current_does_not_end_an_outage() {
    let run = async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let port = listener.local_addr().unwrap().port();
        let reader = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        spawn_local(serve_refused_reader(listener));
        let readers = Readers::new(InstanceId(1), None, &[reader]);
        let (handle, clock) = start(RefusingPlatform, readers);
        let shows_outage = |view: &View| !view.is_settled(clock.now() + RELIST_LIMIT);
        while !shows_outage(&*next_view(&handle.updates).await) {}
        let from_reader = next_view(&handle.updates).await;
        // The reader was queried at the start, before the platform, and once
        // since.
        assert_eq!(from_reader.cursor, Revision(CURSOR.0 + 3));
        let next = timeout(OUTAGE_TIMEOUT, next_view(&handle.updates)).await;
        assert!(shows_outage(&next.expect("a view at once")));
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against a network that fails in one direction: the connection stays
/// open, but no answer arrives. By its outdated view the process would reject what
/// was added since.
#[tokio::test]
async fn a_view_is_not_settled_while_a_watch_hangs() {
    let run = async {
        let (results_tx, results) = flume::unbounded();
        let readers = Readers::new(InstanceId(1), None, &[]);
        let (handle, clock) = start(FakePlatform { results }, readers);
        assert!(next_view(&handle.updates).await.is_settled(clock.now()));
        assert!(
            !next_view(&handle.updates).await.is_settled(clock.now()),
            "old"
        );
        results_tx.send(Ok(())).unwrap();
        assert!(
            next_view(&handle.updates).await.is_settled(clock.now()),
            "answered"
        );
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against an outage that goes unnoticed because the view was already
/// outdated when the calls began to fail: records in it may have lapsed.
#[tokio::test]
async fn an_outage_that_begins_with_a_hanging_watch_is_noticed() {
    let run = async {
        let (results_tx, results) = flume::unbounded();
        let readers = Readers::new(InstanceId(1), None, &[]);
        let (handle, clock) = start(FakePlatform { results }, readers);
        next_view(&handle.updates).await;
        assert!(!next_view(&handle.updates).await.is_settled(clock.now()));
        for _ in 0..2 {
            results_tx.send(Err(PlatformError::Refused(503))).unwrap();
        }
        results_tx.send(Ok(())).unwrap();
        let during = next_view(&handle.updates).await;
        assert!(!during.is_settled(clock.now() + RELIST_LIMIT));
        let after = next_view(&handle.updates).await;
        assert!(!after.is_settled(clock.now()));
        assert!(after.is_settled(clock.now() + RELIST_LIMIT));
    };
    LocalSet::new().run_until(run).await;
}

/// Fake platform whose store was restored: it lists [`RESTORED`], and watches from
/// the old epoch report the restoration.
struct RestoredPlatform {
    /// Listings, the next one first; the last is repeated.
    listings: Vec<Revision>,
}

/// Revision of the restored store; its number is lower than [`CURSOR`].
const RESTORED: Revision = Revision((1 << 48) + 90);

impl PlatformClient for RestoredPlatform {
    async fn list(&mut self) -> Result<Listing, PlatformError> {
        let cursor = self.listings[0];
        if self.listings.len() > 1 {
            self.listings.remove(0);
        }
        Ok(Listing {
            cursor,
            newest: cursor,
            ..first_listing()
        })
    }

    async fn watch(&mut self, after: Revision, _: Duration) -> Result<Changes, PlatformError> {
        if after.epoch() < RESTORED.epoch() {
            return Err(PlatformError::EpochChanged);
        }
        sleep(Duration::from_millis(200)).await;
        Ok(Changes {
            cursor: after,
            ..Changes::default()
        })
    }
}

/// Serves a reader that stays at one revision and reports that it is current.
async fn serve_reader_at(listener: TcpListener, cursor: Revision) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        spawn_local(async move {
            let listing = FeedMessage::Listing(Listing {
                cursor,
                newest: cursor,
                ..first_listing()
            });
            let alive = FeedMessage::Alive {
                cursor,
                current: true,
            };
            let mut lines = serde_json::to_string(&listing).unwrap() + "\n";
            let alive = serde_json::to_string(&alive).unwrap() + "\n";
            while stream.write_all((lines + &alive).as_bytes()).await.is_ok() {
                lines = String::new();
                sleep(Duration::from_millis(200)).await;
            }
        });
    }
}

async fn start_reader_at(cursor: Revision) -> SocketAddrV4 {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let port = listener.local_addr().unwrap().port();
    spawn_local(serve_reader_at(listener, cursor));
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

async fn wait_for_cursor(updates: &Receiver<Update>, cursor: Revision) {
    while next_view(updates).await.cursor != cursor {}
}

/// Guards against a process that applies reused revisions as if they continued its
/// records, and against a late listing that takes it back.
#[tokio::test]
async fn a_restored_store_is_listed_again_and_an_outdated_listing_is_not_used() {
    let run = async {
        let platform = RestoredPlatform {
            listings: vec![CURSOR, Revision(CURSOR.0 + 50), RESTORED],
        };
        let (handle, clock) = start(platform, Readers::new(InstanceId(1), None, &[]));
        wait_for_cursor(&handle.updates, CURSOR).await;
        wait_for_cursor(&handle.updates, RESTORED).await;
        assert_eq!(RESTORED.epoch(), Epoch(1));

        let platform = RestoredPlatform {
            listings: vec![RESTORED, CURSOR],
        };
        let (handle, _) = start(platform, Readers::new(InstanceId(1), None, &[]));
        let view = next_view(&handle.updates).await;
        assert!(view.is_settled(clock.now()), "nothing was known before");
        // A peer in a still newer epoch makes the process list again; the answers are
        // of an old one, so they count as an outage.
        let peer = Event::PeerRevision(Revision::new(Epoch(2), 1).unwrap());
        handle.events.send(peer).unwrap();
        let next = timeout(OUTAGE_TIMEOUT, next_view(&handle.updates)).await;
        let next = next.expect("a view at once");
        assert_eq!(next.cursor, RESTORED);
        assert!(!next.is_settled(clock.now() + RELIST_LIMIT));
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against a process that stays in the old epoch with a reader that has not
/// learnt of the restoration.
#[tokio::test]
async fn a_reader_of_a_newer_epoch_wins() {
    let run = async {
        let outdated = start_reader_at(Revision(CURSOR.0 + 400)).await;
        let restored = start_reader_at(RESTORED).await;
        // Each process has its own order of the readers.
        for id in 0..8 {
            let platform = RestoredPlatform {
                listings: vec![CURSOR],
            };
            let readers = Readers::new(InstanceId(id), None, &[outdated, restored]);
            let (handle, _) = start(platform, readers);
            let first = next_view(&handle.updates).await.cursor;
            handle.events.send(Event::PeerRevision(RESTORED)).unwrap();
            if first != RESTORED {
                wait_for_cursor(&handle.updates, RESTORED).await;
            }
        }
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against a process that gets no more news: the only reader has not learnt
/// of the restoration, and its heartbeats say that it is current.
#[tokio::test]
async fn a_reader_of_an_older_epoch_is_not_followed() {
    let run = async {
        let outdated = start_reader_at(Revision(CURSOR.0 + 400)).await;
        let platform = RestoredPlatform {
            listings: vec![RESTORED],
        };
        let readers = Readers::new(InstanceId(1), None, &[outdated]);
        let (handle, clock) = start(platform, readers);
        next_view(&handle.updates).await;
        handle.events.send(Event::PeerRevision(RESTORED)).unwrap();
        wait_for_cursor(&handle.updates, RESTORED).await;
        // The reader is tried again in this time.
        let end = clock.now() + Duration::from_secs(5);
        while clock.now() < end {
            sleep(Duration::from_millis(50)).await;
            while let Ok(Update::View(view)) = handle.updates.try_recv() {
                assert_eq!(view.cursor, RESTORED);
                assert!(view.is_settled(clock.now() + RELIST_LIMIT), "no answers");
            }
        }
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against an evacuation that never ends: a reader held it since the
/// restoration of the store, and was lost before it could report the end.
#[tokio::test]
async fn records_of_a_lost_reader_are_listed_again_in_a_new_epoch() {
    let run = async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let port = listener.local_addr().unwrap().port();
        let reader = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        let serving = spawn_local(serve_reader_at(listener, RESTORED));
        let platform = RestoredPlatform {
            listings: vec![Revision(RESTORED.0 + 1)],
        };
        let readers = Readers::new(InstanceId(1), None, &[reader]);
        let (handle, _) = start(platform, readers);
        wait_for_cursor(&handle.updates, RESTORED).await;
        serving.abort();
        handle
            .events
            .send(Event::PeerRevision(Revision(RESTORED.0 + 1)))
            .unwrap();
        wait_for_cursor(&handle.updates, Revision(RESTORED.0 + 1)).await;
    };
    LocalSet::new().run_until(run).await;
}

//! How control of a process takes a platform that stops answering.

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
use tokio::time::timeout;

/// Time in which the next view must come.
const VIEW_LIMIT: Duration = Duration::from_millis(3000);

/// Time in which one more refused call must tell that the platform is away.
const AWAY_AGAIN: Duration = Duration::from_millis(1000);

const CURSOR: Revision = Revision(100);

/// Platform that is read up to [`CURSOR`]; how a watch ends is told from
/// outside.
struct Platform {
    answers: Receiver<Result<(), PlatformError>>,
}

impl PlatformClient for Platform {
    async fn list(&mut self) -> Result<Listing, PlatformError> {
        Ok(first_listing())
    }

    async fn watch(&mut self, after: Revision, _: Duration) -> Result<Changes, PlatformError> {
        let Ok(answer) = self.answers.recv_async().await else {
            return pending().await;
        };
        answer?;
        Ok(Changes {
            cursor: after,
            ..Changes::default()
        })
    }
}

/// What a process under test sends and takes; dropping it ends the process.
struct Started {
    updates: Receiver<Update>,
    _events: Sender<Event>,
}

fn start<S: PlatformClient + 'static>(platform: S, readers: Readers) -> (Started, Clock) {
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
    };
    spawn_local(control.run());
    let started = Started {
        updates,
        _events: events_tx,
    };
    (started, clock)
}

fn first_listing() -> Listing {
    Listing {
        cursor: CURSOR,
        newest: CURSOR,
        records: vec![Record::Configuration(Configuration::default())],
    }
}

async fn next_view(updates: &Receiver<Update>) -> Arc<View> {
    let update = timeout(VIEW_LIMIT, updates.recv_async()).await;
    let Update::View(view) = update.expect("a view in time").unwrap() else {
        panic!("nobody asked the process to end");
    };
    view
}

/// Reader that the platform refuses too. Each time it is followed it knows a
/// little more than before, and says that it is not current.
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
        for news in [listing, alive] {
            let line = serde_json::to_string(&news).unwrap() + "\n";
            stream.write_all(line.as_bytes()).await.unwrap();
        }
    }
}

/// A platform that has answered once, and then refuses every call.
struct Refusing;

impl PlatformClient for Refusing {
    async fn list(&mut self) -> Result<Listing, PlatformError> {
        Ok(first_listing())
    }

    async fn watch(&mut self, _: Revision, _: Duration) -> Result<Changes, PlatformError> {
        Err(PlatformError::Refused(503))
    }
}

/// Guards against harm by an outage in which readers learn a little more now and then:
/// what one of them tells that is not current must not end the outage here.
#[tokio::test]
async fn a_reader_that_is_not_current_does_not_end_an_outage() {
    let run = async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let port = listener.local_addr().unwrap().port();
        let reader = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        spawn_local(serve_refused_reader(listener));
        let feeds = Readers::new(InstanceId(1), None, &[reader]);
        let (started, clock) = start(Refusing, feeds);
        let is_away = |view: &View| !view.is_settled(clock.now() + RELIST_LIMIT);
        while !is_away(&*next_view(&started.updates).await) {}
        let told = next_view(&started.updates).await;
        // It was asked at the start, before the platform, and once since.
        assert_eq!(told.cursor, Revision(CURSOR.0 + 3));
        let next = timeout(AWAY_AGAIN, next_view(&started.updates)).await;
        assert!(is_away(&next.expect("a view at once")));
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against harm by a one-way cut: the connection stays, the answer never comes.
/// By its old view the process would deny what is new.
#[tokio::test]
async fn a_view_is_not_settled_while_a_watch_hangs() {
    let run = async {
        let (answer, answers) = flume::unbounded();
        let feeds = Readers::new(InstanceId(1), None, &[]);
        let (started, clock) = start(Platform { answers }, feeds);
        assert!(next_view(&started.updates).await.is_settled(clock.now()));
        assert!(
            !next_view(&started.updates).await.is_settled(clock.now()),
            "old"
        );
        answer.send(Ok(())).unwrap();
        assert!(
            next_view(&started.updates).await.is_settled(clock.now()),
            "answered"
        );
    };
    LocalSet::new().run_until(run).await;
}

/// A view that has become old before the calls fail must not hide the outage:
/// records may have lapsed in it.
#[tokio::test]
async fn an_outage_that_began_with_a_hanging_watch_is_one() {
    let run = async {
        let (answer, answers) = flume::unbounded();
        let feeds = Readers::new(InstanceId(1), None, &[]);
        let (started, clock) = start(Platform { answers }, feeds);
        next_view(&started.updates).await;
        assert!(!next_view(&started.updates).await.is_settled(clock.now()));
        for _ in 0..2 {
            answer.send(Err(PlatformError::Refused(503))).unwrap();
        }
        answer.send(Ok(())).unwrap();
        let away = next_view(&started.updates).await;
        assert!(!away.is_settled(clock.now() + RELIST_LIMIT));
        let back = next_view(&started.updates).await;
        assert!(!back.is_settled(clock.now()));
        assert!(back.is_settled(clock.now() + RELIST_LIMIT));
    };
    LocalSet::new().run_until(run).await;
}

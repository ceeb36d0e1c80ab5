//! How control of a process takes a platform that stops answering.

use std::future::pending;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use flume::Receiver;
use ramp_coordination::passthrough::feeds::Feeds;
use ramp_coordination::passthrough::published::Changes;
use ramp_coordination::passthrough::published::Configuration;
use ramp_coordination::passthrough::published::Listing;
use ramp_coordination::passthrough::published::Record;
use ramp_coordination::passthrough::published::Revision;
use ramp_coordination::passthrough::source::Source;
use ramp_coordination::passthrough::source::SourceError;
use ramp_coordination::passthrough::view::View;
use ramp_state::key::InstanceId;
use ramp_transport::clock::Clock;
use ramp_transport::passthrough::control::Control;
use ramp_transport::passthrough::feed::Feed;
use ramp_transport::passthrough::news::Update;
use ramp_transport::passthrough::ready::Readiness;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Time in which the next view must come.
const VIEW_LIMIT: Duration = Duration::from_millis(3000);

const CURSOR: Revision = Revision(100);

/// Platform that is read up to [`CURSOR`]; whether a watch is answered is told
/// from outside.
struct Platform {
    answers: Receiver<()>,
}

impl Source for Platform {
    async fn list(&mut self) -> Result<Listing, SourceError> {
        Ok(Listing {
            cursor: CURSOR,
            newest: CURSOR,
            records: vec![Record::Configuration(Configuration::default())],
        })
    }

    async fn watch(&mut self, after: Revision, _: Duration) -> Result<Changes, SourceError> {
        if self.answers.recv_async().await.is_err() {
            return pending().await;
        }
        Ok(Changes {
            cursor: after,
            ..Changes::default()
        })
    }
}

async fn next_view(updates: &Receiver<Update>) -> Arc<View> {
    let update = timeout(VIEW_LIMIT, updates.recv_async()).await;
    let Update::View(view) = update.expect("a view in time").unwrap() else {
        panic!("nobody asked the process to end");
    };
    view
}

/// The pattern of a one-way cut: the connection stays, the answer never comes.
/// By its old view the process would deny what is new.
#[tokio::test]
async fn a_view_is_not_settled_while_a_watch_hangs() {
    let run = async {
        let clock = Clock::start();
        let (answer, answers) = flume::unbounded();
        let (updates_tx, updates) = flume::unbounded();
        let (_events_tx, events) = flume::unbounded();
        let control = Control {
            source: Platform { answers },
            clock,
            updates: updates_tx,
            events,
            readiness: Rc::new(Readiness::default()),
            feed: Rc::new(Feed::new(clock)),
            feeds: Feeds::new(InstanceId(1), None, &[]),
        };
        spawn_local(control.run());
        assert!(next_view(&updates).await.is_settled(clock.now()));
        assert!(!next_view(&updates).await.is_settled(clock.now()), "old");
        answer.send(()).unwrap();
        assert!(
            next_view(&updates).await.is_settled(clock.now()),
            "answered"
        );
    };
    LocalSet::new().run_until(run).await;
}

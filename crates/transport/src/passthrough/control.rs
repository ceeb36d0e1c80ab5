//! Keeps the view of a process in passthrough mode up to date.
//!
//! Reads the records of the platform, either directly or by following a reader,
//! and sends each new view to the traffic thread. Falls back to the other source
//! when one fails, and retries with backoff. A reader whose records are of an older
//! epoch of the store than the own ones is not followed.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use ramp_coordination::passthrough::catalog::Catalog;
use ramp_coordination::passthrough::platform_client::PlatformClient;
use ramp_coordination::passthrough::platform_client::PlatformError;
use ramp_coordination::passthrough::published::Changes;
use ramp_coordination::passthrough::published::Epoch;
use ramp_coordination::passthrough::published::FeedMessage;
use ramp_coordination::passthrough::published::Revision;
use ramp_coordination::passthrough::readers::Readers;
use ramp_state::time::Millis;
use tokio::time::sleep;
use tokio::time::timeout;

use super::feed::Feed;
use super::feed::FeedClient;
use super::readiness::Readiness;
use super::telemetry::store_epoch;
use super::thread_messages::Event;
use super::thread_messages::Update;
use crate::clock::Clock;

/// Time for which the platform holds a watch call, a long poll, while nothing
/// changes. A call that got lost is noticed a little later.
const LONG_POLL_WAIT: Duration = Duration::from_millis(1000);

/// Delay after an answer with changes, so that changes in quick succession are
/// read in one call.
const BATCH_DELAY: Duration = Duration::from_millis(200);

/// Delay after the first failed call. It doubles with each further one, up to a
/// maximum.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum delay between failed calls of a reader.
const MAX_READER_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Maximum delay between failed calls of all other processes.
const MAX_FOLLOWER_RETRY_DELAY: Duration = Duration::from_millis(1000);

/// Interval of the check whether the records are stale, and whether the time of
/// records is over that remained in effect after a restoration of the store.
const TIME_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Number of failed calls in a row from which the platform is considered down.
const OUTAGE_FAILURE_COUNT: u32 = 2;

/// Time in which the platform or the followed reader must deliver records that
/// another instance already has.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(300);

/// Time in which a reader must send its records to a process that starts.
const JOIN_TIMEOUT: Duration = Duration::from_millis(60);

/// Time after its start in which a process that has listed the records waits for
/// readers that are starting too, instead of continuing to read the platform.
const READER_STARTUP_TIME: Duration = Duration::from_millis(1500);

/// Delay between two attempts to follow a reader that may be starting.
const READER_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Reads the platform's records and publishes them to the traffic thread and to
/// the followers of this process.
pub struct Control<S> {
    /// Client of the platform.
    pub platform: S,
    /// Clock of the process.
    pub clock: Clock,
    /// Messages to the traffic thread.
    pub updates: Sender<Update>,
    /// Messages from the traffic thread.
    pub events: Receiver<Event>,
    /// Readiness of the process, which begins with the first view.
    pub readiness: Rc<Readiness>,
    /// The records, and the followers of this process.
    pub feed: Rc<Feed>,
    /// Readers that this process may follow.
    pub readers: Readers,
    /// Whether the records come from a reader's listing, made in a newer epoch than
    /// zero. It may contain evacuations that this reader holds since the restoration
    /// of the store and whose end only this reader reports.
    pub has_reader_listing: bool,
}

/// Result of one attempt to get records.
enum Outcome {
    /// The platform has answered, with or without changes.
    Updated,
    /// A reader was followed up to the time limit for doing so.
    Followed,
    /// The platform's store was restored from a copy, so all records must be
    /// listed.
    Restored,
    /// A call to the platform failed.
    Failed(PlatformError),
    /// The followed reader failed or is no longer current, for this reason.
    ReaderLost(String),
    /// No connection to the reader, for this reason; it may be starting.
    ReaderMissing(String),
    /// The traffic thread has finished, so the process ends.
    Finished,
}

impl<S: PlatformClient> Control<S> {
    /// Runs until the traffic thread has finished.
    pub async fn run(mut self) {
        store_epoch::record_start();
        let feed = Rc::clone(&self.feed);
        let watching_time = watch_time(feed, self.clock, self.updates.clone());
        tokio::select! {
            () = self.follow_platform() => {}
            () = watching_time => {}
        }
    }

    async fn follow_platform(&mut self) {
        let mut failures = 0;
        let readers_expected_until = self.clock.now() + READER_STARTUP_TIME;
        if let Some(Outcome::Finished) = self.join().await {
            return;
        }
        let mut must_list = !self.feed.catalog.borrow().has_configuration();
        let mut readers_may_start = false;
        loop {
            let platform_failed = failures >= OUTAGE_FAILURE_COUNT;
            let now = self.clock.now();
            let reader = self.readers.pick(now, platform_failed);
            let outcome = match reader {
                // No reader had any records when this process started, so it
                // lists those of the platform first.
                Some(reader) if !must_list || failures > 0 => self.follow_reader(reader).await,
                _ if must_list || self.has_reader_listing => self.list().await,
                None if readers_may_start && failures == 0 && now < readers_expected_until => {
                    if self.pause(READER_RETRY_DELAY).await {
                        return;
                    }
                    continue;
                }
                _ => self.watch().await,
            };
            match outcome {
                Outcome::Finished => return,
                Outcome::Updated => {
                    if failures >= OUTAGE_FAILURE_COUNT {
                        log::info!("the platform is back");
                    }
                    failures = 0;
                    must_list = false;
                }
                Outcome::Restored => {
                    failures = 0;
                    must_list = true;
                }
                Outcome::Followed => failures = 0,
                Outcome::ReaderLost(reason) => {
                    readers_may_start = false;
                    if let Some(reader) = reader {
                        self.reader_lost(reader, &reason);
                    }
                    must_list &= !self.feed.catalog.borrow().has_configuration();
                }
                Outcome::ReaderMissing(reason) => {
                    readers_may_start = now < readers_expected_until;
                    if let Some(reader) = reader {
                        self.reader_missing(reader, &reason, readers_may_start);
                    }
                    must_list &= !self.feed.catalog.borrow().has_configuration();
                }
                Outcome::Failed(err) => {
                    readers_may_start = false;
                    failures += 1;
                    must_list |= err == PlatformError::HistoryExpired;
                    if self.platform_call_failed(&err, failures).await {
                        return;
                    }
                }
            }
        }
    }

    async fn list(&mut self) -> Outcome {
        match self.platform.list().await {
            // A reader that was followed may have shown a newer epoch.
            Ok(listing) if listing.cursor.epoch() < self.cursor().epoch() => {
                Outcome::Failed(PlatformError::EpochOutdated)
            }
            Ok(listing) => {
                self.feed.record_platform_answer(true);
                self.has_reader_listing = false;
                self.apply(FeedMessage::Listing(listing));
                Outcome::Updated
            }
            Err(err) => Outcome::Failed(err),
        }
    }

    async fn watch(&mut self) -> Outcome {
        let Some(result) = self.watch_once().await else {
            return Outcome::Finished;
        };
        match result {
            Ok(changes) => {
                self.feed.record_platform_answer(true);
                let has_changes = !changes.changes.is_empty();
                self.apply(FeedMessage::Changes(changes));
                if has_changes && self.pause(BATCH_DELAY).await {
                    return Outcome::Finished;
                }
                Outcome::Updated
            }
            Err(PlatformError::EpochChanged) => Outcome::Restored,
            Err(err) => Outcome::Failed(err),
        }
    }

    /// Makes one watch call; none if the traffic thread has finished.
    async fn watch_once(&mut self) -> Option<Result<Changes, PlatformError>> {
        let cursor = self.cursor();
        let watch = self.platform.watch(cursor, LONG_POLL_WAIT);
        tokio::pin!(watch);
        let cause = tokio::select! {
            result = &mut watch => return Some(result),
            cause = until_interrupted(&self.events, &self.feed, &self.readiness) => cause,
        };
        match cause {
            Interruption::PeerAhead(revision) if revision.epoch() > cursor.epoch() => {
                Some(Err(PlatformError::EpochChanged))
            }
            Interruption::PeerAhead(_) => {
                let result = timeout(CATCH_UP_TIMEOUT, &mut watch).await;
                Some(result.unwrap_or_else(|_| Err(peer_ahead_error())))
            }
            Interruption::Finished => None,
        }
    }

    /// Follows a reader right from the start if it is running and has records, so
    /// that a process that joins a running fleet need not call the platform.
    async fn join(&mut self) -> Option<Outcome> {
        let reader = self.readers.pick(self.clock.now(), false)?;
        let attempt = timeout(JOIN_TIMEOUT, FeedClient::connect_to_current(reader));
        let (client, messages) = attempt.await.ok()?.ok()?;
        for message in messages {
            self.note_reader_listing(&message);
            self.apply(message);
        }
        let outcome = self.follow_client(reader, client).await;
        if let Outcome::ReaderLost(reason) = &outcome {
            self.reader_lost(reader, reason);
        }
        Some(outcome)
    }

    /// Records that following a reader failed.
    fn reader_lost(&mut self, reader: SocketAddrV4, reason: &str) {
        log::info!("the reader {reader} is not followed now: {reason}");
        self.feed.record_failure();
        self.readers.failed(reader, self.clock.now());
    }

    /// Records that a reader does not accept connections. `may_start`: it may be
    /// starting, so it is tried again soon.
    fn reader_missing(&mut self, reader: SocketAddrV4, reason: &str, may_start: bool) {
        if !may_start {
            return self.reader_lost(reader, reason);
        }
        log::info!("the reader {reader} is not followed now: {reason}");
        self.feed.record_failure();
        self.readers.not_ready(reader, self.clock.now());
    }

    async fn follow_reader(&mut self, reader: SocketAddrV4) -> Outcome {
        let has = match self.has_reader_listing {
            true => Revision(0),
            false => self.cursor(),
        };
        match FeedClient::connect(reader, has).await {
            Ok(client) => self.follow_client(reader, client).await,
            Err(err) => Outcome::ReaderMissing(err.to_string()),
        }
    }

    async fn follow_client(&mut self, reader: SocketAddrV4, mut client: FeedClient) -> Outcome {
        let events = self.events.clone();
        let limit = self.readers.follow_limit().unwrap_or(Duration::MAX);
        let follow_until = sleep(limit);
        tokio::pin!(follow_until);
        let mut is_behind = false;
        let mut is_first = true;
        loop {
            let next = async {
                if is_behind {
                    return timeout(CATCH_UP_TIMEOUT, client.next()).await?;
                }
                client.next().await
            };
            let message = tokio::select! {
                message = next => message,
                () = &mut follow_until => return Outcome::Followed,
                cause = until_interrupted(&events, &self.feed, &self.readiness), if !is_behind => {
                    let Interruption::PeerAhead(_) = cause else {
                        return Outcome::Finished;
                    };
                    is_behind = true;
                    continue;
                }
            };
            match message {
                Ok(message) if self.is_of_other_epoch(&message) => {
                    return Outcome::ReaderLost(format!(
                        "it is in epoch {} of the store, and this process in {}",
                        message.cursor().epoch().0,
                        self.cursor().epoch().0,
                    ));
                }
                Ok(FeedMessage::Alive { current: false, .. }) => {
                    return Outcome::ReaderLost("its records are stale".to_string());
                }
                Ok(FeedMessage::Alive { .. }) if is_behind => {
                    return Outcome::ReaderLost("another instance has newer records".to_string());
                }
                Ok(message) => {
                    is_behind = false;
                    self.readers.followed(reader);
                    // Later listings are as the platform made them.
                    if std::mem::take(&mut is_first) {
                        self.note_reader_listing(&message);
                    }
                    self.apply(message);
                }
                Err(err) => return Outcome::ReaderLost(err.to_string()),
            }
        }
    }

    /// Whether a reader's message can't be applied: it is of an older epoch than the
    /// records of this process, or of a newer one without listing them.
    fn is_of_other_epoch(&self, message: &FeedMessage) -> bool {
        let is_listing = matches!(message, FeedMessage::Listing(_));
        let catalog = self.feed.catalog.borrow();
        message.cursor().epoch() < catalog.cursor().epoch()
            || (!is_listing && catalog.needs_listing_for(message.cursor()))
    }

    /// Records that a reader has sent all its records after the connection was made.
    fn note_reader_listing(&mut self, message: &FeedMessage) {
        if let FeedMessage::Listing(listing) = message {
            self.has_reader_listing = listing.cursor.epoch() > Epoch::default();
        }
    }

    /// Applies a message to the catalog and passes it on to the followers, and sends
    /// the traffic thread a view if anything has changed.
    fn apply(&self, message: FeedMessage) {
        let now = self.clock.now();
        self.feed.broadcast(&message);
        let mut catalog = self.feed.catalog.borrow_mut();
        let was_current = catalog.is_current();
        let epoch = catalog.cursor().epoch();
        match message {
            FeedMessage::Listing(listing) if listing.cursor == Revision(0) => return,
            FeedMessage::Listing(listing) => catalog.replace(now, listing),
            FeedMessage::Changes(changes) => {
                let is_unchanged = changes.changes.is_empty() && was_current;
                catalog.apply(now, changes);
                if is_unchanged {
                    return;
                }
            }
            FeedMessage::Alive { cursor, .. } => {
                let changes = Changes {
                    cursor,
                    ..Changes::default()
                };
                catalog.apply(now, changes);
                if was_current {
                    return;
                }
            }
        }
        if catalog.cursor().epoch() > epoch {
            store_epoch::log_new_epoch(epoch, &catalog);
        }
        self.publish(&catalog);
    }

    fn publish(&self, catalog: &Catalog) {
        if send_view(catalog, self.clock.now(), &self.updates) {
            self.readiness.set_has_view();
        }
    }

    fn cursor(&self) -> Revision {
        self.feed.catalog.borrow().cursor()
    }

    /// Records a failed call to the platform and waits before the next one. True:
    /// the process ends.
    async fn platform_call_failed(&mut self, err: &PlatformError, failures: u32) -> bool {
        if failures.is_power_of_two() {
            log::warn!("{err}; failed calls in a row: {failures}");
        }
        self.feed.record_failure();
        if failures >= OUTAGE_FAILURE_COUNT {
            self.note_platform_outage();
        }
        let max_delay = if self.readers.is_reader() {
            MAX_READER_RETRY_DELAY
        } else {
            MAX_FOLLOWER_RETRY_DELAY
        };
        let delay = MIN_RETRY_DELAY * 2u32.saturating_pow(failures.min(8) - 1);
        self.pause(delay.min(max_delay)).await
    }

    /// Records that the platform is down. This is repeated after each failed call,
    /// because messages of a reader, even of one that is not current, may have
    /// marked the catalog as current in between.
    fn note_platform_outage(&self) {
        self.feed.record_platform_answer(false);
        let mut catalog = self.feed.catalog.borrow_mut();
        if catalog.platform_failed() {
            self.publish(&catalog);
        }
    }

    /// Waits while handling messages of the traffic thread. True: the process ends.
    async fn pause(&self, duration: Duration) -> bool {
        let pause = sleep(duration);
        tokio::pin!(pause);
        loop {
            tokio::select! {
                () = &mut pause => return false,
                event = self.events.recv_async() => match event {
                    Ok(Event::PeerRevision(_)) => {}
                    Ok(Event::PeersReachable(reachable)) => self.readiness.set_reachable(reachable),
                    Ok(Event::Finished) | Err(_) => return true,
                },
            }
        }
    }
}

/// Sends the traffic thread a view once the records have become stale, or once
/// something ends that remained in effect after a restoration of the store. Runs
/// concurrently with the calls and readers, which may hang.
async fn watch_time(feed: Rc<Feed>, clock: Clock, updates: Sender<Update>) {
    loop {
        sleep(TIME_CHECK_INTERVAL).await;
        let now = clock.now();
        let mut catalog = feed.catalog.borrow_mut();
        if catalog.update_staleness(now) {
            log::warn!("records are stale: no server is considered gone until they are updated");
            send_view(&catalog, now, &updates);
        }
        if let Some(changes) = catalog.end_holds(now) {
            store_epoch::log_ended_holds(&changes);
            if !changes.changes.is_empty() {
                feed.broadcast(&FeedMessage::Changes(changes));
            }
            send_view(&catalog, now, &updates);
        }
    }
}

/// Sends the traffic thread the current view; false if there is none yet.
fn send_view(catalog: &Catalog, now: Millis, updates: &Sender<Update>) -> bool {
    let Some(view) = catalog.view(now) else {
        return false;
    };
    // Sending fails only when the process is ending.
    let _ = updates.send(Update::View(Arc::new(view)));
    true
}

/// Why waiting for a message ended early.
enum Interruption {
    /// Another instance has records up to this revision, which this process has
    /// not.
    PeerAhead(Revision),
    /// The traffic thread has finished.
    Finished,
}

/// Handles messages of the traffic thread until one of them interrupts the wait
/// for records.
async fn until_interrupted(
    events: &Receiver<Event>,
    feed: &Feed,
    readiness: &Readiness,
) -> Interruption {
    loop {
        match events.recv_async().await {
            Ok(Event::PeerRevision(revision)) => {
                if revision > feed.catalog.borrow().cursor() {
                    return Interruption::PeerAhead(revision);
                }
            }
            Ok(Event::PeersReachable(reachable)) => readiness.set_reachable(reachable),
            Ok(Event::Finished) | Err(_) => return Interruption::Finished,
        }
    }
}

fn peer_ahead_error() -> PlatformError {
    PlatformError::Unreachable(
        "another instance has newer records than the watch has returned".to_string(),
    )
}

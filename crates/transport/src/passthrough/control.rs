//! Control of a process whose packets pass through: learns what the platform
//! publishes, from the platform or from a reader of it, and hands each new
//! view to the traffic thread.

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
use ramp_coordination::passthrough::published::FeedMessage;
use ramp_coordination::passthrough::published::Revision;
use ramp_coordination::passthrough::readers::Readers;
use ramp_state::time::Millis;
use tokio::time::sleep;
use tokio::time::timeout;

use super::feed::Feed;
use super::feed::FeedClient;
use super::readiness::Readiness;
use super::thread_messages::Event;
use super::thread_messages::Update;
use crate::clock::Clock;

/// Time that the platform holds a watch open when nothing changes. A watch
/// that is lost without a sign is noticed a little later.
const WATCH_WAIT: Duration = Duration::from_millis(1000);

/// Pause after an answer with changes: what comes close together is read in
/// one call.
const SETTLE: Duration = Duration::from_millis(200);

/// Pause after a failed call, growing up to the longest.
const RETRY_FIRST: Duration = Duration::from_millis(50);

/// Longest pause of a reader between failed calls.
const RETRY_LONGEST: Duration = Duration::from_millis(400);

/// Longest pause of everyone else.
const RETRY_LONGEST_FOLLOWER: Duration = Duration::from_millis(1000);

/// Time between two looks at how old the view is.
const EXPIRE_EVERY: Duration = Duration::from_millis(200);

/// Failed calls in a row from which the platform counts as away.
const AWAY_AFTER: u32 = 2;

/// Time in which whatever brings changes must bring what a peer knows.
const CATCH_UP: Duration = Duration::from_millis(300);

/// Time that a reader has to tell a process that starts what it knows.
const JOIN_LIMIT: Duration = Duration::from_millis(60);

/// Time after its start in which a process that has listed the platform waits for
/// readers that start beside it, in place of reading further itself.
const READERS_START: Duration = Duration::from_millis(1500);

/// Pause between two tries to follow one of them.
const READER_PAUSE: Duration = Duration::from_millis(50);

/// Follows the platform through `source` or a reader.
pub struct Control<S> {
    /// The platform's client.
    pub platform: S,
    /// Clock of the process.
    pub clock: Clock,
    /// News to the traffic thread.
    pub updates: Sender<Update>,
    /// News from the traffic thread.
    pub events: Receiver<Event>,
    /// Told once a view is there.
    pub readiness: Rc<Readiness>,
    /// What is known, and those that follow this process.
    pub feed: Rc<Feed>,
    /// Whom to follow.
    pub readers: Readers,
}

/// How one attempt to learn something ended.
enum Turn {
    /// The platform has told something, or nothing was new.
    Learned,
    /// A reader was followed for as long as this process follows one.
    Followed,
    /// The platform failed.
    Failed(PlatformError),
    /// The reader can't be followed any more.
    ReaderLost(String),
    /// Nobody is there; it may just be starting.
    ReaderMissing(String),
    /// The traffic thread has finished.
    Finished,
}

impl<S: PlatformClient> Control<S> {
    /// Runs until the traffic thread has finished.
    pub async fn run(mut self) {
        let feed = Rc::clone(&self.feed);
        let expiring = expire(feed, self.clock, self.updates.clone());
        tokio::select! {
            () = self.follow_platform() => {}
            () = expiring => {}
        }
    }

    async fn follow_platform(&mut self) {
        let mut failures = 0;
        let readers_by = self.clock.now() + READERS_START;
        if let Some(Turn::Finished) = self.join().await {
            return;
        }
        let mut list = !self.feed.catalog.borrow().has_configuration();
        let mut readers_start = false;
        loop {
            let away = failures >= AWAY_AFTER;
            let now = self.clock.now();
            let reader = self.readers.pick(now, away);
            let turn = match reader {
                // No reader knew anything when this process started, so the
                // platform itself is asked first.
                Some(reader) if !list || failures > 0 => self.follow(reader).await,
                _ if list => self.list().await,
                None if readers_start && failures == 0 && now < readers_by => {
                    if self.pause(READER_PAUSE).await {
                        return;
                    }
                    continue;
                }
                _ => self.watch().await,
            };
            match turn {
                Turn::Finished => return,
                Turn::Learned => {
                    if failures >= AWAY_AFTER {
                        log::info!("the platform is back");
                    }
                    failures = 0;
                    list = false;
                }
                Turn::Followed => failures = 0,
                Turn::ReaderLost(reason) => {
                    readers_start = false;
                    if let Some(reader) = reader {
                        self.lose(reader, &reason);
                    }
                    list &= !self.feed.catalog.borrow().has_configuration();
                }
                Turn::ReaderMissing(reason) => {
                    readers_start = now < readers_by;
                    if let Some(reader) = reader {
                        self.miss(reader, &reason, readers_start);
                    }
                    list &= !self.feed.catalog.borrow().has_configuration();
                }
                Turn::Failed(err) => {
                    readers_start = false;
                    failures += 1;
                    list |= err == PlatformError::HistoryExpired;
                    if self.fail(&err, failures).await {
                        return;
                    }
                }
            }
        }
    }

    async fn list(&mut self) -> Turn {
        match self.platform.list().await {
            Ok(listing) => {
                self.feed.record_platform_answer(true);
                self.learn(FeedMessage::Listing(listing));
                Turn::Learned
            }
            Err(err) => Turn::Failed(err),
        }
    }

    async fn watch(&mut self) -> Turn {
        let Some(result) = self.watch_once().await else {
            return Turn::Finished;
        };
        match result {
            Ok(changes) => {
                self.feed.record_platform_answer(true);
                let settle = !changes.changes.is_empty();
                self.learn(FeedMessage::Changes(changes));
                if settle && self.pause(SETTLE).await {
                    return Turn::Finished;
                }
                Turn::Learned
            }
            Err(err) => Turn::Failed(err),
        }
    }

    /// One call; none when the traffic thread has finished.
    async fn watch_once(&mut self) -> Option<Result<Changes, PlatformError>> {
        let cursor = self.cursor();
        let watch = self.platform.watch(cursor, WATCH_WAIT);
        tokio::pin!(watch);
        let end = tokio::select! {
            result = &mut watch => return Some(result),
            end = until_behind(&self.events, &self.feed, &self.readiness) => end,
        };
        match end {
            Behind::Peer => {
                let late = timeout(CATCH_UP, &mut watch).await;
                Some(late.unwrap_or_else(|_| Err(unheard())))
            }
            Behind::Finished => None,
        }
    }

    /// Follows a reader from the start on, if it is there and knows anything: a
    /// process that starts beside a running fleet need not call the platform.
    async fn join(&mut self) -> Option<Turn> {
        let reader = self.readers.pick(self.clock.now(), false)?;
        let joining = timeout(JOIN_LIMIT, FeedClient::connect_to_current(reader));
        let (client, known) = joining.await.ok()?.ok()?;
        for news in known {
            self.learn(news);
        }
        let turn = self.follow_on(reader, client).await;
        if let Turn::ReaderLost(reason) = &turn {
            self.lose(reader, reason);
        }
        Some(turn)
    }

    /// Takes note that a reader can't be followed now.
    fn lose(&mut self, reader: SocketAddrV4, reason: &str) {
        log::info!("the reader {reader} is not followed now: {reason}");
        self.feed.record_failure();
        self.readers.failed(reader, self.clock.now());
    }

    /// Takes note that nobody is there where a reader should be; `starts`: it may
    /// just be starting.
    fn miss(&mut self, reader: SocketAddrV4, reason: &str, starts: bool) {
        if !starts {
            return self.lose(reader, reason);
        }
        log::info!("the reader {reader} is not followed now: {reason}");
        self.feed.record_failure();
        self.readers.not_ready(reader, self.clock.now());
    }

    async fn follow(&mut self, reader: SocketAddrV4) -> Turn {
        match FeedClient::connect(reader, self.cursor()).await {
            Ok(client) => self.follow_on(reader, client).await,
            Err(err) => Turn::ReaderMissing(err.to_string()),
        }
    }

    async fn follow_on(&mut self, reader: SocketAddrV4, mut client: FeedClient) -> Turn {
        let events = self.events.clone();
        let limit = self.readers.follow_limit().unwrap_or(Duration::MAX);
        let until = sleep(limit);
        tokio::pin!(until);
        let mut behind = false;
        loop {
            let next = async {
                if behind {
                    return timeout(CATCH_UP, client.next()).await?;
                }
                client.next().await
            };
            let news = tokio::select! {
                news = next => news,
                () = &mut until => return Turn::Followed,
                end = until_behind(&events, &self.feed, &self.readiness), if !behind => {
                    let Behind::Peer = end else {
                        return Turn::Finished;
                    };
                    behind = true;
                    continue;
                }
            };
            match news {
                Ok(FeedMessage::Alive { current: false, .. }) => {
                    return Turn::ReaderLost("it is not current".to_string());
                }
                Ok(FeedMessage::Alive { .. }) if behind => {
                    return Turn::ReaderLost("a peer knows more".to_string());
                }
                Ok(news) => {
                    behind = false;
                    self.readers.followed(reader);
                    self.learn(news);
                }
                Err(err) => return Turn::ReaderLost(err.to_string()),
            }
        }
    }

    /// Takes news in, and tells the traffic thread and the followers.
    fn learn(&self, news: FeedMessage) {
        let now = self.clock.now();
        self.feed.broadcast(&news);
        let mut catalog = self.feed.catalog.borrow_mut();
        let was_well = catalog.is_current();
        match news {
            FeedMessage::Listing(listing) if listing.cursor == Revision(0) => return,
            FeedMessage::Listing(listing) => catalog.replace(now, listing),
            FeedMessage::Changes(changes) => {
                let nothing = changes.changes.is_empty() && was_well;
                catalog.apply(now, changes);
                if nothing {
                    return;
                }
            }
            FeedMessage::Alive { cursor, .. } => {
                let changes = Changes {
                    cursor,
                    ..Changes::default()
                };
                catalog.apply(now, changes);
                if was_well {
                    return;
                }
            }
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

    /// Takes note of a failure and waits before the next try; true when the
    /// process ends.
    async fn fail(&mut self, err: &PlatformError, failures: u32) -> bool {
        if failures.is_power_of_two() {
            log::warn!("{err}; failed calls in a row: {failures}");
        }
        self.feed.record_failure();
        if failures >= AWAY_AFTER {
            self.note_away();
        }
        let longest = if self.readers.is_reader() {
            RETRY_LONGEST
        } else {
            RETRY_LONGEST_FOLLOWER
        };
        let longer = RETRY_FIRST * 2u32.saturating_pow(failures.min(8) - 1);
        self.pause(longer.min(longest)).await
    }

    /// Takes note that the platform is away. A reader that is not current may
    /// have told something since this was noted last.
    fn note_away(&self) {
        self.feed.record_platform_answer(false);
        let mut catalog = self.feed.catalog.borrow_mut();
        if catalog.platform_failed() {
            self.publish(&catalog);
        }
    }

    /// Waits; true when the process ends.
    async fn pause(&self, span: Duration) -> bool {
        let pause = sleep(span);
        tokio::pin!(pause);
        loop {
            tokio::select! {
                () = &mut pause => return false,
                event = self.events.recv_async() => match event {
                    Ok(Event::PeerRevision(_)) => {}
                    Ok(Event::PeersReachable(reaches)) => self.readiness.set_reachable(reaches),
                    Ok(Event::Finished) | Err(_) => return true,
                },
            }
        }
    }
}

/// Tells the traffic thread once what it goes by has become too old, however
/// the calls or readers hang.
async fn expire(feed: Rc<Feed>, clock: Clock, updates: Sender<Update>) {
    loop {
        sleep(EXPIRE_EVERY).await;
        let now = clock.now();
        let mut catalog = feed.catalog.borrow_mut();
        if catalog.update_staleness(now) {
            log::warn!("no news for too long: no server counts as gone now");
            send_view(&catalog, now, &updates);
        }
    }
}

/// Hands over the view of this moment; false when nothing is known yet.
fn send_view(catalog: &Catalog, now: Millis, updates: &Sender<Update>) -> bool {
    let Some(view) = catalog.view(now) else {
        return false;
    };
    // The traffic thread is gone only when the process ends.
    let _ = updates.send(Update::View(Arc::new(view)));
    true
}

/// Why waiting for news ended early.
enum Behind {
    /// A peer knows more than this process.
    Peer,
    /// The traffic thread has finished.
    Finished,
}

async fn until_behind(events: &Receiver<Event>, feed: &Feed, readiness: &Readiness) -> Behind {
    loop {
        match events.recv_async().await {
            Ok(Event::PeerRevision(heard)) => {
                if heard > feed.catalog.borrow().cursor() {
                    return Behind::Peer;
                }
            }
            Ok(Event::PeersReachable(reaches)) => readiness.set_reachable(reaches),
            Ok(Event::Finished) | Err(_) => return Behind::Finished,
        }
    }
}

fn unheard() -> PlatformError {
    PlatformError::Unreachable("a peer knows more than the watch has brought".to_string())
}

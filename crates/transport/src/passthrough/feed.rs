//! What a reader of the platform tells those that follow it: one line of JSON
//! for each piece of news, over TCP.
//!
//! A follower first sends a line with the revision that it has. Unless that
//! is the reader's own, it gets everything; then it gets what changes, and a
//! sign of life when nothing does.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ramp_coordination::passthrough::catalog::Catalog;
use ramp_coordination::passthrough::published::FeedMessage;
use ramp_coordination::passthrough::published::Revision;
use ramp_state::time::Millis;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::io::Lines;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::broadcast;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::connect::connect;
use crate::clock::Clock;

/// Time between two signs of life.
const ALIVE_EVERY: Duration = Duration::from_millis(500);

/// Silence of a reader after which it counts as lost.
const SILENCE_LIMIT: Duration = Duration::from_millis(1200);

/// Time that a reader has to accept a follower, and a follower to say what it
/// has or to take what it is sent.
const PEER_LIMIT: Duration = Duration::from_millis(500);

/// Age of the platform's last answer from which a reader is not current.
const CURRENT_LIMIT: Duration = Duration::from_millis(1600);

/// Pieces of news that a slow follower may be behind before it is let go.
const BACKLOG_NEWS: usize = 32;

/// What this process knows, and those that follow it.
#[derive(Debug)]
pub struct Feed {
    /// Records of the platform.
    pub catalog: RefCell<Catalog>,
    answered_at: Cell<Option<Millis>>,
    news: broadcast::Sender<Arc<str>>,
    clock: Clock,
}

/// A reader that this process follows.
#[derive(Debug)]
pub struct FeedClient {
    lines: Lines<BufReader<OwnedReadHalf>>,
    /// Kept open: the reader takes its end for the follower's.
    _write: OwnedWriteHalf,
}

impl Feed {
    /// Feed of a process that knows nothing yet.
    pub fn new(clock: Clock) -> Feed {
        let (news, _) = broadcast::channel(BACKLOG_NEWS);
        Feed {
            catalog: RefCell::new(Catalog::new()),
            answered_at: Cell::new(None),
            news,
            clock,
        }
    }

    /// Takes note whether the platform itself has answered.
    pub fn record_platform_answer(&self, answered: bool) {
        let now = self.clock.now();
        self.answered_at.set(answered.then_some(now));
    }

    /// Takes note that neither the platform nor a reader told anything now.
    pub fn record_failure(&self) {
        let now = self.clock.now();
        self.catalog.borrow_mut().call_failed(now);
    }

    /// Tells all followers.
    pub fn broadcast(&self, news: &FeedMessage) {
        if self.news.receiver_count() == 0 {
            return;
        }
        match line(news) {
            // Nobody may be left by now, which is no fault.
            Ok(line) => drop(self.news.send(line)),
            Err(err) => log::error!("news can't be written: {err}"),
        }
    }

    /// Serves followers until the listener fails. Must run inside a `LocalSet`.
    pub async fn serve(self: Rc<Feed>, listener: TcpListener) {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(err) => {
                    log::warn!("a follower was not accepted: {err}");
                    continue;
                }
            };
            let feed = Rc::clone(&self);
            spawn_local(async move {
                if let Err(err) = feed.serve_one(stream).await {
                    log::debug!("a follower left: {err}");
                }
            });
        }
    }

    async fn serve_one(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (read, mut write) = stream.into_split();
        let mut lines = BufReader::new(read).lines();
        let has = timeout(PEER_LIMIT, lines.next_line()).await??;
        let has: Revision = serde_json::from_str(&has.unwrap_or_default())?;
        let mut news = self.news.subscribe();
        if has != self.cursor() {
            let listing = self.catalog.borrow().listing(self.clock.now());
            send(&mut write, &line(&FeedMessage::Listing(listing))?).await?;
        }
        loop {
            // A sign of life tells the revision that everything before it shows.
            if news.is_empty() {
                send(&mut write, &line(&self.alive())?).await?;
            }
            tokio::select! {
                // A follower says nothing more: this is its end.
                _ = lines.next_line() => return Ok(()),
                next = timeout(ALIVE_EVERY, news.recv()) => match next {
                    Ok(Ok(line)) => send(&mut write, &line).await?,
                    Ok(Err(err)) => return Err(io::Error::other(err)),
                    Err(_) => {}
                },
            }
        }
    }

    fn cursor(&self) -> Revision {
        self.catalog.borrow().cursor()
    }

    fn alive(&self) -> FeedMessage {
        let age = |at: Millis| self.clock.now().since(at);
        let answered_at = self.answered_at.get();
        FeedMessage::Alive {
            cursor: self.cursor(),
            current: answered_at.is_some_and(|at| age(at) < CURRENT_LIMIT),
        }
    }
}

impl FeedClient {
    /// Follows the reader at `address`; `has` is what is known already.
    ///
    /// # Errors
    ///
    /// It can't be reached in time.
    pub async fn connect(address: SocketAddrV4, has: Revision) -> io::Result<FeedClient> {
        let stream = connect(address, PEER_LIMIT).await?;
        stream.set_nodelay(true)?;
        let (read, mut write) = stream.into_split();
        let mut hello = serde_json::to_string(&has)?;
        hello.push('\n');
        send(&mut write, &hello).await?;
        Ok(FeedClient {
            lines: BufReader::new(read).lines(),
            _write: write,
        })
    }

    /// Follows the reader at `address` for the first time: gives what it knows,
    /// once it has shown that the platform answers it.
    ///
    /// # Errors
    ///
    /// As [`FeedClient::connect`] and [`FeedClient::next`]; the reader knows nothing
    /// yet, or the platform does not answer it.
    pub async fn connect_to_current(
        address: SocketAddrV4,
    ) -> io::Result<(FeedClient, Vec<FeedMessage>)> {
        let mut following = FeedClient::connect(address, Revision(0)).await?;
        let mut known = Vec::new();
        loop {
            match following.next().await? {
                FeedMessage::Alive { current: true, .. } if !known.is_empty() => {
                    return Ok((following, known));
                }
                FeedMessage::Alive { .. } => return Err(io::Error::other("it is not current")),
                news => known.push(news),
            }
        }
    }

    /// The next piece of news. Nothing is lost when the call is dropped.
    ///
    /// # Errors
    ///
    /// The reader has ended, is silent for too long, or can't be understood.
    pub async fn next(&mut self) -> io::Result<FeedMessage> {
        let line = timeout(SILENCE_LIMIT, self.lines.next_line()).await??;
        let line = line.ok_or(io::ErrorKind::UnexpectedEof)?;
        Ok(serde_json::from_str(&line)?)
    }
}

async fn send(write: &mut OwnedWriteHalf, line: &str) -> io::Result<()> {
    timeout(PEER_LIMIT, write.write_all(line.as_bytes())).await?
}

fn line(news: &FeedMessage) -> io::Result<Arc<str>> {
    let mut line = serde_json::to_string(news)?;
    line.push('\n');
    Ok(line.into())
}

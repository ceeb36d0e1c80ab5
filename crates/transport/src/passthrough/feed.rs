//! Replicates the platform's records from readers, which read the platform, to
//! their followers over TCP, as one line of JSON for each message.
//!
//! A follower first sends a line with the revision that it has. If the reader has
//! a different one, the reader sends all records. From then on it sends each
//! change, a heartbeat whenever no further change is queued, and more heartbeats
//! while nothing changes.

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

/// Time between two heartbeats while nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a message after which a reader is considered lost.
const READER_SILENCE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Time in which a reader must accept a connection, and a follower must send its
/// revision and receive each message.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Age of the platform's last answer from which a reader's records are no longer
/// considered current.
const MAX_CURRENT_AGE: Duration = Duration::from_millis(1600);

/// Number of messages that a slow follower may lag behind before it is
/// disconnected.
const MAX_BACKLOG_MESSAGES: usize = 32;

/// The platform's records at this process, and the connections of its followers.
#[derive(Debug)]
pub struct Feed {
    /// Copy of the platform's records.
    pub catalog: RefCell<Catalog>,
    answered_at: Cell<Option<Millis>>,
    messages: broadcast::Sender<Arc<str>>,
    clock: Clock,
}

/// Connection to a reader that this process follows.
#[derive(Debug)]
pub struct FeedClient {
    lines: Lines<BufReader<OwnedReadHalf>>,
    /// Kept open: once it is closed, the reader considers the follower gone.
    _write: OwnedWriteHalf,
}

impl Feed {
    /// Feed of a process that has no records yet.
    pub fn new(clock: Clock) -> Feed {
        let (messages, _) = broadcast::channel(MAX_BACKLOG_MESSAGES);
        Feed {
            catalog: RefCell::new(Catalog::new()),
            answered_at: Cell::new(None),
            messages,
            clock,
        }
    }

    /// Records whether the platform itself has answered this process.
    pub fn record_platform_answer(&self, answered: bool) {
        let now = self.clock.now();
        self.answered_at.set(answered.then_some(now));
    }

    /// Records a failure to get changes from the platform or from a reader.
    pub fn record_failure(&self) {
        let now = self.clock.now();
        self.catalog.borrow_mut().call_failed(now);
    }

    /// Sends a message to all followers.
    pub fn broadcast(&self, message: &FeedMessage) {
        if self.messages.receiver_count() == 0 {
            return;
        }
        match encode_line(message) {
            // Sending fails if no follower is left, which is no error.
            Ok(line) => drop(self.messages.send(line)),
            Err(err) => log::error!("feed message can't be encoded: {err}"),
        }
    }

    /// Accepts followers and serves each until it disconnects. Runs until dropped,
    /// inside a `LocalSet`.
    pub async fn serve(self: Rc<Feed>, listener: TcpListener) {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(err) => {
                    log::warn!("connection of a follower not accepted: {err}");
                    continue;
                }
            };
            let feed = Rc::clone(&self);
            spawn_local(async move {
                if let Err(err) = feed.serve_one(stream).await {
                    log::debug!("connection of a follower ended: {err}");
                }
            });
        }
    }

    async fn serve_one(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (read, mut write) = stream.into_split();
        let mut lines = BufReader::new(read).lines();
        let has = timeout(PEER_TIMEOUT, lines.next_line()).await??;
        let has: Revision = serde_json::from_str(&has.unwrap_or_default())?;
        let mut messages = self.messages.subscribe();
        if has != self.cursor() {
            let listing = self.catalog.borrow().listing(self.clock.now());
            send(&mut write, &encode_line(&FeedMessage::Listing(listing))?).await?;
        }
        loop {
            // A heartbeat contains the revision that all earlier messages lead to,
            // so it must not overtake any of them.
            if messages.is_empty() {
                send(&mut write, &encode_line(&self.heartbeat())?).await?;
            }
            tokio::select! {
                // A follower sends nothing more, so this is its end.
                _ = lines.next_line() => return Ok(()),
                next = timeout(HEARTBEAT_INTERVAL, messages.recv()) => match next {
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

    fn heartbeat(&self) -> FeedMessage {
        let age = |at: Millis| self.clock.now().since(at);
        let answered_at = self.answered_at.get();
        FeedMessage::Alive {
            cursor: self.cursor(),
            current: answered_at.is_some_and(|at| age(at) < MAX_CURRENT_AGE),
        }
    }
}

impl FeedClient {
    /// Connects to the reader at `address`. `has` is the revision of the records that
    /// this process has.
    ///
    /// # Errors
    ///
    /// The reader can't be reached in time.
    pub async fn connect(address: SocketAddrV4, has: Revision) -> io::Result<FeedClient> {
        let stream = connect(address, PEER_TIMEOUT).await?;
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

    /// Connects to the reader at `address` without any records. Returns all records
    /// of the reader, once it has confirmed that they are current.
    ///
    /// # Errors
    ///
    /// The same as for [`FeedClient::connect`] and [`FeedClient::next`]; also if the
    /// reader has no records yet or the platform does not answer it.
    pub async fn connect_to_current(
        address: SocketAddrV4,
    ) -> io::Result<(FeedClient, Vec<FeedMessage>)> {
        let mut client = FeedClient::connect(address, Revision(0)).await?;
        let mut messages = Vec::new();
        loop {
            match client.next().await? {
                FeedMessage::Alive { current: true, .. } if !messages.is_empty() => {
                    return Ok((client, messages));
                }
                FeedMessage::Alive { .. } => return Err(io::Error::other("its records are stale")),
                message => messages.push(message),
            }
        }
    }

    /// Waits for the next message. Dropping the call loses no message.
    ///
    /// # Errors
    ///
    /// The reader has closed the connection or is silent for too long, or a message
    /// can't be decoded.
    pub async fn next(&mut self) -> io::Result<FeedMessage> {
        let line = timeout(READER_SILENCE_TIMEOUT, self.lines.next_line()).await??;
        let line = line.ok_or(io::ErrorKind::UnexpectedEof)?;
        Ok(serde_json::from_str(&line)?)
    }
}

async fn send(write: &mut OwnedWriteHalf, line: &str) -> io::Result<()> {
    timeout(PEER_TIMEOUT, write.write_all(line.as_bytes())).await?
}

fn encode_line(message: &FeedMessage) -> io::Result<Arc<str>> {
    let mut line = serde_json::to_string(message)?;
    line.push('\n');
    Ok(line.into())
}

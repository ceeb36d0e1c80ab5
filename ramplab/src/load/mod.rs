//! Callers: long feeds, claims, uploads and balances at steady rates, with
//! every answer checked.

pub mod ask;
pub mod attempt;
pub mod connection;
pub mod counts;
pub mod feed;

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use ramp_coordination::random::Random;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;

use crate::history::EventData;
use crate::history::RequestKind;
use crate::history::Writer;
use crate::load::ask::Ask;
use crate::load::connection::Connection;
use crate::load::counts::Counts;

/// Callers' IPs, by which the fabric tells them apart.
const CALLERS: u64 = 8;

/// Feeds opened each second at the start.
const FEEDS_OPENED_PER_S: u64 = 500;

/// Requests in progress above which no more are sent.
const IN_PROGRESS_MOST: u64 = 2000;

/// Time for requests in progress to end after the last was sent.
const FINISH_LIMIT: Duration = Duration::from_secs(10);

/// A service that callers use.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its name.
    pub name: String,
    /// Local port of the fabric that stands for it.
    pub local: SocketAddr,
}

/// How much of what to send.
#[derive(Clone, Debug)]
pub struct Config {
    /// Services: feeds, claims and balances go to the first, uploads to the
    /// last.
    pub targets: Vec<Target>,
    /// Feeds open at once.
    pub feeds: u64,
    /// Time before the first feed is opened, so that servers are warm by then.
    pub warm_up: Duration,
    /// Period of a feed's events.
    pub feed_period: Duration,
    /// Claims each second.
    pub claims_per_s: f64,
    /// Uploads each second.
    pub uploads_per_s: f64,
    /// Length of an upload, in bytes.
    pub upload_len: usize,
    /// Balances each second.
    pub balances_per_s: f64,
    /// Most bytes of a balance.
    pub balance_len_most: u64,
    /// Time for which load is sent.
    pub span: Duration,
    /// Time that callers give a request.
    pub deadline: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}

/// What the tasks of a run share.
pub struct Load {
    cfg: Config,
    history: RefCell<Option<Writer>>,
    counts: RefCell<Counts>,
    rng: RefCell<Random>,
    next_number: Cell<u64>,
    idle: RefCell<Vec<Connection>>,
    stopping: watch::Sender<bool>,
}

impl Load {
    /// Load that writes its events to `history`, if any.
    pub fn new(cfg: Config, history: Option<Writer>) -> Rc<Load> {
        Rc::new(Load {
            rng: RefCell::new(Random::new(cfg.seed)),
            cfg,
            history: RefCell::new(history),
            counts: RefCell::default(),
            next_number: Cell::new(0),
            idle: RefCell::default(),
            stopping: watch::Sender::new(false),
        })
    }

    /// Sends the load for its time, or until `stop`, and returns the counts.
    pub async fn run(self: &Rc<Self>, stop: impl Future<Output = ()>) -> Counts {
        let mut feeds = JoinSet::new();
        let mut requests = JoinSet::new();
        let started = Instant::now();
        for number in 0..self.cfg.feeds {
            let wait = Duration::from_millis(number * 1000 / FEEDS_OPENED_PER_S);
            feeds.spawn_local(self.clone().keep_feed_open(self.cfg.warm_up + wait));
        }
        for (kind, rate) in self.rates() {
            if rate > 0.0 {
                requests.spawn_local(self.clone().send_steadily(kind, rate));
            }
        }
        tokio::select! {
            () = tokio::time::sleep(self.cfg.span) => {}
            () = stop => {}
            () = self.show_progress(started) => {}
        }
        self.stopping.send_replace(true);
        let finish = async {
            while requests.join_next().await.is_some() {}
            while feeds.join_next().await.is_some() {}
        };
        if tokio::time::timeout(FINISH_LIMIT, finish).await.is_err() {
            log::warn!("some requests did not end in time");
        }
        self.idle.borrow_mut().clear();
        // Lets the connections' tasks note the end of their flows.
        tokio::time::sleep(Duration::from_millis(100)).await;
        self.counts.borrow().clone()
    }

    fn rates(&self) -> [(RequestKind, f64); 3] {
        [
            (RequestKind::Claim, self.cfg.claims_per_s),
            (RequestKind::Upload, self.cfg.uploads_per_s),
            (RequestKind::Balance, self.cfg.balances_per_s),
        ]
    }

    /// Sends requests of one kind, whether or not earlier ones have ended.
    async fn send_steadily(self: Rc<Self>, kind: RequestKind, per_s: f64) {
        let mut tasks = JoinSet::new();
        let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / per_s));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        let mut stopping = self.stopping.subscribe();
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                _ = stopping.wait_for(|&s| s) => break,
            }
            if tasks.len() as u64 >= IN_PROGRESS_MOST {
                self.counts.borrow_mut().held_back += 1;
            } else {
                let ask = self.new_ask(kind);
                tasks.spawn_local(self.clone().see_through(ask));
            }
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
    }

    fn new_ask(&self, kind: RequestKind) -> Ask {
        let cfg = &self.cfg;
        let number = self.number();
        let id = request_id(unix_ms(), cfg.seed, number);
        match kind {
            RequestKind::Claim => Ask::claim(id, 0),
            RequestKind::Upload => Ask::upload(id, cfg.targets.len() - 1, cfg.upload_len),
            RequestKind::Balance => {
                let len = self.rng.borrow_mut().below(cfg.balance_len_most) + 1;
                Ask::balance(id, 0, len as usize)
            }
            RequestKind::Feed => Ask::feed(id, 0, cfg.feed_period),
        }
    }

    async fn show_progress(&self, started: Instant) {
        let mut ticks = tokio::time::interval(Duration::from_secs(1));
        loop {
            ticks.tick().await;
            let s = started.elapsed().as_secs();
            eprintln!("{s:>4} s  {}", self.counts.borrow());
        }
    }

    /// Unique number within the run.
    fn number(&self) -> u64 {
        let number = self.next_number.get() + 1;
        self.next_number.set(number);
        number
    }

    /// IP of the next caller.
    fn caller(&self) -> Ipv4Addr {
        let number = self.rng.borrow_mut().below(CALLERS) as u8;
        Ipv4Addr::new(127, 0, 1, 1 + number)
    }

    fn record(&self, what: EventData) {
        if let Some(history) = &mut *self.history.borrow_mut() {
            history.write(what);
        }
    }

    /// A free connection to the service, or a new one.
    async fn connection(self: &Rc<Self>, service: usize) -> io::Result<Connection> {
        match self.take_idle(service) {
            Some(conn) => Ok(conn),
            None => Connection::open(self, service).await,
        }
    }

    fn take_idle(&self, service: usize) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|conn| !conn.is_closed());
        let position = idle.iter().position(|conn| conn.service == service)?;
        Some(idle.swap_remove(position))
    }
}

/// Identity of a request: a UUID of version 7, so that agents that started
/// after it was made can tell.
fn request_id(unix_ms: u64, seed: u64, number: u64) -> String {
    let (high, low) = (unix_ms >> 16 & 0xffff_ffff, unix_ms & 0xffff);
    let (a, b) = (seed & 0xfff, seed >> 12 & 0xfff);
    format!("{high:08x}-{low:04x}-7{a:03x}-8{b:03x}-{number:012x}")
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| span.as_millis() as u64)
}

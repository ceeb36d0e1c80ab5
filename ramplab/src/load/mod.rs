//! Load generator: simulates callers that keep feeds open and send claims, uploads
//! and balances at fixed rates, and checks each response.

pub mod attempt;
pub mod connection;
pub mod counts;
pub mod feed;
pub mod request_spec;

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
use crate::load::connection::Connection;
use crate::load::counts::Counts;
use crate::load::request_spec::RequestSpec;

/// Number of local IPs that callers connect from; the fabric maps each to a virtual
/// caller IP.
const CALLER_IP_COUNT: u64 = 8;

/// Rate at which feeds are opened at the start.
const FEED_OPEN_RATE_PER_S: u64 = 500;

/// Requests of one type in progress above which no more are sent.
const MAX_IN_PROGRESS_REQUESTS: u64 = 2000;

/// Time that requests in progress have to end after the last one was sent.
const FINISH_TIMEOUT: Duration = Duration::from_secs(10);

/// A service that load is sent to.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name of the service, sent as the `Host` header.
    pub name: String,
    /// Local address of the fabric, or of a server, to connect to.
    pub address: SocketAddr,
}

/// Settings of a load run.
#[derive(Clone, Debug)]
pub struct Config {
    /// Target services: feeds, claims and balances go to the first, uploads to the
    /// last.
    pub targets: Vec<Target>,
    /// Number of feeds to keep open.
    pub feeds: u64,
    /// Delay before the first feed is opened, so that servers are warm by then.
    pub warm_up: Duration,
    /// Interval between the events of a feed.
    pub feed_period: Duration,
    /// Claims per second; zero for none.
    pub claims_per_s: f64,
    /// Uploads per second; zero for none.
    pub uploads_per_s: f64,
    /// Length of each upload body.
    pub upload_len_bytes: usize,
    /// Balances per second; zero for none.
    pub balances_per_s: f64,
    /// Maximum length of a balance response; each length is drawn from 1 up to it.
    pub max_balance_len_bytes: u64,
    /// Duration of sending.
    pub duration: Duration,
    /// Deadline of each request, counted from sending it.
    pub deadline: Duration,
    /// Seed of the random number generator; also part of request and attempt IDs.
    pub seed: u64,
}

/// State shared by the tasks of a load run.
pub struct LoadGenerator {
    cfg: Config,
    history: RefCell<Option<Writer>>,
    counts: RefCell<Counts>,
    rng: RefCell<Random>,
    next_number: Cell<u64>,
    idle: RefCell<Vec<Connection>>,
    stopping: watch::Sender<bool>,
}

impl LoadGenerator {
    /// Creates a generator that records its events in `history`, if any.
    pub fn new(cfg: Config, history: Option<Writer>) -> Rc<LoadGenerator> {
        Rc::new(LoadGenerator {
            rng: RefCell::new(Random::new(cfg.seed)),
            cfg,
            history: RefCell::new(history),
            counts: RefCell::default(),
            next_number: Cell::new(0),
            idle: RefCell::default(),
            stopping: watch::Sender::new(false),
        })
    }

    /// Sends load for the configured duration, or until `stop` completes, and
    /// returns the counts.
    pub async fn run(self: &Rc<Self>, stop: impl Future<Output = ()>) -> Counts {
        let mut feeds = JoinSet::new();
        let mut requests = JoinSet::new();
        let started = Instant::now();
        for number in 0..self.cfg.feeds {
            let delay = Duration::from_millis(number * 1000 / FEED_OPEN_RATE_PER_S);
            feeds.spawn_local(self.clone().keep_feed_open(self.cfg.warm_up + delay));
        }
        for (kind, rate) in self.rates() {
            if rate > 0.0 {
                requests.spawn_local(self.clone().send_at_rate(kind, rate));
            }
        }
        tokio::select! {
            () = tokio::time::sleep(self.cfg.duration) => {}
            () = stop => {}
            () = self.show_progress(started) => {}
        }
        self.stopping.send_replace(true);
        let finish = async {
            while requests.join_next().await.is_some() {}
            while feeds.join_next().await.is_some() {}
        };
        if tokio::time::timeout(FINISH_TIMEOUT, finish).await.is_err() {
            log::warn!("some requests did not end within {FINISH_TIMEOUT:?} after the run");
        }
        self.idle.borrow_mut().clear();
        // Gives the connections' tasks time to record the end of their flows.
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

    /// Sends requests of one type at a fixed rate, whether or not earlier ones have
    /// ended (open-loop load).
    async fn send_at_rate(self: Rc<Self>, kind: RequestKind, per_s: f64) {
        let mut tasks = JoinSet::new();
        let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / per_s));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        let mut stopping = self.stopping.subscribe();
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                _ = stopping.wait_for(|&s| s) => break,
            }
            if tasks.len() as u64 >= MAX_IN_PROGRESS_REQUESTS {
                self.counts.borrow_mut().held_back += 1;
            } else {
                let spec = self.new_request(kind);
                tasks.spawn_local(self.clone().send_with_retries(spec));
            }
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
    }

    fn new_request(&self, kind: RequestKind) -> RequestSpec {
        let cfg = &self.cfg;
        let number = self.take_number();
        let id = request_id(unix_ms(), cfg.seed, number);
        match kind {
            RequestKind::Claim => RequestSpec::claim(id, 0),
            RequestKind::Upload => {
                RequestSpec::upload(id, cfg.targets.len() - 1, cfg.upload_len_bytes)
            }
            RequestKind::Balance => {
                let len = self.rng.borrow_mut().below(cfg.max_balance_len_bytes) + 1;
                RequestSpec::balance(id, 0, len as usize)
            }
            RequestKind::Feed => RequestSpec::feed(id, 0, cfg.feed_period),
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

    /// Next number of the run, for request and attempt IDs.
    fn take_number(&self) -> u64 {
        let number = self.next_number.get() + 1;
        self.next_number.set(number);
        number
    }

    /// Local IP, picked at random, for the next connection.
    fn random_caller_ip(&self) -> Ipv4Addr {
        let index = self.rng.borrow_mut().below(CALLER_IP_COUNT) as u8;
        Ipv4Addr::new(127, 0, 1, 1 + index)
    }

    fn record(&self, what: EventData) {
        if let Some(history) = &mut *self.history.borrow_mut() {
            history.write(what);
        }
    }

    /// An idle connection to the service, or a new one.
    async fn acquire_connection(self: &Rc<Self>, service: usize) -> io::Result<Connection> {
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

/// Request ID: a version 7 UUID, whose timestamp lets an agent that started later
/// recognize that the request was made before its start.
fn request_id(unix_ms: u64, seed: u64, number: u64) -> String {
    let (high, low) = (unix_ms >> 16 & 0xffff_ffff, unix_ms & 0xffff);
    let (a, b) = (seed & 0xfff, seed >> 12 & 0xfff);
    format!("{high:08x}-{low:04x}-7{a:03x}-8{b:03x}-{number:012x}")
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |duration| duration.as_millis() as u64)
}

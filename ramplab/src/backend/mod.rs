//! Simulated backend server: an HTTP server with a limited number of request
//! slots, cold start, graceful shutdown, and responses that callers can verify.

pub mod body;
pub mod capacity;
pub mod endpoints;
pub mod report;
pub mod serve;

use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;

use ramp_coordination::random::Random;
use tokio::sync::watch;

use crate::backend::capacity::Capacity;
use crate::backend::report::LoadReports;
use crate::history::EventData;
use crate::history::Writer;

/// Settings of a simulated backend server.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name, sent in the `x-server` header of each response.
    pub name: String,
    /// Service that it serves.
    pub service: String,
    /// Data centre that it runs in.
    pub data_centre: String,
    /// Concurrent requests that it runs when warm.
    pub slots: u32,
    /// Number of open connections at which new ones are reset.
    pub max_connections: u32,
    /// Time to serve one request when not overloaded.
    pub service_time: Duration,
    /// Whether it starts cold.
    pub cold: bool,
    /// Number of finished requests after which a cold server is warm.
    pub warm_after: u32,
    /// Age of the load that `GET /load` reports.
    pub report_lag: Duration,
    /// Share of load reports that are deliberately wrong, 0 to 1.
    pub false_report_share: f64,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// State shared by the tasks of a simulated backend server.
pub struct Backend {
    cfg: Config,
    capacity: RefCell<Capacity>,
    reports: RefCell<LoadReports>,
    history: RefCell<Option<Writer>>,
    rng: RefCell<Random>,
    open_connections: Cell<u32>,
    /// Number of crashes so far; a change makes each connection reset itself.
    crashes: watch::Sender<u32>,
    draining: watch::Sender<bool>,
}

impl Backend {
    /// Creates a server that records its events in `history`, if any.
    pub fn new(cfg: Config, history: Option<Writer>) -> Backend {
        let backend = Backend {
            capacity: RefCell::new(Capacity::new(cfg.slots, cfg.warm_after, cfg.cold)),
            reports: RefCell::new(LoadReports::new(cfg.report_lag)),
            history: RefCell::new(history),
            rng: RefCell::new(Random::new(cfg.seed)),
            open_connections: Cell::new(0),
            crashes: watch::Sender::new(0),
            draining: watch::Sender::new(false),
            cfg,
        };
        backend.record(EventData::ServerStarted {
            service: backend.cfg.service.clone(),
            data_centre: backend.cfg.data_centre.clone(),
            slots: backend.cfg.slots,
        });
        if backend.cfg.cold {
            backend.record(EventData::TurnedCold {
                without_warning: false,
            });
        }
        backend
    }

    /// Enters cold start without warning, as can happen at any time in production.
    pub fn enter_cold_start(&self) {
        self.capacity.borrow_mut().enter_cold_start();
        self.record(EventData::TurnedCold {
            without_warning: true,
        });
    }

    fn record(&self, what: EventData) {
        if let Some(history) = &mut *self.history.borrow_mut() {
            history.write(what);
        }
    }

    fn crash(&self) {
        self.capacity.borrow_mut().enter_cold_start();
        self.record(EventData::FellOver);
        self.crashes.send_modify(|crashes| *crashes += 1);
    }
}

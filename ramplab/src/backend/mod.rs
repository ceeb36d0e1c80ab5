//! Stand-in for a backend server: slots, cold start, drain, and endpoints
//! whose answers callers can check.

pub mod body;
pub mod capacity;
pub mod handle;
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

/// What a backend server is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Service that it serves.
    pub service: String,
    /// Data centre that it stands in.
    pub data_centre: String,
    /// Requests that it runs at once when warm.
    pub slots: u32,
    /// Connections that it holds.
    pub connections: u32,
    /// Time that a request takes.
    pub service_time: Duration,
    /// Whether it starts cold.
    pub cold: bool,
    /// Finished requests after which it is warm.
    pub warm_after: u32,
    /// Age of its load reports.
    pub lag: Duration,
    /// Share of load reports that are false, 0 to 1.
    pub lie: f64,
    /// Seed of all random choices.
    pub seed: u64,
}

/// What the tasks of a backend server share.
pub struct Backend {
    cfg: Config,
    capacity: RefCell<Capacity>,
    reports: RefCell<LoadReports>,
    history: RefCell<Option<Writer>>,
    rng: RefCell<Random>,
    connections: Cell<u32>,
    /// Counts how often it fell over; a change resets all connections.
    falls: watch::Sender<u32>,
    draining: watch::Sender<bool>,
}

impl Backend {
    /// Backend server that writes its events to `history`, if any.
    pub fn new(cfg: Config, history: Option<Writer>) -> Backend {
        let backend = Backend {
            capacity: RefCell::new(Capacity::new(cfg.slots, cfg.warm_after, cfg.cold)),
            reports: RefCell::new(LoadReports::new(cfg.lag)),
            history: RefCell::new(history),
            rng: RefCell::new(Random::new(cfg.seed)),
            connections: Cell::new(0),
            falls: watch::Sender::new(0),
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

    /// Turns it cold, as a real one may at any moment.
    pub fn turn_cold(&self) {
        self.capacity.borrow_mut().turn_cold();
        self.record(EventData::TurnedCold {
            without_warning: true,
        });
    }

    fn record(&self, what: EventData) {
        if let Some(history) = &mut *self.history.borrow_mut() {
            history.write(what);
        }
    }

    fn fall_over(&self) {
        self.capacity.borrow_mut().turn_cold();
        self.record(EventData::FellOver);
        self.falls.send_modify(|falls| *falls += 1);
    }
}

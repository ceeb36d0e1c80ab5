//! Measures how memory, messages and processor time grow with the size of the
//! fleet, and extrapolates them to a target size by a straight line.
//!
//! The measurements call the decision logic directly, without sockets or
//! processes. Counts (bytes, messages, allocations) are the same in every run.
//! Times depend on the machine; each is the shortest of a few runs.

pub mod configuration;
pub mod fit;
pub mod flows;
pub mod group;
pub mod ledger;
pub mod routing;
pub mod synthetic_fleet;

use std::time::Duration;
use std::time::Instant;

use crate::slopes::fit::Fit;

/// Whether a series is made of counts or of times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SeriesKind {
    /// Counts, which are the same in every run.
    Count,
    /// Times, which depend on the machine.
    Time,
}

/// One measured point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Size of the fleet or of one of its parts, in units of [`Series::per`].
    pub x: f64,
    /// Quantity measured at that size, in units of [`Series::unit`].
    pub y: f64,
}

/// One quantity measured at several sizes.
#[derive(Clone, Debug)]
pub struct Series {
    /// Name of the measured quantity.
    pub name: &'static str,
    /// Unit of the measured quantity; empty for a plain count.
    pub unit: &'static str,
    /// What the size counts, in the singular, such as `server`.
    pub per: &'static str,
    /// Whether the points are counts or times.
    pub kind: SeriesKind,
    /// Measured points, in order of size.
    pub points: Vec<Point>,
    /// Size that the quantity is extrapolated to.
    pub target_size: f64,
}

impl Series {
    /// Fits a straight line to the points.
    pub fn fit(&self) -> Fit {
        Fit::least_squares(&self.points)
    }

    /// Quantity at the target size, extrapolated by the fitted line.
    pub fn at_target(&self) -> f64 {
        self.fit().at(self.target_size)
    }
}

/// Measures all series; counts come before times.
pub fn measure_all() -> Vec<Series> {
    let mut all = Vec::new();
    all.extend(routing::series());
    all.extend(group::series());
    all.extend(flows::series());
    all.extend(configuration::series());
    all.extend(ledger::series());
    all.sort_by_key(|series| series.kind);
    all
}

/// Runs of which [`best_time`] takes the shortest.
const TIMED_RUN_COUNT: usize = 5;

/// Shortest time that `work` takes in a few runs.
pub fn best_time<T>(mut work: impl FnMut() -> T) -> Duration {
    let times = (0..TIMED_RUN_COUNT).map(|_| {
        let start = Instant::now();
        std::hint::black_box(work());
        start.elapsed()
    });
    times.min().unwrap_or_default()
}

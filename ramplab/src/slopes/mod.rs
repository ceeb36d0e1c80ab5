//! How state, messages and processor time grow with the size of the fleet,
//! measured on the decision logic itself.
//!
//! Counts (bytes, messages, allocations) are exact and repeatable. Times are
//! those of this machine, the best of a few runs.

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

/// Whether a series was counted or timed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SeriesKind {
    /// The same in every run.
    Count,
    /// Depends on the machine.
    Time,
}

/// One measured point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Size.
    pub x: f64,
    /// What was measured at that size.
    pub y: f64,
}

/// One quantity measured at several sizes.
#[derive(Clone, Debug)]
pub struct Series {
    /// What was measured.
    pub name: &'static str,
    /// Unit of what was measured.
    pub unit: &'static str,
    /// What grows.
    pub per: &'static str,
    /// Counted or timed.
    pub kind: SeriesKind,
    /// The points, in order of size.
    pub points: Vec<Point>,
    /// Size to work the figure out for.
    pub target_size: f64,
}

impl Series {
    /// Straight line through the points.
    pub fn fit(&self) -> Fit {
        Fit::least_squares(&self.points)
    }

    /// Figure at the size of the target, by the fit.
    pub fn at_target(&self) -> f64 {
        self.fit().at(self.target_size)
    }
}

/// All series, counts before times.
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

/// Runs that a time is the best of.
const RUNS: usize = 5;

/// Time that `work` takes, the best of a few runs.
pub fn best_time<T>(mut work: impl FnMut() -> T) -> Duration {
    let times = (0..RUNS).map(|_| {
        let start = Instant::now();
        std::hint::black_box(work());
        start.elapsed()
    });
    times.min().unwrap_or_default()
}

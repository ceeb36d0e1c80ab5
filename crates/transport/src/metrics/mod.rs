//! Metrics of the process, recorded through the `metrics` facade and served as
//! text.
//!
//! Installing the recorder costs almost nothing, which matters when all
//! processes start after a power loss: it calibrates no clock and starts no
//! background task.

pub mod http;
mod prometheus_text;
mod storage;

use std::sync::Arc;

use metrics::Counter;
use metrics::Gauge;
use metrics::Histogram;
use metrics::Key;
use metrics::KeyName;
use metrics::Metadata;
use metrics::Recorder;
use metrics::SetRecorderError;
use metrics::SharedString;
use metrics::Unit;
use metrics_util::registry::Registry;

use self::storage::Storage;

/// Recorder that holds all metrics of the process.
#[derive(Clone)]
pub struct Metrics(Arc<Registry<Key, Storage>>);

/// Installs the recorder of the process.
///
/// # Errors
///
/// A recorder is already installed.
pub fn install() -> Result<Metrics, SetRecorderError<Metrics>> {
    let metrics = Metrics(Arc::new(Registry::new(Storage)));
    metrics::set_global_recorder(metrics.clone())?;
    Ok(metrics)
}

impl Metrics {
    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        prometheus_text::render(&self.0)
    }
}

impl Recorder for Metrics {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        self.0
            .get_or_create_counter(key, |c| Counter::from_arc(Arc::clone(c)))
    }

    fn register_gauge(&self, key: &Key, _: &Metadata<'_>) -> Gauge {
        self.0
            .get_or_create_gauge(key, |g| Gauge::from_arc(Arc::clone(g)))
    }

    fn register_histogram(&self, key: &Key, _: &Metadata<'_>) -> Histogram {
        self.0
            .get_or_create_histogram(key, |h| Histogram::from_arc(Arc::clone(h)))
    }
}

//! Renders metrics in the Prometheus text format. Histograms are rendered as
//! summaries with a count, a sum and quantiles.

use std::fmt::Write;
use std::sync::atomic::Ordering;

use metrics::Key;
use metrics_util::registry::Registry;

use super::storage::Storage;
use super::storage::TimeHistogram;
use super::storage::seconds;

/// Quantiles that are reported for each histogram; the last is the maximum.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// Renders all metrics of a registry, one per line, in alphabetical order.
pub(super) fn render(registry: &Registry<Key, Storage>) -> String {
    let mut lines = Vec::new();
    registry.visit_counters(|key, count| {
        lines.push(format!("{} {}", name(key), count.load(Ordering::Relaxed)));
    });
    registry.visit_gauges(|key, bits| {
        let value = f64::from_bits(bits.load(Ordering::Relaxed));
        lines.push(format!("{} {value}", name(key)));
    });
    registry.visit_histograms(|key, times| add_histogram(key, times, &mut lines));
    lines.sort();
    let mut text = lines.join("\n");
    text.push('\n');
    text
}

fn add_histogram(key: &Key, times: &TimeHistogram, lines: &mut Vec<String>) {
    times.read(|times| {
        let count = times.len();
        let sum = seconds(times.mean()) * count as f64;
        lines.push(format!("{}_count{} {count}", key.name(), labels(key, None)));
        lines.push(format!("{}_sum{} {sum}", key.name(), labels(key, None)));
        for quantile in QUANTILES {
            let time = seconds(times.value_at_quantile(quantile) as f64);
            let labels = labels(key, Some(quantile));
            lines.push(format!("{}{labels} {time}", key.name()));
        }
    });
}

fn name(key: &Key) -> String {
    format!("{}{}", key.name(), labels(key, None))
}

fn labels(key: &Key, quantile: Option<f64>) -> String {
    let own = key.labels().map(|l| (l.key(), l.value().to_string()));
    let quantile = quantile.map(|q| ("quantile", q.to_string()));
    let mut text = String::new();
    for (index, (label, value)) in own.chain(quantile).enumerate() {
        let separator = if index == 0 { '{' } else { ',' };
        let value = value.replace('\\', "\\\\").replace('"', "\\\"");
        // Writing to a string can't fail.
        let _ = write!(text, "{separator}{label}=\"{value}\"");
    }
    if !text.is_empty() {
        text.push('}');
    }
    text
}

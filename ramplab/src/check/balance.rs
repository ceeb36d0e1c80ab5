//! Measures how evenly open feeds are distributed over the servers of a service.

use indexmap::IndexMap;

use crate::check::index::HistoryIndex;
use crate::history::Event;
use crate::history::EventData;
use crate::history::RequestKind;

/// Ratio of the maximum to the mean number of open feeds per server, just before
/// the first published change. Returns the ratio of the worst service, or 1 when no
/// feed was open.
pub fn feed_imbalance(index: &HistoryIndex<'_>) -> f64 {
    let change = index
        .history
        .iter()
        .find(|event| matches!(event.what, EventData::Published { .. }));
    let at_ms = change.map_or(u64::MAX, |event| event.at_ms);
    let mut open: IndexMap<&str, u64> = index.servers.keys().map(|name| (*name, 0)).collect();
    for attempt in index.attempts.values() {
        let ended_ms = attempt.ended.map_or(u64::MAX, |event| event.at_ms);
        let feeds = attempt.began.iter().filter(|event| is_feed(event));
        for began in feeds.filter(|event| event.at_ms < at_ms && at_ms <= ended_ms) {
            *open.entry(&began.source).or_default() += 1;
        }
    }
    let mut services: IndexMap<&str, Vec<u64>> = IndexMap::new();
    for (name, count) in open {
        let service = index.servers.get(name).map_or("", |server| server.service);
        services.entry(service).or_default().push(count);
    }
    services
        .values()
        .map(|c| max_over_mean(c))
        .fold(1.0, f64::max)
}

fn is_feed(event: &Event) -> bool {
    matches!(
        event.what,
        EventData::Began {
            kind: RequestKind::Feed,
            ..
        }
    )
}

fn max_over_mean(counts: &[u64]) -> f64 {
    let total: u64 = counts.iter().sum();
    let max_count = counts.iter().max().copied().unwrap_or(0);
    if total == 0 {
        return 1.0;
    }
    (max_count * counts.len() as u64) as f64 / total as f64
}

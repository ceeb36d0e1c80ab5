//! Balance of open feeds over the servers of a service.

use indexmap::IndexMap;

use crate::check::facts::Facts;
use crate::history::Event;
use crate::history::EventData;
use crate::history::RequestKind;

/// Most over mean of open feeds just before the first published change, the
/// worst service counting; 1 when there is none to judge.
pub fn feeds_most_over_mean(facts: &Facts<'_>) -> f64 {
    let change = facts
        .history
        .iter()
        .find(|event| matches!(event.what, EventData::Published { .. }));
    let at_ms = change.map_or(u64::MAX, |event| event.at_ms);
    let mut open: IndexMap<&str, u64> = facts.servers.keys().map(|name| (*name, 0)).collect();
    for attempt in facts.attempts.values() {
        let ended_ms = attempt.ended.map_or(u64::MAX, |event| event.at_ms);
        let feeds = attempt.began.iter().filter(|event| is_feed(event));
        for began in feeds.filter(|event| event.at_ms < at_ms && at_ms <= ended_ms) {
            *open.entry(&began.source).or_default() += 1;
        }
    }
    let mut services: IndexMap<&str, Vec<u64>> = IndexMap::new();
    for (name, count) in open {
        let service = facts.servers.get(name).map_or("", |place| place.service);
        services.entry(service).or_default().push(count);
    }
    services
        .values()
        .map(|c| most_over_mean(c))
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

fn most_over_mean(counts: &[u64]) -> f64 {
    let sum: u64 = counts.iter().sum();
    let most = counts.iter().max().copied().unwrap_or(0);
    if sum == 0 {
        return 1.0;
    }
    (most * counts.len() as u64) as f64 / sum as f64
}

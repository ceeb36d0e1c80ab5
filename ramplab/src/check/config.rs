//! Checks configuration propagation: each published change must be in use
//! everywhere within [`PROPAGATION_LIMIT_MS`], and no process may go back to an
//! older version.

use indexmap::IndexMap;

use crate::check::Findings;
use crate::check::Invariant;
use crate::check::PROPAGATION_LIMIT_MS;
use crate::check::index::HistoryIndex;
use crate::history::Event;
use crate::history::EventData;

/// Checks each version that a process reported.
pub fn check(index: &HistoryIndex<'_>, findings: &mut Findings) {
    let mut newest: IndexMap<&str, &Event> = IndexMap::new();
    for event in index.history {
        let EventData::ConfigSeen { process, version } = &event.what else {
            continue;
        };
        // A process without a version has just started and holds traffic until
        // it has one.
        if *version == 0 && !newest.contains_key(process.as_str()) {
            continue;
        }
        if let Some(change) = overdue_change(index, event.at_ms, *version) {
            findings.add(Invariant::ConfigHolds, [change, event]);
        }
        let previous = newest.entry(process).or_insert(event);
        if version_of(previous) > *version {
            findings.add(Invariant::ConfigHolds, [*previous, event]);
        } else {
            *previous = event;
        }
    }
}

/// First published change newer than the version seen whose propagation limit has
/// passed.
fn overdue_change<'a>(index: &HistoryIndex<'a>, at_ms: u64, seen: u64) -> Option<&'a Event> {
    let is_overdue = |event: &&&Event| {
        let EventData::Published { version, .. } = event.what else {
            return false;
        };
        version > seen && event.at_ms + PROPAGATION_LIMIT_MS < at_ms
    };
    index.changes.iter().find(is_overdue).copied()
}

fn version_of(event: &Event) -> u64 {
    match event.what {
        EventData::ConfigSeen { version, .. } => version,
        _ => 0,
    }
}

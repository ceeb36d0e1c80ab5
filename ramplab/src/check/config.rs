//! The configuration: in force everywhere within seconds, never reverting.

use indexmap::IndexMap;

use crate::check::Findings;
use crate::check::Invariant;
use crate::check::PROPAGATION_LIMIT_MS;
use crate::check::facts::Facts;
use crate::history::Event;
use crate::history::EventData;

/// Judges each version that a process told.
pub fn judge(facts: &Facts<'_>, findings: &mut Findings) {
    let mut newest: IndexMap<&str, &Event> = IndexMap::new();
    for event in facts.history {
        let EventData::ConfigSeen { process, version } = &event.what else {
            continue;
        };
        // A process that has just started holds traffic until it has one.
        if *version == 0 && !newest.contains_key(process.as_str()) {
            continue;
        }
        if let Some(due) = overdue(facts, event.at_ms, *version) {
            findings.add(Invariant::ConfigHolds, [due, event]);
        }
        let before = newest.entry(process).or_insert(event);
        if version_of(before) > *version {
            findings.add(Invariant::ConfigHolds, [*before, event]);
        } else {
            *before = event;
        }
    }
}

/// First published change that should be in force and is not.
fn overdue<'a>(facts: &Facts<'a>, at_ms: u64, seen: u64) -> Option<&'a Event> {
    let late = |event: &&&Event| {
        let EventData::Published { version, .. } = event.what else {
            return false;
        };
        version > seen && event.at_ms + PROPAGATION_LIMIT_MS < at_ms
    };
    facts.changes.iter().find(late).copied()
}

fn version_of(event: &Event) -> u64 {
    match event.what {
        EventData::ConfigSeen { version, .. } => version,
        _ => 0,
    }
}

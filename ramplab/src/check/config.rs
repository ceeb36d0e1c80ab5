//! The configuration: in force everywhere within seconds, never reverting.

use indexmap::IndexMap;

use crate::check::Findings;
use crate::check::IN_FORCE_MS;
use crate::check::Promise;
use crate::check::facts::Facts;
use crate::history::Event;
use crate::history::What;

/// Judges each version that a process told.
pub fn judge(facts: &Facts<'_>, findings: &mut Findings) {
    let mut newest: IndexMap<&str, &Event> = IndexMap::new();
    for event in facts.history {
        let What::ConfigSeen { process, version } = &event.what else {
            continue;
        };
        // A process that has just started holds traffic until it has one.
        if *version == 0 && !newest.contains_key(process.as_str()) {
            continue;
        }
        if let Some(due) = overdue(facts, event.at_ms, *version) {
            findings.add(Promise::ConfigHolds, [due, event]);
        }
        let before = newest.entry(process).or_insert(event);
        if version_of(before) > *version {
            findings.add(Promise::ConfigHolds, [*before, event]);
        } else {
            *before = event;
        }
    }
}

/// First published change that should be in force and is not.
fn overdue<'a>(facts: &Facts<'a>, at_ms: u64, seen: u64) -> Option<&'a Event> {
    let late = |event: &&&Event| {
        let What::Published { version, .. } = event.what else {
            return false;
        };
        version > seen && event.at_ms + IN_FORCE_MS < at_ms
    };
    facts.changes.iter().find(late).copied()
}

fn version_of(event: &Event) -> u64 {
    match event.what {
        What::ConfigSeen { version, .. } => version,
        _ => 0,
    }
}

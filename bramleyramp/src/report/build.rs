//! Building a report from the answers of the processes.

use std::time::Duration;

use indexmap::IndexMap;
use ramp_state::burn::WINDOWS;
use ramp_state::ledger::callers::Callers;
use ramp_state::ledger::counts::Classes;
use ramp_state::ledger::counts::Counts;
use ramp_state::ledger::kind::Class;
use ramp_state::ledger::summary::RowKey;
use ramp_state::ledger::summary::Summary;
use ramp_state::ledger::summary::Window;
use ramp_state::ledger::times::AnswerTimes;
use ramp_state::ledger::times::BOUNDS_MS;

use crate::ask::Answers;
use crate::report::burn;
use crate::report::exceptions;
use crate::report::gap::Gap;
use crate::report::model::AnswerBucket;
use crate::report::model::CallerLine;
use crate::report::model::CallerTable;
use crate::report::model::Line;
use crate::report::model::Report;
use crate::report::model::Tally;
use crate::report::model::What;
use crate::report::model::Why;
use crate::report::sums::Sums;

/// Half, in parts per million.
const MEDIAN_PPM: u32 = 500_000;

/// 99%, in parts per million.
const P99_PPM: u32 = 990_000;

/// Windows to ask for: that of the report, then those of the burn.
pub fn windows(back: Duration) -> Vec<Window> {
    let report = Window {
        back,
        callers: true,
    };
    let burn = WINDOWS.map(|back| Window {
        back,
        callers: false,
    });
    std::iter::once(report).chain(burn).collect()
}

/// Report over `back`, from `answers` to [`windows`] of it, whose counts are
/// in `sums`; shows `callers` callers singly.
pub fn report(answers: &Answers, sums: Sums, back: Duration, callers: usize) -> Report {
    let Sums { merged, mut names } = sums;
    if let Some(fleet) = &answers.fleet {
        names.add_fleet(fleet);
    }
    let summary = &merged[0];
    let gaps = Gap::all(answers);
    let by = |name: &dyn Fn(&RowKey) -> String| lines(summary, name);
    Report {
        window_ms: millis(back),
        covered_ms: summary.covered.map(|c| millis(c.min(back))),
        config: answers.fleet.as_ref().map(|f| f.version.0),
        asked: answers.asked.len(),
        answered: answers.accounts().count(),
        at_least: gaps.iter().any(Gap::hides_events),
        gaps,
        total: line("everything".to_string(), &summary.total()),
        services: by(&|key| names.service(key.service)),
        data_centres: by(&|key| names.data_centre(key)),
        servers: by(&|key| names.server(key)),
        callers: caller_table(&summary.callers, callers),
        exceptions: match &answers.fleet {
            Some(fleet) => exceptions::lines(fleet, summary),
            None => Vec::new(),
        },
        burn: match answers.fleet {
            Some(_) => burn::lines(&merged[1..], &names),
            None => Vec::new(),
        },
        step_ms: millis(summary.step),
        slices: summary.slices.iter().map(|s| Tally::from(*s)).collect(),
        answer_times: answer_times(&summary.total().times),
    }
}

fn lines(summary: &Summary, name: impl Fn(&RowKey) -> String) -> Vec<Line> {
    let mut by_name: IndexMap<String, Counts> = IndexMap::new();
    for (key, counts) in &summary.rows {
        by_name.entry(name(key)).or_default().merge(counts);
    }
    by_name.sort_keys();
    by_name
        .into_iter()
        .map(|(name, counts)| line(name, &counts))
        .collect()
}

fn line(name: String, counts: &Counts) -> Line {
    let quantile = |ppm| counts.times.quantile(ppm).map(millis);
    Line {
        name,
        tally: counts.classes().into(),
        why: reasons(counts),
        answer_p50_ms: quantile(MEDIAN_PPM),
        answer_p99_ms: quantile(P99_PPM),
    }
}

fn reasons(counts: &Counts) -> Vec<Why> {
    let mut reasons: Vec<Why> = counts
        .kinds()
        .filter_map(|(kind, count)| {
            let what = what(kind.class())?;
            let reason = kind.to_string();
            Some(Why {
                what,
                reason,
                count,
            })
        })
        .collect();
    reasons.sort_by_key(|why| std::cmp::Reverse(why.count));
    reasons
}

fn what(class: Class) -> Option<What> {
    match class {
        Class::NotRun => Some(What::NotRun),
        Class::MayHaveRun => Some(What::MayHaveRun),
        Class::Left => Some(What::Left),
        Class::GivenUp => Some(What::GivenUp),
        Class::Broken => Some(What::Broken),
        Class::Served | Class::Opened | Class::Ended => None,
    }
}

fn caller_table(callers: &Callers, shown: usize) -> CallerTable {
    let ranked = callers.ranked();
    let (top, rest) = ranked.split_at(shown.min(ranked.len()));
    let mut others: Classes = callers.rest;
    for (_, entry) in rest {
        others.merge(&entry.classes);
    }
    let lines = top.iter().map(|(caller, entry)| CallerLine {
        caller: *caller,
        tally: entry.classes.into(),
        up_to_more: callers.hidden(entry),
    });
    CallerTable {
        top: lines.collect(),
        others: others.into(),
    }
}

fn answer_times(times: &AnswerTimes) -> Vec<AnswerBucket> {
    let bounds = BOUNDS_MS.into_iter().map(Some).chain([None]);
    bounds
        .zip(*times.buckets())
        .map(|(up_to_ms, count)| AnswerBucket { up_to_ms, count })
        .collect()
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

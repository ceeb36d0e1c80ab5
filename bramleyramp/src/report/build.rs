//! Builds the report from the aggregated counts and the query results.

use std::time::Duration;

use indexmap::IndexMap;
use ramp_state::error_budget::ALERT_WINDOWS;
use ramp_state::ledger::answer_times::AnswerTimes;
use ramp_state::ledger::answer_times::BUCKET_BOUNDS_MS;
use ramp_state::ledger::callers::TopCallers;
use ramp_state::ledger::counts::ClassCounts;
use ramp_state::ledger::counts::Counts;
use ramp_state::ledger::event_kind::EventClass;
use ramp_state::ledger::summary::RowKey;
use ramp_state::ledger::summary::Summary;
use ramp_state::ledger::summary::Window;

use crate::query::QueryResults;
use crate::report::error_budget;
use crate::report::exceptions;
use crate::report::gap::Gap;
use crate::report::model::AnswerBucket;
use crate::report::model::CallerLine;
use crate::report::model::CallerTable;
use crate::report::model::GroupLine;
use crate::report::model::OutcomeKind;
use crate::report::model::ReasonCount;
use crate::report::model::Report;
use crate::report::model::Tally;
use crate::report::sums::Sums;

/// Quantile of the median, in parts per million.
const MEDIAN_PPM: u32 = 500_000;

/// Quantile of the 99th percentile, in parts per million.
const P99_PPM: u32 = 990_000;

/// Windows to query: first that of the report, with callers, then those of the
/// alert rules.
pub fn windows(lookback: Duration) -> Vec<Window> {
    let report = Window {
        lookback,
        callers: true,
    };
    let alert_windows = ALERT_WINDOWS.map(|lookback| Window {
        lookback,
        callers: false,
    });
    std::iter::once(report).chain(alert_windows).collect()
}

/// Builds the report over `lookback`.
///
/// `results` and `sums` come from a query of [`windows`] of `lookback`. The report
/// lists at most `callers` callers individually and sums up the others.
pub fn report(results: &QueryResults, sums: Sums, lookback: Duration, callers: usize) -> Report {
    let Sums { merged, mut names } = sums;
    if let Some(fleet) = &results.fleet {
        names.add_fleet(fleet);
    }
    let summary = &merged[0];
    let gaps = Gap::all(results);
    let lines_by = |name: &dyn Fn(&RowKey) -> String| group_lines(summary, name);
    Report {
        window_ms: millis(lookback),
        covered_ms: summary.covered.map(|c| millis(c.min(lookback))),
        config: results.fleet.as_ref().map(|f| f.version.0),
        asked: results.replies.len(),
        answered: results.process_reports().count(),
        at_least: gaps.iter().any(Gap::hides_events),
        gaps,
        total: group_line("everything".to_string(), &summary.total()),
        services: lines_by(&|key| names.service(key.service)),
        data_centres: lines_by(&|key| names.data_centre(key)),
        servers: lines_by(&|key| names.server(key)),
        callers: caller_table(&summary.callers, callers),
        exceptions: match &results.fleet {
            Some(fleet) => exceptions::lines(fleet, summary),
            None => Vec::new(),
        },
        burn: match results.fleet {
            Some(_) => error_budget::lines(&merged[1..], &names),
            None => Vec::new(),
        },
        step_ms: millis(summary.step),
        slices: summary.slices.iter().map(|s| Tally::from(*s)).collect(),
        answer_times: answer_times(&summary.total().times),
    }
}

fn group_lines(summary: &Summary, name: impl Fn(&RowKey) -> String) -> Vec<GroupLine> {
    let mut by_name: IndexMap<String, Counts> = IndexMap::new();
    for (key, counts) in &summary.rows {
        by_name.entry(name(key)).or_default().merge(counts);
    }
    by_name.sort_keys();
    by_name
        .into_iter()
        .map(|(name, counts)| group_line(name, &counts))
        .collect()
}

fn group_line(name: String, counts: &Counts) -> GroupLine {
    let quantile = |ppm| counts.times.quantile(ppm).map(millis);
    GroupLine {
        name,
        tally: counts.classes().into(),
        why: reasons(counts),
        answer_p50_ms: quantile(MEDIAN_PPM),
        answer_p99_ms: quantile(P99_PPM),
    }
}

fn reasons(counts: &Counts) -> Vec<ReasonCount> {
    let mut reasons: Vec<ReasonCount> = counts
        .kinds()
        .filter_map(|(kind, count)| {
            let what = outcome_kind(kind.class())?;
            let reason = kind.to_string();
            Some(ReasonCount {
                what,
                reason,
                count,
            })
        })
        .collect();
    reasons.sort_by_key(|why| std::cmp::Reverse(why.count));
    reasons
}

fn outcome_kind(class: EventClass) -> Option<OutcomeKind> {
    match class {
        EventClass::NotRun => Some(OutcomeKind::NotRun),
        EventClass::MayHaveRun => Some(OutcomeKind::MayHaveRun),
        EventClass::Left => Some(OutcomeKind::Left),
        EventClass::GivenUp => Some(OutcomeKind::GivenUp),
        EventClass::Broken => Some(OutcomeKind::Broken),
        EventClass::Served | EventClass::Opened | EventClass::Ended => None,
    }
}

fn caller_table(callers: &TopCallers, max_listed: usize) -> CallerTable {
    let ranked = callers.ranked();
    let (top, rest) = ranked.split_at(max_listed.min(ranked.len()));
    let mut others: ClassCounts = callers.rest;
    for (_, entry) in rest {
        others.merge(&entry.classes);
    }
    let lines = top.iter().map(|(caller, entry)| CallerLine {
        caller: *caller,
        tally: entry.classes.into(),
        up_to_more: callers.max_uncounted(entry),
    });
    CallerTable {
        top: lines.collect(),
        others: others.into(),
    }
}

fn answer_times(times: &AnswerTimes) -> Vec<AnswerBucket> {
    let bounds = BUCKET_BOUNDS_MS.into_iter().map(Some).chain([None]);
    bounds
        .zip(*times.buckets())
        .map(|(up_to_ms, count)| AnswerBucket { up_to_ms, count })
        .collect()
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

//! Checks requests: run at most once unless idempotent, not run when reported as
//! not run, and answered with the expected response.

use crate::check::Findings;
use crate::check::Invariant;
use crate::check::index::Attempt;
use crate::check::index::HistoryIndex;
use crate::history::AnswerCheck;
use crate::history::Event;
use crate::history::EventData;
use crate::history::ReportedOutcome;
use crate::history::RequestKind;

/// Checks the outcome of each attempt and the executions of each request.
pub fn check(index: &HistoryIndex<'_>, findings: &mut Findings) {
    for attempt in index.attempts.values() {
        check_attempt(index, findings, attempt);
    }
    for (request, runs) in &index.runs {
        check_runs(index, findings, request, runs);
    }
}

fn check_attempt(index: &HistoryIndex<'_>, findings: &mut Findings, attempt: &Attempt<'_>) {
    let sent = attempt.sent;
    findings.summary.requests_sent += u64::from(sent.is_some());
    let Some(ended) = attempt.ended else {
        // The load ended before the attempt did, so its outcome is unknown.
        findings.summary.may_have_run += u64::from(sent.is_some());
        return;
    };
    let EventData::RequestEnded {
        request,
        told,
        answer,
        ..
    } = &ended.what
    else {
        return;
    };
    match told {
        ReportedOutcome::Served => findings.summary.served += 1,
        ReportedOutcome::NotRun => findings.summary.not_run += 1,
        ReportedOutcome::MayHaveRun | ReportedOutcome::Nothing => {
            findings.summary.may_have_run += 1
        }
    }
    if *told == ReportedOutcome::NotRun
        && let Some(began) = attempt.began.first()
    {
        let events = sent.into_iter().chain([*began, ended]);
        findings.add(Invariant::NotRunIsTrue, events);
    }
    let served_without_run = *told == ReportedOutcome::Served
        && !index.servers.is_empty()
        && is_not_idempotent(sent)
        && !index.runs.contains_key(request.as_str());
    if *answer == AnswerCheck::Wrong || served_without_run {
        findings.add(Invariant::RightAnswer, sent.into_iter().chain([ended]));
    }
}

fn check_runs(index: &HistoryIndex<'_>, findings: &mut Findings, request: &str, runs: &[&Event]) {
    let [first, second, ..] = runs else {
        return;
    };
    if must_run_once(index, first) && !request.is_empty() {
        findings.summary.run_twice += 1;
        findings.add(Invariant::RunsOnce, [*first, *second]);
    }
}

/// Whether the request that ran is not idempotent.
fn must_run_once(index: &HistoryIndex<'_>, ran: &Event) -> bool {
    let EventData::Ran { attempt, .. } = &ran.what else {
        return false;
    };
    let Some(attempt) = index.attempts.get(attempt.as_str()) else {
        return false;
    };
    is_not_idempotent(attempt.sent) || attempt.began.iter().any(|b| is_not_idempotent(Some(b)))
}

fn is_not_idempotent(event: Option<&Event>) -> bool {
    let kind = match event.map(|e| &e.what) {
        Some(EventData::RequestSent { kind, .. } | EventData::Began { kind, .. }) => *kind,
        _ => RequestKind::Feed,
    };
    !kind.is_idempotent()
}

//! Requests: run at most once, truthfully refused, rightly answered.

use crate::check::Findings;
use crate::check::Invariant;
use crate::check::facts::Attempt;
use crate::check::facts::Facts;
use crate::history::AnswerCheck;
use crate::history::Event;
use crate::history::EventData;
use crate::history::ReportedOutcome;
use crate::history::RequestKind;

/// Judges what became of each attempt and of each request.
pub fn judge(facts: &Facts<'_>, findings: &mut Findings) {
    for attempt in facts.attempts.values() {
        judge_attempt(facts, findings, attempt);
    }
    for (request, runs) in &facts.runs {
        judge_runs(facts, findings, request, runs);
    }
}

fn judge_attempt(facts: &Facts<'_>, findings: &mut Findings, attempt: &Attempt<'_>) {
    let sent = attempt.sent;
    findings.summary.requests_sent += u64::from(sent.is_some());
    let Some(ended) = attempt.ended else {
        // The run ended first; nothing was told.
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
    let served_unrun = *told == ReportedOutcome::Served
        && !facts.servers.is_empty()
        && is_once_only(sent)
        && !facts.runs.contains_key(request.as_str());
    if *answer == AnswerCheck::Wrong || served_unrun {
        findings.add(Invariant::RightAnswer, sent.into_iter().chain([ended]));
    }
}

fn judge_runs(facts: &Facts<'_>, findings: &mut Findings, request: &str, runs: &[&Event]) {
    let [first, second, ..] = runs else {
        return;
    };
    if run_once_only(facts, first) && !request.is_empty() {
        findings.summary.run_twice += 1;
        findings.add(Invariant::RunsOnce, [*first, *second]);
    }
}

/// Whether the request that ran is one that must run at most once.
fn run_once_only(facts: &Facts<'_>, ran: &Event) -> bool {
    let EventData::Ran { attempt, .. } = &ran.what else {
        return false;
    };
    let Some(attempt) = facts.attempts.get(attempt.as_str()) else {
        return false;
    };
    is_once_only(attempt.sent) || attempt.began.iter().any(|b| is_once_only(Some(b)))
}

fn is_once_only(event: Option<&Event>) -> bool {
    let kind = match event.map(|e| &e.what) {
        Some(EventData::RequestSent { kind, .. } | EventData::Began { kind, .. }) => *kind,
        _ => RequestKind::Feed,
    };
    !kind.is_idempotent()
}

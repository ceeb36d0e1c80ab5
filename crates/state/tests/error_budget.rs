//! Error budgets: burn rates, remaining budget and the alert rules.

use std::time::Duration;

use ramp_state::error_budget::ALERT_RULES;
use ramp_state::error_budget::ALERT_WINDOWS;
use ramp_state::error_budget::AlertRule;
use ramp_state::error_budget::ErrorBudget;
use ramp_state::error_budget::ErrorBudgets;
use ramp_state::ledger::counts::Counts;
use ramp_state::outcome::FlowEnd;
use ramp_state::outcome::Outcome;
use ramp_state::policy::Policy;
use ramp_state::verdict::MayHaveRun;
use ramp_state::verdict::NotRun;
use ramp_state::verdict::Verdict;

const SERVED: Verdict = Verdict::Served;
const REFUSED: Verdict = Verdict::NotRun(NotRun::Overloaded);
const CUT: Verdict = Verdict::MayHaveRun(MayHaveRun::ServerLost);

#[test]
fn a_rate_of_one_spends_exactly_what_is_allowed() {
    let budgets = budgets_of(&[(999, SERVED, 10), (1, REFUSED, 0)]);
    assert_close(budgets.served.burn_rate(), 1.0);
    assert_close(budgets.served.budget_left(), 0.0);
}

#[test]
fn refused_and_cut_requests_are_both_bad() {
    let budgets = budgets_of(&[(996, SERVED, 10), (2, REFUSED, 0), (2, CUT, 0)]);
    assert_eq!(budgets.served.bad, 4);
    assert_close(budgets.served.burn_rate(), 4.0);
    assert_close(budgets.served.budget_left(), -3.0);
}

#[test]
fn failures_caused_by_callers_are_not_counted() {
    let caused_by_caller = [
        Verdict::NotRun(NotRun::BadRequest),
        Verdict::NotRun(NotRun::KeyRunning),
        Verdict::NotRun(NotRun::CallerLeft),
        Verdict::MayHaveRun(MayHaveRun::CallerLeft),
        Verdict::MayHaveRun(MayHaveRun::KeyRunning),
    ];
    let budgets = budgets_of(&caused_by_caller.map(|verdict| (5, verdict, 0)));
    assert_eq!(budgets.served, ErrorBudget::default());
}

#[test]
fn late_answers_spend_the_answer_objective_only() {
    let budgets = budgets_of(&[(998, SERVED, 1_000), (2, SERVED, 1_001)]);
    assert_eq!(budgets.answered.bad, 2);
    assert_eq!(budgets.served.bad, 0);
}

#[test]
fn flows_given_up_are_unbroken_and_lost_ones_are_not() {
    let mut counts = Counts::default();
    for end in [
        FlowEnd::Closed,
        FlowEnd::CallerLeft,
        FlowEnd::GivenUp,
        FlowEnd::DrainLimitPassed,
        FlowEnd::OwnerLost,
    ] {
        counts.add(&Outcome::FlowEnded(end));
    }
    let mut budgets = ErrorBudgets::default();
    budgets.add(&counts, &Policy::default());
    assert_eq!((budgets.unbroken.events, budgets.unbroken.bad), (5, 2));
}

#[test]
fn objectives_of_different_servers_add_up_by_their_events() {
    let mut budgets = budgets_of(&[(1_000, SERVED, 10)]);
    let lenient = Policy {
        served_objective_ppm: 990_000,
        ..Policy::default()
    };
    budgets.add(&counts_of(&[(989, SERVED, 10), (11, REFUSED, 0)]), &lenient);
    // The budgets allow 1 bad event of the first 1,000 and 10 of the second.
    assert_close(budgets.served.burn_rate(), 1.0);
}

#[test]
fn no_events_spend_nothing() {
    assert_eq!(ErrorBudget::default().burn_rate(), 0.0);
    assert_eq!(ErrorBudget::default().budget_left(), 1.0);
}

#[test]
fn an_objective_of_all_requests_has_a_finite_rate() {
    let mut budget = ErrorBudget::default();
    budget.add(10, 1, 1_000_000);
    assert_close(budget.burn_rate(), 100_000.0);
}

#[test]
fn an_alert_needs_both_windows() {
    for rule in &ALERT_RULES {
        let (over, under) = (
            budget_with(rule.burn_rate),
            budget_with(rule.burn_rate * 0.99),
        );
        assert!(rule.fires(|_| over), "{rule:?}");
        assert!(!rule.fires(|w| if w == rule.long_window { over } else { under }));
        assert!(!rule.fires(|w| if w == rule.short_window { over } else { under }));
    }
}

#[test]
fn rules_are_those_of_the_multi_window_method() {
    let minutes = |w: Duration| w.as_secs() / 60;
    let rules = ALERT_RULES
        .map(|r: AlertRule| (minutes(r.long_window), minutes(r.short_window), r.burn_rate));
    assert_eq!(
        rules,
        [(60, 5, 14.4), (360, 30, 6.0), (3 * 24 * 60, 360, 1.0)]
    );
    assert!(ALERT_WINDOWS.is_sorted());
}

/// Error budget of a million events whose burn rate is `rate`.
fn budget_with(rate: f64) -> ErrorBudget {
    let mut budget = ErrorBudget::default();
    budget.add(1_000_000, (rate * 1_000.0).round() as u64, 999_000);
    budget
}

fn budgets_of(events: &[(u64, Verdict, u64)]) -> ErrorBudgets {
    let mut budgets = ErrorBudgets::default();
    budgets.add(&counts_of(events), &Policy::default());
    budgets
}

fn counts_of(events: &[(u64, Verdict, u64)]) -> Counts {
    let mut counts = Counts::default();
    for &(times, verdict, took_ms) in events {
        let took = Duration::from_millis(took_ms);
        for _ in 0..times {
            counts.add(&Outcome::Request { verdict, took });
        }
    }
    counts
}

fn assert_close(got: f64, want: f64) {
    assert!((got - want).abs() < 1e-9, "{got} is not {want}");
}

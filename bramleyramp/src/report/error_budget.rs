//! Computes the burn rate of each service's objectives over the windows of the
//! alert rules, and the alerts that fire.

use std::time::Duration;

use indexmap::IndexMap;
use ramp_state::error_budget::ALERT_RULES;
use ramp_state::error_budget::ALERT_WINDOWS;
use ramp_state::error_budget::AlertRule;
use ramp_state::error_budget::ErrorBudget;
use ramp_state::error_budget::ErrorBudgets;
use ramp_state::error_budget::Urgency;
use ramp_state::ledger::summary::Summary;

use crate::report::model::AlertLine;
use crate::report::model::Objective;
use crate::report::model::ObjectiveLine;
use crate::report::model::WindowBurn;
use crate::report::names::Names;

const OBJECTIVES: [Objective; 3] = [Objective::Served, Objective::Answered, Objective::Unbroken];

/// Error budgets of one service over each of [`ALERT_WINDOWS`].
type BudgetsByWindow = [ErrorBudgets; ALERT_WINDOWS.len()];

/// Returns a line for each service and objective. `summaries` has one entry for
/// each of [`ALERT_WINDOWS`], in that order.
pub fn lines(summaries: &[Summary], names: &Names) -> Vec<ObjectiveLine> {
    let mut services: IndexMap<String, BudgetsByWindow> = IndexMap::new();
    for (at, summary) in summaries.iter().enumerate().take(ALERT_WINDOWS.len()) {
        for (key, counts) in &summary.rows {
            let by_window = services.entry(names.service(key.service)).or_default();
            by_window[at].add(counts, &names.policy(key));
        }
    }
    services.sort_keys();
    let covered: Vec<Option<Duration>> = summaries.iter().map(|s| s.covered).collect();
    services
        .iter()
        .flat_map(|(service, by_window)| OBJECTIVES.map(|o| line(service, o, by_window, &covered)))
        .collect()
}

fn line(
    service: &str,
    objective: Objective,
    by_window: &BudgetsByWindow,
    covered: &[Option<Duration>],
) -> ObjectiveLine {
    let budgets = by_window.map(|all| objective_budget(&all, objective));
    let windows = ALERT_WINDOWS.iter().zip(&budgets).zip(covered);
    ObjectiveLine {
        service: service.to_string(),
        objective,
        budget_left: budgets[ALERT_WINDOWS.len() - 1].budget_left(),
        windows: windows
            .map(|((window, budget), covered)| window_burn(*window, budget, *covered))
            .collect(),
        alerts: ALERT_RULES
            .iter()
            .filter(|rule| rule.fires(|window| budget_over(&budgets, window)))
            .map(alert_line)
            .collect(),
    }
}

fn objective_budget(all: &ErrorBudgets, objective: Objective) -> ErrorBudget {
    match objective {
        Objective::Served => all.served,
        Objective::Answered => all.answered,
        Objective::Unbroken => all.unbroken,
    }
}

fn budget_over(budgets: &[ErrorBudget; ALERT_WINDOWS.len()], window: Duration) -> ErrorBudget {
    let at = ALERT_WINDOWS.iter().position(|w| *w == window);
    at.map_or_else(ErrorBudget::default, |at| budgets[at])
}

fn window_burn(window: Duration, budget: &ErrorBudget, covered: Option<Duration>) -> WindowBurn {
    WindowBurn {
        window_ms: window.as_millis() as u64,
        covered_ms: covered.map(|c| c.min(window).as_millis() as u64),
        events: budget.events,
        bad: budget.bad,
        rate: budget.burn_rate(),
    }
}

fn alert_line(rule: &AlertRule) -> AlertLine {
    AlertLine {
        page: rule.urgency == Urgency::Page,
        long_ms: rule.long_window.as_millis() as u64,
        short_ms: rule.short_window.as_millis() as u64,
        rate: rule.burn_rate,
    }
}

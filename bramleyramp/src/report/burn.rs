//! Burn of each service's objectives over the windows of the alert rules.

use std::time::Duration;

use indexmap::IndexMap;
use ramp_state::burn::ALERT_RULES;
use ramp_state::burn::AlertRule;
use ramp_state::burn::Burn;
use ramp_state::burn::Spent;
use ramp_state::burn::Urgency;
use ramp_state::burn::WINDOWS;
use ramp_state::ledger::summary::Summary;

use crate::report::model::AlertLine;
use crate::report::model::BurnLine;
use crate::report::model::Objective;
use crate::report::model::WindowBurn;
use crate::report::names::Names;

const OBJECTIVES: [Objective; 3] = [Objective::Served, Objective::Answered, Objective::Unbroken];

/// Burn of one service over each of the windows.
type ByWindow = [Burn; WINDOWS.len()];

/// A line for each service and objective; `summaries` are those of
/// [`WINDOWS`], in that order.
pub fn lines(summaries: &[Summary], names: &Names) -> Vec<BurnLine> {
    let mut services: IndexMap<String, ByWindow> = IndexMap::new();
    for (at, summary) in summaries.iter().enumerate().take(WINDOWS.len()) {
        for (key, counts) in &summary.rows {
            let burns = services.entry(names.service(key.service)).or_default();
            burns[at].add(counts, &names.policy(key));
        }
    }
    services.sort_keys();
    let covered: Vec<Option<Duration>> = summaries.iter().map(|s| s.covered).collect();
    services
        .iter()
        .flat_map(|(service, burns)| OBJECTIVES.map(|o| line(service, o, burns, &covered)))
        .collect()
}

fn line(
    service: &str,
    objective: Objective,
    burns: &ByWindow,
    covered: &[Option<Duration>],
) -> BurnLine {
    let spent = burns.map(|burn| spent_of(&burn, objective));
    let windows = WINDOWS.iter().zip(&spent).zip(covered);
    BurnLine {
        service: service.to_string(),
        objective,
        budget_left: spent[WINDOWS.len() - 1].budget_left(),
        windows: windows
            .map(|((window, spent), covered)| window_burn(*window, spent, *covered))
            .collect(),
        alerts: ALERT_RULES
            .iter()
            .filter(|rule| rule.fires(|window| at_window(&spent, window)))
            .map(alert_line)
            .collect(),
    }
}

fn spent_of(burn: &Burn, objective: Objective) -> Spent {
    match objective {
        Objective::Served => burn.served,
        Objective::Answered => burn.answered,
        Objective::Unbroken => burn.unbroken,
    }
}

fn at_window(spent: &[Spent; WINDOWS.len()], window: Duration) -> Spent {
    let at = WINDOWS.iter().position(|w| *w == window);
    at.map_or_else(Spent::default, |at| spent[at])
}

fn window_burn(window: Duration, spent: &Spent, covered: Option<Duration>) -> WindowBurn {
    WindowBurn {
        window_ms: window.as_millis() as u64,
        covered_ms: covered.map(|c| c.min(window).as_millis() as u64),
        events: spent.events,
        bad: spent.bad,
        rate: spent.rate(),
    }
}

fn alert_line(rule: &AlertRule) -> AlertLine {
    AlertLine {
        page: rule.urgency == Urgency::Page,
        long_ms: rule.long.as_millis() as u64,
        short_ms: rule.short.as_millis() as u64,
        rate: rule.rate,
    }
}

//! Renders the report as text.

use std::cmp::Reverse;

use crate::human_format::first_of_each_kind;
use crate::human_format::format_count;
use crate::human_format::format_duration_ms;
use crate::human_format::format_percent;
use crate::report::model::AlertLine;
use crate::report::model::ChangeLine;
use crate::report::model::ExceptionLine;
use crate::report::model::GroupLine;
use crate::report::model::Objective;
use crate::report::model::ObjectiveLine;
use crate::report::model::OutcomeKind;
use crate::report::model::ReasonCount;
use crate::report::model::Report;
use crate::report::model::Tally;
use crate::table::Table;

const HEADINGS: [&str; 10] = [
    "", "served", "refused", "cut", "left", "flows", "given up", "broken", "half in", "99% in",
];

/// Maximum number of rows of one kind in a table.
const MAX_ROWS_PER_KIND: usize = 40;

/// Explanation of the headings, printed below the table.
const LEGEND: &str = "\
refused: not run, no byte reached a backend server; cut: may have run
left: its caller went away before its end, such as a feed that was closed
given up: flows that ended with their data centre; broken: flows lost otherwise
";

/// Renders the report.
pub fn render(report: &Report) -> String {
    let sections = [
        head(report),
        gaps(report),
        outcome_table(report),
        callers(report),
        reasons(report),
        exceptions(report),
        error_budgets(report),
    ];
    let sections: Vec<String> = sections.into_iter().filter(|s| !s.is_empty()).collect();
    sections.join("\n")
}

/// First line of the report, also the heading of the HTML page.
pub fn head(report: &Report) -> String {
    let config = match report.config {
        Some(version) => format!("configuration version {version}"),
        None => "no fleet document".to_string(),
    };
    let window = format_duration_ms(report.window_ms);
    let covered = match report.covered_ms {
        Some(covered) if covered < report.window_ms => {
            format!(" (at one process only {})", format_duration_ms(covered))
        }
        _ => String::new(),
    };
    format!(
        "Who got what, last {window}{covered}: {} of {} processes answered, {config}\n",
        report.answered, report.asked
    )
}

/// Name of an objective, as text.
pub fn objective(objective: Objective) -> &'static str {
    match objective {
        Objective::Served => "requests served",
        Objective::Answered => "answered in time",
        Objective::Unbroken => "flows unbroken",
    }
}

/// Name of an outcome, as text.
pub fn outcome_kind(what: OutcomeKind) -> &'static str {
    match what {
        OutcomeKind::NotRun => "refused (not run)",
        OutcomeKind::MayHaveRun => "cut (may have run)",
        OutcomeKind::Left => "left by its caller",
        OutcomeKind::GivenUp => "flow given up",
        OutcomeKind::Broken => "flow broken",
    }
}

/// Describes an alert in one sentence.
pub fn alert(line: &ObjectiveLine, alert: &AlertLine) -> String {
    let urgency = match alert.page {
        true => "ALERT, look now",
        false => "alert, look today",
    };
    format!(
        "{urgency}: {} {} burns at {} or more over {} and over {}",
        line.service,
        objective(line.objective),
        alert.rate,
        format_duration_ms(alert.long_ms),
        format_duration_ms(alert.short_ms)
    )
}

/// Describes a setting that an exception changes, out of the `servers` that it
/// covers.
pub fn change(line: &ChangeLine, servers: usize) -> String {
    let overridden = match line.in_force_at {
        at if at == servers => String::new(),
        at => {
            format!(" (in force at {at} of {servers}: a narrower or later exception goes before)")
        }
    };
    format!(
        "{} {} instead of {} {}{overridden}",
        line.key, line.value, line.default, line.unit
    )
}

fn gaps(report: &Report) -> String {
    if report.gaps.is_empty() {
        return String::new();
    }
    let mut text = match report.at_least {
        true => "AT LEAST: events may be missing, so each number is a lower bound\n".to_string(),
        false => "Note\n".to_string(),
    };
    for gap in first_of_each_kind(&report.gaps) {
        text.push_str(&format!("  - {gap}\n"));
    }
    text
}

fn outcome_table(report: &Report) -> String {
    let mut table = Table::new(&HEADINGS);
    let total = match report.at_least {
        true => "everything, at least",
        false => "everything",
    };
    table.add(cells(total, &report.total));
    for (kind, lines) in [
        ("service", &report.services),
        ("data centre", &report.data_centres),
        ("server", &report.servers),
    ] {
        for line in rows_with_most_unserved(lines) {
            table.add(cells(&format!("{kind} {}", line.name), line));
        }
        let others = lines.len().saturating_sub(MAX_ROWS_PER_KIND);
        if others > 0 {
            table.add([format!("{kind}: {others} more (--json has all)")]);
        }
    }
    format!("{}{LEGEND}", table.render())
}

/// All lines if they fit into the table, or else those with the most requests and
/// flows that were not served.
fn rows_with_most_unserved(lines: &[GroupLine]) -> Vec<&GroupLine> {
    let mut rows: Vec<&GroupLine> = lines.iter().collect();
    if rows.len() > MAX_ROWS_PER_KIND {
        rows.sort_by_key(|line| Reverse(unserved_count(&line.tally)));
        rows.truncate(MAX_ROWS_PER_KIND);
    }
    rows
}

fn unserved_count(tally: &Tally) -> u64 {
    let requests = tally.not_run.saturating_add(tally.may_have_run);
    requests.saturating_add(tally.broken)
}

fn cells(name: &str, line: &GroupLine) -> Vec<String> {
    let time = |ms: Option<u64>| ms.map_or("-".to_string(), format_duration_ms);
    let mut cells = tally_cells(name, &line.tally);
    cells.push(time(line.answer_p50_ms));
    cells.push(time(line.answer_p99_ms));
    cells
}

fn tally_cells(name: &str, tally: &Tally) -> Vec<String> {
    let mut cells = vec![name.to_string()];
    cells.extend(
        [
            tally.served,
            tally.not_run,
            tally.may_have_run,
            tally.left,
            tally.flows,
            tally.given_up,
            tally.broken,
        ]
        .map(format_count),
    );
    cells
}

fn callers(report: &Report) -> String {
    let mut table = Table::new(&[
        "Callers", "served", "refused", "cut", "left", "flows", "given up", "broken", "may have",
    ]);
    for line in &report.callers.top {
        let mut cells = tally_cells(&line.caller.to_string(), &line.tally);
        cells.push(match line.up_to_more {
            0 => "exact".to_string(),
            more => format!("{} more", format_count(more)),
        });
        table.add(cells);
    }
    table.add(tally_cells("all others", &report.callers.others));
    table.render()
}

fn reasons(report: &Report) -> String {
    let mut text = "Why\n".to_string();
    if report.total.why.is_empty() {
        text.push_str("  nothing was refused, cut, given up or broken\n");
    }
    for why in &report.total.why {
        let shares: Vec<String> = report
            .services
            .iter()
            .filter_map(|service| {
                let same = |w: &&_| same_reason(w, why);
                let own = service.why.iter().find(same)?;
                Some(format!("{} {}", service.name, format_count(own.count)))
            })
            .collect();
        text.push_str(&format!(
            "  {:>8}  {:<19} {}: {}\n",
            format_count(why.count),
            outcome_kind(why.what),
            why.reason,
            shares.join(", ")
        ));
    }
    text
}

fn same_reason(a: &ReasonCount, b: &ReasonCount) -> bool {
    a.what == b.what && a.reason == b.reason
}

fn exceptions(report: &Report) -> String {
    let mut text = format!("Exceptions in force: {}\n", report.exceptions.len());
    for line in &report.exceptions {
        text.push_str(&exception(line));
    }
    text
}

fn exception(line: &ExceptionLine) -> String {
    let mut text = format!(
        "  {} covers {} (backend servers: {}), because: {}\n",
        line.name, line.covers, line.servers, line.reason
    );
    for c in &line.changes {
        text.push_str(&format!("    {}\n", change(c, line.servers)));
    }
    let tally = &line.tally;
    text.push_str(&format!(
        "    those covered: {} served, {} refused, {} cut\n",
        format_count(tally.served),
        format_count(tally.not_run),
        format_count(tally.may_have_run)
    ));
    text
}

fn error_budgets(report: &Report) -> String {
    let Some(first) = report.burn.first() else {
        return String::new();
    };
    let windows: Vec<String> = first
        .windows
        .iter()
        .map(|w| format_duration_ms(w.window_ms))
        .collect();
    let mut headings = vec!["Burn (1 spends just what is allowed)", "budget left"];
    headings.extend(windows.iter().map(String::as_str));
    let mut table = Table::new(&headings);
    for line in rows_with_least_budget(&report.burn) {
        let name = format!("{} {}", line.service, objective(line.objective));
        let mut cells = vec![name, format_percent(line.budget_left)];
        cells.extend(line.windows.iter().map(|w| format!("{:.2}", w.rate)));
        table.add(cells);
    }
    let others = report.burn.len().saturating_sub(MAX_ROWS_PER_KIND);
    if others > 0 {
        table.add([format!("{others} more (--json has all)")]);
    }
    format!(
        "{}{}{}",
        table.render(),
        coverage_note(first),
        alerts(report)
    )
}

/// All lines if they fit into the table, or else those with the least error budget
/// left.
fn rows_with_least_budget(lines: &[ObjectiveLine]) -> Vec<&ObjectiveLine> {
    let mut rows: Vec<&ObjectiveLine> = lines.iter().collect();
    if rows.len() > MAX_ROWS_PER_KIND {
        rows.sort_by(|a, b| a.budget_left.total_cmp(&b.budget_left));
        rows.truncate(MAX_ROWS_PER_KIND);
    }
    rows
}

/// Note on windows that reach back further than the counts of some process; empty
/// if there are none.
fn coverage_note(line: &ObjectiveLine) -> String {
    let short = line
        .windows
        .iter()
        .find(|w| w.covered_ms.is_none_or(|covered| covered < w.window_ms));
    let Some(window) = short else {
        return String::new();
    };
    let covered = format_duration_ms(window.covered_ms.unwrap_or(0));
    format!(
        "  Windows from {} look back {covered} only at one process or more.\n",
        format_duration_ms(window.window_ms)
    )
}

fn alerts(report: &Report) -> String {
    let mut text = String::new();
    for line in &report.burn {
        for a in &line.alerts {
            text.push_str(&format!("  {}\n", alert(line, a)));
        }
    }
    if text.is_empty() {
        text.push_str("  No alert.\n");
    }
    text
}

//! The report as text that a person reads at a glance.

use std::cmp::Reverse;

use crate::report::model::AlertLine;
use crate::report::model::BurnLine;
use crate::report::model::ChangeLine;
use crate::report::model::ExceptionLine;
use crate::report::model::Line;
use crate::report::model::Objective;
use crate::report::model::Report;
use crate::report::model::Tally;
use crate::report::model::What;
use crate::report::model::Why;
use crate::table::Table;
use crate::words::by_kind;
use crate::words::number;
use crate::words::percent;
use crate::words::span;

const HEADINGS: [&str; 10] = [
    "", "served", "refused", "cut", "left", "flows", "given up", "broken", "half in", "99% in",
];

/// Rows of one kind that a table shows.
const ROWS: usize = 40;

/// Headings in words, below the table.
const LEGEND: &str = "\
refused: not run, no byte reached a backend server; cut: may have run
left: its caller went away before its end, such as a feed that was closed
given up: flows that ended with their data centre; broken: flows lost otherwise
";

/// The whole report.
pub fn render(report: &Report) -> String {
    let sections = [
        head(report),
        gaps(report),
        who_got_what(report),
        callers(report),
        reasons(report),
        exceptions(report),
        burn(report),
    ];
    let sections: Vec<String> = sections.into_iter().filter(|s| !s.is_empty()).collect();
    sections.join("\n")
}

/// First line of the report.
pub fn head(report: &Report) -> String {
    let config = match report.config {
        Some(version) => format!("configuration version {version}"),
        None => "no fleet document".to_string(),
    };
    let window = span(report.window_ms);
    let covered = match report.covered_ms {
        Some(covered) if covered < report.window_ms => {
            format!(" (at one process only {})", span(covered))
        }
        _ => String::new(),
    };
    format!(
        "Who got what, last {window}{covered}: {} of {} processes answered, {config}\n",
        report.answered, report.asked
    )
}

/// Name of an objective in words.
pub fn objective(objective: Objective) -> &'static str {
    match objective {
        Objective::Served => "requests served",
        Objective::Answered => "answered in time",
        Objective::Unbroken => "flows unbroken",
    }
}

/// What happened, in words.
pub fn what(what: What) -> &'static str {
    match what {
        What::NotRun => "refused (not run)",
        What::MayHaveRun => "cut (may have run)",
        What::Left => "left by its caller",
        What::GivenUp => "flow given up",
        What::Broken => "flow broken",
    }
}

/// An alert in words.
pub fn alert(line: &BurnLine, alert: &AlertLine) -> String {
    let urgency = match alert.page {
        true => "ALERT, look now",
        false => "alert, look today",
    };
    format!(
        "{urgency}: {} {} burns at {} or more over {} and over {}",
        line.service,
        objective(line.objective),
        alert.rate,
        span(alert.long_ms),
        span(alert.short_ms)
    )
}

/// A change by an exception in words.
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
    for gap in by_kind(&report.gaps) {
        text.push_str(&format!("  - {gap}\n"));
    }
    text
}

fn who_got_what(report: &Report) -> String {
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
        for line in worst(lines) {
            table.add(cells(&format!("{kind} {}", line.name), line));
        }
        let others = lines.len().saturating_sub(ROWS);
        if others > 0 {
            table.add([format!("{kind}: {others} more (--json has all)")]);
        }
    }
    format!("{}{LEGEND}", table.render())
}

/// Rows that fit: all, or those with the most that was not served.
fn worst(lines: &[Line]) -> Vec<&Line> {
    let mut rows: Vec<&Line> = lines.iter().collect();
    if rows.len() > ROWS {
        rows.sort_by_key(|line| Reverse(not_served(&line.tally)));
        rows.truncate(ROWS);
    }
    rows
}

fn not_served(tally: &Tally) -> u64 {
    let requests = tally.not_run.saturating_add(tally.may_have_run);
    requests.saturating_add(tally.broken)
}

fn cells(name: &str, line: &Line) -> Vec<String> {
    let time = |ms: Option<u64>| ms.map_or("-".to_string(), span);
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
        .map(number),
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
            more => format!("{} more", number(more)),
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
                Some(format!("{} {}", service.name, number(own.count)))
            })
            .collect();
        text.push_str(&format!(
            "  {:>8}  {:<19} {}: {}\n",
            number(why.count),
            what(why.what),
            why.reason,
            shares.join(", ")
        ));
    }
    text
}

fn same_reason(a: &Why, b: &Why) -> bool {
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
        number(tally.served),
        number(tally.not_run),
        number(tally.may_have_run)
    ));
    text
}

fn burn(report: &Report) -> String {
    let Some(first) = report.burn.first() else {
        return String::new();
    };
    let windows: Vec<String> = first.windows.iter().map(|w| span(w.window_ms)).collect();
    let mut headings = vec!["Burn (1 spends just what is allowed)", "budget left"];
    headings.extend(windows.iter().map(String::as_str));
    let mut table = Table::new(&headings);
    for line in fastest(&report.burn) {
        let name = format!("{} {}", line.service, objective(line.objective));
        let mut cells = vec![name, percent(line.budget_left)];
        cells.extend(line.windows.iter().map(|w| format!("{:.2}", w.rate)));
        table.add(cells);
    }
    let others = report.burn.len().saturating_sub(ROWS);
    if others > 0 {
        table.add([format!("{others} more (--json has all)")]);
    }
    format!("{}{}{}", table.render(), memory(first), alerts(report))
}

/// Rows that fit: all, or those with the least budget left.
fn fastest(lines: &[BurnLine]) -> Vec<&BurnLine> {
    let mut rows: Vec<&BurnLine> = lines.iter().collect();
    if rows.len() > ROWS {
        rows.sort_by(|a, b| a.budget_left.total_cmp(&b.budget_left));
        rows.truncate(ROWS);
    }
    rows
}

/// How far back the burn looks, when that is less than its windows.
fn memory(line: &BurnLine) -> String {
    let short = line
        .windows
        .iter()
        .find(|w| w.covered_ms.is_none_or(|covered| covered < w.window_ms));
    let Some(window) = short else {
        return String::new();
    };
    let covered = span(window.covered_ms.unwrap_or(0));
    format!(
        "  Windows from {} look back {covered} only at one process or more.\n",
        span(window.window_ms)
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

//! Renders the report as a self-contained HTML page, with the content of the text
//! form as tables, and plots.

use std::fmt::Write;

use crate::human_format::first_of_each_kind;
use crate::human_format::format_count;
use crate::human_format::format_duration_ms;
use crate::human_format::format_percent;
use crate::report::model::CallerTable;
use crate::report::model::GroupLine;
use crate::report::model::Report;
use crate::report::model::Tally;
use crate::report::plot;
use crate::report::text;

const STYLE: &str = "\
body{font:15px/1.5 sans-serif;color:#222;max-width:960px;margin:2em auto;padding:0 1em}
h1{font-size:1.5em}h2{font-size:1.15em;margin-top:2em}
table{border-collapse:collapse;width:100%}
th,td{text-align:right;padding:.2em .6em;border-bottom:1px solid #ddd}
th:first-child,td:first-child{text-align:left}
.gap{background:#fff4d6;border-left:4px solid #ef9b0f;padding:.5em 1em}
.alert{background:#fde3e3;border-left:4px solid #c62828;padding:.5em 1em}
.note{color:#666}
svg{max-width:100%;height:auto}
";

const TALLY_COLUMNS: [&str; 7] = [
    "served", "refused", "cut", "left", "flows", "given up", "broken",
];

/// Renders the page.
pub fn render(report: &Report) -> String {
    let mut page = String::new();
    page.push_str("<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">");
    page.push_str("<title>bramleyramp: who got what</title><style>");
    page.push_str(STYLE);
    page.push_str("</style></head><body>\n");
    element(&mut page, "h1", &text::head(report));
    alerts(&mut page, report);
    gaps(&mut page, report);
    figure(
        &mut page,
        "Requests by time",
        &plot::requests_by_time(report),
    );
    figure(
        &mut page,
        "Refused and cut requests by time",
        &plot::failures_by_time(report),
    );
    paragraph(&mut page, "note", "The newest bar is still being filled.");
    element(&mut page, "h2", "Who got what");
    outcome_table(&mut page, report);
    figure(&mut page, "By backend server", &plot::servers(report));
    figure(&mut page, "Answer times", &plot::answer_times(report));
    element(&mut page, "h2", "Callers");
    callers(&mut page, &report.callers);
    element(&mut page, "h2", "Why");
    reasons(&mut page, &report.total);
    element(&mut page, "h2", "Exceptions in force");
    exceptions(&mut page, report);
    element(&mut page, "h2", "Service-level burn");
    error_budgets(&mut page, report);
    page.push_str("</body></html>\n");
    page
}

fn alerts(page: &mut String, report: &Report) {
    for line in &report.burn {
        for alert in &line.alerts {
            paragraph(page, "alert", &text::alert(line, alert));
        }
    }
}

fn gaps(page: &mut String, report: &Report) {
    if report.at_least {
        paragraph(
            page,
            "gap",
            "At least: events may be missing, so each number is a lower bound.",
        );
    }
    for gap in first_of_each_kind(&report.gaps) {
        paragraph(page, "gap", &gap);
    }
}

fn figure(page: &mut String, title: &str, svg: &str) {
    element(page, "h2", title);
    page.push_str(svg);
    page.push('\n');
}

fn outcome_table(page: &mut String, report: &Report) {
    let headings = TALLY_COLUMNS.into_iter().chain(["half in", "99% in"]);
    table(page, std::iter::once("").chain(headings));
    let total = match report.at_least {
        true => "everything, at least",
        false => "everything",
    };
    row(page, total, &line_cells(&report.total));
    for (kind, lines) in [
        ("service", &report.services),
        ("data centre", &report.data_centres),
        ("server", &report.servers),
    ] {
        for line in lines {
            row(page, &format!("{kind} {}", line.name), &line_cells(line));
        }
    }
    page.push_str("</table>\n");
    paragraph(
        page,
        "note",
        "Refused: not run, no byte reached a backend server. Cut: may have run. \
         Left: its caller went away before its end. \
         Given up: flows that ended with their data centre. Broken: flows lost otherwise.",
    );
}

fn callers(page: &mut String, callers: &CallerTable) {
    let headings = TALLY_COLUMNS.into_iter().chain(["may have more"]);
    table(page, std::iter::once("caller").chain(headings));
    for line in &callers.top {
        let mut cells = tally_cells(&line.tally);
        cells.push(match line.up_to_more {
            0 => "exact".to_string(),
            more => format!("+{}", format_count(more)),
        });
        row(page, &line.caller.to_string(), &cells);
    }
    row(page, "all others", &tally_cells(&callers.others));
    page.push_str("</table>\n");
}

fn reasons(page: &mut String, total: &GroupLine) {
    if total.why.is_empty() {
        paragraph(
            page,
            "note",
            "Nothing was refused, cut, given up or broken.",
        );
        return;
    }
    table(page, ["reason", "what", "how often"]);
    for why in &total.why {
        let cells = [
            text::outcome_kind(why.what).to_string(),
            format_count(why.count),
        ];
        row(page, &why.reason, &cells);
    }
    page.push_str("</table>\n");
}

fn exceptions(page: &mut String, report: &Report) {
    if report.exceptions.is_empty() {
        paragraph(page, "note", "None.");
        return;
    }
    table(
        page,
        [
            "exception",
            "covers",
            "because",
            "changes",
            "served",
            "refused",
            "cut",
        ],
    );
    for line in &report.exceptions {
        let changes: Vec<String> = line
            .changes
            .iter()
            .map(|c| text::change(c, line.servers))
            .collect();
        let cells = [
            line.covers.clone(),
            line.reason.clone(),
            changes.join("; "),
            format_count(line.tally.served),
            format_count(line.tally.not_run),
            format_count(line.tally.may_have_run),
        ];
        row(page, &line.name, &cells);
    }
    page.push_str("</table>\n");
}

fn error_budgets(page: &mut String, report: &Report) {
    let Some(first) = report.burn.first() else {
        paragraph(page, "note", "Not known.");
        return;
    };
    let windows: Vec<String> = first
        .windows
        .iter()
        .map(|w| format_duration_ms(w.window_ms))
        .collect();
    let windows = windows.iter().map(String::as_str);
    table(
        page,
        ["objective", "budget left"].into_iter().chain(windows),
    );
    for line in &report.burn {
        let name = format!("{} {}", line.service, text::objective(line.objective));
        let mut cells = vec![format_percent(line.budget_left)];
        cells.extend(line.windows.iter().map(|w| format!("{:.2}", w.rate)));
        row(page, &name, &cells);
    }
    page.push_str("</table>\n");
    paragraph(
        page,
        "note",
        "A burn of 1 spends just what the objective allows.",
    );
}

fn line_cells(line: &GroupLine) -> Vec<String> {
    let time = |ms: Option<u64>| ms.map_or("-".to_string(), format_duration_ms);
    let mut cells = tally_cells(&line.tally);
    cells.push(time(line.answer_p50_ms));
    cells.push(time(line.answer_p99_ms));
    cells
}

fn tally_cells(tally: &Tally) -> Vec<String> {
    [
        tally.served,
        tally.not_run,
        tally.may_have_run,
        tally.left,
        tally.flows,
        tally.given_up,
        tally.broken,
    ]
    .map(format_count)
    .to_vec()
}

fn table<'a>(page: &mut String, headings: impl IntoIterator<Item = &'a str>) {
    page.push_str("<table><tr>");
    for heading in headings {
        element(page, "th", heading);
    }
    page.push_str("</tr>\n");
}

fn row(page: &mut String, name: &str, cells: &[String]) {
    page.push_str("<tr>");
    element(page, "td", name);
    for cell in cells {
        element(page, "td", cell);
    }
    page.push_str("</tr>\n");
}

fn paragraph(page: &mut String, class: &str, text: &str) {
    let _ = writeln!(page, "<p class=\"{class}\">{}</p>", escape(text));
}

fn element(page: &mut String, tag: &str, text: &str) {
    let _ = write!(page, "<{tag}>{}</{tag}>", escape(text));
}

/// Escapes text for HTML: names and reasons come from documents and may contain
/// markup.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

//! Renders the overview as text.

use crate::human_format::first_of_each_kind;
use crate::human_format::format_count;
use crate::human_format::format_duration_ms;
use crate::status::model::LoadLine;
use crate::status::model::MemberLine;
use crate::status::model::Overview;
use crate::table::Table;

/// Renders the overview.
pub fn render(overview: &Overview) -> String {
    let sections = [
        head(overview),
        processes(overview),
        services(overview),
        drains(overview),
    ];
    let sections: Vec<String> = sections.into_iter().filter(|s| !s.is_empty()).collect();
    sections.join("\n")
}

fn head(overview: &Overview) -> String {
    let version = match overview.config {
        Some(version) => format!("version {version}"),
        None => "no version".to_string(),
    };
    let verdict = match overview.in_force {
        true => format!("IN FORCE: {version} everywhere"),
        false => format!("NOT IN FORCE everywhere: newest is {version}"),
    };
    let published = match overview.published {
        Some(version) => format!(", platform publishes {version}"),
        None => String::new(),
    };
    let mut text = format!(
        "{verdict}, {} of {} processes answered{published}\n",
        overview.answered, overview.asked
    );
    for finding in first_of_each_kind(&overview.findings) {
        text.push_str(&format!("  - {finding}\n"));
    }
    text
}

fn processes(overview: &Overview) -> String {
    if overview.processes.is_empty() {
        return String::new();
    }
    let mut table = Table::new(&[
        "Process",
        "role",
        "data centre",
        "version",
        "state",
        "up",
        "flows",
        "platform calls",
        "platform heard",
    ]);
    for line in &overview.processes {
        let last_answer = line.platform_silent_ms.map_or("never".to_string(), |ms| {
            format!("{} ago", format_duration_ms(ms))
        });
        table.add([
            line.name.clone(),
            line.role.to_string(),
            line.data_centre.clone(),
            line.config.to_string(),
            line.readiness.to_string(),
            format_duration_ms(line.uptime_ms),
            format_count(line.flows),
            format_count(line.platform_calls),
            last_answer,
        ]);
    }
    table.render()
}

fn services(overview: &Overview) -> String {
    let mut text = Vec::new();
    for service in &overview.services {
        let title = format!("Service {} at {}", service.name, service.address);
        let mut table = Table::new(&[
            &title,
            "data centre",
            "state",
            "flows",
            "of",
            "running",
            "slots now",
            "of",
            "waiting",
        ]);
        for member in &service.members {
            table.add(cells(member));
        }
        text.push(table.render());
    }
    text.join("\n")
}

fn cells(member: &MemberLine) -> Vec<String> {
    let load = |pick: fn(&LoadLine) -> u32| match &member.load {
        Some(load) => format_count(u64::from(pick(load))),
        None => "?".to_string(),
    };
    vec![
        format!("  {}", member.name),
        member.data_centre.clone(),
        state(member),
        load(|l| l.flows),
        format_count(u64::from(member.connections)),
        load(|l| l.in_progress),
        load(|l| l.slots_now),
        format_count(u64::from(member.slots)),
        load(|l| l.waiting),
    ]
}

/// State of a member as text, most severe condition first.
fn state(member: &MemberLine) -> String {
    let warmth = member.load.map_or("load not known", |load| load.warmth);
    let mut words = Vec::new();
    if member.out_for > 0 {
        words.push(with_share(
            "data centre out",
            member.out_for,
            member.known_by,
        ));
    }
    if member.dead_for > 0 {
        words.push(with_share("dead", member.dead_for, member.known_by));
    }
    if member.leaving {
        words.push("leaving".to_string());
    }
    words.push(warmth.to_string());
    words.join(", ")
}

/// Formats a view of a member, with the number of processes that hold it unless
/// all do.
fn with_share(view: &str, holders: usize, all: usize) -> String {
    match holders == all {
        true => view.to_string(),
        false => format!("{view} for {holders} of {all}"),
    }
}

fn drains(overview: &Overview) -> String {
    let mut text = String::new();
    for drain in &overview.drains {
        text.push_str(&format!(
            "Draining: {} has {} flows and {} requests in progress, {} left before they are cut\n",
            drain.server,
            format_count(u64::from(drain.flows)),
            format_count(u64::from(drain.in_progress)),
            format_duration_ms(drain.left_ms)
        ));
    }
    text
}

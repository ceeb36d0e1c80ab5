//! Logs what changes with each new view: the configuration version, and the backend
//! servers that are listed.

use std::net::Ipv4Addr;

use indexmap::IndexMap;
use ramp_coordination::passthrough::view::Member;
use ramp_coordination::passthrough::view::View;

/// Logs the differences between the previous view and `new`.
pub fn log_changes(old: Option<&View>, new: &View) {
    if old.map(|v| v.version) != Some(new.version) {
        log::info!(
            version = new.version.0,
            before = old.map_or(0, |v| v.version.0),
            routes = new.route_count(),
            revision = new.newest.0;
            "configuration in force"
        );
    }
    if old.is_none() {
        log::info!(
            servers = new.members().len(),
            draining = new.members().iter().filter(|m| m.draining).count(),
            evacuated = new.members().iter().filter(|m| m.evacuated).count(),
            revision = new.newest.0;
            "backend servers listed"
        );
        return;
    }
    let before = by_address(old);
    let after = by_address(Some(new));
    for (address, member) in &after {
        log_member(new, before.get(address).copied(), member);
    }
    for address in before.keys().filter(|a| !after.contains_key(*a)) {
        log::info!(agent:% = address, revision = new.newest.0; "backend server no longer listed");
    }
}

fn log_member(view: &View, before: Option<&Member>, member: &Member) {
    let state = state_of(member);
    let same = before.is_some_and(|b| state_of(b) == state && b.born_ms == member.born_ms);
    if same {
        return;
    }
    log::info!(
        agent:% = member.address,
        service = member.service.0,
        state,
        born_ms = member.born_ms,
        cold_until_ms = member.cold_until.0,
        revision = view.newest.0;
        "backend server listed"
    );
}

fn state_of(member: &Member) -> &'static str {
    match (member.draining, member.evacuated) {
        (true, _) => "draining",
        (false, true) => "evacuated",
        (false, false) => "ready",
    }
}

fn by_address(view: Option<&View>) -> IndexMap<Ipv4Addr, &Member> {
    let members = view.into_iter().flat_map(View::members);
    members.map(|m| (m.address, m)).collect()
}

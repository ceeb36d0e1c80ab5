//! Writes and reads summaries of the event ledger, which operator calls return,
//! with Cap'n Proto.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_state::key::InstanceId;
use ramp_state::key::ServiceId;
use ramp_state::ledger::answer_times::AnswerTimes;
use ramp_state::ledger::callers::CallerEntry;
use ramp_state::ledger::callers::TopCallers;
use ramp_state::ledger::counts::ClassCounts;
use ramp_state::ledger::counts::Counts;
use ramp_state::ledger::event_kind;
use ramp_state::ledger::event_kind::EventKind;
use ramp_state::ledger::summary::RowKey;
use ramp_state::ledger::summary::Summary;
use ramp_state::ledger::summary::Window;

use crate::codec::CodecError;
use crate::operator_capnp as wire;

/// Writes `window` into a message.
pub fn write_window(mut m: wire::window::Builder<'_>, window: Window) {
    m.set_back_ms(window.lookback.as_millis() as u64);
    m.set_callers(window.callers);
}

/// Reads a window from a message.
pub fn read_window(m: wire::window::Reader<'_>) -> Window {
    Window {
        lookback: Duration::from_millis(m.get_back_ms()),
        callers: m.get_callers(),
    }
}

/// Writes `summary` into a message.
pub fn write_summary(mut m: wire::summary::Builder<'_>, summary: &Summary) {
    m.set_asked_ms(summary.asked.as_millis() as u64);
    m.set_step_ms(summary.step.as_millis() as u64);
    m.set_has_covered(summary.covered.is_some());
    m.set_covered_ms(summary.covered.unwrap_or_default().as_millis() as u64);
    m.set_ledgers(summary.ledgers);
    m.set_started_within(summary.started_within);
    m.set_without_detail(summary.without_detail);
    m.set_lost(summary.lost);
    write_counts(m.reborrow().init_other(), &summary.other);
    write_callers(m.reborrow().init_callers(), &summary.callers);
    let mut list = m.reborrow().init_slices(summary.slices.len() as u32);
    for (i, classes) in summary.slices.iter().enumerate() {
        write_classes(list.reborrow().get(i as u32), classes);
    }
    let mut list = m.init_rows(summary.rows.len() as u32);
    for (i, (key, counts)) in summary.rows.iter().enumerate() {
        write_row(list.reborrow().get(i as u32), key, counts);
    }
}

/// Reads a summary from a message. Rows with the same key are added up.
///
/// # Errors
///
/// [`CodecError`] if the message is malformed or contains unknown values.
pub fn read_summary(m: wire::summary::Reader<'_>) -> Result<Summary, CodecError> {
    let covered = Duration::from_millis(m.get_covered_ms());
    let mut summary = Summary {
        asked: Duration::from_millis(m.get_asked_ms()),
        step: Duration::from_millis(m.get_step_ms()),
        covered: m.get_has_covered().then_some(covered),
        ledgers: m.get_ledgers(),
        started_within: m.get_started_within(),
        without_detail: m.get_without_detail(),
        lost: m.get_lost(),
        other: read_counts(m.get_other()?)?,
        callers: read_callers(m.get_callers()?)?,
        slices: m.get_slices()?.iter().map(read_classes).collect(),
        ..Summary::default()
    };
    for row in m.get_rows()? {
        let server = InstanceId(row.get_server());
        let key = RowKey {
            service: ServiceId(row.get_service()),
            server: row.get_has_server().then_some(server),
        };
        let counts = read_counts(row.get_counts()?)?;
        summary.rows.entry(key).or_default().merge(&counts);
    }
    Ok(summary)
}

fn write_row(mut m: wire::row::Builder<'_>, key: &RowKey, counts: &Counts) {
    m.set_service(key.service.0);
    m.set_has_server(key.server.is_some());
    m.set_server(key.server.map_or(0, |id| id.0));
    write_counts(m.init_counts(), counts);
}

fn write_counts(mut m: wire::counts::Builder<'_>, counts: &Counts) {
    let kinds = counts.kinds().count();
    let mut list = m.reborrow().init_tallies(kinds as u32);
    for (i, (kind, n)) in counts.kinds().enumerate() {
        let mut tally = list.reborrow().get(i as u32);
        // The schema lists the kinds in the order of their indices.
        if let Ok(kind) = wire::Kind::try_from(kind.index() as u16) {
            tally.set_kind(kind);
            tally.set_count(n);
        }
    }
    if counts.times.total() == 0 {
        return;
    }
    let buckets = counts.times.buckets();
    let mut list = m.init_times(buckets.len() as u32);
    for (i, n) in buckets.iter().enumerate() {
        list.set(i as u32, *n);
    }
}

fn read_counts(m: wire::counts::Reader<'_>) -> Result<Counts, CodecError> {
    let mut counts = Counts::default();
    for tally in m.get_tallies()? {
        counts.add_many(read_kind(tally.get_kind()?), tally.get_count());
    }
    counts.times = AnswerTimes::from_buckets(m.get_times()?.iter());
    Ok(counts)
}

fn read_kind(kind: wire::Kind) -> EventKind {
    event_kind::ALL[usize::from(u16::from(kind))]
}

fn write_callers(mut m: wire::callers::Builder<'_>, callers: &TopCallers) {
    m.set_floor(callers.floor);
    write_classes(m.reborrow().init_rest(), &callers.rest);
    let mut list = m.init_top(callers.top.len() as u32);
    for (i, (ip, entry)) in callers.top.iter().enumerate() {
        let mut caller = list.reborrow().get(i as u32);
        caller.set_ip(u32::from(*ip));
        caller.set_unseen(entry.unseen);
        caller.set_floor(entry.floor);
        write_classes(caller.init_classes(), &entry.classes);
    }
}

fn read_callers(m: wire::callers::Reader<'_>) -> Result<TopCallers, CodecError> {
    let mut callers = TopCallers {
        rest: read_classes(m.get_rest()?),
        floor: m.get_floor(),
        ..TopCallers::default()
    };
    for caller in m.get_top()? {
        let entry = CallerEntry {
            classes: read_classes(caller.get_classes()?),
            unseen: caller.get_unseen(),
            floor: caller.get_floor(),
        };
        callers.top.insert(Ipv4Addr::from(caller.get_ip()), entry);
    }
    Ok(callers)
}

fn write_classes(mut m: wire::classes::Builder<'_>, classes: &ClassCounts) {
    m.set_served(classes.served);
    m.set_not_run(classes.not_run);
    m.set_may_have_run(classes.may_have_run);
    m.set_left(classes.left);
    m.set_flows(classes.flows);
    m.set_given_up(classes.given_up);
    m.set_broken(classes.broken);
    m.set_ended(classes.ended);
}

fn read_classes(m: wire::classes::Reader<'_>) -> ClassCounts {
    ClassCounts {
        served: m.get_served(),
        not_run: m.get_not_run(),
        may_have_run: m.get_may_have_run(),
        left: m.get_left(),
        flows: m.get_flows(),
        given_up: m.get_given_up(),
        broken: m.get_broken(),
        ended: m.get_ended(),
    }
}

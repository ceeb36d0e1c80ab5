//! Ledger: time windows, bounded memory, top callers, answer times and merging of
//! summaries.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use ramp_state::key::InstanceId;
use ramp_state::key::ServiceId;
use ramp_state::ledger::Ledger;
use ramp_state::ledger::MAX_CALLERS;
use ramp_state::ledger::answer_times::AnswerTimes;
use ramp_state::ledger::answer_times::BUCKET_BOUNDS_MS;
use ramp_state::ledger::callers::CallerSketch;
use ramp_state::ledger::callers::TopCallers;
use ramp_state::ledger::counts::ClassCounts;
use ramp_state::ledger::event_kind;
use ramp_state::ledger::event_kind::EventKind;
use ramp_state::ledger::summary::RowKey;
use ramp_state::ledger::summary::Summary;
use ramp_state::ledger::summary::Window;
use ramp_state::outcome::Outcome;
use ramp_state::outcome::Record;
use ramp_state::time::Millis;
use ramp_state::verdict::NotRun;
use ramp_state::verdict::Verdict;

const SEED: u64 = 5;
const SECOND_MS: u64 = 1_000;
const HOUR_MS: u64 = 3_600 * SECOND_MS;

/// Capacity of a sketch that is smaller than the number of generated callers.
const SKETCH_CAPACITY: usize = 4;

/// Generated event, with small numbers for the caller, the server and the kind.
#[derive(Clone, Copy, Debug)]
struct Event {
    caller: u8,
    server: u8,
    kind: usize,
    after_ms: u16,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Event {
        Event {
            // Skewed towards low numbers: real callers are not uniformly
            // distributed either.
            caller: u8::arbitrary(g) & u8::arbitrary(g) & 0x1f,
            server: u8::arbitrary(g) % 4,
            kind: usize::arbitrary(g) % event_kind::KIND_COUNT,
            after_ms: u16::arbitrary(g),
        }
    }
}

#[test]
fn every_kind_stands_at_its_index() {
    for (i, kind) in event_kind::ALL.into_iter().enumerate() {
        assert_eq!(kind.index(), i);
    }
}

#[test]
fn merging_summaries_is_associative_and_commutative_with_a_neutral_element() {
    fn property(a: Vec<Event>, b: Vec<Event>, c: Vec<Event>) -> bool {
        let [a, b, c] = [a, b, c].map(|events| summary_of(&events));
        let left = merged(&merged(&a, &b), &c);
        let right = merged(&a, &merged(&b, &c));
        left == right
            && merged(&a, &b) == merged(&b, &a)
            && merged(&a, &Summary::default()) == a
            && merged(&Summary::default(), &a) == a
    }
    check(property as fn(Vec<Event>, Vec<Event>, Vec<Event>) -> bool);
}

#[test]
fn merging_sketches_is_associative_and_commutative() {
    fn property(a: Vec<Event>, b: Vec<Event>, c: Vec<Event>) -> bool {
        let [a, b, c] = [a, b, c].map(|events| sketch_of(&events).callers());
        let left = merged_callers(&merged_callers(&a, &b), &c);
        let right = merged_callers(&a, &merged_callers(&b, &c));
        left == right && merged_callers(&a, &b) == merged_callers(&b, &a)
    }
    check(property as fn(Vec<Event>, Vec<Event>, Vec<Event>) -> bool);
}

#[test]
fn callers_are_bounded_from_both_sides_and_sum_exactly() {
    fn property(parts: Vec<Vec<Event>>, kept: u8) -> bool {
        let mut callers = TopCallers::default();
        let mut true_counts: HashMap<Ipv4Addr, u64> = HashMap::new();
        for (i, part) in parts.iter().enumerate() {
            callers.merge(&sketch_of(part).callers());
            // A process truncates the sum of several sketches; then the
            // truncated sums are merged.
            if i % 3 == 2 {
                callers.truncate(usize::from(kept % 8));
            }
            for event in part {
                *true_counts.entry(ip_of(event)).or_default() += 1;
            }
        }
        let mut sum = callers.rest;
        for (ip, entry) in &callers.top {
            let min = entry.classes.events();
            let max = min + callers.max_uncounted(entry);
            if !(min..=max).contains(&true_counts[ip]) {
                return false;
            }
            sum.merge(&entry.classes);
        }
        let absent_within_floor = true_counts
            .iter()
            .filter(|(ip, _)| !callers.top.contains_key(*ip))
            .all(|(_, n)| *n <= callers.floor);
        absent_within_floor && sum.events() == true_counts.values().sum::<u64>()
    }
    check(property as fn(Vec<Vec<Event>>, u8) -> bool);
}

#[test]
fn truncation_keeps_the_bounds_of_the_remaining_callers() {
    fn property(a: Vec<Event>, b: Vec<Event>, kept: u8) -> bool {
        let whole = merged_callers(&sketch_of(&a).callers(), &sketch_of(&b).callers());
        let mut truncated = whole.clone();
        truncated.truncate(usize::from(kept % 8));
        truncated.top.iter().all(|(ip, entry)| {
            truncated.max_uncounted(entry) == whole.max_uncounted(&whole.top[ip])
        })
    }
    check(property as fn(Vec<Event>, Vec<Event>, u8) -> bool);
}

#[test]
fn a_caller_with_more_than_its_share_is_always_kept() {
    fn property(events: Vec<Event>) -> bool {
        let sketch = sketch_of(&events).callers();
        let mut true_counts: HashMap<Ipv4Addr, usize> = HashMap::new();
        for event in &events {
            *true_counts.entry(ip_of(event)).or_default() += 1;
        }
        let share = events.len() / SKETCH_CAPACITY;
        true_counts
            .iter()
            .filter(|(_, n)| **n > share)
            .all(|(ip, _)| sketch.top.contains_key(ip))
    }
    check(property as fn(Vec<Event>) -> bool);
}

#[test]
fn number_of_callers_in_a_summary_is_bounded() {
    let mut ledger = Ledger::new(Millis(0));
    for i in 0..100 * MAX_CALLERS as u32 {
        let at = Millis(u64::from(i) * SECOND_MS / 50);
        ledger.add(at, &record(i, None, Outcome::FlowOpened));
    }
    let summary = ledger.summary(Millis(220 * SECOND_MS), window(600));
    assert_eq!(summary.callers.top.len(), MAX_CALLERS);
    let top = summary.callers.top.values();
    let known: u64 = top.map(|e| e.classes.flows).sum();
    assert_eq!(known + summary.callers.rest.flows, 100 * MAX_CALLERS as u64);
}

#[test]
fn totals_are_exact_when_rows_and_callers_overflow() {
    let mut ledger = Ledger::new(Millis(0));
    for i in 0..1_000 {
        let server = Some(InstanceId(i));
        ledger.add(Millis(5), &record(i as u32, server, Outcome::FlowOpened));
    }
    let summary = ledger.summary(Millis(10), window(60));
    assert_eq!(summary.total().classes().flows, 1_000);
    assert!(summary.rows.len() < 1_000);
    let in_rows: u64 = summary.rows.values().map(|c| c.classes().flows).sum();
    assert_eq!(summary.without_detail, 1_000 - in_rows);
    assert!(summary.has_gaps());
    assert_eq!(summary.callers.top.len(), MAX_CALLERS);
}

#[test]
fn lost_events_are_reported_for_the_windows_that_miss_them() {
    let mut ledger = Ledger::new(Millis(0));
    ledger.add_lost(Millis(90 * HOUR_MS), 7);
    let now = Millis(91 * HOUR_MS);
    assert_eq!(ledger.summary(now, window(600)).lost, 0);
    let hours = ledger.summary(now, window(2 * 3_600));
    assert_eq!(hours.lost, 7);
    assert!(hours.has_gaps());
    assert_eq!(merged(&hours, &hours).lost, 14);
}

#[test]
fn windows_take_in_what_they_cover_and_no_more() {
    let mut ledger = Ledger::new(Millis(0));
    let now = Millis(100 * HOUR_MS);
    let ages_s = [1, 200, 1_000, 5_000, 30_000, 200_000, 300_000];
    for age_s in ages_s.into_iter().rev() {
        let at = now - Duration::from_secs(age_s);
        ledger.add(at, &record(1, None, Outcome::FlowOpened));
    }
    for (back_s, want) in [
        (60, 1),
        (300, 2),
        (1_800, 3),
        (3_600, 3),
        (21_600, 4),
        (259_200, 6),
    ] {
        let summary = ledger.summary(now, window(back_s));
        assert_eq!(summary.total().classes().flows, want, "back {back_s} s");
        assert!(!summary.has_gaps());
        assert!(summary.covered.unwrap() >= Duration::from_secs(back_s));
    }
}

#[test]
fn summary_of_a_young_process_covers_only_its_uptime() {
    let ledger = Ledger::new(Millis(50 * HOUR_MS));
    let summary = ledger.summary(Millis(50 * HOUR_MS + 7 * SECOND_MS), window(600));
    assert_eq!(summary.covered, Some(Duration::from_secs(7)));
    assert_eq!(summary.started_within, 1);
    assert!(summary.has_gaps());
}

#[test]
fn a_window_longer_than_all_rings_is_covered_in_part() {
    let ledger = Ledger::new(Millis(0));
    let summary = ledger.summary(Millis(500 * HOUR_MS), window(400 * 3_600));
    assert!(summary.covered.unwrap() < summary.asked);
    assert!(summary.has_gaps());
}

#[test]
fn time_that_goes_back_loses_no_event() {
    let mut ledger = Ledger::new(Millis(0));
    for at in [HOUR_MS, HOUR_MS - 30 * SECOND_MS, 0, HOUR_MS + SECOND_MS] {
        ledger.add(Millis(at), &record(1, None, Outcome::FlowOpened));
    }
    let summary = ledger.summary(Millis(HOUR_MS + SECOND_MS), window(600));
    assert_eq!(summary.total().classes().flows, 4);
    let early = ledger.summary(Millis(0), window(600));
    assert_eq!(early.total().classes().flows, 4);
}

#[test]
fn slices_count_events_by_time_newest_first() {
    let mut ledger = Ledger::new(Millis(0));
    let verdict = Verdict::NotRun(NotRun::Cold);
    let took = Duration::ZERO;
    for at in [95 * SECOND_MS, 105 * SECOND_MS, 106 * SECOND_MS] {
        let outcome = Outcome::Request { verdict, took };
        ledger.add(Millis(at), &record(1, None, outcome));
    }
    let summary = ledger.summary(Millis(109 * SECOND_MS), window(30));
    let refused: Vec<u64> = summary.slices.iter().map(|s| s.not_run).collect();
    assert_eq!(refused, [2, 1, 0, 0]);
    assert_eq!(summary.step, Duration::from_secs(10));
}

#[test]
fn rows_are_separate_for_each_service_and_server() {
    let mut ledger = Ledger::new(Millis(0));
    let server = Some(InstanceId::of("ledger-1"));
    ledger.add(Millis(1), &record(1, server, Outcome::FlowOpened));
    ledger.add(Millis(1), &record(1, None, Outcome::FlowOpened));
    let summary = ledger.summary(Millis(2), window(60));
    for server in [server, None] {
        let service = ServiceId::of("ledger");
        let counts = &summary.rows[&RowKey { service, server }];
        assert_eq!(counts.classes().flows, 1);
    }
    let all = summary.service(ServiceId::of("ledger"));
    assert_eq!(all.classes().flows, 2);
}

#[test]
fn answer_times_are_exact_at_the_bounds() {
    for bound in BUCKET_BOUNDS_MS {
        let mut times = AnswerTimes::default();
        times.add(Duration::from_millis(bound));
        times.add(Duration::from_millis(bound) + Duration::from_micros(1));
        assert_eq!(
            times.count_within(Duration::from_millis(bound)),
            1,
            "{bound} ms"
        );
    }
}

#[test]
fn answer_times_are_a_lower_bound_between_the_bounds() {
    fn property(took_ms: Vec<u16>, limit_ms: u16) -> bool {
        let mut times = AnswerTimes::default();
        for ms in &took_ms {
            times.add(Duration::from_millis(u64::from(*ms)));
        }
        let true_count = took_ms.iter().filter(|ms| **ms <= limit_ms).count();
        times.count_within(Duration::from_millis(u64::from(limit_ms))) <= true_count as u64
    }
    check(property as fn(Vec<u16>, u16) -> bool);
}

#[test]
fn quantiles_are_bucket_bounds() {
    let mut times = AnswerTimes::default();
    assert_eq!(times.quantile(500_000), None);
    for ms in 1..=100 {
        times.add(Duration::from_millis(ms));
    }
    assert_eq!(times.quantile(500_000), Some(Duration::from_millis(50)));
    assert_eq!(times.quantile(990_000), Some(Duration::from_millis(100)));
    times.add(Duration::from_secs(7_200));
    assert_eq!(times.quantile(1_000_000), None);
}

fn check(property: impl quickcheck::Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, SEED))
        .quickcheck(property);
}

fn summary_of(events: &[Event]) -> Summary {
    let mut ledger = Ledger::new(Millis(0));
    let mut now = Millis(0);
    for event in events {
        now = now + Duration::from_millis(u64::from(event.after_ms));
        let server = (event.server > 0).then(|| InstanceId(u64::from(event.server)));
        let outcome = outcome_of(event_kind::ALL[event.kind]);
        ledger.add(now, &record(u32::from(event.caller), server, outcome));
    }
    ledger.summary(now, window(300))
}

fn sketch_of(events: &[Event]) -> CallerSketch {
    let mut sketch = CallerSketch::new(SKETCH_CAPACITY);
    for event in events {
        sketch.add(ip_of(event), event_kind::ALL[event.kind]);
    }
    sketch
}

fn merged(a: &Summary, b: &Summary) -> Summary {
    let mut sum = a.clone();
    sum.merge(b);
    sum
}

fn merged_callers(a: &TopCallers, b: &TopCallers) -> TopCallers {
    let mut sum = a.clone();
    sum.merge(b);
    sum
}

fn outcome_of(kind: EventKind) -> Outcome {
    match kind {
        EventKind::Request(verdict) => Outcome::Request {
            verdict,
            took: Duration::from_millis(40),
        },
        EventKind::FlowOpened => Outcome::FlowOpened,
        EventKind::FlowEnded(end) => Outcome::FlowEnded(end),
    }
}

fn record(caller: u32, server: Option<InstanceId>, outcome: Outcome) -> Record {
    Record {
        caller: SocketAddrV4::new(Ipv4Addr::from(caller), 4_000),
        service: ServiceId::of("ledger"),
        server,
        outcome,
    }
}

fn ip_of(event: &Event) -> Ipv4Addr {
    Ipv4Addr::from(u32::from(event.caller))
}

fn window(back_s: u64) -> Window {
    Window {
        lookback: Duration::from_secs(back_s),
        callers: true,
    }
}

#[test]
fn classes_add_up_to_the_kinds() {
    let mut classes = ClassCounts::default();
    for kind in event_kind::ALL {
        classes.add(kind, 1);
    }
    assert_eq!(classes.events(), event_kind::KIND_COUNT as u64);
    assert_eq!(classes.not_run, 10);
    assert_eq!(classes.may_have_run, 7);
    assert_eq!(classes.left, 2);
    assert_eq!(classes.broken, 2);
}

//! Cost of counting an event and of merging what processes tell, each beside
//! a baseline in the same run.

use std::collections::HashMap;
use std::hint::black_box;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use criterion::BatchSize;
use criterion::Criterion;
use ramp_state::key::InstanceId;
use ramp_state::key::ServiceId;
use ramp_state::key::mix;
use ramp_state::ledger::Ledger;
use ramp_state::ledger::summary::RowKey;
use ramp_state::ledger::summary::Summary;
use ramp_state::ledger::summary::Window;
use ramp_state::outcome::Outcome;
use ramp_state::outcome::Record;
use ramp_state::time::Millis;
use ramp_state::verdict::Verdict;

/// Processes whose summaries are merged.
const PROCESSES: u64 = 500;

/// Servers of a service.
const GROUP: u64 = 12;

/// Events in each process's window.
const EVENTS: u64 = 3_000;

const CALLERS: u64 = 100_000;
const SEED: u64 = 11;

const WINDOW: Window = Window {
    lookback: Duration::from_secs(600),
    callers: true,
};

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    count(&mut criterion);
    tell(&mut criterion);
    merge(&mut criterion);
    criterion.final_summary();
}

fn count(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("count 1,000 events");
    let now = Millis(600_000);
    for (name, callers) in [("of 100 callers", 100), ("of 100,000 callers", CALLERS)] {
        let events: Vec<Record> = (0..1_000).map(|i| record(i, callers)).collect();
        let mut ledger = filled(callers);
        group.bench_function(format!("ledger {name}"), |b| {
            b.iter(|| events.iter().for_each(|event| ledger.add(now, event)));
        });
        let mut table: HashMap<(RowKey, Ipv4Addr), u64> = HashMap::new();
        group.bench_function(format!("plain hash table {name}"), |b| {
            b.iter(|| {
                events
                    .iter()
                    .for_each(|event| count_plainly(&mut table, event))
            });
        });
    }
    group.finish();
}

fn tell(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("tell of 10 minutes");
    let ledger = filled(CALLERS);
    let now = Millis(600_000);
    let without = Window {
        callers: false,
        ..WINDOW
    };
    group.bench_function("with callers", |b| b.iter(|| ledger.summary(now, WINDOW)));
    group.bench_function("without callers", |b| {
        b.iter(|| ledger.summary(now, without))
    });
    group.finish();
}

fn merge(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("merge 500 summaries");
    let summaries: Vec<Summary> = (0..PROCESSES).map(summary).collect();
    group.bench_function("summaries", |b| {
        b.iter_batched(
            Summary::default,
            |mut sum| {
                summaries.iter().for_each(|s| sum.merge(s));
                sum
            },
            BatchSize::LargeInput,
        );
    });
    // What any merge must do at least: look at each entry once.
    group.bench_function("plain hash table of the same entries", |b| {
        b.iter_batched(
            || (HashMap::new(), HashMap::new()),
            |(mut rows, mut callers)| {
                for summary in &summaries {
                    add_plainly(summary, &mut rows, &mut callers);
                }
                (rows, callers)
            },
            BatchSize::LargeInput,
        );
    });
    group.finish();
}

fn count_plainly(table: &mut HashMap<(RowKey, Ipv4Addr), u64>, event: &Record) {
    let key = RowKey {
        service: event.service,
        server: event.server,
    };
    *table.entry((key, *event.caller.ip())).or_default() += 1;
}

fn add_plainly(
    summary: &Summary,
    rows: &mut HashMap<RowKey, u64>,
    callers: &mut HashMap<Ipv4Addr, u64>,
) {
    for (key, counts) in &summary.rows {
        *rows.entry(*key).or_default() += black_box(counts).times.total();
    }
    for (ip, entry) in &summary.callers.top {
        *callers.entry(*ip).or_default() += entry.classes.served;
    }
}

fn summary(process: u64) -> Summary {
    let mut ledger = Ledger::new(Millis(0));
    for i in 0..EVENTS {
        let at = Millis(i * 600_000 / EVENTS);
        ledger.add(at, &record(process * EVENTS + i, CALLERS));
    }
    ledger.summary(Millis(600_000), WINDOW)
}

fn filled(callers: u64) -> Ledger {
    let mut ledger = Ledger::new(Millis(0));
    for i in 0..CALLERS {
        ledger.add(Millis(i * 600_000 / CALLERS), &record(i, callers));
    }
    ledger
}

fn record(i: u64, callers: u64) -> Record {
    let x = mix(SEED ^ i);
    let caller = Ipv4Addr::from((x % callers) as u32);
    Record {
        caller: SocketAddrV4::new(caller, 4_000),
        service: ServiceId::of("ledger"),
        server: Some(InstanceId((x >> 32) % GROUP)),
        outcome: Outcome::Request {
            verdict: Verdict::Served,
            took: Duration::from_millis(x % 500),
        },
    }
}

//! Benchmarks of the ledger: counting events, building a summary and merging the
//! summaries of many processes. Counting and merging have a plain hash table as
//! baseline in the same run.

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

/// Number of processes whose summaries are merged.
const PROCESS_COUNT: u64 = 500;

/// Number of backend servers of the service.
const SERVER_COUNT: u64 = 12;

/// Number of events in the window of each process.
const EVENT_COUNT: u64 = 3_000;

const CALLER_COUNT: u64 = 100_000;
const SEED: u64 = 11;

const WINDOW: Window = Window {
    lookback: Duration::from_secs(600),
    callers: true,
};

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_count(&mut criterion);
    bench_summary(&mut criterion);
    bench_merge(&mut criterion);
    criterion.final_summary();
}

fn bench_count(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("count 1,000 events");
    let now = Millis(600_000);
    for (name, callers) in [
        ("of 100 callers", 100),
        ("of 100,000 callers", CALLER_COUNT),
    ] {
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
                    .for_each(|event| count_in_hash_table(&mut table, event))
            });
        });
    }
    group.finish();
}

fn bench_summary(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("tell of 10 minutes");
    let ledger = filled(CALLER_COUNT);
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

fn bench_merge(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("merge 500 summaries");
    let summaries: Vec<Summary> = (0..PROCESS_COUNT).map(summary).collect();
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
    // Lower bound for any merge: it visits each entry once.
    group.bench_function("plain hash table of the same entries", |b| {
        b.iter_batched(
            || (HashMap::new(), HashMap::new()),
            |(mut rows, mut callers)| {
                for summary in &summaries {
                    merge_into_hash_tables(summary, &mut rows, &mut callers);
                }
                (rows, callers)
            },
            BatchSize::LargeInput,
        );
    });
    group.finish();
}

fn count_in_hash_table(table: &mut HashMap<(RowKey, Ipv4Addr), u64>, event: &Record) {
    let key = RowKey {
        service: event.service,
        server: event.server,
    };
    *table.entry((key, *event.caller.ip())).or_default() += 1;
}

fn merge_into_hash_tables(
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
    for i in 0..EVENT_COUNT {
        let at = Millis(i * 600_000 / EVENT_COUNT);
        ledger.add(at, &record(process * EVENT_COUNT + i, CALLER_COUNT));
    }
    ledger.summary(Millis(600_000), WINDOW)
}

fn filled(callers: u64) -> Ledger {
    let mut ledger = Ledger::new(Millis(0));
    for i in 0..CALLER_COUNT {
        ledger.add(Millis(i * 600_000 / CALLER_COUNT), &record(i, callers));
    }
    ledger
}

fn record(i: u64, callers: u64) -> Record {
    let x = mix(SEED ^ i);
    let caller = Ipv4Addr::from((x % callers) as u32);
    Record {
        caller: SocketAddrV4::new(caller, 4_000),
        service: ServiceId::of("ledger"),
        server: Some(InstanceId((x >> 32) % SERVER_COUNT)),
        outcome: Outcome::Request {
            verdict: Verdict::Served,
            took: Duration::from_millis(x % 500),
        },
    }
}

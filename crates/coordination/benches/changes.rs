//! Cost of a change of the fleet or of one group, each compared with a baseline in
//! the same run.

mod common;

use std::collections::HashSet;
use std::hint::black_box;
use std::sync::Arc;

use criterion::Criterion;
use ramp_coordination::group_snapshot::GroupSnapshot;
use ramp_state::key::InstanceId;
use ramp_state::routing_table::Group;
use ramp_state::routing_table::RoutingTable;
use ramp_state::time::Millis;

use common::GROUPS;
use common::PEER;

/// Open flows of the agent that installs a new snapshot.
const FLOWS: usize = 2_000;

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    routing_table(&mut criterion);
    install(&mut criterion);
    criterion.final_summary();
}

fn routing_table(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("view of 340 groups");
    group.sample_size(20);
    let fleet = common::fleet(GROUPS);
    let alive = HashSet::new();
    let dead = HashSet::from([InstanceId::of(PEER)]);
    let routing_table = RoutingTable::compile(&fleet, &alive);
    let old = routing_table
        .group(common::service(0))
        .expect("a known service");
    group.bench_function("full compile", |b| {
        b.iter(|| RoutingTable::compile(&fleet, &alive))
    });
    group.bench_function("one group compiled and put in", |b| {
        b.iter(|| {
            let new = Group::compile(&fleet, "s0").expect("a known service");
            routing_table.with_group(Arc::new(new))
        });
    });
    group.bench_function("one member dead", |b| {
        b.iter(|| routing_table.with_group(Arc::new(old.with_dead(&dead))));
    });
    group.bench_function("plain copy", |b| b.iter(|| routing_table.clone()));
    group.finish();
}

fn install(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("new picture at an agent with 2,000 flows");
    let members = common::group();
    let keys = common::keys(&members, FLOWS);
    let fewer = Arc::new(members.with_dead(&HashSet::from([InstanceId::of(PEER)])));
    let cases = [
        ("loads alone", members.clone()),
        ("a member dead and back", fewer.clone()),
    ];
    for (name, other) in cases {
        let mut router = common::owner(&members, &keys);
        let pair = [common::snapshot(other), common::snapshot(members.clone())];
        // Two snapshots in turn, so that each differs from the one before.
        let mut turn = pair.iter().cycle();
        group.bench_function(name, |b| {
            b.iter(|| {
                let next: &Arc<GroupSnapshot> = turn.next().expect("a cycle has no end");
                router.install(Millis(1), Arc::clone(next));
            });
        });
    }
    // Baseline: a router that computes the home of every flow again.
    group.bench_function("home of every flow", |b| {
        b.iter(|| {
            for key in &keys {
                black_box(fewer.home(key.hash64()));
            }
        });
    });
    group.finish();
}

//! Cost of admitting a request and of claiming its idempotency key, each compared
//! with a simple baseline in the same run.

mod common;

use std::collections::HashMap;
use std::hint::black_box;
use std::sync::Arc;

use criterion::BatchSize;
use criterion::Criterion;
use ramp_coordination::claims::ClaimConfig;
use ramp_coordination::claims::Claims;
use ramp_coordination::claims::Decision;
use ramp_coordination::request_router::Action;
use ramp_coordination::request_router::PendingRequest;
use ramp_coordination::request_router::RequestRouter;
use ramp_protocol::message::ClaimKey;
use ramp_state::key::Incarnation;
use ramp_state::key::InstanceId;
use ramp_state::key::mix;
use ramp_state::routing_table::Group;
use ramp_state::time::Millis;

use common::ME;

/// Keys claimed in one run.
const KEYS: u64 = 100;

/// Replicas of each key. The group has just as many members, so all of them are
/// replicas.
const REPLICAS: usize = 3;

/// Late enough that the replicas can grant all keys: they have been replicas for
/// longer than keys are kept.
const NOW: Millis = Millis(100_000_000);

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    requests(&mut criterion);
    claims(&mut criterion);
    criterion.final_summary();
}

fn requests(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admission of a request");
    let mut requests = RequestRouter::new(Millis(0), InstanceId::of(ME), 1);
    requests.install(Millis(0), common::snapshot(common::group()));
    let req = PendingRequest {
        deadline: Millis(60_000),
        feed: false,
        forwarded: false,
        tried: Vec::new(),
    };
    group.bench_function("begin and release", |b| {
        b.iter(|| {
            let Action::Run(permit) = requests.begin(Millis(10), black_box(&req)) else {
                panic!("the only request finds a slot");
            };
            requests.release(Millis(10), permit);
        });
    });
    let mut count = 0_u32;
    group.bench_function("bare counter", |b| {
        b.iter(|| {
            *black_box(&mut count) += 1;
            *black_box(&mut count) -= 1;
        });
    });
    group.finish();
}

fn claims(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("100 keys at three replicas");
    let keys: Vec<ClaimKey> = (0..KEYS).map(|n| ClaimKey(u128::from(mix(n)))).collect();
    group.bench_function("claims begun and granted", |b| {
        b.iter_batched(
            replicas,
            |mut replicas| {
                keys.iter().for_each(|key| claim(&mut replicas, *key));
                replicas
            },
            BatchSize::LargeInput,
        );
    });
    group.bench_function("plain hash tables", |b| {
        b.iter_batched(
            || vec![HashMap::new(); REPLICAS],
            |mut tables| {
                for (n, key) in keys.iter().enumerate() {
                    tables.iter_mut().for_each(|table| {
                        table.insert(*key, n);
                    });
                }
                tables
            },
            BatchSize::LargeInput,
        );
    });
    group.finish();
}

/// One agent of a group of [`REPLICAS`].
struct Replica {
    me: InstanceId,
    claims: Claims,
}

fn replicas() -> Vec<Replica> {
    let whole = common::group();
    let members = whole.members[..REPLICAS].to_vec();
    let snapshot = common::snapshot(Arc::new(Group {
        members,
        ..(*whole).clone()
    }));
    let replica = |me| {
        let mut claims = Claims::new(ClaimConfig {
            me,
            incarnation: Incarnation(1),
            unix_ms_at_zero: 0,
            key_limit: KEYS as usize * 2,
        });
        claims.install(Millis(0), &snapshot);
        Replica { me, claims }
    };
    let ids = snapshot.group.members.iter().map(|m| m.id);
    ids.map(replica).collect()
}

/// Begins an attempt at the first replica and delivers the messages until it is
/// decided.
fn claim(replicas: &mut [Replica], key: ClaimKey) {
    let [claimer, others @ ..] = replicas else {
        panic!("there are replicas");
    };
    claimer.claims.begin(NOW, key);
    for out in claimer.claims.take_outbox() {
        let other = others.iter_mut().find(|r| r.me == out.to);
        let other = other.expect("the group has this member");
        other.claims.on_message(NOW, claimer.me, &out.message);
        for answer in other.claims.take_outbox() {
            claimer.claims.on_message(NOW, other.me, &answer.message);
        }
    }
    let decided = claimer.claims.take_decided();
    assert_eq!(decided.len(), 1);
    assert_eq!(decided[0].decision, Decision::Granted);
}

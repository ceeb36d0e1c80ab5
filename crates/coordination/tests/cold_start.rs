//! A cold server gets no more requests than it can take, and its limit rises
//! only by completed requests.

#[path = "common/requests.rs"]
mod common;
#[path = "common/sim.rs"]
mod sim;

use std::sync::Arc;
use std::time::Duration;

use ramp_coordination::admission::Admission;
use ramp_coordination::concurrency_limit::ConcurrencyLimit;
use ramp_coordination::concurrency_limit::RequestOutcome;
use ramp_protocol::message::Warmth;
use ramp_state::fleet::Policy;
use ramp_state::time::Millis;

use sim::Sim;

const SEEDS: u64 = 100;
const SERVICE: Duration = Duration::from_millis(20);

#[test]
fn a_cold_start_under_full_load_overloads_by_at_most_one() {
    for seed in 0..SEEDS {
        let mut sim = Sim::new(seed, 1, &Policy::default(), SERVICE);
        sim.load(500, Duration::from_secs(4), |_| 0);
        let server = &sim.servers[0];
        assert_eq!(server.crashes, 0, "seed {seed}");
        assert!(server.max_excess <= 1, "seed {seed}: {}", server.max_excess);
        assert_eq!(server.capacity(), 5, "seed {seed}: it did not warm up");
    }
}

#[test]
fn a_server_that_turns_cold_unnoticed_crashes_at_most_once() {
    let (mut crashes, mut lost, mut sent_while_overloaded) = (0, 0, 0);
    for seed in 0..SEEDS {
        let mut sim = Sim::new(seed, 1, &Policy::default(), SERVICE);
        sim.warm_up();
        sim.load(150, Duration::from_millis(500 + seed), |_| 0);
        sim.servers[0].turn_cold();
        sim.reset_counts();
        sim.load(150, Duration::from_secs(10), |_| 0);
        let server = &sim.servers[0];
        // Requests sent before it turned cold can't be taken back. After the
        // first slow or lost answer it gets the minimum only, and does not
        // crash again.
        assert!(
            server.crashes <= 1,
            "seed {seed}: crashed {} times",
            server.crashes
        );
        assert!(sim.lost() <= 5, "seed {seed}: lost {}", sim.lost());
        assert!(
            server.sent_while_overloaded < 5,
            "seed {seed}: {}",
            server.sent_while_overloaded
        );
        assert_eq!(
            server.capacity(),
            5,
            "seed {seed}: it did not warm up again"
        );
        crashes += server.crashes;
        lost += sim.lost();
        sent_while_overloaded += server.sent_while_overloaded;
    }
    println!(
        "{SEEDS} seeds: {crashes} crashes, {lost} lost, {sent_while_overloaded} sent while overloaded"
    );
}

#[test]
fn a_slow_request_does_not_stop_fast_ones() {
    let policy = Policy::default();
    let mut now = Millis(1000);
    let mut server = warm(now, &policy);
    let generation = server.generation();
    let sent_at = now;
    for _ in 0..100 {
        now = now + Duration::from_millis(10);
        assert_eq!(server.limit(now, &policy, Some(sent_at)), 5);
        server.record_outcome(
            now,
            &policy,
            generation,
            RequestOutcome::Answered(Duration::from_millis(10)),
            5,
        );
    }
    // With no other answer meanwhile, only one more request may be sent.
    now = now + Duration::from_millis(100);
    assert_eq!(server.limit(now, &policy, Some(sent_at)), 2);
}

#[test]
fn an_idle_server_that_turned_cold_gets_one_request_first() {
    for seed in 0..SEEDS {
        let mut sim = Sim::new(seed, 1, &Policy::default(), SERVICE);
        sim.warm_up();
        sim.run(Duration::from_secs(60));
        sim.servers[0].turn_cold();
        sim.reset_counts();
        for _ in 0..10 {
            sim.request(0, Duration::from_secs(30));
        }
        sim.run(Duration::from_millis(1));
        assert_eq!(sim.servers[0].started, 1, "seed {seed}");
    }
}

#[test]
fn a_server_that_stays_cold_still_gets_requests() {
    for seed in 0..SEEDS {
        let mut sim = Sim::new(seed, 1, &Policy::default(), SERVICE);
        // A server that never gets warm and is down repeatedly.
        sim.servers[0].warm_after = u32::MAX;
        for _ in 0..10 {
            sim.servers[0].down = true;
            sim.load(100, Duration::from_secs(2), |_| 0);
            sim.servers[0].down = false;
            sim.load(100, Duration::from_millis(1100), |_| 0);
            let started = sim.servers[0].started;
            sim.load(100, Duration::from_secs(1), |_| 0);
            assert!(sim.servers[0].started > started, "seed {seed}: starved");
        }
    }
}

#[test]
fn time_alone_warms_nothing() {
    let policy = Policy::default();
    let server = ConcurrencyLimit::new(Millis(0), &policy);
    for day in 0..10 {
        let now = Millis(day * 86_400_000);
        assert_eq!(server.limit(now, &policy, None), policy.cold_slots);
    }
}

#[test]
fn a_data_centre_that_returns_cold_does_not_overload_the_warm_ones() {
    for seed in 0..SEEDS / 5 {
        let mut sim = Sim::new(seed, 7, &Policy::default(), SERVICE);
        sim.warm_up();
        let is_in_east = |sim: &Sim, i: usize| {
            let member = sim.members.iter().find(|m| m.id == common::id(i));
            &*member.unwrap().data_centre == "east"
        };
        let east: Vec<usize> = (0..7).filter(|i| is_in_east(&sim, *i)).collect();
        let others: Vec<usize> = (0..7).filter(|i| !is_in_east(&sim, *i)).collect();
        let set = |sim: &mut Sim, reachable: bool| {
            for m in &mut sim.members {
                m.reachable |= &*m.data_centre == "east";
                m.reachable &= reachable || &*m.data_centre != "east";
            }
            sim.install();
        };
        set(&mut sim, false);
        let warm_agents = others.clone();
        sim.load(900, Duration::from_secs(1), |r| {
            warm_agents[r.below(4) as usize]
        });
        for i in &east {
            sim.servers[*i].turn_cold();
        }
        sim.reset_counts();
        set(&mut sim, true);
        // At once more load than the warm ones can take.
        sim.load(1200, Duration::from_secs(5), |r| r.below(7) as usize);
        for i in &others {
            assert_eq!(sim.servers[*i].max_excess, 0, "seed {seed}");
            assert_eq!(sim.servers[*i].refused, 0, "seed {seed}");
        }
        for i in &east {
            assert!(sim.servers[*i].max_excess <= 1, "seed {seed}");
            assert_eq!(sim.servers[*i].crashes, 0, "seed {seed}");
            assert_eq!(sim.servers[*i].capacity(), 5, "seed {seed}");
        }
        assert_eq!(sim.lost(), 0, "seed {seed}");
    }
}

#[test]
fn failures_make_cold_and_old_generations_are_ignored() {
    let policy = Policy::default();
    let now = Millis(1000);
    let usual = RequestOutcome::Answered(Duration::from_millis(20));
    for outcome in [
        RequestOutcome::ConnectionLost,
        RequestOutcome::ConnectFailed,
    ] {
        let mut server = warm(now, &policy);
        let generation = server.generation();
        server.record_outcome(now, &policy, generation, outcome, 5);
        assert_eq!(server.warmth(), Warmth::Cold, "{outcome:?}");
        // Outcomes of requests sent before it was found cold are ignored.
        let later = now + Duration::from_secs(2);
        for _ in 0..100 {
            server.record_outcome(later, &policy, generation, usual, 5);
            server.record_completion(&policy, generation);
        }
        assert_eq!(server.limit(later, &policy, None), 1, "{outcome:?}");
    }
}

#[test]
fn one_slow_answer_gives_the_minimum_limit_and_two_make_cold() {
    let policy = Policy::default();
    let now = Millis(1000);
    let mut server = warm(now, &policy);
    let generation = server.generation();
    let slow = RequestOutcome::Answered(Duration::from_millis(300));
    let usual = RequestOutcome::Answered(Duration::from_millis(20));
    server.record_outcome(now, &policy, generation, slow, 5);
    assert_eq!(server.limit(now, &policy, None), 1);
    server.record_outcome(now, &policy, generation, usual, 5);
    assert_eq!(server.limit(now, &policy, None), 5);
    server.record_outcome(now, &policy, generation, slow, 5);
    server.record_outcome(now, &policy, generation, slow, 5);
    assert_eq!(server.warmth(), Warmth::Cold);
}

#[test]
fn opened_feeds_and_short_timeouts_are_inconclusive() {
    let policy = Policy::default();
    let now = Millis(1000);
    let mut server = ConcurrencyLimit::new(now, &policy);
    let generation = server.generation();
    for _ in 0..100 {
        server.record_outcome(now, &policy, generation, RequestOutcome::FeedOpened, 5);
    }
    assert_eq!(server.limit(now, &policy, None), 1);
    let mut server = warm(now, &policy);
    let generation = server.generation();
    server.record_outcome(
        now,
        &policy,
        generation,
        RequestOutcome::TimedOut(Duration::from_millis(30)),
        5,
    );
    assert_eq!(server.warmth(), Warmth::Warm);
    server.record_outcome(
        now,
        &policy,
        generation,
        RequestOutcome::TimedOut(Duration::from_secs(3)),
        5,
    );
    assert_eq!(server.warmth(), Warmth::Cold);
}

fn warm(now: Millis, policy: &Policy) -> ConcurrencyLimit {
    let mut server = ConcurrencyLimit::new(now, policy);
    let generation = server.generation();
    while server.warmth() != Warmth::Warm {
        server.record_outcome(
            now,
            policy,
            generation,
            RequestOutcome::Answered(Duration::from_millis(20)),
            5,
        );
        server.record_completion(policy, generation);
    }
    server
}

#[test]
fn a_refusal_lowers_by_one_and_raising_again_takes_longer() {
    let policy = Policy::default();
    let now = Millis(1000);
    let mut server = warm(now, &policy);
    server.record_outcome(
        now,
        &policy,
        server.generation(),
        RequestOutcome::Refused,
        5,
    );
    assert_eq!(server.limit(now, &policy, None), 4);
    server.record_outcome(
        now,
        &policy,
        server.generation(),
        RequestOutcome::Refused,
        4,
    );
    assert_eq!(server.limit(now, &policy, None), 3);
    let mut finished = 0;
    while server.limit(now, &policy, None) < 4 {
        server.record_completion(&policy, server.generation());
        finished += 1;
    }
    assert_eq!(finished, policy.cold_step * 8);
    // The limit never falls below the minimum.
    for _ in 0..10 {
        server.record_outcome(
            now,
            &policy,
            server.generation(),
            RequestOutcome::Refused,
            1,
        );
        assert_eq!(server.limit(now, &policy, None), 1);
    }
}

#[test]
fn losses_of_an_old_generation_are_ignored() {
    let policy = Policy::default();
    let now = Millis(1000);
    let mut server = warm(now, &policy);
    let old = server.generation();
    server.record_outcome(now, &policy, old, RequestOutcome::ConnectionLost, 5);
    let generation = server.generation();
    for _ in 0..4 {
        server.record_outcome(
            now,
            &policy,
            generation,
            RequestOutcome::Answered(Duration::from_millis(20)),
            1,
        );
        server.record_completion(&policy, generation);
    }
    assert_eq!(server.limit(now, &policy, None), 2);
    server.record_outcome(now, &policy, old, RequestOutcome::ConnectionLost, 5);
    assert_eq!(server.limit(now, &policy, None), 2);
}

#[test]
fn opening_feeds_warms_nothing() {
    let policy = Arc::new(Policy::default());
    let now = Millis(1000);
    let mut admission = Admission::new(now, policy.clone());
    for _ in 0..100 {
        let permit = admission.admit(now).unwrap();
        admission.record_outcome(now, permit, RequestOutcome::FeedOpened);
        admission.on_feed_answered(now, permit);
    }
    assert_eq!(admission.connections(), 100);
    assert_eq!(admission.slots(now), policy.cold_slots);
}

//! Retries stay within their budget, and goodput does not collapse under
//! overload.

#[path = "common/requests.rs"]
mod common;
#[path = "common/sim.rs"]
mod sim;

use std::time::Duration;

use ramp_coordination::random::Random;
use ramp_coordination::retry::RetryBudget;
use ramp_coordination::retry::retry_after;
use ramp_state::policy::Policy;

use sim::Sim;

const SEEDS: u64 = 3;
const AGENTS: usize = 7;
const SERVICE: Duration = Duration::from_millis(20);

/// Slots that the settings state for a server, and those that it really has.
const SLOTS_STATED: u32 = 8;
const SLOTS_TRUE: u32 = 5;

/// Requests per second that all servers together can serve.
const CAPACITY_PER_S: u64 = AGENTS as u64 * SLOTS_TRUE as u64 * 50;

#[test]
fn the_budget_is_a_share_of_first_tries() {
    let policy = Policy {
        retry_percent: 20,
        ..Policy::default()
    };
    let mut budget = RetryBudget::new();
    let saved = (0..1000).filter(|_| budget.try_withdraw()).count();
    assert_eq!(saved, 10);
    let mut retries = 0;
    for _ in 0..1000 {
        budget.deposit(&policy);
        retries += u32::from(budget.try_withdraw());
    }
    assert_eq!(retries, 200);
    let none = Policy {
        retry_percent: 0,
        ..policy
    };
    budget.deposit(&none);
    assert!(!budget.try_withdraw());
}

#[test]
fn times_to_return_are_spread_and_repeatable() {
    let policy = Policy::default();
    let times = |seed| {
        let mut random = Random::new(seed);
        (0..100)
            .map(|_| retry_after(&policy, &mut random))
            .collect::<Vec<_>>()
    };
    assert_eq!(times(1), times(1));
    assert_ne!(times(1), times(2));
    let range = policy.retry_after..=policy.retry_after * 4;
    assert!(times(1).iter().all(|t| range.contains(t)));
}

/// Result of a run at three times the capacity.
struct Outcome {
    /// Served requests, as a share of the capacity.
    goodput: f64,
    /// Forwarded requests per arrived request.
    forwarded: f64,
}

/// Runs an overload. Servers may have fewer slots than stated, and refusing
/// costs them time; with `reports_claim_idle`, load reports state that all
/// servers are idle.
fn overload(seed: u64, slots: u32, retry_percent: u32, reports_claim_idle: bool) -> Outcome {
    const RUN: Duration = Duration::from_secs(4);
    let policy = Policy {
        slots,
        retry_percent,
        ..Policy::default()
    };
    let mut sim = Sim::new(seed, AGENTS, &policy, SERVICE);
    for server in &mut sim.servers {
        server.slots = SLOTS_TRUE;
        server.refusal_cost = Duration::from_millis(3);
    }
    sim.warm_up();
    sim.reports_claim_idle = reports_claim_idle;
    let pick = |r: &mut Random| r.below(AGENTS as u64) as usize;
    sim.load(CAPACITY_PER_S * 3, Duration::from_secs(1), pick);
    sim.reset_counts();
    sim.load(CAPACITY_PER_S * 3, RUN, pick);
    let capacity = CAPACITY_PER_S as f64 * RUN.as_secs_f64();
    Outcome {
        goodput: sim.served() as f64 / capacity,
        forwarded: sim.forwarded as f64 / sim.done.len() as f64,
    }
}

/// A retry percentage that never uses up the budget.
const NO_BUDGET_PERCENT: u32 = 1_000_000;

#[test]
fn goodput_holds_at_three_times_the_capacity() {
    for seed in 0..SEEDS {
        for (slots, lie) in [
            (SLOTS_TRUE, false),
            (SLOTS_STATED, false),
            (SLOTS_TRUE, true),
        ] {
            let with = overload(seed, slots, 20, lie);
            let without = overload(seed, slots, NO_BUDGET_PERCENT, lie);
            println!(
                "seed {seed}, {slots} slots stated, loads lie {lie}: goodput {:.3}, \
                 without the budget {:.3}; forwarded per request {:.2}, {:.2}",
                with.goodput, without.goodput, with.forwarded, without.forwarded,
            );
            assert!(with.goodput >= 0.9, "seed {seed}: {}", with.goodput);
            assert!(with.goodput >= without.goodput * 0.98, "seed {seed}");
            // One forward, and the retries that the budget allows.
            assert!(with.forwarded <= 1.21, "seed {seed}: {}", with.forwarded);
            if lie {
                assert!(with.forwarded < without.forwarded, "seed {seed}");
            }
        }
    }
}

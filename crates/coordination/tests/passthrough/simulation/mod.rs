//! Seeded simulation of a small fleet with outdated views, lost and late
//! messages, and two failures at once. It checks that no open flow is reset,
//! that packets reach their flow's owner, and that no new flow goes to a server
//! that drains.

mod fleet;
mod freezes;
mod invariants;
mod network;
mod server;
mod server_traffic;
mod traffic;

use std::env;
use std::ops::Range;

use self::fleet::Fleet;
use self::fleet::Operation;
use self::fleet::Outcome;
use self::fleet::Scenario;
use self::network::QueuedFault;

const SEEDS: u64 = 100;
/// Number of seeds of each longer scenario, unless the environment sets others.
const SCENARIO_SEEDS: u64 = 40;
/// Environment variable with a range of seeds, such as `0..200`.
const SCENARIO_SEEDS_VAR: &str = "SIMULATION_SEEDS";
/// Mean time that slow servers need for a request.
const SLOW_WORK_MS: u64 = 100;

fn run_seed(seed: u64, operations: &[(u64, Operation)]) -> Outcome {
    let scenario = Scenario {
        operations: operations.to_vec(),
        ..Scenario::default()
    };
    let outcome = Fleet::run_scenario(seed, scenario);
    let first = outcome.violations.first();
    assert!(first.is_none(), "seed {seed}, {}", first.unwrap());
    outcome
}

/// Seeds of each longer scenario.
fn scenario_seeds() -> Range<u64> {
    let named = env::var(SCENARIO_SEEDS_VAR).ok();
    let parts = named.as_deref().and_then(|n| n.split_once(".."));
    let range = parts.and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    range.unwrap_or(0..SCENARIO_SEEDS)
}

/// A time between `from` and `to` that grows with the seed.
fn spread_ms(seed: u64, from: u64, to: u64) -> u64 {
    from + (to - from) * (seed % SCENARIO_SEEDS) / SCENARIO_SEEDS
}

/// Prints what callers got, whether or not an invariant was broken. The test
/// harness shows it with a failure, or with `--nocapture`.
fn print_totals(outcomes: &[Outcome]) {
    let sum = |of: fn(&Outcome) -> usize| outcomes.iter().map(of).sum::<usize>();
    println!(
        "answered {}, late {}, never opened {}, reset {}, of these before the first data {}",
        sum(|o| o.answered),
        sum(|o| o.late),
        sum(|o| o.unanswered),
        sum(|o| o.resets),
        sum(|o| o.refused_late),
    );
}

/// Runs a scenario with all seeds, and names every seed that breaks an
/// invariant.
fn run_all_seeds(scenario: impl Fn(u64) -> Scenario) -> Vec<Outcome> {
    let seeds = scenario_seeds();
    let outcomes = seeds
        .clone()
        .map(|seed| Fleet::run_scenario(seed, scenario(seed)));
    let outcomes: Vec<Outcome> = outcomes.collect();
    print_totals(&outcomes);
    let firsts = seeds.zip(&outcomes).filter_map(|(seed, outcome)| {
        let first = outcome.violations.first()?;
        Some((seed, first))
    });
    let firsts: Vec<(u64, &String)> = firsts.collect();
    let Some((seed, violation)) = firsts.first() else {
        return outcomes;
    };
    let line = |(seed, violation): &(u64, &String)| {
        let what = violation.lines().next().unwrap_or_default();
        format!("seed {seed}: {what}")
    };
    let lines: Vec<String> = firsts.iter().map(line).collect();
    panic!(
        "{} of {} seeds broke an invariant\n{}\nseed {seed}, {violation}",
        firsts.len(),
        outcomes.len(),
        lines.join("\n")
    );
}

#[test]
fn balancers_come_and_go_and_no_flow_is_lost() {
    for seed in 0..SEEDS {
        let operations = [
            (1500, Operation::ChangeRouting),
            (2500, Operation::RestartBalancer(0)),
            (4000, Operation::ChangeRouting),
            (5000, Operation::RestartBalancer(1)),
            (6500, Operation::ChangeRouting),
        ];
        let outcome = run_seed(seed, &operations);
        assert_eq!(outcome.resets, 0, "seed {seed}");
        assert!(outcome.answered > 1000, "seed {seed}: {}", outcome.answered);
    }
}

#[test]
fn servers_come_and_drain_while_balancers_change() {
    for seed in 0..SEEDS {
        let operations = [
            (1000, Operation::Add(6)),
            (1500, Operation::Drain(1)),
            (1600, Operation::ChangeRouting),
            (3000, Operation::Add(7)),
            (3100, Operation::RestartBalancer(2)),
            (3500, Operation::Drain(2)),
            (6000, Operation::ChangeRouting),
        ];
        let outcome = run_seed(seed, &operations);
        assert_eq!(outcome.resets, 0, "seed {seed}");
    }
}

#[test]
fn a_crash_resets_only_the_flows_of_the_server_that_crashed() {
    let mut resets = 0;
    for seed in 0..SEEDS {
        let operations = [
            (3000, Operation::Crash(3)),
            (3100, Operation::RestartBalancer(0)),
            (3200, Operation::RestartAgent(4)),
            (3300, Operation::ChangeRouting),
        ];
        resets += run_seed(seed, &operations).resets;
    }
    assert!(resets > 0, "callers of lost flows are reset");
}

#[test]
fn a_server_that_lapses_and_returns_keeps_its_flows() {
    for seed in 0..SEEDS {
        let operations = [
            (3000, Operation::Lapse(2)),
            (3100, Operation::ChangeRouting),
            (3200, Operation::RestartAgent(2)),
            (4500, Operation::Relist(2)),
            (4600, Operation::RestartBalancer(1)),
        ];
        let outcome = run_seed(seed, &operations);
        assert_eq!(outcome.resets, 0, "seed {seed}");
    }
}

/// Balancers restart in turn during a one-way cut between two data centres, and
/// the routers change the balancers in use.
fn restarts_during_cut(from: usize, to: usize) -> Vec<(u64, Operation)> {
    vec![
        (2000, Operation::CutOneWay { from, to }),
        (2500, Operation::RestartBalancer(0)),
        (3500, Operation::ChangeRouting),
        (4500, Operation::RestartBalancer(1)),
        (5500, Operation::ChangeRouting),
        (6500, Operation::RestartBalancer(2)),
        (7500, Operation::ChangeRouting),
        (8500, Operation::RestartBalancer(0)),
        (10_000, Operation::RepairNetwork),
    ]
}

/// The two data centres of a one-way cut, chosen by the seed.
fn cut_of(seed: u64) -> (usize, usize) {
    let from = (seed % 3) as usize;
    let to = (from + 1 + (seed / 3 % 2) as usize) % 3;
    (from, to)
}

// Guards against a restarted balancer that keeps sending a flow's packets to a
// server whose bounces are lost in a cut.
#[test]
fn balancers_that_restart_in_a_one_way_cut_find_owners_that_they_reach() {
    run_all_seeds(|seed| {
        let (from, to) = cut_of(seed);
        Scenario {
            operations: restarts_during_cut(from, to),
            ..Scenario::default()
        }
    });
}

// Guards against packets that go to the wrong server when an opening was placed
// at a second one, and the caller uses the answer of the first.
#[test]
fn openings_that_are_placed_again_in_a_one_way_cut_find_the_server_that_answered() {
    run_all_seeds(|seed| {
        let (from, to) = cut_of(seed);
        let operations = vec![
            (500, Operation::CutOneWay { from, to }),
            (3000, Operation::ChangeRouting),
            (4500, Operation::ChangeRouting),
            (6000, Operation::RepairNetwork),
            (7500, Operation::ChangeRouting),
        ];
        Scenario {
            operations,
            ..Scenario::default()
        }
    });
}

/// The routers change the balancers in use every 0.4 s, so that an opening and
/// its copies go through different balancers.
fn routing_changes() -> Vec<(u64, Operation)> {
    let times = (500..10_000).step_by(400);
    times.map(|at| (at, Operation::ChangeRouting)).collect()
}

/// Servers so slow that their slots fill.
fn full_servers(queued_fault: QueuedFault) -> Scenario {
    Scenario {
        operations: routing_changes(),
        work_ms: SLOW_WORK_MS,
        queued_fault,
        ..Scenario::default()
    }
}

// Guards against a reset of an open flow by an agent at which a copy of the
// flow's opening waited too long, while another server accepted the opening.
#[test]
fn copies_of_an_opening_that_wait_elsewhere_reset_no_open_flow() {
    let outcomes = run_all_seeds(|_| full_servers(QueuedFault::default()));
    assert!(outcomes.iter().any(|o| o.waited > 0), "servers are full");
}

// Guards against a reset of an open flow by an agent that refused a copy of its
// opening because of the route's time limit, or let another one in first.
#[test]
fn copies_of_an_opening_with_a_time_limit_reset_no_open_flow() {
    let queued_fault = QueuedFault {
        lost_percent: 30,
        late_ms: 90,
    };
    for cold in [false, true] {
        let outcomes = run_all_seeds(|_| Scenario {
            has_priority: true,
            cold,
            ..full_servers(queued_fault)
        });
        assert!(outcomes.iter().any(|o| o.waited > 0), "cold: {cold}");
    }
}

// Guards against a reset of an open flow by an agent at which a copy of the
// flow's opening waited too long. The opening was placed again because the frame
// that said it waits was lost.
#[test]
fn lost_words_that_an_opening_waits_reset_no_open_flow() {
    let queued_fault = QueuedFault {
        lost_percent: 50,
        late_ms: 0,
    };
    run_all_seeds(|_| full_servers(queued_fault));
}

// Guards against a reset of an open flow by an agent at which a copy of the
// flow's opening waited too long. The frame that said it waits arrived only after
// the opening had been placed again.
#[test]
fn late_words_that_an_opening_waits_reset_no_open_flow() {
    let queued_fault = QueuedFault {
        lost_percent: 0,
        late_ms: 90,
    };
    run_all_seeds(|_| full_servers(queued_fault));
}

// Guards against wrong decisions of a balancer after a freeze, when it handles
// all old packets, replies and changes of records at once.
#[test]
fn frozen_balancers_reset_no_open_flow_and_find_its_owner() {
    run_all_seeds(|seed| {
        let for_ms = spread_ms(seed, 300, 3000);
        let operations = vec![
            (1500, Operation::FreezeBalancer { at: 0, for_ms }),
            (1700, Operation::ChangeRouting),
            (3000, Operation::RestartBalancer(1)),
            (3600, Operation::FreezeBalancer { at: 1, for_ms }),
            (4000, Operation::ChangeRouting),
            (6000, Operation::RestartBalancer(2)),
            (6300, Operation::ChangeRouting),
            (6500, Operation::FreezeBalancer { at: 2, for_ms }),
            (7500, Operation::ChangeRouting),
        ];
        Scenario {
            operations,
            ..Scenario::default()
        }
    });
}

// Guards against lost flows when the owner's agent is frozen while all other
// agents deny the flow, or while the flow's opening is placed again.
#[test]
fn frozen_agents_lose_no_flow() {
    run_all_seeds(|seed| {
        let for_ms = spread_ms(seed, 300, 3000);
        let operations = vec![
            (1500, Operation::FreezeAgent { last: 1, for_ms }),
            (1700, Operation::ChangeRouting),
            (2000, Operation::RestartBalancer(0)),
            (3000, Operation::FreezeAgent { last: 2, for_ms }),
            (3500, Operation::RestartBalancer(1)),
            (4000, Operation::ChangeRouting),
            (5000, Operation::FreezeAgent { last: 4, for_ms }),
            (5100, Operation::RestartBalancer(2)),
            (6000, Operation::ChangeRouting),
        ];
        Scenario {
            operations,
            ..Scenario::default()
        }
    });
}

// Guards against lost flows when replies arrive later than an opening's timeout,
// and later than the interval between two owner queries.
#[test]
fn slow_ways_lose_no_flow() {
    run_all_seeds(|seed| {
        let (from, to) = cut_of(seed);
        let operations = vec![
            (500, Operation::SlowOneWay { from, to }),
            (2500, Operation::RestartBalancer(0)),
            (3500, Operation::ChangeRouting),
            (4000, Operation::SlowOneWay { from: to, to: from }),
            (4500, Operation::RestartBalancer(1)),
            (5500, Operation::ChangeRouting),
            (6500, Operation::RestartBalancer(2)),
            (7500, Operation::ChangeRouting),
            (9000, Operation::RepairNetwork),
        ];
        Scenario {
            operations,
            ..Scenario::default()
        }
    });
}

// Guards against resets of open flows by late refusals of their openings, with
// slow links, freezes, and servers so full that openings wait.
#[test]
fn slow_ways_and_freezes_beside_full_servers_reset_no_open_flow() {
    run_all_seeds(|seed| {
        let (from, to) = cut_of(seed);
        let for_ms = spread_ms(seed, 300, 1500);
        let mut operations = vec![
            (500, Operation::SlowOneWay { from, to }),
            (3000, Operation::FreezeAgent { last: 3, for_ms }),
            (4000, Operation::FreezeBalancer { at: 0, for_ms }),
            (5000, Operation::RestartBalancer(1)),
            (6000, Operation::FreezeAgent { last: 4, for_ms }),
        ];
        operations.extend(routing_changes());
        Scenario {
            operations,
            work_ms: SLOW_WORK_MS,
            ..Scenario::default()
        }
    });
}

/// Records that lapse one after the other although their servers run and no call
/// fails, each for a time that depends on the seed.
fn lapses(seed: u64) -> Vec<(u64, Operation)> {
    let away_ms = spread_ms(seed, 300, 3000);
    let starts = [(2000, 1), (4500, 2), (7000, 5)];
    let both = starts.map(|(at, last)| {
        let back = at + away_ms;
        [
            (at, Operation::Lapse(last)),
            (back, Operation::Relist(last)),
        ]
    });
    both.concat()
}

// Guards against a balancer that starts while a server's record is missing, and
// resets flows of that server because it does not know it.
#[test]
fn balancers_that_restart_while_records_are_away_reset_no_open_flow() {
    run_all_seeds(|seed| {
        let mut operations = lapses(seed);
        operations.extend([
            (2200, Operation::RestartBalancer(0)),
            (2600, Operation::ChangeRouting),
            (4700, Operation::RestartBalancer(1)),
            (5200, Operation::ChangeRouting),
            (7200, Operation::RestartBalancer(2)),
            (7800, Operation::ChangeRouting),
        ]);
        Scenario {
            operations,
            ..Scenario::default()
        }
    });
}

// Guards against resets of open flows when records are missing while agents
// restart, as restarted agents do not know the flows of their servers.
#[test]
fn records_that_are_away_while_agents_restart_cost_no_open_flow() {
    run_all_seeds(|seed| {
        let mut operations = lapses(seed);
        operations.extend([
            (2300, Operation::RestartAgent(1)),
            (2600, Operation::ChangeRouting),
            (4600, Operation::RestartAgent(3)),
            (5200, Operation::ChangeRouting),
            (7100, Operation::RestartAgent(5)),
            (7800, Operation::ChangeRouting),
        ]);
        Scenario {
            operations,
            ..Scenario::default()
        }
    });
}

// Guards against resets of open flows, and packets that miss their owner, when
// records are missing during one-way cuts.
#[test]
fn records_that_are_away_in_a_one_way_cut_cost_no_open_flow() {
    run_all_seeds(|seed| {
        let (from, to) = cut_of(seed);
        let mut operations = lapses(seed);
        operations.extend(restarts_during_cut(from, to));
        Scenario {
            operations,
            ..Scenario::default()
        }
    });
}

// Guards against resets of open flows when full servers refuse openings while
// replies are lost in a one-way cut.
#[test]
fn balancers_that_restart_in_a_one_way_cut_beside_full_servers_reset_no_open_flow() {
    run_all_seeds(|seed| {
        let (from, to) = cut_of(seed);
        let mut operations = restarts_during_cut(from, to);
        operations.extend(routing_changes());
        Scenario {
            operations,
            work_ms: SLOW_WORK_MS,
            ..Scenario::default()
        }
    });
}

/// Servers end and start again while their agents go on, each down for a time
/// that depends on the seed.
fn server_restarts(seed: u64) -> Vec<(u64, Operation)> {
    let for_ms = spread_ms(seed, 0, 1500);
    let end = |(at, last)| (at, Operation::EndServer { last, for_ms });
    [(1500, 1), (3000, 2), (4500, 3), (6000, 4), (7500, 5)]
        .map(end)
        .to_vec()
}

// Guards against resets of intact flows by agents that report lost ones, and
// against callers whose lost flow is never reset.
#[test]
fn servers_that_end_and_start_again_take_only_their_own_flows_along() {
    let outcomes = run_all_seeds(|seed| {
        let mut operations = server_restarts(seed);
        operations.extend(routing_changes());
        operations.extend([
            (2000, Operation::RestartBalancer(0)),
            (3500, Operation::RestartAgent(4)),
            (5000, Operation::RestartBalancer(1)),
            (6500, Operation::RestartAgent(1)),
        ]);
        Scenario {
            operations,
            ..Scenario::default()
        }
    });
    let resets: usize = outcomes.iter().map(|o| o.resets).sum();
    assert!(resets > 0, "callers of lost flows are reset");
}

// As the previous test, with one-way cuts and full servers.
#[test]
fn servers_that_end_in_a_one_way_cut_take_only_their_own_flows_along() {
    run_all_seeds(|seed| {
        let (from, to) = cut_of(seed);
        let mut operations = restarts_during_cut(from, to);
        operations.extend(server_restarts(seed));
        operations.extend(routing_changes());
        Scenario {
            operations,
            work_ms: SLOW_WORK_MS,
            ..Scenario::default()
        }
    });
}

/// Balancers and agents restart, a server drains and one is added while callers use
/// their ports again.
fn planned_work(seed: u64) -> Vec<(u64, Operation)> {
    let mut operations = routing_changes();
    operations.extend([
        (1500, Operation::Drain(1 + (seed % 5) as u8)),
        (2000, Operation::Add(6)),
        (3000, Operation::RestartBalancer(0)),
        (4500, Operation::RestartAgent(1 + ((seed + 2) % 5) as u8)),
        (6000, Operation::RestartBalancer(1)),
        (7500, Operation::RestartBalancer(2)),
    ]);
    operations
}

// Guards against tables by flow key that mix up the flows which follow each other from
// one port.
#[test]
fn callers_that_use_their_ports_again_lose_no_open_flow_in_planned_work() {
    let outcomes = run_all_seeds(|seed| Scenario {
        operations: planned_work(seed),
        reuses_ports: true,
        ..Scenario::default()
    });
    assert!(
        outcomes.iter().all(|o| o.reopened > 0),
        "ports are used again"
    );
}

// As the previous test, with servers so full that openings wait.
#[test]
fn callers_that_use_their_ports_again_lose_no_open_flow_beside_full_servers() {
    run_all_seeds(|seed| Scenario {
        operations: planned_work(seed),
        work_ms: SLOW_WORK_MS,
        reuses_ports: true,
        ..Scenario::default()
    });
}

// As the previous tests, with servers that end, one-way cuts, slow ways and freezes.
#[test]
fn callers_that_use_their_ports_again_lose_no_open_flow_in_faults() {
    run_all_seeds(|seed| {
        let (from, to) = cut_of(seed);
        let for_ms = spread_ms(seed, 300, 2000);
        let mut operations = planned_work(seed);
        operations.extend(server_restarts(seed));
        operations.extend([
            (1000, Operation::SlowOneWay { from, to }),
            (3500, Operation::FreezeBalancer { at: 1, for_ms }),
            (5000, Operation::RepairNetwork),
            (5200, Operation::CutOneWay { from: to, to: from }),
            (6500, Operation::FreezeAgent { last: 3, for_ms }),
            (8500, Operation::RepairNetwork),
        ]);
        Scenario {
            operations,
            reuses_ports: true,
            ..Scenario::default()
        }
    });
}

//! A small fleet under stale views, lost and late messages, and two failures
//! at once: no false reset, no flow that misses its owner, no new flow where
//! none should go. Seeded; counts only.

mod fleet;
mod freezes;
mod judge;
mod network;
mod server;
mod traffic;

use std::env;
use std::ops::Range;

use self::fleet::Act;
use self::fleet::Day;
use self::fleet::Fleet;
use self::fleet::Outcome;
use self::network::WaitsFault;

const SEEDS: u64 = 100;
/// Seeds of each longer day, unless the environment names others.
const DAY_SEEDS: u64 = 40;
/// Variable that names them, as in `0..200`.
const DAY_SEEDS_VAR: &str = "SIMULATION_SEEDS";
/// Time that slow servers need for a request.
const SLOW_WORK_MS: u64 = 100;

fn play(seed: u64, acts: &[(u64, Act)]) -> Outcome {
    let day = Day {
        acts: acts.to_vec(),
        ..Day::default()
    };
    let outcome = Fleet::play(seed, day);
    let first = outcome.violations.first();
    assert!(first.is_none(), "seed {seed}, {}", first.unwrap());
    outcome
}

/// Seeds of each longer day.
fn day_seeds() -> Range<u64> {
    let named = env::var(DAY_SEEDS_VAR).ok();
    let parts = named.as_deref().and_then(|n| n.split_once(".."));
    let range = parts.and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    range.unwrap_or(0..DAY_SEEDS)
}

/// A time between two others, by the seed.
fn spread_ms(seed: u64, from: u64, to: u64) -> u64 {
    from + (to - from) * (seed % DAY_SEEDS) / DAY_SEEDS
}

/// Shown with a failure, or with `--nocapture`: what callers got, broken rules
/// or not.
fn tell_sums(outcomes: &[Outcome]) {
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

/// Plays a day with all seeds, and names all of those that break a rule.
fn play_all(day: impl Fn(u64) -> Day) -> Vec<Outcome> {
    let seeds = day_seeds();
    let outcomes = seeds.clone().map(|seed| Fleet::play(seed, day(seed)));
    let outcomes: Vec<Outcome> = outcomes.collect();
    tell_sums(&outcomes);
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
        "{} of {} seeds broke a rule\n{}\nseed {seed}, {violation}",
        firsts.len(),
        outcomes.len(),
        lines.join("\n")
    );
}

#[test]
fn balancers_come_and_go_and_no_flow_is_lost() {
    for seed in 0..SEEDS {
        let acts = [
            (1500, Act::SwapRotation),
            (2500, Act::RestartBalancer(0)),
            (4000, Act::SwapRotation),
            (5000, Act::RestartBalancer(1)),
            (6500, Act::SwapRotation),
        ];
        let fleet = play(seed, &acts);
        assert_eq!(fleet.resets, 0, "seed {seed}");
        assert!(fleet.answered > 1000, "seed {seed}: {}", fleet.answered);
    }
}

#[test]
fn servers_come_and_drain_while_balancers_change() {
    for seed in 0..SEEDS {
        let acts = [
            (1000, Act::Add(6)),
            (1500, Act::Drain(1)),
            (1600, Act::SwapRotation),
            (3000, Act::Add(7)),
            (3100, Act::RestartBalancer(2)),
            (3500, Act::Drain(2)),
            (6000, Act::SwapRotation),
        ];
        let fleet = play(seed, &acts);
        assert_eq!(fleet.resets, 0, "seed {seed}");
    }
}

#[test]
fn a_crash_resets_only_the_flows_of_the_server_that_crashed() {
    let mut resets = 0;
    for seed in 0..SEEDS {
        let acts = [
            (3000, Act::Crash(3)),
            (3100, Act::RestartBalancer(0)),
            (3200, Act::RestartAgent(4)),
            (3300, Act::SwapRotation),
        ];
        resets += play(seed, &acts).resets;
    }
    assert!(resets > 0, "their callers are told");
}

#[test]
fn a_server_that_lapses_and_returns_keeps_its_flows() {
    for seed in 0..SEEDS {
        let acts = [
            (3000, Act::Lapse(2)),
            (3100, Act::SwapRotation),
            (3200, Act::RestartAgent(2)),
            (4500, Act::Back(2)),
            (4600, Act::RestartBalancer(1)),
        ];
        let fleet = play(seed, &acts);
        assert_eq!(fleet.resets, 0, "seed {seed}");
    }
}

/// Balancers restart in turn while nothing passes from one data centre to
/// another; the routers change between them.
fn rolls_inside_a_cut(from: usize, to: usize) -> Vec<(u64, Act)> {
    vec![
        (2000, Act::CutOneWay { from, to }),
        (2500, Act::RestartBalancer(0)),
        (3500, Act::SwapRotation),
        (4500, Act::RestartBalancer(1)),
        (5500, Act::SwapRotation),
        (6500, Act::RestartBalancer(2)),
        (7500, Act::SwapRotation),
        (8500, Act::RestartBalancer(0)),
        (10_000, Act::Heal),
    ]
}

/// The two data centres of a one-way cut, by the seed.
fn cut_of(seed: u64) -> (usize, usize) {
    let from = (seed % 3) as usize;
    let to = (from + 1 + (seed / 3 % 2) as usize) % 3;
    (from, to)
}

// Guards against a restarted balancer that sends all packets to a server whose
// bounces are lost in a cut.
#[test]
fn balancers_that_restart_in_a_one_way_cut_find_owners_that_they_reach() {
    play_all(|seed| {
        let (from, to) = cut_of(seed);
        Day {
            acts: rolls_inside_a_cut(from, to),
            ..Day::default()
        }
    });
}

// Guards against packets that follow an opening to the wrong server: it was
// placed again, and the caller went on with the first answer.
#[test]
fn openings_that_are_placed_again_in_a_one_way_cut_find_the_server_that_answered() {
    play_all(|seed| {
        let (from, to) = cut_of(seed);
        let acts = vec![
            (500, Act::CutOneWay { from, to }),
            (3000, Act::SwapRotation),
            (4500, Act::SwapRotation),
            (6000, Act::Heal),
            (7500, Act::SwapRotation),
        ];
        Day {
            acts,
            ..Day::default()
        }
    });
}

/// The routers change every 0.4 s, so copies of an opening go through other
/// balancers than the opening.
fn swaps() -> Vec<(u64, Act)> {
    let times = (500..10_000).step_by(400);
    times.map(|at| (at, Act::SwapRotation)).collect()
}

/// Servers so slow that their slots fill.
fn full_servers(waits: WaitsFault) -> Day {
    Day {
        acts: swaps(),
        work_ms: SLOW_WORK_MS,
        waits,
    }
}

// Guards against a reset by an agent that gives up on a copy of an opening that
// waited there, though the flow is open at another server.
#[test]
fn copies_of_an_opening_that_wait_elsewhere_reset_no_open_flow() {
    let outcomes = play_all(|_| full_servers(WaitsFault::default()));
    assert!(outcomes.iter().any(|o| o.waited > 0), "servers are full");
}

// Guards against a reset of an open flow by an agent that gives up on a copy of
// its opening: it was placed again since the word that it waits was lost.
#[test]
fn lost_words_that_an_opening_waits_reset_no_open_flow() {
    let waits = WaitsFault {
        lost_percent: 50,
        late_ms: 0,
    };
    play_all(|_| full_servers(waits));
}

// Guards against a reset of an open flow by an agent that gives up on a copy of
// its opening: the word that it waits came after it was placed again.
#[test]
fn late_words_that_an_opening_waits_reset_no_open_flow() {
    let waits = WaitsFault {
        lost_percent: 0,
        late_ms: 90,
    };
    play_all(|_| full_servers(waits));
}

// A balancer that was frozen handles old packets, answers and news at once.
#[test]
fn frozen_balancers_reset_no_open_flow_and_find_its_owner() {
    play_all(|seed| {
        let for_ms = spread_ms(seed, 300, 3000);
        let acts = vec![
            (1500, Act::FreezeBalancer { at: 0, for_ms }),
            (1700, Act::SwapRotation),
            (3000, Act::RestartBalancer(1)),
            (3600, Act::FreezeBalancer { at: 1, for_ms }),
            (4000, Act::SwapRotation),
            (6000, Act::RestartBalancer(2)),
            (6300, Act::SwapRotation),
            (6500, Act::FreezeBalancer { at: 2, for_ms }),
            (7500, Act::SwapRotation),
        ];
        Day {
            acts,
            ..Day::default()
        }
    });
}

// The owner's agent was frozen while all others denied the flow, or while its
// opening was placed again.
#[test]
fn frozen_agents_lose_no_flow() {
    play_all(|seed| {
        let for_ms = spread_ms(seed, 300, 3000);
        let acts = vec![
            (1500, Act::FreezeAgent { last: 1, for_ms }),
            (1700, Act::SwapRotation),
            (2000, Act::RestartBalancer(0)),
            (3000, Act::FreezeAgent { last: 2, for_ms }),
            (3500, Act::RestartBalancer(1)),
            (4000, Act::SwapRotation),
            (5000, Act::FreezeAgent { last: 4, for_ms }),
            (5100, Act::RestartBalancer(2)),
            (6000, Act::SwapRotation),
        ];
        Day {
            acts,
            ..Day::default()
        }
    });
}

// Answers came later than the limit of an opening, and than the pause between
// two questions.
#[test]
fn slow_ways_lose_no_flow() {
    play_all(|seed| {
        let (from, to) = cut_of(seed);
        let acts = vec![
            (500, Act::SlowOneWay { from, to }),
            (2500, Act::RestartBalancer(0)),
            (3500, Act::SwapRotation),
            (4000, Act::SlowOneWay { from: to, to: from }),
            (4500, Act::RestartBalancer(1)),
            (5500, Act::SwapRotation),
            (6500, Act::RestartBalancer(2)),
            (7500, Act::SwapRotation),
            (9000, Act::Heal),
        ];
        Day {
            acts,
            ..Day::default()
        }
    });
}

// Guards against resets by late refusals of openings, beside slow ways, freezes
// and servers that let openings wait.
#[test]
fn slow_ways_and_freezes_beside_full_servers_reset_no_open_flow() {
    play_all(|seed| {
        let (from, to) = cut_of(seed);
        let for_ms = spread_ms(seed, 300, 1500);
        let mut acts = vec![
            (500, Act::SlowOneWay { from, to }),
            (3000, Act::FreezeAgent { last: 3, for_ms }),
            (4000, Act::FreezeBalancer { at: 0, for_ms }),
            (5000, Act::RestartBalancer(1)),
            (6000, Act::FreezeAgent { last: 4, for_ms }),
        ];
        acts.extend(swaps());
        Day {
            acts,
            work_ms: SLOW_WORK_MS,
            ..Day::default()
        }
    });
}

/// Records that vanish one after the other although their servers live and no
/// call fails, each for a time that depends on the seed.
fn lapses(seed: u64) -> Vec<(u64, Act)> {
    let away_ms = spread_ms(seed, 300, 3000);
    let starts = [(2000, 1), (4500, 2), (7000, 5)];
    let both = starts.map(|(at, last)| {
        let back = at + away_ms;
        [(at, Act::Lapse(last)), (back, Act::Back(last))]
    });
    both.concat()
}

// Guards against a balancer that starts while a record is away, and resets flows
// of the server that it does not know.
#[test]
fn balancers_that_restart_while_records_are_away_reset_no_open_flow() {
    play_all(|seed| {
        let mut acts = lapses(seed);
        acts.extend([
            (2200, Act::RestartBalancer(0)),
            (2600, Act::SwapRotation),
            (4700, Act::RestartBalancer(1)),
            (5200, Act::SwapRotation),
            (7200, Act::RestartBalancer(2)),
            (7800, Act::SwapRotation),
        ]);
        Day {
            acts,
            ..Day::default()
        }
    });
}

// Guards against resets by missing records while agents restart, which no longer
// know the flows of their servers.
#[test]
fn records_that_are_away_while_agents_restart_cost_no_open_flow() {
    play_all(|seed| {
        let mut acts = lapses(seed);
        acts.extend([
            (2300, Act::RestartAgent(1)),
            (2600, Act::SwapRotation),
            (4600, Act::RestartAgent(3)),
            (5200, Act::SwapRotation),
            (7100, Act::RestartAgent(5)),
            (7800, Act::SwapRotation),
        ]);
        Day {
            acts,
            ..Day::default()
        }
    });
}

// Guards against resets by missing records, and against strays, inside one-way
// cuts.
#[test]
fn records_that_are_away_in_a_one_way_cut_cost_no_open_flow() {
    play_all(|seed| {
        let (from, to) = cut_of(seed);
        let mut acts = lapses(seed);
        acts.extend(rolls_inside_a_cut(from, to));
        Day {
            acts,
            ..Day::default()
        }
    });
}

// Everything at once: refusals of full servers and lost answers.
#[test]
fn balancers_that_restart_in_a_one_way_cut_beside_full_servers_reset_no_open_flow() {
    play_all(|seed| {
        let (from, to) = cut_of(seed);
        let mut acts = rolls_inside_a_cut(from, to);
        acts.extend(swaps());
        Day {
            acts,
            work_ms: SLOW_WORK_MS,
            ..Day::default()
        }
    });
}

/// Servers end and start again beside agents that go on, each away for a time
/// that depends on the seed.
fn reborn_servers(seed: u64) -> Vec<(u64, Act)> {
    let for_ms = spread_ms(seed, 0, 1500);
    let end = |(at, last)| (at, Act::EndServer { last, for_ms });
    [(1500, 1), (3000, 2), (4500, 3), (6000, 4), (7500, 5)]
        .map(end)
        .to_vec()
}

// Guards against resets of sound flows by agents that tell of lost ones, and
// against callers of lost flows that wait.
#[test]
fn servers_that_end_and_start_again_take_only_their_own_flows_along() {
    let outcomes = play_all(|seed| {
        let mut acts = reborn_servers(seed);
        acts.extend(swaps());
        acts.extend([
            (2000, Act::RestartBalancer(0)),
            (3500, Act::RestartAgent(4)),
            (5000, Act::RestartBalancer(1)),
            (6500, Act::RestartAgent(1)),
        ]);
        Day {
            acts,
            ..Day::default()
        }
    });
    let resets: usize = outcomes.iter().map(|o| o.resets).sum();
    assert!(resets > 0, "their callers are told");
}

// The same inside one-way cuts, beside full servers.
#[test]
fn servers_that_end_in_a_one_way_cut_take_only_their_own_flows_along() {
    play_all(|seed| {
        let (from, to) = cut_of(seed);
        let mut acts = rolls_inside_a_cut(from, to);
        acts.extend(reborn_servers(seed));
        acts.extend(swaps());
        Day {
            acts,
            work_ms: SLOW_WORK_MS,
            ..Day::default()
        }
    });
}

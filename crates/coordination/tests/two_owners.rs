//! Simulated fleets with lossy links, differing views, frozen or killed agents and
//! partitions. Guards against two agents that both own one flow (its first
//! packets are lost, doubled or delayed, and the members disagree about its
//! home), and against resets of flows whose owner is alive.

mod common;

use ramp_state::fleet::DataCentreState;
use ramp_state::fleet::ServerState;

use common::MANY_FAULTS;
use common::World;
use common::add_server;
use common::caller::State;

/// Number of seeds for each test unless `RAMP_SEEDS` is set.
const SEEDS: u64 = 100;

fn seeds() -> u64 {
    let count = std::env::var("RAMP_SEEDS").ok();
    count.and_then(|n| n.parse().ok()).unwrap_or(SEEDS)
}

/// Seeds for which `run` has findings, each with its findings.
fn failing_seeds(run: impl Fn(u64) -> World) -> Vec<String> {
    (0..seeds())
        .filter_map(|seed| {
            let found = run(seed).findings;
            let bad = !found.two_owners.is_empty() || !found.broken.is_empty();
            bad.then(|| format!("seed {seed}: {:?} {:?}", found.two_owners, found.broken))
        })
        .collect()
}

/// Opens flows and sends requests on them for 20 s over a bad link, and calls
/// `disturb` at the start of each second.
fn run_disturbed(seed: u64, disturb: impl Fn(&mut World, u64)) -> World {
    let mut world = World::new(seed, 7, 3);
    world.faults = MANY_FAULTS;
    world.lag_ms = 5_000;
    for second in 0..20 {
        disturb(&mut world, second);
        for i in 0..8 {
            world.open_flow(second as u32 * 8 + i);
            world.run_for(60);
        }
        let keys: Vec<_> = world.callers.keys().copied().collect();
        for _ in 0..20 {
            let at = world.rng.below(keys.len() as u64) as usize;
            world.send_request(keys[at]);
        }
        world.run_for(520);
    }
    world.run_for(8_000);
    world
}

#[test]
fn one_owner_while_members_come_and_drain() {
    let failures = failing_seeds(|seed| {
        run_disturbed(seed, |world, second| match second {
            3 => {
                let name = add_server(&mut world.fleet, 7);
                world.start_agent(&name, 1);
                world.publish();
            }
            6 => {
                world.fleet.servers["s2"].state = ServerState::Leaving;
                world.publish();
            }
            9 => {
                world.fleet.defaults.weight = 50;
                world.publish();
            }
            _ => {}
        })
    });
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn one_owner_while_members_freeze() {
    let failures = failing_seeds(|seed| {
        run_disturbed(seed, |world, second| {
            if second % 3 == 0 {
                let name = format!("s{}", world.rng.below(7));
                let freeze_ms = 500 + world.rng.below(6_000);
                if world.agents[&name].frozen.is_none() {
                    world.freeze(&name, freeze_ms);
                }
            }
        })
    });
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn one_owner_while_the_fleet_is_split() {
    let failures = failing_seeds(|seed| {
        run_disturbed(seed, |world, second| match second {
            4 => world.partitioned = ["s0", "s3", "s6", "b0"].map(String::from).to_vec(),
            13 => world.partitioned.clear(),
            _ => {}
        })
    });
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn one_owner_while_members_die_and_return() {
    let failures = failing_seeds(|seed| {
        run_disturbed(seed, |world, second| match second {
            4 => world.kill("s1"),
            6 => {
                world.list.instances.swap_remove("s1");
                world.publish();
            }
            10 => {
                world.start_agent("s1", 2);
                world.publish();
            }
            _ => {}
        })
    });
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn one_owner_under_two_troubles_at_once() {
    let failures = failing_seeds(|seed| {
        run_disturbed(seed, |world, second| match second {
            3 => {
                world.fleet.data_centres["c"].state = DataCentreState::Out;
                world.publish();
                world.freeze("s1", 7_000);
            }
            7 => world.partitioned = ["s0", "s4", "b2"].map(String::from).to_vec(),
            9 => {
                world.fleet.data_centres["c"].state = DataCentreState::In;
                let name = add_server(&mut world.fleet, 7);
                world.start_agent(&name, 1);
                world.publish();
            }
            14 => {
                world.partitioned.clear();
                world.kill("s3");
                world.list.instances.swap_remove("s3");
                world.publish();
            }
            _ => {}
        })
    });
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn every_flow_opens_on_a_bad_link() {
    for seed in 0..10 {
        let world = run_disturbed(seed, |_, _| {});
        let open = world.callers.values().filter(|c| c.state == State::Open);
        assert_eq!(open.count(), world.callers.len(), "seed {seed}");
    }
}

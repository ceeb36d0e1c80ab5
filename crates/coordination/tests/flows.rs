//! Simulated fleets in which flows must survive planned changes and floods, and in
//! which callers are reset when their owner dies or its data centre is taken out.

mod common;

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use ramp_coordination::flows::FlowCounts;
use ramp_coordination::flows::ResetReason;
use ramp_protocol::packet::Segment;
use ramp_state::fleet::DataCentreState;
use ramp_state::fleet::ServerState;
use ramp_state::key::FlowKey;

use common::SERVICE;
use common::World;
use common::add_server;
use common::caller::State;
use common::later_segment;
use common::opening_segment;

/// Flows in the tests with many flows, most of them idle.
const MANY_FLOWS: u32 = 2_000;

fn open_flows(world: &mut World, count: u32) {
    for i in 0..count {
        world.open_flow(i);
        if i % 10 == 0 {
            world.run_for(20);
        }
    }
    world.run_for(3_000);
}

fn send_on_all_flows(world: &mut World) {
    let keys: Vec<FlowKey> = world.callers.keys().copied().collect();
    for (i, key) in keys.into_iter().enumerate() {
        world.send_request(key);
        if i % 50 == 0 {
            world.run_for(10);
        }
    }
}

fn total(world: &World, count: impl Fn(&FlowCounts) -> u64) -> u64 {
    let agents = world.agents.values();
    agents.map(|a| count(&a.router.counts())).sum()
}

/// Asserts that each caller's flow is open, has had `answers` answers and waits
/// for none, and that no flow has two owners.
fn assert_flows_intact(world: &World, answers: usize) {
    let is_intact = |c: &&common::caller::Caller| {
        c.state == State::Open && c.answered == answers && !c.is_waiting()
    };
    let count = world.callers.values().filter(is_intact).count();
    assert_eq!(count, world.callers.len(), "{:?}", world.findings);
    assert!(world.findings.two_owners.is_empty());
}

#[test]
fn planned_changes_together_break_no_flow() {
    for seed in 0..3 {
        let mut world = World::new(seed, 9, 3);
        world.fleet.data_centres["c"].state = DataCentreState::Out;
        world.publish();
        world.run_for(1_000);
        open_flows(&mut world, MANY_FLOWS);
        world.lag_ms = 5_000;
        world.fleet.data_centres["c"].state = DataCentreState::In;
        world.fleet.servers["s0"].state = ServerState::Leaving;
        world.fleet.defaults.weight = 70;
        let name = add_server(&mut world.fleet, 9);
        world.start_agent(&name, 1);
        world.balancers.swap_remove("b1");
        world.list.instances.swap_remove("b1");
        world.add_balancer("b7", 7);
        world.publish();
        // Callers send requests while only some processes know of the change.
        for _ in 0..4 {
            world.run_for(900);
            for i in 0..100 {
                let at = (i * 19) % world.callers.len();
                let key = *world
                    .callers
                    .get_index(at)
                    .expect("the index is in range")
                    .0;
                world.send_request(key);
            }
        }
        world.run_for(15_000);
        let before: Vec<usize> = world.callers.values().map(|c| c.answered).collect();
        send_on_all_flows(&mut world);
        world.run_for(15_000);
        let after = world.callers.values().zip(before);
        let silent: Vec<_> = after
            .filter(|(c, before)| c.answered != before + 1)
            .collect();
        for (c, _) in silent.iter().take(3) {
            println!("{c:?} {:?}", world.owner(c.key));
        }
        assert_eq!(silent.len(), 0, "seed {seed}");
        assert!(world.findings.broken.is_empty(), "seed {seed}");
        assert!(world.findings.two_owners.is_empty(), "seed {seed}");
        assert!(total(&world, |c| c.registered) > 500, "seed {seed}");
        assert_eq!(total(&world, |c| c.resets.total()), 0, "seed {seed}");
    }
}

/// Sends one request on each flow, spread over ten seconds.
fn send_over_ten_seconds(world: &mut World) {
    let keys: Vec<FlowKey> = world.callers.keys().copied().collect();
    for turn in 0..10 {
        for key in keys.iter().skip(turn).step_by(10) {
            world.send_request(*key);
        }
        world.run_for(1_000);
    }
}

/// Cost of a view change: bytes of control messages about flows, owner queries,
/// packets dropped while the owner is unknown, and hops between agents.
#[derive(Clone, Copy, Debug, Default)]
struct Costs {
    bytes: usize,
    owner_queries: u64,
    dropped: u64,
    hops: usize,
}

impl Costs {
    fn of(world: &World) -> Costs {
        Costs {
            bytes: world.findings.flow_bytes,
            owner_queries: total(world, |c| c.owner_queries_sent),
            dropped: total(world, |c| c.drops.asked + c.drops.question_limited),
            hops: world.findings.agent_hops,
        }
    }

    fn minus(self, other: Costs) -> Costs {
        Costs {
            bytes: self.bytes - other.bytes,
            owner_queries: self.owner_queries - other.owner_queries,
            dropped: self.dropped - other.dropped,
            hops: self.hops - other.hops,
        }
    }

    fn plus(self, other: Costs) -> Costs {
        Costs {
            bytes: self.bytes + other.bytes,
            owner_queries: self.owner_queries + other.owner_queries,
            dropped: self.dropped + other.dropped,
            hops: self.hops + other.hops,
        }
    }
}

#[test]
fn a_view_change_costs_little_control() {
    const SEEDS: u64 = 10;
    let (mut quiet, mut changed) = (Costs::default(), Costs::default());
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 7, 2);
        open_flows(&mut world, MANY_FLOWS);
        world.count_bytes = true;
        let start = Costs::of(&world);
        send_over_ten_seconds(&mut world);
        let before = Costs::of(&world);
        world.lag_ms = 2_000;
        let name = add_server(&mut world.fleet, 7);
        world.start_agent(&name, 1);
        world.publish();
        send_over_ten_seconds(&mut world);
        quiet = quiet.plus(before.minus(start));
        changed = changed.plus(Costs::of(&world).minus(before));
        world.run_for(5_000);
        assert_flows_intact(&world, 2);
        assert_eq!(total(&world, |c| c.resets.total()), 0);
    }
    println!(
        "{SEEDS} times a server added to 7 with {MANY_FLOWS} flows, each speaking once in 10 s:\n\
         before {quiet:?}\nafter {changed:?}"
    );
    assert!(changed.bytes as u64 / SEEDS < 40_000);
    assert!(changed.owner_queries / SEEDS < 100);
}

#[test]
fn registrations_that_get_lost_are_repeated() {
    let mut world = World::new(12, 7, 2);
    open_flows(&mut world, 1_000);
    world.faults.loss_percent = 40;
    let name = add_server(&mut world.fleet, 7);
    world.start_agent(&name, 1);
    world.publish();
    world.run_for(5_000);
    world.faults.loss_percent = 0;
    world.run_for(5_000);
    let registered = world.agents[&name].router.counts().pointers;
    send_on_all_flows(&mut world);
    world.run_for(5_000);
    assert_flows_intact(&world, 1);
    let asked = total(&world, |c| c.owner_queries_sent);
    assert!(registered > 100 && asked == 0, "{registered} {asked}");
}

#[test]
fn a_flood_from_few_addresses_leaves_questions_for_others() {
    let mut world = World::new(13, 7, 2);
    open_flows(&mut world, 400);
    let keys: Vec<FlowKey> = world.callers.keys().copied().collect();
    world.kill("s1");
    world.list.instances.swap_remove("s1");
    world.publish();
    for ms in 0..12_000_u64 {
        for i in 0..2 {
            let mut segment = unknown(ms * 2 + i);
            segment.key.caller = SocketAddrV4::new(Ipv4Addr::new(1, 2, 3, 4), 0);
            segment.key.caller.set_port((ms * 2 + i) as u16);
            world.inject(segment);
        }
        world.run_for(1);
        if ms == 6_000 {
            send_on_all_flows(&mut world);
        }
    }
    let silent = keys.iter().filter(|key| world.callers[*key].is_waiting());
    let not_reset = silent.filter(|key| world.callers[*key].state != State::Reset);
    assert_eq!(not_reset.count(), 0);
    assert!(world.findings.owner_lost > 30);
}

#[test]
fn a_leaving_server_gets_no_new_flow() {
    let mut world = World::new(5, 7, 2);
    world.fleet.servers["s3"].state = ServerState::Leaving;
    world.publish();
    world.run_for(1_000);
    open_flows(&mut world, 300);
    assert_flows_intact(&world, 0);
    assert_eq!(world.agents["s3"].router.counts().opened, 0);
}

#[test]
fn flows_of_a_data_centre_taken_out_are_given_up_at_once() {
    let mut world = World::new(6, 9, 3);
    open_flows(&mut world, 600);
    let keys: Vec<FlowKey> = world.callers.keys().copied().collect();
    let in_b = |world: &World, key| {
        let owner = world.owner(key).expect("the flow is open");
        world.fleet.servers[owner].data_centre == "b"
    };
    let flows_in_b: Vec<FlowKey> = keys.iter().copied().filter(|k| in_b(&world, *k)).collect();
    world.lag_ms = 2_000;
    world.fleet.data_centres["b"].state = DataCentreState::Out;
    world.publish();
    world.run_for(2_000);
    send_on_all_flows(&mut world);
    world.run_for(2_000);
    let is_reset = |key: &&FlowKey| world.callers[*key].state == State::Reset;
    let reset_count = flows_in_b.iter().filter(is_reset).count();
    assert!(
        flows_in_b.len() > 150 && reset_count == flows_in_b.len(),
        "{reset_count} of {}",
        flows_in_b.len()
    );
    assert_eq!(keys.iter().filter(is_reset).count(), flows_in_b.len());
    assert!(world.findings.broken.is_empty());
    let reset_reason = |key: &FlowKey| world.callers[key].last_reset;
    assert!(
        flows_in_b
            .iter()
            .all(|k| reset_reason(k) == Some(ResetReason::GivenUp))
    );
}

#[test]
fn nothing_is_sent_to_a_data_centre_taken_out() {
    let mut world = World::new(7, 9, 3);
    open_flows(&mut world, 300);
    world.fleet.data_centres["b"].state = DataCentreState::Out;
    world.publish();
    world.run_for(1_000);
    world.reached.clear();
    send_on_all_flows(&mut world);
    world.run_for(10_000);
    let is_out = |name: &&String| {
        let server = world.fleet.servers.get(*name);
        server.is_some_and(|s| s.data_centre == "b")
    };
    assert!(!world.reached.is_empty());
    assert_eq!(world.reached.iter().filter(is_out).count(), 0);
}

#[test]
fn callers_of_a_dead_owner_are_told() {
    for seed in 0..5 {
        let mut world = World::new(seed, 7, 2);
        open_flows(&mut world, 400);
        let keys: Vec<FlowKey> = world.callers.keys().copied().collect();
        let of_s1: Vec<FlowKey> = keys
            .into_iter()
            .filter(|key| world.owner(*key) == Some("s1"))
            .collect();
        world.kill("s1");
        world.run_for(1_000);
        world.list.instances.swap_remove("s1");
        world.publish();
        world.run_for(4_000);
        send_on_all_flows(&mut world);
        world.run_for(3_000);
        let reset = of_s1
            .iter()
            .filter(|key| world.callers[*key].state == State::Reset);
        assert_eq!(reset.count(), of_s1.len(), "seed {seed}");
        assert_eq!(world.findings.owner_lost, of_s1.len(), "seed {seed}");
        assert!(world.findings.broken.is_empty(), "seed {seed}");
    }
}

#[test]
fn no_reset_while_a_silent_owner_is_still_listed() {
    let mut world = World::new(8, 7, 2);
    open_flows(&mut world, 300);
    world.freeze("s1", 20_000);
    world.run_for(6_000);
    send_on_all_flows(&mut world);
    world.run_for(6_000);
    assert_eq!(total(&world, |c| c.resets.total()), 0);
    world.run_for(30_000);
    assert_flows_intact(&world, 1);
}

fn unknown(number: u64) -> Segment {
    let ip = Ipv4Addr::from(0x2000_0000 + (number / 7) as u32);
    let key = FlowKey {
        caller: SocketAddrV4::new(ip, 1024 + (number % 7) as u16),
        service: SERVICE,
    };
    later_segment(key, (number as u32).wrapping_mul(7))
}

#[test]
fn a_flood_of_unknown_flows_leaves_real_ones_whole() {
    const FLOOD_S: u64 = 10;
    const FLOOD_PER_S: u64 = 4_000;
    let mut world = World::new(9, 7, 2);
    open_flows(&mut world, 400);
    world.count_bytes = true;
    let idle = world.findings.control_bytes;
    world.run_for(FLOOD_S * 1_000);
    let quiet = world.findings.control_bytes - idle;
    // Homes change during the flood, so that real flows need owner queries.
    let name = add_server(&mut world.fleet, 7);
    world.start_agent(&name, 1);
    world.publish();
    let before = world.findings.control_bytes;
    let mut halfway = 0;
    for step in 0..FLOOD_S * 10 {
        for i in 0..FLOOD_PER_S / 10 {
            world.inject(unknown(step * FLOOD_PER_S / 10 + i));
        }
        if step == FLOOD_S * 5 {
            halfway = world.findings.control_bytes;
            send_on_all_flows(&mut world);
        }
        world.run_for(100);
    }
    let agents = world.agents.len() as u64;
    let per_agent_per_s = |bytes: usize, s: u64| bytes as u64 / s / agents;
    let first_half = per_agent_per_s(halfway - before, FLOOD_S / 2);
    let second_half = per_agent_per_s(world.findings.control_bytes - halfway, FLOOD_S / 2);
    let quiet = per_agent_per_s(quiet, FLOOD_S);
    println!(
        "flood of {FLOOD_PER_S}/s: control B/s a node: quiet {quiet}, first half {first_half}, \
         then {second_half}; owner queries {}, limited {}",
        total(&world, |c| c.owner_queries_sent),
        total(&world, |c| c.owner_queries_limited)
    );
    assert_flows_intact(&world, 1);
    assert!(total(&world, |c| c.owner_queries_limited) > FLOOD_S * FLOOD_PER_S / 2);
    assert!(second_half < 13_000, "{second_half} B/s");
    assert!(total(&world, |c| c.owner_queries as u64) < 8 * 1_024);
}

#[test]
fn a_flood_of_first_packets_keeps_to_the_cap_and_leaves_real_flows_whole() {
    let mut world = World::new(10, 7, 2);
    world.fleet.defaults.connections = 200;
    world.publish();
    world.run_for(1_000);
    open_flows(&mut world, 400);
    for i in 0..10_000 {
        let segment = opening_segment(unknown(i).key);
        world.inject(segment);
        if i % 20 == 0 {
            world.run_for(10);
        }
    }
    send_on_all_flows(&mut world);
    world.run_for(3_000);
    assert_flows_intact(&world, 1);
    for agent in world.agents.values() {
        assert!(agent.router.counts().flows <= 200);
    }
    world.run_for(20_000);
    assert_eq!(total(&world, |c| c.half_open as u64), 0);
    assert_eq!(total(&world, |c| c.flows as u64), 400);
}

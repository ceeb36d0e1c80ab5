//! Group membership and failure detection: heartbeats, suspected and gone members,
//! stale lists of instances, and digests to balancers.

mod common;

use std::sync::Arc;

use ramp_coordination::group::AgentMembership;
use ramp_coordination::group::BalancerMembership;
use ramp_coordination::group::Output;
use ramp_coordination::group::SUSPECT_AFTER;
use ramp_coordination::group_snapshot::GroupSnapshot;
use ramp_protocol::message::Envelope;
use ramp_protocol::message::Load;
use ramp_protocol::message::Message;
use ramp_state::fleet::DataCentreState;
use ramp_state::key::Incarnation;
use ramp_state::key::InstanceId;
use ramp_state::key::ServiceId;
use ramp_state::key::Version;
use ramp_state::routing_table::RoutingTable;
use ramp_state::time::Millis;

use common::SERVICE;
use common::World;

fn heartbeat(from: &str, incarnation: u64, sequence: u64, flows: u32) -> Envelope {
    let load = Load {
        flows,
        ..Load::default()
    };
    let config = Version(1);
    envelope(
        from,
        incarnation,
        sequence,
        Message::Heartbeat { config, load },
    )
}

fn digest(from: &str, sequence: u64, dead: &[&str]) -> Envelope {
    let message = Message::Digest {
        service: ServiceId::of("ledger"),
        config: Version(1),
        dead: dead.iter().map(|name| InstanceId::of(name)).collect(),
    };
    envelope(from, 1, sequence, message)
}

fn envelope(from: &str, incarnation: u64, sequence: u64, message: Message) -> Envelope {
    Envelope {
        sender: InstanceId::of(from),
        incarnation: Incarnation(incarnation),
        sequence,
        message,
    }
}

/// Membership of agent `s0`, just started, in a group of three.
fn started() -> (World, AgentMembership) {
    let world = World::new(1, 3, 1);
    let mut membership = AgentMembership::new("s0");
    membership.install(Millis(0), Arc::new(world.fleet.clone()));
    membership.install_instances(Millis(0), &world.list);
    (world, membership)
}

fn take_snapshot(membership: &mut AgentMembership) -> Arc<GroupSnapshot> {
    let snapshots = membership.take_outputs().filter_map(|output| match output {
        Output::Snapshot(snapshot) => Some(snapshot),
        Output::Send { .. } => None,
    });
    snapshots.last().expect("a snapshot was produced")
}

fn is_alive(snapshot: &GroupSnapshot, name: &str) -> bool {
    let member = snapshot.group.member(InstanceId::of(name));
    member.is_some_and(|m| m.alive)
}

/// Ticks every 100 ms from `from` until `end`, with a heartbeat of `s1` each
/// second.
fn tick_with_s1_heartbeats(membership: &mut AgentMembership, from: u64, end: u64) {
    for ms in (from..end).step_by(100) {
        if ms % 1_000 == 0 {
            let message = heartbeat("s1", 1, 100 + ms, 7);
            assert!(membership.on_message(Millis(ms), &message));
        }
        membership.tick(Millis(ms));
    }
}

fn dead(view: &RoutingTable) -> Vec<String> {
    let group = view.group(SERVICE).expect("the group exists");
    let dead = group.members.iter().filter(|m| !m.alive);
    dead.map(|m| m.name.to_string()).collect()
}

#[test]
fn late_repeated_and_reordered_heartbeats_change_nothing() {
    let (_, mut membership) = started();
    let flows = |membership: &mut AgentMembership| {
        membership.tick(Millis(1_000));
        let snapshot = take_snapshot(membership);
        snapshot.loads[&InstanceId::of("s1")].flows
    };
    let now = Millis(10);
    assert!(membership.on_message(now, &heartbeat("s1", 2, 10, 5)));
    assert!(!membership.on_message(now, &heartbeat("s1", 2, 10, 6)));
    membership.on_message(now, &heartbeat("s1", 2, 9, 7));
    assert!(!membership.on_message(now, &heartbeat("s1", 2, 9, 7)));
    assert!(!membership.on_message(now, &heartbeat("s1", 1, 99, 8)));
    assert_eq!(flows(&mut membership), 5);
    assert!(membership.on_message(now, &heartbeat("s1", 2, 1_000, 9)));
    assert!(!membership.on_message(now, &heartbeat("s1", 2, 11, 1)));
    assert!(membership.on_message(now, &heartbeat("s1", 3, 1, 11)));
    let last = take_snapshot(&mut membership);
    assert_eq!(last.loads[&InstanceId::of("s1")].flows, 11);
}

#[test]
fn a_silent_member_is_suspected_and_gone_only_when_unlisted() {
    let (mut world, mut membership) = started();
    let suspect_ms = SUSPECT_AFTER.as_millis() as u64;
    tick_with_s1_heartbeats(&mut membership, 0, suspect_ms);
    assert!(is_alive(&take_snapshot(&mut membership), "s2"));
    tick_with_s1_heartbeats(&mut membership, suspect_ms, 20_000);
    let suspected = take_snapshot(&mut membership);
    assert!(!is_alive(&suspected, "s2") && is_alive(&suspected, "s1"));
    assert!(suspected.gone.is_empty());
    world.list.instances.swap_remove("s2");
    world.list.version = Version(world.list.version.0 + 1);
    membership.install_instances(Millis(20_000), &world.list);
    tick_with_s1_heartbeats(&mut membership, 20_000, 23_000);
    let gone = take_snapshot(&mut membership);
    assert!(gone.gone.contains(&InstanceId::of("s2")) && gone.gone.len() == 1);
    membership.on_message(Millis(23_000), &heartbeat("s2", 1, 1, 0));
    let back = take_snapshot(&mut membership);
    assert!(is_alive(&back, "s2") && back.gone.is_empty());
}

#[test]
fn a_list_that_lags_ends_no_member_that_is_heard() {
    let (mut world, mut membership) = started();
    world.list.instances.swap_remove("s1");
    world.list.version = Version(world.list.version.0 + 1);
    membership.install_instances(Millis(0), &world.list);
    tick_with_s1_heartbeats(&mut membership, 0, 30_000);
    let seen = take_snapshot(&mut membership);
    assert!(is_alive(&seen, "s1") && !seen.gone.contains(&InstanceId::of("s1")));
}

#[test]
fn a_list_without_this_agent_is_not_believed() {
    let (mut world, mut membership) = started();
    world.list.instances.clear();
    world.list.version = Version(world.list.version.0 + 1);
    membership.install_instances(Millis(0), &world.list);
    tick_with_s1_heartbeats(&mut membership, 0, 30_000);
    let seen = take_snapshot(&mut membership);
    assert!(!is_alive(&seen, "s2") && seen.gone.is_empty());
}

#[test]
fn news_of_a_newer_configuration_is_shown() {
    let (world, mut membership) = started();
    let config = Version(world.fleet.version.0 + 1);
    let load = Load::default();
    let message = Message::Heartbeat { config, load };
    membership.on_message(Millis(5), &envelope("s99", 1, 1, message));
    let seen = take_snapshot(&mut membership);
    assert!(seen.latest == config && seen.version < config);
}

#[test]
fn a_new_version_is_shown_though_the_group_is_as_it_was() {
    let (mut world, mut membership) = started();
    world.fleet.version = Version(world.fleet.version.0 + 1);
    let config = world.fleet.version;
    let load = Load::default();
    let message = Message::Heartbeat { config, load };
    membership.on_message(Millis(5), &envelope("s1", 1, 1, message));
    membership.install(Millis(6), Arc::new(world.fleet.clone()));
    assert_eq!(take_snapshot(&mut membership).version, config);
}

#[test]
fn an_own_pause_is_not_the_silence_of_others() {
    let mut world = World::new(2, 7, 3);
    world.freeze("s1", 12_000);
    world.run_for(12_000);
    // The agent resumes: it handles the messages queued at its socket, then its
    // timers.
    let mut snapshots_with_dead = 0;
    for _ in 0..100 {
        world.run_for(10);
        let seen = &world.agents["s1"].snapshots;
        snapshots_with_dead += seen.iter().filter(|p| !dead_of(p).is_empty()).count();
        world.agents["s1"].snapshots.clear();
    }
    assert_eq!(snapshots_with_dead, 0);
}

fn dead_of(snapshot: &GroupSnapshot) -> Vec<InstanceId> {
    let dead = snapshot.group.members.iter().filter(|m| !m.alive);
    dead.map(|m| m.id).collect()
}

#[test]
fn one_agent_serves_each_balancer_and_another_replaces_it() {
    let mut world = World::new(3, 12, 9);
    world.digests = 0;
    world.run_for(40_000);
    let expected = 9 * 10;
    assert!(world.digests.abs_diff(expected) <= 9, "{}", world.digests);
    for victim in ["s3", "s7"] {
        world.kill(victim);
        world.run_for(7_000);
        let unaware = world
            .balancers
            .values()
            .filter(|b| !dead(&b.routing_table).contains(&victim.to_string()));
        assert_eq!(unaware.count(), 0, "{victim}");
    }
}

#[test]
fn a_death_reaches_balancers_at_once() {
    for seed in 0..20 {
        let mut world = World::new(seed, 7, 3);
        let wait = world.rng.below(4_000);
        world.run_for(wait);
        world.kill("s4");
        world.run_for(5_500);
        for balancer in world.balancers.values() {
            assert_eq!(dead(&balancer.routing_table), ["s4"], "seed {seed}");
        }
    }
}

/// A caller's TCP retransmits its SYN 1 and 3 seconds after the first attempt,
/// and then only after 7: by the third attempt the flow must have another home.
#[test]
fn a_death_is_known_before_a_caller_tries_for_the_third_time() {
    for seed in 0..10 {
        for victim in ["s0", "s1", "s2", "s3", "s4", "s5", "s6"] {
            let mut world = World::new(seed, 7, 3);
            let wait = 5_000 + world.rng.below(4_000);
            world.run_for(wait);
            world.kill(victim);
            world.run_for(3_050);
            for balancer in world.balancers.values() {
                assert_eq!(dead(&balancer.routing_table), [victim], "seed {seed}");
            }
        }
    }
}

/// When messages between two agents arrive in one direction only, the agents'
/// digests contradict each other: the balancer's view must not change with each
/// digest.
#[test]
fn a_sender_that_speaks_while_reported_dead_is_believed_until_it_falls_silent() {
    let world = World::new(5, 4, 1);
    let mut membership = BalancerMembership::new();
    let at = |ms: u64| Millis(1_000 + ms);
    membership.install(at(0), Arc::new(world.fleet.clone()));
    membership.install_instances(at(0), &world.list);
    membership.on_message(at(0), &digest("s0", 1, &[]));
    membership.on_message(at(100), &digest("s2", 1, &["s0"]));
    membership.on_message(at(4_000), &digest("s0", 2, &[]));
    membership.on_message(at(4_100), &digest("s2", 2, &["s0"]));
    membership.take_view();
    for ms in (4_100..8_000).step_by(100) {
        membership.tick(at(ms));
    }
    assert!(
        membership.take_view().is_none(),
        "s0 sends a digest every 4 s"
    );
    for ms in (8_000..9_000).step_by(100) {
        membership.tick(at(ms));
    }
    let view = membership
        .take_view()
        .expect("s0 has stopped sending digests");
    assert_eq!(dead(&view), ["s0"]);
}

#[test]
fn each_side_of_a_split_serves_its_own_and_both_heal() {
    let mut world = World::new(4, 7, 4);
    world.partitioned = ["s0", "s3", "s6", "b0", "b1"].map(String::from).to_vec();
    world.run_for(16_000);
    for (name, balancer) in &world.balancers {
        let mut dead = dead(&balancer.routing_table);
        dead.sort();
        let inside = name == "b0" || name == "b1";
        let others: &[&str] = if inside {
            &["s1", "s2", "s4", "s5"]
        } else {
            &["s0", "s3", "s6"]
        };
        assert_eq!(dead, others, "{name}");
    }
    for agent in world.agents.values() {
        let last = agent.snapshots.last().expect("a snapshot was produced");
        assert!(last.gone.is_empty());
    }
    world.partitioned.clear();
    world.run_for(6_000);
    for balancer in world.balancers.values() {
        assert!(dead(&balancer.routing_table).is_empty());
    }
}

#[test]
fn digests_are_checked_and_can_not_end_those_who_send_them() {
    let world = World::new(5, 4, 1);
    let mut membership = BalancerMembership::new();
    let now = Millis(1_000);
    membership.install(now, Arc::new(world.fleet.clone()));
    membership.install_instances(now, &world.list);
    assert!(membership.on_message(now, &digest("s0", 9, &["s1"])));
    let seen = |membership: &mut BalancerMembership| {
        membership.tick(Millis(1_000));
        membership.take_view().map(|view| dead(&view))
    };
    assert_eq!(seen(&mut membership), Some(vec!["s1".to_string()]));
    membership.on_message(now, &digest("s0", 8, &["s2"]));
    assert!(!membership.on_message(now, &digest("s0", 9, &["s3"])));
    assert!(!membership.on_message(now, &digest("s77", 1, &["s3"])));
    assert_eq!(seen(&mut membership), None);
    // Two agents that can't reach each other: each reports the other dead, and
    // neither is considered dead.
    membership.on_message(now, &digest("s2", 1, &["s0"]));
    membership.on_message(now, &digest("s0", 10, &["s2"]));
    assert_eq!(seen(&mut membership), Some(Vec::new()));
    // A digest that reports all members dead is assumed to be wrong.
    membership.on_message(now, &digest("s3", 1, &["s0", "s1", "s2", "s3"]));
    assert_eq!(seen(&mut membership), Some(vec!["s1".to_string()]));
}

#[test]
fn a_group_that_falls_silent_is_served_by_the_list() {
    let mut world = World::new(6, 4, 1);
    let mut membership = BalancerMembership::new();
    membership.install(Millis(0), Arc::new(world.fleet.clone()));
    membership.on_message(Millis(0), &digest("s0", 1, &["s1"]));
    world.list.instances.swap_remove("s3");
    membership.install_instances(Millis(0), &world.list);
    assert_eq!(dead(&membership.take_view().expect("a view")), ["s1"]);
    for ms in (0..20_000).step_by(500) {
        membership.tick(Millis(ms));
    }
    assert_eq!(dead(&membership.take_view().expect("a view")), ["s3"]);
    // A list without any member is assumed to be wrong.
    world.list.instances.clear();
    membership.install_instances(Millis(20_000), &world.list);
    assert!(dead(&membership.take_view().expect("a view")).is_empty());
}

#[test]
fn a_data_centre_taken_out_hears_and_says_nothing() {
    let mut world = World::new(7, 9, 3);
    world.fleet.data_centres["a"].state = DataCentreState::Out;
    world.publish();
    world.run_for(1_000);
    world.reached.clear();
    world.digests = 0;
    world.findings.control_messages = 0;
    world.run_for(10_000);
    // Six agents remain, and all balancers are in the data centre taken out.
    assert_eq!(world.reached.len(), 6);
    assert_eq!(world.digests, 0);
    assert!(world.findings.control_messages.abs_diff(6 * 5 * 10) <= 6 * 5);
}

/// Times at which `s0` sends heartbeats within a second, in ms, while its flows
/// grow by `step` every 10 ms.
fn heartbeats_while_growing(step: u32) -> Vec<u64> {
    let (_, mut membership) = started();
    let mut times_ms = Vec::new();
    for turn in 0..100_u32 {
        let now = Millis(u64::from(turn) * 10);
        let flows = turn * step;
        membership.set_load(
            now,
            Load {
                flows,
                ..Load::default()
            },
        );
        membership.tick(now);
        let is_heartbeat = |output: &Output| {
            let Output::Send { message, .. } = output else {
                return false;
            };
            matches!(message, Message::Heartbeat { .. })
        };
        if membership
            .take_outputs()
            .any(|output| is_heartbeat(&output))
        {
            times_ms.push(now.0);
        }
    }
    times_ms
}

#[test]
fn a_burst_of_flows_is_told_before_its_time_but_not_more_often_than_bounded() {
    assert_eq!(heartbeats_while_growing(0), [0]);
    assert_eq!(heartbeats_while_growing(5), [0, 200, 400, 600, 800]);
}

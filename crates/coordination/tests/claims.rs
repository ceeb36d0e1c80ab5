//! At most one attempt of an idempotency key runs, whatever fails.
//!
//! A group of agents claims keys over a simulated network and clock, with lost,
//! duplicated and reordered messages, restarts, pauses, partitions and changes
//! of the group.

#[path = "common/requests.rs"]
mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ramp_coordination::claims::AttemptId;
use ramp_coordination::claims::ClaimConfig;
use ramp_coordination::claims::Claims;
use ramp_coordination::claims::Decided;
use ramp_coordination::claims::Decision;
use ramp_coordination::claims::claim_key;
use ramp_coordination::group_snapshot::GroupSnapshot;
use ramp_coordination::random::Random;
use ramp_protocol::auth::FleetKey;
use ramp_protocol::auth::TAG_LEN_BYTES;
use ramp_protocol::codec;
use ramp_protocol::message::ClaimKey;
use ramp_protocol::message::Envelope;
use ramp_protocol::message::KeyStatus;
use ramp_protocol::message::Message;
use ramp_state::fleet::Policy;
use ramp_state::key::Incarnation;
use ramp_state::key::InstanceId;
use ramp_state::key::ServiceId;
use ramp_state::routing_table::Member;
use ramp_state::time::Millis;

use common::id;
use common::members;
use common::snapshot;

const SEEDS: u64 = 100;
const MEMBERS: usize = 7;
const STEP: Duration = Duration::from_millis(20);
const TICK_EVERY_STEPS: u64 = 2;

/// Longer than the retention of keys, so that agents can grant all keys.
const WARM_UP_MS: u64 = 700_000;
const RUN_MS: u64 = 30_000;
const KEYS: u64 = 30;
const KEY_LIMIT: usize = 400;
const UNIX_MS: u64 = 1_790_000_000_000;

/// Faults that are injected in a run.
#[derive(Clone, Copy, Default)]
struct Faults {
    loss_percent: u64,
    duplicate_percent: u64,
    delay_limit_ms: u64,
    kills: bool,
    freezes: bool,
    partitions: bool,
    changes: bool,
}

struct Node {
    claims: Claims,
    start: u64,
    frozen_until: Millis,
    /// Attempts that wait for their decision, each with the index of its key.
    undecided: Vec<(AttemptId, usize)>,
    /// Granted attempts, each with the time at which its request is sent.
    granted: Vec<(AttemptId, usize, Millis)>,
    /// Attempts whose request runs, each with the time at which it ends.
    running: Vec<(AttemptId, usize, Millis)>,
    /// Snapshots that it will install, with the time.
    snapshots: Vec<(Millis, Arc<GroupSnapshot>)>,
}

#[derive(Default)]
struct Key {
    key: Option<ClaimKey>,
    text: String,
    runs: u32,
    served: bool,
    decisions: Vec<Decision>,
}

struct World {
    random: Random,
    faults: Faults,
    now: Millis,
    nodes: Vec<Node>,
    keys: Vec<Key>,
    network: BTreeMap<(Millis, u64), (usize, usize, Message)>,
    sent: u64,
    bytes: usize,
    partition: Option<(u64, Millis)>,
    partition_end: Millis,
    /// Decisions on attempts that a test began outside of [`World::run`].
    decided: Vec<Decided>,
    version: u64,
    members: Vec<Member>,
    policy: Policy,
}

impl World {
    fn new(seed: u64, faults: Faults) -> World {
        let policy = Policy::default();
        let members = members(MEMBERS, &policy);
        let mut world = World {
            random: Random::new(seed),
            faults,
            now: Millis(0),
            nodes: Vec::new(),
            keys: Vec::new(),
            network: BTreeMap::new(),
            sent: 0,
            bytes: 0,
            partition: None,
            partition_end: Millis(0),
            decided: Vec::new(),
            version: 1,
            members,
            policy,
        };
        for i in 0..MEMBERS {
            let node = world.start_node(i, 1);
            world.nodes.push(node);
        }
        world.now = Millis(WARM_UP_MS);
        world
    }

    fn start_node(&mut self, i: usize, start: u64) -> Node {
        let mut claims = Claims::new(ClaimConfig {
            me: id(i),
            incarnation: Incarnation(start),
            unix_ms_at_zero: UNIX_MS + self.random.below(400),
            key_limit: KEY_LIMIT,
        });
        let snapshot = Arc::new(snapshot(self.version, self.members.clone()));
        claims.install(self.now, &snapshot);
        Node {
            claims,
            start,
            frozen_until: Millis(0),
            undecided: Vec::new(),
            granted: Vec::new(),
            running: Vec::new(),
            snapshots: Vec::new(),
        }
    }

    fn chance(&mut self, one_in: u64) -> bool {
        self.random.below(one_in) == 0
    }

    /// Key that randomly contains its creation time or not.
    fn key(&mut self, n: u64) -> Key {
        let text = if self.chance(2) {
            let made = UNIX_MS + self.now.0;
            let (high, low) = (made >> 16, made & 0xffff);
            format!("{high:08x}-{low:04x}-7000-8000-{n:012x}")
        } else {
            format!("claim {n}")
        };
        let fleet = FleetKey::new([1; 16]);
        let key = claim_key(&fleet, ServiceId::of("ledger"), text.as_bytes());
        Key {
            key: Some(key),
            text,
            ..Key::default()
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.inject_faults();
        self.deliver();
        for i in 0..self.nodes.len() {
            if self.now >= self.nodes[i].frozen_until {
                self.drive(i);
            }
        }
    }

    fn drive(&mut self, i: usize) {
        let now = self.now;
        let due = |at: &Millis| *at <= now;
        let node = &mut self.nodes[i];
        let snapshots = std::mem::take(&mut node.snapshots);
        for (at, snapshot) in snapshots {
            if due(&at) {
                node.claims.install(now, &snapshot);
            } else {
                node.snapshots.push((at, snapshot));
            }
        }
        if (now.0 / STEP.as_millis() as u64).is_multiple_of(TICK_EVERY_STEPS) {
            node.claims.tick(now);
        }
        self.handle_decisions(i);
        self.send_granted(i);
        self.end_finished(i);
        self.send_outbox(i);
    }

    fn handle_decisions(&mut self, i: usize) {
        for decided_attempt in self.nodes[i].claims.take_decided() {
            let node = &mut self.nodes[i];
            let at = node
                .undecided
                .iter()
                .position(|(a, _)| *a == decided_attempt.attempt);
            let Some(at) = at else {
                self.decided.push(decided_attempt);
                continue;
            };
            let (attempt, key) = node.undecided.swap_remove(at);
            self.keys[key].decisions.push(decided_attempt.decision);
            if decided_attempt.decision == Decision::Granted {
                let send_at = self.now + Duration::from_millis(self.random.below(200));
                self.nodes[i].granted.push((attempt, key, send_at));
            }
            if decided_attempt.decision == Decision::Served {
                assert!(
                    self.keys[key].served,
                    "decided as served, but it was not served"
                );
            }
        }
    }

    /// Sends granted attempts that are due, or gives them up before that.
    fn send_granted(&mut self, i: usize) {
        let now = self.now;
        for (attempt, key, at) in std::mem::take(&mut self.nodes[i].granted) {
            if at > now {
                self.nodes[i].granted.push((attempt, key, at));
            } else if self.chance(4) || !self.nodes[i].claims.may_send(now, attempt) {
                self.nodes[i]
                    .claims
                    .end_attempt(now, attempt, KeyStatus::Granted);
            } else {
                self.keys[key].runs += 1;
                let end = now + Duration::from_millis(self.random.below(8000));
                self.nodes[i].running.push((attempt, key, end));
            }
        }
    }

    fn end_finished(&mut self, i: usize) {
        let now = self.now;
        for (attempt, key, end) in std::mem::take(&mut self.nodes[i].running) {
            if end > now {
                self.nodes[i].running.push((attempt, key, end));
                continue;
            }
            let status = if self.chance(3) {
                KeyStatus::MayHaveRun
            } else {
                self.keys[key].served = true;
                KeyStatus::Served
            };
            self.nodes[i].claims.end_attempt(now, attempt, status);
        }
    }

    fn send_outbox(&mut self, from: usize) {
        for out in self.nodes[from].claims.take_outbox() {
            let Some(to) = (0..self.nodes.len()).find(|i| id(*i) == out.to) else {
                continue;
            };
            self.bytes += wire_bytes(id(from), &out.message);
            let mut copies = 1;
            if self.random.below(100) < self.faults.loss_percent {
                copies = 0;
            }
            if self.random.below(100) < self.faults.duplicate_percent {
                copies += 1;
            }
            for _ in 0..copies {
                self.sent += 1;
                let delay = 1 + self.random.below(self.faults.delay_limit_ms);
                let at = self.now + Duration::from_millis(delay);
                let message = out.message.clone();
                self.network.insert((at, self.sent), (from, to, message));
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.network.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (from, to, message) = entry.remove();
            let is_cut = self.partition.is_some_and(|(side, until)| {
                self.now < until && (side >> from) & 1 != (side >> to) & 1
            });
            if !is_cut && self.now >= self.nodes[to].frozen_until {
                self.nodes[to]
                    .claims
                    .on_message(self.now, id(from), &message);
            }
        }
    }

    fn inject_faults(&mut self) {
        let faults = self.faults;
        let any = |world: &mut World| world.random.below(MEMBERS as u64) as usize;
        if faults.kills && self.chance(400) {
            let i = any(self);
            let start = self.nodes[i].start + 1;
            self.nodes[i] = self.start_node(i, start);
        }
        if faults.freezes && self.chance(400) {
            let i = any(self);
            let span = Duration::from_millis(self.random.below(20_000));
            self.nodes[i].frozen_until = self.now + span;
        }
        if faults.partitions && self.chance(500) {
            let side = self.random.below(1 << MEMBERS);
            let span = STEP * (1 + self.random.below(250) as u32);
            self.partition = Some((side, self.now + span));
            self.set_believed_dead(side);
            self.partition_end = self.now + span;
        }
        if self.now == self.partition_end {
            self.set_believed_dead(0);
        }
        if faults.changes && self.chance(500) {
            self.change_group();
        }
    }

    /// Gives each agent a snapshot, up to a second later, in which the agents on
    /// the other side of the partition are dead.
    fn set_believed_dead(&mut self, side: u64) {
        for i in 0..MEMBERS {
            let is_alive = |m: &Member| {
                let at = (0..MEMBERS).find(|j| id(*j) == m.id).unwrap();
                (side >> i) & 1 == (side >> at) & 1
            };
            let mut seen_members = self.members.clone();
            for m in &mut seen_members {
                m.alive = is_alive(m);
            }
            let at = self.now + Duration::from_millis(self.random.below(1000));
            let snapshot = Arc::new(snapshot(self.version, seen_members));
            self.nodes[i].snapshots.push((at, snapshot));
        }
    }

    /// Takes a data centre out, removes a member, or restores the whole group.
    /// Each agent learns of it at another time.
    fn change_group(&mut self) {
        self.version += 1;
        let mut changed = members(MEMBERS, &self.policy);
        match self.random.below(3) {
            0 => {}
            1 => {
                let out = ["east", "west", "north"][self.random.below(3) as usize];
                for m in &mut changed {
                    m.reachable = &*m.data_centre != out;
                }
            }
            _ => {
                let gone = self.random.below(MEMBERS as u64) as usize;
                changed.retain(|m| m.id != id(gone));
            }
        }
        self.members = changed;
        let snapshot = Arc::new(snapshot(self.version, self.members.clone()));
        for i in 0..MEMBERS {
            let at = self.now + Duration::from_millis(self.random.below(4000));
            // A newer configuration replaces those that would be installed after
            // it, as versions never go back.
            self.nodes[i].snapshots.retain(|(earlier, _)| *earlier < at);
            self.nodes[i].snapshots.push((at, snapshot.clone()));
        }
    }

    fn attempt(&mut self, i: usize, key: usize) {
        if self.now < self.nodes[i].frozen_until {
            return;
        }
        let wanted = self.keys[key].key.unwrap();
        let attempt = self.nodes[i].claims.begin(self.now, wanted);
        self.nodes[i].undecided.push((attempt, key));
    }

    fn run(&mut self) {
        let end = Millis(WARM_UP_MS + RUN_MS);
        while self.now < end {
            self.step();
            if self.chance(40) && self.keys.len() < KEYS as usize {
                let key = self.key(self.keys.len() as u64);
                self.keys.push(key);
            }
            // Callers retry their keys all the time, at any agent.
            if self.chance(4) && !self.keys.is_empty() {
                let key = self.random.below(self.keys.len() as u64) as usize;
                let i = self.random.below(MEMBERS as u64) as usize;
                self.attempt(i, key);
            }
        }
    }

    fn total_runs(&self) -> u32 {
        self.keys.iter().map(|k| k.runs).sum()
    }
}

/// Size of a message as a UDP datagram, with all headers.
fn wire_bytes(sender: InstanceId, message: &Message) -> usize {
    const IP_AND_UDP_LEN_BYTES: usize = 28;
    let envelope = Envelope {
        sender,
        incarnation: Incarnation(1),
        sequence: 1,
        message: message.clone(),
    };
    codec::encode(&envelope).len() + TAG_LEN_BYTES + IP_AND_UDP_LEN_BYTES
}

const ALL_FAULTS: Faults = Faults {
    loss_percent: 10,
    duplicate_percent: 10,
    delay_limit_ms: 300,
    kills: true,
    freezes: true,
    partitions: true,
    changes: true,
};

const QUIET: Faults = Faults {
    loss_percent: 0,
    duplicate_percent: 0,
    delay_limit_ms: 5,
    kills: false,
    freezes: false,
    partitions: false,
    changes: false,
};

/// Runs all seeds and checks that no key runs twice. Returns the number of keys
/// that ran.
fn never_twice(faults: Faults) -> u32 {
    let mut ran = 0;
    for seed in 0..SEEDS {
        let mut world = World::new(seed, faults);
        world.run();
        for key in &world.keys {
            assert!(
                key.runs <= 1,
                "seed {seed}: {} ran {} times",
                key.text,
                key.runs
            );
        }
        ran += world.total_runs();
    }
    println!("{ran} of {} keys ran", SEEDS * KEYS);
    ran
}

#[test]
fn never_twice_under_loss_duplication_and_reordering() {
    let ran = never_twice(Faults {
        loss_percent: 20,
        duplicate_percent: 20,
        delay_limit_ms: 300,
        ..QUIET
    });
    // Nearly all keys did run.
    assert!(ran > SEEDS as u32 * 25, "{ran} ran");
}

#[test]
fn never_twice_under_kills_and_restarts() {
    let ran = never_twice(Faults {
        kills: true,
        delay_limit_ms: 100,
        ..QUIET
    });
    assert!(ran > SEEDS as u32 * 10, "{ran} ran");
}

#[test]
fn never_twice_under_freezes() {
    let ran = never_twice(Faults {
        freezes: true,
        delay_limit_ms: 100,
        ..QUIET
    });
    assert!(ran > SEEDS as u32 * 10, "{ran} ran");
}

#[test]
fn never_twice_under_partitions() {
    let ran = never_twice(Faults {
        partitions: true,
        delay_limit_ms: 100,
        ..QUIET
    });
    assert!(ran > SEEDS as u32 * 10, "{ran} ran");
}

#[test]
fn never_twice_while_the_group_changes() {
    let ran = never_twice(Faults {
        changes: true,
        delay_limit_ms: 300,
        loss_percent: 10,
        ..QUIET
    });
    assert!(ran > SEEDS as u32 * 10, "{ran} ran");
}

#[test]
fn never_twice_under_everything_at_once() {
    let ran = never_twice(ALL_FAULTS);
    assert!(ran > SEEDS as u32 * 5, "{ran} ran");
}

impl World {
    /// Begins an attempt and runs the simulation until it is decided.
    fn claim(&mut self, i: usize, key: ClaimKey) -> (AttemptId, Decision) {
        let attempt = self.nodes[i].claims.begin(self.now, key);
        for _ in 0..100 {
            self.send_outbox(i);
            self.handle_decisions(i);
            let decided_attempt = self.decided.iter().find(|d| d.attempt == attempt);
            if let Some(decided_attempt) = decided_attempt {
                return (attempt, decided_attempt.decision);
            }
            self.step();
        }
        panic!("an attempt is not decided");
    }

    fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    fn undated_key(&self, n: u64) -> ClaimKey {
        self.key_of(&format!("claim {n}"))
    }

    /// Key that contains the present time as its creation time.
    fn dated_key(&self, n: u64) -> ClaimKey {
        let made = UNIX_MS + self.now.0;
        let (high, low) = (made >> 16, made & 0xffff);
        self.key_of(&format!("{high:08x}-{low:04x}-7000-8000-{n:012x}"))
    }

    fn key_of(&self, text: &str) -> ClaimKey {
        claim_key(
            &FleetKey::new([1; 16]),
            ServiceId::of("ledger"),
            text.as_bytes(),
        )
    }

    fn install(&mut self, members: Vec<Member>) {
        self.version += 1;
        self.members = members;
        let snapshot = Arc::new(snapshot(self.version, self.members.clone()));
        for node in &mut self.nodes {
            node.claims.install(self.now, &snapshot);
        }
    }
}

#[test]
fn one_dead_member_stops_no_key() {
    for dead in 0..MEMBERS {
        let mut world = World::new(dead as u64, QUIET);
        world.nodes[dead].frozen_until = Millis(u64::MAX);
        for n in 0..50 {
            let i = (dead + 1 + n as usize % (MEMBERS - 1)) % MEMBERS;
            let (_, decision) = world.claim(i, world.undated_key(n));
            assert_eq!(decision, Decision::Granted);
        }
    }
}

#[test]
fn later_attempts_learn_the_outcome_of_the_first() {
    let mut world = World::new(1, QUIET);
    let outcomes = [
        (KeyStatus::Served, Decision::Served),
        (KeyStatus::MayHaveRun, Decision::Unknown),
        (KeyStatus::Granted, Decision::Granted),
    ];
    for (n, (status, expected)) in outcomes.into_iter().enumerate() {
        let key = world.undated_key(n as u64);
        let (first, decision) = world.claim(0, key);
        assert_eq!(decision, Decision::Granted);
        assert_eq!(world.claim(1, key).1, Decision::Running);
        world.nodes[0].claims.end_attempt(world.now, first, status);
        world.run_for(STEP * 5);
        assert_eq!(world.claim(2, key).1, expected);
    }
}

#[test]
fn a_long_request_is_known_to_run_until_its_agent_dies() {
    let mut world = World::new(1, QUIET);
    let key = world.undated_key(1);
    assert_eq!(world.claim(0, key).1, Decision::Granted);
    world.run_for(Duration::from_secs(60));
    assert_eq!(world.claim(1, key).1, Decision::Running);
    world.nodes[0].frozen_until = Millis(u64::MAX);
    world.run_for(Duration::from_secs(20));
    // Whether it ran is not known any more, so it must not count as not run.
    assert_eq!(world.claim(1, key).1, Decision::Unknown);
}

#[test]
fn an_agent_that_was_paused_does_not_use_its_old_grant() {
    let mut world = World::new(1, QUIET);
    let (attempt, decision) = world.claim(0, world.undated_key(1));
    assert_eq!(decision, Decision::Granted);
    let claims = &world.nodes[0].claims;
    assert!(claims.may_send(world.now, attempt));
    let later = world.now + Duration::from_secs(700);
    assert!(!claims.may_send(later, attempt));
}

#[test]
fn late_copies_of_an_ended_claim_do_not_hold_the_key() {
    let mut world = World::new(1, QUIET);
    let key = world.undated_key(1);
    let (attempt, _) = world.claim(0, key);
    world.nodes[0]
        .claims
        .end_attempt(world.now, attempt, KeyStatus::Granted);
    world.run_for(STEP * 20);
    // Its agent has restarted, so nobody corrects a replica that accepts the copy.
    world.nodes[0] = world.start_node(0, 2);
    for node in &mut world.nodes[1..] {
        let copy = Message::Claim {
            key,
            attempt: attempt.0,
        };
        node.claims.on_message(world.now, id(0), &copy);
    }
    world.run_for(STEP * 5);
    assert_eq!(world.claim(1, key).1, Decision::Granted);
}

#[test]
fn no_key_is_lost_with_a_data_centre() {
    for out in ["east", "west", "north"] {
        let mut world = World::new(1, QUIET);
        let served: Vec<ClaimKey> = (0..50).map(|n| world.undated_key(n)).collect();
        for key in &served {
            let (attempt, _) = world.claim(0, *key);
            world.nodes[0]
                .claims
                .end_attempt(world.now, attempt, KeyStatus::Served);
        }
        world.run_for(STEP * 20);
        let mut changed = members(MEMBERS, &world.policy);
        for m in &mut changed {
            m.reachable = &*m.data_centre != out;
        }
        let reachable_id = changed.iter().find(|m| m.reachable).unwrap().id;
        let i = (0..MEMBERS).find(|i| id(*i) == reachable_id).unwrap();
        world.install(changed);
        for key in &served {
            assert_eq!(world.claim(i, *key).1, Decision::Served);
        }
        for n in 100..150 {
            assert_eq!(world.claim(i, world.undated_key(n)).1, Decision::Granted);
        }
    }
}

#[test]
fn a_group_that_just_started_grants_only_keys_made_since() {
    let mut world = World::new(1, QUIET);
    for i in 0..MEMBERS {
        world.nodes[i] = world.start_node(i, 2);
    }
    let early = world.dated_key(1);
    world.run_for(Duration::from_secs(6));
    assert_eq!(world.claim(0, early).1, Decision::Unknown);
    assert_eq!(world.claim(0, world.undated_key(2)).1, Decision::Unknown);
    assert_eq!(world.claim(0, world.dated_key(3)).1, Decision::Granted);
    world.now = world.now + world.policy.key_retention;
    assert_eq!(world.claim(0, world.undated_key(2)).1, Decision::Granted);
}

#[test]
fn keys_are_bounded_and_forgotten_after_their_time() {
    let mut world = World::new(1, QUIET);
    let mut granted = Vec::new();
    for n in 0..1500 {
        let key = world.undated_key(n);
        if let (attempt, Decision::Granted) = world.claim(0, key) {
            world.nodes[0]
                .claims
                .end_attempt(world.now, attempt, KeyStatus::Served);
            granted.push(key);
        }
    }
    // Full replicas refuse new keys and keep those that they have.
    let kept = world
        .nodes
        .iter()
        .map(|n| n.claims.replica_key_count())
        .max();
    assert_eq!(kept.unwrap(), KEY_LIMIT);
    assert!(granted.len() < 1500);
    for key in granted.iter().take(20) {
        assert_eq!(world.claim(1, *key).1, Decision::Served);
    }
    world.now = world.now + world.policy.key_retention;
    world.run_for(STEP * 5);
    assert!(
        world
            .nodes
            .iter()
            .all(|n| n.claims.replica_key_count() == 0)
    );
}

#[test]
fn control_bytes_of_a_key_are_bounded() {
    const KEYS_ASKED: u64 = 200;
    const MOST_BYTES: u64 = 2000;
    let mut world = World::new(1, QUIET);
    for n in 0..KEYS_ASKED {
        let i = n as usize % MEMBERS;
        let (attempt, _) = world.claim(i, world.dated_key(n));
        world.nodes[i]
            .claims
            .end_attempt(world.now, attempt, KeyStatus::Served);
    }
    world.run_for(Duration::from_secs(1));
    let bytes = world.bytes as u64 / KEYS_ASKED;
    println!("{bytes} bytes of control for each key");
    assert!(bytes <= MOST_BYTES, "{bytes}");
}

#[test]
fn the_last_one_of_a_group_does_not_grant_alone_what_others_may_have_run() {
    let mut world = World::new(1, QUIET);
    let only_east = |world: &World| {
        let mut changed = members(3, &world.policy);
        for m in &mut changed {
            m.reachable = &*m.data_centre == "east";
        }
        changed
    };
    world.install(members(3, &world.policy));
    world.now = world.now + world.policy.key_retention;
    let early = world.dated_key(1);
    world.install(only_east(&world));
    world.run_for(Duration::from_secs(6));
    assert_eq!(world.claim(0, early).1, Decision::Unknown);
    assert_eq!(world.claim(0, world.undated_key(2)).1, Decision::Unknown);
    assert_eq!(world.claim(0, world.dated_key(3)).1, Decision::Granted);
    world.now = world.now + world.policy.key_retention;
    assert_eq!(world.claim(0, world.undated_key(2)).1, Decision::Granted);
}

#[test]
fn an_agent_knows_nothing_at_the_first_moment_of_its_clock() {
    let mut world = World::new(1, QUIET);
    world.now = Millis(0);
    for i in 0..MEMBERS {
        world.nodes[i] = world.start_node(i, 2);
    }
    assert_eq!(world.claim(0, world.undated_key(1)).1, Decision::Unknown);
    assert_eq!(world.claim(0, world.dated_key(2)).1, Decision::Unknown);
}

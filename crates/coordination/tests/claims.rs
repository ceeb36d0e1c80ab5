//! No two attempts of an idempotency key run, over a fake link and clock.

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

/// Long enough that every agent knows all keys that are not new.
const WARM_UP_MS: u64 = 700_000;
const RUN_MS: u64 = 30_000;
const KEYS: u64 = 30;
const KEY_LIMIT: usize = 400;
const UNIX_MS: u64 = 1_790_000_000_000;

/// What may go wrong in a run.
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
    /// Attempts by what they wait for.
    asking: Vec<(AttemptId, usize)>,
    granted: Vec<(AttemptId, usize, Millis)>,
    running: Vec<(AttemptId, usize, Millis)>,
    /// Pictures on their way to it.
    pictures: Vec<(Millis, Arc<GroupSnapshot>)>,
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
    link: BTreeMap<(Millis, u64), (usize, usize, Message)>,
    sent: u64,
    bytes: usize,
    cut: Option<(u64, Millis)>,
    heal_at: Millis,
    /// Decisions on attempts of single tests.
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
            link: BTreeMap::new(),
            sent: 0,
            bytes: 0,
            cut: None,
            heal_at: Millis(0),
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
        let picture = Arc::new(snapshot(self.version, self.members.clone()));
        claims.install(self.now, &picture);
        Node {
            claims,
            start,
            frozen_until: Millis(0),
            asking: Vec::new(),
            granted: Vec::new(),
            running: Vec::new(),
            pictures: Vec::new(),
        }
    }

    fn chance(&mut self, one_in: u64) -> bool {
        self.random.below(one_in) == 0
    }

    /// A key that tells its age, or one that does not.
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
        self.disturb();
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
        let pictures = std::mem::take(&mut node.pictures);
        for (at, picture) in pictures {
            if due(&at) {
                node.claims.install(now, &picture);
            } else {
                node.pictures.push((at, picture));
            }
        }
        if (now.0 / STEP.as_millis() as u64).is_multiple_of(TICK_EVERY_STEPS) {
            node.claims.tick(now);
        }
        self.follow_decisions(i);
        self.follow_granted(i);
        self.follow_running(i);
        self.post(i);
    }

    fn follow_decisions(&mut self, i: usize) {
        for found in self.nodes[i].claims.take_decided() {
            let node = &mut self.nodes[i];
            let at = node.asking.iter().position(|(a, _)| *a == found.attempt);
            let Some(at) = at else {
                self.decided.push(found);
                continue;
            };
            let (attempt, key) = node.asking.swap_remove(at);
            self.keys[key].decisions.push(found.decision);
            if found.decision == Decision::Granted {
                let send_at = self.now + Duration::from_millis(self.random.below(200));
                self.nodes[i].granted.push((attempt, key, send_at));
            }
            if found.decision == Decision::Served {
                assert!(self.keys[key].served, "told as served and was not");
            }
        }
    }

    /// Sends what was granted, or gives it up before it is sent.
    fn follow_granted(&mut self, i: usize) {
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

    fn follow_running(&mut self, i: usize) {
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

    fn post(&mut self, from: usize) {
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
                self.link.insert((at, self.sent), (from, to, message));
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.link.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (from, to, message) = entry.remove();
            let is_cut = self.cut.is_some_and(|(side, until)| {
                self.now < until && (side >> from) & 1 != (side >> to) & 1
            });
            if !is_cut && self.now >= self.nodes[to].frozen_until {
                self.nodes[to]
                    .claims
                    .on_message(self.now, id(from), &message);
            }
        }
    }

    fn disturb(&mut self) {
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
            self.cut = Some((side, self.now + span));
            self.believe(side);
            self.heal_at = self.now + span;
        }
        if self.now == self.heal_at {
            self.believe(0);
        }
        if faults.changes && self.chance(500) {
            self.change_group();
        }
    }

    /// Lets each agent believe that those on the other side are dead.
    fn believe(&mut self, side: u64) {
        for i in 0..MEMBERS {
            let is_alive = |m: &Member| {
                let at = (0..MEMBERS).find(|j| id(*j) == m.id).unwrap();
                (side >> i) & 1 == (side >> at) & 1
            };
            let mut seen = self.members.clone();
            for m in &mut seen {
                m.alive = is_alive(m);
            }
            let at = self.now + Duration::from_millis(self.random.below(1000));
            let picture = Arc::new(snapshot(self.version, seen));
            self.nodes[i].pictures.push((at, picture));
        }
    }

    /// Takes a data centre out or all in, or adds or removes a member; every
    /// agent hears of it at another moment.
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
        let picture = Arc::new(snapshot(self.version, self.members.clone()));
        for i in 0..MEMBERS {
            let at = self.now + Duration::from_millis(self.random.below(4000));
            // Versions never revert, so a picture replaces those before it.
            self.nodes[i].pictures.retain(|(earlier, _)| *earlier < at);
            self.nodes[i].pictures.push((at, picture.clone()));
        }
    }

    fn attempt(&mut self, i: usize, key: usize) {
        if self.now < self.nodes[i].frozen_until {
            return;
        }
        let wanted = self.keys[key].key.unwrap();
        let attempt = self.nodes[i].claims.begin(self.now, wanted);
        self.nodes[i].asking.push((attempt, key));
    }

    fn run(&mut self) {
        let end = Millis(WARM_UP_MS + RUN_MS);
        while self.now < end {
            self.step();
            if self.chance(40) && self.keys.len() < KEYS as usize {
                let key = self.key(self.keys.len() as u64);
                self.keys.push(key);
            }
            // Callers try again all the time, at any agent.
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

/// Size of a message in a UDP datagram, headers counted.
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

/// Runs all seeds; no key may run twice. Returns how many keys ran.
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
    // Nearly all of the keys did run.
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
    /// Begins an attempt and steps until it is decided.
    fn ask(&mut self, i: usize, key: ClaimKey) -> (AttemptId, Decision) {
        let attempt = self.nodes[i].claims.begin(self.now, key);
        for _ in 0..100 {
            self.post(i);
            self.follow_decisions(i);
            let found = self.decided.iter().find(|d| d.attempt == attempt);
            if let Some(found) = found {
                return (attempt, found.decision);
            }
            self.step();
        }
        panic!("an attempt is not decided");
    }

    fn steps(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    fn plain_key(&self, n: u64) -> ClaimKey {
        self.key_of(&format!("claim {n}"))
    }

    /// A key that tells that it was made now.
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
        let picture = Arc::new(snapshot(self.version, self.members.clone()));
        for node in &mut self.nodes {
            node.claims.install(self.now, &picture);
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
            let (_, decision) = world.ask(i, world.plain_key(n));
            assert_eq!(decision, Decision::Granted);
        }
    }
}

#[test]
fn later_attempts_hear_what_became_of_the_first() {
    let mut world = World::new(1, QUIET);
    let outcomes = [
        (KeyStatus::Served, Decision::Served),
        (KeyStatus::MayHaveRun, Decision::Unknown),
        (KeyStatus::Granted, Decision::Granted),
    ];
    for (n, (status, expected)) in outcomes.into_iter().enumerate() {
        let key = world.plain_key(n as u64);
        let (first, decision) = world.ask(0, key);
        assert_eq!(decision, Decision::Granted);
        assert_eq!(world.ask(1, key).1, Decision::Running);
        world.nodes[0].claims.end_attempt(world.now, first, status);
        world.steps(STEP * 5);
        assert_eq!(world.ask(2, key).1, expected);
    }
}

#[test]
fn a_long_request_is_known_to_run_until_its_agent_dies() {
    let mut world = World::new(1, QUIET);
    let key = world.plain_key(1);
    assert_eq!(world.ask(0, key).1, Decision::Granted);
    world.steps(Duration::from_secs(60));
    assert_eq!(world.ask(1, key).1, Decision::Running);
    world.nodes[0].frozen_until = Millis(u64::MAX);
    world.steps(Duration::from_secs(20));
    // Nobody can tell any more, so it is not told as "not run".
    assert_eq!(world.ask(1, key).1, Decision::Unknown);
}

#[test]
fn an_agent_that_slept_does_not_use_its_old_grant() {
    let mut world = World::new(1, QUIET);
    let (attempt, decision) = world.ask(0, world.plain_key(1));
    assert_eq!(decision, Decision::Granted);
    let claims = &world.nodes[0].claims;
    assert!(claims.may_send(world.now, attempt));
    let later = world.now + Duration::from_secs(700);
    assert!(!claims.may_send(later, attempt));
}

#[test]
fn late_copies_of_an_ended_claim_do_not_hold_the_key() {
    let mut world = World::new(1, QUIET);
    let key = world.plain_key(1);
    let (attempt, _) = world.ask(0, key);
    world.nodes[0]
        .claims
        .end_attempt(world.now, attempt, KeyStatus::Granted);
    world.steps(STEP * 20);
    // Its agent is gone, so nobody corrects a replica that takes the copy.
    world.nodes[0] = world.start_node(0, 2);
    for node in &mut world.nodes[1..] {
        let copy = Message::Claim {
            key,
            attempt: attempt.0,
        };
        node.claims.on_message(world.now, id(0), &copy);
    }
    world.steps(STEP * 5);
    assert_eq!(world.ask(1, key).1, Decision::Granted);
}

#[test]
fn a_data_centre_out_takes_no_key_with_it() {
    for out in ["east", "west", "north"] {
        let mut world = World::new(1, QUIET);
        let served: Vec<ClaimKey> = (0..50).map(|n| world.plain_key(n)).collect();
        for key in &served {
            let (attempt, _) = world.ask(0, *key);
            world.nodes[0]
                .claims
                .end_attempt(world.now, attempt, KeyStatus::Served);
        }
        world.steps(STEP * 20);
        let mut changed = members(MEMBERS, &world.policy);
        for m in &mut changed {
            m.reachable = &*m.data_centre != out;
        }
        let there = changed.iter().find(|m| m.reachable).unwrap().id;
        let i = (0..MEMBERS).find(|i| id(*i) == there).unwrap();
        world.install(changed);
        for key in &served {
            assert_eq!(world.ask(i, *key).1, Decision::Served);
        }
        for n in 100..150 {
            assert_eq!(world.ask(i, world.plain_key(n)).1, Decision::Granted);
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
    world.steps(Duration::from_secs(6));
    assert_eq!(world.ask(0, early).1, Decision::Unknown);
    assert_eq!(world.ask(0, world.plain_key(2)).1, Decision::Unknown);
    assert_eq!(world.ask(0, world.dated_key(3)).1, Decision::Granted);
    world.now = world.now + world.policy.key_retention;
    assert_eq!(world.ask(0, world.plain_key(2)).1, Decision::Granted);
}

#[test]
fn keys_are_bounded_and_forgotten_after_their_time() {
    let mut world = World::new(1, QUIET);
    let mut granted = Vec::new();
    for n in 0..1500 {
        let key = world.plain_key(n);
        if let (attempt, Decision::Granted) = world.ask(0, key) {
            world.nodes[0]
                .claims
                .end_attempt(world.now, attempt, KeyStatus::Served);
            granted.push(key);
        }
    }
    // Full replicas refuse new keys and forget none that they know.
    let kept = world
        .nodes
        .iter()
        .map(|n| n.claims.replica_key_count())
        .max();
    assert_eq!(kept.unwrap(), KEY_LIMIT);
    assert!(granted.len() < 1500);
    for key in granted.iter().take(20) {
        assert_eq!(world.ask(1, *key).1, Decision::Served);
    }
    world.now = world.now + world.policy.key_retention;
    world.steps(STEP * 5);
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
        let (attempt, _) = world.ask(i, world.dated_key(n));
        world.nodes[i]
            .claims
            .end_attempt(world.now, attempt, KeyStatus::Served);
    }
    world.steps(Duration::from_secs(1));
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
    world.steps(Duration::from_secs(6));
    assert_eq!(world.ask(0, early).1, Decision::Unknown);
    assert_eq!(world.ask(0, world.plain_key(2)).1, Decision::Unknown);
    assert_eq!(world.ask(0, world.dated_key(3)).1, Decision::Granted);
    world.now = world.now + world.policy.key_retention;
    assert_eq!(world.ask(0, world.plain_key(2)).1, Decision::Granted);
}

#[test]
fn an_agent_knows_nothing_at_the_first_moment_of_its_clock() {
    let mut world = World::new(1, QUIET);
    world.now = Millis(0);
    for i in 0..MEMBERS {
        world.nodes[i] = world.start_node(i, 2);
    }
    assert_eq!(world.ask(0, world.plain_key(1)).1, Decision::Unknown);
    assert_eq!(world.ask(0, world.dated_key(2)).1, Decision::Unknown);
}

//! Injects random faults, determined by a seed. Each lasts for a while until its
//! recovery; several may overlap.

use std::time::Duration;
use std::time::Instant;

use ramp_coordination::random::Random;

use crate::callers::record_missing;
use crate::fake_store::StoreBehavior;
use crate::fake_store::StoreCopy;
use crate::fleet::AGENTS;
use crate::fleet::BALANCERS;
use crate::fleet::Fleet;
use crate::fleet::entry_key;
use crate::fleet::run_until;
use crate::proxy::Mode;
use crate::record::DisruptionId;
use crate::record::STORE;

/// Maximum pause between the starts of two faults.
const MAX_FAULT_GAP_MS: u64 = 700;

/// A restoration of the store begins with one in this many other faults, unless one
/// is active.
const RESTORATION_ONE_IN: u64 = 3;

/// Minimum age of the copy, so that a drain that it lacks was read by the processes.
const MIN_COPY_AGE_MS: u64 = 2200;

/// Time for which a server drains before it is replaced.
const DRAIN_DURATION: Duration = Duration::from_millis(3400);

/// Action that ends a fault.
#[derive(Clone, Debug)]
enum Recovery {
    /// Start a process that was killed.
    Start(usize),
    /// Resume a process that got SIGSTOP.
    Resume(usize),
    /// Start a process that got SIGTERM, once it has exited.
    StartAfterExit(usize),
    /// Let the node's connections work again.
    RestoreConnections(usize),
    RestoreStore,
    /// Write the records of servers that lapsed.
    Relist(Vec<usize>),
    /// Stop a server that drained and start another in its place.
    Replace(usize),
    /// Start a server that crashed.
    Restart(usize),
    EndEvacuation(&'static str),
    RestoreRouters,
    /// Make the store unavailable before it is restored from the copy.
    BeginRestoration(Option<usize>),
    /// Restore the store from the copy, which lacks the record of this server.
    RestoreFromCopy(Option<usize>),
    /// Write again what the restoration has lost.
    Rewrite(Option<usize>),
}

struct ScheduledRecovery {
    at: Instant,
    recovery: Recovery,
    disruptions: Vec<DisruptionId>,
}

/// Injects the faults of one run and schedules their recoveries.
pub struct Faults {
    random: Random,
    scheduled: Vec<ScheduledRecovery>,
    evacuated: bool,
    store_failing: bool,
    /// Servers with an active fault.
    busy_servers: [bool; AGENTS],
    restorations: Option<Restorations>,
}

/// Restorations of the store from a stale copy.
struct Restorations {
    /// Separate, so that the other faults of a seed are the same without them.
    random: Random,
    /// Copy from which the store is restored next, while a restoration is active.
    copy: Option<StoreCopy>,
}

impl Faults {
    pub fn new(seed: u64, with_restorations: bool) -> Faults {
        Faults {
            random: Random::new(seed),
            scheduled: Vec::new(),
            evacuated: false,
            store_failing: false,
            busy_servers: [false; AGENTS],
            restorations: with_restorations.then(|| Restorations {
                random: Random::new(!seed),
                copy: None,
            }),
        }
    }

    /// Injects faults for `duration`, then waits until all of them have ended.
    pub fn run(&mut self, fleet: &mut Fleet, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            self.inject_fault(fleet);
            self.inject_restoration(fleet);
            let gap = Duration::from_millis(self.random.below(MAX_FAULT_GAP_MS));
            self.run_until_due(fleet, Instant::now() + gap);
        }
        while let Some(last) = self.scheduled.iter().map(|d| d.at).max() {
            self.run_until_due(fleet, last + Duration::from_millis(50));
        }
    }

    fn run_until_due(&mut self, fleet: &mut Fleet, end: Instant) {
        loop {
            let next = self.scheduled.iter().map(|d| d.at).min().unwrap_or(end);
            run_until(fleet, next.min(end));
            if next > end {
                return;
            }
            let Some(at) = self.scheduled.iter().position(|d| d.at <= next) else {
                return;
            };
            let scheduled = self.scheduled.swap_remove(at);
            self.recover(fleet, scheduled);
        }
    }

    fn inject_fault(&mut self, fleet: &mut Fleet) {
        match self.random.below(14) {
            0 | 1 => self.kill(fleet),
            2 | 3 => self.pause(fleet),
            4 => self.terminate(fleet),
            5 => self.reload(fleet),
            6 => self.disturb_connections(fleet),
            7 => self.disturb_store(fleet),
            8 => self.lapse(fleet),
            9 => self.drain(fleet),
            10 => self.crash(fleet),
            11 => self.evacuate(fleet),
            12 => self.disturb_routers(fleet),
            _ => {
                fleet.publish_configuration();
                log_event(fleet, "a new configuration");
            }
        }
    }

    fn kill(&mut self, fleet: &mut Fleet) {
        let Some(node) = self.idle_node(fleet) else {
            return;
        };
        log_event(fleet, &format!("kill {}", fleet.nodes[node].name));
        let disruption = begin(fleet, node);
        fleet.kill(node);
        self.schedule(50, 600, Recovery::Start(node), vec![disruption]);
    }

    fn pause(&mut self, fleet: &mut Fleet) {
        let Some(node) = self.idle_node(fleet) else {
            return;
        };
        log_event(fleet, &format!("pause {}", fleet.nodes[node].name));
        let disruption = begin(fleet, node);
        fleet.send_signal(node, "-STOP");
        self.schedule(100, 2000, Recovery::Resume(node), vec![disruption]);
    }

    fn terminate(&mut self, fleet: &mut Fleet) {
        let Some(node) = self.idle_node(fleet) else {
            return;
        };
        log_event(fleet, &format!("ask {} to end", fleet.nodes[node].name));
        let disruption = begin(fleet, node);
        fleet.send_signal(node, "-TERM");
        self.schedule(200, 201, Recovery::StartAfterExit(node), vec![disruption]);
    }

    fn reload(&mut self, fleet: &mut Fleet) {
        let Some(node) = self.idle_node(fleet) else {
            return;
        };
        log_event(fleet, &format!("ask {} to reload", fleet.nodes[node].name));
        fleet.nodes[node].busy = false;
        fleet.send_signal(node, "-HUP");
    }

    fn disturb_connections(&mut self, fleet: &mut Fleet) {
        let Some(node) = self.idle_node(fleet) else {
            return;
        };
        let modes = [
            Mode::Delay(20 + self.random.below(300)),
            Mode::DropReplies,
            Mode::DropAll,
            Mode::Disconnect,
        ];
        let mode = modes[self.random.below(modes.len() as u64) as usize];
        let scope = self.random.below(3);
        let node_name = fleet.nodes[node].name.clone();
        log_event(fleet, &format!("{mode:?} for connections of {node_name}"));
        let disruption = begin(fleet, node);
        if scope != 0 {
            fleet.nodes[node].store_switch.set(mode);
        }
        if scope != 1 {
            fleet.nodes[node].feed_switch.set(mode);
        }
        self.schedule(
            300,
            3000,
            Recovery::RestoreConnections(node),
            vec![disruption],
        );
    }

    fn disturb_store(&mut self, fleet: &mut Fleet) {
        if self.store_failing {
            return;
        }
        if self.random.below(3) == 0 {
            log_event(fleet, "the store discards its history");
            return fleet.store.discard_history();
        }
        let disruption = self.start_store_failure(fleet);
        self.schedule(300, 3000, Recovery::RestoreStore, vec![disruption]);
    }

    fn start_store_failure(&mut self, fleet: &mut Fleet) -> DisruptionId {
        let behaviors = [
            StoreBehavior::Status(503),
            StoreBehavior::Status(429),
            StoreBehavior::NoAnswer,
            StoreBehavior::TruncatedAnswer,
            StoreBehavior::InvalidJson,
        ];
        let behavior = behaviors[self.random.below(behaviors.len() as u64) as usize];
        log_event(fleet, &format!("the store: {behavior:?}"));
        self.store_failing = true;
        fleet.store.set_behavior(behavior);
        fleet.record.lock().unwrap().begin(STORE)
    }

    /// The store fails and records lapse; the servers write them again after the
    /// store has recovered.
    fn lapse(&mut self, fleet: &mut Fleet) {
        if self.store_failing {
            return;
        }
        let disruption = self.start_store_failure(fleet);
        let one_in = 1 + self.random.below(3);
        let mut lapsed: Vec<usize> = (0..AGENTS).filter(|n| !self.busy_servers[*n]).collect();
        lapsed.retain(|_| self.random.below(one_in) == 0);
        log_event(fleet, &format!("records of servers {lapsed:?} lapse"));
        let mut disruptions = Vec::new();
        for server in &lapsed {
            let agent = fleet.nodes[BALANCERS + server].name.clone();
            disruptions.push(fleet.record.lock().unwrap().begin(&record_missing(&agent)));
            fleet.remove_record(*server);
            self.busy_servers[*server] = true;
        }
        let away_ms = 500 + self.random.below(1500);
        self.schedule(
            away_ms,
            away_ms + 1,
            Recovery::RestoreStore,
            vec![disruption],
        );
        self.schedule(
            away_ms,
            away_ms + 1500,
            Recovery::Relist(lapsed),
            disruptions,
        );
    }

    fn drain(&mut self, fleet: &mut Fleet) {
        let Some(server) = self.idle_server() else {
            return;
        };
        let extra_ms = self.random.below(1500);
        self.start_drain(fleet, server, extra_ms);
    }

    fn start_drain(&mut self, fleet: &mut Fleet, server: usize, extra_ms: u64) {
        log_event(fleet, &format!("server {server} drains"));
        self.busy_servers[server] = true;
        fleet.write_server(server, "draining");
        fleet.servers[server].lock().unwrap().draining_since = Some(Instant::now());
        let drain_ms = DRAIN_DURATION.as_millis() as u64;
        self.schedule_after(drain_ms + extra_ms, Recovery::Replace(server), Vec::new());
    }

    fn crash(&mut self, fleet: &mut Fleet) {
        let Some(server) = self.idle_server() else {
            return;
        };
        log_event(fleet, &format!("server {server} crashes"));
        self.busy_servers[server] = true;
        fleet.servers[server].lock().unwrap().crash();
        self.schedule(50, 1500, Recovery::Restart(server), Vec::new());
    }

    fn evacuate(&mut self, fleet: &mut Fleet) {
        if self.evacuated {
            return;
        }
        let zone = if self.random.below(2) == 0 {
            "west"
        } else {
            "east"
        };
        log_event(fleet, &format!("{zone} is evacuated"));
        self.evacuated = true;
        fleet.store.put(&format!("op/evacuate/{zone}"), "{}");
        set_evacuated(fleet, zone, Some(Instant::now()));
        self.schedule(2000, 7000, Recovery::EndEvacuation(zone), Vec::new());
    }

    fn disturb_routers(&mut self, fleet: &mut Fleet) {
        log_event(fleet, "the routers lose and duplicate packets");
        let mut routers = fleet.routers.lock().unwrap();
        routers.loss_per_mille = self.random.below(150);
        routers.duplicate_per_mille = self.random.below(150);
        drop(routers);
        self.schedule(300, 2000, Recovery::RestoreRouters, Vec::new());
    }

    /// Copies the store, which is restored from this copy a moment later. One server
    /// begins to drain after the copy, and in every second case the copy lacks
    /// another one, as if it had registered later.
    fn inject_restoration(&mut self, fleet: &mut Fleet) {
        let Some(restorations) = &mut self.restorations else {
            return;
        };
        if restorations.copy.is_some() || restorations.random.below(RESTORATION_ONE_IN) != 0 {
            return;
        }
        let random = &mut restorations.random;
        let mut idle: Vec<usize> = (0..AGENTS).filter(|n| !self.busy_servers[*n]).collect();
        let draining = random.pick(&idle).copied();
        idle.retain(|n| Some(*n) != draining);
        let missing = random.pick(&idle).copied();
        let missing = missing.filter(|_| random.below(2) == 0);
        let copy = fleet.store.copy();
        restorations.copy = Some(match missing {
            Some(server) => copy.without(&entry_key(server)),
            None => copy,
        });
        log_event(fleet, &format!("the store is copied without {missing:?}"));
        if let Some(server) = missing {
            self.busy_servers[server] = true;
        }
        let extra_ms = self.restoration_delay_ms(1500);
        if let Some(server) = draining {
            self.start_drain(fleet, server, extra_ms);
        }
        let delay_ms = MIN_COPY_AGE_MS + self.restoration_delay_ms(800);
        self.schedule_after(delay_ms, Recovery::BeginRestoration(missing), Vec::new());
    }

    /// Not a disruption that excuses anything: what was acknowledged before must
    /// remain in effect.
    fn begin_restoration(&mut self, fleet: &mut Fleet, missing: Option<usize>) {
        // Two failures of the store would end each other.
        if self.store_failing {
            let again = Recovery::BeginRestoration(missing);
            return self.schedule_after(100, again, Vec::new());
        }
        self.store_failing = true;
        fleet.store.set_behavior(StoreBehavior::Status(503));
        let away_ms = 200 + self.restoration_delay_ms(300);
        self.schedule_after(away_ms, Recovery::RestoreFromCopy(missing), Vec::new());
    }

    fn restore_from_copy(&mut self, fleet: &mut Fleet, missing: Option<usize>) {
        if let Some(copy) = self.restorations.as_ref().and_then(|r| r.copy.as_ref()) {
            fleet.store.restore(copy);
        }
        fleet.store.set_behavior(StoreBehavior::Normal);
        self.store_failing = false;
        for server in &fleet.servers {
            server.lock().unwrap().end_deadlines(Instant::now());
        }
        let agent = missing.map(|server| fleet.nodes[BALANCERS + server].name.clone());
        let missing_record = agent.map(|agent| record_missing(&agent));
        let mut record = fleet.record.lock().unwrap();
        let disruptions = missing_record.map(|target| record.begin(&target));
        drop(record);
        let delay_ms = 200 + self.restoration_delay_ms(1400);
        let disruptions = disruptions.into_iter().collect();
        self.schedule_after(delay_ms, Recovery::Rewrite(missing), disruptions);
    }

    /// The operator and the servers write what is true now.
    fn rewrite(&mut self, fleet: &mut Fleet, missing: Option<usize>) {
        fleet.write_configuration();
        for zone in ["west", "east"] {
            let is_evacuated = |s: &ScheduledRecovery| matches!(s.recovery, Recovery::EndEvacuation(z) if z == zone);
            if self.scheduled.iter().any(is_evacuated) {
                fleet.store.put(&format!("op/evacuate/{zone}"), "{}");
            } else {
                fleet.store.remove(&format!("op/evacuate/{zone}"));
            }
        }
        for server in 0..AGENTS {
            let state = fleet.servers[server].lock().unwrap();
            let (alive, drains) = (state.alive, state.draining_since.is_some());
            drop(state);
            if alive {
                fleet.write_server(server, if drains { "draining" } else { "ready" });
            }
        }
        if let Some(server) = missing {
            self.busy_servers[server] = false;
        }
        if let Some(restorations) = &mut self.restorations {
            restorations.copy = None;
        }
    }

    fn restoration_delay_ms(&mut self, max_ms: u64) -> u64 {
        let restorations = self.restorations.as_mut();
        restorations.map_or(0, |r| r.random.below(max_ms))
    }

    fn recover(&mut self, fleet: &mut Fleet, scheduled: ScheduledRecovery) {
        match &scheduled.recovery {
            Recovery::Start(node) => {
                fleet.start_node(*node);
                fleet.nodes[*node].busy = false;
            }
            Recovery::Resume(node) => {
                fleet.send_signal(*node, "-CONT");
                fleet.nodes[*node].busy = false;
            }
            Recovery::StartAfterExit(node) if !fleet.has_ended(*node) => {
                let at = Instant::now() + Duration::from_millis(100);
                self.scheduled.push(ScheduledRecovery { at, ..scheduled });
                return;
            }
            Recovery::StartAfterExit(node) => {
                fleet.start_node(*node);
                fleet.nodes[*node].busy = false;
            }
            Recovery::RestoreConnections(node) => {
                fleet.nodes[*node].store_switch.set(Mode::Pass);
                fleet.nodes[*node].feed_switch.set(Mode::Pass);
                fleet.nodes[*node].busy = false;
            }
            Recovery::RestoreStore => {
                fleet.store.set_behavior(StoreBehavior::Normal);
                self.store_failing = false;
            }
            Recovery::Relist(lapsed) => {
                for server in lapsed {
                    fleet.write_server(*server, "ready");
                    self.busy_servers[*server] = false;
                }
            }
            Recovery::Replace(server) | Recovery::Restart(server) => {
                let clock_off_ms = self.random.below(4000) as i64 - 2000;
                fleet.servers[*server].lock().unwrap().restart();
                fleet.remove_record(*server);
                fleet.restart_server(*server, clock_off_ms);
                fleet.write_server(*server, "ready");
                self.busy_servers[*server] = false;
            }
            Recovery::EndEvacuation(zone) => {
                fleet.store.remove(&format!("op/evacuate/{zone}"));
                set_evacuated(fleet, zone, None);
                self.evacuated = false;
            }
            Recovery::RestoreRouters => {
                let mut routers = fleet.routers.lock().unwrap();
                routers.loss_per_mille = 0;
                routers.duplicate_per_mille = 0;
            }
            Recovery::BeginRestoration(missing) => self.begin_restoration(fleet, *missing),
            Recovery::RestoreFromCopy(missing) => self.restore_from_copy(fleet, *missing),
            Recovery::Rewrite(missing) => self.rewrite(fleet, *missing),
        }
        log_event(fleet, &format!("done: {:?}", scheduled.recovery));
        let mut record = fleet.record.lock().unwrap();
        for disruption in scheduled.disruptions {
            record.end(disruption);
        }
    }

    fn schedule(
        &mut self,
        min_ms: u64,
        max_ms: u64,
        recovery: Recovery,
        disruptions: Vec<DisruptionId>,
    ) {
        let ms = min_ms + self.random.below(max_ms - min_ms);
        self.schedule_after(ms, recovery, disruptions);
    }

    fn schedule_after(&mut self, ms: u64, recovery: Recovery, disruptions: Vec<DisruptionId>) {
        let at = Instant::now() + Duration::from_millis(ms);
        self.scheduled.push(ScheduledRecovery {
            at,
            recovery,
            disruptions,
        });
    }

    /// Picks a node without an active fault and marks it as busy.
    fn idle_node(&mut self, fleet: &mut Fleet) -> Option<usize> {
        let idle = (0..fleet.nodes.len()).filter(|n| !fleet.nodes[*n].busy);
        let idle: Vec<usize> = idle.collect();
        let node = *self.random.pick(&idle)?;
        fleet.nodes[node].busy = true;
        Some(node)
    }

    /// Picks a server without an active fault.
    fn idle_server(&mut self) -> Option<usize> {
        let idle = (0..AGENTS).filter(|n| !self.busy_servers[*n]);
        let idle: Vec<usize> = idle.collect();
        self.random.pick(&idle).copied()
    }
}

fn begin(fleet: &Fleet, node: usize) -> DisruptionId {
    fleet.record.lock().unwrap().begin(&fleet.nodes[node].name)
}

fn log_event(fleet: &Fleet, what: &str) {
    fleet.record.lock().unwrap().log_event(what);
}

fn set_evacuated(fleet: &Fleet, zone: &str, since: Option<Instant>) {
    for server in fleet.servers_in(zone) {
        fleet.servers[server].lock().unwrap().evacuated_since = since;
    }
}

//! Injects random faults, determined by a seed. Each lasts for a while until its
//! recovery; several may overlap.

use std::time::Duration;
use std::time::Instant;

use ramp_coordination::random::Random;

use crate::callers::record_missing;
use crate::fake_store::StoreBehavior;
use crate::fleet::AGENTS;
use crate::fleet::BALANCERS;
use crate::fleet::Fleet;
use crate::fleet::run_until;
use crate::proxy::Mode;
use crate::record::DisruptionId;
use crate::record::STORE;

/// Maximum pause between the starts of two faults.
const MAX_FAULT_GAP_MS: u64 = 700;

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
}

impl Faults {
    pub fn new(seed: u64) -> Faults {
        Faults {
            random: Random::new(seed),
            scheduled: Vec::new(),
            evacuated: false,
            store_failing: false,
            busy_servers: [false; AGENTS],
        }
    }

    /// Injects faults for `duration`, then waits until all of them have ended.
    pub fn run(&mut self, fleet: &mut Fleet, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            self.inject_fault(fleet);
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
        log_event(fleet, &format!("server {server} drains"));
        self.busy_servers[server] = true;
        fleet.write_server(server, "draining");
        fleet.servers[server].lock().unwrap().draining_since = Some(Instant::now());
        let drain_ms = DRAIN_DURATION.as_millis() as u64;
        self.schedule(
            drain_ms,
            drain_ms + 1500,
            Recovery::Replace(server),
            Vec::new(),
        );
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

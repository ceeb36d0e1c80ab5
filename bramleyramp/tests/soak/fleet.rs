//! The fleet of a soak run: real balancer and agent processes behind proxies, backend
//! servers, callers and routers, and the entries that operators and servers write into
//! the store.

use std::fs;
use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::process::Child;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::json;

use crate::callers::Callers;
use crate::callers::Routers;
use crate::fake_store::FakeStore;
use crate::harness::daemon_process;
use crate::harness::daemon_process::Ports;
use crate::harness::daemon_process::ProcessConfig;
use crate::harness::daemon_process::send_signal;
use crate::harness::daemon_process::wait_until;
use crate::proxy;
use crate::proxy::Switch;
use crate::record::Record;
use crate::servers;
use crate::servers::Server;

pub const BALANCERS: usize = 3;
pub const AGENTS: usize = 6;

/// Number of agents of the first service; the others serve the second.
const FIRST_SERVICE_AGENTS: usize = 4;
const SERVICES: [&str; 2] = ["voucher", "intake"];
const CALLER_COUNTS: [usize; 2] = [28, 12];

/// Interval of the routers' readiness probes, and the number of consecutive misses that
/// take a balancer out of rotation.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
const MAX_PROBE_MISSES: u32 = 2;

/// Start time of the initial servers, in Unix milliseconds: long ago, so that they do
/// not count as new.
const OLD_START_MS: u64 = 1_000;

/// A balancer or agent process and its connections.
pub struct Node {
    pub name: String,
    pub ip: Ipv4Addr,
    pub service: Option<&'static str>,
    pub store_switch: Switch,
    pub feed_switch: Switch,
    store: SocketAddrV4,
    readers: Vec<SocketAddrV4>,
    child: Option<Child>,
    /// Whether it has an active fault.
    pub busy: bool,
}

/// All processes, backend servers and test threads of a run.
pub struct Fleet {
    pub store: FakeStore,
    pub nodes: Vec<Node>,
    pub servers: Vec<Server>,
    pub record: Arc<Mutex<Record>>,
    pub routers: Arc<Mutex<Routers>>,
    ports: Ports,
    /// Rate of every balancer's link, in Mbit/s; `None` if it is not limited.
    link_mbps: Option<u64>,
    dir: PathBuf,
    version: u64,
    boots: u64,
    /// Start time of each server by its own clock, in Unix milliseconds.
    born_ms: [u64; AGENTS],
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for child in self.nodes.iter_mut().filter_map(|n| n.child.as_mut()) {
            let _ = child.kill();
            let _ = child.wait();
        }
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        if self.record.lock().unwrap().violations.is_empty() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl Fleet {
    pub fn start(number: u8, seed: u64, link_mbps: Option<u64>) -> Fleet {
        let ports = Ports::pick();
        let dir = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
        fs::create_dir_all(&dir).unwrap();
        let record = Arc::new(Mutex::new(Record::new()));
        let store = FakeStore::start();
        let ip = |machine: usize| Ipv4Addr::new(127, 78, number, machine as u8);
        let balancers: Vec<Ipv4Addr> = (1..=BALANCERS).map(ip).collect();
        let mut fleet = Fleet {
            store,
            nodes: Vec::new(),
            servers: Vec::new(),
            record,
            routers: Arc::new(Mutex::new(Routers {
                in_rotation: vec![true; BALANCERS],
                balancers: balancers.clone(),
                loss_per_mille: 0,
                duplicate_per_mille: 0,
            })),
            ports,
            link_mbps,
            dir,
            version: 1,
            boots: 0,
            born_ms: [OLD_START_MS; AGENTS],
            stop: Arc::new(AtomicBool::new(false)),
            threads: Vec::new(),
        };
        fleet.publish_configuration();
        for (n, ip) in balancers.iter().enumerate() {
            fleet.add_node(format!("balancer-{}", n + 1), *ip, None, &balancers);
        }
        for n in 0..AGENTS {
            let first = n < FIRST_SERVICE_AGENTS;
            let service = SERVICES[usize::from(!first)];
            let name = format!("agent-{}", n + 1);
            let ip = ip(11 + n);
            let address = address_of(service);
            let server = servers::start(ip, ports, &name, service, address, &fleet.record);
            fleet.servers.push(server);
            fleet.add_node(name, ip, Some(service), &balancers);
            fleet.write_server(n, "ready");
        }
        for node in 0..fleet.nodes.len() {
            fleet.start_node(node);
        }
        for node in &fleet.nodes {
            wait_until("a process is ready", || {
                daemon_process::is_ready(node.ip, ports)
            });
        }
        fleet.start_readiness_probes();
        fleet.start_callers(ip(250), seed);
        fleet
    }

    fn add_node(
        &mut self,
        name: String,
        ip: Ipv4Addr,
        service: Option<&'static str>,
        balancers: &[Ipv4Addr],
    ) {
        let link_mbps = self.link_mbps.filter(|_| service.is_none());
        let (store_switch, feed_switch) = (Switch::new(link_mbps), Switch::new(link_mbps));
        let control = self.ports.control;
        let readers = balancers.iter().map(|balancer| {
            let target = SocketAddrV4::new(*balancer, control);
            // A balancer recognizes itself in the list by its own address, so that one
            // is not proxied.
            if *balancer == ip {
                return target;
            }
            proxy::start(target, &feed_switch)
        });
        let readers = readers.collect();
        self.nodes.push(Node {
            name,
            ip,
            service,
            store: proxy::start(self.store.address, &store_switch),
            store_switch,
            feed_switch,
            readers,
            child: None,
            busy: false,
        });
    }

    pub fn start_node(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        let log = self.dir.join(format!("{}.log", node.name));
        let out = File::options().create(true).append(true).open(log).unwrap();
        let config = ProcessConfig {
            name: &node.name,
            ip: node.ip,
            ports: self.ports,
            store: node.store,
            readers: &node.readers,
            service: node.service,
            link_mbps: self.link_mbps.filter(|_| node.service.is_none()),
        };
        node.child = Some(config.start(&self.dir, Stdio::from(out)));
    }

    pub fn send_signal(&self, node: usize, name: &str) {
        let child = self.nodes[node].child.as_ref();
        send_signal(child.expect("only a running process is signalled"), name);
    }

    /// Kills a process and waits until it has exited.
    pub fn kill(&mut self, node: usize) {
        let mut child = self.nodes[node].child.take().expect("it runs");
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Whether a process that got SIGTERM has exited; an unsuccessful exit status
    /// is a violation.
    pub fn has_ended(&mut self, node: usize) -> bool {
        let node = &mut self.nodes[node];
        let Some(child) = &mut node.child else {
            return true;
        };
        let Some(status) = child.try_wait().unwrap() else {
            return false;
        };
        node.child = None;
        if !status.success() {
            let what = format!("{} ended with {status}", node.name);
            self.record.lock().unwrap().add_violation(&what);
        }
        true
    }

    /// Records processes that exited on their own as violations.
    pub fn check_for_exits(&mut self) {
        for node in self.nodes.iter_mut().filter(|n| !n.busy) {
            let Some(child) = &mut node.child else {
                continue;
            };
            if let Some(status) = child.try_wait().unwrap() {
                node.child = None;
                let what = format!("{} exited on its own: {status}", node.name);
                self.record.lock().unwrap().add_violation(&what);
            }
        }
    }

    /// Publishes the next version of the configuration.
    pub fn publish_configuration(&mut self) {
        self.version += 3;
        self.write_configuration();
    }

    /// Writes the newest version of the configuration into the store.
    pub fn write_configuration(&self) {
        let routes = SERVICES.map(|service| {
            let address = address_of(service);
            json!({"Name": service, "Host": address.ip().to_string(),
                "Prefix": format!("/{}/", address.port()), "RouteType": "safe",
                "TimeoutMs": 1500 + self.version, "AimMs": 150, "Priority": 2, "Service": service})
        });
        let services =
            SERVICES.map(|service| json!({"Name": service, "ColdStartS": 1.0, "ColdPerS": 0.0}));
        let text = json!({"Version": self.version, "Routes": routes, "Services": services,
            "Limits": {"IdleTimeoutMs": 15000}});
        self.store.put("op/config", &text.to_string());
    }

    /// Sets the start time of a server to now, by a clock that is off by
    /// `clock_off_ms`.
    pub fn restart_server(&mut self, server: usize, clock_off_ms: i64) {
        self.boots += 1;
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now_ms = now.unwrap().as_millis() as u64;
        self.born_ms[server] = now_ms.saturating_add_signed(clock_off_ms);
    }

    /// Writes the record of a server into the store.
    pub fn write_server(&self, server: usize, state: &str) {
        let service = self.servers[server].lock().unwrap().service.clone();
        let ip = self.nodes[BALANCERS + server].ip;
        let entry = json!({"Service": service, "Address": format!("{ip}:{}", self.ports.server),
            "Zone": zone_of(server), "Version": "v1", "Slots": 8, "State": state,
            "ColdLeftMs": 0, "Sequence": self.boots, "born": self.born_ms[server]});
        self.store.put(&entry_key(server), &entry.to_string());
    }

    pub fn remove_record(&self, server: usize) {
        self.store.remove(&entry_key(server));
    }

    /// Servers of the data centre `zone`.
    pub fn servers_in(&self, zone: &str) -> Vec<usize> {
        (0..AGENTS).filter(|n| zone_of(*n) == zone).collect()
    }

    /// Starts a thread that probes the balancers' readiness and updates the
    /// rotation, as the routers do.
    fn start_readiness_probes(&mut self) {
        let (stop, routers, ports) = (
            Arc::clone(&self.stop),
            Arc::clone(&self.routers),
            self.ports,
        );
        let thread = thread::spawn(move || {
            let balancers = routers.lock().unwrap().balancers.clone();
            let mut misses = vec![0; balancers.len()];
            while !stop.load(Ordering::Relaxed) {
                for (n, ip) in balancers.iter().enumerate() {
                    misses[n] = if daemon_process::is_ready(*ip, ports) {
                        0
                    } else {
                        misses[n] + 1
                    };
                    routers.lock().unwrap().in_rotation[n] = misses[n] < MAX_PROBE_MISSES;
                }
                thread::sleep(PROBE_INTERVAL);
            }
        });
        self.threads.push(thread);
    }

    fn start_callers(&mut self, ip: Ipv4Addr, seed: u64) {
        let mut callers = Callers::new(
            ip,
            self.ports.data,
            Arc::clone(&self.routers),
            Arc::clone(&self.record),
            self.servers.clone(),
            seed,
        );
        for (service, count) in SERVICES.iter().zip(CALLER_COUNTS) {
            callers.add(address_of(service), count);
        }
        let stop = Arc::clone(&self.stop);
        let thread = thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                callers.poll();
            }
        });
        self.threads.push(thread);
    }

    /// Events of the run, and the directory of the processes' logs.
    pub fn event_log(&self) -> String {
        let record = self.record.lock().unwrap();
        format!("{}\nlogs: {}", record.events.join("\n"), self.dir.display())
    }
}

/// Lets the fleet run until `end`, and checks for processes that exit on their own.
pub fn run_until(fleet: &mut Fleet, end: Instant) {
    while Instant::now() < end {
        fleet.check_for_exits();
        thread::sleep(Duration::from_millis(20));
    }
}

pub fn zone_of(server: usize) -> &'static str {
    if server.is_multiple_of(2) {
        "west"
    } else {
        "east"
    }
}

fn address_of(service: &str) -> SocketAddrV4 {
    let last = if service == SERVICES[0] { 1 } else { 2 };
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, last), 443)
}

pub fn entry_key(server: usize) -> String {
    format!("servers/i-{server}")
}

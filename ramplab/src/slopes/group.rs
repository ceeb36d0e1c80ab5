//! Costs of a group's control traffic: the heartbeats between its members and the
//! digests that they send to balancers, in bytes per second, memory and time.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use ramp_coordination::group::AgentMembership;
use ramp_coordination::group::BalancerMembership;
use ramp_coordination::group::Output;
use ramp_protocol::auth::TAG_LEN_BYTES;
use ramp_protocol::codec;
use ramp_protocol::message::Envelope;
use ramp_protocol::message::Load;
use ramp_protocol::message::Message;
use ramp_state::fleet::Fleet;
use ramp_state::instances::Instance;
use ramp_state::instances::InstanceList;
use ramp_state::instances::InstanceState;
use ramp_state::instances::Role;
use ramp_state::key::Incarnation;
use ramp_state::key::InstanceId;
use ramp_state::key::Version;
use ramp_state::time::Millis;

use crate::heap;
use crate::slopes::Point;
use crate::slopes::Series;
use crate::slopes::SeriesKind;
use crate::slopes::best_time;
use crate::slopes::synthetic_fleet;

/// Length of the IP and UDP headers of a datagram, in bytes.
const HEADERS_LEN_BYTES: usize = 28;

/// Simulated time over which traffic is counted.
const SIMULATED_TIME: Duration = Duration::from_secs(40);

/// Simulated time between two ticks of each agent.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Group sizes at which heartbeats are measured.
const MEMBER_COUNTS: [usize; 4] = [6, 12, 18, 24];

/// Numbers of balancers at which an agent's traffic is measured.
const BALANCER_COUNTS: [usize; 4] = [80, 165, 330, 660];

/// Numbers of groups at which a balancer is measured.
const GROUP_COUNTS: [usize; 4] = [42, 85, 170, 340];

/// Measures the bytes per second of heartbeats and digests, and the memory and
/// time that they cost.
pub fn series() -> Vec<Series> {
    let by_members = MEMBER_COUNTS.map(|n| (n, run_group(n, 0)));
    let by_balancers =
        BALANCER_COUNTS.map(|n| (n, run_group(synthetic_fleet::TARGET_MEMBER_COUNT, n)));
    let by_groups = GROUP_COUNTS.map(|n| (n, run_balancer(n)));
    let member = |name, unit, kind, points| Series {
        name,
        unit,
        per: "member of the group",
        kind,
        points,
        target_size: synthetic_fleet::TARGET_MEMBER_COUNT as f64 + 1.0,
    };
    let balancer = |name, unit, kind, points| Series {
        name,
        unit,
        per: "balancer",
        kind,
        points,
        target_size: synthetic_fleet::TARGET_BALANCER_COUNT as f64,
    };
    let group = |name, unit, kind, points| Series {
        name,
        unit,
        per: "group",
        kind,
        points,
        target_size: synthetic_fleet::TARGET_GROUP_COUNT as f64,
    };
    vec![
        member(
            "heartbeats an agent sends",
            "B/s",
            SeriesKind::Count,
            points(&by_members, |r| r.bytes_per_s),
        ),
        member(
            "membership of an agent",
            "B",
            SeriesKind::Count,
            points(&by_members, |r| r.held_bytes),
        ),
        balancer(
            "heartbeats and digests an agent sends, 12 members",
            "B/s",
            SeriesKind::Count,
            points(&by_balancers, |r| r.bytes_per_s),
        ),
        group(
            "digests a balancer receives",
            "B/s",
            SeriesKind::Count,
            points(&by_groups, |r| r.bytes_per_s),
        ),
        group(
            "membership of a balancer",
            "B",
            SeriesKind::Count,
            points(&by_groups, |r| r.held_bytes),
        ),
        group(
            "all digests taken once by a balancer",
            "us",
            SeriesKind::Time,
            points(&by_groups, |r| r.time_us),
        ),
    ]
}

/// Measurements of one run; those that a run does not take are zero.
#[derive(Clone, Copy, Debug, Default)]
struct Run {
    bytes_per_s: f64,
    held_bytes: f64,
    time_us: f64,
}

fn points(runs: &[(usize, Run)], of: impl Fn(&Run) -> f64) -> Vec<Point> {
    runs.iter()
        .map(|(n, run)| Point {
            x: *n as f64,
            y: of(run),
        })
        .collect()
}

/// Simulates the agents of one group with this many balancers. The bytes are those
/// of the agent that sends most, the memory is the mean of all agents.
fn run_group(members: usize, balancers: usize) -> Run {
    let fleet = Arc::new(synthetic_fleet::fleet(1, members));
    let list = instance_list(&fleet, balancers);
    let names: Vec<String> = fleet.servers.keys().cloned().collect();
    let (mut agents, used) = heap::measure(|| {
        let start = |name: &String| start_agent(name, &fleet, &list);
        names.iter().map(start).collect::<Vec<_>>()
    });
    let index_by_address: HashMap<SocketAddrV4, usize> = fleet
        .servers
        .values()
        .enumerate()
        .map(|(i, server)| (server.control, i))
        .collect();
    let mut bytes = vec![0; members];
    let mut sequence = 0;
    let ticks = SIMULATED_TIME.as_millis() / TICK_INTERVAL.as_millis();
    for tick in 0..ticks as u64 {
        let now = Millis(tick * TICK_INTERVAL.as_millis() as u64);
        for i in 0..members {
            agents[i].tick(now);
            for output in agents[i].take_outputs().collect::<Vec<_>>() {
                let Output::Send { to, message } = output else {
                    continue;
                };
                sequence += 1;
                let envelope = envelope(&names[i], sequence, message);
                bytes[i] += datagram_len_bytes(&envelope);
                if let Some(peer) = index_by_address.get(&to) {
                    agents[*peer].on_message(now, &envelope);
                }
            }
        }
    }
    let most = bytes.into_iter().max().unwrap_or_default();
    Run {
        bytes_per_s: most as f64 / SIMULATED_TIME.as_secs_f64(),
        held_bytes: used.held_bytes as f64 / members as f64,
        time_us: 0.0,
    }
}

fn start_agent(name: &str, fleet: &Arc<Fleet>, list: &InstanceList) -> AgentMembership {
    let mut agent = AgentMembership::new(name);
    agent.install(Millis(0), Arc::clone(fleet));
    agent.install_instances(Millis(0), list);
    agent.set_load(Millis(0), Load::default());
    agent
}

/// Measures a balancer that receives one digest of each group.
fn run_balancer(groups: usize) -> Run {
    let fleet = Arc::new(synthetic_fleet::fleet(
        groups,
        synthetic_fleet::TARGET_MEMBER_COUNT,
    ));
    let messages: Vec<Envelope> = (0..groups).map(digest).collect();
    let (mut balancer, used) = heap::measure(|| {
        let mut balancer = BalancerMembership::new();
        balancer.install(Millis(0), Arc::clone(&fleet));
        balancer
    });
    let mut sequence = 1;
    let time = best_time(|| {
        sequence += 1;
        for message in &messages {
            let buf = codec::encode(message);
            let mut message = codec::decode(&buf).expect("it was just encoded");
            message.sequence = sequence;
            balancer.on_message(Millis(sequence), &message);
        }
        balancer.tick(Millis(sequence));
    });
    let bytes: usize = messages.iter().map(datagram_len_bytes).sum();
    Run {
        bytes_per_s: bytes as f64 / DIGEST_PERIOD.as_secs_f64(),
        held_bytes: used.held_bytes as f64,
        time_us: time.as_micros() as f64,
    }
}

/// Interval between two digests of a group to the same balancer.
const DIGEST_PERIOD: Duration = Duration::from_secs(4);

fn digest(group: usize) -> Envelope {
    let service = ramp_state::key::ServiceId::of(&format!("s{group}"));
    let message = Message::Digest {
        service,
        config: Version(1),
        dead: Vec::new(),
    };
    envelope(&format!("s{group}-0"), 1, message)
}

fn envelope(sender: &str, sequence: u64, message: Message) -> Envelope {
    Envelope {
        sender: InstanceId::of(sender),
        incarnation: Incarnation(1),
        sequence,
        message,
    }
}

/// Length of the datagram with its headers and authentication tag, in bytes.
fn datagram_len_bytes(envelope: &Envelope) -> usize {
    codec::encode(envelope).len() + TAG_LEN_BYTES + HEADERS_LEN_BYTES
}

/// Instance list of the fleet's agents and this many balancers.
fn instance_list(fleet: &Fleet, balancers: usize) -> InstanceList {
    let mut list = InstanceList {
        version: Version(1),
        ..InstanceList::default()
    };
    for (name, server) in &fleet.servers {
        let instance = Instance {
            role: Role::Agent,
            data_centre: server.data_centre.clone(),
            address: server.agent,
            control: server.control,
            state: InstanceState::Live,
        };
        list.instances.insert(name.clone(), instance);
    }
    for n in 0..balancers {
        let ip = std::net::Ipv4Addr::from(0x7f60_0000 + n as u32);
        let instance = Instance {
            role: Role::Balancer,
            data_centre: "dc0".to_string(),
            address: SocketAddrV4::new(ip, 7000),
            control: SocketAddrV4::new(ip, 7001),
            state: InstanceState::Live,
        };
        list.instances.insert(format!("b{n}"), instance);
    }
    list
}

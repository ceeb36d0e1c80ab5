//! Fleets, group snapshots and packets for the benchmarks.

#![allow(dead_code, reason = "each bench uses a part")]

use std::collections::HashSet;
use std::fmt::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use ramp_coordination::flows::Action;
use ramp_coordination::flows::Arrival;
use ramp_coordination::flows::FlowRouter;
use ramp_coordination::group_snapshot::GroupSnapshot;
use ramp_protocol::message::Load;
use ramp_protocol::message::Warmth;
use ramp_protocol::packet::Segment;
use ramp_state::fleet::Fleet;
use ramp_state::key::FlowKey;
use ramp_state::key::InstanceId;
use ramp_state::key::Version;
use ramp_state::routing_table::Group;
use ramp_state::routing_table::Member;
use ramp_state::routing_table::RoutingTable;
use ramp_state::time::Millis;

/// Services of the fleet.
pub const GROUPS: usize = 340;

/// Servers of each service.
pub const MEMBERS: usize = 12;

/// How a packet arrives from a balancer.
pub const ARRIVAL: Arrival = Arrival {
    sender: None,
    hops: 1,
    to_owner: false,
};

/// Agent that is benchmarked.
pub const ME: &str = "s0-0";

/// Another agent of its group.
pub const PEER: &str = "s0-1";

const DATA_CENTRES: usize = 8;

/// Initial sequence number of all flows.
const ISN: u32 = 1_000;

/// Fleet of `groups` services with [`MEMBERS`] servers each.
pub fn fleet(groups: usize) -> Fleet {
    let mut text = String::from("[defaults]\nslots = 5\nconnections = 100000\n");
    for dc in 0..DATA_CENTRES {
        let _ = write!(text, "[data-centre dc{dc}]\nregion = r\nstate = in\n");
    }
    for group in 0..groups {
        let service = service(group);
        let _ = write!(text, "[service s{group}]\naddress = {service}\n");
        for member in 0..MEMBERS {
            let number = group * MEMBERS + member;
            let ip = Ipv4Addr::from(0x7f40_0000 + number as u32);
            let _ = write!(
                text,
                "[server s{group}-{member}]\nservice = s{group}\ndata_centre = dc{}\n\
                 agent = {ip}:7000\ncontrol = {ip}:7001\nstate = in\n",
                number % DATA_CENTRES
            );
        }
    }
    Fleet::parse(Version(1), &text).expect("the text is well-formed")
}

/// Address of service number `group`.
pub fn service(group: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0x0a50_0000 + group as u32), 80)
}

/// Group of the first service.
pub fn group() -> Arc<Group> {
    let routing_table = RoutingTable::compile(&fleet(1), &HashSet::new());
    Arc::clone(routing_table.group(service(0)).expect("the only service"))
}

/// Snapshot of this group, with all members warm and idle.
pub fn snapshot(group: Arc<Group>) -> Arc<GroupSnapshot> {
    let load = |m: &Member| Load {
        slots: m.policy.slots,
        warmth: Warmth::Warm,
        ..Load::default()
    };
    Arc::new(GroupSnapshot {
        version: Version(1),
        latest: Version(1),
        loads: group.members.iter().map(|m| (m.id, load(m))).collect(),
        group,
        gone: HashSet::new(),
    })
}

/// Keys of `flows` flows whose home is [`ME`], each of another caller.
pub fn keys(group: &Group, flows: usize) -> Vec<FlowKey> {
    let me = InstanceId::of(ME);
    let is_mine = |key: &FlowKey| group.home(key.hash64()).is_some_and(|m| m.id == me);
    (0..).map(key).filter(is_mine).take(flows).collect()
}

/// Router of an agent that knows its group and has no flows.
pub fn agent(group: &Arc<Group>) -> FlowRouter {
    let mut router = FlowRouter::new(InstanceId::of(ME), 1);
    router.install(Millis(0), snapshot(Arc::clone(group)));
    router
}

/// Router of an agent that owns open flows with these keys.
pub fn owner(group: &Arc<Group>, keys: &[FlowKey]) -> FlowRouter {
    let mut router = agent(group);
    let as_owner = Arrival {
        to_owner: true,
        ..ARRIVAL
    };
    for key in keys {
        let action = router.on_packet(Millis(0), as_owner, &opening_segment(*key));
        assert_eq!(action, Action::Open);
        router.on_syn_ack_sent(Millis(0), *key, ISN);
        let action = router.on_packet(Millis(0), ARRIVAL, &later_segment(*key));
        assert_eq!(action, Action::Deliver);
    }
    router.take_outbox().for_each(drop);
    router
}

/// Opening segment (SYN) of a flow.
pub fn opening_segment(key: FlowKey) -> Segment {
    Segment {
        opens: true,
        syn: true,
        has_ack: false,
        ..later_segment(key)
    }
}

/// Later segment of a flow, without data.
pub fn later_segment(key: FlowKey) -> Segment {
    Segment {
        key,
        seq: 1,
        ack: ISN + 1,
        len: 0,
        opens: false,
        syn: false,
        has_ack: true,
        rst: false,
        fin: false,
        opening_age: Duration::ZERO,
    }
}

fn key(n: u32) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::from(0x0ac8_0000 + n), 10_000),
        service: service(0),
    }
}

//! Groups of agents for the tests of requests and claims.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::HashSet;
use std::sync::Arc;

use indexmap::IndexMap;
use ramp_coordination::group_snapshot::GroupSnapshot;
use ramp_protocol::message::Load;
use ramp_protocol::message::Warmth;
use ramp_state::fleet::Policy;
use ramp_state::fleet::ServerState;
use ramp_state::key::InstanceId;
use ramp_state::key::ServiceId;
use ramp_state::key::Version;
use ramp_state::routing_table::Group;
use ramp_state::routing_table::Member;

/// `count` members, spread over three data centres.
pub fn members(count: usize, policy: &Policy) -> Vec<Member> {
    const DATA_CENTRES: [&str; 3] = ["east", "west", "north"];
    let mut members: Vec<Member> = (0..count)
        .map(|i| Member {
            id: id(i),
            name: Arc::from(format!("ledger-{i}")),
            data_centre: Arc::from(DATA_CENTRES[i % DATA_CENTRES.len()]),
            agent: "127.0.0.1:1".parse().unwrap(),
            control: "127.0.0.1:2".parse().unwrap(),
            reachable: true,
            state: ServerState::In,
            alive: true,
            policy: Arc::new(policy.clone()),
        })
        .collect();
    members.sort_by_key(|m| m.id);
    members
}

pub fn id(i: usize) -> InstanceId {
    InstanceId::of(&format!("ledger-{i}"))
}

/// Snapshot with these members, all idle and warm.
pub fn snapshot(version: u64, members: Vec<Member>) -> GroupSnapshot {
    let load = |m: &Member| Load {
        slots: m.policy.slots,
        warmth: Warmth::Warm,
        ..Load::default()
    };
    GroupSnapshot {
        version: Version(version),
        latest: Version(version),
        loads: members
            .iter()
            .map(|m| (m.id, load(m)))
            .collect::<IndexMap<_, _>>(),
        group: Arc::new(Group {
            service: ServiceId::of("ledger"),
            name: Arc::from("ledger"),
            address: "192.0.2.1:80".parse().unwrap(),
            members,
        }),
        gone: HashSet::new(),
    }
}

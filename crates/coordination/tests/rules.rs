//! Rules of a single flow router, each tested in isolation.

mod common;

use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::sync::Arc;

use ramp_coordination::flows::Action;
use ramp_coordination::flows::Arrival;
use ramp_coordination::flows::DropReason;
use ramp_coordination::flows::FlowRouter;
use ramp_coordination::flows::Outgoing;
use ramp_coordination::flows::ResetReason;
use ramp_coordination::group_snapshot::GroupSnapshot;
use ramp_protocol::header::HOP_LIMIT;
use ramp_protocol::message::Load;
use ramp_protocol::message::Message;
use ramp_protocol::message::Ownership;
use ramp_state::fleet::DataCentreState;
use ramp_state::key::FlowKey;
use ramp_state::key::InstanceId;
use ramp_state::key::Version;
use ramp_state::routing_table::Group;
use ramp_state::time::Millis;

use common::SERVICE;
use common::fleet;
use common::later_segment;
use common::load;
use common::opening_segment;

const NOW: Millis = Millis(1_000);
const ISN: u32 = u32::MAX;
const FROM_BALANCER: Arrival = Arrival {
    sender: None,
    hops: 1,
    to_owner: false,
};

fn snapshot(change: impl FnOnce(&mut GroupSnapshot)) -> Arc<GroupSnapshot> {
    let group = Group::compile(&fleet(4), "ledger").expect("the service exists");
    let mut snapshot = GroupSnapshot {
        version: Version(1),
        latest: Version(1),
        group: Arc::new(group),
        loads: Default::default(),
        gone: HashSet::new(),
    };
    change(&mut snapshot);
    Arc::new(snapshot)
}

/// Router of the agent that is the home of `key`, and the ids of the other members.
fn router_at_home(key: FlowKey) -> (FlowRouter, Vec<InstanceId>) {
    let snapshot = snapshot(|_| {});
    let home = snapshot
        .group
        .home(key.hash64())
        .expect("there is a home")
        .id;
    let others = snapshot.group.members.iter().map(|m| m.id);
    let others = others.filter(|id| *id != home).collect();
    let mut router = FlowRouter::new(home, 3);
    router.install(NOW, snapshot);
    (router, others)
}

fn key(port: u16) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::new(11, 0, 0, 1), port),
        service: SERVICE,
    }
}

fn not_mine(key: FlowKey) -> Message {
    let answer = Ownership::NotOwner;
    Message::OwnerReply { key, answer }
}

fn owns(key: FlowKey) -> Message {
    let answer = Ownership::Owner;
    Message::OwnerReply { key, answer }
}

fn take_queried(router: &mut FlowRouter) -> Vec<InstanceId> {
    let queries = router
        .take_outbox()
        .filter(|out| matches!(out.message, Message::OwnerQuery { .. }));
    queries.map(|out| out.to).collect()
}

#[test]
fn only_its_own_acknowledgement_establishes_a_half_open_flow() {
    let (mut router, others) = router_at_home(key(1));
    assert_eq!(
        router.on_packet(NOW, FROM_BALANCER, &opening_segment(key(1))),
        Action::Open
    );
    router.on_syn_ack_sent(NOW, key(1), ISN);
    let wrong = later_segment(key(1), 77);
    let drop_and_query = Action::Drop(DropReason::Asked);
    assert_eq!(router.on_packet(NOW, FROM_BALANCER, &wrong), drop_and_query);
    assert!(!router.is_established(key(1)));
    assert_eq!(take_queried(&mut router), others);
    let right = later_segment(key(1), ISN.wrapping_add(1));
    assert_eq!(
        router.on_packet(NOW, FROM_BALANCER, &right),
        Action::Deliver
    );
    assert!(router.is_established(key(1)));
    // Once established, segments with any acknowledgement are delivered, and a
    // SYN gets a challenge ACK.
    assert_eq!(
        router.on_packet(NOW, FROM_BALANCER, &wrong),
        Action::Deliver
    );
    let again = router.on_packet(NOW, FROM_BALANCER, &opening_segment(key(1)));
    assert_eq!(again, Action::Deliver);
}

#[test]
fn a_late_packet_of_an_ended_flow_breaks_nothing() {
    for told_by_owner in [false, true] {
        let (mut router, others) = router_at_home(key(1));
        if told_by_owner {
            let flows = vec![key(1)];
            router.on_message(NOW, others[0], &Message::Release { flows });
        } else {
            router.on_packet(NOW, FROM_BALANCER, &opening_segment(key(1)));
            router.on_syn_ack_sent(NOW, key(1), ISN);
            let ack = later_segment(key(1), ISN.wrapping_add(1));
            router.on_packet(NOW, FROM_BALANCER, &ack);
            router.on_flow_closed(NOW, key(1));
        }
        router.on_packet(NOW, FROM_BALANCER, &later_segment(key(1), 77));
        for other in others {
            router.on_message(NOW, other, &not_mine(key(1)));
        }
        let resets: Vec<_> = router.take_resets().map(|reset| reset.reason).collect();
        assert_eq!(resets, [ResetReason::Ended]);
    }
}

#[test]
fn a_half_open_flow_is_abandoned_when_another_agent_owns_it() {
    let (mut router, others) = router_at_home(key(1));
    router.on_packet(NOW, FROM_BALANCER, &opening_segment(key(1)));
    router.on_syn_ack_sent(NOW, key(1), ISN);
    router.on_packet(NOW, FROM_BALANCER, &later_segment(key(1), 77));
    router.on_message(NOW, others[1], &owns(key(1)));
    assert_eq!(router.take_abandoned().collect::<Vec<_>>(), [key(1)]);
    let to = others[1];
    let action = router.on_packet(NOW, FROM_BALANCER, &later_segment(key(1), 77));
    assert_eq!(action, Action::Forward { to, to_owner: true });
    assert_eq!(router.take_resets().count(), 0);
}

#[test]
fn a_half_open_flow_expires() {
    let (mut router, _) = router_at_home(key(1));
    router.on_packet(NOW, FROM_BALANCER, &opening_segment(key(1)));
    let due = router.next_timer().expect("the flow will expire");
    router.tick(due);
    assert_eq!(router.take_abandoned().collect::<Vec<_>>(), [key(1)]);
    assert_eq!(router.counts().flows, 0);
    assert_eq!(router.take_resets().count(), 0);
}

#[test]
fn half_open_holders_answer_only_for_their_own_acknowledgement() {
    let (mut router, others) = router_at_home(key(1));
    router.on_packet(NOW, FROM_BALANCER, &opening_segment(key(1)));
    router.on_syn_ack_sent(NOW, key(1), ISN);
    let key = key(1);
    let ack = ISN.wrapping_add(1);
    router.on_message(NOW, others[0], &Message::OwnerQuery { key, ack: ack + 5 });
    // By this agent's snapshot the sender is not the flow's home, so it gets no
    // denial either.
    assert_eq!(router.take_outbox().count(), 0);
    router.on_message(NOW, others[0], &Message::OwnerQuery { key, ack });
    let answers: Vec<Outgoing> = router.take_outbox().collect();
    assert_eq!(answers.len(), 1);
    assert_eq!(answers[0].message, owns(key));
}

#[test]
fn no_reset_before_the_last_member_has_denied() {
    let (mut router, others) = router_at_home(key(2));
    let segment = later_segment(key(2), 9);
    router.on_packet(NOW, FROM_BALANCER, &segment);
    for other in &others[1..] {
        router.on_message(NOW, *other, &not_mine(key(2)));
        router.on_message(NOW, *other, &not_mine(key(2)));
    }
    assert_eq!(router.take_resets().count(), 0);
    let drop_and_query = Action::Drop(DropReason::Asked);
    assert_eq!(
        router.on_packet(NOW, FROM_BALANCER, &segment),
        drop_and_query
    );
    router.on_message(NOW, others[0], &not_mine(key(2)));
    let resets: Vec<_> = router.take_resets().collect();
    assert_eq!(resets.len(), 1);
    assert_eq!(resets[0].segment, segment);
    let unowned = Action::Reset(ResetReason::Unowned);
    assert_eq!(router.on_packet(NOW, FROM_BALANCER, &segment), unowned);
    // A segment with another acknowledgement may belong to a newer flow.
    let newer = later_segment(key(2), 10);
    assert_eq!(router.on_packet(NOW, FROM_BALANCER, &newer), drop_and_query);
}

#[test]
fn no_reset_while_a_newer_configuration_is_on_its_way() {
    let (mut router, others) = router_at_home(key(2));
    let segment = later_segment(key(2), 9);
    router.install(NOW, snapshot(|p| p.latest = Version(2)));
    router.on_packet(NOW, FROM_BALANCER, &segment);
    for other in &others {
        router.on_message(NOW, *other, &not_mine(key(2)));
    }
    assert_eq!(router.take_resets().count(), 0);
    router.install(NOW, snapshot(|_| {}));
    assert_eq!(router.take_resets().count(), 1);
}

#[test]
fn members_taken_out_or_gone_are_not_asked_and_their_flows_are_reset() {
    for (out, reason) in [
        (true, ResetReason::GivenUp),
        (false, ResetReason::OwnerLost),
    ] {
        let (mut router, others) = router_at_home(key(3));
        let owner = others[0];
        let flows = vec![key(3)];
        router.on_message(NOW, owner, &Message::Register { flows });
        let gone = snapshot(|p| {
            p.gone.insert(owner);
            let mut group = (*p.group).clone();
            let member = group.members.iter_mut().find(|m| m.id == owner);
            member.expect("it is a member").reachable = !out;
            p.group = Arc::new(group);
        });
        router.install(NOW, gone);
        let action = router.on_packet(NOW, FROM_BALANCER, &later_segment(key(3), 5));
        assert_eq!(action, Action::Reset(reason));
        router.on_packet(NOW, FROM_BALANCER, &later_segment(key(4), 5));
        let take_queried = take_queried(&mut router);
        assert!(!take_queried.contains(&owner));
    }
}

#[test]
fn a_repeated_first_packet_goes_to_the_same_owner() {
    let (mut router, others) = router_at_home(key(5));
    let loads = |p: &mut GroupSnapshot| {
        for m in &p.group.members {
            let busy = if others.contains(&m.id) { 0 } else { 500 };
            let leaving = busy > 0;
            p.loads.insert(
                m.id,
                Load {
                    leaving,
                    ..load(busy)
                },
            );
        }
    };
    router.install(NOW, snapshot(loads));
    let action = router.on_packet(NOW, FROM_BALANCER, &opening_segment(key(5)));
    assert!(matches!(action, Action::Forward { to_owner: true, .. }));
    for _ in 0..20 {
        assert_eq!(
            router.on_packet(NOW, FROM_BALANCER, &opening_segment(key(5))),
            action
        );
    }
}

#[test]
fn foreign_services_too_many_hops_and_resets_of_unknown_flows_are_dropped() {
    let (mut router, others) = router_at_home(key(6));
    let mut foreign = opening_segment(key(6));
    foreign.key.service.set_port(81);
    let action = router.on_packet(NOW, FROM_BALANCER, &foreign);
    assert_eq!(action, Action::Drop(DropReason::ForeignService));
    let too_many_hops = Arrival {
        sender: Some(others[0]),
        hops: HOP_LIMIT,
        to_owner: false,
    };
    let snapshot = snapshot(|_| {});
    let elsewhere = (7..100).map(key).find(|key| {
        let home = snapshot.group.home(key.hash64());
        home.is_some_and(|m| others.contains(&m.id))
    });
    let elsewhere = later_segment(elsewhere.expect("some key has another home"), 1);
    let action = router.on_packet(NOW, too_many_hops, &elsewhere);
    assert_eq!(action, Action::Drop(DropReason::HopLimit));
    let mut rst = later_segment(key(6), 1);
    rst.rst = true;
    router.on_packet(NOW, FROM_BALANCER, &rst);
    for other in &others {
        router.on_message(NOW, *other, &not_mine(key(6)));
    }
    assert_eq!(router.take_resets().count(), 0);
    let action = router.on_packet(NOW, FROM_BALANCER, &rst);
    assert_eq!(action, Action::Drop(DropReason::ResetOfGone));
}

#[test]
fn an_outdated_directory_entry_is_corrected_and_dropped() {
    let (mut router, others) = router_at_home(key(8));
    let flows = vec![key(8)];
    router.on_message(NOW, others[0], &Message::Register { flows });
    let to = others[0];
    let segment = later_segment(key(8), 4);
    let action = router.on_packet(NOW, FROM_BALANCER, &segment);
    assert_eq!(action, Action::Forward { to, to_owner: true });
    router.on_message(NOW, others[0], &not_mine(key(8)));
    let action = router.on_packet(NOW, FROM_BALANCER, &segment);
    assert_eq!(action, Action::Drop(DropReason::Asked));
    // The other side: an agent gets a packet as owner, but does not own the flow.
    let arrival = Arrival {
        sender: Some(others[1]),
        hops: 2,
        to_owner: true,
    };
    let action = router.on_packet(NOW, arrival, &later_segment(key(9), 4));
    assert_eq!(action, Action::Drop(DropReason::NotOwner));
    let replies: Vec<Outgoing> = router.take_outbox().collect();
    let replies = replies.last().expect("the sender gets a reply");
    assert_eq!(
        (replies.to, &replies.message),
        (others[1], &not_mine(key(9)))
    );
}

#[test]
fn a_full_server_refuses_and_an_agent_taken_out_is_silent() {
    let (mut router, _) = router_at_home(key(10));
    let small = snapshot(|p| {
        let mut group = (*p.group).clone();
        for member in &mut group.members {
            let mut policy = (*member.policy).clone();
            policy.connections = 1;
            member.policy = Arc::new(policy);
        }
        p.group = Arc::new(group);
    });
    router.install(NOW, small);
    router.on_packet(NOW, FROM_BALANCER, &opening_segment(key(10)));
    router.on_syn_ack_sent(NOW, key(10), ISN);
    router.on_packet(NOW, FROM_BALANCER, &later_segment(key(10), 0));
    let here = Arrival {
        hops: HOP_LIMIT,
        ..FROM_BALANCER
    };
    let action = router.on_packet(NOW, here, &opening_segment(key(11)));
    assert_eq!(action, Action::Reset(ResetReason::Full));
    let mut out = fleet(4);
    for dc in out.data_centres.values_mut() {
        dc.state = DataCentreState::Out;
    }
    let group = Group::compile(&out, "ledger").expect("the service exists");
    router.install(NOW, snapshot(|p| p.group = Arc::new(group)));
    let action = router.on_packet(NOW, FROM_BALANCER, &later_segment(key(10), 0));
    assert_eq!(action, Action::Drop(DropReason::DataCentreOut));
}

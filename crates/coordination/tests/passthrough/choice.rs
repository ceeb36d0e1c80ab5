//! Tests of how new flows are spread over the servers in a burst, as after a
//! power failure, when all callers connect at once.

use std::net::Ipv4Addr;

use indexmap::IndexMap;
use ramp_coordination::passthrough::agent::Agent;
use ramp_coordination::passthrough::agent::Inbound;
use ramp_coordination::passthrough::balancer::Action;
use ramp_coordination::passthrough::balancer::Balancer;
use ramp_protocol::frame::Frame;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::Refusal;
use ramp_state::time::Millis;

use crate::fixture::*;

const SERVERS: [u8; 7] = [1, 2, 3, 4, 5, 6, 7];

/// Opens `count` flows at once and returns how many each server took.
fn burst(count: u16) -> IndexMap<Ipv4Addr, usize> {
    let view = view(&SERVERS);
    let mut balancer = Balancer::new();
    let mut agents: IndexMap<Ipv4Addr, Agent> = SERVERS
        .iter()
        .map(|last| (ip(*last), Agent::new(ip(*last), FEEDS, 1, 1000, Millis(0))))
        .collect();
    let mut taken = IndexMap::new();
    for port in 1..=count {
        let seg = opening(flow(port), 0);
        let mut action = balancer.on_packet(&view, Millis(0), &seg);
        while let Action::Forward { agent, inquiry, .. } = action {
            let agent_state = &mut agents[&agent];
            let forward_frame = frame(FrameKind::Forward(inquiry), flow(port));
            let from = balancer_ip(1);
            match agent_state.on_balancer_packet(
                Some(&view),
                Millis(0),
                from,
                &forward_frame,
                inquiry,
                &seg,
            ) {
                Inbound::Forward { .. } => {
                    *taken.entry(agent).or_insert(0) += 1;
                    let owned = report(FrameKind::Owned, port, agent_state);
                    balancer.on_owned(Millis(0), agent, &owned);
                    break;
                }
                Inbound::Queue => {
                    *taken.entry(agent).or_insert(0) += 1;
                    let queued = report(FrameKind::Queued, port, agent_state);
                    balancer.on_queued(Millis(0), agent, &queued);
                    break;
                }
                Inbound::AlreadyQueued => panic!("flow {port} was sent twice"),
                Inbound::Refuse(refusal) => {
                    assert_eq!(refusal, Refusal::Busy);
                    let back = report(FrameKind::Returned(refusal), port, agent_state);
                    action = balancer.on_returned(&view, Millis(0), agent, refusal, &back, &seg);
                }
            }
        }
    }
    taken
}

fn report(kind: FrameKind, port: u16, agent: &Agent) -> Frame {
    Frame {
        in_progress: agent.in_progress(),
        ..frame(kind, flow(port))
    }
}

#[test]
fn a_burst_fills_every_server_before_it_queues_at_one() {
    let taken = burst(28);
    assert_eq!(taken.values().sum::<usize>(), 28);
    assert_eq!(taken.values().max(), Some(&4), "{taken:?}");
}

#[test]
fn a_burst_beyond_all_slots_is_spread_evenly() {
    let taken = burst(140);
    assert_eq!(taken.values().sum::<usize>(), 140);
    let most = *taken.values().max().unwrap() as f64;
    assert!(most / 20.0 <= 1.07, "{taken:?}");
}

#[test]
fn without_load_each_flow_goes_to_its_first_ranked_server() {
    let view = view(&SERVERS);
    let actions = |balancer: &mut Balancer| -> Vec<Action> {
        let flows = 1..200;
        flows
            .map(|port| balancer.on_packet(&view, Millis(0), &opening(flow(port), 0)))
            .collect()
    };
    assert_eq!(actions(&mut Balancer::new()), actions(&mut Balancer::new()));
}

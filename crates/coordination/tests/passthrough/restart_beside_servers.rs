//! All own processes restart beside living servers, at entries of 10 Mbit/s: no balancer
//! remembers a flow, and no agent can tell whether its server has one. Only a copy of a
//! packet finds the owner then, and the link has no room for a copy to every agent.

use std::net::Ipv4Addr;

use ramp_coordination::passthrough::balancer::Action;
use ramp_coordination::passthrough::balancer::Balancer;
use ramp_coordination::passthrough::link_rate::LinkRate;
use ramp_coordination::passthrough::view::rank;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::Refusal;
use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

use crate::fixture::*;

const AGENTS: std::ops::RangeInclusive<u8> = 1..=55;
/// Agents whose servers ran already when the flows were opened; the others replaced
/// servers that have left.
const OLDER_AGENTS: std::ops::RangeInclusive<u8> = 1..=38;
/// Flows of one of 20 balancers that share 2,000, each with a request within a second.
const FLOWS: u16 = 100;
/// Payload of a small request with its headers.
const PACKET_BYTES: usize = 350;
/// Payload of a query to a relay.
const QUERY_BYTES: usize = 57;

/// The server that got the flow when it was opened.
fn owner(flow: &FlowKey) -> Ipv4Addr {
    let older = OLDER_AGENTS.map(ip);
    older.max_by_key(|agent| rank(flow, *agent)).unwrap()
}

fn restarted_balancer() -> Balancer {
    let narrow = LinkRate::from_megabits(10.0);
    let balancer = Balancer::new().with_link_rate(narrow);
    balancer.with_relay_client(balancer_ip(1), 1)
}

/// Agents that get the first packet of a flow, until its owner or nobody does.
fn first_recipients(balancer: &mut Balancer, now: Millis, flow: FlowKey) -> Vec<Ipv4Addr> {
    let view = view(&AGENTS.collect::<Vec<u8>>());
    let seg = segment(flow);
    let mut action = balancer.on_packet(&view, now, &seg);
    let mut recipients = Vec::new();
    if let Action::Forward { agent, .. } = action {
        recipients.push(agent);
        if agent == owner(&flow) {
            return recipients;
        }
        let refusal = Refusal::Bounced;
        let bounced = frame(FrameKind::Returned(refusal), flow);
        action = balancer.on_returned(&view, now, agent, refusal, &bounced, &seg);
    }
    if let Action::QueryOwner(query) = action {
        let copies = query.packet_copies.iter().map(|_| PACKET_BYTES);
        let queries = query.relay.iter().map(|_| QUERY_BYTES);
        for bytes in copies.chain(queries) {
            balancer.note_search_sent(now, bytes);
        }
        recipients.extend(query.packet_copies);
    }
    recipients
}

// Guards against callers that reach their time limits though their servers run: each
// search used up the link's share for a tenth of a second, so most packets were dropped.
#[test]
fn nearly_every_flow_finds_its_owner_with_its_first_packet() {
    let mut balancer = restarted_balancer();
    let found = (1..=FLOWS).filter(|port| {
        let now = Millis(u64::from(*port) * 10);
        let recipients = first_recipients(&mut balancer, now, flow(*port));
        recipients.contains(&owner(&flow(*port)))
    });
    let found = found.count();
    assert!(found >= 95, "{found} of {FLOWS}");
}

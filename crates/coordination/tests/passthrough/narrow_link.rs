//! Tests of a balancer whose link is narrow: bulk uploads fill it, and replies come
//! late.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_coordination::passthrough::balancer::Action;
use ramp_coordination::passthrough::balancer::Balancer;
use ramp_coordination::passthrough::link_rate::LinkRate;
use ramp_coordination::passthrough::view::View;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::Inquiry;
use ramp_protocol::packet::Segment;
use ramp_state::time::Millis;

use super::fixture::balancer_beside;
use super::fixture::flow;
use super::fixture::frame;
use super::fixture::segment;
use super::fixture::view;

const AGENTS: std::ops::RangeInclusive<u8> = 1..=40;
const FLOWS: u16 = 100;
/// Payload of a packet of 1,200 bytes with its headers.
const PACKET_BYTES: usize = 1276;
/// Payload of an owner query for one flow.
const QUERY_BYTES: usize = 57;
/// Search traffic that a link of 10 Mbit/s has room for in a second, in bytes: 15%.
const SEARCH_BYTES_PER_S: usize = 187_500;

fn narrow() -> Option<LinkRate> {
    LinkRate::from_megabits(10.0)
}

/// Sends what an action asks for; returns the bytes that searches sent.
fn send(balancer: &mut Balancer, now: Millis, action: &Action) -> usize {
    match action {
        Action::QueryOwner(query) => {
            let copies = query.packet_copies.iter().map(|_| PACKET_BYTES);
            let sizes = copies.chain(query.by_key.iter().map(|_| QUERY_BYTES));
            sizes
                .inspect(|bytes| balancer.note_search_sent(now, *bytes))
                .sum()
        }
        _ => 0,
    }
}

/// The balancer has `FLOWS` confirmed flows, whose owners reply `delay` late.
fn with_flows(rate: Option<LinkRate>, view: &View, delay: Duration) -> Balancer {
    let mut balancer = balancer_beside(AGENTS).with_link_rate(rate);
    for port in 1..=FLOWS {
        let action = balancer.on_packet(view, Millis(0), &segment(flow(port)));
        let owner = agent_of(&action);
        let owned = frame(FrameKind::Owned, flow(port));
        balancer.on_owned(Millis(0) + delay, owner, &owned);
    }
    balancer
}

fn agent_of(action: &Action) -> Ipv4Addr {
    let Action::Forward { agent, .. } = action else {
        panic!("{action:?}");
    };
    *agent
}

/// A repeated packet: the owner has to confirm the flow again.
fn repeated(port: u16) -> Segment {
    segment(flow(port))
}

/// Bytes that searches send in one second in which each flow's packet is sent again
/// every 200 ms and no reply arrives.
fn search_bytes(balancer: &mut Balancer, view: &View) -> usize {
    let mut bytes = 0;
    for now in (1000..2000).map(Millis) {
        for port in (1..=FLOWS).filter(|port| u64::from(port * 2) % 200 == now.0 % 200) {
            let action = balancer.on_packet(view, now, &repeated(port));
            bytes += send(balancer, now, &action);
        }
    }
    bytes
}

/// Guards against the loop in which queries for flows whose replies are late fill the
/// link that delays these replies.
#[test]
fn searches_keep_to_their_share_of_the_link() {
    let view = view(&AGENTS.collect::<Vec<u8>>());
    let mut balancer = with_flows(narrow(), &view, Duration::from_millis(1));
    let bytes = search_bytes(&mut balancer, &view);
    assert!(bytes <= SEARCH_BYTES_PER_S * 5 / 4, "{bytes} bytes");
    assert!(bytes > 0, "no search at all");
}

/// The limit must not slow searches where the link has room.
#[test]
fn searches_are_not_limited_on_a_wide_link() {
    let view = view(&AGENTS.collect::<Vec<u8>>());
    let mut wide = with_flows(LinkRate::from_megabits(1000.0), &view, Duration::ZERO);
    let mut unknown = with_flows(None, &view, Duration::ZERO);
    let bytes = search_bytes(&mut wide, &view);
    assert!(bytes > 5 * SEARCH_BYTES_PER_S, "{bytes} bytes");
    assert_eq!(bytes, search_bytes(&mut unknown, &view));
}

/// Guards against taking all agents for silent when only the own link is late.
#[test]
fn a_delay_that_all_agents_share_is_the_links() {
    let view = view(&AGENTS.collect::<Vec<u8>>());
    let mut balancer = with_flows(narrow(), &view, Duration::from_millis(150));
    assert!(balancer.link_delay(Millis(300)) >= Duration::from_millis(140));
    balancer.on_packet(&view, Millis(299), &repeated(1));
    balancer.on_packet(&view, Millis(300), &repeated(1));
    let action = balancer.on_packet(&view, Millis(450), &repeated(1));
    let asked_again = matches!(
        action,
        Action::Forward {
            inquiry: Inquiry::Owner,
            ..
        }
    );
    assert!(asked_again, "{action:?}");
    let action = balancer.on_packet(&view, Millis(560), &repeated(1));
    assert!(matches!(action, Action::QueryOwner(_)), "{action:?}");
}

/// Guards against excusing one silent agent by the delay of the link: replies of the
/// others show that there is none.
#[test]
fn one_slow_agent_does_not_extend_the_timeouts() {
    let view = view(&AGENTS.collect::<Vec<u8>>());
    let mut balancer = with_flows(narrow(), &view, Duration::from_millis(1));
    balancer.on_packet(&view, Millis(299), &repeated(1));
    let action = balancer.on_packet(&view, Millis(300), &repeated(1));
    let owner = agent_of(&action);
    let owned = frame(FrameKind::Owned, flow(1));
    balancer.on_owned(Millis(700), owner, &owned);
    assert!(balancer.link_delay(Millis(700)) < Duration::from_millis(10));
}

/// The delay must end soon after its cause: a stale one would hide a dead agent.
#[test]
fn the_delay_ends_with_the_backlog() {
    let mut balancer = Balancer::new().with_link_rate(narrow());
    balancer.set_link_backlog(Millis(0), Duration::from_millis(100));
    assert_eq!(balancer.link_delay(Millis(30)), Duration::from_millis(70));
    assert_eq!(balancer.link_delay(Millis(100)), Duration::ZERO);
}

/// Guards against a timer that is due but not over, which the driver would handle
/// again without end.
#[test]
fn a_timeout_extended_by_the_link_ends_at_a_whole_millisecond() {
    let view = view(&AGENTS.collect::<Vec<u8>>());
    let mut balancer = Balancer::new().with_link_rate(narrow());
    let seg = segment(flow(1));
    balancer.on_packet(&view, Millis(0), &seg);
    balancer.set_link_backlog(Millis(0), Duration::from_micros(800));
    let left = balancer.reply_time_left(Millis(0), &seg).unwrap();
    assert_eq!(left.subsec_nanos() % 1_000_000, 0, "{left:?}");
}

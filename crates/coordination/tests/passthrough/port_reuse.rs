//! Tests of callers that use a port again: tables by flow key must not mix up the flows
//! that follow each other.

use std::net::Ipv4Addr;

use ramp_coordination::passthrough::agent::Agent;
use ramp_coordination::passthrough::agent::Bounce;
use ramp_coordination::passthrough::agent::ConnectResult;
use ramp_coordination::passthrough::agent::Dequeued;
use ramp_coordination::passthrough::agent::Inbound;
use ramp_coordination::passthrough::balancer::Action;
use ramp_coordination::passthrough::balancer::Balancer;
use ramp_coordination::passthrough::balancer::DropReason;
use ramp_coordination::passthrough::balancer::OwnershipUpdate;
use ramp_coordination::passthrough::mark::Mark;
use ramp_coordination::passthrough::published::Change;
use ramp_coordination::passthrough::published::Record;
use ramp_coordination::passthrough::published::ServerState;
use ramp_coordination::passthrough::view::View;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::Inquiry;
use ramp_protocol::frame::Knowledge;
use ramp_protocol::frame::Refusal;
use ramp_protocol::packet::Segment;
use ramp_state::time::Millis;

use crate::fixture::*;

const PORT: u16 = 9;

/// One flow from [`PORT`], with the sequence numbers at which its ends start.
#[derive(Clone, Copy)]
struct Flow {
    caller_start: u32,
    server_start: u32,
}

const EARLIER: Flow = Flow {
    caller_start: 1000,
    server_start: 5000,
};
const LATER: Flow = Flow {
    caller_start: 0x7000_0000,
    server_start: 0x9000_0000,
};

impl Flow {
    fn opening(self) -> Segment {
        Segment {
            seq: self.caller_start,
            ..opening(flow(PORT), 0)
        }
    }

    fn syn_ack(self) -> Segment {
        Segment {
            seq: self.server_start,
            ack: self.caller_start + 1,
            ..syn_ack(flow(PORT))
        }
    }

    /// The caller's first request.
    fn request(self) -> Segment {
        self.of_caller(1, 1)
    }

    fn response(self) -> Segment {
        self.of_server(1, 101)
    }

    fn caller_fin(self) -> Segment {
        fin(self.of_caller(101, 101))
    }

    fn server_fin(self) -> Segment {
        fin(self.of_server(101, 102))
    }

    /// The caller's acknowledgement of the server's FIN.
    fn last_ack(self) -> Segment {
        Segment {
            len: 0,
            ..self.of_caller(102, 102)
        }
    }

    /// A packet of the caller with data; numbers count from the starts of the flow.
    fn of_caller(self, seq: u32, ack: u32) -> Segment {
        Segment {
            seq: self.caller_start + seq,
            ack: self.server_start + ack,
            ..segment(flow(PORT))
        }
    }

    /// As [`Flow::of_caller`], of the server.
    fn of_server(self, seq: u32, ack: u32) -> Segment {
        Segment {
            seq: self.server_start + seq,
            ack: self.caller_start + ack,
            ..segment(flow(PORT))
        }
    }
}

fn fin(seg: Segment) -> Segment {
    Segment {
        len: 0,
        fin: true,
        ..seg
    }
}

/// The agent of server 1 and what it does with packets, a millisecond each.
struct Fixture {
    view: View,
    agent: Agent,
    now: Millis,
}

impl Fixture {
    fn new() -> Fixture {
        Fixture {
            view: view(&[1, 2]),
            agent: Agent::new(ip(1), FEEDS, 1, 1, Millis(0)),
            now: Millis(0),
        }
    }

    fn balancer_sends(&mut self, inquiry: Inquiry, seg: &Segment) -> Inbound {
        self.now.0 += 1;
        let from: Ipv4Addr = balancer_ip(1);
        let frame = frame(FrameKind::Forward(inquiry), seg.key);
        let view = Some(&self.view);
        self.agent
            .on_balancer_packet(view, self.now, from, &frame, inquiry, seg)
    }

    /// As [`Fixture::balancer_sends`], for a packet that goes to the server.
    fn forwards(&mut self, inquiry: Inquiry, seg: &Segment) -> (Mark, bool) {
        match self.balancer_sends(inquiry, seg) {
            Inbound::Forward { mark, owned } => (mark, owned),
            other => panic!("not forwarded: {other:?}"),
        }
    }

    fn server_sends(&mut self, seg: &Segment) {
        self.now.0 += 1;
        self.agent.on_server_packet(Some(&self.view), self.now, seg);
    }

    fn serve(&mut self, flow: Flow) {
        self.forwards(Inquiry::Owner, &flow.opening());
        self.server_sends(&flow.syn_ack());
        self.forwards(Inquiry::None, &flow.request());
        self.server_sends(&flow.response());
    }

    fn close(&mut self, flow: Flow) {
        self.forwards(Inquiry::None, &flow.caller_fin());
        self.server_sends(&flow.server_fin());
        self.forwards(Inquiry::None, &flow.last_ack());
    }

    fn knowledge(&self) -> Knowledge {
        self.agent
            .knowledge(Some(&self.view), self.now, &flow(PORT))
    }
}

/// Guards against a claim to a flow that has ended, by which a balancer takes the
/// caller's next flow for lost.
#[test]
fn a_flow_that_both_ends_have_closed_is_not_claimed() {
    let mut fixture = Fixture::new();
    fixture.serve(EARLIER);
    fixture.forwards(Inquiry::None, &EARLIER.caller_fin());
    assert_eq!(fixture.knowledge(), Knowledge::Has, "the server has data");
    fixture.server_sends(&EARLIER.server_fin());
    assert_eq!(fixture.knowledge(), Knowledge::Has, "its FIN may be lost");
    fixture.forwards(Inquiry::None, &EARLIER.last_ack());
    assert_eq!(fixture.knowledge(), Knowledge::Unsure);
}

/// Guards against a reset of a flow at another server: the agent claimed the flow, its
/// server bounced the packet, and the agent reported the flow as lost.
#[test]
fn a_packet_of_a_later_flow_elsewhere_is_refused() {
    for ended in [true, false] {
        for inquiry in [Inquiry::Owner, Inquiry::None, Inquiry::OwnerOfCopy] {
            let mut fixture = Fixture::new();
            fixture.serve(EARLIER);
            if ended {
                fixture.close(EARLIER);
            }
            let inbound = fixture.balancer_sends(inquiry, &LATER.request());
            let refused = Inbound::Refuse(Refusal::Bounced);
            assert_eq!(inbound, refused, "ended: {ended}, {inquiry:?}");
        }
    }
}

/// As above, where the later flow starts near the end of the earlier one, so that only
/// its acknowledgements tell it.
#[test]
fn a_packet_of_a_later_flow_with_near_sequence_numbers_is_refused() {
    let mut fixture = Fixture::new();
    fixture.serve(EARLIER);
    fixture.close(EARLIER);
    let later = Flow {
        caller_start: EARLIER.caller_start + 2000,
        ..LATER
    };
    let inbound = fixture.balancer_sends(Inquiry::Owner, &later.request());
    assert_eq!(inbound, Inbound::Refuse(Refusal::Bounced));
}

/// Guards against a report that a flow is lost, by a bounced packet of another one with
/// the same key.
#[test]
fn a_bounced_packet_of_another_flow_loses_none() {
    let mut fixture = Fixture::new();
    let (mark, _) = fixture.forwards(Inquiry::Owner, &LATER.request());
    fixture.agent = Agent::new(ip(1), FEEDS, 1, 1, Millis(0));
    fixture.serve(EARLIER);
    let view = Some(&fixture.view);
    let bounce = fixture
        .agent
        .on_bounce(view, fixture.now, mark.0, &LATER.request());
    assert_eq!(bounce, Bounce::Return(balancer_ip(1)));
    let (_, owned) = fixture.forwards(Inquiry::Owner, &EARLIER.caller_fin());
    assert!(owned, "the earlier flow is open");
}

/// Guards against a flow that is mistaken for the earlier one at the same server, so
/// that its packets are refused.
#[test]
fn a_later_flow_at_the_same_server_takes_the_place_of_the_earlier_one() {
    for ended in [true, false] {
        let mut fixture = Fixture::new();
        fixture.serve(EARLIER);
        if ended {
            fixture.close(EARLIER);
        }
        fixture.serve(LATER);
        assert_eq!(fixture.knowledge(), Knowledge::Has, "ended: {ended}");
        let (_, owned) = fixture.forwards(Inquiry::Owner, &LATER.request());
        assert!(owned, "ended: {ended}");
        let inbound = fixture.balancer_sends(Inquiry::Owner, &EARLIER.request());
        assert_eq!(inbound, Inbound::Refuse(Refusal::Bounced), "ended: {ended}");
    }
}

/// Guards against an opening that arrives late, of a flow before the open one, and makes
/// the agent refuse the packets of the open one.
#[test]
fn a_flow_keeps_its_place_until_its_server_accepts_another_opening() {
    let mut fixture = Fixture::new();
    fixture.serve(LATER);
    let (mark, _) = fixture.forwards(Inquiry::Owner, &EARLIER.opening());
    fixture.server_sends(&LATER.response());
    let (_, owned) = fixture.forwards(Inquiry::Owner, &LATER.request());
    assert!(owned, "the server has not answered the opening");
    let bounce =
        fixture
            .agent
            .on_bounce(Some(&fixture.view), fixture.now, mark.0, &EARLIER.opening());
    assert_eq!(bounce, Bounce::Return(balancer_ip(1)));
    assert_eq!(fixture.knowledge(), Knowledge::Has);
}

/// Guards against a slot that stays reserved, or is released twice, as flows take each
/// other's place.
#[test]
fn flows_that_follow_each_other_occupy_one_slot() {
    let mut fixture = Fixture::new();
    for flow in [EARLIER, LATER, EARLIER] {
        fixture.forwards(Inquiry::Owner, &flow.opening());
        fixture.server_sends(&flow.syn_ack());
        fixture.forwards(Inquiry::None, &flow.request());
        assert_eq!(fixture.agent.in_progress(), 1);
    }
    fixture.server_sends(&EARLIER.response());
    assert_eq!(fixture.agent.in_progress(), 0);
}

/// Guards against a reset of the caller's next flow by the agent of a server that has
/// left: it reset the callers of ended flows too.
#[test]
fn a_server_that_ends_loses_no_flow_that_had_ended_before() {
    let mut fixture = Fixture::new();
    fixture.serve(EARLIER);
    fixture.close(EARLIER);
    let without_server = view(&[2]);
    let mut lost = Vec::new();
    for at in [3000, 3300] {
        let refused = ConnectResult::Refused;
        let agent = &mut fixture.agent;
        lost.extend(agent.record_connect_check(Some(&without_server), Millis(at), refused));
    }
    assert!(fixture.agent.is_server_absent());
    assert_eq!(lost, []);
}

/// Servers 1 and 2, of which server 1 takes no new flows for this reason.
fn views_closed_to_new_flows() -> [(Refusal, View); 3] {
    let mut draining = server(1, FEEDS);
    draining.state = ServerState::Draining;
    let mut moved = configuration(2);
    moved.routes[0].shares[0].service = UPLOADS;
    let changes_of = [
        (Refusal::Draining, Record::Server(id(1), draining)),
        (Refusal::Evacuated, Record::Evacuation(EAST)),
        (Refusal::OtherService, Record::Configuration(moved)),
    ];
    changes_of.map(|(refusal, record)| {
        let mut catalog = catalog(&[1, 2]);
        catalog.apply(Millis(0), changes(101, vec![Change::Written(record)]));
        (refusal, catalog.view(Millis(0)).unwrap())
    })
}

/// Guards against an opening that passes the checks for new flows, because the table
/// still has an earlier flow from its port.
#[test]
fn an_opening_from_a_used_port_is_admitted_like_any_other() {
    for (refusal, view) in views_closed_to_new_flows() {
        for ended in [true, false] {
            let mut fixture = Fixture::new();
            fixture.serve(EARLIER);
            if ended {
                fixture.close(EARLIER);
            }
            fixture.view = view.clone();
            let inbound = fixture.balancer_sends(Inquiry::Owner, &LATER.opening());
            assert_eq!(inbound, Inbound::Refuse(refusal), "ended: {ended}");
        }
    }
}

/// As above, where the server's rate in its cold start is used up.
#[test]
fn an_opening_from_a_used_port_counts_in_a_cold_start() {
    let mut fixture = Fixture::new();
    fixture.serve(EARLIER);
    fixture.close(EARLIER);
    fixture.view = view_with_priorities(2, 2, COLD_START, 1000);
    let mut refused = 0;
    for number in 1..=20 {
        let opening = Segment {
            seq: LATER.caller_start + number,
            ..LATER.opening()
        };
        let inbound = fixture.balancer_sends(Inquiry::Owner, &opening);
        refused += usize::from(inbound == Inbound::Refuse(Refusal::Cold));
    }
    assert!(refused >= 10, "{refused} refused, 10 new flows a second");
}

/// Guards against a copy of an opening that is taken for another flow's: its first copy
/// was admitted.
#[test]
fn a_copy_of_an_admitted_opening_passes_though_the_server_drains_now() {
    for (_, view) in views_closed_to_new_flows() {
        let mut fixture = Fixture::new();
        fixture.forwards(Inquiry::Owner, &EARLIER.opening());
        fixture.view = view;
        fixture.forwards(Inquiry::Owner, &EARLIER.opening());
    }
}

/// The agent that gets the packet.
fn forwarded(action: &Action) -> Ipv4Addr {
    match action {
        Action::Forward { agent, .. } => *agent,
        other => panic!("not forwarded: {other:?}"),
    }
}

/// A balancer through which [`EARLIER`] was opened at server 1, and served.
fn balancer_with_earlier_flow() -> Balancer {
    let mut balancer = Balancer::new();
    let only_first = view(&[1]);
    balancer.on_packet(&only_first, Millis(0), &EARLIER.opening());
    let owned = frame(FrameKind::Owned, flow(PORT));
    balancer.on_owned(Millis(1), ip(1), &owned);
    balancer.on_packet(&only_first, Millis(2), &EARLIER.request());
    balancer
}

/// Guards against an opening that follows the earlier flow from its port to a server
/// that takes no new flows.
#[test]
fn an_opening_from_a_used_port_is_placed_like_any_other() {
    for (refusal, view) in views_closed_to_new_flows() {
        if refusal == Refusal::OtherService {
            continue;
        }
        for closed in [true, false] {
            let mut balancer = balancer_with_earlier_flow();
            if closed {
                balancer.on_packet(&view, Millis(3), &EARLIER.caller_fin());
            }
            let action = balancer.on_packet(&view, Millis(4), &LATER.opening());
            assert_eq!(forwarded(&action), ip(2), "{refusal:?}, closed: {closed}");
        }
    }
}

/// Guards against packets of an open flow that go to the server of the earlier one: its
/// opening came through another balancer.
#[test]
fn packets_of_a_later_flow_are_not_sent_to_the_earlier_ones_server_unasked() {
    let view = view(&[1, 2]);
    let mut balancer = balancer_with_earlier_flow();
    let action = balancer.on_packet(&view, Millis(4), &LATER.request());
    let asks = matches!(&action, Action::Forward { inquiry, .. } if *inquiry == Inquiry::Owner);
    assert!(asks, "{action:?}");
}

/// Guards against a copy of an opening that is placed again though its flow is open.
#[test]
fn a_copy_of_an_opening_goes_where_its_flow_is() {
    for (refusal, view) in views_closed_to_new_flows() {
        if refusal != Refusal::OtherService {
            let mut balancer = balancer_with_earlier_flow();
            let action = balancer.on_packet(&view, Millis(3), &EARLIER.opening());
            assert_eq!(forwarded(&action), ip(1), "{refusal:?}");
        }
    }
}

/// The agent of server `last` denies the flow by its key.
fn deny(balancer: &mut Balancer, view: &View, now: u64, last: u8) -> Action {
    let denied = frame(FrameKind::Denied, flow(PORT));
    balancer.on_denied(view, Millis(now), ip(last), &denied)
}

/// Guards against denials of an earlier flow that count for the next one from its port:
/// its server was taken to have denied it, and the caller was reset.
#[test]
fn denials_of_an_earlier_flow_do_not_count_for_a_later_one() {
    let view = view(&[1, 2, 3]);
    let mut balancer = balancer_beside(1..=3);
    balancer.on_packet(&view, Millis(0), &EARLIER.request());
    balancer.on_reply_timeout(&view, Millis(70), &EARLIER.request());
    for last in [1, 2] {
        deny(&mut balancer, &view, 75, last);
    }
    // Meanwhile the caller has opened its next flow at server 1, by another balancer.
    balancer.on_packet(&view, Millis(1000), &LATER.request());
    balancer.on_reply_timeout(&view, Millis(1070), &LATER.request());
    for last in [2, 3] {
        let action = deny(&mut balancer, &view, 1075, last);
        assert!(!matches!(action, Action::Reset(_)), "{action:?}");
    }
    let action = deny(&mut balancer, &view, 1080, 1);
    assert!(
        matches!(action, Action::Reset(_)),
        "now all have: {action:?}"
    );
}

/// Guards against packets that go back again and again to an agent that still has the
/// earlier flow from the port: it claims the key, but refuses the packet.
#[test]
fn an_agent_that_has_refused_a_packet_is_not_the_owner() {
    let view = view(&[1, 2, 3]);
    let mut balancer = balancer_beside(1..=3);
    balancer.on_packet(&view, Millis(0), &LATER.request());
    let returned = frame(FrameKind::Returned(Refusal::Bounced), flow(PORT));
    let refusal = Refusal::Bounced;
    balancer.on_returned(
        &view,
        Millis(1),
        ip(1),
        refusal,
        &returned,
        &LATER.request(),
    );
    let owned = frame(FrameKind::Owned, flow(PORT));
    let update = balancer.on_owned(Millis(2), ip(1), &owned);
    assert_eq!(update, OwnershipUpdate::Outdated);
    let update = balancer.on_owned(Millis(3), ip(2), &owned);
    assert_eq!(update, OwnershipUpdate::FoundBySearch);
    let action = balancer.on_packet(&view, Millis(4), &LATER.request());
    assert_eq!(forwarded(&action), ip(2));
}

/// Guards against a new flow that is refused because members refused the earlier one from
/// its port.
#[test]
fn refusals_of_an_earlier_opening_do_not_count_for_a_later_one() {
    let view = view(&[1, 2]);
    let mut balancer = Balancer::new();
    let first = forwarded(&balancer.on_packet(&view, Millis(0), &EARLIER.opening()));
    let second = if first == ip(1) { ip(2) } else { ip(1) };
    let refusal = Refusal::Draining;
    let returned = frame(FrameKind::Returned(refusal), flow(PORT));
    let opening = EARLIER.opening();
    let action = balancer.on_returned(&view, Millis(1), first, refusal, &returned, &opening);
    assert_eq!(forwarded(&action), second);
    // The second member is silent, the caller gives up, and the first one takes flows again.
    let action = balancer.on_packet(&view, Millis(2000), &LATER.opening());
    assert_eq!(forwarded(&action), first);
    let busy = Refusal::Busy;
    let returned = frame(FrameKind::Returned(busy), flow(PORT));
    let action = balancer.on_returned(
        &view,
        Millis(2001),
        first,
        busy,
        &returned,
        &LATER.opening(),
    );
    assert_eq!(forwarded(&action), second, "it is not left out either");
}

/// A balancer that does not know [`LATER`], whose packet it has sent to an agent.
fn balancer_asking_for_later_flow(view: &View) -> Balancer {
    let mut balancer = balancer_beside(1..=3);
    balancer.on_packet(view, Millis(0), &EARLIER.request());
    balancer.on_packet(view, Millis(100), &LATER.request());
    balancer
}

/// Guards against a late return of an earlier flow's packet that counts as a denial, or
/// as the loss, of the next flow from its port.
#[test]
fn a_late_return_of_an_earlier_flows_packet_changes_nothing() {
    let view = view(&[1, 2, 3]);
    for refusal in [Refusal::Bounced, Refusal::Lost] {
        for late in [EARLIER.request(), EARLIER.opening()] {
            let mut balancer = balancer_asking_for_later_flow(&view);
            let returned = frame(FrameKind::Returned(refusal), flow(PORT));
            let action = balancer.on_returned(&view, Millis(101), ip(1), refusal, &returned, &late);
            assert_eq!(action, Action::Drop(DropReason::EarlierFlow), "{refusal:?}");
        }
    }
}

/// Guards against an opening that is placed again by a timer when the next flow from its
/// port has begun.
#[test]
fn timers_of_an_earlier_flows_packets_send_nothing() {
    let view = view(&[1, 2, 3]);
    let mut balancer = Balancer::new();
    balancer.on_packet(&view, Millis(0), &EARLIER.opening());
    balancer.on_packet(&view, Millis(50), &LATER.opening());
    let at = Millis(130);
    assert_eq!(
        balancer.on_reply_timeout(&view, at, &EARLIER.opening()),
        None
    );
    assert_eq!(
        balancer.on_reply_timeout(&view, at, &EARLIER.request()),
        None
    );
    assert!(
        balancer
            .on_reply_timeout(&view, at, &LATER.opening())
            .is_some()
    );
}

/// Guards against a reset of an open flow by a server that still remembers the earlier one
/// from its port. Its agent has restarted since, so it can't tell them apart before.
#[test]
fn a_servers_reset_of_an_earlier_flow_is_held_back() {
    let mut fixture = Fixture::new();
    fixture.forwards(Inquiry::OwnerOfCopy, &LATER.request());
    let reset = Segment {
        rst: true,
        ..EARLIER.server_fin()
    };
    let view = Some(&fixture.view);
    let outbound = fixture.agent.on_server_packet(view, Millis(9), &reset);
    assert!(outbound.resets_earlier_flow);
    assert_eq!(outbound.denied_to, [None, Some(balancer_ip(1))]);
}

/// Guards against packets of an open flow that go on to a server which has the earlier one
/// from its port still open: the caller has given that flow up.
#[test]
fn a_servers_acknowledgement_of_an_earlier_flow_denies_the_later_one() {
    let mut fixture = Fixture::new();
    fixture.forwards(Inquiry::OwnerOfCopy, &LATER.request());
    let acknowledgement = Segment {
        len: 0,
        ..EARLIER.response()
    };
    let view = Some(&fixture.view);
    let agent = &mut fixture.agent;
    let outbound = agent.on_server_packet(view, Millis(9), &acknowledgement);
    assert!(!outbound.resets_earlier_flow);
    assert_eq!(outbound.denied_to, [None, Some(balancer_ip(1))]);
    assert_ne!(fixture.knowledge(), Knowledge::Has);
}

/// Guards against a server's reset of its own flow that does not reach the caller.
#[test]
fn a_servers_reset_of_its_own_flow_is_delivered() {
    for is_known in [true, false] {
        let mut fixture = Fixture::new();
        if is_known {
            fixture.serve(LATER);
        }
        fixture.forwards(Inquiry::Owner, &LATER.request());
        let reset = Segment {
            rst: true,
            ..LATER.response()
        };
        let view = Some(&fixture.view);
        let outbound = fixture.agent.on_server_packet(view, Millis(9), &reset);
        assert!(!outbound.resets_earlier_flow && outbound.reset);
    }
}

/// Guards against a late denial, by an agent that was asked with a packet of the earlier
/// flow, that counts as a denial of the next one from its port.
#[test]
fn a_late_denial_of_an_earlier_flows_packet_changes_nothing() {
    let view = view(&[1, 2, 3]);
    let mut balancer = balancer_beside(1..=3);
    balancer.on_packet(&view, Millis(0), &LATER.request());
    balancer.on_reply_timeout(&view, Millis(70), &LATER.request());
    for last in [2, 3] {
        deny(&mut balancer, &view, 75, last);
    }
    let denied = frame(FrameKind::Denied, flow(PORT));
    let mut deny_packet =
        |seg: &Segment| balancer.on_denied_packet(&view, Millis(76), ip(1), &denied, seg);
    let action = deny_packet(&EARLIER.request());
    assert_eq!(action, Action::Drop(DropReason::EarlierFlow));
    let action = deny_packet(&LATER.request());
    assert!(
        matches!(action, Action::Reset(_)),
        "now all have: {action:?}"
    );
}

/// Guards against a wait of 0.6 s for an agent whose server has answered already that it
/// has another flow: it said first that it had delivered the packet.
#[test]
fn the_others_are_asked_soon_when_the_agent_asked_first_denies_the_flow() {
    let view = view(&[1, 2, 3]);
    let mut balancer = balancer_beside(1..=3);
    let asked = forwarded(&balancer.on_packet(&view, Millis(0), &LATER.request()));
    let delivered = frame(FrameKind::Heartbeat, flow(PORT));
    balancer.on_heartbeat(Millis(2), asked, &delivered);
    let denied = frame(FrameKind::Denied, flow(PORT));
    balancer.on_denied(&view, Millis(3), asked, &denied);
    let action = balancer.on_reply_timeout(&view, Millis(70), &LATER.request());
    let Some(Action::QueryOwner(query)) = action else {
        panic!("the others are not asked: {action:?}")
    };
    assert_eq!(query.agent_count(), 3);
}

/// Guards against an open flow that loses its owner by a late denial of an earlier
/// question: the owner was left out, and all others denied the flow.
#[test]
fn a_late_denial_by_key_takes_no_owner_away() {
    let view = view(&[1, 2, 3]);
    for is_placed_here in [true, false] {
        let mut balancer = balancer_beside(1..=3);
        let first = if is_placed_here {
            LATER.opening()
        } else {
            LATER.request()
        };
        let owner = forwarded(&balancer.on_packet(&view, Millis(0), &first));
        let denied = frame(FrameKind::Denied, flow(PORT));
        balancer.on_denied(&view, Millis(1), owner, &denied);
        balancer.on_packet(&view, Millis(2), &LATER.request());
        balancer.on_reply_timeout(&view, Millis(80), &LATER.request());
        let others = [1, 2, 3].into_iter().filter(|last| ip(*last) != owner);
        for last in others {
            let action = deny(&mut balancer, &view, 85, last);
            assert!(
                !matches!(action, Action::Reset(_)),
                "placed here: {is_placed_here}"
            );
        }
        let owned = frame(FrameKind::Owned, flow(PORT));
        balancer.on_owned(Millis(90), owner, &owned);
        let action = balancer.on_packet(&view, Millis(91), &LATER.request());
        assert_eq!(forwarded(&action), owner, "placed here: {is_placed_here}");
    }
}

/// Guards against an opening that is taken back when the server sends one more packet of
/// the earlier flow before it answers.
#[test]
fn packets_of_an_earlier_flow_deny_no_opening() {
    let mut fixture = Fixture::new();
    fixture.forwards(Inquiry::Owner, &LATER.opening());
    let reset = Segment {
        rst: true,
        ..EARLIER.response()
    };
    for (seg, held_back) in [(EARLIER.response(), false), (reset, true)] {
        let view = Some(&fixture.view);
        let outbound = fixture.agent.on_server_packet(view, Millis(9), &seg);
        assert_eq!(outbound.denied_to, [None; 2]);
        assert_eq!(outbound.resets_earlier_flow, held_back);
    }
    let view = Some(&fixture.view);
    let agent = &mut fixture.agent;
    let outbound = agent.on_server_packet(view, Millis(10), &LATER.syn_ack());
    assert_eq!(outbound.notify, Some(balancer_ip(1)));
}

/// Fills the server, so that openings wait.
fn fill_server(fixture: &mut Fixture) {
    for port in 100..106 {
        fixture.forwards(Inquiry::Owner, &opening(flow(port), 0));
        fixture.server_sends(&syn_ack(flow(port)));
        fixture.forwards(Inquiry::None, &segment(flow(port)));
    }
}

/// What happens to the opening that waits once a slot is free.
fn dequeue(fixture: &mut Fixture) -> Option<Dequeued> {
    fixture.server_sends(&segment(flow(100)));
    fixture.agent.poll_queue(Some(&fixture.view), fixture.now)
}

/// Guards against an opening that is taken for a copy of the one that waits, and is
/// dropped, though its caller has given that one up.
#[test]
fn a_later_opening_takes_the_place_of_one_that_waits() {
    let mut fixture = Fixture::new();
    fill_server(&mut fixture);
    let busy = Inquiry::OwnerEvenIfBusy;
    let waits = fixture.balancer_sends(busy, &EARLIER.opening());
    assert_eq!(waits, Inbound::Queue);
    let copy = fixture.balancer_sends(busy, &EARLIER.opening());
    assert_eq!(copy, Inbound::AlreadyQueued);
    let later = fixture.balancer_sends(busy, &LATER.opening());
    assert_eq!(later, Inbound::Queue);
    assert_eq!(fixture.agent.queue_len(), 1);
    let dequeued = dequeue(&mut fixture);
    assert!(
        matches!(dequeued, Some(Dequeued::Forward(..))),
        "{dequeued:?}"
    );
    fixture.server_sends(&LATER.syn_ack());
    fixture.forwards(Inquiry::None, &LATER.request());
    assert_eq!(fixture.knowledge(), Knowledge::Has);
}

/// Guards against an opening that is dropped without a word, because a late packet of the
/// earlier flow from its port seemed to show that the caller has an answer.
#[test]
fn packets_of_an_earlier_flow_do_not_answer_an_opening_that_waits() {
    for of_server in [true, false] {
        let mut fixture = Fixture::new();
        fixture.serve(EARLIER);
        fill_server(&mut fixture);
        let waits = fixture.balancer_sends(Inquiry::OwnerEvenIfBusy, &LATER.opening());
        assert_eq!(waits, Inbound::Queue);
        if of_server {
            fixture.server_sends(&EARLIER.response());
        } else {
            fixture.forwards(Inquiry::None, &EARLIER.caller_fin());
        }
        let dequeued = dequeue(&mut fixture);
        let passes = matches!(dequeued, Some(Dequeued::Forward(..)));
        assert!(passes, "{dequeued:?}, packet of the server: {of_server}");
    }
}

/// Guards against a slot that is released too soon, by the time limit of an earlier flow's
/// first request.
#[test]
fn a_reserved_slot_has_the_time_limit_of_its_own_flow() {
    let mut fixture = Fixture::new();
    let (mark, _) = fixture.forwards(Inquiry::Owner, &EARLIER.opening());
    let view = Some(&fixture.view);
    fixture
        .agent
        .on_bounce(view, fixture.now, mark.0, &EARLIER.opening());
    fixture.now = Millis(50);
    fixture.forwards(Inquiry::Owner, &LATER.opening());
    for (at, in_progress) in [(100, 1), (120, 0)] {
        fixture.agent.poll_queue(Some(&fixture.view), Millis(at));
        assert_eq!(fixture.agent.in_progress(), in_progress, "at {at} ms");
    }
}

/// Guards against an open flow whose packets are refused, because one more opening came
/// between its own and the server's answer.
#[test]
fn an_answer_to_the_opening_before_the_last_one_begins_its_flow() {
    let late = Flow {
        caller_start: 0x3000_0000,
        ..LATER
    };
    let mut fixture = Fixture::new();
    fixture.serve(EARLIER);
    fixture.forwards(Inquiry::Owner, &LATER.opening());
    fixture.forwards(Inquiry::Owner, &late.opening());
    fixture.server_sends(&LATER.syn_ack());
    fixture.forwards(Inquiry::None, &LATER.request());
    fixture.server_sends(&LATER.response());
    assert_eq!(fixture.knowledge(), Knowledge::Has);
    let inbound = fixture.balancer_sends(Inquiry::Owner, &EARLIER.request());
    assert_eq!(inbound, Inbound::Refuse(Refusal::Bounced));
}

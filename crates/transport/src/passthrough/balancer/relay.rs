//! Sends owner queries to relays, and handles the answers that they return.

use std::net::Ipv4Addr;

use ramp_coordination::passthrough::balancer::Action;
use ramp_coordination::passthrough::balancer::RelayedAnswer;
use ramp_coordination::passthrough::balancer::RelayedOutcome;
use ramp_coordination::passthrough::view::View;
use ramp_protocol::format::PacketFormat;
use ramp_protocol::frame::Frame;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::Knowledge;
use ramp_protocol::frame::LIST_LIMIT_FLOWS;
use ramp_protocol::frame::read_agents_and_list;
use ramp_protocol::frame::write_agents_and_list;
use ramp_state::key::ServiceId;

use super::Worker;

impl<F: PacketFormat> Worker<F> {
    /// Sends the queries to relays that were collected in this loop iteration.
    pub(super) fn send_relay_queries(&mut self) {
        let lists = self.owner_queries.take_relay_lists();
        let Some(view) = self.view.clone().filter(|_| !lists.is_empty()) else {
            return;
        };
        let Some(tag) = self.balancer.next_relay_tag() else {
            return;
        };
        let mut body = Vec::new();
        for (relay, list) in lists {
            let named: Vec<Ipv4Addr> = list.named.into_iter().collect();
            for part in list.flows.chunks(LIST_LIMIT_FLOWS) {
                write_agents_and_list(&named, part, &mut body);
                let kind = FrameKind::RelayQuery;
                self.send_frame(&view, tag.to_flow(), relay, kind, ServiceId(0), &body);
            }
        }
    }

    pub(super) fn handle_relay_reply(
        &mut self,
        view: &View,
        from: Ipv4Addr,
        knowledge: Knowledge,
        frame: &Frame,
        body: &[u8],
    ) {
        let Some((agents, list)) = read_agents_and_list(body) else {
            return self.telemetry.unreadable();
        };
        self.telemetry.relay_reply();
        let now = self.traffic.clock.now();
        self.balancer
            .on_relay_reply(now, from, frame, knowledge, &agents);
        for entry in list {
            for agent in &agents {
                let answer = RelayedAnswer {
                    relay: from,
                    agent: *agent,
                    flow: entry.flow,
                    knowledge,
                    frame,
                };
                self.handle_relayed_answer(view, answer);
            }
        }
    }

    fn handle_relayed_answer(&mut self, view: &View, answer: RelayedAnswer) {
        let now = self.traffic.clock.now();
        let RelayedAnswer { agent, flow, .. } = answer;
        match self.balancer.on_relayed_answer(view, now, answer) {
            RelayedOutcome::Owned(update) => {
                let frame = Frame {
                    flow,
                    ..*answer.frame
                };
                self.forward_kept_packet(view, agent, &frame, update);
            }
            RelayedOutcome::Denied(Action::Reset(reset)) => self.send_reset(reset),
            RelayedOutcome::NeedsPacket => self.copy_kept_packet(view, agent, flow),
            RelayedOutcome::Denied(_) | RelayedOutcome::Ignored => {}
        }
    }
}

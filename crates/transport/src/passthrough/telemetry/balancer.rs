//! Metrics and log lines of a balancer's traffic thread.

use std::net::Ipv4Addr;

use metrics::Counter;
use metrics::Histogram;
use metrics::counter;
use metrics::histogram;
use ramp_coordination::passthrough::balancer::Action;
use ramp_coordination::passthrough::balancer::OverdueReply;
use ramp_coordination::passthrough::balancer::OwnershipUpdate;
use ramp_coordination::passthrough::balancer::RelayRequest;
use ramp_coordination::passthrough::balancer::Reset;
use ramp_coordination::passthrough::balancer::StalledSearch;
use ramp_coordination::passthrough::view::View;
use ramp_protocol::frame::Frame;
use ramp_protocol::frame::Inquiry;
use ramp_protocol::frame::Refusal;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;

use super::drop_name;
use super::pending_name;
use super::refusal_name;
use super::reset_name;
use super::uncertainty_name;

/// Counters of one balancer. Each method records one kind of event.
pub struct Telemetry {
    packets: Counter,
    unreadable: Counter,
    placed: Counter,
    inquired: Counter,
    asked: Counter,
    relayed: Counter,
    relay_replies: Counter,
    unanswered: Counter,
    send_failed: Counter,
    opening_s: Histogram,
}

impl Default for Telemetry {
    fn default() -> Telemetry {
        Telemetry {
            packets: counter!("passthrough_balancer_packets_total"),
            unreadable: counter!("passthrough_balancer_unreadable_total"),
            placed: counter!("passthrough_balancer_placed_total"),
            inquired: counter!("passthrough_balancer_inquired_total"),
            asked: counter!("passthrough_balancer_asked_total"),
            relayed: counter!("passthrough_balancer_relayed_total"),
            relay_replies: counter!("passthrough_balancer_relay_replies_total"),
            unanswered: counter!("passthrough_balancer_unanswered_total"),
            send_failed: counter!("passthrough_balancer_send_failed_total"),
            opening_s: histogram!("passthrough_balancer_opening_seconds"),
        }
    }
}

impl Telemetry {
    /// A packet arrived from the routers.
    pub fn packet(&self) {
        self.packets.increment(1);
    }

    /// A datagram is not a valid frame or packet.
    pub fn unreadable(&self) {
        self.unreadable.increment(1);
    }

    /// An action was chosen for a packet.
    pub fn action(&self, view: &View, seg: &Segment, action: &Action) {
        match action {
            Action::Forward { agent, inquiry, .. } if seg.opens => {
                self.placed.increment(1);
                log::info!(
                    caller:% = seg.key.caller,
                    address:% = seg.key.service,
                    copy = seg.ack,
                    agent:% = agent,
                    though_busy = *inquiry == Inquiry::OwnerEvenIfBusy,
                    version = view.version.0,
                    revision = view.newest.0;
                    "new flow placed"
                );
            }
            Action::Forward { inquiry, .. } if *inquiry == Inquiry::None => {}
            Action::Forward { agent, .. } => {
                self.inquired.increment(1);
                log::info!(
                    caller:% = seg.key.caller,
                    address:% = seg.key.service,
                    agent:% = agent,
                    seq = seg.seq,
                    version = view.version.0,
                    revision = view.newest.0;
                    "agent asked whether its server has a flow"
                );
            }
            Action::QueryOwner(query) => {
                self.asked.increment(1);
                log::info!(
                    caller:% = seg.key.caller,
                    address:% = seg.key.service,
                    servers_asked = query.packet_copies.len(),
                    agents_asked = query.by_key.len(),
                    revision = view.newest.0;
                    "owner of a flow asked for"
                );
                if let Some(relay) = &query.relay {
                    self.relayed(seg, relay);
                }
                if let Some(overdue) = query.overdue {
                    self.unanswered(seg, overdue);
                }
            }
            // Logged by `reset`.
            Action::Reset(_) => {}
            Action::Drop(reason) => {
                let reason = drop_name(*reason);
                counter!("passthrough_balancer_dropped_total", "reason" => reason).increment(1);
                log::info!(
                    caller:% = seg.key.caller,
                    reason,
                    revision = view.newest.0;
                    "packet dropped"
                );
            }
        }
    }

    /// A search for the owner of a flow is stalled.
    pub fn stalled_search(&self, flow: &FlowKey, stalled: &StalledSearch) {
        let doubt = stalled.view_uncertainty.map_or("none", uncertainty_name);
        for agent in &stalled.pending_sample {
            let reason = pending_name(agent.reason);
            counter!("passthrough_balancer_held_up_total", "reason" => reason).increment(1);
        }
        if stalled.pending_sample.is_empty() {
            counter!("passthrough_balancer_held_up_total", "reason" => doubt).increment(1);
        }
        let agents = stalled.pending_sample.iter();
        let agents: Vec<String> = agents
            .map(|a| format!("{} {}", a.agent, pending_name(a.reason)))
            .collect();
        log::info!(
            caller:% = flow.caller,
            address:% = flow.service,
            waited_ms = stalled.waited.as_millis() as u64,
            denied = stalled.denied_count,
            left = stalled.pending_count,
            agents:% = agents.join(", "),
            doubt;
            "search for a flow's owner goes on"
        );
    }

    fn relayed(&self, seg: &Segment, request: &RelayRequest) {
        self.relayed.increment(1);
        log::info!(
            caller:% = seg.key.caller,
            relay:% = request.relay,
            agents_asked = request.holder_count,
            agents_named = request.named.len();
            "owner of a flow asked for through a relay"
        );
    }

    /// A relay has returned answers.
    pub fn relay_reply(&self) {
        self.relay_replies.increment(1);
    }

    fn unanswered(&self, seg: &Segment, overdue: OverdueReply) {
        self.unanswered.increment(1);
        log::info!(
            caller:% = seg.key.caller,
            agent:% = overdue.agent,
            confirmed = overdue.confirmed,
            waited_ms = overdue.waited.as_millis() as u64;
            "agent has not answered for a flow"
        );
    }

    /// An agent returned a packet.
    pub fn returned(&self, from: Ipv4Addr, refusal: Refusal, frame: &Frame) {
        let reason = refusal_name(refusal);
        counter!("passthrough_balancer_returned_total", "reason" => reason).increment(1);
        log::info!(
            caller:% = frame.flow.caller,
            agent:% = from,
            reason,
            in_progress = frame.in_progress,
            version = frame.version.0,
            revision = frame.revision;
            "packet sent back by an agent"
        );
    }

    /// An agent reported that its server has a flow.
    pub fn owned(&self, flow: &FlowKey, from: Ipv4Addr, update: OwnershipUpdate) {
        match update {
            OwnershipUpdate::Confirmed { after } => self.opening_s.record(after.as_secs_f64()),
            OwnershipUpdate::FoundBySearch => {
                log::info!(caller:% = flow.caller, agent:% = from; "owner of a flow found");
            }
            OwnershipUpdate::Known | OwnershipUpdate::Outdated => {}
        }
    }

    /// A reset is sent to a caller.
    pub fn reset(&self, view: Option<&View>, reset: &Reset) {
        let reason = reset_name(reset.reason);
        counter!("passthrough_balancer_resets_total", "reason" => reason).increment(1);
        log::info!(
            caller:% = reset.flow.caller,
            address:% = reset.flow.service,
            reason,
            version = view.map_or(0, |v| v.version.0),
            revision = view.map_or(0, |v| v.newest.0),
            holders = view.map_or(0, |v| v.holders().count());
            "caller reset"
        );
    }

    /// The operating system did not accept a datagram.
    pub fn send_failed(&self, to: impl std::fmt::Display, err: &std::io::Error) {
        self.send_failed.increment(1);
        log::warn!(to:%, error:% = err; "datagram not sent");
    }
}

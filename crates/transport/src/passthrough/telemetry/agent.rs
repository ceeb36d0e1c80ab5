//! Telemetry of an agent's traffic thread.

use std::fmt::Display;
use std::io;
use std::net::Ipv4Addr;

use metrics::Counter;
use metrics::Histogram;
use metrics::counter;
use metrics::histogram;
use ramp_coordination::passthrough::agent::Outbound;
use ramp_coordination::passthrough::agent::UnansweredRequest;
use ramp_coordination::passthrough::view::View;
use ramp_protocol::format::RequestId;
use ramp_protocol::frame::Frame;
use ramp_protocol::frame::Refusal;
use ramp_state::key::FlowKey;

use super::refusal_name;

/// Counters of one agent, and its log lines.
pub struct Telemetry {
    passed: Counter,
    unreadable: Counter,
    bounced: Counter,
    delivered: Counter,
    send_failed: Counter,
    lost: Counter,
    answer_s: Histogram,
}

impl Default for Telemetry {
    fn default() -> Telemetry {
        Telemetry {
            passed: counter!("passthrough_agent_passed_total"),
            unreadable: counter!("passthrough_agent_unreadable_total"),
            bounced: counter!("passthrough_agent_bounced_total"),
            delivered: counter!("passthrough_agent_delivered_total"),
            send_failed: counter!("passthrough_agent_send_failed_total"),
            lost: counter!("passthrough_agent_lost_total"),
            answer_s: histogram!("passthrough_agent_answer_seconds"),
        }
    }
}

impl Telemetry {
    /// Whether this process knows all flows of its server, and so denies others
    /// by itself. Both times are Unix milliseconds of the machine.
    pub fn knowledge(&self, complete: bool, born_ms: Option<u64>, started_ms: u64) {
        log::info!(complete, born_ms:?, started_ms; "what is known of the server's flows");
    }

    /// A datagram is no packet or frame.
    pub fn unreadable(&self) {
        self.unreadable.increment(1);
    }

    /// A packet went to the server.
    pub fn passed(&self) {
        self.passed.increment(1);
    }

    /// A request got no answer for long.
    pub fn unanswered(&self, unanswered: &UnansweredRequest) {
        log::warn!(
            caller:% = unanswered.flow.caller,
            address:% = unanswered.flow.service,
            request = name(unanswered.request.as_ref());
            "request not answered by the server"
        );
    }

    /// A packet was not taken.
    pub fn refused(
        &self,
        view: Option<&View>,
        balancer: Ipv4Addr,
        refusal: Refusal,
        frame: &Frame,
        in_progress: u16,
    ) {
        let reason = refusal_name(refusal);
        counter!("passthrough_agent_refused_total", "reason" => reason).increment(1);
        log::info!(
            caller:% = frame.flow.caller,
            balancer:% = balancer,
            reason,
            in_progress,
            version = view.map_or(0, |v| v.version.0),
            revision = view.map_or(0, |v| v.newest.0),
            balancer_version = frame.version.0;
            "new flow refused"
        );
    }

    /// Whether there is a server has changed; with how many flows it ended.
    pub fn presence(&self, present: bool, lost_flows: usize) {
        if present {
            log::info!("the server takes connections again");
        } else {
            self.lost.increment(lost_flows as u64);
            log::warn!(lost_flows; "no server takes connections here: its flows are lost");
        }
    }

    /// A new flow has waited in vain.
    pub fn gave_up(&self, flow: &FlowKey, refusal: Refusal, in_progress: u16) {
        let reason = refusal_name(refusal);
        counter!("passthrough_agent_refused_total", "reason" => reason).increment(1);
        log::info!(
            caller:% = flow.caller,
            reason,
            in_progress;
            "new flow refused"
        );
    }

    /// The server does not take a packet. A copy that went to several servers
    /// is expected to be bounced by most.
    pub fn bounced(&self, flow: &FlowKey, request: Option<RequestId>, copy: bool) {
        self.bounced.increment(1);
        if copy {
            return;
        }
        log::info!(
            caller:% = flow.caller,
            request = name(request.as_ref());
            "packet bounced by the server"
        );
    }

    /// A packet of the server went to a caller. `failure`: the HTTP status of
    /// a failed answer that begins in it.
    pub fn delivered(
        &self,
        flow: &FlowKey,
        request: Option<RequestId>,
        outbound: &Outbound,
        failure: Option<u16>,
    ) {
        self.delivered.increment(1);
        if let Some(after) = outbound.response_time {
            self.answer_s.record(after.as_secs_f64());
        }
        if let Some(status) = failure {
            log::info!(
                caller:% = flow.caller,
                request = name(request.as_ref()),
                status;
                "failed answer of the server"
            );
        }
        if outbound.reset {
            log::info!(
                caller:% = flow.caller,
                request = name(request.as_ref());
                "flow reset by the server"
            );
        }
    }

    /// The operating system did not take a datagram.
    pub fn send_failed(&self, to: impl Display, err: &io::Error) {
        self.send_failed.increment(1);
        log::warn!(to:%, error:% = err; "datagram not sent");
    }
}

/// Text of an id; empty where no packet has shown one.
fn name(request: Option<&RequestId>) -> &str {
    request.map_or("", RequestId::as_str)
}

//! Metrics and log lines of an agent's traffic thread.

use std::borrow::Cow;
use std::fmt::Display;
use std::io;
use std::net::Ipv4Addr;

use metrics::Counter;
use metrics::Gauge;
use metrics::Histogram;
use metrics::counter;
use metrics::gauge;
use metrics::histogram;
use ramp_coordination::passthrough::agent::Outbound;
use ramp_coordination::passthrough::agent::UnansweredRequest;
use ramp_coordination::passthrough::search_relay::FinishedQuery;
use ramp_coordination::passthrough::search_relay::PeerQuery;
use ramp_coordination::passthrough::server_capacity::LimitChange;
use ramp_coordination::passthrough::view::View;
use ramp_protocol::capacity_report::CapacityReport;
use ramp_protocol::format::RequestId;
use ramp_protocol::frame::Frame;
use ramp_protocol::frame::Refusal;
use ramp_state::key::FlowKey;

use super::refusal_name;

/// Counters of one agent. Each method records one kind of event.
pub struct Telemetry {
    passed: Counter,
    unreadable: Counter,
    bounced: Counter,
    other_flow: Counter,
    delivered: Counter,
    send_failed: Counter,
    lost: Counter,
    relayed: Counter,
    relay_full: Counter,
    relay_unanswered: Counter,
    answer_s: Histogram,
    queue_length: Gauge,
    capacity_limit: Gauge,
    capacity_request_s: Gauge,
    capacity_age_s: Gauge,
}

impl Default for Telemetry {
    fn default() -> Telemetry {
        Telemetry {
            passed: counter!("passthrough_agent_passed_total"),
            unreadable: counter!("passthrough_agent_unreadable_total"),
            bounced: counter!("passthrough_agent_bounced_total"),
            other_flow: counter!("passthrough_agent_other_flow_total"),
            delivered: counter!("passthrough_agent_delivered_total"),
            send_failed: counter!("passthrough_agent_send_failed_total"),
            lost: counter!("passthrough_agent_lost_total"),
            relayed: counter!("passthrough_agent_relayed_total"),
            relay_full: counter!("passthrough_agent_relay_full_total"),
            relay_unanswered: counter!("passthrough_agent_relay_unanswered_total"),
            answer_s: histogram!("passthrough_agent_answer_seconds"),
            queue_length: gauge!("passthrough_agent_queue_length"),
            capacity_limit: gauge!("passthrough_agent_capacity_limit"),
            capacity_request_s: gauge!("passthrough_agent_capacity_request_seconds"),
            capacity_age_s: gauge!("passthrough_agent_capacity_age_seconds"),
        }
    }
}

impl Telemetry {
    /// The agent has found out whether it knows all flows of its server, so that it
    /// can deny others itself. `born_ms` is the start of the server and
    /// `started_ms` that of the agent, in Unix milliseconds.
    pub fn knowledge(&self, complete: bool, born_ms: Option<u64>, started_ms: u64) {
        log::info!(complete, born_ms:?, started_ms; "what is known of the server's flows");
    }

    /// The estimated capacity of the server; none: unknown.
    pub fn capacity(&self, report: Option<CapacityReport>) {
        let (limit, request_time, age) = report.map_or_else(Default::default, |report| {
            (report.limit, report.request_time, report.age)
        });
        self.capacity_limit.set(f64::from(limit));
        self.capacity_request_s.set(request_time.as_secs_f64());
        self.capacity_age_s.set(age.as_secs_f64());
    }

    /// The server's limit has changed by a quarter or more.
    pub fn limit_changed(&self, change: &LimitChange) {
        log::info!(
            limit_before = change.before,
            limit = change.after,
            request_ms = change.request_time.as_millis() as u64;
            "estimated capacity of the server changed"
        );
    }

    /// A datagram is not a valid frame or packet.
    pub fn unreadable(&self) {
        self.unreadable.increment(1);
    }

    /// A packet was forwarded to the server.
    pub fn passed(&self) {
        self.passed.increment(1);
    }

    /// The server has not answered a request for a long time.
    pub fn unanswered(&self, unanswered: &UnansweredRequest) {
        log::warn!(
            caller:% = unanswered.flow.caller,
            address:% = unanswered.flow.service,
            request = id_text(unanswered.request.as_ref());
            "request not answered by the server"
        );
    }

    /// A new flow was refused.
    pub fn refused(
        &self,
        view: Option<&View>,
        balancer: Ipv4Addr,
        refusal: Refusal,
        frame: &Frame,
        in_progress: u16,
    ) {
        let reason = refusal_name(refusal);
        let priority = priority_of(view, &frame.flow);
        count_refusal(reason, priority.clone());
        log::info!(
            caller:% = frame.flow.caller,
            balancer:% = balancer,
            reason,
            priority:%,
            in_progress,
            version = view.map_or(0, |v| v.version.0),
            revision = view.map_or(0, |v| v.newest.0),
            balancer_version = frame.version.0;
            "new flow refused"
        );
    }

    /// A packet was refused because its flow is not at the server.
    pub fn other_flow(&self, balancer: Ipv4Addr, flow: &FlowKey) {
        self.other_flow.increment(1);
        log::info!(
            caller:% = flow.caller,
            balancer:% = balancer;
            "packet refused: its flow is not at the server"
        );
    }

    /// The server has started or stopped to accept connections; `lost_flows` is the
    /// number of flows that it has lost.
    pub fn server_presence(&self, present: bool, lost_flows: usize) {
        if present {
            log::info!("the server takes connections again");
        } else {
            self.lost.increment(lost_flows as u64);
            log::warn!(lost_flows; "no server takes connections here: its flows are lost");
        }
    }

    /// A new flow was queued.
    pub fn queued(&self, view: Option<&View>, flow: &FlowKey) {
        let priority = priority_of(view, flow);
        counter!("passthrough_agent_queued_total", "priority" => priority).increment(1);
    }

    /// Number of new flows in the queue.
    pub fn queue_length(&self, length: usize) {
        self.queue_length.set(length as f64);
    }

    /// The queue has lasted for longer than a burst, or has ended after that.
    pub fn overloaded(&self, overloaded: bool, queue_length: usize, in_progress: u16) {
        if overloaded {
            log::warn!(queue_length, in_progress; "server overloaded: openings wait only briefly");
        } else {
            log::info!(queue_length, in_progress; "server no longer overloaded");
        }
    }

    /// A queued flow was refused.
    pub fn refused_queued(
        &self,
        view: Option<&View>,
        flow: &FlowKey,
        refusal: Refusal,
        in_progress: u16,
    ) {
        let reason = refusal_name(refusal);
        let priority = priority_of(view, flow);
        count_refusal(reason, priority.clone());
        log::info!(
            caller:% = flow.caller,
            reason,
            priority:%,
            queued = true,
            in_progress;
            "new flow refused"
        );
    }

    /// The server bounced a packet. `copy`: the packet was copied to several
    /// servers, most of which are expected to bounce it, so it is not logged.
    pub fn bounced(&self, flow: &FlowKey, request: Option<RequestId>, copy: bool) {
        self.bounced.increment(1);
        if copy {
            return;
        }
        log::info!(
            caller:% = flow.caller,
            request = id_text(request.as_ref());
            "packet bounced by the server"
        );
    }

    /// A packet of the server was sent to a caller. `failure`: HTTP status of an
    /// error response that begins in it.
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
                request = id_text(request.as_ref()),
                status;
                "failed answer of the server"
            );
        }
        if outbound.reset {
            log::info!(
                caller:% = flow.caller,
                request = id_text(request.as_ref());
                "flow reset by the server"
            );
        }
    }

    /// The server's reset of an earlier flow with this key was not sent to the caller.
    pub fn earlier_flow_reset(&self, flow: &FlowKey) {
        self.other_flow.increment(1);
        log::info!(
            caller:% = flow.caller;
            "reset of an earlier flow held back: the flow is not at the server"
        );
    }

    /// A balancer has asked this agent to relay an owner query; `query` is none if the
    /// query was dropped because too many flows are kept.
    pub fn relay_query(&self, balancer: Ipv4Addr, flows: usize, query: Option<&PeerQuery>) {
        let Some(query) = query else {
            self.relay_full.increment(1);
            log::warn!(balancer:% = balancer, flows; "relayed query dropped: too many flows");
            return;
        };
        self.relayed.increment(1);
        log::info!(
            balancer:% = balancer,
            flows,
            agents_asked = query.agents.len();
            "owner query relayed"
        );
    }

    /// A relayed query has ended.
    pub fn relay_finished(&self, finished: &FinishedQuery) {
        if finished.unanswered_count == 0 {
            return;
        }
        self.relay_unanswered
            .increment(finished.unanswered_count as u64);
        log::info!(
            balancer:% = finished.balancer,
            flows = finished.flow_count,
            agents_asked = finished.asked_count,
            unanswered = finished.unanswered_count;
            "relayed query not answered by all agents"
        );
    }

    /// The operating system did not accept a datagram.
    pub fn send_failed(&self, to: impl Display, err: &io::Error) {
        self.send_failed.increment(1);
        log::warn!(to:%, error:% = err; "datagram not sent");
    }
}

/// Priority of a flow's route as written in logs and metrics.
fn priority_of(view: Option<&View>, flow: &FlowKey) -> Cow<'static, str> {
    let priority = view.and_then(|v| v.route(flow.service)?.priority);
    priority.map_or(Cow::Borrowed("none"), |p| Cow::Owned(p.to_string()))
}

fn count_refusal(reason: &'static str, priority: Cow<'static, str>) {
    counter!("passthrough_agent_refused_total", "reason" => reason).increment(1);
    let labels = [("reason", Cow::Borrowed(reason)), ("priority", priority)];
    counter!("passthrough_agent_refused_by_priority_total", &labels).increment(1);
}

/// Text of a request id; empty if no packet contained one.
fn id_text(request: Option<&RequestId>) -> &str {
    request.map_or("", RequestId::as_str)
}

//! Table of the flows at an agent's server: which requests are in progress, and when
//! an idle flow is removed.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_protocol::format::RequestId;
use ramp_protocol::frame::Inquiry;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

use super::Agent;
use super::action::LostFlow;
use super::action::UnansweredRequest;
use super::flow::Flow;
use super::flow::Opening;
use super::flow::OwnerSubscriber;
use crate::passthrough::flow_sequence::FlowSequence;
use crate::passthrough::view::View;

/// Minimum time without a packet after which a flow is removed from the table.
const MIN_FLOW_RETENTION: Duration = Duration::from_secs(30);

/// Time for which a caller retransmits a packet before it gives up. While its
/// packets are lost, a flow in use may be silent here for this long.
pub(super) const CALLER_RETRANSMIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Time without a packet on its flow after which a request no longer counts as in
/// progress.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Time from the opening packet to the first request for which a slot is
/// reserved; a caller that has gone meanwhile must not keep it.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(60);

/// Flows whose age is checked per packet, so that no packet waits for a pass over
/// the whole table.
const SWEEP_FLOWS_PER_PACKET: usize = 2;

impl Agent {
    /// Records the request id that a packet of a flow carried.
    pub fn set_request_id(&mut self, flow: &FlowKey, request: RequestId) {
        if let Some(flow) = self.flows.get_mut(flow) {
            flow.request_id = Some(request);
        }
    }

    /// Id of the last request of a flow, if one of its packets carried it.
    pub fn last_request_id(&self, flow: &FlowKey) -> Option<RequestId> {
        self.flows.get(flow)?.request_id
    }

    /// Requests that have timed out without an answer since the last call. To be
    /// called regularly, also while no packets arrive.
    pub fn take_unanswered_requests(
        &mut self,
        view: Option<&View>,
        now: Millis,
    ) -> Vec<UnansweredRequest> {
        self.sweep_flows(view, now);
        std::mem::take(&mut self.unanswered_requests)
    }

    /// Frees the slots reserved for first requests that did not arrive in time.
    pub(super) fn expire_expected_requests(&mut self, now: Millis) {
        while let Some((since, key)) = self.expected_requests.front() {
            if now.since(*since) < FIRST_REQUEST_TIMEOUT {
                return;
            }
            // A later flow with this key has a time of its own.
            if let Some(flow) = self.flows.get_mut(key)
                && !flow.request_received
                && flow.request_since.take_if(|at| at == since).is_some()
            {
                self.in_progress = self.in_progress.saturating_sub(1);
            }
            self.expected_requests.pop_front();
        }
    }

    /// Records a caller's packet that goes to the server. Returns whether the balancer
    /// that sent it can be told now that the server has the flow; if it asked and can't,
    /// it is told later.
    pub(super) fn record_caller_packet(
        &mut self,
        now: Millis,
        from: Ipv4Addr,
        inquiry: Inquiry,
        seg: &Segment,
    ) -> bool {
        let asked = inquiry != Inquiry::None;
        let subscriber = asked.then_some(OwnerSubscriber {
            balancer: from,
            opening: seg.opens,
        });
        let opening = Opening {
            seq: seg.seq,
            subscriber,
        };
        if seg.opens && self.takes_later_opening(&seg.key, opening) {
            return false;
        }
        let flow = self.flows.entry(seg.key);
        let flow = flow.or_insert_with(|| Flow::new(now, FlowSequence::of(seg)));
        flow.last_packet_at = now;
        flow.note_caller_packet(seg);
        let owned = asked && flow.owned && flow.includes(seg) && !seg.opens;
        if let Some(subscriber) = subscriber.filter(|_| !owned) {
            flow.subscribe(subscriber);
        }
        let has_gap = flow.has_gap_before(seg);
        if flow.starts_request(seg) {
            let is_new = flow.request_since.is_none();
            flow.request_since.get_or_insert(now);
            self.count_request(now, seg, is_new, has_gap);
        }
        owned
    }

    /// Counts a request that a packet begins or continues.
    fn count_request(&mut self, now: Millis, seg: &Segment, is_new: bool, has_gap: bool) {
        if !seg.opens {
            self.capacity.on_request_data(now, seg.key, has_gap);
        }
        if !is_new {
            return;
        }
        if seg.opens {
            self.expected_requests.push_back((now, seg.key));
        }
        self.in_progress = self.in_progress.saturating_add(1);
    }

    pub(super) fn remove_flow(&mut self, key: &FlowKey) {
        self.capacity.abandon(key);
        if let Some(flow) = self.flows.swap_remove(key) {
            self.in_progress = self
                .in_progress
                .saturating_sub(u16::from(flow.request_since.is_some()));
        }
    }

    /// Removes all flows and requests in progress, because the server has ended.
    /// Returns those that were open.
    pub(super) fn remove_all_flows(&mut self) -> Vec<LostFlow> {
        self.expected_requests.clear();
        self.capacity.reset();
        self.in_progress = 0;
        self.unanswered_opening_since = None;
        let flows = std::mem::take(&mut self.flows);
        let lost = flows.into_iter().filter(|(_, f)| f.owned && !f.has_ended());
        lost.filter_map(|(key, flow)| {
            let seq = flow.last_caller_ack?;
            Some(LostFlow { flow: key, seq })
        })
        .collect()
    }

    pub(super) fn sweep_flows(&mut self, view: Option<&View>, now: Millis) {
        let idle_limit = view.map_or(Duration::ZERO, |v| v.idle_limit);
        let kept = MIN_FLOW_RETENTION.max(idle_limit + CALLER_RETRANSMIT_TIMEOUT);
        let (in_progress, unanswered_requests, capacity) = (
            &mut self.in_progress,
            &mut self.unanswered_requests,
            &mut self.capacity,
        );
        self.flow_sweep
            .evict(&mut self.flows, SWEEP_FLOWS_PER_PACKET, |key, flow| {
                let silence = now.since(flow.last_packet_at);
                if silence <= REQUEST_TIMEOUT {
                    return false;
                }
                if flow.request_since.take().is_some() {
                    *in_progress = in_progress.saturating_sub(1);
                }
                if std::mem::take(&mut flow.request_received) {
                    capacity.abandon(key);
                    unanswered_requests.push(UnansweredRequest {
                        flow: *key,
                        request: flow.request_id,
                    });
                }
                silence > kept
            });
    }
}

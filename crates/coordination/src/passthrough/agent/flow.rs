//! What an agent knows of the flows at its server.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_protocol::format::RequestId;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

use super::Agent;
use super::action::LostFlow;
use super::action::UnansweredRequest;
use crate::passthrough::view::View;

/// Shortest silence after which a flow is forgotten here.
const FLOW_KEPT: Duration = Duration::from_secs(30);

/// Time for which a caller sends a packet again before it gives up. A flow that
/// is in use may be silent here for so long when its packets are lost.
pub(super) const RESEND_LIMIT: Duration = Duration::from_secs(10);

/// Silence after which a request no longer counts as in progress.
const REQUEST_LIMIT: Duration = Duration::from_secs(2);

/// Time that a request may take to come once its flow is given to the server;
/// a caller that has gone meanwhile must not hold a slot.
const REQUEST_DUE: Duration = Duration::from_millis(60);

/// How far the caller's acknowledgements may be past the server's answer to the
/// opening while they still acknowledge it.
const ANSWER_WINDOW_BYTES: u32 = 1 << 17;

/// Flows looked at for their age with each packet.
const SWEEP_FLOWS: usize = 2;

/// A balancer that waits to hear of a flow's owner.
#[derive(Clone, Copy, Debug)]
pub(super) struct Asker {
    pub(super) balancer: Ipv4Addr,
    /// Whether it sent the opening: any answer of the server will do.
    pub(super) opening: bool,
}

/// A flow at the server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Flow {
    /// Balancers that wait to hear of its owner: the routers may have
    /// turned to another one meanwhile.
    askers: [Option<Asker>; 2],
    /// Whether the server has sent something on it.
    pub(super) open: bool,
    /// Sequence number of the server's answer to the opening. Another server
    /// may have answered as well.
    answer_seq: Option<u32>,
    /// Whether the caller has taken this server's answer.
    pub(super) owned: bool,
    /// What the caller acknowledged last.
    caller_ack: Option<u32>,
    /// Since when a request is in progress, or about to come.
    pub(super) busy_since: Option<Millis>,
    /// Whether the request has come; before, it is only expected.
    pub(super) running: bool,
    /// The request in progress, where a packet has shown its id.
    pub(super) request: Option<RequestId>,
    /// Sequence number behind the newest data of the caller.
    pub(super) next_seq: u32,
    pub(super) seen_at: Millis,
}

impl Flow {
    pub(super) fn new(now: Millis, next_seq: u32) -> Flow {
        Flow {
            askers: [None; 2],
            open: false,
            answer_seq: None,
            owned: false,
            caller_ack: None,
            busy_since: None,
            running: false,
            request: None,
            next_seq,
            seen_at: now,
        }
    }

    /// Takes note of a packet of the caller: it acknowledges the answer of the
    /// server that it took.
    pub(super) fn caller_sent(&mut self, seg: &Segment) {
        if !seg.opens && seg.has_ack {
            self.caller_ack = Some(seg.ack);
        }
        let Some(answer_seq) = self.answer_seq else {
            return;
        };
        let acked = seg.ack.wrapping_sub(answer_seq);
        if !seg.opens && seg.has_ack && acked <= ANSWER_WINDOW_BYTES {
            self.owned = true;
        }
    }

    /// Takes note of a packet of the server, which sends nothing but its answer
    /// on a flow whose caller took another.
    pub(super) fn server_sent(&mut self, seg: &Segment) {
        self.open = true;
        if !seg.syn {
            self.owned = true;
            return;
        }
        if self.answer_seq.is_some_and(|held| held != seg.seq) {
            // The caller uses its port again.
            self.owned = false;
        }
        self.answer_seq = Some(seg.seq);
    }

    /// Whether a packet of the server shows that the flow was open before this
    /// process started. Acknowledgements do not: an ended flow gets them too.
    pub(super) fn is_older(&self, seg: &Segment) -> bool {
        seg.len > 0 && self.answer_seq.is_none()
    }

    /// A balancer waits to hear of the owner; of more than two the last ones do.
    pub(super) fn ask(&mut self, asker: Asker) {
        let is_other = |held: &Asker| held.balancer != asker.balancer;
        let [older, newer] = &mut self.askers;
        if newer.as_ref().is_some_and(is_other) {
            *older = *newer;
        }
        *older = older.filter(is_other);
        *newer = Some(asker);
    }

    /// A balancer that is to be told now that the server has sent a packet.
    pub(super) fn take_told(&mut self) -> Option<Ipv4Addr> {
        let owned = self.owned;
        let mut askers = self.askers.iter_mut();
        let told = askers.find_map(|held| held.take_if(|a| a.opening || owned))?;
        Some(told.balancer)
    }

    /// Whether a packet of the caller opens the flow or brings new data. The
    /// request of a flow that opens is counted at once: it follows soon, and
    /// openings that come together must not be taken for an idle server's.
    /// Data on a flow that the server may not have is not counted.
    pub(super) fn begins_request(&mut self, seg: &Segment) -> bool {
        if seg.opens {
            self.next_seq = seg.seq;
            return true;
        }
        let end = seg.seq.wrapping_add(seg.len);
        let new = self.open && seg.len > 0 && end.wrapping_sub(self.next_seq) as i32 > 0;
        if new {
            self.next_seq = end;
            self.running = true;
        }
        new
    }
}

impl Agent {
    /// Takes note of the id that a packet of a flow has shown.
    pub fn set_request_id(&mut self, flow: &FlowKey, request: RequestId) {
        if let Some(flow) = self.flows.get_mut(flow) {
            flow.request = Some(request);
        }
    }

    /// Id of the last request of a flow, where a packet has shown it.
    pub fn last_request_id(&self, flow: &FlowKey) -> Option<RequestId> {
        self.flows.get(flow)?.request
    }

    /// Requests that were found unanswered since the last call. To be called
    /// now and then, also when no packets come.
    pub fn take_unanswered_requests(
        &mut self,
        view: Option<&View>,
        now: Millis,
    ) -> Vec<UnansweredRequest> {
        self.sweep(view, now);
        std::mem::take(&mut self.unanswered)
    }

    /// Frees the slots of requests that did not come.
    pub(super) fn expire_expected(&mut self, now: Millis) {
        while let Some((since, key)) = self.expected.front() {
            if now.since(*since) < REQUEST_DUE {
                return;
            }
            if let Some(flow) = self.flows.get_mut(key)
                && !flow.running
                && flow.busy_since.take().is_some()
            {
                self.busy = self.busy.saturating_sub(1);
            }
            self.expected.pop_front();
        }
    }

    pub(super) fn forget(&mut self, key: &FlowKey) {
        if let Some(flow) = self.flows.swap_remove(key) {
            self.busy = self
                .busy
                .saturating_sub(u16::from(flow.busy_since.is_some()));
        }
    }

    /// No server is there, so it has no flow and works on no request. Gives the
    /// flows that it had.
    pub(super) fn forget_all(&mut self) -> Vec<LostFlow> {
        self.expected.clear();
        self.busy = 0;
        self.unanswered_since = None;
        let flows = std::mem::take(&mut self.flows);
        let lost = flows.into_iter().filter(|(_, flow)| flow.owned);
        lost.filter_map(|(key, flow)| {
            let seq = flow.caller_ack?;
            Some(LostFlow { flow: key, seq })
        })
        .collect()
    }

    pub(super) fn sweep(&mut self, view: Option<&View>, now: Millis) {
        let idle_limit = view.map_or(Duration::ZERO, |v| v.idle_limit);
        let kept = FLOW_KEPT.max(idle_limit + RESEND_LIMIT);
        let (busy, unanswered) = (&mut self.busy, &mut self.unanswered);
        self.swept.evict(&mut self.flows, SWEEP_FLOWS, |key, flow| {
            let silence = now.since(flow.seen_at);
            if silence <= REQUEST_LIMIT {
                return false;
            }
            if flow.busy_since.take().is_some() {
                *busy = busy.saturating_sub(1);
            }
            if std::mem::take(&mut flow.running) {
                unanswered.push(UnansweredRequest {
                    flow: *key,
                    request: flow.request,
                });
            }
            silence > kept
        });
    }
}

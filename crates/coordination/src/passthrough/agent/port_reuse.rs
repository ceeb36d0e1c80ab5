//! Flows that follow each other with the same key, because the caller uses its port
//! again.
//!
//! The table keeps a flow for a while after it has ended, or after its caller has given
//! it up. A packet of a later flow must not be taken for one of that flow: the later
//! flow may be at another server. All openings for the server pass here, so once the
//! server has accepted one, it has no other flow with that key, and a packet that does
//! not fit is refused without asking the server.
//!
//! The server decides whether an opening ends the flow before it: until it has answered
//! the opening, the flow before it keeps its place.

use std::net::Ipv4Addr;

use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

use super::Agent;
use super::flow::Flow;
use super::flow::Opening;
use crate::passthrough::flow_sequence::FlowSequence;

/// How a packet fits the flow with its key in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fit {
    /// It may be of this flow, or there is none.
    Same,
    /// It is of a flow that the server does not have.
    Elsewhere,
    /// It is of another flow; only the server can tell whether it has that.
    Unknown,
}

impl Agent {
    /// Whether an opening is a copy of one that went to the server and whose flow has not
    /// ended. Any other one must be admitted first.
    pub(super) fn has_admitted(&self, seg: &Segment) -> bool {
        self.flows.get(&seg.key).is_some_and(|flow| {
            let waits = flow.later_opening.is_some_and(|o| o.seq == seg.seq);
            waits || (flow.sequence.includes_opening(seg.seq) && !flow.has_ended())
        })
    }

    /// How a packet of an open flow fits the flow in the table.
    pub(super) fn fit_of(&self, seg: &Segment) -> Fit {
        let Some(flow) = self.flows.get(&seg.key).filter(|f| !f.includes(seg)) else {
            return Fit::Same;
        };
        // An acknowledgement alone may be of another server's answer to the same opening,
        // which the server here bounces, unless it still remembers an ended flow.
        let certain = !flow.sequence.includes(seg) || flow.has_ended();
        if flow.was_accepted_here() && certain {
            Fit::Elsewhere
        } else {
            Fit::Unknown
        }
    }

    /// Prepares the table for an opening that goes to the server. True: the server may
    /// have an earlier flow with its key, which keeps its place.
    pub(super) fn takes_later_opening(&mut self, key: &FlowKey, opening: Opening) -> bool {
        let flow = self.flows.get_mut(key);
        let Some(earlier) = flow.filter(|f| !f.sequence.includes_opening(opening.seq)) else {
            return false;
        };
        if earlier.has_ended() {
            self.remove_flow(key);
            return false;
        }
        earlier.later_opening = Some(opening);
        true
    }

    /// Begins the flow that the server accepts with this packet, if openings of later
    /// flows went to it. The last one is known; the answer may be to one before it.
    pub(super) fn accept_later_opening(&mut self, now: Millis, seg: &Segment) {
        let flow = self.flows.get(&seg.key);
        let flow = flow.filter(|f| seg.syn && seg.has_ack && !f.sequence.acknowledged_by(seg));
        let Some(last) = flow.and_then(|f| f.later_opening) else {
            return;
        };
        let accepted = if FlowSequence::opened_at(last.seq).acknowledged_by(seg) {
            last
        } else {
            Opening {
                seq: seg.ack.wrapping_sub(1),
                subscriber: None,
            }
        };
        self.begin_flow(now, seg.key, accepted);
    }

    /// If a packet of the server is not of the flow in the table, which it has never shown
    /// to have, but of an earlier one with this key, returns the balancers that can be told
    /// so. If the flow was not opened through this process, the server does not have it: it
    /// got the packet as nobody knew the flow's server.
    pub(super) fn deny_for_earlier_flow(&mut self, seg: &Segment) -> Option<[Option<Ipv4Addr>; 2]> {
        let flow = self.flows.get_mut(&seg.key)?;
        if flow.owned || seg.syn || !seg.has_ack || flow.sequence.acknowledged_by(seg) {
            return None;
        }
        if flow.sequence.is_from_opening() {
            // The server has not answered the opening yet.
            return Some([None; 2]);
        }
        let denied_to = flow.take_subscribers();
        self.remove_flow(&seg.key);
        Some(denied_to)
    }

    /// Puts a flow into the table whose opening goes to the server, in place of an
    /// earlier one.
    pub(super) fn begin_flow(&mut self, now: Millis, key: FlowKey, opening: Opening) {
        self.remove_flow(&key);
        let mut flow = Flow::new(now, FlowSequence::opened_at(opening.seq));
        if let Some(subscriber) = opening.subscriber {
            flow.subscribe(subscriber);
        }
        flow.request_since = Some(now);
        self.in_progress = self.in_progress.saturating_add(1);
        self.expected_requests.push_back((now, key));
        self.flows.insert(key, flow);
    }
}

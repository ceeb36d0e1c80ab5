//! Drives the TCP stacks of an agent's flows: runs each when it has packets,
//! data or a due timer, serves the requests of established flows, and records
//! when flows open and end.

use std::rc::Rc;

use ramp_coordination::flows::FlowRouter;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::outcome::Outcome;
use ramp_state::outcome::Record;
use ramp_state::time::Millis;
use tokio::task::spawn_local;

use crate::agent::flows::FlowChange;
use crate::agent::io::FlowId;
use crate::agent::thread_messages::Event;
use crate::agent::traffic::Worker;
use crate::requests::serve_flow;

impl Worker {
    /// Drives the flows that are marked as pending and those whose timer is due.
    pub(super) fn drive_flows(&mut self) {
        let now = self.traffic.clock.now();
        for id in self.flows.pending().take() {
            self.drive(id, now);
        }
        while let Some(id) = self.flows.pop_due(now) {
            self.drive(id, now);
        }
    }

    pub(super) fn drive(&mut self, id: FlowId, now: Millis) {
        let (router, traffic) = (&mut self.router, &self.traffic);
        let mut send = |packet: &[u8]| {
            record_syn_ack(router, now, packet);
            // A failed send counts as packet loss: TCP retransmits.
            let _ = traffic.socket.try_send_to(packet, traffic.fabric.into());
        };
        match self.flows.drive(id, now, &mut send) {
            FlowChange::None => {}
            FlowChange::Established(key) => self.serve(id, key),
            FlowChange::Closed(key) => self.router.on_flow_closed(now, key),
        }
    }

    fn serve(&mut self, id: FlowId, key: FlowKey) {
        let Some(io) = self.flows.io(id) else {
            return;
        };
        self.record(key, Outcome::FlowOpened);
        let requests = Rc::clone(&self.traffic.requests);
        let events = self.traffic.events.clone();
        let record = self.record_of(key, Outcome::FlowOpened);
        spawn_local(async move {
            let end = serve_flow(requests, key.caller, io).await;
            let outcome = Outcome::FlowEnded(end);
            let _ = events.send(Event::Record(Record { outcome, ..record }));
        });
    }

    pub(super) fn record(&self, key: FlowKey, outcome: Outcome) {
        self.send_event(Event::Record(self.record_of(key, outcome)));
    }

    fn record_of(&self, key: FlowKey, outcome: Outcome) -> Record {
        let snapshot = self
            .snapshot
            .as_ref()
            .expect("flows open only after the first snapshot");
        Record {
            caller: key.caller,
            service: snapshot.group.service,
            server: Some(self.traffic.me),
            outcome,
        }
    }
}

/// Reports the sequence number of an outgoing SYN-ACK to the router.
fn record_syn_ack(router: &mut FlowRouter, now: Millis, packet: &[u8]) {
    let Ok(segment) = Segment::parse_to_caller(packet) else {
        return;
    };
    if segment.syn && segment.has_ack {
        router.on_syn_ack_sent(now, segment.key, segment.seq);
    }
}

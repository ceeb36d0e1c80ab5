//! What the callers see, and the rules that they see kept or broken.

use std::net::Ipv4Addr;

use ramp_coordination::passthrough::balancer::Reset;
use ramp_protocol::packet::Segment;

use super::fleet::Event;
use super::fleet::Fleet;
use super::fleet::process_of;
use crate::fixture::*;

/// Time after which no new flow may come to a server that drains.
const DRAIN_LIMIT_MS: u64 = 3_000;
/// Time for which a flow may miss its owner.
const MISDIRECTED_LIMIT_MS: u64 = 2_000;
/// Packets that must go astray in that time.
const MIN_MISDIRECTED_PACKETS: u32 = 3;
/// Time after which an answer is of little use to a caller.
const LATE_ANSWER_MS: u64 = 1_500;
/// Shortest pause of a caller between two requests.
const PAUSE_MS: u64 = 20;
/// Range of these pauses.
const PAUSE_RANGE_MS: u64 = 600;

#[derive(Default)]
pub struct Caller {
    /// Server that answered the opening.
    pub owner: Option<Ipv4Addr>,
    pub ended: bool,
    /// Whether the owner has got a packet after the opening.
    pub opened: bool,
    pub packet: u32,
    pub tries: u32,
    /// When the packet was sent first.
    pub sent_at: u64,
    /// First packet since the owner last got one, and others' since.
    misdirected: Option<(u64, u32)>,
}

impl Fleet {
    /// Whether a server has a flow as its caller sees it: the caller goes on
    /// with the first that answered its opening.
    pub(super) fn has_flow(&self, at: Ipv4Addr, port: u16) -> bool {
        let server = self.servers.get(&at);
        let answered = server.is_some_and(|s| s.flows.contains(&flow(port)));
        answered && self.callers[&port].owner == Some(at)
    }

    pub(super) fn caller_is_reset(&mut self, from: usize, reset: Reset) {
        let port = reset.flow.caller.port();
        let caller = &mut self.callers[&port];
        if caller.ended {
            return;
        }
        caller.ended = true;
        self.outcome.resets += 1;
        let (owner, opened) = (caller.owner, caller.opened);
        let owner = owner.filter(|owner| self.has_flow(*owner, port));
        if owner.is_some() && !opened && self.scenario.work_ms > 0 {
            // Its flow is not open yet, so it may be refused.
            self.outcome.refused_late += 1;
            return;
        }
        if let Some(owner) = owner {
            let reason = reset.reason;
            self.record_violation(
                port,
                &format!("balancer {from} reset it ({reason:?}), {owner} has it"),
            );
        }
    }

    /// No new flow may come to a server that has drained for long.
    pub(super) fn check_new_flow(&mut self, at: Ipv4Addr, port: u16) {
        let drain_at = self.servers[&at].drain_at;
        if drain_at.is_some_and(|t| self.now > t + DRAIN_LIMIT_MS) {
            self.record_violation(port, &format!("{at} drains and got it"));
        }
    }

    /// The flow's packets may not go to others for long and never to the
    /// owner, unless the way between the owner and the balancer that sent
    /// them is cut. A span in which either of the two was frozen counts from
    /// the end of the freeze only.
    pub(super) fn check_misdirected(&mut self, at: Ipv4Addr, from: usize, seg: &Segment) {
        let port = seg.key.caller.port();
        let caller = &self.callers[&port];
        let Some(owner) = caller.owner.filter(|_| !caller.ended) else {
            return;
        };
        let owner_process = process_of(owner);
        let cut = self.network.is_cut_between(from, owner_process);
        let resumed_at = self.freezes.end(from).max(self.freezes.end(owner_process));
        let counts = !cut && resumed_at <= self.now && self.has_flow(owner, port);
        let caller = &mut self.callers[&port];
        if owner == at || !counts {
            caller.misdirected = None;
            return;
        }
        let misdirected = caller.misdirected.filter(|(since, _)| *since >= resumed_at);
        let (since, count) = misdirected.unwrap_or((self.now, 0));
        caller.misdirected = Some((since, count + 1));
        if self.now - since > MISDIRECTED_LIMIT_MS && count + 1 >= MIN_MISDIRECTED_PACKETS {
            caller.ended = true;
            self.record_violation(port, &format!("it misses {owner} since {since}"));
        }
    }

    /// Callers that still wait at the end of the day.
    pub(super) fn count_waiting_callers(&mut self) {
        let now = self.now;
        let waits = |c: &&Caller| !c.ended && c.tries > 0 && now - c.sent_at > LATE_ANSWER_MS;
        self.outcome.late += self.callers.values().filter(waits).count();
    }

    fn record_violation(&mut self, port: u16, what: &str) {
        let mut violation = format!("flow {port} at {}: {what}", self.now);
        // One history is enough to read.
        if self.outcome.violations.is_empty() {
            violation.push('\n');
            violation.push_str(&self.history_of(port));
        }
        self.outcome.violations.push(violation);
    }

    pub(super) fn caller_is_answered(&mut self, at: Ipv4Addr, seg: &Segment) {
        let port = seg.key.caller.port();
        let caller = &mut self.callers[&port];
        if caller.ended {
            return;
        }
        if seg.opens {
            // The first server that answers is the one that is acknowledged.
            if caller.owner.is_some() {
                return;
            }
            caller.owner = Some(at);
        } else if caller.owner != Some(at) || seg.seq != 1000 + caller.packet * 100 {
            return;
        }
        self.outcome.answered += 1;
        self.outcome.late += usize::from(self.now - caller.sent_at > LATE_ANSWER_MS);
        caller.packet += 1;
        caller.tries = 0;
        let packet = caller.packet;
        let pause = PAUSE_MS + self.rng.below(PAUSE_RANGE_MS);
        self.schedule(pause, Event::Send { port, packet });
    }
}

//! The callers' state, and the invariants that are checked from their point of
//! view: no false reset, no new flow at a draining server, and no packets that
//! keep missing their flow's owner.

use std::net::Ipv4Addr;

use ramp_coordination::passthrough::balancer::Reset;
use ramp_protocol::packet::Segment;

use super::fleet::Event;
use super::fleet::Fleet;
use super::fleet::process_of;
use super::server_traffic::reply_seq;
use crate::fixture::*;

/// Time after the start of a drain from which the server may get no new flow.
const DRAIN_LIMIT_MS: u64 = 3_000;
/// Time for which packets of a flow may go to servers other than its owner.
const MISDIRECTED_LIMIT_MS: u64 = 2_000;
/// Number of such packets from which that is a violation.
const MIN_MISDIRECTED_PACKETS: u32 = 3;
/// Time after which an answer counts as late.
const LATE_ANSWER_MS: u64 = 1_500;
/// Shortest pause of a caller between an answer and its next request.
const PAUSE_MS: u64 = 20;
/// Range of the random addition to that pause.
const PAUSE_RANGE_MS: u64 = 600;

/// Answers after which a caller may end its flow, where callers use ports again.
const MIN_ANSWERS_PER_FLOW: u32 = 3;
/// Range of the random pause of a caller before it uses its port again.
const REOPEN_RANGE_MS: u64 = 2_000;
/// Distance between the sequence numbers at which the flows of one port start.
const START_DISTANCE: u32 = 0x2345_6789;

#[derive(Default)]
pub struct Caller {
    /// Number of the flow from this port.
    pub flow: u32,
    /// Whether the caller closes the flow.
    pub closing: bool,
    /// Server that answered the opening.
    pub owner: Option<Ipv4Addr>,
    pub ended: bool,
    /// Whether the owner has received a packet after the opening.
    pub opened: bool,
    pub packet: u32,
    pub tries: u32,
    /// When the current packet was first sent.
    pub sent_at: u64,
    /// Time of the first packet that reached another server since the owner last
    /// received one, and the number of such packets.
    misdirected: Option<(u64, u32)>,
}

impl Caller {
    /// The caller at the start of its flow with this number.
    pub fn with_flow(flow: u32) -> Caller {
        Caller {
            flow,
            ..Caller::default()
        }
    }

    /// Sequence number of the current flow's opening.
    pub fn start(&self) -> u32 {
        1000_u32.wrapping_add(self.flow.wrapping_mul(START_DISTANCE))
    }

    /// Sequence number of the current packet.
    pub fn seq(&self) -> u32 {
        self.start().wrapping_add(self.packet * 100)
    }
}

impl Fleet {
    /// Whether a server has a flow from the caller's point of view: it must be
    /// the first that answered the opening.
    pub(super) fn has_flow(&self, at: Ipv4Addr, port: u16) -> bool {
        let caller = &self.callers[&port];
        let held = self
            .servers
            .get(&at)
            .and_then(|s| s.flow(self.now, &flow(port)));
        let open = held.is_some_and(|f| f.start == caller.start() && f.ended_at.is_none());
        open && caller.owner == Some(at)
    }

    pub(super) fn caller_is_reset(&mut self, from: usize, reset: Reset) {
        let port = reset.flow.caller.port();
        let caller = &mut self.callers[&port];
        // An open flow is reset only by a number that the caller expects.
        let expected = caller
            .owner
            .is_none_or(|owner| reset.seq == reply_seq(owner, caller));
        if caller.ended || (self.scenario.reuses_ports && !expected) {
            return;
        }
        caller.ended = true;
        self.outcome.resets += 1;
        let (owner, opened) = (caller.owner, caller.opened);
        let owner = owner.filter(|owner| self.has_flow(*owner, port));
        if owner.is_some() && !opened && self.scenario.work_ms > 0 {
            // The owner has received no packet after the opening, so the flow
            // may still be refused.
            self.outcome.refused_late += 1;
            return;
        }
        if let Some(owner) = owner {
            let reason = reset.reason;
            self.record_violation(
                port,
                &format!("balancer {from} reset it ({reason:?}) although {owner} has it"),
            );
        }
    }

    /// Checks that a server that has drained for [`DRAIN_LIMIT_MS`] gets no new
    /// flow.
    pub(super) fn check_new_flow(&mut self, at: Ipv4Addr, port: u16) {
        let drain_at = self.servers[&at].drain_at;
        if drain_at.is_some_and(|t| self.now > t + DRAIN_LIMIT_MS) {
            self.record_violation(
                port,
                &format!("{at} got it as a new flow although it drains"),
            );
        }
    }

    /// Checks that the packets of a flow do not keep going to servers other than
    /// its owner. Packets don't count while the link between the owner and the
    /// balancer that sent them is cut, or from before the end of the last freeze
    /// of either.
    pub(super) fn check_misdirected(&mut self, at: Ipv4Addr, from: usize, seg: &Segment) {
        let port = seg.key.caller.port();
        let caller = &self.callers[&port];
        let is_current = seg.seq.wrapping_sub(caller.start()) <= caller.packet * 100;
        let Some(owner) = caller.owner.filter(|_| !caller.ended && is_current) else {
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
            self.record_violation(
                port,
                &format!("its packets have missed its owner {owner} since {since} ms"),
            );
        }
    }

    /// Counts callers that still wait for a late answer at the end of the run.
    pub(super) fn count_waiting_callers(&mut self) {
        let now = self.now;
        let waits = |c: &&Caller| !c.ended && c.tries > 0 && now - c.sent_at > LATE_ANSWER_MS;
        self.outcome.late += self.callers.values().filter(waits).count();
    }

    /// A server that is not the flow's resets it.
    pub(super) fn caller_is_reset_by_server(&mut self, at: Ipv4Addr, port: u16) {
        let owner = self.callers[&port].owner;
        if owner.is_some_and(|owner| self.has_flow(owner, port)) {
            self.record_violation(port, &format!("{at} reset it although {owner:?} has it"));
        }
    }

    fn record_violation(&mut self, port: u16, what: &str) {
        let mut violation = format!("flow {port} at {}: {what}", self.now);
        // Only the first violation gets a history, which is enough to debug.
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
        let is_current = seg.seq == caller.seq() && seg.fin == caller.closing;
        if seg.opens {
            // The caller acknowledges only the first server that answers.
            if caller.owner.is_some() || !is_current {
                return;
            }
            caller.owner = Some(at);
        } else if caller.owner != Some(at) || !is_current {
            return;
        }
        self.outcome.answered += 1;
        self.outcome.late += usize::from(self.now - caller.sent_at > LATE_ANSWER_MS);
        if caller.closing {
            self.caller_acknowledges_close(port);
        }
        let caller = &mut self.callers[&port];
        caller.packet += 1;
        caller.tries = 0;
        if caller.closing {
            return self.reopen_later(port);
        }
        let (number, packet) = (caller.flow, caller.packet);
        if self.scenario.reuses_ports && packet > MIN_ANSWERS_PER_FLOW && self.rng.below(3) == 0 {
            let gives_up = self.rng.below(2) == 0;
            if gives_up {
                return self.reopen_later(port);
            }
            self.callers[&port].closing = true;
        }
        let pause = PAUSE_MS + self.rng.below(PAUSE_RANGE_MS);
        let next = Event::Send {
            port,
            flow: number,
            packet,
        };
        self.schedule(pause, next);
    }

    /// The caller opens its next flow from the same port after a pause.
    fn reopen_later(&mut self, port: u16) {
        let pause = self.rng.below(REOPEN_RANGE_MS);
        let next = Event::Send {
            port,
            flow: self.callers[&port].flow + 1,
            packet: 0,
        };
        self.schedule(pause, next);
    }
}

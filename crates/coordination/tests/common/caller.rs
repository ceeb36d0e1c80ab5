//! A caller with a minimal TCP: handshake, one request at a time, and
//! retransmissions.

use std::time::Duration;

use ramp_coordination::flows::ResetReason;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

use super::Event;
use super::World;

const REQUEST_BYTES: u32 = 100;
const FIRST_RETRANSMIT_MS: u64 = 300;
const MAX_RETRANSMIT_MS: u64 = 3_000;

/// A segment that a caller receives.
#[derive(Clone, Copy, Debug)]
pub enum Reply {
    SynAck { isn: u32, ack: u32 },
    Data { seq: u32, ack: u32, len: u32 },
    Reset { seq: u32 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Connecting,
    Open,
    Reset,
}

#[derive(Clone, Debug)]
pub struct Caller {
    pub key: FlowKey,
    pub state: State,
    pub opened_at: Millis,
    /// Requests answered in full.
    pub answered: usize,
    /// Reason of the last reset that was sent to it.
    pub last_reset: Option<ResetReason>,
    isn: u32,
    next_seq: u32,
    unacked_bytes: u32,
    next_expected: u32,
    server_isn: u32,
    retransmissions: u32,
    timer: u64,
}

/// What a caller does in response to an event.
#[derive(Default)]
pub struct CallerActions {
    segments: Vec<Segment>,
    timer: Option<(u64, u64)>,
    was_reset: bool,
}

impl Caller {
    pub fn new(key: FlowKey, isn: u32, now: Millis) -> Caller {
        Caller {
            key,
            state: State::Connecting,
            opened_at: now,
            answered: 0,
            last_reset: None,
            isn,
            next_seq: isn.wrapping_add(1),
            unacked_bytes: 0,
            next_expected: 0,
            server_isn: 0,
            retransmissions: 0,
            timer: 0,
        }
    }

    /// Whether it waits for the handshake or for an answer.
    pub fn is_waiting(&self) -> bool {
        self.state == State::Connecting || self.unacked_bytes > 0
    }

    pub fn connect(&mut self) -> CallerActions {
        self.send(true, 0)
    }

    pub fn request(&mut self) -> CallerActions {
        if self.state != State::Open || self.unacked_bytes > 0 {
            return CallerActions::default();
        }
        self.unacked_bytes = REQUEST_BYTES;
        self.retransmissions = 0;
        self.send(false, REQUEST_BYTES)
    }

    pub fn on_timer(&mut self, number: u64) -> CallerActions {
        if number != self.timer || self.state == State::Reset || !self.is_waiting() {
            return CallerActions::default();
        }
        self.retransmissions += 1;
        self.send(self.state == State::Connecting, self.unacked_bytes)
    }

    pub fn on_reply(&mut self, reply: Reply) -> CallerActions {
        match reply {
            Reply::SynAck { isn, ack } => self.syn_ack(isn, ack),
            Reply::Data { seq, ack, len } => {
                if self.state == State::Open && seq == self.next_expected {
                    self.next_expected = seq.wrapping_add(len);
                    if self.unacked_bytes > 0
                        && ack == self.next_seq.wrapping_add(self.unacked_bytes)
                    {
                        self.next_seq = ack;
                        self.unacked_bytes = 0;
                        self.answered += 1;
                    }
                }
                CallerActions::default()
            }
            Reply::Reset { seq } => {
                let connecting = self.state == State::Connecting && seq == 0;
                let open = self.state == State::Open && seq == self.next_expected;
                if connecting || open {
                    self.state = State::Reset;
                }
                CallerActions {
                    was_reset: open,
                    ..CallerActions::default()
                }
            }
        }
    }

    fn syn_ack(&mut self, isn: u32, ack: u32) -> CallerActions {
        if self.state == State::Connecting && ack == self.isn.wrapping_add(1) {
            self.state = State::Open;
            self.server_isn = isn;
            self.next_expected = isn.wrapping_add(1);
        }
        if self.state != State::Open {
            return CallerActions::default();
        }
        // Last segment of the handshake, or a challenge ACK for the SYN-ACK of a
        // second server.
        CallerActions {
            segments: vec![self.segment(false, 0)],
            ..CallerActions::default()
        }
    }

    fn send(&mut self, syn: bool, len: u32) -> CallerActions {
        self.timer += 1;
        let wait = (FIRST_RETRANSMIT_MS << self.retransmissions.min(8)).min(MAX_RETRANSMIT_MS);
        CallerActions {
            segments: vec![self.segment(syn, len)],
            timer: Some((wait, self.timer)),
            was_reset: false,
        }
    }

    fn segment(&self, syn: bool, len: u32) -> Segment {
        Segment {
            key: self.key,
            seq: if syn { self.isn } else { self.next_seq },
            ack: if syn { 0 } else { self.next_expected },
            len,
            opens: syn,
            syn,
            has_ack: !syn,
            rst: false,
            fin: false,
            opening_age: Duration::ZERO,
        }
    }
}

impl World {
    pub fn run_caller(&mut self, key: FlowKey, actions: impl FnOnce(&mut Caller) -> CallerActions) {
        let Some(caller) = self.callers.get_mut(&key) else {
            return;
        };
        let actions = actions(caller);
        for segment in actions.segments {
            self.transmit(1, || Event::CallerPacket(segment));
        }
        if let Some((wait, number)) = actions.timer {
            self.schedule(wait, Event::CallerTimer(key, number));
        }
        if actions.was_reset {
            self.check_reset(key);
        }
    }
}

//! A caller with the bones of TCP: handshake, one request at a time, retries.

use std::time::Duration;

use ramp_coordination::flows::ResetReason;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

use super::Event;
use super::World;

const REQUEST_BYTES: u32 = 100;
const FIRST_RETRY_MS: u64 = 300;
const LONGEST_RETRY_MS: u64 = 3_000;

/// What a caller gets.
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
    /// Why the last reset on its way was sent.
    pub last_reset: Option<ResetReason>,
    isn: u32,
    next: u32,
    unacked: u32,
    received: u32,
    server_isn: u32,
    tries: u32,
    timer: u64,
}

/// What a caller does in its turn.
#[derive(Default)]
pub struct Turn {
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
            next: isn.wrapping_add(1),
            unacked: 0,
            received: 0,
            server_isn: 0,
            tries: 0,
            timer: 0,
        }
    }

    /// Whether it waits for an answer.
    pub fn waits(&self) -> bool {
        self.state == State::Connecting || self.unacked > 0
    }

    pub fn connect(&mut self) -> Turn {
        self.send(true, 0)
    }

    pub fn request(&mut self) -> Turn {
        if self.state != State::Open || self.unacked > 0 {
            return Turn::default();
        }
        self.unacked = REQUEST_BYTES;
        self.tries = 0;
        self.send(false, REQUEST_BYTES)
    }

    pub fn timer(&mut self, number: u64) -> Turn {
        if number != self.timer || self.state == State::Reset || !self.waits() {
            return Turn::default();
        }
        self.tries += 1;
        self.send(self.state == State::Connecting, self.unacked)
    }

    pub fn receive(&mut self, reply: Reply) -> Turn {
        match reply {
            Reply::SynAck { isn, ack } => self.syn_ack(isn, ack),
            Reply::Data { seq, ack, len } => {
                if self.state == State::Open && seq == self.received {
                    self.received = seq.wrapping_add(len);
                    if self.unacked > 0 && ack == self.next.wrapping_add(self.unacked) {
                        self.next = ack;
                        self.unacked = 0;
                        self.answered += 1;
                    }
                }
                Turn::default()
            }
            Reply::Reset { seq } => {
                let connecting = self.state == State::Connecting && seq == 0;
                let open = self.state == State::Open && seq == self.received;
                if connecting || open {
                    self.state = State::Reset;
                }
                Turn {
                    was_reset: open,
                    ..Turn::default()
                }
            }
        }
    }

    fn syn_ack(&mut self, isn: u32, ack: u32) -> Turn {
        if self.state == State::Connecting && ack == self.isn.wrapping_add(1) {
            self.state = State::Open;
            self.server_isn = isn;
            self.received = isn.wrapping_add(1);
        }
        if self.state != State::Open {
            return Turn::default();
        }
        // The handshake's last segment, or a challenge to a second server.
        Turn {
            segments: vec![self.segment(false, 0)],
            ..Turn::default()
        }
    }

    fn send(&mut self, syn: bool, len: u32) -> Turn {
        self.timer += 1;
        let wait = (FIRST_RETRY_MS << self.tries.min(8)).min(LONGEST_RETRY_MS);
        Turn {
            segments: vec![self.segment(syn, len)],
            timer: Some((wait, self.timer)),
            was_reset: false,
        }
    }

    fn segment(&self, syn: bool, len: u32) -> Segment {
        Segment {
            key: self.key,
            seq: if syn { self.isn } else { self.next },
            ack: if syn { 0 } else { self.received },
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
    pub fn caller_turn(&mut self, key: FlowKey, turn: impl FnOnce(&mut Caller) -> Turn) {
        let Some(caller) = self.callers.get_mut(&key) else {
            return;
        };
        let turn = turn(caller);
        for segment in turn.segments {
            self.travel(1, || Event::Fabric(segment));
        }
        if let Some((wait, number)) = turn.timer {
            self.at(wait, Event::CallerTimer(key, number));
        }
        if turn.was_reset {
            self.judge_reset(key);
        }
    }
}

//! Simulates lasting overload of a cold server whose callers retry: a caller that
//! was refused looks like a new one. The tests measure goodput: the requests that
//! are answered within their objective, against the server's capacity.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use ramp_coordination::passthrough::agent::Agent;
use ramp_coordination::passthrough::agent::Dequeued;
use ramp_coordination::passthrough::agent::Inbound;
use ramp_coordination::passthrough::published::Record;
use ramp_coordination::passthrough::view::View;
use ramp_coordination::random::Random;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::Inquiry;
use ramp_protocol::packet::Segment;
use ramp_state::time::Millis;

use crate::fixture::*;

/// Requests that the server processes at the same time.
const SLOTS: u16 = 9;
/// Mean processing time of a request at the cold server.
const MEAN_REQUEST_MS: u64 = 88;
/// Objective of callers for the time from their first attempt to the answer.
const ANSWER_OBJECTIVE_MS: u64 = 250;
/// Time after which a caller abandons a queued attempt.
const ATTEMPT_TIMEOUT_MS: u64 = 1400;
/// Retries after the first attempt.
const MAX_RETRIES: u32 = 2;
/// Time from a refusal to the next attempt.
const RETRY_DELAY_MS: u64 = 20;
/// Simulated time of a run.
const RUN_MS: u64 = 10_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Retry {
        caller: usize,
        earlier_attempts: u32,
    },
    Done {
        port: u16,
    },
    TimeOut {
        port: u16,
    },
    Tick,
}

/// One attempt of a caller, on a flow of its own.
struct Attempt {
    caller: usize,
    earlier_attempts: u32,
    /// Whether its opening packet went to the server.
    forwarded: bool,
    ended: bool,
}

#[derive(Debug, Default)]
struct Outcome {
    in_time: u64,
    late: u64,
    failed: u64,
}

struct Simulation {
    view: View,
    agent: Agent,
    rng: Random,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    events_scheduled: u64,
    /// Time of each caller's first attempt.
    callers: Vec<u64>,
    attempts: Vec<Attempt>,
    /// When each slot becomes free.
    free_at: [u64; SLOTS as usize],
    arrival_interval_us: u64,
    outcome: Outcome,
}

impl Simulation {
    /// Simulates a load of `percent` of the server's capacity.
    fn run_at_load(percent: u64, seed: u64) -> Outcome {
        let mut catalog = catalog(&[]);
        let mut record = server(1, FEEDS);
        record.slots = SLOTS;
        catalog.apply(Millis(0), written(101, Record::Server(id(1), record)));
        let mut simulation = Simulation {
            view: catalog.view(Millis(0)).unwrap(),
            agent: Agent::new(ip(1), FEEDS, 7, 1, Millis(0)),
            rng: Random::new(seed),
            now: 0,
            events: BinaryHeap::new(),
            events_scheduled: 0,
            callers: Vec::new(),
            attempts: Vec::new(),
            free_at: [0; SLOTS as usize],
            arrival_interval_us: MEAN_REQUEST_MS * 1000 * 100 / (u64::from(SLOTS) * percent),
            outcome: Outcome::default(),
        };
        simulation.schedule(0, Event::Tick);
        simulation.schedule(0, Event::Arrive);
        simulation.run();
        simulation.outcome
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.events_scheduled += 1;
        self.events
            .push(Reverse((at, self.events_scheduled, event)));
    }

    fn run(&mut self) {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now >= RUN_MS {
                return;
            }
            self.now = now;
            match event {
                Event::Arrive => self.arrive(),
                Event::Retry {
                    caller,
                    earlier_attempts,
                } => self.open(caller, earlier_attempts),
                Event::Done { port } => self.on_answered(port),
                Event::TimeOut { port } => self.on_attempt_failed(port),
                Event::Tick => self.schedule(now + 5, Event::Tick),
            }
            self.poll_queue();
        }
    }

    fn arrive(&mut self) {
        self.callers.push(self.now);
        self.open(self.callers.len() - 1, 0);
        let next_us = self.callers.len() as u64 * self.arrival_interval_us;
        self.schedule(next_us / 1000, Event::Arrive);
    }

    fn open(&mut self, caller: usize, earlier_attempts: u32) {
        let port = self.attempts.len() as u16;
        self.attempts.push(Attempt {
            caller,
            earlier_attempts,
            forwarded: false,
            ended: false,
        });
        let seg = opening(flow(port), 0);
        match self.send(Inquiry::OwnerEvenIfBusy, &seg) {
            Inbound::Forward { .. } => self.on_forwarded(port),
            Inbound::Queue => self.schedule(self.now + ATTEMPT_TIMEOUT_MS, Event::TimeOut { port }),
            Inbound::AlreadyQueued => {}
            Inbound::Refuse(_) => self.on_attempt_failed(port),
        }
    }

    fn send(&mut self, inquiry: Inquiry, seg: &Segment) -> Inbound {
        let forward_frame = frame(FrameKind::Forward(inquiry), seg.key);
        let (from, now) = (balancer_ip(1), Millis(self.now));
        self.agent
            .on_balancer_packet(Some(&self.view), now, from, &forward_frame, inquiry, seg)
    }

    /// The server answers the opening packet, and gets the request at once.
    fn on_forwarded(&mut self, port: u16) {
        let attempt = &mut self.attempts[usize::from(port)];
        attempt.forwarded = true;
        if attempt.ended {
            // The caller has abandoned the attempt and sends no request.
            return;
        }
        self.server_sends(port, true);
        self.send(Inquiry::None, &segment(flow(port)));
        let request_ms = MEAN_REQUEST_MS / 2 + self.rng.below(MEAN_REQUEST_MS);
        let now = self.now;
        let slot = self.free_at.iter_mut().min().unwrap();
        *slot = now.max(*slot) + request_ms;
        let done = *slot;
        self.schedule(done, Event::Done { port });
    }

    fn server_sends(&mut self, port: u16, syn: bool) {
        let seg = Segment {
            syn,
            len: if syn { 0 } else { 100 },
            ..segment(flow(port))
        };
        self.agent
            .on_server_packet(Some(&self.view), Millis(self.now), &seg);
    }

    fn on_answered(&mut self, port: u16) {
        self.server_sends(port, false);
        let attempt = &mut self.attempts[usize::from(port)];
        attempt.ended = true;
        if self.now - self.callers[attempt.caller] <= ANSWER_OBJECTIVE_MS {
            self.outcome.in_time += 1;
        } else {
            self.outcome.late += 1;
        }
    }

    /// An attempt was refused or has timed out: the caller retries, up to the
    /// limit.
    fn on_attempt_failed(&mut self, port: u16) {
        let attempt = &mut self.attempts[usize::from(port)];
        if attempt.forwarded || attempt.ended {
            return;
        }
        attempt.ended = true;
        let (caller, earlier_attempts) = (attempt.caller, attempt.earlier_attempts + 1);
        if earlier_attempts > MAX_RETRIES {
            self.outcome.failed += 1;
        } else {
            self.schedule(
                self.now + RETRY_DELAY_MS,
                Event::Retry {
                    caller,
                    earlier_attempts,
                },
            );
        }
    }

    fn poll_queue(&mut self) {
        while let Some(dequeued) = self.agent.poll_queue(Some(&self.view), Millis(self.now)) {
            match dequeued {
                Dequeued::Forward(flow, _) => self.on_forwarded(flow.caller.port()),
                Dequeued::Refuse(flow, ..) => self.on_attempt_failed(flow.caller.port()),
                Dequeued::Drop(_) => {}
            }
        }
    }
}

/// Requests that the server can process in a run.
const CAPACITY_REQUESTS: u64 = SLOTS as u64 * RUN_MS / MEAN_REQUEST_MS;

/// Answers within the objective, in percent of the server's capacity.
fn goodput_percent(load_percent: u64) -> u64 {
    let seeds = 0..8;
    let outcomes: Vec<Outcome> = seeds
        .map(|seed| Simulation::run_at_load(load_percent, seed))
        .collect();
    println!("{outcomes:?}");
    let in_time: u64 = outcomes.iter().map(|o| o.in_time).sum();
    in_time * 100 / (CAPACITY_REQUESTS * outcomes.len() as u64)
}

// Guards against a server that spends its time on callers that are late already,
// while new ones wait until they are late as well.
#[test]
fn goodput_at_150_percent_load_is_at_least_90_percent_of_capacity() {
    let percent = goodput_percent(150);
    assert!(percent >= 90, "{percent}%");
}

#[test]
fn goodput_at_300_percent_load_is_at_least_90_percent_of_capacity() {
    let percent = goodput_percent(300);
    assert!(percent >= 90, "{percent}%");
}

// A short wait in the queue is better than a refusal.
#[test]
fn no_caller_fails_while_the_load_is_below_capacity() {
    for seed in 0..8 {
        let outcome = Simulation::run_at_load(90, seed);
        assert_eq!(outcome.failed, 0, "seed {seed}: {outcome:?}");
    }
}

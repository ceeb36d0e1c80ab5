//! A small fleet under stale views, lost and late messages, and two failures
//! at once: no false reset, no flow that misses its owner, no new flow where
//! none should go. Seeded; counts only.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashSet;
use std::net::Ipv4Addr;

use indexmap::IndexMap;
use ramp_coordination::passthrough::agent::Agent;
use ramp_coordination::passthrough::agent::Bounce;
use ramp_coordination::passthrough::agent::Inbound;
use ramp_coordination::passthrough::balancer::Balancer;
use ramp_coordination::passthrough::balancer::Step;
use ramp_coordination::passthrough::catalog::Catalog;
use ramp_coordination::passthrough::published::Change;
use ramp_coordination::passthrough::published::Changes;
use ramp_coordination::passthrough::published::Record;
use ramp_coordination::passthrough::published::RecordKey;
use ramp_coordination::passthrough::published::ServerState;
use ramp_coordination::passthrough::view::View;
use ramp_coordination::random::Random;
use ramp_protocol::hop::Frame;
use ramp_protocol::hop::FrameKind;
use ramp_protocol::hop::Inquiry;
use ramp_protocol::hop::Knowledge;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::key::Version;
use ramp_state::time::Millis;

use crate::fixture::*;

const BALANCERS: usize = 3;
const FLOWS: u16 = 120;
const LENGTH_MS: u64 = 12_000;
/// Longest time until a process hears of a change.
const NEWS_LATE_MS: u64 = 900;
/// Time after which no new flow may come to a server that drains.
const DRAIN_LIMIT_MS: u64 = 3_000;
/// Time for which a flow may miss its owner.
const STRAY_LIMIT_MS: u64 = 2_000;
const LOSS_PERCENT: u64 = 2;
const SEEDS: u64 = 100;
/// Start of every server and of its first agent, Unix milliseconds.
const BORN_MS: u64 = 1;
/// Start of an agent that was restarted while its server lived.
const RESTARTED_MS: u64 = 5_000;

#[derive(Clone, Debug)]
enum Event {
    /// The caller sends, or sends again; the number tells its tries apart.
    Send {
        port: u16,
        packet: u32,
    },
    ToBalancer {
        at: usize,
        seg: Segment,
    },
    ToAgent {
        at: Ipv4Addr,
        from: usize,
        frame: Frame,
        inquiry: Inquiry,
        seg: Segment,
    },
    /// An agent is asked for a flow by its name.
    Ask {
        at: Ipv4Addr,
        from: usize,
        frame: Frame,
        seg: Segment,
    },
    FromAgent {
        to: usize,
        from: Ipv4Addr,
        frame: Frame,
        seg: Segment,
    },
    /// A process hears of what was published.
    News {
        process: usize,
        changes: Changes,
    },
    Operator(Act),
}

#[derive(Clone, Copy, Debug)]
enum Act {
    Add(u8),
    Drain(u8),
    Crash(u8),
    Lapse(u8),
    Back(u8),
    RestartBalancer(usize),
    RestartAgent(u8),
    SwapRotation,
}

struct Server {
    flows: HashSet<FlowKey>,
    agent: Agent,
    drain_at: Option<u64>,
}

struct Caller {
    /// Server that answered the opening.
    owner: Option<Ipv4Addr>,
    ended: bool,
    packet: u32,
    tries: u32,
    /// First packet since the owner last got one, and others' since.
    missed: Option<(u64, u32)>,
}

struct Fleet {
    rng: Random,
    now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Event>,
    store: Catalog,
    revision: u64,
    /// Balancers first, then agents by the last octet of their address.
    catalogs: IndexMap<usize, Catalog>,
    views: IndexMap<usize, View>,
    balancers: Vec<Balancer>,
    servers: IndexMap<Ipv4Addr, Server>,
    callers: IndexMap<u16, Caller>,
    rotation: Vec<usize>,
    /// Packets that wait at a balancer for their flow's owner.
    held: IndexMap<(usize, FlowKey), Segment>,
    resets: usize,
    answered: usize,
}

fn process_of(server: Ipv4Addr) -> usize {
    100 + usize::from(server.octets()[3])
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let mut fleet = Fleet {
            rng: Random::new(seed),
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            store: catalog(&[]),
            revision: 100,
            catalogs: IndexMap::new(),
            views: IndexMap::new(),
            balancers: (0..BALANCERS).map(|_| Balancer::new()).collect(),
            servers: IndexMap::new(),
            callers: IndexMap::new(),
            rotation: vec![0, 1],
            held: IndexMap::new(),
            resets: 0,
            answered: 0,
        };
        for last in 1..=5 {
            fleet.add(last);
        }
        for process in 0..BALANCERS {
            fleet.start_process(process);
        }
        fleet
    }

    fn at(&mut self, delay: u64, event: Event) {
        self.order += 1;
        self.events.push(event);
        let index = self.events.len() - 1;
        self.queue
            .push(Reverse((self.now + delay, self.order, index)));
    }

    /// Sends over a network that loses some and delays all.
    fn send(&mut self, event: Event) {
        if self.rng.below(100) >= LOSS_PERCENT {
            let delay = 1 + self.rng.below(4);
            self.at(delay, event);
        }
    }

    fn start_process(&mut self, process: usize) {
        let mut fresh = Catalog::new();
        fresh.replace(Millis(self.now), self.store.listing(Millis(self.now)));
        self.views
            .insert(process, fresh.view(Millis(self.now)).unwrap());
        self.catalogs.insert(process, fresh);
    }

    fn publish(&mut self, change: Change) {
        self.revision += 1;
        let news = changes(self.revision, vec![change]);
        self.store.apply(Millis(self.now), news.clone());
        let processes: Vec<usize> = self.catalogs.keys().copied().collect();
        for process in processes {
            let late = self.rng.below(NEWS_LATE_MS);
            let changes = news.clone();
            self.at(late, Event::News { process, changes });
        }
    }

    fn add(&mut self, last: u8) {
        let server = Server {
            flows: HashSet::new(),
            agent: Agent::new(ip(last), FEEDS, last, BORN_MS, Millis(self.now)),
            drain_at: None,
        };
        self.servers.insert(ip(last), server);
        self.publish(Change::Written(record(last, FEEDS)));
        self.start_process(process_of(ip(last)));
    }

    fn run(&mut self) {
        for port in 1..=FLOWS {
            let caller = Caller {
                owner: None,
                ended: false,
                packet: 0,
                tries: 0,
                missed: None,
            };
            self.callers.insert(port, caller);
            let start = self.rng.below(LENGTH_MS / 2);
            self.at(start, Event::Send { port, packet: 0 });
        }
        while let Some(Reverse((now, _, index))) = self.queue.pop() {
            if now > LENGTH_MS {
                return;
            }
            self.now = now;
            match self.events[index].clone() {
                Event::Send { port, packet } => self.caller_sends(port, packet),
                Event::ToBalancer { at, seg } => self.balancer_gets(at, &seg),
                Event::ToAgent {
                    at,
                    from,
                    frame,
                    inquiry,
                    seg,
                } => self.agent_gets(at, from, &frame, inquiry, &seg),
                Event::Ask {
                    at,
                    from,
                    frame,
                    seg,
                } => self.agent_is_asked(at, from, &frame, &seg),
                Event::FromAgent {
                    to,
                    from,
                    frame,
                    seg,
                } => self.balancer_hears(to, from, &frame, &seg),
                Event::News { process, changes } => self.hear(process, changes),
                Event::Operator(act) => self.act(act),
            }
        }
    }

    /// Every packet goes through whichever balancer the routers pick now, and
    /// is sent again until it is answered.
    fn caller_sends(&mut self, port: u16, packet: u32) {
        let caller = &mut self.callers[&port];
        if caller.ended || caller.packet != packet {
            return;
        }
        let pause = |tries: u32| 200 << tries.min(3);
        let again = pause(caller.tries);
        let age_ms = (0..caller.tries).map(pause).sum();
        caller.tries += 1;
        let seg = if packet == 0 {
            opening(flow(port), age_ms)
        } else {
            Segment {
                seq: 1000 + packet * 100,
                ..segment(flow(port))
            }
        };
        let at = self.rotation[usize::from(port) % self.rotation.len()];
        self.send(Event::ToBalancer { at, seg });
        self.at(again, Event::Send { port, packet });
    }

    fn balancer_gets(&mut self, at: usize, seg: &Segment) {
        let step = self.balancers[at].arrival(&self.views[&at], Millis(self.now), seg);
        self.carry_out(at, seg, step);
    }

    fn balancer_hears(&mut self, to: usize, from: Ipv4Addr, frame: &Frame, seg: &Segment) {
        let now = Millis(self.now);
        let balancer = &mut self.balancers[to];
        let step = match frame.kind {
            FrameKind::Owned => {
                balancer.owned(now, from, frame);
                if let Some(seg) = self.held.swap_remove(&(to, frame.flow)) {
                    let step = Step::Carry {
                        agent: from,
                        inquiry: Inquiry::None,
                        service: FEEDS,
                    };
                    self.carry_out(to, &seg, step);
                }
                return;
            }
            FrameKind::Answer => return balancer.unsure(now, from, frame),
            FrameKind::Denied => balancer.denied(&self.views[&to], now, from, frame),
            FrameKind::Returned(refusal) => {
                balancer.returned(&self.views[&to], now, from, refusal, frame, seg)
            }
            FrameKind::Carry(_)
            | FrameKind::Waits
            | FrameKind::Ask
            | FrameKind::Probe
            | FrameKind::Present => return,
        };
        self.carry_out(to, seg, step);
    }

    fn carry_out(&mut self, from: usize, seg: &Segment, step: Step) {
        let version = self.views[&from].version;
        let revision = self.views[&from].newest.0;
        let carry = |inquiry| Frame {
            version,
            revision,
            ..frame(FrameKind::Carry(inquiry), seg.key)
        };
        match step {
            Step::Carry { agent, inquiry, .. } => {
                let frame = carry(inquiry);
                self.send(Event::ToAgent {
                    at: agent,
                    from,
                    frame,
                    inquiry,
                    seg: *seg,
                });
            }
            Step::Ask(question) => {
                if !question.named.is_empty() {
                    self.held.insert((from, seg.key), *seg);
                }
                for at in question.named {
                    let frame = carry(Inquiry::None);
                    let seg = *seg;
                    self.send(Event::Ask {
                        at,
                        from,
                        frame,
                        seg,
                    });
                }
                let inquiry = Inquiry::OwnerOfCopy;
                let frame = carry(inquiry);
                for at in question.copies {
                    self.send(Event::ToAgent {
                        at,
                        from,
                        frame,
                        inquiry,
                        seg: *seg,
                    });
                }
            }
            Step::Reset(reset) => self.caller_is_reset(reset.flow.caller.port()),
            Step::Drop(_) => {}
        }
    }

    fn caller_is_reset(&mut self, port: u16) {
        let caller = &mut self.callers[&port];
        if caller.ended {
            return;
        }
        if let Some(owner) = caller.owner {
            let lives = self.servers.get(&owner);
            let holds = lives.is_some_and(|s| s.flows.contains(&flow(port)));
            assert!(
                !holds,
                "flow {port} was reset at {} and {owner} has it",
                self.now
            );
        }
        caller.ended = true;
        self.resets += 1;
    }

    fn agent_gets(
        &mut self,
        at: Ipv4Addr,
        from: usize,
        frame: &Frame,
        inquiry: Inquiry,
        seg: &Segment,
    ) {
        let now = Millis(self.now);
        let Some(server) = self.servers.get_mut(&at) else {
            return;
        };
        let view = &self.views[&process_of(at)];
        let sender = balancer_ip(from as u8);
        match server
            .agent
            .inbound(Some(view), now, sender, frame, inquiry, seg)
        {
            // Nobody answers slowly here, so nobody has to wait.
            Inbound::Wait | Inbound::Waiting => panic!("{at} is full"),
            Inbound::Refuse(refusal) => {
                let kind = match inquiry {
                    Inquiry::OwnerOfCopy => FrameKind::Denied,
                    _ => FrameKind::Returned(refusal),
                };
                self.tell(at, from, kind, seg);
            }
            Inbound::Pass { mark, owned } => {
                if owned {
                    self.tell(at, from, FrameKind::Owned, seg);
                }
                self.server_gets(at, mark.0, seg);
            }
        }
    }

    fn agent_is_asked(&mut self, at: Ipv4Addr, from: usize, frame: &Frame, seg: &Segment) {
        let Some(server) = self.servers.get(&at) else {
            return;
        };
        let view = &self.views[&process_of(at)];
        let knowledge = server
            .agent
            .knowledge(Some(view), Millis(self.now), &frame.flow);
        let kind = match knowledge {
            Knowledge::Has => FrameKind::Owned,
            Knowledge::HasNot => FrameKind::Denied,
            Knowledge::Unsure => FrameKind::Answer,
        };
        self.tell(at, from, kind, seg);
    }

    fn server_gets(&mut self, at: Ipv4Addr, mark: u32, seg: &Segment) {
        let now = Millis(self.now);
        self.note_stray(at, seg);
        let view = &self.views[&process_of(at)];
        let server = &mut self.servers[&at];
        if seg.opens {
            let late = server
                .drain_at
                .is_some_and(|t| self.now > t + DRAIN_LIMIT_MS);
            assert!(!late, "{at} drains and got a new flow at {}", self.now);
            server.flows.insert(seg.key);
        }
        if !server.flows.contains(&seg.key) {
            let bounce = server.agent.bounced(Some(view), now, mark, seg);
            match bounce {
                Bounce::Return(to) => {
                    let kind = FrameKind::Returned(ramp_protocol::hop::Refusal::Bounced);
                    self.tell(at, usize::from(to.octets()[3]), kind, seg);
                }
                Bounce::Deny(to) => {
                    self.tell(at, usize::from(to.octets()[3]), FrameKind::Denied, seg);
                }
                Bounce::Unknown => {}
            }
            return;
        }
        let mut answer = *seg;
        answer.syn = seg.opens;
        answer.opens = false;
        let outbound = server.agent.outbound(Some(view), now, &answer);
        if let Some(to) = outbound.tell {
            self.tell(at, usize::from(to.octets()[3]), FrameKind::Owned, seg);
        }
        self.caller_is_answered(at, seg);
    }

    /// The flow's packets may not go to others for long and never to the owner.
    fn note_stray(&mut self, at: Ipv4Addr, seg: &Segment) {
        let caller = &mut self.callers[&seg.key.caller.port()];
        let Some(owner) = caller.owner.filter(|_| !caller.ended) else {
            return;
        };
        let lives = self.servers.get(&owner);
        if owner == at || !lives.is_some_and(|s| s.flows.contains(&seg.key)) {
            caller.missed = None;
            return;
        }
        let (since, count) = caller.missed.unwrap_or((self.now, 0));
        caller.missed = Some((since, count + 1));
        let long = self.now - since > STRAY_LIMIT_MS;
        assert!(
            !(long && count >= 2),
            "{:?} misses {owner} for long",
            seg.key.caller
        );
    }

    fn caller_is_answered(&mut self, at: Ipv4Addr, seg: &Segment) {
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
        self.answered += 1;
        caller.packet += 1;
        caller.tries = 0;
        let packet = caller.packet;
        let pause = 20 + self.rng.below(600);
        self.at(pause, Event::Send { port, packet });
    }

    fn tell(&mut self, from: Ipv4Addr, to: usize, kind: FrameKind, seg: &Segment) {
        let view = &self.views[&process_of(from)];
        let agent = &self.servers[&from].agent;
        let now = Millis(self.now);
        let frame = Frame {
            revision: view.newest.0,
            in_progress: agent.in_progress(),
            complete: agent.is_complete(Some(view), now),
            misses_servers: view.misses_servers(now),
            version: Version(1),
            ..frame(kind, seg.key)
        };
        self.send(Event::FromAgent {
            to,
            from,
            frame,
            seg: *seg,
        });
    }

    fn hear(&mut self, process: usize, changes: Changes) {
        let now = Millis(self.now);
        let Some(catalog) = self.catalogs.get_mut(&process) else {
            return;
        };
        // News come in their order, as from one connection.
        if changes.cursor.0 > catalog.cursor().0 + 1 {
            return self.at(10, Event::News { process, changes });
        }
        catalog.apply(now, changes);
        let view = catalog.view(now).unwrap();
        if process < BALANCERS {
            for reset in self.balancers[process].concluded(&view, now) {
                self.caller_is_reset(reset.flow.caller.port());
            }
        }
        self.views.insert(process, view);
    }

    fn act(&mut self, act: Act) {
        match act {
            Act::Add(last) => self.add(last),
            Act::Drain(last) => {
                if let Some(server) = self.servers.get_mut(&ip(last)) {
                    server.drain_at = Some(self.now);
                    let mut leaving = server_record(last);
                    leaving.state = ServerState::Draining;
                    self.publish(Change::Written(Record::Server(id(last), leaving)));
                }
            }
            Act::Crash(last) => {
                if self.servers.swap_remove(&ip(last)).is_some() {
                    self.at(2000, Event::Operator(Act::Lapse(last)));
                }
            }
            Act::Lapse(last) => {
                self.publish(Change::Removed(RecordKey::Server(id(last))));
            }
            Act::Back(last) => {
                if self.servers.contains_key(&ip(last)) {
                    self.publish(Change::Written(record(last, FEEDS)));
                }
            }
            Act::RestartBalancer(at) => {
                self.balancers[at] = Balancer::new();
                self.start_process(at);
            }
            Act::RestartAgent(last) => {
                if let Some(server) = self.servers.get_mut(&ip(last)) {
                    let now = Millis(self.now);
                    server.agent = Agent::new(ip(last), FEEDS, last + 100, RESTARTED_MS, now);
                    self.start_process(process_of(ip(last)));
                }
            }
            Act::SwapRotation => {
                let out = self.rng.below(BALANCERS as u64) as usize;
                self.rotation = (0..BALANCERS).filter(|b| *b != out).collect();
            }
        }
    }
}

fn server_record(last: u8) -> ramp_coordination::passthrough::published::Server {
    server(last, FEEDS)
}

fn play(seed: u64, acts: &[(u64, Act)]) -> Fleet {
    let mut fleet = Fleet::new(seed);
    for (at, act) in acts {
        fleet.at(*at, Event::Operator(*act));
    }
    fleet.run();
    fleet
}

#[test]
fn balancers_come_and_go_and_no_flow_is_lost() {
    for seed in 0..SEEDS {
        let acts = [
            (1500, Act::SwapRotation),
            (2500, Act::RestartBalancer(0)),
            (4000, Act::SwapRotation),
            (5000, Act::RestartBalancer(1)),
            (6500, Act::SwapRotation),
        ];
        let fleet = play(seed, &acts);
        assert_eq!(fleet.resets, 0, "seed {seed}");
        assert!(fleet.answered > 1000, "seed {seed}: {}", fleet.answered);
    }
}

#[test]
fn servers_come_and_drain_while_balancers_change() {
    for seed in 0..SEEDS {
        let acts = [
            (1000, Act::Add(6)),
            (1500, Act::Drain(1)),
            (1600, Act::SwapRotation),
            (3000, Act::Add(7)),
            (3100, Act::RestartBalancer(2)),
            (3500, Act::Drain(2)),
            (6000, Act::SwapRotation),
        ];
        let fleet = play(seed, &acts);
        assert_eq!(fleet.resets, 0, "seed {seed}");
    }
}

#[test]
fn a_crash_resets_only_the_flows_of_the_server_that_crashed() {
    let mut resets = 0;
    for seed in 0..SEEDS {
        let acts = [
            (3000, Act::Crash(3)),
            (3100, Act::RestartBalancer(0)),
            (3200, Act::RestartAgent(4)),
            (3300, Act::SwapRotation),
        ];
        resets += play(seed, &acts).resets;
    }
    assert!(resets > 0, "their callers are told");
}

#[test]
fn a_server_that_lapses_and_returns_keeps_its_flows() {
    for seed in 0..SEEDS {
        let acts = [
            (3000, Act::Lapse(2)),
            (3100, Act::SwapRotation),
            (3200, Act::RestartAgent(2)),
            (4500, Act::Back(2)),
            (4600, Act::RestartBalancer(1)),
        ];
        let fleet = play(seed, &acts);
        assert_eq!(fleet.resets, 0, "seed {seed}");
    }
}

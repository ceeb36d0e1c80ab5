//! Traffic thread of an agent: packets in, decisions asked, flows driven,
//! packets to callers out.

use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use metrics::counter;
use metrics::gauge;
use ramp_coordination::flows::Arrival;
use ramp_coordination::flows::FlowRouter;
use ramp_coordination::flows::Reset;
use ramp_coordination::flows::ResetReason;
use ramp_coordination::flows::Step;
use ramp_coordination::outgoing::Outgoing;
use ramp_coordination::picture::GroupPicture;
use ramp_coordination::wake::Wake;
use ramp_coordination::wake::WakeGuard;
use ramp_protocol::header::Header;
use ramp_protocol::message::Load;
use ramp_protocol::message::Message;
use ramp_protocol::packet::Segment;
use ramp_protocol::seal::FleetKey;
use ramp_state::key::FlowKey;
use ramp_state::key::InstanceId;
use ramp_state::key::Version;
use ramp_state::key::mix;
use ramp_state::outcome::FlowEnd;
use ramp_state::outcome::Outcome;
use ramp_state::outcome::Record;
use ramp_state::time::Millis;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::agent::flows::Change;
use crate::agent::flows::Flows;
use crate::agent::io::FlowId;
use crate::agent::leaving::Leaving;
use crate::agent::leaving::Turn;
use crate::clock::Clock;
use crate::requests::RequestContext;
use crate::requests::serve_flow;
use crate::udp;

/// Packets handled before other work gets a turn.
const BATCH_PACKETS: usize = 64;

/// Longest time between two turns of the loop.
const TURN: Duration = Duration::from_millis(50);

/// What control tells the traffic thread.
#[derive(Clone, Debug)]
pub enum Update {
    /// A new picture of the group.
    Picture(Arc<GroupPicture>),
    /// A control message about flows or idempotency keys.
    Message {
        /// Who sent it.
        from: InstanceId,
        /// What it says.
        message: Message,
    },
    /// The configuration was confirmed after this wake.
    Confirm(Wake),
    /// The process was asked to end.
    Drain,
}

/// What the traffic thread tells control.
#[derive(Clone, Debug)]
pub enum Event {
    /// The thread was paused and holds traffic.
    WokeLate(Wake),
    /// A control message to send.
    Send(Outgoing),
    /// A process sent a packet by an older configuration.
    StaleSender(InstanceId),
    /// A process sent a packet by a newer configuration.
    NewerConfig(Version),
    /// Load of the backend server.
    Load(Load),
    /// Something for the ledger.
    Record(Record),
    /// Number of records of requests that were lost.
    RecordsLost(u64),
    /// All work is done; the process can end.
    Drained,
}

/// What an agent's traffic thread needs.
pub struct Traffic {
    /// Identity of this instance.
    pub me: InstanceId,
    /// Key of the fleet.
    pub key: FleetKey,
    /// Socket for packets.
    pub socket: UdpSocket,
    /// Where packets to callers go.
    pub fabric: SocketAddrV4,
    /// Clock of the process.
    pub clock: Clock,
    /// Seed of sequence numbers; differs between agents and starts.
    pub seed: u64,
    /// News from control; the thread ends when control is gone.
    pub updates: Receiver<Update>,
    /// News to control.
    pub events: Sender<Event>,
    /// Where requests are served.
    pub requests: Rc<RequestContext>,
}

/// State of the running thread.
struct Worker {
    traffic: Traffic,
    router: FlowRouter,
    flows: Flows,
    picture: Option<Arc<GroupPicture>>,
    guard: WakeGuard,
    leaving: Leaving,
    load: Option<Load>,
    records: Receiver<Record>,
    out: Vec<u8>,
}

impl Traffic {
    /// Runs until control is gone. Must run inside a `LocalSet`.
    ///
    /// # Errors
    ///
    /// The socket failed.
    pub async fn run(self) -> io::Result<()> {
        let mut worker = Worker {
            router: FlowRouter::new(self.me, self.seed),
            flows: Flows::default(),
            picture: None,
            guard: WakeGuard::new(self.clock.now()),
            leaving: Leaving::default(),
            load: None,
            records: self.requests.records(),
            out: Vec::with_capacity(udp::DATAGRAM_LIMIT_BYTES),
            traffic: self,
        };
        worker.run().await
    }
}

impl Worker {
    async fn run(&mut self) -> io::Result<()> {
        let pending = self.flows.pending();
        let updates = self.traffic.updates.clone();
        let requests = Rc::clone(&self.traffic.requests);
        let mut buf = vec![0; udp::DATAGRAM_LIMIT_BYTES];
        loop {
            let pause = self.pause();
            let update = tokio::select! {
                update = updates.recv_async() => match update {
                    Ok(update) => Some(update),
                    Err(flume::RecvError::Disconnected) => return Ok(()),
                },
                ready = self.traffic.socket.readable() => {
                    ready?;
                    None
                }
                () = pending.wait() => None,
                outbox = requests.outgoing() => {
                    self.send_claims(outbox);
                    None
                }
                () = sleep(pause) => None,
            };
            self.note_turn();
            if let Some(update) = update {
                self.take(update);
            }
            self.read_batch(&mut buf)?;
            self.drive_flows();
            self.tick();
        }
    }

    /// Time until something must be done without a packet.
    fn pause(&self) -> Duration {
        let now = self.traffic.clock.now();
        let timers = [self.flows.next_timer(), self.router.next_timer()];
        let next = timers.into_iter().flatten().min();
        next.map_or(TURN, |at| at.since(now).min(TURN))
    }

    fn note_turn(&mut self) {
        if let Some(wake) = self.guard.turn(self.traffic.clock.now()) {
            self.tell(Event::WokeLate(wake));
        }
    }

    fn tell(&self, event: Event) {
        // Control outlives this thread; if it is gone, the loop ends next.
        let _ = self.traffic.events.send(event);
    }

    fn take(&mut self, update: Update) {
        let now = self.traffic.clock.now();
        match update {
            Update::Picture(picture) => self.install(now, picture),
            Update::Message { from, message } => {
                self.router.message(now, from, &message);
                self.traffic.requests.message(now, from, &message);
            }
            Update::Confirm(wake) => self.guard.confirm(wake),
            Update::Drain => self.drain(),
        }
    }

    fn install(&mut self, now: Millis, picture: Arc<GroupPicture>) {
        self.router.install(now, Arc::clone(&picture));
        self.traffic.requests.install(Arc::clone(&picture));
        let out = picture
            .group
            .member(self.traffic.me)
            .is_none_or(|me| !me.reachable);
        self.picture = Some(picture);
        if out {
            self.give_up_flows();
        }
    }

    /// Ends all flows because the data centre was taken out. The callers are
    /// told by a reset; many wait for data and would not notice otherwise.
    fn give_up_flows(&mut self) {
        for key in self.flows.keys() {
            self.record(key, Outcome::FlowEnded(FlowEnd::GivenUp));
            if let Some(id) = self.flows.find(&key) {
                self.flows.abort(id);
            }
        }
    }

    fn drain(&mut self) {
        let requests = Rc::clone(&self.traffic.requests);
        let events = self.traffic.events.clone();
        spawn_local(async move {
            requests.drain().await;
            let _ = events.send(Event::Drained);
        });
    }

    fn read_batch(&mut self, buf: &mut [u8]) -> io::Result<()> {
        for _ in 0..BATCH_PACKETS {
            match self.traffic.socket.try_recv(buf) {
                Ok(len) => self.handle(&buf[..len]),
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                // A refusal told by an earlier destination.
                Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(err) => return Err(err),
            }
        }
        Ok(())
    }

    fn handle(&mut self, datagram: &[u8]) {
        if self.guard.is_holding() {
            return count_drop("held");
        }
        let Some(picture) = self.picture.clone() else {
            return count_drop("no_configuration");
        };
        let Ok((header, packet)) = Header::read(&self.traffic.key, datagram) else {
            return count_drop("forged");
        };
        let Ok(segment) = Segment::parse(packet) else {
            return count_drop("malformed");
        };
        // Whatever brought it here, only this group's service is served here.
        if segment.key.service != picture.group.address {
            return count_drop("other_service");
        }
        self.compare_versions(&header, picture.version);
        self.route(&picture, &header, &segment, packet);
    }

    fn compare_versions(&self, header: &Header, mine: Version) {
        if header.config < mine {
            self.tell(Event::StaleSender(header.sender));
        }
        if header.config > mine {
            self.tell(Event::NewerConfig(header.config));
        }
    }

    fn route(&mut self, picture: &GroupPicture, header: &Header, segment: &Segment, packet: &[u8]) {
        let now = self.traffic.clock.now();
        let arrival = Arrival {
            sender: Some(header.sender),
            hops: header.hops,
            to_owner: header.to_owner,
        };
        match self.router.packet(now, arrival, segment) {
            Step::Deliver => self.deliver(now, segment, packet),
            Step::Open => self.open(now, segment, packet),
            Step::Forward { to, to_owner } => {
                self.forward(picture, header, to, to_owner, packet);
            }
            Step::Drop(reason) => count_drop(reason.label()),
            Step::Reset(reason) => self.reset(segment, reason),
        }
    }

    fn open(&mut self, now: Millis, segment: &Segment, packet: &[u8]) {
        let seed = mix(self.traffic.seed ^ segment.key.hash64() ^ u64::from(segment.seq));
        let id = self.flows.open(segment.key, seed, now);
        self.flows.push(id, packet);
        self.drive(id, now);
    }

    fn deliver(&mut self, now: Millis, segment: &Segment, packet: &[u8]) {
        let Some(id) = self.flows.find(&segment.key) else {
            return count_drop("no_stack");
        };
        self.flows.push(id, packet);
        self.drive(id, now);
    }

    fn forward(
        &mut self,
        picture: &GroupPicture,
        header: &Header,
        to: InstanceId,
        to_owner: bool,
        packet: &[u8],
    ) {
        let Some(member) = picture.group.member(to).filter(|m| m.reachable) else {
            return count_drop("no_member");
        };
        let header = Header {
            sender: self.traffic.me,
            config: picture.version,
            hops: header.hops + 1,
            to_owner,
        };
        self.out.clear();
        header.write(&self.traffic.key, packet, &mut self.out);
        // TCP sends a lost packet again.
        let _ = self
            .traffic
            .socket
            .try_send_to(&self.out, member.agent.into());
        counter!("agent_packets_forwarded_total").increment(1);
    }

    fn reset(&mut self, segment: &Segment, reason: ResetReason) {
        // A reset is never answered by a reset.
        if segment.rst {
            return;
        }
        self.send_to_caller(&segment.reset());
        counter!("agent_resets_total").increment(1);
        let end = match reason {
            ResetReason::OwnerLost | ResetReason::Unowned => FlowEnd::OwnerLost,
            // Its owner counts it too, and both must not.
            ResetReason::GivenUp => return,
            // The flow never opened, or its end was counted before.
            ResetReason::Full | ResetReason::Ended => return,
        };
        self.record(segment.key, Outcome::FlowEnded(end));
    }

    fn send_to_caller(&self, packet: &[u8]) {
        // TCP sends a lost packet again.
        let _ = self
            .traffic
            .socket
            .try_send_to(packet, self.traffic.fabric.into());
    }

    /// Drives flows that were marked and those whose timer has come.
    fn drive_flows(&mut self) {
        let now = self.traffic.clock.now();
        for id in self.flows.pending().take() {
            self.drive(id, now);
        }
        while let Some(id) = self.flows.pop_due(now) {
            self.drive(id, now);
        }
    }

    fn drive(&mut self, id: FlowId, now: Millis) {
        let (router, traffic) = (&mut self.router, &self.traffic);
        let mut send = |packet: &[u8]| {
            note_handshake(router, now, packet);
            // TCP sends a lost packet again.
            let _ = traffic.socket.try_send_to(packet, traffic.fabric.into());
        };
        match self.flows.drive(id, now, &mut send) {
            Change::None => {}
            Change::Established(key) => self.serve(id, key),
            Change::Closed(key) => self.router.closed(now, key),
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

    fn record(&self, key: FlowKey, outcome: Outcome) {
        self.tell(Event::Record(self.record_of(key, outcome)));
    }

    fn record_of(&self, key: FlowKey, outcome: Outcome) -> Record {
        let picture = self.picture.as_ref().expect("flows come after a picture");
        Record {
            caller: key.caller,
            service: picture.group.service,
            server: Some(self.traffic.me),
            outcome,
        }
    }

    /// Lets the decision logic act on time and sends what it has to say.
    fn tick(&mut self) {
        let now = self.traffic.clock.now();
        self.router.tick(now);
        self.watch_leaving(now);
        let abandoned: Vec<FlowKey> = self.router.take_abandoned().collect();
        for key in abandoned {
            if let Some(id) = self.flows.find(&key) {
                self.flows.forget(id);
            }
        }
        let resets: Vec<Reset> = self.router.take_resets().collect();
        for reset in resets {
            self.reset(&reset.segment, reset.reason);
        }
        let outbox: Vec<Outgoing> = self.router.take_outbox().collect();
        for outgoing in outbox {
            self.tell(Event::Send(outgoing));
        }
        self.send_claims(self.traffic.requests.take_outbox());
        for record in self.records.try_iter() {
            self.tell(Event::Record(record));
        }
        let lost = self.traffic.requests.take_records_lost();
        if lost > 0 {
            self.tell(Event::RecordsLost(lost));
        }
        self.tell_load();
    }

    fn send_claims(&self, outbox: Vec<Outgoing>) {
        for outgoing in outbox {
            self.tell(Event::Send(outgoing));
        }
    }

    /// Cuts what a leaving server still has when its drain limit has passed.
    fn watch_leaving(&mut self, now: Millis) {
        let picture = self.picture.as_ref();
        let Some(me) = picture.and_then(|p| p.group.member(self.traffic.me)) else {
            return;
        };
        match self.leaving.turn(now, me) {
            Turn::Unchanged => {}
            Turn::Cut => self.traffic.requests.cut_running(),
            Turn::Resume => self.traffic.requests.resume(),
        }
    }

    fn tell_load(&mut self) {
        let load = Load {
            flows: self.flows.len() as u32,
            ..self.traffic.requests.load()
        };
        if self.load != Some(load) {
            self.load = Some(load);
            gauge!("agent_open_flows").set(f64::from(load.flows));
            self.tell(Event::Load(load));
        }
    }
}

/// Tells the router with which number the handshake's answer left.
fn note_handshake(router: &mut FlowRouter, now: Millis, packet: &[u8]) {
    let Ok(segment) = Segment::parse_return(packet) else {
        return;
    };
    if segment.syn && segment.has_ack {
        router.accepted(now, segment.key, segment.seq);
    }
}

fn count_drop(reason: &'static str) {
    counter!("agent_packets_dropped_total", "reason" => reason).increment(1);
}

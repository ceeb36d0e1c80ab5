//! Traffic thread of an agent. Its loop waits for packets, pending flows,
//! timers or messages from the control thread, handles what is ready, and sends
//! the control thread what it needs to know.

use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use metrics::gauge;
use ramp_coordination::flows::FlowRouter;
use ramp_coordination::flows::Reset;
use ramp_coordination::group_snapshot::GroupSnapshot;
use ramp_coordination::outgoing::Outgoing;
use ramp_coordination::pause::HeldPackets;
use ramp_coordination::pause::PauseDetector;
use ramp_protocol::auth::FleetKey;
use ramp_protocol::message::Load;
use ramp_state::key::FlowKey;
use ramp_state::key::InstanceId;
use ramp_state::outcome::Record;
use ramp_state::time::Millis;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::agent::drain_timer::DrainAction;
use crate::agent::drain_timer::DrainTimer;
use crate::agent::flows::Flows;
use crate::agent::thread_messages::Event;
use crate::agent::thread_messages::Update;
use crate::clock::Clock;
use crate::requests::RequestContext;
use crate::udp;

/// Longest time between two iterations of the traffic loop.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// What an agent's traffic thread is started with.
pub struct Traffic {
    /// Identity of this instance.
    pub me: InstanceId,
    /// Key that authenticates packets within the fleet.
    pub key: FleetKey,
    /// Socket on which packets arrive and from which they are sent.
    pub socket: UdpSocket,
    /// Address of the fabric, which takes packets to callers.
    pub fabric: SocketAddrV4,
    /// Clock of the process.
    pub clock: Clock,
    /// Seed of TCP sequence numbers; must differ between agents and between
    /// starts of the same agent.
    pub seed: u64,
    /// Messages from the control thread; the traffic thread ends when that
    /// thread has ended.
    pub updates: Receiver<Update>,
    /// Messages to the control thread.
    pub events: Sender<Event>,
    /// Serves the requests of established flows.
    pub requests: Rc<RequestContext>,
}

/// State of the running thread.
pub(super) struct Worker {
    pub(super) traffic: Traffic,
    pub(super) router: FlowRouter,
    pub(super) flows: Flows,
    pub(super) snapshot: Option<Arc<GroupSnapshot>>,
    pub(super) pause_detector: PauseDetector,
    pub(super) held_packets: HeldPackets,
    drain_timer: DrainTimer,
    load: Option<Load>,
    records: Receiver<Record>,
    pub(super) send_buf: Vec<u8>,
}

impl Traffic {
    /// Runs until the control thread has ended. Must run inside a `LocalSet`.
    ///
    /// # Errors
    ///
    /// The socket failed.
    pub async fn run(self) -> io::Result<()> {
        let mut worker = Worker {
            router: FlowRouter::new(self.me, self.seed),
            flows: Flows::default(),
            snapshot: None,
            pause_detector: PauseDetector::new(self.clock.now()),
            held_packets: HeldPackets::default(),
            drain_timer: DrainTimer::default(),
            load: None,
            records: self.requests.records(),
            send_buf: Vec::with_capacity(udp::DATAGRAM_LIMIT_BYTES),
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
            let idle_time = self.idle_time();
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
                () = sleep(idle_time) => None,
            };
            self.check_pause();
            if let Some(update) = update {
                self.apply_update(update);
            }
            self.read_batch(&mut buf)?;
            self.drive_flows();
            self.tick();
        }
    }

    /// Time that the loop may wait for input: until the next timer is due, and
    /// at most [`MAX_TICK_INTERVAL`].
    fn idle_time(&self) -> Duration {
        let now = self.traffic.clock.now();
        let timers = [self.flows.next_timer(), self.router.next_timer()];
        let next = timers.into_iter().flatten().min();
        next.map_or(MAX_TICK_INTERVAL, |at| at.since(now).min(MAX_TICK_INTERVAL))
    }

    fn check_pause(&mut self) {
        if let Some(pause_id) = self.pause_detector.record_turn(self.traffic.clock.now()) {
            self.send_event(Event::Paused(pause_id));
        }
    }

    pub(super) fn send_event(&self, event: Event) {
        // Sending fails only when the control thread has ended; the loop then
        // ends at its next iteration.
        let _ = self.traffic.events.send(event);
    }

    fn apply_update(&mut self, update: Update) {
        let now = self.traffic.clock.now();
        match update {
            Update::Snapshot(snapshot) => self.install(now, snapshot),
            Update::Message { from, message } => {
                self.router.on_message(now, from, &message);
                self.traffic.requests.on_message(now, from, &message);
            }
            Update::Confirm(pause_id) => {
                self.pause_detector.confirm(pause_id);
                self.handle_held_packets();
            }
            Update::Drain => self.drain(),
        }
    }

    fn install(&mut self, now: Millis, snapshot: Arc<GroupSnapshot>) {
        self.router.install(now, Arc::clone(&snapshot));
        self.traffic.requests.install(Arc::clone(&snapshot));
        let is_unreachable = snapshot
            .group
            .member(self.traffic.me)
            .is_none_or(|me| !me.reachable);
        self.snapshot = Some(snapshot);
        if is_unreachable {
            self.abort_flows();
        }
    }

    /// Aborts all flows because the data centre was taken out. The callers get
    /// a reset: many of them wait for data and would not notice otherwise.
    fn abort_flows(&mut self) {
        for key in self.flows.keys() {
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

    /// Handles due timers of the router and the drain timer, then sends resets,
    /// messages, records and the load.
    fn tick(&mut self) {
        let now = self.traffic.clock.now();
        self.router.tick(now);
        self.enforce_drain_limit(now);
        let abandoned: Vec<FlowKey> = self.router.take_abandoned().collect();
        for key in abandoned {
            if let Some(id) = self.flows.find(&key) {
                self.flows.discard(id);
            }
        }
        let resets: Vec<Reset> = self.router.take_resets().collect();
        for reset in resets {
            self.reset(&reset.segment, reset.reason);
        }
        let outbox: Vec<Outgoing> = self.router.take_outbox().collect();
        for outgoing in outbox {
            self.send_event(Event::Send(outgoing));
        }
        self.send_claims(self.traffic.requests.take_outbox());
        for record in self.records.try_iter() {
            self.send_event(Event::Record(record));
        }
        let lost = self.traffic.requests.take_records_lost();
        if lost > 0 {
            self.send_event(Event::RecordsLost(lost));
        }
        self.report_load();
    }

    fn send_claims(&self, outbox: Vec<Outgoing>) {
        for outgoing in outbox {
            self.send_event(Event::Send(outgoing));
        }
    }

    /// Aborts the requests in progress at a leaving server when its drain limit
    /// has passed.
    fn enforce_drain_limit(&mut self, now: Millis) {
        let snapshot = self.snapshot.as_ref();
        let Some(me) = snapshot.and_then(|s| s.group.member(self.traffic.me)) else {
            return;
        };
        match self.drain_timer.update(now, me) {
            DrainAction::Unchanged => {}
            DrainAction::Abort => self.traffic.requests.abort_in_progress(),
            DrainAction::Resume => self.traffic.requests.resume(),
        }
    }

    fn report_load(&mut self) {
        let load = Load {
            flows: self.flows.len() as u32,
            ..self.traffic.requests.load()
        };
        if self.load != Some(load) {
            self.load = Some(load);
            gauge!("agent_open_flows").set(f64::from(load.flows));
            self.send_event(Event::Load(load));
        }
    }
}

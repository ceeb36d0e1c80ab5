//! State that all requests of one agent share.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use flume::Receiver;
use flume::Sender;
use metrics::counter;
use ramp_coordination::admission::PermitKey;
use ramp_coordination::admission::TicketKey;
use ramp_coordination::claims::AttemptId;
use ramp_coordination::claims::ClaimConfig;
use ramp_coordination::claims::Claims;
use ramp_coordination::claims::Decision;
use ramp_coordination::group_snapshot::GroupSnapshot;
use ramp_coordination::outgoing::Outgoing;
use ramp_coordination::request_router::RequestRouter;
use ramp_protocol::message::ClaimKey;
use ramp_protocol::message::Load;
use ramp_protocol::message::Message;
use ramp_protocol::seal::FleetKey;
use ramp_state::fleet::Policy;
use ramp_state::key::Incarnation;
use ramp_state::key::InstanceId;
use ramp_state::key::ServiceId;
use ramp_state::outcome::Record;
use ramp_state::time::Millis;
use slotmap::SecondaryMap;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;

use super::claim_desk::ClaimDesk;
use super::handoff::Challenge;
use super::handoff::Challenges;

/// Records that may wait for the ledger.
const RECORD_QUEUE_LIMIT: usize = 65_536;

/// Idempotency keys that an agent keeps for its group.
const KEY_LIMIT: usize = 50_000;

/// How often a drain looks whether all requests have ended.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(10);

/// What an agent needs to know to serve requests.
pub struct RequestConfig {
    /// The agent.
    pub me: InstanceId,
    /// Service that its backend server belongs to, until a picture tells.
    pub service: ServiceId,
    /// Its backend server.
    pub backend_server: SocketAddrV4,
    /// Key shared by all processes of the system.
    pub key: FleetKey,
    /// Seed of its choices between peers and of spread retry times.
    pub seed: u64,
    /// Start of the agent's process.
    pub incarnation: Incarnation,
    /// Moment from which [`Millis`] count on this agent.
    pub epoch: Instant,
}

/// How far a drain has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Drain {
    /// Not begun.
    Serving,
    /// No new requests; those in progress go on.
    Draining,
    /// The drain limit has passed; what is left is cut.
    Over,
}

/// State that all requests of one agent share.
pub struct RequestContext {
    pub(super) cfg: RequestConfig,
    /// The decisions. Never borrowed across an await.
    pub(super) requests: RefCell<RequestRouter>,
    picture: RefCell<Option<Arc<GroupSnapshot>>>,
    claims: RefCell<ClaimDesk>,
    outbox_filled: Notify,
    waiters: RefCell<SecondaryMap<TicketKey, oneshot::Sender<PermitKey>>>,
    challenges: RefCell<Challenges>,
    flows: Cell<u32>,
    /// Requests between head and end, wherever they run.
    live: Cell<u32>,
    drain: watch::Sender<Drain>,
    records: (Sender<Record>, Receiver<Record>),
    records_lost: Cell<u64>,
}

impl RequestContext {
    /// State of an agent that has no picture of its group yet.
    pub fn new(cfg: RequestConfig) -> Rc<RequestContext> {
        let now = millis_since(cfg.epoch);
        let claims = ClaimConfig {
            me: cfg.me,
            incarnation: cfg.incarnation,
            unix_ms_at_zero: unix_ms().saturating_sub(now.0),
            key_limit: KEY_LIMIT,
        };
        Rc::new(RequestContext {
            requests: RefCell::new(RequestRouter::new(now, cfg.me, cfg.seed)),
            cfg,
            picture: RefCell::new(None),
            claims: RefCell::new(ClaimDesk::new(claims)),
            outbox_filled: Notify::new(),
            waiters: RefCell::default(),
            challenges: RefCell::default(),
            flows: Cell::new(0),
            live: Cell::new(0),
            drain: watch::Sender::new(Drain::Serving),
            records: flume::bounded(RECORD_QUEUE_LIMIT),
            records_lost: Cell::new(0),
        })
    }

    /// Takes a new picture of the group.
    pub fn install(&self, picture: Arc<GroupSnapshot>) {
        let now = self.now();
        self.requests.borrow_mut().install(now, picture.clone());
        self.with_claims(|claims| claims.install(now, &picture));
        self.picture.replace(Some(picture));
        self.wake();
    }

    /// Load of the backend server, for heartbeats.
    pub fn load(&self) -> Load {
        self.requests.borrow().load(self.now(), self.flows.get())
    }

    /// Takes a message of another agent about an idempotency key.
    pub fn on_message(&self, now: Millis, from: InstanceId, message: &Message) {
        self.with_claims(|claims| claims.on_message(now, from, message));
    }

    /// Messages to other agents since the last call.
    pub fn take_outbox(&self) -> Vec<Outgoing> {
        self.claims.borrow_mut().take_outbox()
    }

    /// Completes with messages to other agents as soon as there are any.
    pub async fn outgoing(&self) -> Vec<Outgoing> {
        loop {
            let found = self.take_outbox();
            if !found.is_empty() {
                return found;
            }
            self.outbox_filled.notified().await;
        }
    }

    /// Repeats and renews what other agents have to hear. [`serve_peers`]
    /// does it regularly.
    ///
    /// [`serve_peers`]: super::serve_peers
    pub fn tick(&self) {
        let now = self.now();
        self.with_claims(|claims| claims.tick(now));
    }

    /// Lets `act` change the claims, then passes on what came of it.
    pub(super) fn with_claims<T>(&self, act: impl FnOnce(&mut Claims) -> T) -> T {
        let result = self.claims.borrow_mut().act(act);
        self.announce_outbox();
        result
    }

    /// Begins an attempt of `key`; the decision goes to `tx`.
    pub(super) fn begin_claim(
        &self,
        now: Millis,
        key: ClaimKey,
        tx: oneshot::Sender<Decision>,
    ) -> AttemptId {
        let attempt = self.claims.borrow_mut().begin(now, key, tx);
        self.announce_outbox();
        attempt
    }

    fn announce_outbox(&self) {
        if self.claims.borrow().has_outgoing() {
            self.outbox_filled.notify_one();
        }
    }

    /// Where the ledger finds what became of requests.
    pub fn records(&self) -> Receiver<Record> {
        self.records.1.clone()
    }

    /// Number of records that found no room since the last call.
    pub fn take_records_lost(&self) -> u64 {
        self.records_lost.take()
    }

    /// Stops taking new requests. Completes when those in progress have
    /// ended, or when the drain limit has passed and they have been cut.
    pub async fn drain(&self) {
        self.requests.borrow_mut().drain();
        self.drain.send_replace(Drain::Draining);
        let limit = self.policy().drain_limit;
        if tokio::time::timeout(limit, self.idle()).await.is_err() {
            self.drain.send_replace(Drain::Over);
            self.idle().await;
        }
    }

    /// Cuts the requests in progress, because the server's drain limit has
    /// passed.
    pub fn abort_in_progress(&self) {
        self.drain.send_replace(Drain::Over);
    }

    /// Serves again after [`RequestContext::abort_in_progress`].
    pub fn resume(&self) {
        self.drain.send_replace(Drain::Serving);
    }

    /// Completes when the drain has come to `stage`.
    pub(super) async fn drained_to(&self, stage: Drain) {
        let mut rx = self.drain.subscribe();
        // The sender lives in `self`, so waiting can't fail.
        let _ = rx.wait_for(|now| *now >= stage).await;
    }

    /// Whether what is left of requests is being cut.
    pub(super) fn is_cut(&self) -> bool {
        *self.drain.borrow() == Drain::Over
    }

    /// The present moment on the agent's clock.
    pub fn now(&self) -> Millis {
        millis_since(self.cfg.epoch)
    }

    /// Settings of the agent's backend server.
    pub(super) fn policy(&self) -> Arc<Policy> {
        self.requests.borrow().policy().clone()
    }

    /// Service that the agent's group serves.
    pub(super) fn service(&self) -> ServiceId {
        let picture = self.picture.borrow();
        picture
            .as_ref()
            .map_or(self.cfg.service, |p| p.group.service)
    }

    /// Where another agent takes requests.
    pub(super) fn address_of(&self, peer: InstanceId) -> Option<SocketAddrV4> {
        let picture = self.picture.borrow();
        picture.as_ref()?.group.member(peer).map(|m| m.agent)
    }

    /// Challenge for one more connection of another agent.
    pub(super) fn next_challenge(&self) -> Challenge {
        self.challenges.borrow_mut().draw()
    }

    /// Where the permit of a waiting request will come.
    pub(super) fn wait_for(&self, ticket: TicketKey) -> oneshot::Receiver<PermitKey> {
        let (tx, rx) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, tx);
        rx
    }

    /// A request waits no longer.
    pub(super) fn stop_waiting(&self, ticket: TicketKey) {
        self.waiters.borrow_mut().remove(ticket);
    }

    /// Gives permits to the waiting requests that got one. Called after
    /// whatever may free a slot.
    pub(super) fn wake(&self) {
        let admitted = self.requests.borrow_mut().take_admitted();
        for found in admitted {
            let waiter = self.waiters.borrow_mut().remove(found.ticket);
            // A waiter that left has given up its ticket, so it is there.
            let Some(tx) = waiter else { continue };
            let _ = tx.send(found.permit);
        }
    }

    pub(super) fn record(&self, record: Record) {
        if self.records.0.try_send(record).is_err() {
            self.records_lost.set(self.records_lost.get() + 1);
            counter!("bramleyramp_records_lost_total").increment(1);
        }
    }

    pub(super) fn flow_opened(&self) {
        self.flows.set(self.flows.get() + 1);
    }

    pub(super) fn flow_ended(&self) {
        self.flows.set(self.flows.get() - 1);
    }

    pub(super) fn request_began(&self) {
        self.live.set(self.live.get() + 1);
    }

    pub(super) fn request_ended(&self) {
        self.live.set(self.live.get() - 1);
    }

    async fn idle(&self) {
        while self.live.get() > 0 || self.flows.get() > 0 {
            tokio::time::sleep(DRAIN_POLL_PERIOD).await;
        }
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| span.as_millis() as u64)
}

fn millis_since(epoch: Instant) -> Millis {
    Millis(epoch.elapsed().as_millis() as u64)
}

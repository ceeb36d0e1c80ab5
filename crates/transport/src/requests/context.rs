//! State that all requests of one agent share.
//!
//! [`RequestContext`] joins the decisions of `ramp_coordination` (request
//! router, claims of idempotency keys) with the channels to the waiting
//! requests, the drain stage, and the queue of records for the ledger.

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
use ramp_protocol::auth::FleetKey;
use ramp_protocol::message::ClaimKey;
use ramp_protocol::message::Load;
use ramp_protocol::message::Message;
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

use super::claim_dispatcher::ClaimDispatcher;
use super::peer_auth::Challenge;
use super::peer_auth::ChallengeSource;

/// Maximum number of records of ended requests that wait for the ledger; more
/// are dropped and counted.
const MAX_QUEUED_RECORDS: usize = 65_536;

/// Maximum number of idempotency keys that an agent stores as a replica for its
/// group.
const MAX_REPLICA_KEYS: usize = 50_000;

/// Interval at which a drain checks whether all requests and flows have ended.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(10);

/// Configuration that an agent needs to serve requests.
pub struct RequestConfig {
    /// This agent's instance.
    pub me: InstanceId,
    /// Service of the backend server, used until a snapshot of the group states
    /// it.
    pub service: ServiceId,
    /// Address of the agent's own backend server.
    pub backend_server: SocketAddrV4,
    /// Secret that all processes of the system share; signs forwarded requests.
    pub key: FleetKey,
    /// Seed of the random choice between peers and of the jitter of retry
    /// times.
    pub seed: u64,
    /// Distinguishes this start of the agent's process from earlier ones.
    pub incarnation: Incarnation,
    /// Zero point of the agent's [`Millis`] clock.
    pub epoch: Instant,
}

/// Stage of a drain; the stages are ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum DrainStage {
    /// No drain is in progress.
    Serving,
    /// New requests are refused; those in progress continue.
    Draining,
    /// The drain limit has passed; requests still in progress are aborted.
    Aborting,
}

/// State that all requests of one agent share.
pub struct RequestContext {
    pub(super) cfg: RequestConfig,
    /// Decides where each request runs. Never borrowed across an await.
    pub(super) router: RefCell<RequestRouter>,
    snapshot: RefCell<Option<Arc<GroupSnapshot>>>,
    claims: RefCell<ClaimDispatcher>,
    outbox_ready: Notify,
    waiters: RefCell<SecondaryMap<TicketKey, oneshot::Sender<PermitKey>>>,
    challenges: RefCell<ChallengeSource>,
    open_flows: Cell<u32>,
    /// Requests that have begun and not ended, wherever they run.
    live_requests: Cell<u32>,
    drain_stage: watch::Sender<DrainStage>,
    records: (Sender<Record>, Receiver<Record>),
    records_lost: Cell<u64>,
}

impl RequestContext {
    /// Creates the state of an agent that has no snapshot of its group yet.
    pub fn new(cfg: RequestConfig) -> Rc<RequestContext> {
        let now = millis_since(cfg.epoch);
        let claims = ClaimConfig {
            me: cfg.me,
            incarnation: cfg.incarnation,
            unix_ms_at_zero: unix_time_ms().saturating_sub(now.0),
            key_limit: MAX_REPLICA_KEYS,
        };
        Rc::new(RequestContext {
            router: RefCell::new(RequestRouter::new(now, cfg.me, cfg.seed)),
            cfg,
            snapshot: RefCell::new(None),
            claims: RefCell::new(ClaimDispatcher::new(claims)),
            outbox_ready: Notify::new(),
            waiters: RefCell::default(),
            challenges: RefCell::default(),
            open_flows: Cell::new(0),
            live_requests: Cell::new(0),
            drain_stage: watch::Sender::new(DrainStage::Serving),
            records: flume::bounded(MAX_QUEUED_RECORDS),
            records_lost: Cell::new(0),
        })
    }

    /// Replaces the snapshot of the group.
    pub fn install(&self, snapshot: Arc<GroupSnapshot>) {
        let now = self.now();
        self.router.borrow_mut().install(now, snapshot.clone());
        self.with_claims(|claims| claims.install(now, &snapshot));
        self.snapshot.replace(Some(snapshot));
        self.deliver_permits();
    }

    /// Load of the backend server, as heartbeats report it.
    pub fn load(&self) -> Load {
        self.router.borrow().load(self.now(), self.open_flows.get())
    }

    /// Handles a message from another agent about an idempotency key.
    pub fn on_message(&self, now: Millis, from: InstanceId, message: &Message) {
        self.with_claims(|claims| claims.on_message(now, from, message));
    }

    /// Takes the messages to other agents that were queued since the last call.
    pub fn take_outbox(&self) -> Vec<Outgoing> {
        self.claims.borrow_mut().take_outbox()
    }

    /// Waits until messages to other agents are queued, and takes them.
    pub async fn outgoing(&self) -> Vec<Outgoing> {
        loop {
            let messages = self.take_outbox();
            if !messages.is_empty() {
                return messages;
            }
            self.outbox_ready.notified().await;
        }
    }

    /// Queues claim messages to other agents that are due: retries without
    /// answer and renewals. [`serve_peers`] calls this periodically.
    ///
    /// [`serve_peers`]: super::serve_peers
    pub fn tick(&self) {
        let now = self.now();
        self.with_claims(|claims| claims.tick(now));
    }

    /// Applies `change` to the claims, then delivers new decisions and wakes
    /// [`RequestContext::outgoing`] if messages to other agents are queued.
    pub(super) fn with_claims<T>(&self, change: impl FnOnce(&mut Claims) -> T) -> T {
        let result = self.claims.borrow_mut().update(change);
        self.notify_outbox();
        result
    }

    /// Begins an attempt to run under `key`; the decision is sent to `tx`.
    pub(super) fn begin_attempt(
        &self,
        now: Millis,
        key: ClaimKey,
        tx: oneshot::Sender<Decision>,
    ) -> AttemptId {
        let attempt = self.claims.borrow_mut().begin(now, key, tx);
        self.notify_outbox();
        attempt
    }

    fn notify_outbox(&self) {
        if self.claims.borrow().has_outgoing() {
            self.outbox_ready.notify_one();
        }
    }

    /// Queue from which the ledger takes the records of ended requests.
    pub fn records(&self) -> Receiver<Record> {
        self.records.1.clone()
    }

    /// Number of records dropped since the last call because the queue was full.
    pub fn take_records_lost(&self) -> u64 {
        self.records_lost.take()
    }

    /// Stops accepting new requests. Completes when those in progress have
    /// ended, or when the drain limit has passed and they have been aborted.
    pub async fn drain(&self) {
        self.router.borrow_mut().drain();
        self.drain_stage.send_replace(DrainStage::Draining);
        let limit = self.policy().drain_limit;
        if tokio::time::timeout(limit, self.wait_until_idle())
            .await
            .is_err()
        {
            self.drain_stage.send_replace(DrainStage::Aborting);
            self.wait_until_idle().await;
        }
    }

    /// Aborts the requests in progress, because the backend server's drain
    /// limit has passed.
    pub fn abort_in_progress(&self) {
        self.drain_stage.send_replace(DrainStage::Aborting);
    }

    /// Accepts requests again after [`RequestContext::abort_in_progress`].
    pub fn resume(&self) {
        self.drain_stage.send_replace(DrainStage::Serving);
    }

    /// Completes when the drain has reached `stage` or a later one.
    pub(super) async fn wait_for_drain_stage(&self, stage: DrainStage) {
        let mut rx = self.drain_stage.subscribe();
        // The sender is a field of `self`, so waiting can't fail.
        let _ = rx.wait_for(|now| *now >= stage).await;
    }

    /// Whether the requests in progress are being aborted.
    pub(super) fn is_aborting(&self) -> bool {
        *self.drain_stage.borrow() == DrainStage::Aborting
    }

    /// Current time on the agent's clock.
    pub fn now(&self) -> Millis {
        millis_since(self.cfg.epoch)
    }

    /// Policy settings in force for the agent's backend server.
    pub(super) fn policy(&self) -> Arc<Policy> {
        self.router.borrow().policy().clone()
    }

    /// Service that the agent's group serves.
    pub(super) fn service(&self) -> ServiceId {
        let snapshot = self.snapshot.borrow();
        snapshot
            .as_ref()
            .map_or(self.cfg.service, |s| s.group.service)
    }

    /// Address at which the agent `peer` accepts forwarded requests.
    pub(super) fn address_of(&self, peer: InstanceId) -> Option<SocketAddrV4> {
        let snapshot = self.snapshot.borrow();
        snapshot.as_ref()?.group.member(peer).map(|m| m.agent)
    }

    /// Generates the challenge for a new connection from another agent.
    pub(super) fn generate_challenge(&self) -> Challenge {
        self.challenges.borrow_mut().generate()
    }

    /// Registers a queued request. The receiver gets its permit.
    pub(super) fn register_waiter(&self, ticket: TicketKey) -> oneshot::Receiver<PermitKey> {
        let (tx, rx) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, tx);
        rx
    }

    /// Removes the registration of a queued request.
    pub(super) fn remove_waiter(&self, ticket: TicketKey) {
        self.waiters.borrow_mut().remove(ticket);
    }

    /// Sends permits to the queued requests that were admitted. Called after
    /// each step that may have freed a slot.
    pub(super) fn deliver_permits(&self) {
        let admitted = self.router.borrow_mut().take_admitted();
        for entry in admitted {
            let waiter = self.waiters.borrow_mut().remove(entry.ticket);
            // A request that leaves the queue cancels its ticket, so an
            // admitted ticket always has a waiter.
            let Some(tx) = waiter else { continue };
            let _ = tx.send(entry.permit);
        }
    }

    pub(super) fn queue_record(&self, record: Record) {
        if self.records.0.try_send(record).is_err() {
            self.records_lost.set(self.records_lost.get() + 1);
            counter!("bramleyramp_records_lost_total").increment(1);
        }
    }

    pub(super) fn flow_opened(&self) {
        self.open_flows.set(self.open_flows.get() + 1);
    }

    pub(super) fn flow_ended(&self) {
        self.open_flows.set(self.open_flows.get() - 1);
    }

    pub(super) fn request_began(&self) {
        self.live_requests.set(self.live_requests.get() + 1);
    }

    pub(super) fn request_ended(&self) {
        self.live_requests.set(self.live_requests.get() - 1);
    }

    async fn wait_until_idle(&self) {
        while self.live_requests.get() > 0 || self.open_flows.get() > 0 {
            tokio::time::sleep(DRAIN_POLL_PERIOD).await;
        }
    }
}

fn unix_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| span.as_millis() as u64)
}

fn millis_since(epoch: Instant) -> Millis {
    Millis(epoch.elapsed().as_millis() as u64)
}

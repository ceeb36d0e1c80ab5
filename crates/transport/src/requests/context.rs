//! State that all requests of one agent share.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use flume::Receiver;
use flume::Sender;
use metrics::counter;
use ramp_coordination::outgoing::Outgoing;
use ramp_coordination::picture::GroupPicture;
use ramp_protocol::message::Load;
use ramp_protocol::message::Message;
use ramp_protocol::seal::FleetKey;
use ramp_state::fleet::Policy;
use ramp_state::fleet::ServerState;
use ramp_state::key::InstanceId;
use ramp_state::key::ServiceId;
use ramp_state::outcome::Record;
use ramp_state::time::Millis;
use tokio::sync::watch;

use super::handoff::Challenge;
use super::handoff::Challenges;

/// Records that may wait for the ledger.
const RECORD_QUEUE_LIMIT: usize = 65_536;

/// What an agent needs to know to serve requests.
pub struct RequestConfig {
    /// The agent.
    pub me: InstanceId,
    /// Service that its backend server belongs to.
    pub service: ServiceId,
    /// Its backend server.
    pub backend_server: SocketAddrV4,
    /// Key shared by all processes of the system.
    pub key: FleetKey,
    /// Seed of its choices between peers and of spread retry times.
    pub seed: u64,
    /// Moment from which [`Millis`] count on this agent.
    pub epoch: Instant,
}

/// State that all requests of one agent share.
pub struct RequestContext {
    pub(super) cfg: RequestConfig,
    picture: RefCell<Option<Arc<GroupPicture>>>,
    flows: Cell<u32>,
    in_progress: Cell<u32>,
    challenges: RefCell<Challenges>,
    draining: watch::Sender<bool>,
    records: (Sender<Record>, Receiver<Record>),
}

impl RequestContext {
    /// State of an agent that has no picture of its group yet.
    pub fn new(cfg: RequestConfig) -> Rc<RequestContext> {
        Rc::new(RequestContext {
            cfg,
            picture: RefCell::new(None),
            flows: Cell::new(0),
            in_progress: Cell::new(0),
            challenges: RefCell::new(Challenges::new()),
            draining: watch::Sender::new(false),
            records: flume::bounded(RECORD_QUEUE_LIMIT),
        })
    }

    /// Takes a new picture of the group.
    pub fn install(&self, picture: Arc<GroupPicture>) {
        *self.picture.borrow_mut() = Some(picture);
    }

    /// Load of the backend server, for heartbeats.
    pub fn load(&self) -> Load {
        Load {
            flows: self.flows.get(),
            in_progress: self.in_progress.get(),
            slots: self.policy().slots,
            leaving: self.leaving(),
            ..Load::default()
        }
    }

    /// Takes a message of another agent about an idempotency key.
    pub fn message(&self, _now: Millis, _from: InstanceId, _message: &Message) {}

    /// Messages to other agents since the last call.
    pub fn take_outbox(&self) -> Vec<Outgoing> {
        Vec::new()
    }

    /// Where the ledger finds what became of requests.
    pub fn records(&self) -> Receiver<Record> {
        self.records.1.clone()
    }

    /// Stops taking new requests. Completes when those in progress have
    /// ended, or the drain limit has passed.
    pub async fn drain(&self) {
        self.draining.send_replace(true);
        let limit = self.policy().drain_limit;
        let _ = tokio::time::timeout(limit, self.idle()).await;
    }

    /// Completes when the agent begins to drain.
    pub(super) async fn draining(&self) {
        let mut rx = self.draining.subscribe();
        // The sender lives in `self`, so waiting can't fail.
        let _ = rx.wait_for(|draining| *draining).await;
    }

    /// Challenge for one more connection of another agent.
    pub(super) fn next_challenge(&self) -> Challenge {
        self.challenges.borrow_mut().draw()
    }

    /// The present moment on the agent's clock.
    pub(super) fn now(&self) -> Millis {
        Millis(self.cfg.epoch.elapsed().as_millis() as u64)
    }

    /// Settings of the agent's backend server; the defaults until a picture
    /// came.
    pub(super) fn policy(&self) -> Arc<Policy> {
        let picture = self.picture.borrow();
        let member = picture.as_ref().and_then(|p| p.group.member(self.cfg.me));
        member.map(|m| m.policy.clone()).unwrap_or_default()
    }

    pub(super) fn record(&self, record: Record) {
        if self.records.0.try_send(record).is_err() {
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
        self.in_progress.set(self.in_progress.get() + 1);
    }

    pub(super) fn request_ended(&self) {
        self.in_progress.set(self.in_progress.get() - 1);
    }

    fn leaving(&self) -> bool {
        let picture = self.picture.borrow();
        let member = picture.as_ref().and_then(|p| p.group.member(self.cfg.me));
        *self.draining.borrow() || member.is_some_and(|m| m.state == ServerState::Leaving)
    }

    async fn idle(&self) {
        const POLL_PERIOD: std::time::Duration = std::time::Duration::from_millis(10);
        while self.in_progress.get() > 0 || self.flows.get() > 0 {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }
}

//! Registration of displaced flows with their new home, and their release.
//!
//! After a change of the view the owner walks over its flows a few at a time
//! and tells each new home, in batches, which of its flows live here. The
//! pace keeps the control traffic of an agent bounded. Each flow is told a
//! second time later, since a home that hears of the change later than the
//! owner ignores the first, and datagrams get lost.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use ramp_protocol::message::Message;
use ramp_state::key::FlowKey;
use ramp_state::key::InstanceId;
use ramp_state::time::Millis;

use super::Outgoing;
use super::table::FlowId;
use super::token_bucket::TokenBucket;

/// Flows in one datagram.
pub(super) const BATCH_FLOWS: usize = 80;

/// Time between two batches of registrations or releases.
const PERIOD: Duration = Duration::from_millis(100);

/// Time after which a registration is repeated; longer than views differ.
const REPEAT_AFTER: Duration = Duration::from_secs(6);

/// Flows looked at in one period.
pub(super) const WALK_FLOWS: usize = 512;

/// What a datagram costs beside its flows, in flows.
const DATAGRAM_FLOWS: u64 = 6;

/// Flows that may be told to others, a second.
const FLOWS_PER_S: u64 = 320;

/// Flows that may be told to others at once.
const FLOWS_BURST: u64 = 640;

/// Flows whose end may wait to be told; the home finds out by itself
/// about those beyond.
const RELEASES_MAX: usize = 4096;

/// Flows to be told to other members.
#[derive(Debug)]
pub(super) struct Registration {
    /// Flows whose home may have changed.
    walk: VecDeque<FlowId>,
    /// Registered flows, to be registered again.
    repeats: VecDeque<(Millis, FlowId)>,
    registers: IndexMap<InstanceId, Vec<FlowKey>>,
    releases: IndexMap<InstanceId, Vec<FlowKey>>,
    waiting_releases: usize,
    next_at: Option<Millis>,
    flows: TokenBucket,
}

impl Registration {
    pub(super) fn new() -> Registration {
        Registration {
            walk: VecDeque::new(),
            repeats: VecDeque::new(),
            registers: IndexMap::new(),
            releases: IndexMap::new(),
            waiting_releases: 0,
            next_at: None,
            flows: TokenBucket::new(FLOWS_PER_S, FLOWS_BURST),
        }
    }

    /// Starts a walk over `flows`, in place of one that has not ended.
    pub(super) fn restart(&mut self, now: Millis, flows: impl Iterator<Item = FlowId>) {
        self.walk.clear();
        self.walk.extend(flows);
        if !self.walk.is_empty() {
            self.arm(now);
        }
    }

    /// Adds one flow to the walk.
    pub(super) fn add(&mut self, now: Millis, flow: FlowId) {
        self.walk.push_back(flow);
        self.arm(now);
    }

    /// Notes that `flow`, to which `home` has a pointer, has ended.
    pub(super) fn release(&mut self, now: Millis, home: InstanceId, flow: FlowKey) {
        if self.waiting_releases >= RELEASES_MAX {
            return;
        }
        self.releases.entry(home).or_default().push(flow);
        self.waiting_releases += 1;
        self.arm(now);
    }

    /// Whether a period has passed; begins the next one.
    pub(super) fn begin(&mut self, now: Millis) -> bool {
        if self.next_timer().is_none_or(|at| at > now) {
            return false;
        }
        self.next_at = None;
        true
    }

    /// Next flow of the walk.
    pub(super) fn next_flow(&mut self) -> Option<FlowId> {
        self.walk.pop_front()
    }

    /// Next flow to be registered again.
    pub(super) fn next_repeat(&mut self, now: Millis) -> Option<FlowId> {
        let (at, flow) = *self.repeats.front()?;
        if at > now {
            return None;
        }
        self.repeats.pop_front();
        Some(flow)
    }

    /// Adds a displaced flow to the batch for `home`.
    pub(super) fn register(&mut self, home: InstanceId, flow: FlowKey) {
        self.registers.entry(home).or_default().push(flow);
    }

    /// Has a flow registered again later.
    pub(super) fn repeat(&mut self, now: Millis, flow: FlowId) {
        self.repeats.push_back((now + REPEAT_AFTER, flow));
    }

    /// Forgets what was meant for members that get no messages any more.
    pub(super) fn retain(&mut self, keep: impl Fn(InstanceId) -> bool) {
        self.registers.retain(|home, _| keep(*home));
        self.releases.retain(|home, _| keep(*home));
        self.waiting_releases = self.releases.values().map(Vec::len).sum();
    }

    /// Sends batches as far as the pace allows; returns flows registered.
    pub(super) fn send(&mut self, now: Millis, outbox: &mut Vec<Outgoing>) -> usize {
        let (registers, bucket) = (&mut self.registers, &mut self.flows);
        let registered = send_batches(now, registers, bucket, outbox, |flows| Message::Register {
            flows,
        });
        let released = send_batches(now, &mut self.releases, bucket, outbox, |flows| {
            Message::Release { flows }
        });
        self.waiting_releases -= released;
        if !self.walk.is_empty() || !self.registers.is_empty() || !self.releases.is_empty() {
            self.arm(now);
        }
        registered
    }

    /// When the next batch is due.
    pub(super) fn next_timer(&self) -> Option<Millis> {
        let repeat = self.repeats.front().map(|(at, _)| *at);
        self.next_at.into_iter().chain(repeat).min()
    }

    fn arm(&mut self, now: Millis) {
        self.next_at.get_or_insert(now + PERIOD);
    }
}

fn send_batches(
    now: Millis,
    waiting: &mut IndexMap<InstanceId, Vec<FlowKey>>,
    bucket: &mut TokenBucket,
    outbox: &mut Vec<Outgoing>,
    message: impl Fn(Vec<FlowKey>) -> Message,
) -> usize {
    let mut sent = 0;
    for (home, flows) in waiting.iter_mut() {
        while !flows.is_empty() {
            let len = flows.len().min(BATCH_FLOWS);
            if !bucket.take(now, len as u64 + DATAGRAM_FLOWS) {
                break;
            }
            let batch = flows.split_off(flows.len() - len);
            sent += len;
            outbox.push(Outgoing {
                to: *home,
                message: message(batch),
            });
        }
    }
    waiting.retain(|_, flows| !flows.is_empty());
    sent
}

//! Registration of displaced flows (owner and home differ) with their home, and
//! their release when they end.
//!
//! After the homes have changed, an owner scans its flows a few at a time and
//! sends each new home batches of the flows that it should point to this agent.
//! A rate limit bounds the control traffic of an agent. Each flow is registered
//! twice, some seconds apart, since a home that learns of the change later than
//! the owner ignores the first registration, and datagrams get lost.

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
pub(super) const BATCH_MAX_FLOWS: usize = 80;

/// Time between two batches of registrations or releases.
const BATCH_PERIOD: Duration = Duration::from_millis(100);

/// Time after which a registration is repeated; longer than the views of two
/// members differ after a change.
const REPEAT_AFTER: Duration = Duration::from_secs(6);

/// Flows scanned, and repeats handled, in one batch period.
pub(super) const SCAN_FLOWS_PER_PERIOD: usize = 512;

/// Rate limit cost of a datagram in addition to that of its flows.
const DATAGRAM_OVERHEAD_FLOWS: u64 = 6;

/// Flows registered or released per second, on average.
const FLOWS_PER_S: u64 = 320;

/// Flows registered or released at once.
const FLOWS_BURST: u64 = 640;

/// Releases that may be queued. Beyond that none is sent: the home removes the
/// stale pointer when this agent denies that it owns the flow.
const MAX_QUEUED_RELEASES: usize = 4096;

/// Queues of flows to register with or release at other members.
#[derive(Debug)]
pub(super) struct Registration {
    /// Flows to check, since their home may have changed.
    scan: VecDeque<FlowId>,
    /// Registered flows, with the time at which to register them again.
    repeats: VecDeque<(Millis, FlowId)>,
    registrations: IndexMap<InstanceId, Vec<FlowKey>>,
    releases: IndexMap<InstanceId, Vec<FlowKey>>,
    queued_releases: usize,
    next_at: Option<Millis>,
    rate_limit: TokenBucket,
}

impl Registration {
    pub(super) fn new() -> Registration {
        Registration {
            scan: VecDeque::new(),
            repeats: VecDeque::new(),
            registrations: IndexMap::new(),
            releases: IndexMap::new(),
            queued_releases: 0,
            next_at: None,
            rate_limit: TokenBucket::new(FLOWS_PER_S, FLOWS_BURST),
        }
    }

    /// Starts a scan of `flows`; replaces a scan in progress.
    pub(super) fn restart_scan(&mut self, now: Millis, flows: impl Iterator<Item = FlowId>) {
        self.scan.clear();
        self.scan.extend(flows);
        if !self.scan.is_empty() {
            self.arm_timer(now);
        }
    }

    /// Adds one flow to the scan.
    pub(super) fn scan_flow(&mut self, now: Millis, flow: FlowId) {
        self.scan.push_back(flow);
        self.arm_timer(now);
    }

    /// Queues the release of `flow`, which has ended and has a pointer at `home`.
    pub(super) fn release(&mut self, now: Millis, home: InstanceId, flow: FlowKey) {
        if self.queued_releases >= MAX_QUEUED_RELEASES {
            return;
        }
        self.releases.entry(home).or_default().push(flow);
        self.queued_releases += 1;
        self.arm_timer(now);
    }

    /// Whether a batch is due; if so, clears its timer.
    pub(super) fn begin_period(&mut self, now: Millis) -> bool {
        if self.next_timer().is_none_or(|at| at > now) {
            return false;
        }
        self.next_at = None;
        true
    }

    /// Next flow of the scan.
    pub(super) fn next_scanned(&mut self) -> Option<FlowId> {
        self.scan.pop_front()
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
        self.registrations.entry(home).or_default().push(flow);
    }

    /// Schedules the second registration of a flow.
    pub(super) fn schedule_repeat(&mut self, now: Millis, flow: FlowId) {
        self.repeats.push_back((now + REPEAT_AFTER, flow));
    }

    /// Drops the queues of members for which `keep` is false, since they get no
    /// messages any more.
    pub(super) fn retain(&mut self, keep: impl Fn(InstanceId) -> bool) {
        self.registrations.retain(|home, _| keep(*home));
        self.releases.retain(|home, _| keep(*home));
        self.queued_releases = self.releases.values().map(Vec::len).sum();
    }

    /// Sends batches within the rate limit; returns the number of registered flows.
    pub(super) fn send(&mut self, now: Millis, outbox: &mut Vec<Outgoing>) -> usize {
        let (registrations, bucket) = (&mut self.registrations, &mut self.rate_limit);
        let registered = send_batches(now, registrations, bucket, outbox, |flows| {
            Message::Register { flows }
        });
        let released = send_batches(now, &mut self.releases, bucket, outbox, |flows| {
            Message::Release { flows }
        });
        self.queued_releases -= released;
        if !self.scan.is_empty() || !self.registrations.is_empty() || !self.releases.is_empty() {
            self.arm_timer(now);
        }
        registered
    }

    /// When the next batch is due.
    pub(super) fn next_timer(&self) -> Option<Millis> {
        let repeat = self.repeats.front().map(|(at, _)| *at);
        self.next_at.into_iter().chain(repeat).min()
    }

    fn arm_timer(&mut self, now: Millis) {
        self.next_at.get_or_insert(now + BATCH_PERIOD);
    }
}

/// Moves queued flows in batches into the outbox; returns their number.
fn send_batches(
    now: Millis,
    queued: &mut IndexMap<InstanceId, Vec<FlowKey>>,
    bucket: &mut TokenBucket,
    outbox: &mut Vec<Outgoing>,
    message: impl Fn(Vec<FlowKey>) -> Message,
) -> usize {
    let mut sent = 0;
    for (home, flows) in queued.iter_mut() {
        while !flows.is_empty() {
            let len = flows.len().min(BATCH_MAX_FLOWS);
            if !bucket.take(now, len as u64 + DATAGRAM_OVERHEAD_FLOWS) {
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
    queued.retain(|_, flows| !flows.is_empty());
    sent
}

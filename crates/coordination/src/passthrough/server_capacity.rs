//! Estimates what one backend server can do from the packets that its agent sees,
//! without I/O: the concurrency up to which response times remain stable (the
//! limit), and the mean time of a request within it.
//!
//! The time of a request runs from the last packet of its data to the first packet
//! of the response. Its concurrency is the number of requests in progress, averaged
//! over that time. Both values come from the completed requests of the last
//! [`WINDOW`], and from those in progress that have already taken longer than the
//! mean, so that a server that stops to answer is noticed.
//!
//! - Limit: where the third of the requests with the highest concurrency takes
//!   significantly longer than the third with the lowest, the limit is the
//!   concurrency at which their throughput would have kept the time of the latter
//!   (Little's law). Otherwise it rises in steps up to the slots, so that a slow
//!   server is probed again. A refusal lowers it to below the concurrency at
//!   which it occurred.
//! - Time: a trimmed mean, in which one caller has a limited weight. Times above
//!   the limit are scaled down to it, so that time and limit do not count the same
//!   slowness twice. The mean is smoothed over [`MEMORY`], unless the window
//!   deviates from it significantly; then the mean of the window replaces it.

use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::time::Duration;

use indexmap::IndexMap;
use ramp_protocol::capacity_report::CapacityReport;
use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

use super::trimmed_mean::TrimmedMean;
use super::trimmed_mean::Weighted;

/// Age up to which requests count. A change is to be followed within 2 s.
const WINDOW: Duration = Duration::from_millis(1500);

/// Time over which the mean is smoothed while it does not change, which keeps the
/// differences between equal servers below a fifth.
const MEMORY: Duration = Duration::from_secs(20);

/// Time without a completed request after which the estimate is discarded.
const ESTIMATE_TTL: Duration = Duration::from_secs(10);

/// Minimum time between two computations of the estimate.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Time without signs of slowness after which the limit rises by a step.
const LIMIT_RAISE_INTERVAL: Duration = Duration::from_millis(250);

/// Number of steps from zero to the slots, so that any limit is back at the slots
/// within 2 s.
const LIMIT_RAISE_STEPS: u16 = 8;

/// Maximum number of requests that are kept in the window.
const MAX_SAMPLES: usize = 128;

/// Maximum number of requests in progress that are tracked; further ones give no
/// sample.
const MAX_TRACKED_REQUESTS: usize = 1024;

/// Number of requests in the window from which a mean is computed: the standard error
/// of fewer is too uncertain.
const MIN_MEAN_SAMPLES: usize = 6;

/// Number of requests in the window from which those at low and at high concurrency
/// are compared.
const MIN_LIMIT_SAMPLES: usize = 24;

/// Share of one caller in the weight of all requests: less than the share that the
/// trimmed mean leaves out on each side.
const MAX_CALLER_SHARE: f64 = 0.125;

/// Ratio of times from which response times no longer count as stable.
const SLOW_RATIO: f64 = 1.33;

/// Ratio of the concurrencies from which the times of two groups are compared.
const MIN_CONCURRENCY_RATIO: f64 = 1.25;

/// Relative change of the mean that is followed at once, if it is significant.
const MIN_MEAN_CHANGE: f64 = 0.2;

/// Number of standard errors from which a change of the mean is followed at once. The
/// windows of many servers are compared ten times a second.
const SIGNIFICANT_CHANGE_ERRORS: f64 = 4.0;

/// Number of standard errors from which the times at high concurrency count as longer.
/// A wrong limit costs little, as the time is scaled with it.
const SIGNIFICANT_RISE_ERRORS: f64 = 3.0;

/// A request whose response has not begun.
#[derive(Clone, Copy, Debug)]
struct Pending {
    /// When the last packet of its data arrived.
    since: Millis,
    /// [`ServerCapacity::busy_ms`] at that time.
    busy_ms: u64,
    /// Requests in progress at that time, this one included.
    in_progress: u16,
    /// Whether data before that packet was missing. The server then waits for the
    /// caller, so the time says nothing.
    has_gap: bool,
}

/// A request whose response has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompletedRequest {
    caller: Ipv4Addr,
    /// Time from the last packet of the request to the first of the response.
    took_ms: u64,
    /// Sum over that time of the requests in progress, in request-milliseconds.
    busy_ms: u64,
    /// Requests in progress when it began, this one included.
    in_progress: u16,
    has_gap: bool,
}

/// How a server responded to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// It did the work.
    Served,
    /// It refused the request because it is overloaded.
    Overloaded,
    /// It reported another error, which says nothing about its capacity.
    Failed,
}

/// The limit before and after a change by a quarter or more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitChange {
    /// Limit that was last reported as a change.
    pub before: u16,
    /// New limit.
    pub after: u16,
    /// Mean time of a request.
    pub request_time: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Millis,
    request: CompletedRequest,
}

/// Smoothed mean time of a request.
#[derive(Clone, Copy, Debug)]
struct SmoothedMean {
    mean_ms: f64,
    /// Time that it covers, at most [`MEMORY`].
    covered: Duration,
}

/// Estimated capacity of the server beside one agent.
#[derive(Clone, Debug, Default)]
pub struct ServerCapacity {
    pending: IndexMap<FlowKey, Pending>,
    /// Sum over all time of the requests in progress, in request-milliseconds.
    busy_ms: u64,
    busy_counted_until: Millis,
    samples: VecDeque<Sample>,
    mean: Option<SmoothedMean>,
    /// Learned limit; none: the slots.
    limit: Option<u16>,
    limit_changed_at: Millis,
    logged_limit: Option<u16>,
    updated_at: Millis,
    last_sample_at: Millis,
}

impl CompletedRequest {
    /// Mean number of requests in progress, this one included.
    fn concurrency(&self) -> f64 {
        if self.took_ms == 0 {
            return f64::from(self.in_progress.max(1));
        }
        (self.busy_ms as f64 / self.took_ms as f64).max(1.0)
    }
}

impl ServerCapacity {
    /// Records a packet with new data of a request. `has_gap`: data before it is
    /// missing.
    pub fn on_request_data(&mut self, now: Millis, flow: FlowKey, has_gap: bool) {
        if self.pending.len() >= MAX_TRACKED_REQUESTS && !self.pending.contains_key(&flow) {
            return;
        }
        self.count_busy(now);
        let held = self.pending.get(&flow);
        let had_gap = held.is_some_and(|p| p.has_gap);
        let others = self.in_progress() - u16::from(held.is_some());
        let pending = Pending {
            since: now,
            busy_ms: self.busy_ms,
            in_progress: others.saturating_add(1),
            has_gap: has_gap || had_gap,
        };
        self.pending.insert(flow, pending);
    }

    /// Ends the request of a flow, as its response begins. To be recorded by
    /// [`ServerCapacity::record`] once its result is known.
    pub fn on_response(&mut self, now: Millis, flow: &FlowKey) -> Option<CompletedRequest> {
        self.count_busy(now);
        let pending = self.pending.swap_remove(flow)?;
        Some(self.completed(now, flow, &pending))
    }

    /// Forgets the request of a flow that has ended without a response.
    pub fn abandon(&mut self, flow: &FlowKey) {
        self.pending.swap_remove(flow);
    }

    /// The server refused a request or a new flow, with this many in progress.
    pub fn on_refusal(&mut self, now: Millis, in_progress: u16) {
        let refused_at = in_progress.saturating_sub(1);
        if refused_at > 0 && self.limit.is_none_or(|limit| refused_at < limit) {
            self.limit = Some(refused_at);
        }
        self.limit_changed_at = now;
    }

    /// Number of requests in progress at the server.
    pub fn in_progress(&self) -> u16 {
        u16::try_from(self.pending.len()).unwrap_or(u16::MAX)
    }

    /// Discards everything, because another server runs now.
    pub fn reset(&mut self) {
        *self = ServerCapacity::default();
    }

    /// Discards what was learned, but not the requests in progress.
    pub fn discard_estimate(&mut self) {
        self.samples.clear();
        self.mean = None;
        self.limit = None;
    }

    /// Records a request whose response has begun.
    pub fn record(&mut self, now: Millis, request: CompletedRequest, response: Response) {
        match response {
            Response::Served if !request.has_gap => {}
            Response::Overloaded => {
                self.on_refusal(now, request.in_progress);
                return;
            }
            Response::Served | Response::Failed => return,
        }
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample { at: now, request });
        self.last_sample_at = now;
    }

    /// The estimate for a server with that many slots; none while it is unknown.
    pub fn report(&mut self, now: Millis, slots: u16) -> Option<CapacityReport> {
        if slots == 0 {
            return None;
        }
        if now.since(self.updated_at) >= UPDATE_INTERVAL {
            self.update(now, slots);
        }
        let mean = self.mean?;
        Some(CapacityReport {
            limit: self.limit_within(slots),
            request_time: Duration::from_millis(mean.mean_ms.round().max(1.0) as u64),
            age: now.since(self.last_sample_at),
        })
    }

    /// The learned limit; none while it is not below the slots.
    pub fn learned_limit(&self) -> Option<u16> {
        self.limit
    }

    /// The limit's change, if it is a quarter or more since the last one returned.
    pub fn take_limit_change(&mut self, slots: u16) -> Option<LimitChange> {
        let mean = self.mean?;
        let before = self.logged_limit.unwrap_or(slots);
        let after = self.limit_within(slots);
        if before.abs_diff(after) * 4 < before {
            return None;
        }
        self.logged_limit = Some(after);
        Some(LimitChange {
            before,
            after,
            request_time: Duration::from_millis(mean.mean_ms.round() as u64),
        })
    }

    fn limit_within(&self, slots: u16) -> u16 {
        self.limit.unwrap_or(slots).clamp(1, slots.max(1))
    }

    fn count_busy(&mut self, now: Millis) {
        let elapsed_ms = now.since(self.busy_counted_until).as_millis() as u64;
        self.busy_ms += elapsed_ms * self.pending.len() as u64;
        self.busy_counted_until = self.busy_counted_until.max(now);
    }

    fn completed(&self, now: Millis, flow: &FlowKey, pending: &Pending) -> CompletedRequest {
        CompletedRequest {
            caller: *flow.caller.ip(),
            took_ms: now.since(pending.since).as_millis() as u64,
            busy_ms: self.busy_ms - pending.busy_ms,
            in_progress: pending.in_progress,
            has_gap: pending.has_gap,
        }
    }

    fn update(&mut self, now: Millis, slots: u16) {
        let elapsed = now.since(self.updated_at);
        self.updated_at = now;
        self.count_busy(now);
        while self
            .samples
            .front()
            .is_some_and(|s| now.since(s.at) > WINDOW)
        {
            self.samples.pop_front();
        }
        if now.since(self.last_sample_at) > ESTIMATE_TTL {
            self.discard_estimate();
        }
        let requests = self.observed(now);
        if requests.len() >= MIN_MEAN_SAMPLES {
            let weights = caller_weights(&requests);
            let before = self.window_mean(slots, &requests, &weights);
            self.update_limit(now, slots, &requests, &weights);
            let after = self.window_mean(slots, &requests, &weights);
            self.update_mean(before, after, elapsed);
        } else {
            self.raise_limit(now, slots);
        }
    }

    /// Requests of the window, and those in progress that already take longer than
    /// the mean.
    fn observed(&self, now: Millis) -> Vec<CompletedRequest> {
        let mut requests: Vec<CompletedRequest> = self.samples.iter().map(|s| s.request).collect();
        let Some(mean) = self.mean else {
            return requests;
        };
        let pending = self.pending.iter();
        let pending = pending.map(|(flow, p)| self.completed(now, flow, p));
        requests.extend(pending.filter(|r| !r.has_gap && r.took_ms as f64 > mean.mean_ms));
        requests
    }

    fn update_limit(
        &mut self,
        now: Millis,
        slots: u16,
        requests: &[CompletedRequest],
        weights: &[f64],
    ) {
        let Some(stable) = stable_concurrency(requests, weights) else {
            return self.raise_limit(now, slots);
        };
        let limit = stable.round().clamp(1.0, f64::from(slots)) as u16;
        self.limit = (limit < slots).then_some(limit);
        self.limit_changed_at = now;
    }

    /// Raises the limit by a step if there was no sign of slowness for a while.
    fn raise_limit(&mut self, now: Millis, slots: u16) {
        let Some(limit) = self.limit else {
            return;
        };
        if now.since(self.limit_changed_at) >= LIMIT_RAISE_INTERVAL {
            let step = slots.div_ceil(LIMIT_RAISE_STEPS);
            self.limit = Some(limit.saturating_add(step)).filter(|limit| *limit < slots);
            self.limit_changed_at = now;
        }
    }

    /// Mean time of these requests, scaled down to the limit.
    fn window_mean(
        &self,
        slots: u16,
        requests: &[CompletedRequest],
        weights: &[f64],
    ) -> TrimmedMean {
        let limit = f64::from(self.limit_within(slots));
        let scaled = requests.iter().zip(weights).map(|(request, weight)| {
            let within_limit = (limit / request.concurrency()).min(1.0);
            Weighted {
                value: request.took_ms as f64 * within_limit,
                weight: *weight,
            }
        });
        TrimmedMean::of(scaled.collect())
    }

    /// Follows the mean of the window. `before` is that mean with the last limit: the
    /// smoothed mean is scaled as the window's is when the limit changes.
    fn update_mean(&mut self, before: TrimmedMean, recent: TrimmedMean, elapsed: Duration) {
        let scale = recent.mean / before.mean.max(f64::MIN_POSITIVE);
        self.mean = Some(self.mean.map_or_else(
            || SmoothedMean::new(recent.mean),
            |mean| mean.scaled(scale).updated(recent, elapsed),
        ));
    }
}

impl SmoothedMean {
    fn new(mean_ms: f64) -> SmoothedMean {
        SmoothedMean {
            mean_ms,
            covered: WINDOW,
        }
    }

    fn scaled(self, scale: f64) -> SmoothedMean {
        SmoothedMean {
            mean_ms: self.mean_ms * scale,
            ..self
        }
    }

    fn updated(self, recent: TrimmedMean, elapsed: Duration) -> SmoothedMean {
        let change = recent.mean - self.mean_ms;
        // The error grows with the mean. That of the lower mean counts, so that a rise
        // is found as soon as a fall.
        let relative_error = recent.standard_error / recent.mean.max(f64::MIN_POSITIVE);
        let lower_mean = recent.mean.min(self.mean_ms);
        let significant = SIGNIFICANT_CHANGE_ERRORS * relative_error * lower_mean;
        let min_change = significant.max(MIN_MEAN_CHANGE * self.mean_ms);
        if change.abs() > min_change {
            return SmoothedMean::new(recent.mean);
        }
        let covered = (self.covered + elapsed).min(MEMORY);
        let weight = (elapsed.as_secs_f64() / covered.as_secs_f64()).min(1.0);
        SmoothedMean {
            mean_ms: self.mean_ms + change * weight,
            covered,
        }
    }
}

/// Weight of each request: one, or less if its caller has many.
fn caller_weights(requests: &[CompletedRequest]) -> Vec<f64> {
    let mut counts: IndexMap<Ipv4Addr, f64> = IndexMap::new();
    for request in requests {
        *counts.entry(request.caller).or_default() += 1.0;
    }
    let most = (requests.len() as f64 * MAX_CALLER_SHARE).max(1.0);
    let weight = |request: &CompletedRequest| (most / counts[&request.caller]).min(1.0);
    requests.iter().map(weight).collect()
}

/// Concurrency at which the throughput of the requests that began at a high
/// concurrency would have kept the time of those that began at a low one; none if
/// the times do not rise with the concurrency.
///
/// Requests are grouped by the concurrency at their start. The average over their
/// time would depend on the time itself: only short requests are never joined by
/// another.
fn stable_concurrency(requests: &[CompletedRequest], weights: &[f64]) -> Option<f64> {
    if requests.len() < MIN_LIMIT_SAMPLES {
        return None;
    }
    let mut order: Vec<usize> = (0..requests.len()).collect();
    order.sort_by_key(|at| requests[*at].in_progress);
    let third = order.len() / 3;
    let (low, high) = (&order[..third], &order[order.len() - third..]);
    let concurrency = |group: &[usize]| {
        let each = group.iter().map(|at| requests[*at].concurrency());
        each.sum::<f64>() / group.len() as f64
    };
    let time = |group: &[usize]| {
        let times = group.iter().map(|at| Weighted {
            value: requests[*at].took_ms as f64,
            weight: weights[*at],
        });
        TrimmedMean::of(times.collect())
    };
    if concurrency(high) < MIN_CONCURRENCY_RATIO * concurrency(low) {
        return None;
    }
    let (fast, slow) = (time(low), time(high));
    let error = fast.standard_error.hypot(slow.standard_error);
    let rise = slow.mean - fast.mean;
    let is_slow = slow.mean > SLOW_RATIO * fast.mean && rise > SIGNIFICANT_RISE_ERRORS * error;
    is_slow.then(|| concurrency(high) * fast.mean / slow.mean)
}

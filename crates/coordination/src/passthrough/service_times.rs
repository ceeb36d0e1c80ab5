//! Time that a new request is expected to take at each member of a service, by the
//! capacity reports of the agents.

use std::time::Duration;

use ramp_protocol::capacity_report::CapacityReport;

use super::view::Member;

/// Age from which an estimate is no longer used; the member then counts as an
/// average one, so that it gets flows and reports again.
pub(super) const ESTIMATE_MAX_AGE: Duration = Duration::from_secs(3);

/// Ratio of the slowest to the fastest member up to which all count as equal, if a
/// tenth is left out on either side: the estimates of many equal servers always
/// include a few that are off by more.
const EQUAL_RATIO: f64 = 1.2;

/// Part of the members that is left out on either side, as a divisor.
const LEFT_OUT_DIVISOR: usize = 10;

/// Ratio of a single member to the median from which the members are not equal.
const OUTLIER_RATIO: f64 = 1.5;

/// Ratio of a member's expected time to the median from which another member is
/// considered.
const OVERLOAD_RATIO: f64 = 4.0 / 3.0;

/// A member, the estimate for it and the requests in progress there.
#[derive(Clone, Copy, Debug)]
pub(super) struct MemberLoad<'a> {
    pub(super) member: &'a Member,
    pub(super) estimate: Option<CapacityReport>,
    pub(super) recent: RecentLoad,
}

/// Requests in progress at a member, by the reports of its agent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentLoad {
    /// Requests in progress by the last report, and new flows sent since.
    pub(super) last: f64,
    /// Mean of the reports, each of which counts the flow that caused it.
    pub(super) mean: f64,
    /// Age of the last report.
    pub(super) age: Duration,
}

impl RecentLoad {
    /// Requests in progress with a new one. The reports arrive only with new flows,
    /// so the last one loses its meaning as the requests that it counts end.
    fn with_new_request(&self, request_ms: f64) -> f64 {
        let still_valid = (-(self.age.as_millis() as f64) / request_ms).exp();
        let expected = self.mean + (self.last + 1.0 - self.mean) * still_valid;
        expected.max(1.0)
    }
}

/// Expected times at the members of a service that are not equally fast.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceTimes {
    /// Median time of a request, for members without an estimate.
    typical_ms: f64,
    /// Median expected time.
    median_ms: f64,
}

impl MemberLoad<'_> {
    /// The estimated limit, never above the slots; the slots without an estimate.
    fn limit(&self) -> f64 {
        let slots = self.member.slots.max(1);
        let limit = self.estimate.map_or(slots, |e| e.limit.min(slots));
        f64::from(limit.max(1))
    }

    fn request_ms(&self) -> Option<f64> {
        let estimate = self.estimate?;
        Some(estimate.request_time.as_millis() as f64)
    }

    /// Time of a request if all slots were in use, which also shows a server that
    /// slows down before that.
    fn full_load_ms(&self) -> Option<f64> {
        Some(self.request_ms()? * f64::from(self.member.slots.max(1)) / self.limit())
    }
}

impl ServiceTimes {
    /// None if the members are equally fast as far as is known.
    pub(super) fn new(loads: &[MemberLoad]) -> Option<ServiceTimes> {
        if are_equal(loads.iter().filter_map(MemberLoad::full_load_ms).collect()) {
            return None;
        }
        let typical_ms = median(loads.iter().filter_map(MemberLoad::request_ms).collect());
        let mut times = ServiceTimes {
            typical_ms,
            median_ms: 0.0,
        };
        times.median_ms = median(loads.iter().map(|l| times.expected_ms(l)).collect());
        Some(times)
    }

    /// Whether a member's expected time is far above that of the others.
    pub(super) fn is_overloaded(&self, load: &MemberLoad) -> bool {
        self.expected_ms(load) > OVERLOAD_RATIO * self.median_ms
    }

    /// Whether a member has no free slot for a new request.
    pub(super) fn is_busy(&self, load: &MemberLoad) -> bool {
        let in_progress = load.recent.with_new_request(self.request_ms(load));
        load.member.slots > 0 && in_progress > f64::from(load.member.slots)
    }

    /// Expected time of a new request, which counts as in progress as well: otherwise
    /// all idle servers would look alike, whatever their speed.
    pub(super) fn expected_ms(&self, load: &MemberLoad) -> f64 {
        let request_ms = self.request_ms(load);
        request_ms * load.recent.with_new_request(request_ms) / load.limit()
    }

    fn request_ms(&self, load: &MemberLoad) -> f64 {
        load.request_ms().unwrap_or(self.typical_ms)
    }
}

/// Whether the times of all members are equal within the accuracy of the estimates.
fn are_equal(mut times: Vec<f64>) -> bool {
    times.sort_by(f64::total_cmp);
    let left_out = times.len() / LEFT_OUT_DIVISOR;
    let inner = times.get(left_out..times.len() - left_out);
    let (Some([fastest, .., slowest]), Some(last)) = (inner, times.last()) else {
        return true;
    };
    *slowest <= EQUAL_RATIO * fastest && *last <= OUTLIER_RATIO * median(times.clone())
}

/// Lower median; zero without values.
fn median(mut values: Vec<f64>) -> f64 {
    let middle = values.len().saturating_sub(1) / 2;
    values.sort_by(f64::total_cmp);
    values.get(middle).copied().unwrap_or_default()
}

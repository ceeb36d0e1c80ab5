//! Metrics and log lines of a balancer's egress queue.

use std::time::Duration;

use metrics::Counter;
use metrics::Gauge;
use metrics::counter;
use metrics::gauge;
use ramp_coordination::passthrough::egress::Class;
use ramp_coordination::passthrough::egress::Drops;
use ramp_coordination::passthrough::link_rate::LinkRate;
use ramp_state::time::Millis;

/// Minimum time between two log lines about dropped datagrams.
const DROP_LOG_INTERVAL: Duration = Duration::from_secs(1);

const BITS_PER_KILOBIT: u64 = 1000;

/// Counters of one egress queue, by class in descending order of precedence.
pub struct Telemetry {
    queued: [Counter; Class::NAMES.len()],
    full: [Counter; Class::NAMES.len()],
    expired: [Counter; Class::NAMES.len()],
    backlog_s: Gauge,
    /// Drops that are not logged yet.
    unlogged: Drops,
    /// Longest backlog when these were dropped.
    longest_backlog: Duration,
    logged_at: Option<Millis>,
}

impl Telemetry {
    /// The queue is enabled for a link of this rate.
    pub fn start(rate: Option<LinkRate>) -> Telemetry {
        let link_kbps = rate.map_or(0, |rate| rate.bits_per_s() / BITS_PER_KILOBIT);
        log::info!(link_kbps; "egress queue enabled: the link is narrow");
        Telemetry {
            queued: Class::NAMES.map(
                |class| counter!("passthrough_balancer_egress_queued_total", "class" => class),
            ),
            full: Class::NAMES.map(|class| dropped_counter(class, "full")),
            expired: Class::NAMES.map(|class| dropped_counter(class, "expired")),
            backlog_s: gauge!("passthrough_balancer_egress_backlog_seconds"),
            unlogged: Drops::default(),
            longest_backlog: Duration::ZERO,
            logged_at: None,
        }
    }

    /// A datagram was added to the queue.
    pub fn queued(&self, class: Class) {
        self.queued[class.index()].increment(1);
    }

    /// The queue was drained as far as the link allows. `drops` are those since the
    /// last call.
    pub fn drained(&mut self, now: Millis, backlog: Duration, drops: &Drops) {
        self.backlog_s.set(backlog.as_secs_f64());
        if !drops.is_empty() {
            self.longest_backlog = self.longest_backlog.max(backlog);
            self.count_drops(drops);
        }
        let due = self
            .logged_at
            .is_none_or(|at| now.since(at) >= DROP_LOG_INTERVAL);
        if due && !self.unlogged.is_empty() {
            self.log_drops();
            self.logged_at = Some(now);
        }
    }

    fn count_drops(&mut self, drops: &Drops) {
        for class in 0..Class::NAMES.len() {
            self.full[class].increment(drops.full[class]);
            self.expired[class].increment(drops.expired[class]);
        }
        self.unlogged.add(drops);
    }

    fn log_drops(&mut self) {
        let [control, interactive, bulk] = std::mem::take(&mut self.unlogged).by_class();
        let backlog = std::mem::take(&mut self.longest_backlog);
        log::info!(
            control,
            interactive,
            bulk,
            longest_backlog_ms = backlog.as_millis() as u64;
            "datagrams dropped: the link has a backlog"
        );
    }
}

fn dropped_counter(class: &'static str, reason: &'static str) -> Counter {
    counter!("passthrough_balancer_egress_dropped_total", "class" => class, "reason" => reason)
}

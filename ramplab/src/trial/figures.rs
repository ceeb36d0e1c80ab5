//! Measurements of a trial beyond the check of its histories: configuration
//! versions of the processes, propagation time, and how broken flows ended.

use std::time::Duration;

use ramp_protocol::operator::Readiness;
use ramp_transport::operator::fetch_status;
use serde::Serialize;
use tokio::time::Instant;

use crate::check::CheckReport;
use crate::demo::layout::Node;
use crate::history::EventData;
use crate::history::FlowEnd;

/// Timeout of one status query to a process.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between status queries to one process.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Figures of one trial; written out as JSON under these names.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Version of the fleet document published last.
    pub published: u64,
    /// Open connections that were reset or closed early although they should
    /// have survived.
    pub flows_reset: u64,
    /// Open connections whose caller timed out although they should have
    /// survived.
    pub flows_silent: u64,
    /// Time until the published version was in force at all processes that run,
    /// in milliseconds; none when it was not in time or was not measured.
    pub in_force_ms: Option<u64>,
    /// First version in force at the process that the trial restarted; none when
    /// it restarted none.
    pub restarted_with: Option<u64>,
    /// Versions in force at the end at all processes that run; zero for one that
    /// holds traffic or does not answer.
    pub last_versions: Vec<u64>,
}

impl Figures {
    /// Counts the connections that broke an invariant by how they ended.
    pub fn count_broken_flows(&mut self, check_report: &CheckReport) {
        let events = check_report.violations.iter().flat_map(|v| &v.events);
        for event in events {
            match event.what {
                EventData::FlowEnded {
                    end: FlowEnd::Silent,
                    ..
                } => self.flows_silent += 1,
                EventData::FlowEnded { .. } => self.flows_reset += 1,
                _ => {}
            }
        }
    }
}

/// Time until `version` or a newer one is in force at each of `nodes`, in
/// milliseconds; none when that takes longer than `timeout`.
pub async fn propagation_time_ms(nodes: &[Node], version: u64, timeout: Duration) -> Option<u64> {
    let started = Instant::now();
    let all = async {
        for node in nodes {
            while config_version(node).await.is_none_or(|v| v < version) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    };
    tokio::time::timeout(timeout, all).await.ok()?;
    Some(started.elapsed().as_millis() as u64)
}

/// Versions in force at the processes; zero for one that holds traffic or does
/// not answer.
pub async fn config_versions(nodes: &[Node]) -> Vec<u64> {
    let mut versions = Vec::new();
    for node in nodes {
        versions.push(config_version(node).await.unwrap_or_default());
    }
    versions
}

/// Version in force at a process; none when it holds traffic or does not answer.
pub async fn config_version(node: &Node) -> Option<u64> {
    let status = fetch_status(node.control, STATUS_TIMEOUT).await.ok()?;
    (status.readiness != Readiness::Held).then_some(status.config.0)
}

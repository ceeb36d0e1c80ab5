//! What a trial measures beside the check_report over its history.

use std::time::Duration;

use ramp_protocol::operator::Readiness;
use ramp_transport::operator::fetch_status;
use serde::Serialize;
use tokio::time::Instant;

use crate::check::CheckReport;
use crate::demo::layout::Node;
use crate::history::EventData;
use crate::history::FlowEnd;

/// Time for an answer of a process.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);

/// Time between two looks at a process.
const PERIOD: Duration = Duration::from_millis(50);

/// Figures of one trial.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Last version of the fleet document that was published.
    pub published: u64,
    /// Open connections that were reset or cut short although they should have
    /// lived.
    pub flows_reset: u64,
    /// Open connections whose caller gave up waiting although they should have
    /// lived.
    pub flows_silent: u64,
    /// Time until all asked processes obeyed it, in milliseconds; none when
    /// they did not in time.
    pub in_force_ms: Option<u64>,
    /// Version that a process restarted during the trial obeyed first.
    pub restarted_with: Option<u64>,
    /// Versions that the asked processes obeyed at the end.
    pub last_versions: Vec<u64>,
}

impl Figures {
    /// Counts the broken connections by how they ended.
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

/// Time until each of `nodes` obeys `version` or a newer one, in
/// milliseconds; none when that takes longer than `limit`.
pub async fn propagation_time_ms(nodes: &[Node], version: u64, limit: Duration) -> Option<u64> {
    let started = Instant::now();
    let all = async {
        for node in nodes {
            while config_version(node).await.is_none_or(|v| v < version) {
                tokio::time::sleep(PERIOD).await;
            }
        }
    };
    tokio::time::timeout(limit, all).await.ok()?;
    Some(started.elapsed().as_millis() as u64)
}

/// Versions that the processes obey; zero for one that does not answer.
pub async fn config_versions(nodes: &[Node]) -> Vec<u64> {
    let mut versions = Vec::new();
    for node in nodes {
        versions.push(config_version(node).await.unwrap_or_default());
    }
    versions
}

/// Version that a process obeys, unless it holds traffic or gives no answer.
pub async fn config_version(node: &Node) -> Option<u64> {
    let status = fetch_status(node.control, ANSWER_LIMIT).await.ok()?;
    (status.readiness != Readiness::Held).then_some(status.config.0)
}

//! Builds the overview from the query results.

use std::time::Duration;

use ramp_protocol::operator::Drain;
use ramp_protocol::operator::Readiness;
use ramp_protocol::operator::Status;
use ramp_state::instances::Role;
use ramp_state::key::Version;

use crate::query::QueryResults;
use crate::status::finding;
use crate::status::finding::Finding;
use crate::status::member_views::MemberViews;
use crate::status::model::DrainLine;
use crate::status::model::Overview;
use crate::status::model::ProcessLine;

/// Builds the overview of all processes that answered. `member_views` has what
/// they reported about services and members.
pub fn overview(results: &QueryResults, member_views: MemberViews) -> Overview {
    let findings = Finding::all(results);
    let newest = finding::newest_version(results);
    let statuses: Vec<&Status> = results.process_reports().map(|a| &a.status).collect();
    Overview {
        in_force: !findings.iter().any(Finding::breaks_agreement),
        config: (newest > Version(0)).then_some(newest.0),
        published: results.published_version.as_ref().ok().map(|v| v.0),
        asked: results.replies.len(),
        answered: statuses.len(),
        findings,
        processes: statuses.iter().map(|s| process(s)).collect(),
        services: member_views.into_services(),
        drains: statuses.iter().flat_map(|s| &s.drains).map(drain).collect(),
    }
}

fn process(status: &Status) -> ProcessLine {
    ProcessLine {
        name: status.name.clone(),
        role: match status.role {
            Role::Balancer => "balancer",
            Role::Agent => "agent",
        },
        data_centre: status.data_centre.clone(),
        incarnation: status.incarnation.0,
        uptime_ms: millis(status.uptime),
        config: status.config.0,
        readiness: match status.readiness {
            Readiness::Serving => "serving",
            Readiness::Held => "held",
            Readiness::Draining => "draining",
        },
        flows: status.flows,
        platform_calls: status.platform_calls,
        platform_silent_ms: status.platform_silent.map(millis),
    }
}

fn drain(drain: &Drain) -> DrainLine {
    DrainLine {
        server: drain.server.clone(),
        flows: drain.flows,
        in_progress: drain.in_progress,
        left_ms: millis(drain.time_left),
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

//! Building the overview from the answers of the processes.

use std::net::SocketAddrV4;
use std::time::Duration;

use indexmap::IndexMap;
use ramp_protocol::message::Load;
use ramp_protocol::message::Warmth;
use ramp_protocol::operator::Drain;
use ramp_protocol::operator::MemberStatus;
use ramp_protocol::operator::Readiness;
use ramp_protocol::operator::Status;
use ramp_state::instances::Role;
use ramp_state::key::Version;

use crate::ask::Answers;
use crate::status::finding;
use crate::status::finding::Finding;
use crate::status::model::DrainLine;
use crate::status::model::LoadLine;
use crate::status::model::MemberLine;
use crate::status::model::Overview;
use crate::status::model::ProcessLine;
use crate::status::model::ServiceLine;

/// Overview of all that answered.
pub fn overview(answers: &Answers) -> Overview {
    let findings = Finding::all(answers);
    let newest = finding::newest(answers);
    let statuses: Vec<&Status> = answers.accounts().map(|a| &a.status).collect();
    Overview {
        in_force: !findings.iter().any(Finding::breaks_agreement),
        config: (newest > Version(0)).then_some(newest.0),
        published: answers.published.as_ref().ok().map(|v| v.0),
        asked: answers.asked.len(),
        answered: statuses.len(),
        findings,
        processes: statuses.iter().map(|s| process(s)).collect(),
        services: services(&statuses),
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

/// Services as all processes together see them.
fn services(statuses: &[&Status]) -> Vec<ServiceLine> {
    let mut services: IndexMap<&str, (SocketAddrV4, IndexMap<&str, MemberLine>)> = IndexMap::new();
    for status in statuses {
        for service in &status.services {
            let (_, members) = services
                .entry(&service.name)
                .or_insert_with(|| (service.address, IndexMap::new()));
            for seen in &service.members {
                let line = members.entry(&seen.name).or_insert_with(|| member(seen));
                add_belief(line, seen, seen.name == status.name);
            }
        }
    }
    services.sort_keys();
    services
        .into_iter()
        .map(|(name, (address, mut members))| {
            members.sort_keys();
            ServiceLine {
                name: name.to_string(),
                address,
                members: members.into_values().collect(),
            }
        })
        .collect()
}

fn member(seen: &MemberStatus) -> MemberLine {
    MemberLine {
        name: seen.name.clone(),
        data_centre: seen.data_centre.clone(),
        known_by: 0,
        dead_for: 0,
        out_for: 0,
        leaving: seen.leaving,
        slots: seen.slots,
        connections: seen.connections,
        load: None,
    }
}

/// Adds what one process believes; the agent's `own` word on its load counts.
fn add_belief(line: &mut MemberLine, seen: &MemberStatus, own: bool) {
    line.known_by += 1;
    line.dead_for += usize::from(!seen.alive);
    line.out_for += usize::from(!seen.reachable);
    line.leaving |= seen.leaving;
    if own || line.load.is_none() {
        line.load = seen.load.as_ref().map(load).or(line.load);
    }
}

fn load(load: &Load) -> LoadLine {
    LoadLine {
        flows: load.flows,
        in_progress: load.in_progress,
        waiting: load.waiting,
        slots_now: load.slots,
        warmth: match load.warmth {
            Warmth::Cold => "cold",
            Warmth::Warming => "warming",
            Warmth::Warm => "warm",
        },
    }
}

fn drain(drain: &Drain) -> DrainLine {
    DrainLine {
        server: drain.server.clone(),
        flows: drain.flows,
        in_progress: drain.in_progress,
        left_ms: millis(drain.left),
    }
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

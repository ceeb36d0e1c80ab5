//! Aggregates what each process reports about services and their members, as
//! answers arrive.

use std::net::SocketAddrV4;

use indexmap::IndexMap;
use ramp_protocol::message::Load;
use ramp_protocol::message::Warmth;
use ramp_protocol::operator::MemberStatus;
use ramp_transport::operator::ProcessReport;

use crate::status::model::LoadLine;
use crate::status::model::MemberLine;
use crate::status::model::ServiceLine;

/// Services and members as all processes together report them, by name.
#[derive(Debug, Default)]
pub struct MemberViews {
    services: IndexMap<String, Service>,
}

#[derive(Debug)]
struct Service {
    address: SocketAddrV4,
    members: IndexMap<String, MemberLine>,
}

impl MemberViews {
    /// Adds the services in one answer and removes them from it to free memory.
    pub fn add(&mut self, process_report: &mut ProcessReport) {
        let status = &mut process_report.status;
        for reported in std::mem::take(&mut status.services) {
            let service = self
                .services
                .entry(reported.name)
                .or_insert_with(|| Service {
                    address: reported.address,
                    members: IndexMap::new(),
                });
            for view in &reported.members {
                service.add(view, view.name == status.name);
            }
        }
    }

    /// Returns services and members, sorted by name.
    pub fn into_services(mut self) -> Vec<ServiceLine> {
        self.services.sort_keys();
        self.services
            .into_iter()
            .map(|(name, service)| service.into_line(name))
            .collect()
    }
}

impl Service {
    /// Adds one process's view of a member. The agent's own view (`is_own`) of its
    /// load takes precedence over that of others.
    fn add(&mut self, view: &MemberStatus, is_own: bool) {
        let line = self
            .members
            .entry(view.name.clone())
            .or_insert_with(|| member(view));
        line.known_by += 1;
        line.dead_for += usize::from(!view.alive);
        line.out_for += usize::from(!view.reachable);
        line.leaving |= view.leaving;
        if is_own || line.load.is_none() {
            line.load = view.load.as_ref().map(load).or(line.load);
        }
    }

    fn into_line(mut self, name: String) -> ServiceLine {
        self.members.sort_keys();
        ServiceLine {
            name,
            address: self.address,
            members: self.members.into_values().collect(),
        }
    }
}

fn member(view: &MemberStatus) -> MemberLine {
    MemberLine {
        name: view.name.clone(),
        data_centre: view.data_centre.clone(),
        known_by: 0,
        dead_for: 0,
        out_for: 0,
        leaving: false,
        slots: view.slots,
        connections: view.connections,
        load: None,
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

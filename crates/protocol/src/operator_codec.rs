//! Writes and reads the [`Status`] in operator calls with Cap'n Proto.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use ramp_state::instances::Role;
use ramp_state::key::Incarnation;
use ramp_state::key::Version;

use crate::codec::CodecError;
use crate::message::Load;
use crate::message::Warmth;
use crate::operator::Drain;
use crate::operator::MemberStatus;
use crate::operator::Readiness;
use crate::operator::RefusedDocument;
use crate::operator::ServiceStatus;
use crate::operator::Status;
use crate::operator_capnp as wire;

/// Writes `status` into a message.
pub fn write_status(mut m: wire::status::Builder<'_>, status: &Status) {
    m.set_name(&status.name);
    m.set_role(match status.role {
        Role::Balancer => wire::Role::Balancer,
        Role::Agent => wire::Role::Agent,
    });
    m.set_data_centre(&status.data_centre);
    m.set_incarnation(status.incarnation.0);
    m.set_uptime_ms(millis(status.uptime));
    m.set_config(status.config.0);
    m.set_readiness(match status.readiness {
        Readiness::Serving => wire::Readiness::Serving,
        Readiness::Held => wire::Readiness::Held,
        Readiness::Draining => wire::Readiness::Draining,
    });
    m.set_flows(status.flows);
    m.set_platform_calls(status.platform_calls);
    m.set_platform_answered(status.platform_silent.is_some());
    m.set_platform_silent_ms(millis(status.platform_silent.unwrap_or_default()));
    if let Some(refused) = &status.refused {
        m.set_refused_version(refused.version.0);
        m.set_refused_why(&refused.why);
    }
    let mut list = m.reborrow().init_services(status.services.len() as u32);
    for (i, service) in status.services.iter().enumerate() {
        write_service(list.reborrow().get(i as u32), service);
    }
    let mut list = m.init_drains(status.drains.len() as u32);
    for (i, drain) in status.drains.iter().enumerate() {
        write_drain(list.reborrow().get(i as u32), drain);
    }
}

/// Reads a status from a message.
///
/// # Errors
///
/// [`CodecError`] if the message is malformed or contains unknown values.
pub fn read_status(m: wire::status::Reader<'_>) -> Result<Status, CodecError> {
    let platform_silent = Duration::from_millis(m.get_platform_silent_ms());
    let refused = RefusedDocument {
        version: Version(m.get_refused_version()),
        why: m.get_refused_why()?.to_string()?,
    };
    Ok(Status {
        name: m.get_name()?.to_string()?,
        role: match m.get_role()? {
            wire::Role::Balancer => Role::Balancer,
            wire::Role::Agent => Role::Agent,
        },
        data_centre: m.get_data_centre()?.to_string()?,
        incarnation: Incarnation(m.get_incarnation()),
        uptime: Duration::from_millis(m.get_uptime_ms()),
        config: Version(m.get_config()),
        readiness: match m.get_readiness()? {
            wire::Readiness::Serving => Readiness::Serving,
            wire::Readiness::Held => Readiness::Held,
            wire::Readiness::Draining => Readiness::Draining,
        },
        services: m
            .get_services()?
            .iter()
            .map(read_service)
            .collect::<Result<_, _>>()?,
        flows: m.get_flows(),
        drains: m
            .get_drains()?
            .iter()
            .map(read_drain)
            .collect::<Result<_, _>>()?,
        platform_calls: m.get_platform_calls(),
        platform_silent: m.get_platform_answered().then_some(platform_silent),
        refused: (refused.version != Version(0)).then_some(refused),
    })
}

fn write_service(mut m: wire::service::Builder<'_>, service: &ServiceStatus) {
    m.set_name(&service.name);
    m.set_ip(u32::from(*service.address.ip()));
    m.set_port(service.address.port());
    let mut list = m.init_members(service.members.len() as u32);
    for (i, member) in service.members.iter().enumerate() {
        write_member(list.reborrow().get(i as u32), member);
    }
}

fn read_service(m: wire::service::Reader<'_>) -> Result<ServiceStatus, CodecError> {
    Ok(ServiceStatus {
        name: m.get_name()?.to_string()?,
        address: SocketAddrV4::new(Ipv4Addr::from(m.get_ip()), m.get_port()),
        members: m
            .get_members()?
            .iter()
            .map(read_member)
            .collect::<Result<_, _>>()?,
    })
}

fn write_member(mut m: wire::member::Builder<'_>, member: &MemberStatus) {
    m.set_name(&member.name);
    m.set_data_centre(&member.data_centre);
    m.set_alive(member.alive);
    m.set_reachable(member.reachable);
    m.set_leaving(member.leaving);
    m.set_slots(member.slots);
    m.set_connections(member.connections);
    m.set_has_load(member.load.is_some());
    if let Some(load) = &member.load {
        write_load(m.init_load(), load);
    }
}

fn read_member(m: wire::member::Reader<'_>) -> Result<MemberStatus, CodecError> {
    let load = match m.get_has_load() {
        true => Some(read_load(m.get_load()?)?),
        false => None,
    };
    Ok(MemberStatus {
        name: m.get_name()?.to_string()?,
        data_centre: m.get_data_centre()?.to_string()?,
        alive: m.get_alive(),
        reachable: m.get_reachable(),
        leaving: m.get_leaving(),
        slots: m.get_slots(),
        connections: m.get_connections(),
        load,
    })
}

fn write_load(mut m: wire::load::Builder<'_>, load: &Load) {
    m.set_flows(load.flows);
    m.set_in_progress(load.in_progress);
    m.set_waiting(load.waiting);
    m.set_slots(load.slots);
    m.set_leaving(load.leaving);
    m.set_warmth(match load.warmth {
        Warmth::Cold => wire::Warmth::Cold,
        Warmth::Warming => wire::Warmth::Warming,
        Warmth::Warm => wire::Warmth::Warm,
    });
}

fn read_load(m: wire::load::Reader<'_>) -> Result<Load, CodecError> {
    Ok(Load {
        flows: m.get_flows(),
        in_progress: m.get_in_progress(),
        waiting: m.get_waiting(),
        slots: m.get_slots(),
        leaving: m.get_leaving(),
        warmth: match m.get_warmth()? {
            wire::Warmth::Cold => Warmth::Cold,
            wire::Warmth::Warming => Warmth::Warming,
            wire::Warmth::Warm => Warmth::Warm,
        },
    })
}

fn write_drain(mut m: wire::drain::Builder<'_>, drain: &Drain) {
    m.set_server(&drain.server);
    m.set_flows(drain.flows);
    m.set_in_progress(drain.in_progress);
    m.set_left_ms(millis(drain.time_left));
}

fn read_drain(m: wire::drain::Reader<'_>) -> Result<Drain, CodecError> {
    Ok(Drain {
        server: m.get_server()?.to_string()?,
        flows: m.get_flows(),
        in_progress: m.get_in_progress(),
        time_left: Duration::from_millis(m.get_left_ms()),
    })
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

//! Builders of records, views, packets and frames for a small fleet with two
//! services. Servers are identified by the last octet of their address.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use ramp_coordination::passthrough::balancer::Balancer;
use ramp_coordination::passthrough::catalog::Catalog;
use ramp_coordination::passthrough::published::Change;
use ramp_coordination::passthrough::published::Changes;
use ramp_coordination::passthrough::published::Configuration;
use ramp_coordination::passthrough::published::Listing;
use ramp_coordination::passthrough::published::Record;
use ramp_coordination::passthrough::published::Revision;
use ramp_coordination::passthrough::published::Route;
use ramp_coordination::passthrough::published::Server;
use ramp_coordination::passthrough::published::ServerState;
use ramp_coordination::passthrough::published::ServicePolicy;
use ramp_coordination::passthrough::published::Share;
use ramp_coordination::passthrough::view::View;
use ramp_protocol::frame::Frame;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::packet::Segment;
use ramp_state::key::DataCentreId;
use ramp_state::key::FlowKey;
use ramp_state::key::ServerId;
use ramp_state::key::ServiceId;
use ramp_state::key::Version;
use ramp_state::time::Millis;

pub const FEEDS: ServiceId = ServiceId(1);
pub const UPLOADS: ServiceId = ServiceId(2);
pub const WEST: DataCentreId = DataCentreId(1);
pub const EAST: DataCentreId = DataCentreId(2);
pub const COLD_START: Duration = Duration::from_secs(2);

pub fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

pub fn balancer_ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, 0, last)
}

pub fn feeds_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

pub fn uploads_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 80)
}

pub fn flow(port: u16) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port),
        service: feeds_address(),
    }
}

pub fn route(address: SocketAddrV4, service: ServiceId) -> Route {
    Route {
        address,
        shares: vec![Share { service, weight: 1 }],
        priority: None,
        time_limit: None,
    }
}

/// Address of a route of priority `priority`, whose flows [`FEEDS`] serves.
pub fn priority_address(priority: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 1, priority), 443)
}

/// Flow of a route of priority `priority`.
pub fn priority_flow(priority: u8, port: u16) -> FlowKey {
    FlowKey {
        service: priority_address(priority),
        ..flow(port)
    }
}

/// Configuration 1 with more routes of the priorities 0 to 3 with this time limit.
pub fn configuration_with_priorities(time_limit_ms: u64) -> Configuration {
    let mut configuration = configuration(1);
    configuration.routes.extend((0..4).map(|priority| Route {
        priority: Some(priority),
        time_limit: Some(Duration::from_millis(time_limit_ms)),
        ..route(priority_address(priority), FEEDS)
    }));
    configuration
}

/// View with [`configuration_with_priorities`] and the servers 1 to `count`, of which the
/// first `cold` are cold for a time.
pub fn view_with_priorities(count: u8, cold: u8, cold_for: Duration, time_limit_ms: u64) -> View {
    let mut catalog = Catalog::new();
    let configuration = Record::Configuration(configuration_with_priorities(time_limit_ms));
    catalog.apply(Millis(0), written(100, configuration));
    for last in 1..=count {
        let mut server = server(last, FEEDS);
        server.cold_for = if last <= cold {
            cold_for
        } else {
            Duration::ZERO
        };
        catalog.apply(Millis(0), written(100, Record::Server(id(last), server)));
    }
    catalog.view(Millis(0)).unwrap()
}

pub fn policy(service: ServiceId, cold_rate_per_s: Option<f64>) -> ServicePolicy {
    ServicePolicy {
        service,
        cold_start: COLD_START,
        cold_rate_per_s,
    }
}

pub fn configuration(version: u64) -> Configuration {
    Configuration {
        version: Version(version),
        routes: vec![
            route(feeds_address(), FEEDS),
            route(uploads_address(), UPLOADS),
        ],
        services: vec![policy(FEEDS, Some(10.0)), policy(UPLOADS, None)],
        idle_limit: Duration::from_secs(15),
    }
}

pub fn server(last: u8, service: ServiceId) -> Server {
    Server {
        service,
        address: SocketAddrV4::new(ip(last), 8080),
        data_centre: if last.is_multiple_of(2) { WEST } else { EAST },
        state: ServerState::Ready,
        slots: 4,
        cold_for: Duration::ZERO,
        born_ms: 1,
    }
}

pub fn id(last: u8) -> ServerId {
    ServerId(u64::from(last))
}

pub fn record(last: u8, service: ServiceId) -> Record {
    Record::Server(id(last), server(last, service))
}

/// A listing of configuration 1 and these servers, all of service [`FEEDS`].
pub fn listing(servers: &[u8]) -> Listing {
    let mut records = vec![Record::Configuration(configuration(1))];
    records.extend(servers.iter().map(|last| record(*last, FEEDS)));
    Listing {
        cursor: Revision(100),
        newest: Revision(100),
        records,
    }
}

pub fn changes(revision: u64, changes: Vec<Change>) -> Changes {
    Changes {
        cursor: Revision(revision),
        newest: Revision(revision),
        changes,
    }
}

pub fn written(revision: u64, record: Record) -> Changes {
    changes(revision, vec![Change::Written(record)])
}

pub fn catalog(servers: &[u8]) -> Catalog {
    let mut catalog = Catalog::new();
    catalog.replace(Millis(0), listing(servers));
    catalog
}

pub fn view(servers: &[u8]) -> View {
    catalog(servers).view(Millis(0)).unwrap()
}

pub fn segment(key: FlowKey) -> Segment {
    Segment {
        key,
        seq: 1000,
        ack: 5000,
        len: 100,
        opens: false,
        syn: false,
        has_ack: true,
        rst: false,
        fin: false,
        opening_age: Duration::ZERO,
    }
}

/// The server's answer to the opening packet of a flow.
pub fn syn_ack(key: FlowKey) -> Segment {
    Segment {
        syn: true,
        len: 0,
        ..segment(key)
    }
}

/// The opening packet (SYN) of a flow, first sent `age_ms` ago.
pub fn opening(key: FlowKey, age_ms: u64) -> Segment {
    Segment {
        opening_age: Duration::from_millis(age_ms),
        ack: 0,
        len: 0,
        opens: true,
        syn: true,
        has_ack: false,
        ..segment(key)
    }
}

pub fn frame(kind: FrameKind, key: FlowKey) -> Frame {
    Frame {
        kind,
        flow: key,
        service: FEEDS,
        version: Version(1),
        revision: 100,
        in_progress: 0,
        knows_all_flows: false,
        misses_servers: false,
        uptime: Duration::ZERO,
    }
}

/// A balancer to which these agents have reported that they know all flows of
/// their servers.
pub fn balancer_beside(agents: impl IntoIterator<Item = u8>) -> Balancer {
    let mut balancer = Balancer::new();
    let mut heartbeat = frame(FrameKind::Heartbeat, flow(1));
    heartbeat.knows_all_flows = true;
    for last in agents {
        balancer.on_heartbeat(Millis(0), ip(last), &heartbeat);
    }
    balancer
}

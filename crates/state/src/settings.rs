//! Settings file of one process: its name and data centre, the addresses that it
//! listens on and connects to, and the key of the fleet.

use std::net::SocketAddrV4;

use crate::ini;
use crate::ini::Section;
use crate::instances::Role;
use crate::key::FLEET_KEY_LEN_BYTES;
use crate::schema;
use crate::schema::KeyInfo;
use crate::schema::SectionInfo;
use crate::schema::ValueFormat;
use crate::validation::ValidationErrors;

/// Settings that only an agent has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// Address of the backend server that the agent passes traffic to.
    pub backend_server: SocketAddrV4,
    /// Address of the fabric, to which packets for callers are sent.
    pub fabric: SocketAddrV4,
}

/// Settings of a balancer or an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the instance; an agent has the name of its backend server.
    pub name: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Address at which it receives packets (UDP); an agent also receives
    /// requests forwarded by other agents there (TCP).
    pub address: SocketAddrV4,
    /// Address at which it receives control messages (UDP) and operator calls
    /// (TCP).
    pub control: SocketAddrV4,
    /// Address at which it serves its metrics (HTTP).
    pub metrics: SocketAddrV4,
    /// Secret key that all processes of the fleet share.
    pub key: [u8; FLEET_KEY_LEN_BYTES],
    /// Addresses of the replicas of the platform's configuration service, in
    /// order of preference.
    pub platform_addresses: Vec<SocketAddrV4>,
    /// Control addresses of other processes, queried at startup.
    pub peers: Vec<SocketAddrV4>,
    /// Settings of an agent; `None` for a balancer.
    pub agent: Option<AgentSettings>,
}

const INSTANCE: SectionInfo = SectionInfo {
    kind: "instance",
    has_name: false,
    mandatory: true,
    keys: &[
        KeyInfo {
            name: "name",
            format: ValueFormat::Name,
            default: None,
            description: "name of the instance; an agent has the name of its backend server",
        },
        KeyInfo {
            name: "data_centre",
            format: ValueFormat::Name,
            default: None,
            description: "name of its data centre",
        },
        KeyInfo {
            name: "address",
            format: ValueFormat::Address,
            default: None,
            description: "where it takes packets (UDP), an agent also requests of other agents (TCP)",
        },
        KeyInfo {
            name: "control",
            format: ValueFormat::Address,
            default: None,
            description: "where it takes control messages (UDP) and operator calls (TCP)",
        },
        KeyInfo {
            name: "metrics",
            format: ValueFormat::Listen,
            default: None,
            description: "where it shows its metrics (HTTP)",
        },
        KeyInfo {
            name: "key",
            format: ValueFormat::HexKey,
            default: None,
            description: "key shared by all processes of the system",
        },
    ],
    accepts_policy_keys: false,
    description: "the process itself",
};

const PLATFORM: SectionInfo = SectionInfo {
    kind: "platform",
    has_name: false,
    mandatory: true,
    keys: &[KeyInfo {
        name: "addresses",
        format: ValueFormat::Addresses,
        default: None,
        description: "replicas of the platform's service, in order of preference",
    }],
    accepts_policy_keys: false,
    description: "the platform's configuration service",
};

const PEERS: SectionInfo = SectionInfo {
    kind: "peers",
    has_name: false,
    mandatory: false,
    keys: &[KeyInfo {
        name: "control",
        format: ValueFormat::Addresses,
        default: None,
        description: "control addresses of other processes, asked at start",
    }],
    accepts_policy_keys: false,
    description: "other processes of the system",
};

/// Sections that the settings of a balancer may have.
pub const BALANCER_SECTIONS: &[SectionInfo] = &[INSTANCE, PLATFORM, PEERS];

/// Sections that the settings of an agent may have.
pub const AGENT_SECTIONS: &[SectionInfo] = &[
    INSTANCE,
    PLATFORM,
    PEERS,
    SectionInfo {
        kind: "backend-server",
        has_name: false,
        mandatory: true,
        keys: &[KeyInfo {
            name: "address",
            format: ValueFormat::Address,
            default: None,
            description: "backend server that the agent stands before",
        }],
        accepts_policy_keys: false,
        description: "the backend server",
    },
    SectionInfo {
        kind: "fabric",
        has_name: false,
        mandatory: true,
        keys: &[KeyInfo {
            name: "address",
            format: ValueFormat::Address,
            default: None,
            description: "where packets to callers go",
        }],
        accepts_policy_keys: false,
        description: "the fabric",
    },
];

impl Settings {
    /// Parses the settings of a process with this role.
    ///
    /// # Errors
    ///
    /// All validation errors, in order of lines.
    pub fn parse(text: &str, role: Role) -> Result<Settings, ValidationErrors> {
        let (sections, mut errors) = ini::read(text);
        let table = match role {
            Role::Balancer => BALANCER_SECTIONS,
            Role::Agent => AGENT_SECTIONS,
        };
        schema::check(&sections, table, &mut errors);
        check_distinct(&sections, &mut errors);
        let settings = build(&sections, role);
        let settings = errors.into_result(settings)?;
        Ok(settings.expect("a text without faults has every mandatory value"))
    }
}

/// Adds an error for each address that the process would listen on twice.
fn check_distinct(sections: &[Section], errors: &mut ValidationErrors) {
    let Some(instance) = sections.iter().find(|s| s.heading == "instance") else {
        return;
    };
    let mut taken: Vec<(&str, SocketAddrV4)> = Vec::new();
    for key in ["address", "control", "metrics"] {
        let Some(address) = instance.value(key).and_then(schema::address) else {
            continue;
        };
        if let Some((earlier, _)) = taken.iter().find(|(_, other)| *other == address) {
            let found = format!("{address}, which is {earlier} too");
            errors.push(instance.error_at(key, found, "an address of its own"));
        }
        taken.push((key, address));
    }
}

fn build(sections: &[Section], role: Role) -> Option<Settings> {
    let value = |heading: &str, key: &str| {
        sections
            .iter()
            .find(|section| section.heading == heading)
            .and_then(|section| section.value(key))
    };
    let address = |heading, key| value(heading, key).and_then(schema::address);
    let agent = match role {
        Role::Balancer => None,
        Role::Agent => Some(AgentSettings {
            backend_server: address("backend-server", "address")?,
            fabric: address("fabric", "address")?,
        }),
    };
    Some(Settings {
        name: value("instance", "name")?.to_string(),
        data_centre: value("instance", "data_centre")?.to_string(),
        address: address("instance", "address")?,
        control: address("instance", "control")?,
        metrics: value("instance", "metrics")?.parse().ok()?,
        key: value("instance", "key").and_then(schema::hex_key)?,
        platform_addresses: value("platform", "addresses").and_then(schema::addresses)?,
        peers: value("peers", "control")
            .and_then(schema::addresses)
            .unwrap_or_default(),
        agent,
    })
}

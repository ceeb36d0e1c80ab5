//! The platform's list of live and leaving instances of the load balancer. It is
//! updated with a delay, so it may miss new instances and list stopped ones.

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::ini;
use crate::ini::Section;
use crate::key::Version;
use crate::schema;
use crate::schema::KeyInfo;
use crate::schema::SectionInfo;
use crate::schema::ValueFormat;
use crate::validation::ValidationErrors;

/// Role of an instance of the load balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Receives packets from the fabric and forwards them to agents.
    Balancer,
    /// Runs on the machine of a backend server and passes traffic to it.
    Agent,
}

/// Whether the platform plans to stop an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InstanceState {
    /// Running, with no plan to stop it.
    #[default]
    Live,
    /// Will be stopped soon.
    Leaving,
}

/// One instance as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Balancer or agent.
    pub role: Role,
    /// Name of its data centre.
    pub data_centre: String,
    /// Address at which it receives packets (UDP).
    pub address: SocketAddrV4,
    /// Address at which it receives control messages (UDP) and operator calls
    /// (TCP).
    pub control: SocketAddrV4,
    /// Whether the platform plans to stop it.
    pub state: InstanceState,
}

/// The list of instances by name. An agent has the name of its backend server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InstanceList {
    /// Version that the platform assigned to the list.
    pub version: Version,
    /// Listed instances by name.
    pub instances: IndexMap<String, Instance>,
}

/// Sections that the list may have.
pub const INSTANCE_SECTIONS: &[SectionInfo] = &[SectionInfo {
    kind: "instance",
    has_name: true,
    mandatory: false,
    keys: &[
        KeyInfo {
            name: "role",
            format: ValueFormat::OneOf(&["balancer", "agent"]),
            default: None,
            description: "what it does",
        },
        KeyInfo {
            name: "data_centre",
            format: ValueFormat::Name,
            default: None,
            description: "data centre that it stands in",
        },
        KeyInfo {
            name: "address",
            format: ValueFormat::Address,
            default: None,
            description: "where it takes packets (UDP)",
        },
        KeyInfo {
            name: "control",
            format: ValueFormat::Address,
            default: None,
            description: "where it takes control messages (UDP) and operator calls (TCP)",
        },
        KeyInfo {
            name: "state",
            format: ValueFormat::OneOf(&["live", "leaving"]),
            default: Some("live"),
            description: "whether the platform means to keep it",
        },
    ],
    accepts_policy_keys: false,
    description: "an instance of the system",
}];

impl InstanceList {
    /// Parses a list to which the platform assigned `version`.
    ///
    /// # Errors
    ///
    /// All validation errors, in order of lines.
    pub fn parse(version: Version, text: &str) -> Result<InstanceList, ValidationErrors> {
        let (sections, mut errors) = ini::read(text);
        schema::check(&sections, INSTANCE_SECTIONS, &mut errors);
        let instances = sections
            .iter()
            .filter_map(|s| Some((s.name().to_string(), instance(s)?)))
            .collect();
        errors.into_result(InstanceList { version, instances })
    }
}

fn instance(section: &Section) -> Option<Instance> {
    Some(Instance {
        role: match section.value("role")? {
            "balancer" => Role::Balancer,
            _ => Role::Agent,
        },
        data_centre: section.value("data_centre")?.to_string(),
        address: section.value("address").and_then(schema::address)?,
        control: section.value("control").and_then(schema::address)?,
        state: match section.value("state") {
            Some("leaving") => InstanceState::Leaving,
            _ => InstanceState::Live,
        },
    })
}

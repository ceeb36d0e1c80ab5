//! The platform's list of live and leaving instances of the system. It lags.

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::ini;
use crate::ini::Section;
use crate::key::Version;
use crate::schema;
use crate::schema::Form;
use crate::schema::KeyInfo;
use crate::schema::SectionInfo;
use crate::validation::ValidationErrors;

/// What an instance of the system does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes packets from the fabric.
    Balancer,
    /// Runs beside a backend server.
    Agent,
}

/// Whether the platform means to keep an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InstanceState {
    /// Runs.
    #[default]
    Live,
    /// Will be stopped soon.
    Leaving,
}

/// One instance of the system as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// What it does.
    pub role: Role,
    /// Name of its data centre.
    pub data_centre: String,
    /// Where it takes packets (UDP).
    pub address: SocketAddrV4,
    /// Where it takes control messages (UDP) and operator calls (TCP).
    pub control: SocketAddrV4,
    /// Whether the platform means to keep it.
    pub state: InstanceState,
}

/// The list, by instance name. An agent has the name of its backend server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InstanceList {
    /// Version that the platform gave the list.
    pub version: Version,
    /// Instances by name.
    pub instances: IndexMap<String, Instance>,
}

/// Sections of the list.
pub const INSTANCE_SECTIONS: &[SectionInfo] = &[SectionInfo {
    kind: "instance",
    named: true,
    mandatory: false,
    keys: &[
        KeyInfo {
            name: "role",
            form: Form::OneOf(&["balancer", "agent"]),
            default: None,
            about: "what it does",
        },
        KeyInfo {
            name: "data_centre",
            form: Form::Name,
            default: None,
            about: "data centre that it stands in",
        },
        KeyInfo {
            name: "address",
            form: Form::Address,
            default: None,
            about: "where it takes packets (UDP)",
        },
        KeyInfo {
            name: "control",
            form: Form::Address,
            default: None,
            about: "where it takes control messages (UDP) and operator calls (TCP)",
        },
        KeyInfo {
            name: "state",
            form: Form::OneOf(&["live", "leaving"]),
            default: Some("live"),
            about: "whether the platform means to keep it",
        },
    ],
    policy: false,
    about: "an instance of the system",
}];

impl InstanceList {
    /// Reads a list that the platform gave `version`.
    ///
    /// # Errors
    ///
    /// Every fault of the list, in order of lines.
    pub fn parse(version: Version, text: &str) -> Result<InstanceList, ValidationErrors> {
        let (sections, mut faults) = ini::read(text);
        schema::check(&sections, INSTANCE_SECTIONS, &mut faults);
        let instances = sections
            .iter()
            .filter_map(|s| Some((s.name().to_string(), instance(s)?)))
            .collect();
        faults.into_result(InstanceList { version, instances })
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

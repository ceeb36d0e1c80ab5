//! Schema of the fleet document: the table of its sections and keys.

use crate::schema::KeyInfo;
use crate::schema::SectionInfo;
use crate::schema::ValueFormat;

/// Sections that a fleet document may have.
pub const FLEET_SECTIONS: &[SectionInfo] = &[
    SectionInfo {
        kind: "defaults",
        has_name: false,
        mandatory: false,
        keys: &[],
        accepts_policy_keys: true,
        description: "settings of the whole fleet",
    },
    SectionInfo {
        kind: "data-centre",
        has_name: true,
        mandatory: false,
        keys: &[
            KeyInfo {
                name: "region",
                format: ValueFormat::Name,
                default: None,
                description: "region that the data centre belongs to",
            },
            KeyInfo {
                name: "state",
                format: ValueFormat::OneOf(&["in", "out"]),
                default: Some("in"),
                description: "whether it takes traffic",
            },
        ],
        accepts_policy_keys: false,
        description: "a data centre",
    },
    SectionInfo {
        kind: "service",
        has_name: true,
        mandatory: true,
        keys: &[KeyInfo {
            name: "address",
            format: ValueFormat::Address,
            default: None,
            description: "address and port that callers connect to",
        }],
        accepts_policy_keys: false,
        description: "a service that callers use",
    },
    SectionInfo {
        kind: "server",
        has_name: true,
        mandatory: false,
        keys: &[
            KeyInfo {
                name: "service",
                format: ValueFormat::Name,
                default: None,
                description: "service that it serves",
            },
            KeyInfo {
                name: "data_centre",
                format: ValueFormat::Name,
                default: None,
                description: "data centre that it stands in",
            },
            KeyInfo {
                name: "agent",
                format: ValueFormat::Address,
                default: None,
                description: "where its agent takes packets (UDP) and requests of other agents (TCP)",
            },
            KeyInfo {
                name: "control",
                format: ValueFormat::Address,
                default: None,
                description: "where its agent takes control messages (UDP) and operator calls (TCP)",
            },
            KeyInfo {
                name: "state",
                format: ValueFormat::OneOf(&["in", "leaving"]),
                default: Some("in"),
                description: "whether it takes new work",
            },
        ],
        accepts_policy_keys: false,
        description: "a backend server and the agent beside it",
    },
    SectionInfo {
        kind: "exception",
        has_name: true,
        mandatory: false,
        keys: &[
            KeyInfo {
                name: "covers",
                format: ValueFormat::Scope,
                default: None,
                description: "what it applies to",
            },
            KeyInfo {
                name: "reason",
                format: ValueFormat::Reason,
                default: None,
                description: "why it exists",
            },
        ],
        accepts_policy_keys: true,
        description: "a departure from the defaults; it changes at least one key",
    },
];

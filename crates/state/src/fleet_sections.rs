//! Sections and keys of the fleet document.

use crate::schema::Form;
use crate::schema::KeyInfo;
use crate::schema::SectionInfo;

/// Sections of a fleet document.
pub const FLEET_SECTIONS: &[SectionInfo] = &[
    SectionInfo {
        kind: "defaults",
        named: false,
        mandatory: false,
        keys: &[],
        policy: true,
        about: "settings of the whole fleet",
    },
    SectionInfo {
        kind: "data-centre",
        named: true,
        mandatory: false,
        keys: &[
            KeyInfo {
                name: "region",
                form: Form::Name,
                default: None,
                about: "region that the data centre belongs to",
            },
            KeyInfo {
                name: "state",
                form: Form::OneOf(&["in", "out"]),
                default: Some("in"),
                about: "whether it takes traffic",
            },
        ],
        policy: false,
        about: "a data centre",
    },
    SectionInfo {
        kind: "service",
        named: true,
        mandatory: true,
        keys: &[KeyInfo {
            name: "address",
            form: Form::Address,
            default: None,
            about: "address and port that callers connect to",
        }],
        policy: false,
        about: "a service that callers use",
    },
    SectionInfo {
        kind: "server",
        named: true,
        mandatory: false,
        keys: &[
            KeyInfo {
                name: "service",
                form: Form::Name,
                default: None,
                about: "service that it serves",
            },
            KeyInfo {
                name: "data_centre",
                form: Form::Name,
                default: None,
                about: "data centre that it stands in",
            },
            KeyInfo {
                name: "agent",
                form: Form::Address,
                default: None,
                about: "where its agent takes packets (UDP) and requests of other agents (TCP)",
            },
            KeyInfo {
                name: "control",
                form: Form::Address,
                default: None,
                about: "where its agent takes control messages (UDP) and operator calls (TCP)",
            },
            KeyInfo {
                name: "state",
                form: Form::OneOf(&["in", "leaving"]),
                default: Some("in"),
                about: "whether it takes new work",
            },
        ],
        policy: false,
        about: "a backend server and the agent beside it",
    },
    SectionInfo {
        kind: "exception",
        named: true,
        mandatory: false,
        keys: &[
            KeyInfo {
                name: "covers",
                form: Form::Scope,
                default: None,
                about: "what it applies to",
            },
            KeyInfo {
                name: "reason",
                form: Form::Reason,
                default: None,
                about: "why it exists",
            },
        ],
        policy: true,
        about: "a departure from the defaults; it changes at least one key",
    },
];

//! Detects problems to report in the overview: unreachable processes, version
//! mismatches, missing or refused documents.

use std::fmt;
use std::net::SocketAddrV4;

use ramp_protocol::operator::Readiness;
use ramp_protocol::operator::Status;
use ramp_state::key::Version;
use serde::Serialize;

use crate::query::FetchError;
use crate::query::QueryResults;

/// A problem with a process or with the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Finding {
    /// There was no process to query.
    Nobody,
    /// A process did not answer.
    NoAnswer {
        /// Its name.
        process: String,
        /// Its address.
        control: SocketAddrV4,
        /// The error, as a message.
        why: String,
    },
    /// A process has no configuration yet.
    NoConfig {
        /// Its name.
        process: String,
    },
    /// A process has an older configuration version than another process.
    Behind {
        /// Its name.
        process: String,
        /// Its configuration version.
        config: u64,
        /// Highest version of any process.
        newest: u64,
    },
    /// A process delays traffic until its configuration is confirmed.
    Held {
        /// Its name.
        process: String,
    },
    /// The platform publishes a newer version than any process has.
    PlatformAhead {
        /// Version that the platform publishes.
        published: u64,
    },
    /// The platform publishes an older version than processes have.
    PlatformStale {
        /// Version that the platform publishes.
        published: u64,
    },
    /// The platform's fleet document could not be fetched or is not valid.
    NoDocument {
        /// The error, as a message.
        why: String,
    },
    /// The platform's list of instances could not be fetched or is not valid.
    NoInstanceList {
        /// The error, as a message.
        why: String,
    },
    /// A process rejected a document as invalid.
    Refused {
        /// Its name.
        process: String,
        /// Version of the document.
        version: u64,
        /// Its validation errors, as a message.
        why: String,
    },
}

impl Finding {
    /// Whether this problem means that one version may not be in force
    /// everywhere.
    pub fn breaks_agreement(&self) -> bool {
        !matches!(
            self,
            Finding::PlatformStale { .. } | Finding::Refused { .. }
        )
    }

    /// Detects all problems in `results`.
    pub fn all(results: &QueryResults) -> Vec<Finding> {
        let newest = newest_version(results);
        let mut findings = Vec::new();
        if results.replies.is_empty() {
            findings.push(Finding::Nobody);
        }
        findings.extend(platform_findings(results, newest));
        for reply in &results.replies {
            match &reply.result {
                Ok(process_report) => {
                    findings.extend(process_findings(&process_report.status, newest))
                }
                Err(err) => findings.push(Finding::NoAnswer {
                    process: reply.name().to_string(),
                    control: reply.target.control,
                    why: err.to_string(),
                }),
            }
        }
        findings
    }
}

/// Highest configuration version of any process that answered.
pub fn newest_version(results: &QueryResults) -> Version {
    let versions = results
        .process_reports()
        .map(|process_report| process_report.status.config);
    versions.max().unwrap_or_default()
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Finding::Nobody => write!(f, "no process is listed"),
            Finding::NoAnswer {
                process,
                control,
                why,
            } => write!(f, "{process} at {control} did not answer: {why}"),
            Finding::NoConfig { process } => write!(f, "{process} has no configuration yet"),
            Finding::Behind {
                process,
                config,
                newest,
            } => write!(f, "{process} has version {config}, others have {newest}"),
            Finding::Held { process } => write!(
                f,
                "{process} holds traffic until its configuration is confirmed"
            ),
            Finding::PlatformAhead { published } => write!(
                f,
                "the platform publishes version {published}, which no process has"
            ),
            Finding::PlatformStale { published } => write!(
                f,
                "this replica of the platform is stale: it publishes version {published}"
            ),
            Finding::NoDocument { why } => {
                write!(f, "no fleet document from the platform: {why}")
            }
            Finding::NoInstanceList { why } => write!(
                f,
                "no list of instances ({why}): processes may have been left out"
            ),
            Finding::Refused {
                process,
                version,
                why,
            } => write!(f, "{process} refused document version {version}: {why}"),
        }
    }
}

fn platform_findings(results: &QueryResults, newest: Version) -> Vec<Finding> {
    let mut findings = Vec::new();
    match &results.published_version {
        Ok(version) if *version > newest => findings.push(Finding::PlatformAhead {
            published: version.0,
        }),
        Ok(version) if *version < newest => findings.push(Finding::PlatformStale {
            published: version.0,
        }),
        // Without `--platform`, only the named processes matter.
        Ok(_) | Err(FetchError::NoPlatform) => {}
        Err(why) => findings.push(Finding::NoDocument {
            why: why.to_string(),
        }),
    }
    match &results.list_error {
        None | Some(FetchError::NoPlatform) => {}
        Some(why) => findings.push(Finding::NoInstanceList {
            why: why.to_string(),
        }),
    }
    findings
}

fn process_findings(status: &Status, newest: Version) -> Vec<Finding> {
    let process = status.name.clone();
    let mut findings = Vec::new();
    if status.config == Version(0) {
        findings.push(Finding::NoConfig {
            process: process.clone(),
        });
    } else if status.config < newest {
        findings.push(Finding::Behind {
            process: process.clone(),
            config: status.config.0,
            newest: newest.0,
        });
    }
    if status.readiness == Readiness::Held {
        findings.push(Finding::Held {
            process: process.clone(),
        });
    }
    if let Some(refused) = &status.refused {
        findings.push(Finding::Refused {
            process,
            version: refused.version.0,
            why: refused.why.clone(),
        });
    }
    findings
}

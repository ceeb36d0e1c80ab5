//! What is not as it should be.

use std::fmt;
use std::net::SocketAddrV4;

use ramp_protocol::operator::Readiness;
use ramp_protocol::operator::Status;
use ramp_state::key::Version;
use serde::Serialize;

use crate::ask::Answers;
use crate::ask::Missing;

/// Something that is not as it should be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Finding {
    /// Nobody was asked.
    Nobody,
    /// A process did not answer.
    NoAnswer {
        /// Its name.
        process: String,
        /// Its address.
        control: SocketAddrV4,
        /// What went wrong.
        why: String,
    },
    /// A process has no configuration yet.
    NoConfig {
        /// Its name.
        process: String,
    },
    /// A process has an older version than another one.
    Behind {
        /// Its name.
        process: String,
        /// Its version.
        config: u64,
        /// Highest version at any process.
        newest: u64,
    },
    /// A process holds traffic until its configuration is confirmed.
    Held {
        /// Its name.
        process: String,
    },
    /// The platform publishes a version that no process has.
    PlatformAhead {
        /// The version.
        published: u64,
    },
    /// The platform publishes an older version than processes have.
    PlatformStale {
        /// The version.
        published: u64,
    },
    /// The platform's fleet document could not be had, or has faults.
    NoDocument {
        /// Why.
        why: String,
    },
    /// The platform's list of instances could not be had.
    NoInstanceList {
        /// Why.
        why: String,
    },
    /// A process refused a document.
    Refused {
        /// Its name.
        process: String,
        /// Version of the document.
        version: u64,
        /// What is wrong with it.
        why: String,
    },
}

impl Finding {
    /// Whether one version can't be said to be in force everywhere.
    pub fn breaks_agreement(&self) -> bool {
        !matches!(
            self,
            Finding::PlatformStale { .. } | Finding::Refused { .. }
        )
    }

    /// All findings in `answers`.
    pub fn all(answers: &Answers) -> Vec<Finding> {
        let newest = newest(answers);
        let mut findings = Vec::new();
        if answers.asked.is_empty() {
            findings.push(Finding::Nobody);
        }
        findings.extend(of_platform(answers, newest));
        for asked in &answers.asked {
            match &asked.result {
                Ok(account) => findings.extend(of_process(&account.status, newest)),
                Err(err) => findings.push(Finding::NoAnswer {
                    process: asked.name().to_string(),
                    control: asked.target.control,
                    why: err.to_string(),
                }),
            }
        }
        findings
    }
}

/// Highest version at any process.
pub fn newest(answers: &Answers) -> Version {
    let versions = answers.accounts().map(|account| account.status.config);
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

fn of_platform(answers: &Answers, newest: Version) -> Vec<Finding> {
    let mut findings = Vec::new();
    match &answers.published {
        Ok(version) if *version > newest => findings.push(Finding::PlatformAhead {
            published: version.0,
        }),
        Ok(version) if *version < newest => findings.push(Finding::PlatformStale {
            published: version.0,
        }),
        // Whoever names the processes asks for these only.
        Ok(_) | Err(Missing::NotNamed) => {}
        Err(why) => findings.push(Finding::NoDocument {
            why: why.to_string(),
        }),
    }
    match &answers.list_missing {
        None | Some(Missing::NotNamed) => {}
        Some(why) => findings.push(Finding::NoInstanceList {
            why: why.to_string(),
        }),
    }
    findings
}

fn of_process(status: &Status, newest: Version) -> Vec<Finding> {
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

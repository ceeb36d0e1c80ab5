//! Detects gaps in the data of a report: processes that did not answer, lost
//! events, missing documents.

use std::fmt;
use std::net::SocketAddrV4;

use ramp_state::fleet::Fleet;
use ramp_state::ledger::summary::Summary;
use serde::Serialize;

use crate::human_format::format_duration_ms;
use crate::query::FetchError;
use crate::query::ProcessReply;
use crate::query::QueryResults;

/// Data that is missing or unreliable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Gap {
    /// A process did not answer.
    NoAnswer {
        /// Its name.
        process: String,
        /// Its address.
        control: SocketAddrV4,
        /// The error, as a message.
        why: String,
    },
    /// A process started within the window; the counts of its predecessor are
    /// lost.
    StartedWithin {
        /// Its name.
        process: String,
        /// How long ago it started.
        uptime_ms: u64,
    },
    /// The counts of a process do not reach back over the whole window.
    CoversLess {
        /// Its name.
        process: String,
        /// Time that its counts cover.
        covered_ms: u64,
    },
    /// A process had no free row for some events; they are only in the total.
    WithoutDetail {
        /// Its name.
        process: String,
        /// Number of such events.
        events: u64,
    },
    /// A process lost events before it could count them.
    Lost {
        /// Its name.
        process: String,
        /// Number of such events.
        events: u64,
    },
    /// The list of instances is missing, so processes may have been left out.
    NoInstanceList {
        /// The error, as a message.
        why: String,
    },
    /// A backend server in the fleet document whose agent was not queried.
    NotAsked {
        /// Its name.
        server: String,
    },
    /// There is no fleet document, so the report lacks the names of services and
    /// backend servers, exceptions and burn rates.
    NoDocument,
    /// A process has another configuration version than the fleet document.
    OtherVersion {
        /// Name of the process.
        process: String,
        /// Its configuration version.
        config: u64,
    },
}

impl Gap {
    /// Whether events of the window may be missing from the totals.
    pub fn hides_events(&self) -> bool {
        !matches!(
            self,
            Gap::WithoutDetail { .. } | Gap::NoDocument | Gap::OtherVersion { .. }
        )
    }

    /// All gaps in `results`. The first summary of each answer has to be that of
    /// the report's window.
    pub fn all(results: &QueryResults) -> Vec<Gap> {
        let mut gaps = Vec::new();
        if let Some(why) = &results.list_error {
            gaps.push(Gap::no_instance_list(why));
        }
        match &results.fleet {
            Some(fleet) => gaps.extend(servers_not_asked(fleet, results)),
            None => gaps.push(Gap::NoDocument),
        }
        for reply in &results.replies {
            gaps.extend(process_gaps(reply, results.fleet.as_ref()));
        }
        gaps
    }

    fn no_instance_list(why: &FetchError) -> Gap {
        Gap::NoInstanceList {
            why: why.to_string(),
        }
    }
}

impl fmt::Display for Gap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Gap::NoAnswer {
                process,
                control,
                why,
            } => write!(f, "{process} at {control} did not answer: {why}"),
            Gap::StartedWithin { process, uptime_ms } => write!(
                f,
                "{process} started {} ago: what was counted there before is gone",
                format_duration_ms(*uptime_ms)
            ),
            Gap::CoversLess {
                process,
                covered_ms,
            } => write!(
                f,
                "{process} covers the last {} only",
                format_duration_ms(*covered_ms)
            ),
            Gap::WithoutDetail { process, events } => write!(
                f,
                "{process} had no room for the detail of {events} events: they are in the total only"
            ),
            Gap::Lost { process, events } => {
                write!(
                    f,
                    "{process} lost {events} events before it could count them"
                )
            }
            Gap::NoInstanceList { why } => write!(
                f,
                "no list of instances ({why}): processes may have been left out"
            ),
            Gap::NotAsked { server } => write!(f, "{server} is in the document but was not asked"),
            Gap::NoDocument => write!(
                f,
                "no fleet document: no names, no exceptions and no burn can be shown"
            ),
            Gap::OtherVersion { process, config } => {
                write!(f, "{process} has configuration version {config}")
            }
        }
    }
}

fn servers_not_asked(fleet: &Fleet, results: &QueryResults) -> Vec<Gap> {
    let asked = |control| results.replies.iter().any(|a| a.target.control == control);
    fleet
        .servers
        .iter()
        .filter(|(_, server)| !asked(server.control))
        .map(|(name, _)| Gap::NotAsked {
            server: name.clone(),
        })
        .collect()
}

fn process_gaps(reply: &ProcessReply, fleet: Option<&Fleet>) -> Vec<Gap> {
    let process = reply.name().to_string();
    let process_report = match &reply.result {
        Ok(process_report) => process_report,
        Err(err) => {
            return vec![Gap::NoAnswer {
                process,
                control: reply.target.control,
                why: err.to_string(),
            }];
        }
    };
    let mut gaps = Vec::new();
    let config = process_report.status.config;
    if fleet.is_some_and(|fleet| fleet.version != config) {
        gaps.push(Gap::OtherVersion {
            process: process.clone(),
            config: config.0,
        });
    }
    let Some(summary) = process_report.summaries.first() else {
        return gaps;
    };
    if summary.started_within > 0 {
        gaps.push(Gap::StartedWithin {
            process: process.clone(),
            uptime_ms: process_report.status.uptime.as_millis() as u64,
        });
    } else if let Some(covered_ms) = shorter_coverage_ms(summary) {
        gaps.push(Gap::CoversLess {
            process: process.clone(),
            covered_ms,
        });
    }
    if summary.lost > 0 {
        gaps.push(Gap::Lost {
            process: process.clone(),
            events: summary.lost,
        });
    }
    if summary.without_detail > 0 {
        gaps.push(Gap::WithoutDetail {
            process,
            events: summary.without_detail,
        });
    }
    gaps
}

fn shorter_coverage_ms(summary: &Summary) -> Option<u64> {
    let covered = summary.covered.unwrap_or_default();
    (covered < summary.asked).then_some(covered.as_millis() as u64)
}

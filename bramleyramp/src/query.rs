//! Queries all processes for `report` and `status`: finds their addresses
//! from the platform and the command line, and collects their replies.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::time::Duration;

use futures::StreamExt;
use futures::stream;
use quick_error::quick_error;
use ramp_coordination::platform_reply::PlatformCallError;
use ramp_coordination::platform_reply::PlatformReply;
use ramp_coordination::platform_reply::PublishedText;
use ramp_protocol::operator::Document;
use ramp_state::fleet::Fleet;
use ramp_state::instances::InstanceList;
use ramp_state::key::Version;
use ramp_state::ledger::summary::Window;
use ramp_state::validation::ValidationErrors;
use ramp_transport::operator;
use ramp_transport::operator::ProcessReport;
use ramp_transport::operator::RpcError;
use ramp_transport::platform;

use crate::error::CliError;
use crate::error::CliResult;

/// Timeout of a call to one process, until its whole answer has arrived.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of processes queried at the same time.
const MAX_PARALLEL_QUERIES: usize = 128;

/// Maximum number of processes asked for a newer fleet document than the
/// platform's.
const MAX_DOCUMENT_FETCHES: usize = 5;

/// Processes to query, as given by `--platform` and `--process`.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    platform: Option<SocketAddrV4>,
    processes: Vec<SocketAddrV4>,
}

/// A process to query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the instance; `None` if neither the list of instances nor the
    /// fleet document has one.
    pub name: Option<String>,
    /// Address on which it serves operator calls.
    pub control: SocketAddrV4,
}

/// Result of the query of one process.
#[derive(Debug)]
pub struct ProcessReply {
    /// The process queried.
    pub target: Target,
    /// Its state and counts, or why there is no answer.
    pub result: Result<ProcessReport, RpcError>,
}

quick_error! {
    /// Why a document could not be fetched from the platform.
    #[derive(Debug)]
    pub enum FetchError {
        /// The command line has no `--platform`.
        NoPlatform {
            display("no platform was named")
        }
        /// The call to the platform failed.
        Failed(err: PlatformCallError) {
            display("{}", err)
            from()
        }
        /// The document is not valid.
        Invalid(errors: ValidationErrors) {
            display("it has faults: {}", errors)
            from()
        }
        /// The platform has not published this document.
        Unpublished {
            display("the platform has none")
        }
    }
}

/// Replies of all processes, and the documents needed to interpret them.
#[derive(Debug)]
pub struct QueryResults {
    /// One reply for each process queried, sorted by name and address.
    pub replies: Vec<ProcessReply>,
    /// Newest fleet document of the platform and the processes.
    pub fleet: Option<Fleet>,
    /// Version of the platform's fleet document, or why it is not known.
    pub published_version: Result<Version, FetchError>,
    /// Why the list of instances could not be fetched; `None` if it was.
    pub list_error: Option<FetchError>,
}

impl Targets {
    /// Parses the value of the option `name`; returns false if the option is
    /// neither `platform` nor `process`.
    ///
    /// # Errors
    ///
    /// [`CliError::Usage`] when the value is not an address.
    pub fn parse_option(&mut self, name: &str, args: &mut lexopt::Parser) -> CliResult<bool> {
        match name {
            "platform" => self.platform = Some(parse_address(args)?),
            "process" => self.processes.push(parse_address(args)?),
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Whether the command line gives neither a platform nor a process.
    pub fn is_empty(&self) -> bool {
        self.platform.is_none() && self.processes.is_empty()
    }

    /// Queries all processes for their state and their counts over `windows`.
    ///
    /// Calls `visit` with each answer as it arrives. `visit` has to remove from
    /// the answer what it has aggregated, because the complete answers of a
    /// large fleet would not fit into memory together.
    pub async fn query(
        &self,
        windows: &[Window],
        mut visit: impl FnMut(&mut ProcessReport),
    ) -> QueryResults {
        let (fleet, list) = match self.platform {
            Some(address) => (
                published_fleet(address).await,
                published_instances(address).await,
            ),
            None => (Err(FetchError::NoPlatform), Err(FetchError::NoPlatform)),
        };
        let targets = self.targets(fleet.as_ref().ok(), list.as_ref().ok());
        let mut replies: Vec<ProcessReply> = stream::iter(targets)
            .map(|target| query_process(target, windows))
            .buffer_unordered(MAX_PARALLEL_QUERIES)
            .map(|mut reply| {
                if let Ok(process_report) = &mut reply.result {
                    visit(process_report);
                }
                reply
            })
            .collect()
            .await;
        replies.sort_by_key(|a| (a.name().to_string(), a.target.control));
        let (published_version, fleet) = match fleet {
            Ok(fleet) => (Ok(fleet.version), Some(fleet)),
            Err(err) => (Err(err), None),
        };
        // The replica of the platform may be stale.
        let known_version = fleet.as_ref().map(|f| f.version);
        let fleet = fetch_newer_fleet(&replies, known_version).await.or(fleet);
        if let Some(fleet) = &fleet {
            name_unresponsive(&mut replies, fleet);
        }
        QueryResults {
            replies,
            fleet,
            published_version,
            list_error: list.err(),
        }
    }

    /// Processes of the list of instances, the fleet document and the command
    /// line, each address once. Neither list nor document is enough alone: the
    /// list lags, and the document has no balancers.
    fn targets(&self, fleet: Option<&Fleet>, list: Option<&InstanceList>) -> Vec<Target> {
        let listed = list.into_iter().flat_map(|l| &l.instances);
        let listed = listed.map(|(name, instance)| (Some(name.clone()), instance.control));
        let servers = fleet.into_iter().flat_map(|f| &f.servers);
        let servers = servers.map(|(name, server)| (Some(name.clone()), server.control));
        let from_command_line = self.processes.iter().map(|control| (None, *control));

        let mut seen = HashSet::new();
        listed
            .chain(servers)
            .chain(from_command_line)
            .filter(|(_, control)| seen.insert(*control))
            .map(|(name, control)| Target { name, control })
            .collect()
    }
}

impl ProcessReply {
    /// Name that the process reports, or else that of the list or document, or
    /// else `process`.
    pub fn name(&self) -> &str {
        match (&self.result, &self.target.name) {
            (Ok(process_report), _) => &process_report.status.name,
            (Err(_), Some(name)) => name,
            (Err(_), None) => "process",
        }
    }
}

impl QueryResults {
    /// Answers of the processes that answered.
    pub fn process_reports(&self) -> impl Iterator<Item = &ProcessReport> {
        self.replies.iter().filter_map(|a| a.result.as_ref().ok())
    }
}

fn parse_address(args: &mut lexopt::Parser) -> CliResult<SocketAddrV4> {
    let value = args.value()?;
    let text = value.to_string_lossy();
    text.parse()
        .map_err(|_| CliError::Usage(format!("`{text}` is not an address of the form IP:PORT")))
}

async fn query_process(target: Target, windows: &[Window]) -> ProcessReply {
    let result =
        operator::fetch_process_report(target.control, windows.to_vec(), REPLY_TIMEOUT).await;
    ProcessReply { target, result }
}

async fn published_fleet(platform: SocketAddrV4) -> Result<Fleet, FetchError> {
    let reply = platform::fetch_fleet(platform, Version(0), Duration::ZERO).await?;
    let text = published_text(reply)?;
    Ok(Fleet::parse(text.version, &text.text)?)
}

async fn published_instances(platform: SocketAddrV4) -> Result<InstanceList, FetchError> {
    let reply = platform::fetch_instances(platform, Version(0), Duration::ZERO).await?;
    let text = published_text(reply)?;
    Ok(InstanceList::parse(text.version, &text.text)?)
}

fn published_text(reply: PlatformReply) -> Result<PublishedText, FetchError> {
    match reply {
        PlatformReply::Newer(published) => Ok(published),
        PlatformReply::Unchanged { .. } => Err(FetchError::Unpublished),
    }
}

/// Fetches the newest fleet document that a process has, if it is newer than
/// `known_version`.
async fn fetch_newer_fleet(
    replies: &[ProcessReply],
    known_version: Option<Version>,
) -> Option<Fleet> {
    let mut holders: Vec<(Version, SocketAddrV4)> = replies
        .iter()
        .filter_map(|a| Some((a.result.as_ref().ok()?.status.config, a.target.control)))
        .filter(|(version, _)| *version > known_version.unwrap_or_default())
        .collect();
    holders.sort_by_key(|(version, _)| Reverse(*version));
    for (_, control) in holders.into_iter().take(MAX_DOCUMENT_FETCHES) {
        let Ok(Some(document)) = operator::fetch_document(control, REPLY_TIMEOUT).await else {
            continue;
        };
        if let Some(fleet) = parse_fleet(&document) {
            return Some(fleet);
        }
    }
    None
}

/// Sets the names of processes that have none, such as those that did not answer,
/// from the fleet document.
fn name_unresponsive(replies: &mut [ProcessReply], fleet: &Fleet) {
    for reply in replies.iter_mut().filter(|a| a.target.name.is_none()) {
        let control = reply.target.control;
        let mut servers = fleet.servers.iter();
        let known = servers.find(|(_, server)| server.control == control);
        reply.target.name = known.map(|(name, _)| name.clone());
    }
}

fn parse_fleet(document: &Document) -> Option<Fleet> {
    Fleet::parse(document.version, &document.text).ok()
}

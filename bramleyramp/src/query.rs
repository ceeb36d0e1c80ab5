//! Asking all live processes: whom, by platform or by name, and how.

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
use ramp_transport::operator::Account;
use ramp_transport::operator::RpcError;
use ramp_transport::platform;

use crate::error::CliError;
use crate::error::CliResult;

/// Time that a process has for its whole answer.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// Processes asked at the same time.
const MAX_PARALLEL_QUERIES: usize = 128;

/// Processes asked for the fleet document when the platform has none.
const MAX_DOCUMENT_FETCHES: usize = 5;

/// Whom to ask, as the command line says.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    platform: Option<SocketAddrV4>,
    processes: Vec<SocketAddrV4>,
}

/// A process to ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its name, where a list or document gives it.
    pub name: Option<String>,
    /// Where it takes operator calls.
    pub control: SocketAddrV4,
}

/// What came of asking one process.
#[derive(Debug)]
pub struct ProcessReply {
    /// The process.
    pub target: Target,
    /// What it told.
    pub result: Result<Account, RpcError>,
}

quick_error! {
    /// Why something of the platform's is missing.
    #[derive(Debug)]
    pub enum FetchError {
        /// No platform was named on the command line.
        NoPlatform {
            display("no platform was named")
        }
        /// The platform did not answer.
        Failed(err: PlatformCallError) {
            display("{}", err)
            from()
        }
        /// Its text has faults.
        Invalid(faults: ValidationErrors) {
            display("it has faults: {}", faults)
            from()
        }
        /// The platform has published none.
        Unpublished {
            display("the platform has none")
        }
    }
}

/// All that asking gave.
#[derive(Debug)]
pub struct QueryResults {
    /// The processes that were asked, each with its answer.
    pub replies: Vec<ProcessReply>,
    /// Fleet document: of the platform, or else of a process.
    pub fleet: Option<Fleet>,
    /// Version that the platform publishes, or why it is not known.
    pub published_version: Result<Version, FetchError>,
    /// Why the list of instances is missing, if it is.
    pub list_error: Option<FetchError>,
}

impl Targets {
    /// Takes the option called `name` from the command line, if it is one of
    /// these.
    ///
    /// # Errors
    ///
    /// When its value is not an address.
    pub fn parse_option(&mut self, name: &str, args: &mut lexopt::Parser) -> CliResult<bool> {
        match name {
            "platform" => self.platform = Some(parse_address(args)?),
            "process" => self.processes.push(parse_address(args)?),
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Whether the command line names nobody.
    pub fn is_empty(&self) -> bool {
        self.platform.is_none() && self.processes.is_empty()
    }

    /// Asks everyone for state and counts over `windows`. Each answer goes
    /// through `visit` as it comes, which takes out what it has added up: not
    /// all of them would fit into memory at once.
    pub async fn query(
        &self,
        windows: &[Window],
        mut visit: impl FnMut(&mut Account),
    ) -> QueryResults {
        let (fleet, list) = match self.platform {
            Some(at) => (published_fleet(at).await, published_instances(at).await),
            None => (Err(FetchError::NoPlatform), Err(FetchError::NoPlatform)),
        };
        let targets = self.targets(fleet.as_ref().ok(), list.as_ref().ok());
        let mut replies: Vec<ProcessReply> = stream::iter(targets)
            .map(|target| query_process(target, windows))
            .buffer_unordered(MAX_PARALLEL_QUERIES)
            .map(|mut reply| {
                if let Ok(account) = &mut reply.result {
                    visit(account);
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
        // The platform's replica may be stale.
        let have = fleet.as_ref().map(|f| f.version);
        let fleet = fetch_newer_fleet(&replies, have).await.or(fleet);
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

    /// Everyone named, listed or in the document, each address once. The list
    /// lags, and the document has no balancers: neither alone is enough.
    fn targets(&self, fleet: Option<&Fleet>, list: Option<&InstanceList>) -> Vec<Target> {
        let listed = list.into_iter().flat_map(|l| &l.instances);
        let listed = listed.map(|(name, instance)| (Some(name.clone()), instance.control));
        let servers = fleet.into_iter().flat_map(|f| &f.servers);
        let servers = servers.map(|(name, server)| (Some(name.clone()), server.control));
        let named = self.processes.iter().map(|control| (None, *control));

        let mut seen = HashSet::new();
        listed
            .chain(servers)
            .chain(named)
            .filter(|(_, control)| seen.insert(*control))
            .map(|(name, control)| Target { name, control })
            .collect()
    }
}

impl ProcessReply {
    /// Name of the process: its own, the list's, or none.
    pub fn name(&self) -> &str {
        match (&self.result, &self.target.name) {
            (Ok(account), _) => &account.status.name,
            (Err(_), Some(name)) => name,
            (Err(_), None) => "process",
        }
    }
}

impl QueryResults {
    /// QueryResults of those who answered.
    pub fn accounts(&self) -> impl Iterator<Item = &Account> {
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
    let result = operator::ask_account(target.control, windows.to_vec(), REPLY_TIMEOUT).await;
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

/// Newest fleet document of the processes, if it is newer than `have`.
async fn fetch_newer_fleet(replies: &[ProcessReply], have: Option<Version>) -> Option<Fleet> {
    let mut holders: Vec<(Version, SocketAddrV4)> = replies
        .iter()
        .filter_map(|a| Some((a.result.as_ref().ok()?.status.config, a.target.control)))
        .filter(|(version, _)| *version > have.unwrap_or_default())
        .collect();
    holders.sort_by_key(|(version, _)| Reverse(*version));
    for (_, control) in holders.into_iter().take(MAX_DOCUMENT_FETCHES) {
        let Ok(Some(document)) = operator::ask_document(control, REPLY_TIMEOUT).await else {
            continue;
        };
        if let Some(fleet) = parse_fleet(&document) {
            return Some(fleet);
        }
    }
    None
}

/// Names those who did not answer by the document.
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

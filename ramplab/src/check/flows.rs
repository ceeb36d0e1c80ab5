//! Checks that callers' connections survive, unless their data centre was taken
//! out, a process that they depended on failed, or they were never established.

use std::net::SocketAddr;

use crate::check::Findings;
use crate::check::Invariant;
use crate::check::index::HistoryIndex;
use crate::history::Event;
use crate::history::EventData;
use crate::history::FlowEnd;

/// Time after the end of an outage, a kill or a crash in which a connection may
/// still break for that reason, in milliseconds.
const FAILURE_WINDOW_MS: u64 = 10_000;

/// Why the broken end of a connection is not a violation.
enum ExpectedEnd {
    /// Its data centre was taken out of service.
    DataCentreOut,
    /// A process that it depended on was killed or its server crashed.
    ProcessFailed,
    /// The handshake never completed.
    NotEstablished,
}

/// Processes and data centres that a connection depended on.
#[derive(Default)]
struct FlowLocation<'a> {
    /// The fabric's `FlowCarried` event, if found.
    fabric_record: Option<&'a Event>,
    /// Whether the fabric reported that the handshake never completed.
    not_established: bool,
    /// Data centres of the owning agent and of the server that responded last.
    data_centres: Vec<&'a str>,
    /// Names of the owning agent and of the server that responded last.
    names: Vec<&'a str>,
}

/// Checks how each connection ended, and counts the outcomes.
pub fn check(index: &HistoryIndex<'_>, findings: &mut Findings) {
    for event in index.history {
        match &event.what {
            EventData::FlowOpened { .. } => findings.summary.flows_opened += 1,
            EventData::FlowEnded { flow, server, end } if *end != FlowEnd::Closed => {
                check_end(index, findings, event, flow, server.as_deref());
            }
            _ => {}
        }
    }
}

fn check_end<'a>(
    index: &HistoryIndex<'a>,
    findings: &mut Findings,
    ended: &'a Event,
    flow: &SocketAddr,
    server: Option<&'a str>,
) {
    let opened = index.flow_open_before(flow, ended.at_ms);
    let opened_ms = opened.map_or(0, |opened| opened.at_ms);
    let location = FlowLocation::find(index, opened_ms, flow, server);
    match location.expected_end(index, opened_ms, ended.at_ms) {
        Some(ExpectedEnd::DataCentreOut) => findings.summary.flows_given_up += 1,
        Some(ExpectedEnd::ProcessFailed) => findings.summary.flows_lost += 1,
        Some(ExpectedEnd::NotEstablished) => findings.summary.flows_refused += 1,
        None => {
            findings.summary.flows_broken += 1;
            let events = opened
                .into_iter()
                .chain(location.fabric_record)
                .chain([ended]);
            findings.add(Invariant::FlowKept, events);
        }
    }
}

impl<'a> FlowLocation<'a> {
    fn find(
        index: &HistoryIndex<'a>,
        opened_ms: u64,
        flow: &SocketAddr,
        server: Option<&'a str>,
    ) -> FlowLocation<'a> {
        let mut location = FlowLocation::default();
        if let Some(name) = server {
            location.names.push(name);
            let server_info = index.servers.get(name);
            location
                .data_centres
                .extend(server_info.map(|p| p.data_centre));
        }
        location.fabric_record = index.fabric_record_after(flow, opened_ms);
        let Some(EventData::FlowCarried {
            established, owner, ..
        }) = location.fabric_record.map(|e| &e.what)
        else {
            return location;
        };
        location.not_established = !established;
        if let Some(listed) = owner.and_then(|owner| index.listed.get(&owner)) {
            location.names.push(listed.name);
            location.data_centres.push(listed.data_centre);
        }
        location
    }

    fn expected_end(
        &self,
        index: &HistoryIndex<'a>,
        opened_ms: u64,
        ended_ms: u64,
    ) -> Option<ExpectedEnd> {
        if self.not_established {
            return Some(ExpectedEnd::NotEstablished);
        }
        if self.overlaps_outage(index, opened_ms, ended_ms) {
            return Some(ExpectedEnd::DataCentreOut);
        }
        self.follows_failure(index, ended_ms)
            .then_some(ExpectedEnd::ProcessFailed)
    }

    fn overlaps_outage(&self, index: &HistoryIndex<'a>, opened_ms: u64, ended_ms: u64) -> bool {
        let intervals = index.outages.iter().filter(|(name, _)| {
            // When nothing is known, the outage of any data centre may be the cause.
            self.data_centres.is_empty() || self.data_centres.contains(name)
        });
        intervals
            .flat_map(|(_, intervals)| intervals)
            .any(|interval| {
                let outage_end_ms = interval.until.map(|until| until.at_ms);
                interval.from.at_ms <= ended_ms
                    && outage_end_ms
                        .is_none_or(|ms| opened_ms < ms && ended_ms <= ms + FAILURE_WINDOW_MS)
            })
    }

    fn follows_failure(&self, index: &HistoryIndex<'a>, ended_ms: u64) -> bool {
        index.history.iter().any(|event| {
            let name = match &event.what {
                EventData::Killed { process } => process,
                EventData::FellOver => &event.source,
                _ => return false,
            };
            let recent = event.at_ms <= ended_ms && ended_ms <= event.at_ms + FAILURE_WINDOW_MS;
            recent && self.names.contains(&name.as_str())
        })
    }
}

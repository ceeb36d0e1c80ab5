//! Index over a history, with the lookups that the checks need: servers and
//! processes by name or address, attempts by ID, outages and drains by time.

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::history::Change;
use crate::history::Event;
use crate::history::EventData;

/// Time between two events, or from one event to the end of the history.
#[derive(Clone, Copy, Debug)]
pub struct Interval<'a> {
    /// Event that starts the interval.
    pub from: &'a Event,
    /// Event that ends it; `None` when it is still open.
    pub until: Option<&'a Event>,
}

impl Interval<'_> {
    /// Whether `at_ms` lies in the interval; its end is not included.
    pub fn contains(&self, at_ms: u64) -> bool {
        self.from.at_ms <= at_ms && self.until.is_none_or(|until| at_ms < until.at_ms)
    }
}

/// Service and data centre of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct ServerInfo<'a> {
    /// Service that it serves.
    pub service: &'a str,
    /// Data centre that it runs in.
    pub data_centre: &'a str,
}

/// A balancer or agent in the instance list.
#[derive(Clone, Copy, Debug)]
pub struct ListedProcess<'a> {
    /// Process name; for an agent, the name of its backend server.
    pub name: &'a str,
    /// Data centre that it runs in.
    pub data_centre: &'a str,
}

/// Events of one attempt of a request.
#[derive(Clone, Debug, Default)]
pub struct Attempt<'a> {
    /// The caller sent the attempt.
    pub sent: Option<&'a Event>,
    /// Backend servers accepted it, normally one.
    pub began: Vec<&'a Event>,
    /// The attempt ended for the caller.
    pub ended: Option<&'a Event>,
}

/// Events of a history, indexed.
#[derive(Default)]
pub struct HistoryIndex<'a> {
    /// All events, ordered by time.
    pub history: &'a [Event],
    /// Backend servers by process name.
    pub servers: IndexMap<&'a str, ServerInfo<'a>>,
    /// Balancers and agents by packet address.
    pub listed: IndexMap<SocketAddr, ListedProcess<'a>>,
    /// Published changes of the fleet document, in order.
    pub changes: Vec<&'a Event>,
    /// Intervals during which a data centre was out of service, by its name.
    pub outages: IndexMap<&'a str, Vec<Interval<'a>>>,
    /// Intervals during which a backend server was draining, by its name.
    pub drains: IndexMap<&'a str, Vec<Interval<'a>>>,
    /// Attempts by attempt ID.
    pub attempts: IndexMap<&'a str, Attempt<'a>>,
    /// Executions by request ID.
    pub runs: IndexMap<&'a str, Vec<&'a Event>>,
    /// `FlowOpened` events by the caller's address.
    pub flow_opens: IndexMap<SocketAddr, Vec<&'a Event>>,
    /// `FlowCarried` events of the fabric by the caller's address.
    pub fabric_records: IndexMap<SocketAddr, Vec<&'a Event>>,
}

impl<'a> HistoryIndex<'a> {
    /// Builds the index over `history`.
    pub fn build(history: &'a [Event]) -> HistoryIndex<'a> {
        let mut index = HistoryIndex {
            history,
            ..HistoryIndex::default()
        };
        for event in history {
            index.add(event);
        }
        index
    }

    fn add(&mut self, event: &'a Event) {
        match &event.what {
            EventData::ServerStarted {
                service,
                data_centre,
                ..
            } => {
                let server_info = ServerInfo {
                    service,
                    data_centre,
                };
                self.servers.insert(&event.source, server_info);
            }
            EventData::AgentListed {
                server: name,
                address,
                data_centre,
            }
            | EventData::BalancerListed {
                name,
                address,
                data_centre,
            } => {
                self.listed
                    .insert(*address, ListedProcess { name, data_centre });
            }
            EventData::Published { change, .. } => self.add_change(event, change),
            EventData::RequestSent { attempt, .. } => {
                self.attempts.entry(attempt).or_default().sent = Some(event);
            }
            EventData::RequestEnded { attempt, .. } => {
                self.attempts.entry(attempt).or_default().ended = Some(event);
            }
            EventData::Began { attempt, .. } => {
                self.attempts.entry(attempt).or_default().began.push(event);
            }
            EventData::Ran { request, .. } => self.runs.entry(request).or_default().push(event),
            EventData::FlowOpened { flow, .. } => {
                self.flow_opens.entry(*flow).or_default().push(event);
            }
            EventData::FlowCarried { flow, .. } => {
                self.fabric_records.entry(*flow).or_default().push(event);
            }
            _ => {}
        }
    }

    fn add_change(&mut self, event: &'a Event, change: &'a Change) {
        if change.is_in_fleet() {
            self.changes.push(event);
        }
        match change {
            Change::DataCentreOut(name) => begin(&mut self.outages, name, event),
            Change::DataCentreIn(name) => end(&mut self.outages, name, event),
            Change::ServerLeaving(name) => begin(&mut self.drains, name, event),
            Change::ServerIn(name) => end(&mut self.drains, name, event),
            Change::BalancerLeaving(_) | Change::BalancerJoins(_) => {}
        }
    }

    /// Outage of the data centre that covers `at_ms`, if any.
    pub fn outage_at(&self, data_centre: &str, at_ms: u64) -> Option<&Interval<'a>> {
        self.outages
            .get(data_centre)?
            .iter()
            .find(|interval| interval.contains(at_ms))
    }

    /// Drain of the server that covers `at_ms`, if any.
    pub fn drain_at(&self, server: &str, at_ms: u64) -> Option<&Interval<'a>> {
        self.drains
            .get(server)?
            .iter()
            .find(|interval| interval.contains(at_ms))
    }

    /// `FlowOpened` event of the connection that ended at `at_ms`.
    pub fn flow_open_before(&self, flow: &SocketAddr, at_ms: u64) -> Option<&'a Event> {
        let flow_opens = self.flow_opens.get(flow)?;
        flow_opens.iter().rfind(|e| e.at_ms <= at_ms).copied()
    }

    /// `FlowCarried` event of the connection that was opened at `at_ms`.
    pub fn fabric_record_after(&self, flow: &SocketAddr, at_ms: u64) -> Option<&'a Event> {
        let fabric_records = self.fabric_records.get(flow)?;
        fabric_records.iter().find(|e| e.at_ms >= at_ms).copied()
    }
}

fn begin<'a>(intervals: &mut IndexMap<&'a str, Vec<Interval<'a>>>, name: &'a str, from: &'a Event) {
    let intervals = intervals.entry(name).or_default();
    if intervals
        .last()
        .is_none_or(|interval| interval.until.is_some())
    {
        intervals.push(Interval { from, until: None });
    }
}

fn end<'a>(intervals: &mut IndexMap<&'a str, Vec<Interval<'a>>>, name: &'a str, until: &'a Event) {
    if let Some(interval) = intervals
        .get_mut(name)
        .and_then(|intervals| intervals.last_mut())
    {
        interval.until.get_or_insert(until);
    }
}

//! A history indexed by what the judges ask for.

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::history::Change;
use crate::history::Event;
use crate::history::EventData;

/// Time for which something was so.
#[derive(Clone, Copy, Debug)]
pub struct Span<'a> {
    /// Event that began it.
    pub from: &'a Event,
    /// Event that ended it, if any did.
    pub until: Option<&'a Event>,
}

impl Span<'_> {
    /// Whether it holds at `at_ms`.
    pub fn holds(&self, at_ms: u64) -> bool {
        self.from.at_ms <= at_ms && self.until.is_none_or(|until| at_ms < until.at_ms)
    }
}

/// Where a backend server stands.
#[derive(Clone, Copy, Debug)]
pub struct Place<'a> {
    /// Its service.
    pub service: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
}

/// A balancer or agent that operators listed.
#[derive(Clone, Copy, Debug)]
pub struct Listed<'a> {
    /// Its name; an agent has that of its backend server.
    pub name: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
}

/// Events of one attempt.
#[derive(Clone, Debug, Default)]
pub struct Attempt<'a> {
    /// The caller sent it.
    pub sent: Option<&'a Event>,
    /// It reached servers.
    pub began: Vec<&'a Event>,
    /// The caller saw it end.
    pub ended: Option<&'a Event>,
}

/// The index.
#[derive(Default)]
pub struct Facts<'a> {
    /// All events in order.
    pub history: &'a [Event],
    /// Backend servers by name.
    pub servers: IndexMap<&'a str, Place<'a>>,
    /// Balancers and agents by packet address.
    pub listed: IndexMap<SocketAddr, Listed<'a>>,
    /// Changes of the fleet document.
    pub changes: Vec<&'a Event>,
    /// When data centres were out.
    pub outs: IndexMap<&'a str, Vec<Span<'a>>>,
    /// When backend servers were leaving.
    pub leavings: IndexMap<&'a str, Vec<Span<'a>>>,
    /// Attempts by number.
    pub attempts: IndexMap<&'a str, Attempt<'a>>,
    /// Runs by request.
    pub runs: IndexMap<&'a str, Vec<&'a Event>>,
    /// Connections' openings by caller's address.
    pub openings: IndexMap<SocketAddr, Vec<&'a Event>>,
    /// The fabric's notes by caller's address.
    pub carried: IndexMap<SocketAddr, Vec<&'a Event>>,
}

impl<'a> Facts<'a> {
    /// Indexes `history`.
    pub fn gather(history: &'a [Event]) -> Facts<'a> {
        let mut facts = Facts {
            history,
            ..Facts::default()
        };
        for event in history {
            facts.add(event);
        }
        facts
    }

    fn add(&mut self, event: &'a Event) {
        match &event.what {
            EventData::ServerStarted {
                service,
                data_centre,
                ..
            } => {
                let place = Place {
                    service,
                    data_centre,
                };
                self.servers.insert(&event.source, place);
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
                self.listed.insert(*address, Listed { name, data_centre });
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
                self.openings.entry(*flow).or_default().push(event);
            }
            EventData::FlowCarried { flow, .. } => {
                self.carried.entry(*flow).or_default().push(event);
            }
            _ => {}
        }
    }

    fn add_change(&mut self, event: &'a Event, change: &'a Change) {
        if change.is_in_fleet() {
            self.changes.push(event);
        }
        match change {
            Change::DataCentreOut(name) => begin(&mut self.outs, name, event),
            Change::DataCentreIn(name) => end(&mut self.outs, name, event),
            Change::ServerLeaving(name) => begin(&mut self.leavings, name, event),
            Change::ServerIn(name) => end(&mut self.leavings, name, event),
            Change::BalancerLeaving(_) | Change::BalancerJoins(_) => {}
        }
    }

    /// Span during which the data centre was out at `at_ms`.
    pub fn out(&self, data_centre: &str, at_ms: u64) -> Option<&Span<'a>> {
        self.outs
            .get(data_centre)?
            .iter()
            .find(|span| span.holds(at_ms))
    }

    /// Span during which the server was leaving at `at_ms`.
    pub fn leaving(&self, server: &str, at_ms: u64) -> Option<&Span<'a>> {
        self.leavings
            .get(server)?
            .iter()
            .find(|span| span.holds(at_ms))
    }

    /// Opening of the connection that ended at `at_ms`.
    pub fn opening(&self, flow: &SocketAddr, at_ms: u64) -> Option<&'a Event> {
        let openings = self.openings.get(flow)?;
        openings.iter().rfind(|e| e.at_ms <= at_ms).copied()
    }

    /// The fabric's note of the connection that was opened at `at_ms`.
    pub fn carrying(&self, flow: &SocketAddr, at_ms: u64) -> Option<&'a Event> {
        let carried = self.carried.get(flow)?;
        carried.iter().find(|e| e.at_ms >= at_ms).copied()
    }
}

fn begin<'a>(spans: &mut IndexMap<&'a str, Vec<Span<'a>>>, name: &'a str, from: &'a Event) {
    let spans = spans.entry(name).or_default();
    if spans.last().is_none_or(|span| span.until.is_some()) {
        spans.push(Span { from, until: None });
    }
}

fn end<'a>(spans: &mut IndexMap<&'a str, Vec<Span<'a>>>, name: &'a str, until: &'a Event) {
    if let Some(span) = spans.get_mut(name).and_then(|spans| spans.last_mut()) {
        span.until.get_or_insert(until);
    }
}

//! Connections: kept, given up with their data centre, lost with a process.

use std::net::SocketAddr;

use crate::check::Findings;
use crate::check::Invariant;
use crate::check::facts::Facts;
use crate::history::Event;
use crate::history::EventData;
use crate::history::FlowEnd;

/// Time after a data centre's return, a kill or a fall in which a connection
/// may still end for that reason, in milliseconds.
const AFTERMATH_MS: u64 = 10_000;

/// Why a connection that did not end in order is excused.
enum Excuse {
    /// Its data centre was out.
    GivenUp,
    /// Its process was killed or its server fell over.
    Lost,
    /// It was never open.
    Refused,
}

/// Where a connection lived.
#[derive(Default)]
struct Home<'a> {
    /// Note of the fabric.
    carried: Option<&'a Event>,
    /// Whether the fabric saw that it was never open.
    refused: bool,
    /// Data centres of its owner and of the server that answered.
    data_centres: Vec<&'a str>,
    /// Names of its owner and of the server that answered.
    names: Vec<&'a str>,
}

/// Judges how each connection ended.
pub fn judge(facts: &Facts<'_>, findings: &mut Findings) {
    for event in facts.history {
        match &event.what {
            EventData::FlowOpened { .. } => findings.summary.flows_opened += 1,
            EventData::FlowEnded { flow, server, end } if *end != FlowEnd::Closed => {
                judge_end(facts, findings, event, flow, server.as_deref());
            }
            _ => {}
        }
    }
}

fn judge_end<'a>(
    facts: &Facts<'a>,
    findings: &mut Findings,
    ended: &'a Event,
    flow: &SocketAddr,
    server: Option<&'a str>,
) {
    let opened = facts.opening(flow, ended.at_ms);
    let opened_ms = opened.map_or(0, |opened| opened.at_ms);
    let home = Home::find(facts, opened_ms, flow, server);
    match home.excuse(facts, opened_ms, ended.at_ms) {
        Some(Excuse::GivenUp) => findings.summary.flows_given_up += 1,
        Some(Excuse::Lost) => findings.summary.flows_lost += 1,
        Some(Excuse::Refused) => findings.summary.flows_refused += 1,
        None => {
            findings.summary.flows_broken += 1;
            let events = opened.into_iter().chain(home.carried).chain([ended]);
            findings.add(Invariant::FlowKept, events);
        }
    }
}

impl<'a> Home<'a> {
    fn find(
        facts: &Facts<'a>,
        opened_ms: u64,
        flow: &SocketAddr,
        server: Option<&'a str>,
    ) -> Home<'a> {
        let mut home = Home::default();
        if let Some(name) = server {
            home.names.push(name);
            let place = facts.servers.get(name);
            home.data_centres.extend(place.map(|p| p.data_centre));
        }
        home.carried = facts.carrying(flow, opened_ms);
        let Some(EventData::FlowCarried {
            established, owner, ..
        }) = home.carried.map(|e| &e.what)
        else {
            return home;
        };
        home.refused = !established;
        if let Some(listed) = owner.and_then(|owner| facts.listed.get(&owner)) {
            home.names.push(listed.name);
            home.data_centres.push(listed.data_centre);
        }
        home
    }

    fn excuse(&self, facts: &Facts<'a>, opened_ms: u64, ended_ms: u64) -> Option<Excuse> {
        if self.refused {
            return Some(Excuse::Refused);
        }
        if self.was_out(facts, opened_ms, ended_ms) {
            return Some(Excuse::GivenUp);
        }
        self.was_lost(facts, ended_ms).then_some(Excuse::Lost)
    }

    fn was_out(&self, facts: &Facts<'a>, opened_ms: u64, ended_ms: u64) -> bool {
        let spans = facts.outs.iter().filter(|(name, _)| {
            // Without the fabric's note it may have lived anywhere.
            self.data_centres.is_empty() || self.data_centres.contains(name)
        });
        spans.flat_map(|(_, spans)| spans).any(|span| {
            let returned_ms = span.until.map(|until| until.at_ms);
            span.from.at_ms <= ended_ms
                && returned_ms.is_none_or(|ms| opened_ms < ms && ended_ms <= ms + AFTERMATH_MS)
        })
    }

    fn was_lost(&self, facts: &Facts<'a>, ended_ms: u64) -> bool {
        facts.history.iter().any(|event| {
            let name = match &event.what {
                EventData::Killed { process } => process,
                EventData::FellOver => &event.source,
                _ => return false,
            };
            let recent = event.at_ms <= ended_ms && ended_ms <= event.at_ms + AFTERMATH_MS;
            recent && self.names.contains(&name.as_str())
        })
    }
}

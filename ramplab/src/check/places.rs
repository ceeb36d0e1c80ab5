//! Where work and packets went: the right service, no more than a cold server
//! bears, nothing to what is out or leaving.

use crate::check::Findings;
use crate::check::Invariant;
use crate::check::PROPAGATION_LIMIT_MS;
use crate::check::facts::Facts;
use crate::history::Event;
use crate::history::EventData;

/// Time in which an agent may learn that its server turned cold without
/// warning, in milliseconds.
const REVEAL_MS: u64 = 1000;

/// Judges each request's and packet's arrival.
pub fn judge(facts: &Facts<'_>, findings: &mut Findings) {
    let mut judge = Judge { facts, findings };
    for event in facts.history {
        match &event.what {
            EventData::Began {
                attempt,
                meant_for,
                in_progress,
                bears,
                ..
            } => {
                judge.service(event, attempt, meant_for);
                if *in_progress > bears + 1 {
                    judge.overload(event);
                }
                judge.leaving(event);
                if let Some(place) = facts.servers.get(event.source.as_str()) {
                    judge.out(event, place.data_centre);
                }
            }
            EventData::FellOver => judge.overload(event),
            EventData::PacketAt { address } => {
                if let Some(listed) = facts.listed.get(address) {
                    judge.out(event, listed.data_centre);
                }
            }
            _ => {}
        }
    }
}

struct Judge<'f, 'a> {
    facts: &'f Facts<'a>,
    findings: &'f mut Findings,
}

impl Judge<'_, '_> {
    fn service(&mut self, began: &Event, attempt: &str, meant_for: &str) {
        let Some(place) = self.facts.servers.get(began.source.as_str()) else {
            return;
        };
        let known = !meant_for.is_empty() && !place.service.is_empty();
        if known && meant_for != place.service {
            let sent = self.facts.attempts.get(attempt).and_then(|a| a.sent);
            let events = sent.into_iter().chain([began]);
            self.findings.add(Invariant::RightService, events);
        }
    }

    fn overload(&mut self, event: &Event) {
        let turned = self.facts.history.iter().rfind(|e| {
            e.source == event.source
                && (e.at_ms, e.seq) <= (event.at_ms, event.seq)
                && matches!(e.what, EventData::TurnedCold { .. })
        });
        let unrevealed = turned.is_some_and(|turned| {
            let without_warning = EventData::TurnedCold {
                without_warning: true,
            };
            turned.what == without_warning && event.at_ms < turned.at_ms + REVEAL_MS
        });
        if !unrevealed {
            let events = turned.into_iter().chain([event]);
            self.findings.add(Invariant::ColdBearable, events);
        }
    }

    fn leaving(&mut self, began: &Event) {
        let span = self.facts.leaving(&began.source, began.at_ms);
        if let Some(span) = span
            && began.at_ms > span.from.at_ms + PROPAGATION_LIMIT_MS
        {
            let events = [span.from, began];
            self.findings.add(Invariant::LeavingGetsNothing, events);
        }
    }

    fn out(&mut self, event: &Event, data_centre: &str) {
        let Some(span) = self.facts.out(data_centre, event.at_ms) else {
            return;
        };
        let after_ms = event.at_ms - span.from.at_ms;
        let summary = &mut self.findings.summary;
        summary.out_last_packet_s = summary.out_last_packet_s.max(after_ms as f64 / 1000.0);
        if after_ms > PROPAGATION_LIMIT_MS {
            let events = [span.from, event];
            self.findings.add(Invariant::DataCentreEmpty, events);
        }
    }
}

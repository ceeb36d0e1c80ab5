//! Checks where requests and packets went: only to servers of the right service,
//! within the limit of a server in cold start, and not to data centres that are out
//! of service or to draining servers.

use crate::check::Findings;
use crate::check::Invariant;
use crate::check::PROPAGATION_LIMIT_MS;
use crate::check::index::HistoryIndex;
use crate::history::Event;
use crate::history::EventData;

/// Time that an agent has to detect a cold start without warning, in milliseconds;
/// overload within it is not a violation.
const COLD_DETECTION_LIMIT_MS: u64 = 1000;

/// Checks the destination of each request and packet.
pub fn check(index: &HistoryIndex<'_>, findings: &mut Findings) {
    let mut checker = RoutingChecker { index, findings };
    for event in index.history {
        match &event.what {
            EventData::Began {
                attempt,
                meant_for,
                in_progress,
                bears,
                ..
            } => {
                checker.check_service(event, attempt, meant_for);
                if *in_progress > bears + 1 {
                    checker.check_overload(event);
                }
                checker.check_draining(event);
                if let Some(server) = index.servers.get(event.source.as_str()) {
                    checker.check_outage(event, server.data_centre);
                }
            }
            EventData::FellOver => checker.check_overload(event),
            EventData::PacketAt { address } => {
                if let Some(listed) = index.listed.get(address) {
                    checker.check_outage(event, listed.data_centre);
                }
            }
            _ => {}
        }
    }
}

struct RoutingChecker<'f, 'a> {
    index: &'f HistoryIndex<'a>,
    findings: &'f mut Findings,
}

impl RoutingChecker<'_, '_> {
    fn check_service(&mut self, began: &Event, attempt: &str, meant_for: &str) {
        let Some(server) = self.index.servers.get(began.source.as_str()) else {
            return;
        };
        let has_services = !meant_for.is_empty() && !server.service.is_empty();
        if has_services && meant_for != server.service {
            let sent = self.index.attempts.get(attempt).and_then(|a| a.sent);
            let events = sent.into_iter().chain([began]);
            self.findings.add(Invariant::RightService, events);
        }
    }

    fn check_overload(&mut self, event: &Event) {
        let cold_start = self.index.history.iter().rfind(|e| {
            e.source == event.source
                && (e.at_ms, e.seq) <= (event.at_ms, event.seq)
                && matches!(e.what, EventData::TurnedCold { .. })
        });
        let not_yet_detectable = cold_start.is_some_and(|cold_start| {
            let without_warning = EventData::TurnedCold {
                without_warning: true,
            };
            cold_start.what == without_warning
                && event.at_ms < cold_start.at_ms + COLD_DETECTION_LIMIT_MS
        });
        if !not_yet_detectable {
            let events = cold_start.into_iter().chain([event]);
            self.findings.add(Invariant::ColdBearable, events);
        }
    }

    fn check_draining(&mut self, began: &Event) {
        let interval = self.index.drain_at(&began.source, began.at_ms);
        if let Some(interval) = interval
            && began.at_ms > interval.from.at_ms + PROPAGATION_LIMIT_MS
        {
            let events = [interval.from, began];
            self.findings.add(Invariant::LeavingGetsNothing, events);
        }
    }

    fn check_outage(&mut self, event: &Event, data_centre: &str) {
        let Some(interval) = self.index.outage_at(data_centre, event.at_ms) else {
            return;
        };
        let after_ms = event.at_ms - interval.from.at_ms;
        let summary = &mut self.findings.summary;
        summary.out_last_packet_s = summary.out_last_packet_s.max(after_ms as f64 / 1000.0);
        if after_ms > PROPAGATION_LIMIT_MS {
            let events = [interval.from, event];
            self.findings.add(Invariant::DataCentreEmpty, events);
        }
    }
}

//! Tests the history checker: it reports nothing on a valid history, and the right
//! events on one that violates an invariant.

use std::fs;
use std::net::SocketAddr;
use std::process::Command;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use ramplab::check::CheckReport;
use ramplab::check::Invariant;
use ramplab::check::check_history;
use ramplab::history::AnswerCheck;
use ramplab::history::Change;
use ramplab::history::Event;
use ramplab::history::EventData;
use ramplab::history::FlowEnd;
use ramplab::history::ReportedOutcome;
use ramplab::history::RequestKind;
use ramplab::history::merge;

/// Builds a history event by event.
#[derive(Default)]
struct HistoryBuilder(Vec<Event>);

impl HistoryBuilder {
    fn at(mut self, at_ms: u64, source: &str, what: EventData) -> HistoryBuilder {
        let seq = self.0.len() as u64 + 1;
        let source = source.to_string();
        self.0.push(Event {
            at_ms,
            source,
            seq,
            what,
        });
        self
    }

    fn check(self) -> CheckReport {
        check_history(&merge([self.0]))
    }

    /// Checks the history, and asserts that exactly this invariant is violated and
    /// that the events reported for it have these times.
    fn expect_violation(self, invariant: Invariant, times: &[u64]) {
        let report = self.check();
        let [violation] = &report.violations[..] else {
            panic!("not one violation: {:#?}", report.violations);
        };
        let shown_at_ms: Vec<u64> = violation.events.iter().map(|e| e.at_ms).collect();
        assert_eq!((violation.invariant, &shown_at_ms[..]), (invariant, times));
    }
}

fn addr(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn started(service: &str, data_centre: &str) -> EventData {
    EventData::ServerStarted {
        service: service.to_string(),
        data_centre: data_centre.to_string(),
        slots: 5,
    }
}

fn sent(id: &str, attempt: &str, kind: RequestKind) -> EventData {
    EventData::RequestSent {
        request: id.to_string(),
        attempt: attempt.to_string(),
        kind,
        service: "ledger".to_string(),
    }
}

fn began(id: &str, attempt: &str, kind: RequestKind, in_progress: u32, bears: u32) -> EventData {
    EventData::Began {
        request: id.to_string(),
        attempt: attempt.to_string(),
        kind,
        meant_for: "ledger".to_string(),
        in_progress,
        bears,
    }
}

fn ran(id: &str, attempt: &str) -> EventData {
    EventData::Ran {
        request: id.to_string(),
        attempt: attempt.to_string(),
    }
}

fn ended(id: &str, attempt: &str, told: ReportedOutcome, answer: AnswerCheck) -> EventData {
    EventData::RequestEnded {
        request: id.to_string(),
        attempt: attempt.to_string(),
        told,
        answer,
        server: Some("s1".to_string()),
        took_ms: 20,
    }
}

fn flow_opened(port: u16) -> EventData {
    EventData::FlowOpened {
        flow: addr(port),
        service: "ledger".to_string(),
    }
}

fn flow_ended(port: u16, server: Option<&str>, end: FlowEnd) -> EventData {
    EventData::FlowEnded {
        flow: addr(port),
        server: server.map(str::to_string),
        end,
    }
}

fn fabric_record(port: u16, owner: u16) -> EventData {
    EventData::FlowCarried {
        flow: addr(port),
        established: true,
        owner: Some(addr(owner)),
    }
}

fn published(version: u64, change: Change) -> EventData {
    EventData::Published { version, change }
}

fn config_seen(version: u64) -> EventData {
    EventData::ConfigSeen {
        process: "b1".to_string(),
        version,
    }
}

/// Valid history: two servers of one service in two data centres and one of another
/// service; a claim that is refused and then served; a data centre that is taken out
/// and returned.
fn valid_history() -> HistoryBuilder {
    let (out, returned) = ("east".to_string(), "east".to_string());
    let listed = |name: &str, port, data_centre: &str| EventData::AgentListed {
        server: name.to_string(),
        address: addr(port),
        data_centre: data_centre.to_string(),
    };
    HistoryBuilder::default()
        .at(1, "s1", started("ledger", "west"))
        .at(1, "s2", started("ledger", "east"))
        .at(1, "s3", started("intake", "west"))
        .at(2, "operators", listed("s1", 1, "west"))
        .at(2, "operators", listed("s2", 2, "east"))
        .at(10, "load", flow_opened(100))
        .at(11, "load", sent("c1", "1", RequestKind::Claim))
        .at(
            12,
            "load",
            ended("c1", "1", ReportedOutcome::NotRun, AnswerCheck::Absent),
        )
        .at(20, "load", sent("c1", "2", RequestKind::Claim))
        .at(21, "s1", began("c1", "2", RequestKind::Claim, 1, 5))
        .at(21, "s1", ran("c1", "2"))
        .at(
            41,
            "load",
            ended("c1", "2", ReportedOutcome::Served, AnswerCheck::Right),
        )
        .at(50, "load", flow_ended(100, Some("s1"), FlowEnd::Closed))
        .at(100, "b1", config_seen(1))
        .at(1000, "operators", published(2, Change::DataCentreOut(out)))
        .at(1500, "operators", EventData::PacketAt { address: addr(2) })
        .at(2000, "b1", config_seen(2))
        .at(
            9000,
            "operators",
            published(3, Change::DataCentreIn(returned)),
        )
        .at(9500, "operators", EventData::PacketAt { address: addr(2) })
        .at(9900, "b1", config_seen(3))
}

#[test]
fn a_valid_history_passes_and_is_counted() {
    let report = valid_history().check();
    assert_eq!(report.violations, []);
    let summary = report.summary;
    assert_eq!((summary.flows_opened, summary.flows_broken), (1, 0));
    assert_eq!(
        (summary.requests_sent, summary.served, summary.not_run),
        (2, 1, 1)
    );
    assert_eq!(summary.out_last_packet_s, 0.5);
}

#[test]
fn a_flow_broken_in_a_data_centre_that_is_in() {
    valid_history()
        .at(1200, "load", flow_opened(7))
        .at(1300, "fabric", fabric_record(7, 1))
        .at(1301, "load", flow_ended(7, Some("s1"), FlowEnd::Broken))
        .expect_violation(Invariant::FlowKept, &[1200, 1300, 1301]);
}

#[test]
fn a_flow_opened_after_an_outage_may_not_break_because_of_it() {
    valid_history()
        .at(9600, "load", flow_opened(7))
        .at(9700, "load", flow_ended(7, Some("s2"), FlowEnd::Gap))
        .expect_violation(Invariant::FlowKept, &[9600, 9700]);
}

#[test]
fn flows_given_up_lost_or_refused_are_counted_separately() {
    let refused = EventData::FlowCarried {
        flow: addr(9),
        established: false,
        owner: None,
    };
    let killed = EventData::Killed {
        process: "s1".to_string(),
    };
    let report = valid_history()
        .at(900, "load", flow_opened(7))
        .at(1100, "fabric", fabric_record(7, 2))
        .at(1101, "load", flow_ended(7, None, FlowEnd::Broken))
        .at(9500, "load", flow_opened(8))
        .at(9600, "operators", killed)
        .at(9700, "load", flow_ended(8, Some("s1"), FlowEnd::Broken))
        .at(9800, "load", flow_opened(9))
        .at(9801, "fabric", refused)
        .at(9802, "load", flow_ended(9, None, FlowEnd::Broken))
        .check();
    assert_eq!(report.violations, []);
    let s = report.summary;
    assert_eq!((s.flows_given_up, s.flows_lost, s.flows_refused), (1, 1, 1));
}

#[test]
fn a_claim_that_runs_twice() {
    valid_history()
        .at(60, "load", sent("c1", "3", RequestKind::Claim))
        .at(61, "s2", began("c1", "3", RequestKind::Claim, 1, 5))
        .at(62, "s2", ran("c1", "3"))
        .at(
            63,
            "load",
            ended("c1", "3", ReportedOutcome::Served, AnswerCheck::Right),
        )
        .expect_violation(Invariant::RunsOnce, &[21, 62]);
}

#[test]
fn a_balance_may_run_twice() {
    let report = valid_history()
        .at(60, "load", sent("b", "3", RequestKind::Balance))
        .at(61, "s1", began("b", "3", RequestKind::Balance, 1, 5))
        .at(61, "s1", ran("b", "3"))
        .at(62, "s2", began("b", "3", RequestKind::Balance, 1, 5))
        .at(62, "s2", ran("b", "3"))
        .at(
            63,
            "load",
            ended("b", "3", ReportedOutcome::Served, AnswerCheck::Right),
        )
        .check();
    assert_eq!(report.violations, []);
}

#[test]
fn a_request_reported_as_not_run_though_it_reached_a_server() {
    valid_history()
        .at(60, "load", sent("c2", "3", RequestKind::Claim))
        .at(61, "s1", began("c2", "3", RequestKind::Claim, 1, 5))
        .at(
            63,
            "load",
            ended("c2", "3", ReportedOutcome::NotRun, AnswerCheck::Absent),
        )
        .expect_violation(Invariant::NotRunIsTrue, &[60, 61, 63]);
}

#[test]
fn a_response_that_is_not_the_expected_one() {
    valid_history()
        .at(60, "load", sent("b", "3", RequestKind::Balance))
        .at(
            63,
            "load",
            ended("b", "3", ReportedOutcome::Served, AnswerCheck::Wrong),
        )
        .expect_violation(Invariant::RightAnswer, &[60, 63]);
}

#[test]
fn a_request_reported_as_served_though_it_never_ran() {
    valid_history()
        .at(60, "load", sent("c2", "3", RequestKind::Claim))
        .at(
            63,
            "load",
            ended("c2", "3", ReportedOutcome::Served, AnswerCheck::Absent),
        )
        .expect_violation(Invariant::RightAnswer, &[60, 63]);
}

#[test]
fn a_request_at_a_server_of_another_service() {
    valid_history()
        .at(60, "load", sent("b", "3", RequestKind::Balance))
        .at(61, "s3", began("b", "3", RequestKind::Balance, 1, 5))
        .expect_violation(Invariant::RightService, &[60, 61]);
}

#[test]
fn a_cold_server_above_its_limit() {
    let cold = |without_warning| EventData::TurnedCold { without_warning };
    valid_history()
        .at(60, "s1", cold(false))
        .at(61, "s1", began("b", "3", RequestKind::Balance, 2, 1))
        .at(62, "s1", began("b", "4", RequestKind::Balance, 3, 1))
        .expect_violation(Invariant::ColdBearable, &[60, 62]);
    valid_history()
        .at(60, "s1", cold(true))
        .at(70, "s1", began("b", "3", RequestKind::Balance, 4, 1))
        .at(3000, "s1", began("b", "4", RequestKind::Balance, 3, 1))
        .expect_violation(Invariant::ColdBearable, &[60, 3000]);
}

#[test]
fn a_packet_or_request_to_a_data_centre_that_is_out() {
    valid_history()
        .at(5001, "operators", EventData::PacketAt { address: addr(2) })
        .expect_violation(Invariant::DataCentreEmpty, &[1000, 5001]);
    valid_history()
        .at(6000, "s2", began("b", "3", RequestKind::Balance, 1, 5))
        .expect_violation(Invariant::DataCentreEmpty, &[1000, 6000]);
}

#[test]
fn new_work_at_a_draining_server() {
    let leaving = Change::ServerLeaving("s1".to_string());
    valid_history()
        .at(10_000, "operators", published(3, leaving))
        .at(13_000, "s1", began("b", "3", RequestKind::Balance, 1, 5))
        .at(14_001, "s1", began("b", "4", RequestKind::Balance, 1, 5))
        .expect_violation(Invariant::LeavingGetsNothing, &[10_000, 14_001]);
}

#[test]
fn a_configuration_that_reverts_or_comes_late() {
    valid_history()
        .at(10_000, "b1", config_seen(2))
        .expect_violation(Invariant::ConfigHolds, &[9900, 10_000]);
    let returned = Change::ServerIn("s1".to_string());
    valid_history()
        .at(10_000, "operators", published(4, returned))
        .at(14_001, "b1", config_seen(3))
        .expect_violation(Invariant::ConfigHolds, &[10_000, 14_001]);
}

#[test]
fn the_command_prints_the_events_and_fails() {
    let dir = std::env::temp_dir().join(format!("check-history-{}", std::process::id()));
    fs::create_dir_all(&dir).unwrap();
    let file = dir.join("history");
    let run = |builder: HistoryBuilder| {
        let lines: Vec<String> = builder
            .0
            .iter()
            .map(|e| serde_json::json!(e).to_string())
            .collect();
        // A killed process may leave a partial last line, which must be ignored.
        fs::write(&file, lines.join("\n") + "\n{\"at_ms\":").unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_ramplab"))
            .arg("check-history")
            .arg(&file)
            .output()
            .unwrap();
        (
            output.status.code(),
            String::from_utf8(output.stdout).unwrap(),
        )
    };
    let (code, text) = run(valid_history());
    assert_eq!((code, text.lines().count()), (Some(0), 1));
    let (code, text) = run(valid_history().at(60, "s2", ran("c1", "2")));
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!((code, lines.len()), (Some(1), 4));
    let summary: serde_json::Value = serde_json::from_str(lines[3]).unwrap();
    assert_eq!(summary["run_twice"], 1);
    fs::remove_dir_all(&dir).unwrap();
}

/// Random events of several sources, many of them with equal timestamps.
#[derive(Clone, Debug)]
struct Histories(Vec<Vec<Event>>);

impl Arbitrary for Histories {
    fn arbitrary(g: &mut Gen) -> Histories {
        let count = usize::arbitrary(g) % 4 + 1;
        let history = |source: usize, g: &mut Gen| {
            let events = Vec::<u8>::arbitrary(g);
            let mut builder = HistoryBuilder::default();
            for (number, byte) in events.iter().enumerate() {
                let at_ms = number as u64 / 3 * 1500;
                builder = builder.at(at_ms, &format!("s{source}"), event_data(*byte));
            }
            builder.0
        };
        Histories((0..count).map(|source| history(source, g)).collect())
    }
}

fn event_data(byte: u8) -> EventData {
    let id = (byte / 16 % 4).to_string();
    let name = format!("s{}", byte / 16 % 4);
    match byte % 16 {
        0 => started("ledger", &name),
        1 => sent(&id, &id, RequestKind::Claim),
        2 => began(&id, &id, RequestKind::Claim, 3, u32::from(byte / 64)),
        3 | 4 => ran(&id, &id),
        5 => ended(&id, &id, ReportedOutcome::NotRun, AnswerCheck::Absent),
        6 => ended(&id, &id, ReportedOutcome::Served, AnswerCheck::Wrong),
        7 => flow_opened(1),
        8 => fabric_record(1, 2),
        9 => flow_ended(1, Some(&name), FlowEnd::Broken),
        10 => published(u64::from(byte / 16), Change::DataCentreOut(name)),
        11 => published(u64::from(byte / 16), Change::DataCentreIn(name)),
        12 => published(u64::from(byte / 16), Change::ServerLeaving(name)),
        13 => config_seen(u64::from(byte / 16)),
        14 => EventData::TurnedCold {
            without_warning: byte >= 128,
        },
        _ => EventData::FellOver,
    }
}

#[test]
fn the_order_of_histories_and_events_makes_no_difference() {
    fn property(histories: Histories, rotation: usize) -> bool {
        let Histories(mut histories) = histories;
        let before = check_history(&merge(histories.clone()));
        let len = histories.len();
        histories.rotate_left(rotation % len);
        for history in &mut histories {
            history.reverse();
        }
        before == check_history(&merge(histories))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 11))
        .tests(300)
        .quickcheck(property as fn(Histories, usize) -> bool);
}

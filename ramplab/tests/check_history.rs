//! The history check: silent on a clean history, and loud on one with a
//! planted violation of each promise.

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
struct Story(Vec<Event>);

impl Story {
    fn at(mut self, at_ms: u64, source: &str, what: EventData) -> Story {
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

    fn judge(self) -> CheckReport {
        check_history(&merge([self.0]))
    }

    /// Judges, and checks that just this promise was broken, shown by events
    /// at these times.
    fn breaks(self, invariant: Invariant, times: &[u64]) {
        let judgement = self.judge();
        let [violation] = &judgement.violations[..] else {
            panic!("not one violation: {:#?}", judgement.violations);
        };
        let shown: Vec<u64> = violation.events.iter().map(|e| e.at_ms).collect();
        assert_eq!((violation.invariant, &shown[..]), (invariant, times));
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

fn carried(port: u16, owner: u16) -> EventData {
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

/// Two servers of one service in two data centres, a third of another; one
/// claim served, after a refusal; one data centre out and back.
fn clean() -> Story {
    let (out, back) = ("east".to_string(), "east".to_string());
    let listed = |name: &str, port, data_centre: &str| EventData::AgentListed {
        server: name.to_string(),
        address: addr(port),
        data_centre: data_centre.to_string(),
    };
    Story::default()
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
        .at(9000, "operators", published(3, Change::DataCentreIn(back)))
        .at(9500, "operators", EventData::PacketAt { address: addr(2) })
        .at(9900, "b1", config_seen(3))
}

#[test]
fn a_clean_history_passes_and_is_counted() {
    let judgement = clean().judge();
    assert_eq!(judgement.violations, []);
    let summary = judgement.summary;
    assert_eq!((summary.flows_opened, summary.flows_broken), (1, 0));
    assert_eq!(
        (summary.requests_sent, summary.served, summary.not_run),
        (2, 1, 1)
    );
    assert_eq!(summary.out_last_packet_s, 0.5);
}

#[test]
fn a_flow_broken_in_a_data_centre_that_is_in() {
    clean()
        .at(1200, "load", flow_opened(7))
        .at(1300, "fabric", carried(7, 1))
        .at(1301, "load", flow_ended(7, Some("s1"), FlowEnd::Broken))
        .breaks(Invariant::FlowKept, &[1200, 1300, 1301]);
}

#[test]
fn a_flow_opened_after_the_return_is_not_excused_by_the_outage() {
    clean()
        .at(9600, "load", flow_opened(7))
        .at(9700, "load", flow_ended(7, Some("s2"), FlowEnd::Gap))
        .breaks(Invariant::FlowKept, &[9600, 9700]);
}

#[test]
fn flows_given_up_lost_or_refused_count_apart() {
    let refused = EventData::FlowCarried {
        flow: addr(9),
        established: false,
        owner: None,
    };
    let killed = EventData::Killed {
        process: "s1".to_string(),
    };
    let judgement = clean()
        .at(900, "load", flow_opened(7))
        .at(1100, "fabric", carried(7, 2))
        .at(1101, "load", flow_ended(7, None, FlowEnd::Broken))
        .at(9500, "load", flow_opened(8))
        .at(9600, "operators", killed)
        .at(9700, "load", flow_ended(8, Some("s1"), FlowEnd::Broken))
        .at(9800, "load", flow_opened(9))
        .at(9801, "fabric", refused)
        .at(9802, "load", flow_ended(9, None, FlowEnd::Broken))
        .judge();
    assert_eq!(judgement.violations, []);
    let s = judgement.summary;
    assert_eq!((s.flows_given_up, s.flows_lost, s.flows_refused), (1, 1, 1));
}

#[test]
fn a_claim_that_runs_twice() {
    clean()
        .at(60, "load", sent("c1", "3", RequestKind::Claim))
        .at(61, "s2", began("c1", "3", RequestKind::Claim, 1, 5))
        .at(62, "s2", ran("c1", "3"))
        .at(
            63,
            "load",
            ended("c1", "3", ReportedOutcome::Served, AnswerCheck::Right),
        )
        .breaks(Invariant::RunsOnce, &[21, 62]);
}

#[test]
fn a_balance_may_run_twice() {
    let judgement = clean()
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
        .judge();
    assert_eq!(judgement.violations, []);
}

#[test]
fn told_as_not_run_though_it_reached_a_server() {
    clean()
        .at(60, "load", sent("c2", "3", RequestKind::Claim))
        .at(61, "s1", began("c2", "3", RequestKind::Claim, 1, 5))
        .at(
            63,
            "load",
            ended("c2", "3", ReportedOutcome::NotRun, AnswerCheck::Absent),
        )
        .breaks(Invariant::NotRunIsTrue, &[60, 61, 63]);
}

#[test]
fn wrong_bytes_or_another_ones_answer() {
    clean()
        .at(60, "load", sent("b", "3", RequestKind::Balance))
        .at(
            63,
            "load",
            ended("b", "3", ReportedOutcome::Served, AnswerCheck::Wrong),
        )
        .breaks(Invariant::RightAnswer, &[60, 63]);
}

#[test]
fn told_as_served_though_it_never_ran() {
    clean()
        .at(60, "load", sent("c2", "3", RequestKind::Claim))
        .at(
            63,
            "load",
            ended("c2", "3", ReportedOutcome::Served, AnswerCheck::Absent),
        )
        .breaks(Invariant::RightAnswer, &[60, 63]);
}

#[test]
fn a_request_at_a_server_of_another_service() {
    clean()
        .at(60, "load", sent("b", "3", RequestKind::Balance))
        .at(61, "s3", began("b", "3", RequestKind::Balance, 1, 5))
        .breaks(Invariant::RightService, &[60, 61]);
}

#[test]
fn a_cold_server_with_more_than_it_bears() {
    let cold = |without_warning| EventData::TurnedCold { without_warning };
    clean()
        .at(60, "s1", cold(false))
        .at(61, "s1", began("b", "3", RequestKind::Balance, 2, 1))
        .at(62, "s1", began("b", "4", RequestKind::Balance, 3, 1))
        .breaks(Invariant::ColdBearable, &[60, 62]);
    clean()
        .at(60, "s1", cold(true))
        .at(70, "s1", began("b", "3", RequestKind::Balance, 4, 1))
        .at(3000, "s1", began("b", "4", RequestKind::Balance, 3, 1))
        .breaks(Invariant::ColdBearable, &[60, 3000]);
}

#[test]
fn a_packet_or_request_to_a_data_centre_that_is_out() {
    clean()
        .at(5001, "operators", EventData::PacketAt { address: addr(2) })
        .breaks(Invariant::DataCentreEmpty, &[1000, 5001]);
    clean()
        .at(6000, "s2", began("b", "3", RequestKind::Balance, 1, 5))
        .breaks(Invariant::DataCentreEmpty, &[1000, 6000]);
}

#[test]
fn new_work_at_a_leaving_server() {
    let leaving = Change::ServerLeaving("s1".to_string());
    clean()
        .at(10_000, "operators", published(3, leaving))
        .at(13_000, "s1", began("b", "3", RequestKind::Balance, 1, 5))
        .at(14_001, "s1", began("b", "4", RequestKind::Balance, 1, 5))
        .breaks(Invariant::LeavingGetsNothing, &[10_000, 14_001]);
}

#[test]
fn a_configuration_that_reverts_or_comes_late() {
    clean()
        .at(10_000, "b1", config_seen(2))
        .breaks(Invariant::ConfigHolds, &[9900, 10_000]);
    let back = Change::ServerIn("s1".to_string());
    clean()
        .at(10_000, "operators", published(4, back))
        .at(14_001, "b1", config_seen(3))
        .breaks(Invariant::ConfigHolds, &[10_000, 14_001]);
}

#[test]
fn the_command_prints_the_events_and_fails() {
    let dir = std::env::temp_dir().join(format!("check-history-{}", std::process::id()));
    fs::create_dir_all(&dir).unwrap();
    let file = dir.join("history");
    let run = |story: Story| {
        let lines: Vec<String> = story
            .0
            .iter()
            .map(|e| serde_json::json!(e).to_string())
            .collect();
        // A last line cut short by a kill is no fault.
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
    let (code, text) = run(clean());
    assert_eq!((code, text.lines().count()), (Some(0), 1));
    let (code, text) = run(clean().at(60, "s2", ran("c1", "2")));
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!((code, lines.len()), (Some(1), 4));
    let summary: serde_json::Value = serde_json::from_str(lines[3]).unwrap();
    assert_eq!(summary["run_twice"], 1);
    fs::remove_dir_all(&dir).unwrap();
}

/// Events of several sources, many of them at the same moment.
#[derive(Clone, Debug)]
struct Histories(Vec<Vec<Event>>);

impl Arbitrary for Histories {
    fn arbitrary(g: &mut Gen) -> Histories {
        let count = usize::arbitrary(g) % 4 + 1;
        let history = |source: usize, g: &mut Gen| {
            let events = Vec::<u8>::arbitrary(g);
            let mut story = Story::default();
            for (number, byte) in events.iter().enumerate() {
                let at_ms = number as u64 / 3 * 1500;
                story = story.at(at_ms, &format!("s{source}"), what(*byte));
            }
            story.0
        };
        Histories((0..count).map(|source| history(source, g)).collect())
    }
}

fn what(byte: u8) -> EventData {
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
        8 => carried(1, 2),
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
    fn property(histories: Histories, turns: usize) -> bool {
        let Histories(mut histories) = histories;
        let before = check_history(&merge(histories.clone()));
        let len = histories.len();
        histories.rotate_left(turns % len);
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

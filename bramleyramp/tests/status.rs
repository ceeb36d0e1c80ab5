//! Tests of `bramleyramp status` against fake processes: when it reports one version
//! as in force everywhere, and what prevents that.

mod fake_process;

use std::time::Duration;

use ramp_protocol::message::Warmth;
use ramp_protocol::operator::Drain;
use ramp_protocol::operator::Readiness;
use ramp_protocol::operator::RefusedDocument;
use ramp_state::key::Version;

use crate::fake_process::FakeProcess;
use crate::fake_process::bramleyramp;
use crate::fake_process::platform;
use crate::fake_process::run_on;
use crate::fake_process::unused_address;

/// Minimal valid fleet document.
const FLEET: &str = "[service ledger]\naddress = 10.9.0.1:80\n";

#[test]
fn one_version_everywhere_is_in_force() {
    let processes = [first().start(), second().start()];
    let run = run_on("status", &processes, &[]);
    assert_eq!(run.code, 0, "{}", run.out);
    let words = "IN FORCE: version 7 everywhere, 2 of 2 processes answered";
    assert!(run.out.contains(words), "{}", run.out);
}

#[test]
fn an_older_version_is_named_and_breaks_agreement() {
    let mut behind = second();
    behind.status.config = Version(6);
    assert_not_in_force(behind, "ledger-2 has version 6, others have 7");
}

#[test]
fn a_process_without_configuration_breaks_agreement() {
    let mut new = second();
    new.status.config = Version(0);
    assert_not_in_force(new, "ledger-2 has no configuration yet");
}

#[test]
fn a_process_that_holds_traffic_breaks_agreement() {
    let mut held = second();
    held.status.readiness = Readiness::Held;
    assert_not_in_force(held, "ledger-2 holds traffic");
}

#[test]
fn a_process_that_does_not_answer_breaks_agreement() {
    let run = run_on("status", &[first().start(), unused_address(1)], &[]);
    assert_eq!(run.code, 1, "{}", run.out);
    assert!(run.out.contains("did not answer"), "{}", run.out);
    assert!(run.out.contains("1 of 2 processes"), "{}", run.out);
}

#[test]
fn a_refused_document_is_named_and_the_last_good_one_is_in_force() {
    let mut refusing = second();
    refusing.status.refused = Some(RefusedDocument {
        version: Version(8),
        why: "line 3: no reason".to_string(),
    });
    let run = run_on("status", &[first().start(), refusing.start()], &[]);
    assert_eq!(run.code, 0, "{}", run.out);
    let words = "ledger-2 refused document version 8: line 3: no reason";
    assert!(run.out.contains(words), "{}", run.out);
}

#[test]
fn a_platform_ahead_of_all_processes_breaks_agreement() {
    let mut behind = FakeProcess::agent("entry-1", "north");
    behind.status.config = Version(6);
    let process = behind.start().to_string();
    let platform = platform(FLEET.to_string(), String::new()).to_string();
    let run = bramleyramp(&["status", "--platform", &platform, "--process", &process]);
    assert_eq!(run.code, 1, "{}", run.out);
    let words = "the platform publishes version 7, which no process has";
    assert!(run.out.contains(words), "{}", run.out);
}

#[test]
fn a_stale_platform_is_named_and_breaks_nothing() {
    let mut ahead = FakeProcess::agent("entry-1", "north");
    ahead.status.config = Version(9);
    let process = ahead.start().to_string();
    let platform = platform(FLEET.to_string(), String::new()).to_string();
    let run = bramleyramp(&["status", "--platform", &platform, "--process", &process]);
    assert_eq!(run.code, 0, "{}", run.out);
    assert!(run.out.contains("stale"), "{}", run.out);
}

#[test]
fn a_faulty_document_of_the_platform_is_named_and_breaks_agreement() {
    let process = first().start().to_string();
    let platform = platform("[exception X]\n".to_string(), String::new()).to_string();
    let run = bramleyramp(&["status", "--platform", &platform, "--process", &process]);
    assert_eq!(run.code, 1, "{}", run.out);
    let words = "no fleet document from the platform: it has faults: line 1";
    assert!(run.out.contains(words), "{}", run.out);
}

#[test]
fn members_show_load_limits_and_the_views_of_others() {
    let mut one = first();
    let mut other = one.status.services[0].members[0].clone();
    other.name = "ledger-2".to_string();
    // The agent's own load takes precedence over what others last received from it.
    other.alive = false;
    one.status.services[0].members.push(other);
    let mut two = second();
    let load = two.status.services[0].members[0].load.as_mut().unwrap();
    load.warmth = Warmth::Cold;
    load.slots = 1;

    let (one, two) = (one.start(), two.start());
    let json = run_on("status", &[one, two], &["--json"]).json();
    let members = json["services"][0]["members"].as_array().unwrap();
    assert_eq!(members.len(), 2);
    let member = &members[1];
    assert_eq!(member["name"], "ledger-2");
    assert_eq!(member["known_by"], 2);
    assert_eq!(member["dead_for"], 1);
    assert_eq!(member["slots"], 5);
    assert_eq!(member["load"]["slots_now"], 1);
    assert_eq!(member["load"]["warmth"], "cold");
}

#[test]
fn drains_show_the_time_left() {
    let mut draining = second();
    draining.status.readiness = Readiness::Draining;
    draining.status.drains.push(Drain {
        server: "ledger-2".to_string(),
        flows: 1_200,
        in_progress: 3,
        time_left: Duration::from_secs(2_400),
    });
    let run = run_on("status", &[first().start(), draining.start()], &[]);
    assert_eq!(run.code, 0, "{}", run.out);
    let words = "ledger-2 has 1,200 flows and 3 requests in progress, 40 min left";
    assert!(run.out.contains(words), "{}", run.out);
}

#[test]
fn wrong_usage_is_refused() {
    for args in [&["status"][..], &["status", "--wide"]] {
        let run = bramleyramp(args);
        assert_eq!(run.code, 2, "{args:?}: {}", run.err);
    }
}

fn first() -> FakeProcess {
    FakeProcess::agent("ledger-1", "north")
}

fn second() -> FakeProcess {
    FakeProcess::agent("ledger-2", "south")
}

fn assert_not_in_force(second: FakeProcess, words: &str) {
    let run = run_on("status", &[first().start(), second.start()], &[]);
    assert_eq!(run.code, 1, "{}", run.out);
    assert!(run.out.starts_with("NOT IN FORCE"), "{}", run.out);
    assert!(run.out.contains(words), "{}", run.out);
}

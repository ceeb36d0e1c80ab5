//! Tests of real balancer and agent processes on loopback, with a fake of the users'
//! platform: its store, routers, callers and backend servers.

#[path = "../../../platform/tests/fake_store/mod.rs"]
mod fake_store;
mod fixture;
#[path = "../harness/mod.rs"]
mod harness;
mod signals;

use std::time::Duration;

use fake_store::StoreBehavior;
use fake_store::configuration_entry;
use fixture::Answer;
use fixture::Fleet;
use fixture::ServerBehavior;

#[test]
fn a_request_goes_from_end_to_end() {
    let fleet = Fleet::start(2);
    let mut flow = fleet.open(1001);
    assert_eq!(flow.request("r-1"), Answer::Status(200));
    assert_eq!(flow.request("r-2"), Answer::Status(200));
}

#[test]
fn a_balancer_that_was_killed_loses_no_flow() {
    let mut fleet = Fleet::start(3);
    let mut flows: Vec<_> = (0..8).map(|n| fleet.open(1100 + n)).collect();
    fleet.kill("balancer");
    fleet.start_balancer();
    for flow in &mut flows {
        assert_eq!(flow.request("r-3"), Answer::Status(200));
    }
}

// Guards against every process of a starting fleet calling the platform.
#[test]
fn a_process_that_starts_beside_a_reader_does_not_list_the_platform() {
    let mut fleet = Fleet::start(2);
    let before = fleet.store.listings();
    for _ in 0..3 {
        fleet.kill("agent-1");
        fleet.start_agent(1);
    }
    assert_eq!(fleet.store.listings(), before);
    let mut flow = fleet.open(1151);
    assert_eq!(flow.request("r-3"), Answer::Status(200));
}

#[test]
fn an_agent_that_was_killed_finds_its_flows_again() {
    let mut fleet = Fleet::start(1);
    let mut flow = fleet.open(1201);
    fleet.kill("agent-1");
    fleet.start_agent(1);
    assert_eq!(flow.request("r-4"), Answer::Status(200));
}

#[test]
fn a_new_configuration_is_followed_and_a_dropped_route_resets() {
    let fleet = Fleet::start(1);
    let mut flow = fleet.open(1301);
    fleet
        .store
        .put("op/config", &configuration_entry(9, "other"));
    fleet.wait_for_log("balancer", &["configuration in force", "\"version\":9"]);
    assert_eq!(flow.request("r-5"), Answer::Status(200), "open flows stay");
    assert_eq!(fleet.try_open(1302), Answer::Reset, "nobody serves it now");
}

// A stopped server stays listed for seconds, until its record lapses.
#[test]
fn callers_of_a_stopped_server_are_reset_although_it_is_listed() {
    let fleet = Fleet::start(1);
    let mut flow = fleet.open(1351);
    assert_eq!(flow.request("r-9"), Answer::Status(200));
    fleet.set_servers(ServerBehavior::Stopped);
    assert_eq!(flow.request("r-10"), Answer::Reset);
    fleet.wait_for_log(
        "agent-1",
        &["no server takes connections", "\"lost_flows\":1"],
    );
}

#[test]
fn a_store_that_does_not_answer_does_not_stop_traffic() {
    let fleet = Fleet::start(2);
    let mut flow = fleet.open(1401);
    fleet.store.set_behavior(StoreBehavior::NoAnswer);
    std::thread::sleep(Duration::from_millis(2500));
    assert_eq!(flow.request("r-6"), Answer::Status(200));
    let mut new = fleet.open(1402);
    assert_eq!(new.request("r-7"), Answer::Status(200));
}

// Guards against flows that are cut, and drains and configurations that are lost,
// when the store returns from a copy that is some seconds old.
#[test]
fn a_store_restored_from_a_stale_copy_takes_nothing_back() {
    let fleet = Fleet::start(3);
    // As if the third server had registered after the copy was made.
    let copy = fleet.store.copy().without("servers/i-3");
    let mut flows: Vec<_> = (0..12).map(|n| fleet.open(2200 + n)).collect();
    fleet
        .store
        .put("op/config", &configuration_entry(9, "voucher"));
    fleet.write_server(1, "draining");
    for process in ["balancer", "agent-1", "agent-2", "agent-3"] {
        fleet.wait_for_log(process, &["configuration in force", "\"version\":9"]);
        fleet.wait_for_log(process, &["backend server listed", "draining"]);
    }
    fleet.store.set_behavior(StoreBehavior::Status(503));
    std::thread::sleep(Duration::from_millis(300));
    fleet.store.restore(&copy);
    fleet.store.set_behavior(StoreBehavior::Normal);
    for process in ["balancer", "agent-1", "agent-2", "agent-3"] {
        let line = fleet.wait_for_log(process, &["records of a new epoch of the store"]);
        assert_eq!(fixture::field(&line, "epoch"), "1");
        assert_eq!(fixture::field(&line, "held_drains"), "1", "{process}");
    }
    for flow in &mut flows {
        assert_eq!(flow.request("kept-1"), Answer::Status(200));
    }
    assert_eq!(fleet.agents_of_new_flows(2300..2330), [2, 3]);
    for (agent, state) in [(1, "draining"), (2, "ready"), (3, "ready")] {
        fleet.write_server(agent, state);
    }
    // Revisions of epoch 1 begin at 2 to the power of 48.
    let relisted = ["backend server listed", "\"revision\":2814749767"];
    fleet.wait_for_log("balancer", &relisted);
    for flow in &mut flows {
        assert_eq!(flow.request("kept-2"), Answer::Status(200));
    }
    let text = fleet.metrics("balancer");
    assert!(text.contains("passthrough_store_epoch 1"), "{text}");
    let no_step_back = fleet.find_log("balancer", &["configuration in force", "\"before\":9"]);
    assert_eq!(no_step_back, None);
}

/// Entries that another writer left among those of the servers, all at this address.
fn odd_entries(address: &str) -> Vec<String> {
    let whole = |version: &str, born: &str| {
        format!(
            r#"{{"Service":"voucher","Address":"{address}","Zone":"a","Version":{version},
            "Slots":5,"State":"ready","ColdLeftMs":0,"Sequence":4,"born":{born}}}"#
        )
    };
    let nested = format!("{}{}", "[".repeat(20_000), "]".repeat(20_000));
    let host = address.split(':').next().unwrap();
    vec![
        nested.clone(),
        whole(&nested, "1"),
        whole("\"v1\"", "1e999"),
        whole("\"v1\"", "18446744073709551615"),
        whole("\"v1\"", "1").replace(address, &format!("{host}:70000")),
    ]
}

// Guards against processes that end, or stop following the platform, because of an entry
// that is nested deeply, or with a number or a port out of range.
#[test]
fn odd_entries_among_those_of_the_servers_end_no_process() {
    let mut fleet = Fleet::start(2);
    let mut flow = fleet.open(2401);
    for (number, entry) in odd_entries(&fleet.server_address(1)).iter().enumerate() {
        fleet.store.put(&format!("servers/odd-{number}"), entry);
    }
    fleet.write_server(2, "draining");
    for process in ["balancer", "agent-1", "agent-2"] {
        fleet.wait_for_log(process, &["backend server listed", "draining"]);
    }
    assert_eq!(flow.request("odd-1"), Answer::Status(200));
    for process in ["balancer", "agent-1"] {
        fleet.kill(process);
    }
    fleet.start_agent(1);
    fleet.start_balancer();
    assert_eq!(flow.request("odd-2"), Answer::Status(200));
    assert_eq!(fleet.agents_of_new_flows(2410..2415), [1]);
}

#[test]
fn a_balancer_asked_to_end_is_not_ready_and_goes_on_until_nobody_sends() {
    let mut fleet = Fleet::start(1);
    let mut flow = fleet.open(1501);
    assert!(fleet.is_ready("balancer"));
    fleet.terminate("balancer");
    fleet.wait_for_log("balancer", &["asked to end"]);
    assert!(!fleet.is_ready("balancer"));
    assert_eq!(flow.request("r-8"), Answer::Status(200));
    assert!(fleet.wait_for_end("balancer").success());
    fleet.wait_for_log("balancer", &["stopped"]);
}

#[test]
fn the_cause_of_a_flow_that_was_cut_is_found_from_the_id_alone() {
    let fleet = Fleet::start(2);
    let mut flow = fleet.open(1601);
    fleet.set_servers(ServerBehavior::ForgetsFlows);
    assert_eq!(flow.request("cut-1"), Answer::Reset);
    let bounced = fleet.wait_for_log("agent", &["packet bounced by the server", "cut-1"]);
    let caller = fixture::field(&bounced, "caller");
    let reset = fleet.wait_for_log("balancer", &["caller reset", &caller]);
    assert_eq!(fixture::field(&reset, "reason"), "lost");
}

#[test]
fn the_cause_of_a_flow_that_was_refused_is_found_from_the_caller() {
    let fleet = Fleet::start(1);
    fleet.store.put("op/evacuate/a", "{}");
    fleet.wait_for_log("balancer", &["backend server listed", "evacuated"]);
    assert_eq!(fleet.try_open(1701), Answer::Reset);
    let reset = fleet.wait_for_log("balancer", &["caller reset", ":1701"]);
    assert_eq!(fixture::field(&reset, "reason"), "no_member");
}

#[test]
fn the_cause_of_a_request_that_was_never_answered_is_found_from_the_id_alone() {
    let fleet = Fleet::start(1);
    let mut flow = fleet.open(1801);
    fleet.set_servers(ServerBehavior::IgnoresRequests);
    assert_eq!(flow.request("mute-1"), Answer::Nothing);
    fleet.wait_for_log("agent", &["request not answered by the server", "mute-1"]);
}

#[test]
fn the_cause_of_a_failed_answer_is_found_from_the_id_alone() {
    let fleet = Fleet::start(1);
    let mut flow = fleet.open(1901);
    fleet.set_servers(ServerBehavior::Status503);
    assert_eq!(flow.request("bad-1"), Answer::Status(503));
    let line = fleet.wait_for_log("agent", &["failed answer of the server", "bad-1"]);
    assert_eq!(fixture::field(&line, "status"), "503");
}

#[test]
fn a_standard_output_that_is_not_read_or_closed_does_not_stop_traffic() {
    for output in [fixture::Output::NeverRead, fixture::Output::Closed] {
        let fleet = Fleet::start_with(1, output);
        for n in 0..1500 {
            fleet.send_unknown(2000 + n);
        }
        let mut flow = fleet.open(5001);
        assert_eq!(flow.request("r-9"), Answer::Status(200), "{output:?}");
    }
}

#[test]
fn metrics_count_decisions() {
    let fleet = Fleet::start(1);
    let mut flow = fleet.open(2101);
    flow.request("r-10");
    let text = fleet.metrics("balancer");
    assert!(
        text.contains("passthrough_balancer_placed_total 1"),
        "{text}"
    );
    assert!(text.contains("passthrough_balancer_opening_seconds{quantile=\"0.5\"}"));
    let text = fleet.metrics("agent-1");
    assert!(
        text.contains("passthrough_agent_answer_seconds_count"),
        "{text}"
    );
}

// Guards against an upload on a narrow link whose packets displace those of requests.
#[test]
fn an_upload_beyond_a_narrow_link_costs_no_request() {
    let mut fleet = Fleet::start(2);
    fleet.restart_balancer_with_link(4);
    let _upload = fleet.open(2001);
    for port in 2100..2120 {
        for n in 0..20 {
            fleet.upload(2001, 100 + n * 1200);
        }
        let mut flow = fleet.open(port);
        assert_eq!(flow.request("r-7"), Answer::Status(200));
    }
    let metrics = fleet.metrics("balancer");
    let dropped = |class| {
        let of_class = format!("egress_dropped_total{{class=\"{class}\",reason=\"full\"}} ");
        let line = metrics.lines().find_map(|l| l.split_once(&of_class));
        line.unwrap().1.parse::<u64>().unwrap()
    };
    assert!(dropped("bulk") > 0);
    assert_eq!(dropped("interactive") + dropped("control"), 0);
}

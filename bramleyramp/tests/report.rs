//! Tests of `bramleyramp report` against fake processes: its counts, burn rates and
//! callers, and how it reports missing data.

mod fake_process;

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::time::Duration;

use ramp_protocol::operator::Document;
use ramp_state::key::InstanceId;
use ramp_state::key::ServiceId;
use ramp_state::key::Version;
use ramp_state::ledger::Ledger;
use ramp_state::outcome::FlowEnd;
use ramp_state::outcome::Outcome;
use ramp_state::outcome::Record;
use ramp_state::verdict::MayHaveRun;
use ramp_state::verdict::NotRun;
use ramp_state::verdict::Verdict;
use serde_json::Value;

use crate::fake_process::FakeProcess;
use crate::fake_process::NOW;
use crate::fake_process::bramleyramp;
use crate::fake_process::listen;
use crate::fake_process::platform;
use crate::fake_process::run_on;
use crate::fake_process::unused_address;

const OVERLOADED: Verdict = Verdict::NotRun(NotRun::Overloaded);
const SERVER_LOST: Verdict = Verdict::MayHaveRun(MayHaveRun::ServerLost);

/// Starts two agents of one service that have events and the same fleet document.
fn two_agents() -> Vec<SocketAddrV4> {
    let (first, second) = (listen(), listen());
    let document = document(&[first.1, second.1]);

    let mut one = agent("ledger-1", "north", &document);
    requests(&mut one.ledger, 1, "ledger-1", Verdict::Served, 997);
    requests(&mut one.ledger, 1, "ledger-1", OVERLOADED, 3);
    count(&mut one.ledger, 1, "ledger-1", Outcome::FlowOpened);
    let given_up = Outcome::FlowEnded(FlowEnd::GivenUp);
    count(&mut one.ledger, 1, "ledger-1", given_up);

    let mut two = agent("ledger-2", "south", &document);
    requests(&mut two.ledger, 1, "ledger-2", Verdict::Served, 498);
    requests(&mut two.ledger, 2, "ledger-2", SERVER_LOST, 2);
    let lost = Outcome::FlowEnded(FlowEnd::OwnerLost);
    count(&mut two.ledger, 2, "ledger-2", lost);

    serve([(one, first), (two, second)])
}

#[test]
fn counts_of_all_processes_add_up_by_service_data_centre_server_and_caller() {
    let run = run_on("report", &two_agents(), &["--json"]);
    assert_eq!(run.code, 0, "{}", run.err);
    let report = run.json();
    assert_tally(&report["total"], [1_495, 3, 2, 1, 1, 1]);
    assert_tally(
        by_name(&report["services"], "ledger"),
        [1_495, 3, 2, 1, 1, 1],
    );
    assert_tally(
        by_name(&report["data_centres"], "north"),
        [997, 3, 0, 1, 1, 0],
    );
    assert_tally(
        by_name(&report["servers"], "ledger-2"),
        [498, 0, 2, 0, 0, 1],
    );
    let first = &report["callers"]["top"][0];
    assert_eq!(first["caller"], "10.0.0.1");
    assert_tally(first, [1_495, 3, 0, 1, 1, 0]);
    assert_eq!(first["up_to_more"], 0);
}

#[test]
fn reasons_are_typed_and_in_words() {
    let report = run_on("report", &two_agents(), &["--json"]).json();
    let why = &report["total"]["why"];
    assert_eq!(why[0]["what"], "not_run");
    assert_eq!(why[0]["reason"], NotRun::Overloaded.to_string());
    assert_eq!(why[0]["count"], 3);
    let all: Vec<&str> = why
        .as_array()
        .unwrap()
        .iter()
        .map(|w| w["what"].as_str().unwrap())
        .collect();
    assert_eq!(all, ["not_run", "may_have_run", "given_up", "broken"]);
}

#[test]
fn requests_left_by_callers_are_not_counted_as_cut() {
    let mut fake = FakeProcess::agent("ledger-1", "north");
    let left = Verdict::MayHaveRun(MayHaveRun::CallerLeft);
    requests(&mut fake.ledger, 1, "ledger-1", left, 4);
    let report = run_on("report", &[fake.start()], &["--json"]).json();
    assert_eq!(report["total"]["left"], 4);
    assert_eq!(report["total"]["may_have_run"], 0);
    assert_eq!(report["total"]["why"][0]["what"], "left");
}

#[test]
fn text_form_names_outcomes_and_reasons() {
    let run = run_on("report", &two_agents(), &[]);
    assert_eq!(run.code, 0, "{}", run.err);
    for words in [
        "2 of 2 processes answered, configuration version 7",
        "server ledger-1",
        "every backend server that could take it is busy: ledger 3",
        "the connection to the backend server broke: ledger 2",
        "its data centre was taken out: ledger 1",
        "no live agent knew it: ledger 1",
        "small-machine covers server ledger-2 (backend servers: 1), because: old hardware until <b>May",
        "slots 3 instead of 5 requests",
        "ledger requests served",
    ] {
        assert!(run.out.contains(words), "no `{words}` in:\n{}", run.out);
    }
}

#[test]
fn exceptions_show_what_they_changed_and_what_those_covered_got() {
    let report = run_on("report", &two_agents(), &["--json"]).json();
    let exceptions = &report["exceptions"];
    let small = by_name(exceptions, "small-machine");
    assert_eq!(small["servers"], 1);
    assert_eq!(small["changes"][0]["default"], 5);
    assert_eq!(small["changes"][0]["value"], 3);
    assert_eq!(small["changes"][0]["in_force_at"], 1);
    assert_tally(small, [498, 0, 2, 0, 0, 1]);
    // The exception for a server overrides that for its service.
    let whole = by_name(exceptions, "campaign");
    assert_eq!(whole["servers"], 2);
    assert_eq!(whole["changes"][0]["in_force_at"], 1);
}

#[test]
fn burn_rates_are_reported_with_their_alerts() {
    let report = run_on("report", &two_agents(), &["--json"]).json();
    let burn = report["burn"].as_array().unwrap();
    let line = |objective: &str| burn.iter().find(|l| l["objective"] == objective).unwrap();
    // 5 of 1,500 requests were not served; the objective allows 1.5.
    let served = line("served");
    assert_eq!(served["windows"][0]["bad"], 5);
    assert_close(&served["windows"][0]["rate"], 5.0 / 1.5);
    assert_close(&served["budget_left"], 1.0 - 5.0 / 1.5);
    let alerts = served["alerts"].as_array().unwrap();
    assert_eq!(alerts.len(), 1);
    assert_eq!(alerts[0]["page"], false);
    // One of two flows that ended was broken, which exceeds every alert threshold.
    assert_eq!(line("unbroken")["alerts"].as_array().unwrap().len(), 3);
    assert_eq!(line("answered")["alerts"].as_array().unwrap().len(), 0);
}

#[test]
fn burn_looks_back_over_each_window_by_the_objectives_of_each_server() {
    let (first, second) = (listen(), listen());
    let mut document = document(&[first.1, second.1]);
    // Answers take 20 ms, which is late only for the server of this exception.
    let strict = "[exception strict]\n\
                  covers = server ledger-2\n\
                  reason = a promise to one customer\n\
                  answer_objective_ms = 10\n";
    document.text.push_str(strict);
    let mut one = agent("ledger-1", "north", &document);
    let mut two = agent("ledger-2", "south", &document);
    let two_hours_ago = NOW - Duration::from_secs(2 * 3_600);
    for (ledger, server) in [(&mut one.ledger, "ledger-1"), (&mut two.ledger, "ledger-2")] {
        let outcome = Outcome::Request {
            verdict: Verdict::Served,
            took: Duration::from_millis(20),
        };
        ledger.add(two_hours_ago, &record(1, server, outcome));
    }
    let processes = serve([(one, first), (two, second)]);
    let report = run_on("report", &processes, &["--json"]).json();
    let burn = report["burn"].as_array().unwrap();
    let answered = burn.iter().find(|l| l["objective"] == "answered").unwrap();
    let windows = answered["windows"].as_array().unwrap();
    let counted: Vec<(u64, u64)> = windows
        .iter()
        .map(|w| (w["events"].as_u64().unwrap(), w["bad"].as_u64().unwrap()))
        .collect();
    assert_eq!(counted, [(0, 0), (0, 0), (0, 0), (2, 1), (2, 1)]);
}

#[test]
fn a_process_that_does_not_answer_makes_totals_at_least() {
    let mut processes = two_agents();
    let absent = unused_address(1);
    processes.push(absent);
    let run = run_on("report", &processes, &[]);
    assert_eq!(run.code, 0, "{}", run.err);
    assert!(run.out.contains("2 of 3 processes answered"), "{}", run.out);
    assert!(run.out.contains("everything, at least"), "{}", run.out);
    let named = format!("process at {absent} did not answer");
    assert!(run.out.contains(&named), "{}", run.out);
}

#[test]
fn processes_are_found_through_the_platform_without_gaps() {
    let (one, balancer) = (listen(), listen());
    let other = listen();
    let document = document(&[one.1, other.1]);
    let platform = platform(document.text.clone(), instances(balancer.1));
    serve([
        (agent("ledger-1", "north", &document), one),
        (agent("ledger-2", "south", &document), other),
        (agent("entry-1", "north", &document), balancer),
    ]);
    let address = platform.to_string();
    let run = bramleyramp(&["report", "--json", "--platform", &address]);
    assert_eq!(run.code, 0, "{}", run.err);
    let report = run.json();
    // The agents are in the fleet document, the balancer only in the list of
    // instances.
    assert_eq!(report["asked"], 3);
    assert_eq!(report["answered"], 3);
    assert_eq!(report["at_least"], false, "{}", report["gaps"]);
    assert_eq!(report["gaps"].as_array().unwrap().len(), 0);
}

#[test]
fn a_platform_that_is_down_is_named_and_the_processes_give_the_document() {
    let mut args = vec!["report", "--json"];
    let down = unused_address(1).to_string();
    let named = two_agents()[0].to_string();
    args.extend(["--platform", &down, "--process", &named]);
    let report = bramleyramp(&args).json();
    assert_eq!(report["config"], 7);
    assert_eq!(report["at_least"], true);
    let gaps = report["gaps"].to_string();
    assert!(gaps.contains("no_instance_list"), "{gaps}");
}

#[test]
fn many_gaps_of_a_kind_take_few_lines() {
    let silent: Vec<SocketAddrV4> = (0..30).map(unused_address).collect();
    let run = run_on("report", &silent, &[]);
    assert_eq!(run.out.matches("did not answer").count(), 5, "{}", run.out);
    assert!(run.out.contains("and 25 more like these"), "{}", run.out);
    let report = run_on("report", &silent, &["--json"]).json();
    let gaps = report["gaps"].to_string();
    assert_eq!(gaps.matches("no_answer").count(), 30);
}

#[test]
fn a_server_of_the_document_that_was_not_asked_is_named() {
    let processes = two_agents();
    let report = run_on("report", &processes[..1], &["--json"]).json();
    assert_eq!(report["at_least"], true);
    assert_gap(&report, "not_asked", "server", "ledger-2");
}

#[test]
fn a_process_that_started_within_the_window_is_named() {
    let mut fake = FakeProcess::agent("ledger-1", "north");
    fake.ledger = Ledger::new(NOW - Duration::from_secs(60));
    fake.status.uptime = Duration::from_secs(60);
    let process = [fake.start()];
    let report = run_on("report", &process, &["--json"]).json();
    assert_eq!(report["at_least"], true);
    assert_eq!(report["covered_ms"], 60_000);
    assert_gap(&report, "started_within", "process", "ledger-1");
    let narrow = run_on("report", &process, &["--json", "--window", "60s"]).json();
    let gaps = narrow["gaps"].to_string();
    assert!(!gaps.contains("started_within"), "{gaps}");
}

#[test]
fn dropped_detail_is_named_and_totals_stay_exact() {
    let mut fake = FakeProcess::agent("ledger-1", "north");
    for i in 0..100 {
        let server = format!("ledger-{i}");
        requests(&mut fake.ledger, 1, &server, Verdict::Served, 1);
    }
    let report = run_on("report", &[fake.start()], &["--json"]).json();
    assert_eq!(report["total"]["served"], 100);
    assert_gap(&report, "without_detail", "process", "ledger-1");
}

#[test]
fn lost_events_are_named_and_make_totals_at_least() {
    let mut fake = FakeProcess::agent("ledger-1", "north");
    fake.ledger.add_lost(NOW, 9);
    let report = run_on("report", &[fake.start()], &["--json"]).json();
    assert_gap(&report, "lost", "process", "ledger-1");
    assert_eq!(report["at_least"], true);
}

#[test]
fn without_a_document_counts_are_shown_and_the_gap_is_reported() {
    let mut fake = FakeProcess::agent("ledger-1", "north");
    requests(&mut fake.ledger, 1, "ledger-1", Verdict::Served, 4);
    let report = run_on("report", &[fake.start()], &["--json"]).json();
    assert_eq!(report["config"], Value::Null);
    // Without a document, names come from what processes report of themselves.
    assert_eq!(by_name(&report["servers"], "ledger-1")["served"], 4);
    assert_eq!(by_name(&report["data_centres"], "north")["served"], 4);
    let gaps = report["gaps"].to_string();
    assert!(gaps.contains("no_document"), "{gaps}");
    assert_eq!(report["burn"].as_array().unwrap().len(), 0);
}

#[test]
fn the_rest_of_the_callers_is_summed() {
    let mut fake = FakeProcess::agent("ledger-1", "north");
    for caller in 0..500_u32 {
        requests(&mut fake.ledger, caller, "ledger-1", Verdict::Served, 1);
    }
    requests(&mut fake.ledger, 77, "ledger-1", Verdict::Served, 400);
    let options = ["--json", "--callers", "1"];
    let report = run_on("report", &[fake.start()], &options).json();
    let top = report["callers"]["top"].as_array().unwrap();
    assert_eq!(top.len(), 1);
    assert_eq!(top[0]["caller"], "10.0.0.77");
    let own = top[0]["served"].as_u64().unwrap();
    let more = top[0]["up_to_more"].as_u64().unwrap();
    assert!(own <= 401 && own + more >= 401, "{own} and up to {more}");
    let others = report["callers"]["others"]["served"].as_u64().unwrap();
    assert_eq!(own + others, 900);
}

#[test]
fn the_page_is_self_contained_and_has_its_plots() {
    let file = std::env::temp_dir().join(format!("bramleyramp-{}.html", std::process::id()));
    let path = file.to_str().unwrap().to_string();
    let run = run_on("report", &two_agents(), &["--html", &path]);
    assert_eq!(run.code, 0, "{}", run.err);
    let page = fs::read_to_string(&file).unwrap();
    fs::remove_file(&file).unwrap();
    assert_eq!(page.matches("<svg").count(), 4);
    assert!(page.contains("ledger-2"));
    // The page loads nothing, and text from documents is escaped.
    for foreign in ["<script", "src=", "href=", "until <b"] {
        assert!(!page.contains(foreign), "{foreign}");
    }
    assert!(page.contains("until &lt;b&gt;May"));
}

#[test]
fn the_exit_code_is_1_when_no_process_answers() {
    let run = run_on("report", &[unused_address(1)], &[]);
    assert_eq!(run.code, 1);
    assert!(run.out.contains("0 of 1 processes answered"), "{}", run.out);
}

#[test]
fn wrong_usage_is_refused() {
    for args in [
        &["report"][..],
        &["report", "--process", "nowhere"],
        &["report", "--process", "127.0.0.1:1", "--window", "4d"],
        &["report", "--process", "127.0.0.1:1", "--window", "10"],
        &["report", "--process", "127.0.0.1:1", "--window", "é"],
        &["report", "--process", "127.0.0.1:1", "--wide"],
    ] {
        let run = bramleyramp(args);
        assert_eq!(run.code, 2, "{args:?}: {}", run.err);
        assert!(!run.err.contains("panicked"), "{}", run.err);
    }
}

fn agent(name: &str, data_centre: &str, document: &Document) -> FakeProcess {
    FakeProcess {
        document: Some(document.clone()),
        ..FakeProcess::agent(name, data_centre)
    }
}

fn serve(
    fakes: impl IntoIterator<Item = (FakeProcess, (TcpListener, SocketAddrV4))>,
) -> Vec<SocketAddrV4> {
    fakes
        .into_iter()
        .map(|(fake, (listener, address))| {
            fake.serve(listener);
            address
        })
        .collect()
}

fn document(controls: &[SocketAddrV4; 2]) -> Document {
    let text = format!(
        "[defaults]\n\
         slots = 5\n\
         [data-centre north]\n\
         region = east\n\
         [data-centre south]\n\
         region = east\n\
         [service ledger]\n\
         address = 10.9.0.1:80\n\
         [server ledger-1]\n\
         service = ledger\n\
         data_centre = north\n\
         agent = 127.0.0.1:1\n\
         control = {}\n\
         [server ledger-2]\n\
         service = ledger\n\
         data_centre = south\n\
         agent = 127.0.0.1:2\n\
         control = {}\n\
         [exception campaign]\n\
         covers = service ledger\n\
         reason = spring campaign\n\
         slots = 4\n\
         [exception small-machine]\n\
         covers = server ledger-2\n\
         reason = old hardware until <b>May\n\
         slots = 3\n",
        controls[0], controls[1]
    );
    Document {
        version: Version(7),
        text,
    }
}

fn instances(balancer: SocketAddrV4) -> String {
    format!(
        "[instance entry-1]\n\
         role = balancer\n\
         data_centre = north\n\
         address = 127.0.0.1:3\n\
         control = {balancer}\n\
         state = live\n"
    )
}

fn requests(ledger: &mut Ledger, caller: u32, server: &str, verdict: Verdict, times: u32) {
    let took = Duration::from_millis(20);
    for _ in 0..times {
        count(ledger, caller, server, Outcome::Request { verdict, took });
    }
}

fn count(ledger: &mut Ledger, caller: u32, server: &str, outcome: Outcome) {
    let at = NOW - Duration::from_secs(20);
    ledger.add(at, &record(caller, server, outcome));
}

fn record(caller: u32, server: &str, outcome: Outcome) -> Record {
    let ip = Ipv4Addr::from(u32::from(Ipv4Addr::new(10, 0, 0, 0)) + caller);
    Record {
        caller: SocketAddrV4::new(ip, 4_000),
        service: ServiceId::of("ledger"),
        server: Some(InstanceId::of(server)),
        outcome,
    }
}

fn by_name<'a>(lines: &'a Value, name: &str) -> &'a Value {
    let found = lines.as_array().unwrap().iter().find(|l| l["name"] == name);
    found.unwrap_or_else(|| panic!("no {name} in {lines}"))
}

fn assert_tally(line: &Value, want: [u64; 6]) {
    let keys = [
        "served",
        "not_run",
        "may_have_run",
        "flows",
        "given_up",
        "broken",
    ];
    let got = keys.map(|key| line[key].as_u64().unwrap());
    assert_eq!(got, want, "{line}");
}

fn assert_gap(report: &Value, kind: &str, key: &str, name: &str) {
    let gaps = report["gaps"].as_array().unwrap();
    let found = gaps.iter().any(|g| g["kind"] == kind && g[key] == name);
    assert!(found, "no {kind} of {name} in {gaps:?}");
}

fn assert_close(got: &Value, want: f64) {
    let got = got.as_f64().unwrap();
    assert!((got - want).abs() < 1e-9, "{got} is not {want}");
}

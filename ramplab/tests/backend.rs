//! Tests the simulated backend server's capacity and load reports, the load
//! generator's response checks, and both connected directly, without a load
//! balancer between them.

use std::fs;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use quickcheck::Gen;
use quickcheck::QuickCheck;
use ramplab::backend;
use ramplab::backend::Backend;
use ramplab::backend::capacity::Capacity;
use ramplab::backend::capacity::OVERLOAD_SLOWDOWN;
use ramplab::backend::capacity::StartResult;
use ramplab::backend::report::LoadReport;
use ramplab::backend::report::LoadReports;
use ramplab::check::check_history;
use ramplab::expected_response;
use ramplab::history;
use ramplab::history::Writer;
use ramplab::load;
use ramplab::load::LoadGenerator;
use ramplab::load::Target;
use ramplab::load::feed::FeedChecker;
use ramplab::load::feed::FeedEnd;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

#[test]
fn a_warm_server_takes_its_slots_and_no_more() {
    let mut capacity = Capacity::new(3, 10, false);
    for _ in 0..3 {
        assert_eq!(capacity.begin(), StartResult::Accepted);
    }
    assert_eq!(capacity.begin(), StartResult::Rejected);
    capacity.end(true);
    assert_eq!(capacity.begin(), StartResult::Accepted);
}

#[test]
fn a_cold_server_warms_by_finished_requests_only() {
    let mut capacity = Capacity::new(4, 8, true);
    let mut limits = Vec::new();
    for number in 0..16 {
        assert_eq!(capacity.begin(), StartResult::Accepted);
        // Every second request is abandoned, which must not count as warm-up.
        capacity.end(number % 2 == 0);
        limits.push(capacity.limit());
    }
    assert_eq!(limits, [1, 1, 2, 2, 2, 2, 3, 3, 3, 3, 4, 4, 4, 4, 4, 4]);
}

#[test]
fn a_cold_server_slows_down_and_then_crashes() {
    let mut capacity = Capacity::new(5, 50, true);
    assert_eq!(capacity.begin(), StartResult::Accepted);
    assert_eq!(capacity.slowdown(), 1);
    assert_eq!(capacity.begin(), StartResult::Overloaded);
    assert_eq!(capacity.slowdown(), OVERLOAD_SLOWDOWN);
    assert_eq!(capacity.begin(), StartResult::Overloaded);
    assert_eq!(capacity.begin(), StartResult::Crashed);
}

#[test]
fn load_reports_are_as_old_as_configured() {
    let start = Instant::now();
    let mut reports = LoadReports::new(Duration::from_secs(5));
    let mut reported = Vec::new();
    for second in 0..8 {
        let load = LoadReport {
            in_progress: second,
            ..LoadReport::default()
        };
        reports.record(start + Duration::from_secs(u64::from(second)), load);
        reported.push(reports.current().in_progress);
    }
    assert_eq!(reported, [0, 0, 0, 0, 0, 0, 1, 2]);
}

#[test]
fn a_feed_is_read_in_any_chunks_and_gaps_are_detected() {
    fn property(cuts: Vec<u8>, skipped: Option<u8>) -> bool {
        let skipped = skipped.map(|s| u64::from(s % 9 + 1));
        let mut bytes = String::new();
        for number in (1..=9).filter(|n| Some(*n) != skipped) {
            bytes += &format!("id: {number}\ndata: f {number}\n\n");
        }
        bytes += "event: end\ndata: end\n\n";
        let mut checker = FeedChecker::new("f");
        let mut rest = bytes.as_bytes();
        let mut end = None;
        for cut in cuts.iter().chain(&[255, 255]) {
            let (piece, after) = rest.split_at(rest.len().min(usize::from(*cut)));
            end = end.or_else(|| checker.push(piece));
            rest = after;
        }
        // A missing last event can't be told from an earlier end of the feed.
        let gap = skipped.is_some_and(|s| s < 9);
        end == Some(if gap {
            FeedEnd::Gap
        } else {
            FeedEnd::Completed
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 5))
        .tests(200)
        .quickcheck(property as fn(Vec<u8>, Option<u8>) -> bool);
}

#[test]
fn responses_depend_on_the_request_id_alone() {
    assert_eq!(
        expected_response::response_bytes("a", 1000),
        expected_response::response_bytes("a", 1000)
    );
    assert_eq!(
        expected_response::response_bytes("a", 10),
        expected_response::response_bytes("a", 1000)[..10]
    );
    assert_ne!(
        expected_response::response_bytes("a", 1000),
        expected_response::response_bytes("b", 1000)
    );
    let query = Some("id=7&attempt=3");
    assert_eq!(
        expected_response::query_parameter(query, "attempt"),
        Some("3")
    );
    assert_eq!(expected_response::query_parameter(query, "d"), None);
}

fn backend_config() -> backend::Config {
    backend::Config {
        name: "s1".to_string(),
        service: "ledger".to_string(),
        data_centre: "west".to_string(),
        slots: 50,
        max_connections: 100,
        service_time: Duration::from_millis(2),
        cold: false,
        warm_after: 10,
        report_lag: Duration::ZERO,
        false_report_share: 0.0,
        seed: 1,
    }
}

fn load_config(target: Target) -> load::Config {
    load::Config {
        targets: vec![target],
        feeds: 5,
        warm_up: Duration::ZERO,
        feed_period: Duration::from_millis(20),
        claims_per_s: 50.0,
        uploads_per_s: 10.0,
        upload_len_bytes: 100_000,
        balances_per_s: 50.0,
        max_balance_len_bytes: 5000,
        duration: Duration::from_secs(1),
        deadline: Duration::from_secs(5),
        seed: 1,
    }
}

#[test]
fn callers_and_a_server_alone_violate_no_invariant() {
    let dir = std::env::temp_dir().join(format!("ramplab-backend-{}", std::process::id()));
    fs::create_dir_all(&dir).unwrap();
    let files: [PathBuf; 2] = [dir.join("server"), dir.join("load")];
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let counts = LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = Target {
            name: "ledger".to_string(),
            address: listener.local_addr().unwrap(),
        };
        let history = Writer::create(&files[0], "s1").unwrap();
        let server = Rc::new(Backend::new(backend_config(), Some(history)));
        let (stop, stopped) = oneshot::channel::<()>();
        let serving = spawn_local(server.serve(listener, async {
            let _ = stopped.await;
        }));
        let history = Writer::create(&files[1], "load").unwrap();
        let generator = LoadGenerator::new(load_config(target), Some(history));
        let counts = generator.run(std::future::pending()).await;
        stop.send(()).unwrap();
        serving.await.unwrap();
        counts
    });
    let histories = files.map(|file| history::read(&file).unwrap());
    let judgement = check_history(&history::merge(histories));
    assert_eq!(judgement.violations, []);
    assert_eq!(judgement.summary.served, counts.served);
    assert_eq!(
        (counts.wrong, counts.flows_broken, counts.nothing_told),
        (0, 0, 0)
    );
    assert!(counts.claims > 0 && counts.uploads > 0 && counts.balances > 0);
    fs::remove_dir_all(&dir).unwrap();
}

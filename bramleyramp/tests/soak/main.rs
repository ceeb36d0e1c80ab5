//! Randomized soak test: runs real processes, injects external faults, and checks the
//! invariants by what callers and backend servers observe.
//!
//! `SOAK_SEEDS=1-50 cargo test -p bramleyramp --test soak -- --nocapture` runs these
//! seeds instead of those of CI; `SOAK_SECONDS` sets how long each injects faults, and
//! `SOAK_LINK_MBPS` limits the balancers' links. `SOAK_RESTORATIONS=0` leaves out the
//! restorations of the store from stale copies.

mod callers;
#[path = "../../../platform/tests/fake_store/mod.rs"]
mod fake_store;
mod faults;
mod fleet;
#[path = "../harness/mod.rs"]
mod harness;
mod proxy;
mod record;
mod servers;

use std::time::Duration;
use std::time::Instant;

use faults::Faults;
use fleet::Fleet;
use fleet::run_until;
use record::Outcomes;

/// Parameters of one run.
#[derive(Clone, Copy)]
struct SoakRun {
    seed: u64,
    /// Time for which faults are injected.
    faults_s: u64,
    /// Rate of the balancers' links, in Mbit/s; `None` if it is not limited.
    link_mbps: Option<u64>,
    /// Whether the store is also restored from stale copies.
    restorations: bool,
}

impl SoakRun {
    const fn new(seed: u64, faults_s: u64) -> SoakRun {
        SoakRun {
            seed,
            faults_s,
            link_mbps: None,
            restorations: false,
        }
    }

    const fn with_link(self, mbps: u64) -> SoakRun {
        SoakRun {
            link_mbps: Some(mbps),
            ..self
        }
    }

    const fn with_restorations(self) -> SoakRun {
        SoakRun {
            restorations: true,
            ..self
        }
    }
}

/// Runs of CI, in addition to the regressions.
const CI_RUNS: [SoakRun; 4] = [
    SoakRun::new(1, 6),
    SoakRun::new(2, 6),
    // The balancers' datagrams go through their egress queues.
    SoakRun::new(3, 6).with_link(10),
    SoakRun::new(3, 6).with_restorations(),
];

/// Runs that failed once, each with the cause.
const REGRESSIONS: [SoakRun; 3] = [
    // A balancer resumed with a stale view. That view had no member for a flow, so a
    // retransmitted SYN made the balancer reset it.
    SoakRun::new(21, 10),
    // A balancer started just after an outage of the store. Its first listing lacked
    // five of six servers, whose records had lapsed, and it reset their flows.
    SoakRun::new(41, 10),
    // As seed 41, but the balancer's first call had hung for the whole outage, and a
    // single failed call did not count as an outage.
    SoakRun::new(301, 10),
];

/// Default time of fault injection with `SOAK_SEEDS`.
const MANUAL_FAULTS_S: u64 = 10;

/// Time to recover after the last fault.
const RECOVERY_PERIOD: Duration = Duration::from_secs(5);

/// Time after the recovery in which every request must be served.
const STABLE_PERIOD: Duration = Duration::from_secs(3);

#[test]
fn invariants_hold_under_faults() {
    let runs = match std::env::var("SOAK_SEEDS") {
        Ok(text) => parse_runs(&text),
        Err(_) => [&CI_RUNS[..], &REGRESSIONS[..]].concat(),
    };
    let broken = runs.into_iter().filter(|run| !run_holds(*run));
    let broken: Vec<u64> = broken.map(|run| run.seed).collect();
    assert!(
        broken.is_empty(),
        "invariants violated with seeds {broken:?}"
    );
}

/// Runs one soak; returns whether all invariants held.
fn run_holds(run: SoakRun) -> bool {
    let SoakRun {
        seed,
        faults_s,
        link_mbps,
        restorations,
    } = run;
    let number = (std::process::id() as u64 + seed) % 250;
    let mut fleet = Fleet::start(number as u8, seed, link_mbps);
    run_until(&mut fleet, Instant::now() + Duration::from_millis(500));
    Faults::new(seed, restorations).run(&mut fleet, Duration::from_secs(faults_s));
    let during = take_outcomes(&fleet);
    run_until(&mut fleet, Instant::now() + RECOVERY_PERIOD);
    let recovering = take_outcomes(&fleet);
    run_until(&mut fleet, Instant::now() + STABLE_PERIOD);
    let stable = take_outcomes(&fleet);
    let restored = fleet.store.epoch();
    println!(
        "seed {seed}: restored {restored} times; faults {during:?}; recovery {recovering:?}; after {stable:?}"
    );
    check_recovery(&fleet, stable);
    let violations = fleet.record.lock().unwrap().violations.clone();
    if violations.is_empty() {
        return true;
    }
    println!("seed {seed}: {violations:#?}\n{}", fleet.event_log());
    false
}

fn take_outcomes(fleet: &Fleet) -> Outcomes {
    std::mem::take(&mut fleet.record.lock().unwrap().outcomes)
}

/// Checks that all requests of the stable period were served.
fn check_recovery(fleet: &Fleet, stable: Outcomes) {
    let failed = stable.refused + stable.unopened + stable.cut + stable.unanswered;
    if failed > 0 || stable.served == 0 {
        let what = format!("not all callers were served after the faults: {stable:?}");
        fleet.record.lock().unwrap().add_violation(&what);
    }
}

/// Parses `SOAK_SEEDS`: one seed, or a range of seeds.
fn parse_runs(text: &str) -> Vec<SoakRun> {
    let number = |text: &str| text.trim().parse().expect("SOAK_SEEDS is N or N-M");
    let faults_s = std::env::var("SOAK_SECONDS").ok();
    let faults_s = faults_s.map_or(MANUAL_FAULTS_S, |text| number(&text));
    let link_mbps = std::env::var("SOAK_LINK_MBPS").ok();
    let link_mbps = link_mbps.map(|text| number(&text));
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    let seeds = number(first)..=number(last);
    let restorations = std::env::var("SOAK_RESTORATIONS").map_or(true, |text| text != "0");
    let runs = seeds.map(|seed| SoakRun {
        link_mbps,
        restorations,
        ..SoakRun::new(seed, faults_s)
    });
    runs.collect()
}

//! A randomized soak: real processes, faults from outside them, and the
//! promises judged by what callers and backend servers see.
//!
//! `SOAK_SEEDS=1-50 cargo test -p bramleyramp --test soak -- --nocapture` runs
//! other seeds than CI does, `SOAK_SECONDS` sets how long faults come in each.

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

/// One run.
#[derive(Clone, Copy)]
struct SoakRun {
    seed: u64,
    /// Time for which faults come, in seconds.
    faults_s: u64,
}

impl SoakRun {
    const fn new(seed: u64, faults_s: u64) -> SoakRun {
        SoakRun { seed, faults_s }
    }
}

/// What CI runs.
const CI_RUNS: [SoakRun; 2] = [SoakRun::new(1, 6), SoakRun::new(2, 6)];

/// What failed once, each with its cause.
const REGRESSIONS: [SoakRun; 3] = [
    // A balancer woke with an old view and reset a flow by a copy of its
    // opening, as that view had no member for it.
    SoakRun::new(21, 10),
    // A balancer started just after an outage; its first answer lacked five of
    // six servers, whose records had lapsed, and it reset their flows.
    SoakRun::new(41, 10),
    // As before, but the balancer's first call had hung for all of the outage:
    // one failure alone did not count as one.
    SoakRun::new(301, 10),
];

/// Time for which faults come in runs by hand, in seconds.
const MANUAL_FAULTS_S: u64 = 10;

/// Time after the last fault until all must be stable again.
const RECOVERY_PERIOD: Duration = Duration::from_secs(5);

/// Time for which all must be stable.
const STABLE_PERIOD: Duration = Duration::from_secs(3);

#[test]
fn the_promises_hold_under_faults() {
    let runs = match std::env::var("SOAK_SEEDS") {
        Ok(text) => parse_runs(&text),
        Err(_) => [&CI_RUNS[..], &REGRESSIONS[..]].concat(),
    };
    let broken = runs.into_iter().filter(|run| !run_holds(*run));
    let broken: Vec<u64> = broken.map(|run| run.seed).collect();
    assert!(broken.is_empty(), "promises broken with seeds {broken:?}");
}

/// Whether no promise was broken.
fn run_holds(run: SoakRun) -> bool {
    let SoakRun { seed, faults_s } = run;
    let number = (std::process::id() as u64 + seed) % 250;
    let mut fleet = Fleet::start(number as u8, seed);
    run_until(&mut fleet, Instant::now() + Duration::from_millis(500));
    Faults::new(seed).run(&mut fleet, Duration::from_secs(faults_s));
    let during = take_outcomes(&fleet);
    run_until(&mut fleet, Instant::now() + RECOVERY_PERIOD);
    let recovering = take_outcomes(&fleet);
    run_until(&mut fleet, Instant::now() + STABLE_PERIOD);
    let stable = take_outcomes(&fleet);
    println!("seed {seed}: faults {during:?}; recovery {recovering:?}; after {stable:?}");
    check_recovery(&fleet, stable);
    let violations = fleet.record.lock().unwrap().violations.clone();
    if violations.is_empty() {
        return true;
    }
    println!("seed {seed}: {violations:#?}\n{}", fleet.events());
    false
}

fn take_outcomes(fleet: &Fleet) -> Outcomes {
    std::mem::take(&mut fleet.record.lock().unwrap().outcomes)
}

/// Once all faults are over, everyone is served.
fn check_recovery(fleet: &Fleet, stable: Outcomes) {
    let failed = stable.refused + stable.unopened + stable.cut + stable.unanswered;
    if failed > 0 || stable.served == 0 {
        let what = format!("not all callers were served after the faults: {stable:?}");
        fleet.record.lock().unwrap().add_violation(&what);
    }
}

/// One seed, or a range of them.
fn parse_runs(text: &str) -> Vec<SoakRun> {
    let number = |text: &str| text.trim().parse().expect("SOAK_SEEDS is N or N-M");
    let faults_s = std::env::var("SOAK_SECONDS").ok();
    let faults_s = faults_s.map_or(MANUAL_FAULTS_S, |text| number(&text));
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    let seeds = number(first)..=number(last);
    seeds.map(|seed| SoakRun::new(seed, faults_s)).collect()
}

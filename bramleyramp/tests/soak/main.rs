//! A randomized soak: real processes, faults from outside them, and the
//! promises judged by what callers and backend servers see.
//!
//! `SOAK_SEEDS=1-50 cargo test -p bramleyramp --test soak -- --nocapture` plays
//! other seeds than CI does, `SOAK_SECONDS` sets how long faults come in each.

mod callers;
mod faults;
mod fleet;
mod proxy;
mod record;
mod servers;
#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;
#[path = "../stand_ins/mod.rs"]
mod stand_ins;

use std::time::Duration;
use std::time::Instant;

use faults::Faults;
use fleet::Fleet;
use fleet::run_until;
use record::Ends;

/// Seeds that CI plays.
const CI_SEEDS: [u64; 2] = [1, 2];

/// Seeds that failed once, each with its cause.
const REGRESSIONS: [u64; 0] = [];

/// Time for which faults come.
const FAULTS_S: u64 = 6;

/// Time after the last fault until all must be well again.
const RECOVERY: Duration = Duration::from_secs(5);

/// Time for which all must be well.
const WELL: Duration = Duration::from_secs(3);

#[test]
fn the_promises_hold_under_faults() {
    let seeds = match std::env::var("SOAK_SEEDS") {
        Ok(text) => seeds_of(&text),
        Err(_) => [&CI_SEEDS[..], &REGRESSIONS[..]].concat(),
    };
    let broken: Vec<u64> = seeds.into_iter().filter(|seed| !holds(*seed)).collect();
    assert!(broken.is_empty(), "promises broken with seeds {broken:?}");
}

/// Plays one seed; false when a promise was broken.
fn holds(seed: u64) -> bool {
    let number = (std::process::id() as u64 + seed) % 250;
    let mut fleet = Fleet::start(number as u8, seed);
    let seconds = std::env::var("SOAK_SECONDS").ok();
    let seconds = seconds.and_then(|s| s.parse().ok()).unwrap_or(FAULTS_S);
    run_until(&mut fleet, Instant::now() + Duration::from_millis(500));
    Faults::new(seed).run(&mut fleet, Duration::from_secs(seconds));
    let during = take_ends(&fleet);
    run_until(&mut fleet, Instant::now() + RECOVERY);
    let recovering = take_ends(&fleet);
    run_until(&mut fleet, Instant::now() + WELL);
    let well = take_ends(&fleet);
    println!("seed {seed}: faults {during:?}; recovery {recovering:?}; after {well:?}");
    judge_recovery(&fleet, well);
    let violations = fleet.record.lock().unwrap().violations.clone();
    if violations.is_empty() {
        return true;
    }
    println!("seed {seed}: {violations:#?}\n{}", fleet.story());
    false
}

fn take_ends(fleet: &Fleet) -> Ends {
    std::mem::take(&mut fleet.record.lock().unwrap().ends)
}

/// Once all faults are over, everyone is served.
fn judge_recovery(fleet: &Fleet, well: Ends) {
    let failed = well.refused + well.unopened + well.cut + well.unanswered;
    if failed > 0 || well.served == 0 {
        let what = format!("not all is well after the faults: {well:?}");
        fleet.record.lock().unwrap().violation(&what);
    }
}

/// One seed, or a range of them.
fn seeds_of(text: &str) -> Vec<u64> {
    let number = |text: &str| text.trim().parse().expect("SOAK_SEEDS is N or N-M");
    match text.split_once('-') {
        Some((first, last)) => (number(first)..=number(last)).collect(),
        None => vec![number(text)],
    }
}

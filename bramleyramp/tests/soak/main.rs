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

/// One run.
#[derive(Clone, Copy)]
struct Play {
    seed: u64,
    /// Time for which faults come, in seconds.
    faults_s: u64,
}

impl Play {
    const fn new(seed: u64, faults_s: u64) -> Play {
        Play { seed, faults_s }
    }
}

/// What CI plays.
const CI_PLAYS: [Play; 2] = [Play::new(1, 6), Play::new(2, 6)];

/// What failed once, each with its cause.
const REGRESSIONS: [Play; 3] = [
    // A balancer woke with an old view and reset a flow by a copy of its
    // opening, as that view had no member for it.
    Play::new(21, 10),
    // A balancer started just after an outage; its first answer lacked five of
    // six servers, whose records had lapsed, and it reset their flows.
    Play::new(41, 10),
    // As before, but the balancer's first call had hung for all of the outage:
    // one failure alone did not count as one.
    Play::new(301, 10),
];

/// Time for which faults come in runs by hand, in seconds.
const BY_HAND_S: u64 = 10;

/// Time after the last fault until all must be well again.
const RECOVERY: Duration = Duration::from_secs(5);

/// Time for which all must be well.
const WELL: Duration = Duration::from_secs(3);

#[test]
fn the_promises_hold_under_faults() {
    let plays = match std::env::var("SOAK_SEEDS") {
        Ok(text) => plays_of(&text),
        Err(_) => [&CI_PLAYS[..], &REGRESSIONS[..]].concat(),
    };
    let broken = plays.into_iter().filter(|play| !holds(*play));
    let broken: Vec<u64> = broken.map(|play| play.seed).collect();
    assert!(broken.is_empty(), "promises broken with seeds {broken:?}");
}

/// Whether no promise was broken.
fn holds(play: Play) -> bool {
    let Play { seed, faults_s } = play;
    let number = (std::process::id() as u64 + seed) % 250;
    let mut fleet = Fleet::start(number as u8, seed);
    run_until(&mut fleet, Instant::now() + Duration::from_millis(500));
    Faults::new(seed).run(&mut fleet, Duration::from_secs(faults_s));
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
fn plays_of(text: &str) -> Vec<Play> {
    let number = |text: &str| text.trim().parse().expect("SOAK_SEEDS is N or N-M");
    let faults_s = std::env::var("SOAK_SECONDS").ok();
    let faults_s = faults_s.map_or(BY_HAND_S, |text| number(&text));
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    let seeds = number(first)..=number(last);
    seeds.map(|seed| Play::new(seed, faults_s)).collect()
}

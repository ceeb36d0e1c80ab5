//! Tests of the capacity estimate and of the choice of members by it.

mod fleet;

use self::fleet::Fleet;
use self::fleet::Load;
use self::fleet::Reports;
use self::fleet::WORK_MS;

const SLOTS: u16 = 5;

/// A quarter of the servers at 0.55 of the nominal speed, the rest at 1.2.
fn mixed_speeds(count: usize) -> Vec<f64> {
    let speed = |n: usize| if n.is_multiple_of(4) { 0.55 } else { 1.2 };
    (0..count).map(speed).collect()
}

/// Requests a second that use this share of the fleet's capacity.
fn rate(speeds: &[f64], share: f64) -> f64 {
    speeds.iter().sum::<f64>() * f64::from(SLOTS) * 1000.0 / WORK_MS * share
}

fn load(speeds: &[f64], share: f64) -> Load {
    Load {
        balancers: 6,
        slots: SLOTS,
        requests_per_s: rate(speeds, share),
        requests_per_flow: 1,
        reports: Reports::On,
        seed: 1,
    }
}

fn spread(values: &[f64]) -> f64 {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    values.iter().copied().fold(0.0, f64::max) / mean
}

#[test]
fn trial() {
    let speeds = mixed_speeds(16);
    for balancers in [1, 6, 25] {
        for share in [0.3, 0.5, 0.7, 0.85] {
            for reports in [Reports::Off, Reports::On] {
                let mut fleet = Fleet::new(
                    &speeds,
                    Load {
                        reports,
                        balancers,
                        ..load(&speeds, share)
                    },
                );
                fleet.run(3000);
                fleet.mark();
                fleet.run(8000);
                let u = fleet.utilisations();
                let (a, b) = (fleet.report(1), fleet.report(2));
                println!(
                    "{balancers} {share} {reports:?} spread {:.2} slow {:.2} {:.2} {:.2} fast {:.2} {:.2} refused {} {a:?} {b:?}",
                    spread(&u),
                    u[0],
                    u[4],
                    u[8],
                    u[1],
                    u[2],
                    fleet.refused
                );
            }
        }
    }
}

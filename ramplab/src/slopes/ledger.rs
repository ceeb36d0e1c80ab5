//! Costs of a process's ledger by number of callers: memory, and time to count a
//! request.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use ramp_state::key::InstanceId;
use ramp_state::key::ServiceId;
use ramp_state::ledger::Ledger;
use ramp_state::outcome::Outcome;
use ramp_state::outcome::Record;
use ramp_state::time::Millis;
use ramp_state::verdict::Verdict;

use crate::heap;
use crate::slopes::Point;
use crate::slopes::Series;
use crate::slopes::SeriesKind;
use crate::slopes::best_time;

/// Numbers of callers at which the ledger is measured.
const CALLER_COUNTS: [u32; 4] = [1_000, 10_000, 50_000, 100_000];

/// Callers for which the ledger must stay within its limits.
const TARGET_CALLER_COUNT: f64 = 100_000.0;

/// Measures the memory and time of the ledger.
pub fn series() -> Vec<Series> {
    let mut held_bytes = Vec::new();
    let mut times = Vec::new();
    for callers in CALLER_COUNTS {
        let x = f64::from(callers);
        let (ledger, used) = heap::measure(|| fill(callers));
        drop(ledger);
        held_bytes.push(Point {
            x,
            y: used.held_bytes as f64,
        });
        let elapsed = best_time(|| fill(callers));
        times.push(Point {
            x,
            y: elapsed.as_nanos() as f64 / x,
        });
    }
    let series = |name, unit, kind, points| Series {
        name,
        unit,
        per: "caller",
        kind,
        points,
        target_size: TARGET_CALLER_COUNT,
    };
    vec![
        series("ledger of a process", "B", SeriesKind::Count, held_bytes),
        series("counting one request", "ns", SeriesKind::Time, times),
    ]
}

/// Ledger that has counted one request of each caller, spread over an hour.
fn fill(callers: u32) -> Ledger {
    let mut ledger = Ledger::new(Millis(0));
    for n in 0..callers {
        let record = Record {
            caller: SocketAddrV4::new(Ipv4Addr::from(0x0ac8_0000 + n), 1_000),
            service: ServiceId::of("ledger"),
            server: Some(InstanceId::of("ledger-1")),
            outcome: Outcome::Request {
                verdict: Verdict::Served,
                took: Duration::from_millis(20),
            },
        };
        ledger.add(
            Millis(u64::from(n) * 3_600_000 / u64::from(callers)),
            &record,
        );
    }
    ledger
}

//! Polls for the list of instances: distributed over time from the first one
//! on, and less frequent in a larger fleet.

use std::collections::HashMap;

use ramp_state::time::Millis;
use ramp_transport::control::instances::InstanceListPoller;

/// Processes of the planned fleet.
const PROCESSES: u64 = 4_860;

/// Backend servers of the planned fleet.
const SERVERS: usize = 4_200;

/// Calls per second that are left for polls when all processes start at once:
/// the platform's limit, less the calls for the fleet document (the tests of
/// those count 1,737 in the busiest second).
const MAX_POLLS_PER_S: u64 = 2_000 - 1_737;

#[test]
fn reads_of_a_whole_fleet_that_starts_at_once_stay_within_what_is_left() {
    let mut by_second: HashMap<u64, u64> = HashMap::new();
    for seed in 0..PROCESSES {
        let mut poller = InstanceListPoller::new(ramp_state::key::mix(seed));
        poller.set_server_count(Millis(0), SERVERS);
        for tick in 0..1_200 {
            let now = Millis(tick * 100);
            if poller.next_due_poll(now).is_some() {
                *by_second.entry(now.0 / 1_000).or_default() += 1;
            }
        }
    }
    let max = by_second.values().max().copied().unwrap_or_default();
    println!("most polls in a second: {max}");
    assert!(max < MAX_POLLS_PER_S, "{max}");
}

#[test]
fn a_small_fleet_reads_soon_and_nothing_is_read_before_its_size_is_known() {
    let mut poller = InstanceListPoller::new(1);
    assert_eq!(poller.next_due_poll(Millis(60_000)), None);
    poller.set_server_count(Millis(60_000), 10);
    let first = (0..=1_000).find(|ms| poller.next_due_poll(Millis(60_000 + ms)).is_some());
    assert!(first.is_some());
}

//! Memory and control traffic, extrapolated to the target size of the fleet, stay
//! within the limits of a node, and routing a packet allocates nothing.

use ramplab::slopes;
use ramplab::slopes::Series;

/// Most control traffic that a node may have, in bytes per second.
const MAX_CONTROL_BYTES_PER_S: f64 = 13_000.0;

/// Most memory that a node may use for control state, in bytes.
const MAX_CONTROL_MEMORY_BYTES: f64 = 64.0 * 1024.0 * 1024.0;

/// Largest datagram that a delta may need, in bytes.
const MAX_DELTA_DATAGRAM_LEN_BYTES: f64 = 1_400.0;

fn find<'a>(all: &'a [Series], name: &str) -> &'a Series {
    all.iter()
        .find(|series| series.name == name)
        .unwrap_or_else(|| panic!("no series {name}"))
}

// All checks are in one test because allocations are counted for the whole process,
// so no other test may run at the same time.
#[test]
fn counts_at_the_target_size_stay_within_the_limits() {
    decision_for_a_packet_allocates_nothing();
    packet_of_an_open_flow_allocates_nothing();
    control_traffic_stays_within_the_limit();
    control_state_stays_within_the_limit();
}

fn decision_for_a_packet_allocates_nothing() {
    let all = slopes::routing::series();
    let allocations = find(&all, "allocations for 20,000 decisions");
    assert!(allocations.points.iter().all(|point| point.y == 0.0));
}

fn packet_of_an_open_flow_allocates_nothing() {
    let all = slopes::flows::series();
    let allocations = find(&all, "allocations for 5 packets of each flow");
    assert!(allocations.points.iter().all(|point| point.y == 0.0));
}

fn control_traffic_stays_within_the_limit() {
    let all = slopes::group::series();
    let agent = find(&all, "heartbeats and digests an agent sends, 12 members");
    let balancer = find(&all, "digests a balancer receives");
    assert!(agent.at_target() < MAX_CONTROL_BYTES_PER_S);
    assert!(balancer.at_target() < MAX_CONTROL_BYTES_PER_S);
}

fn control_state_stays_within_the_limit() {
    let configuration = slopes::configuration::series();
    let packets = slopes::routing::series();
    let group = slopes::group::series();
    let fleet = find(&configuration, "fleet and document in memory").at_target();
    let table = find(&packets, "view of a balancer").at_target();
    let membership = find(&group, "membership of a balancer").at_target();
    assert!(fleet + table + membership < MAX_CONTROL_MEMORY_BYTES);
    let delta = find(&configuration, "delta of a drained server");
    assert!(delta.at_target() < MAX_DELTA_DATAGRAM_LEN_BYTES);
}

//! Drain timer: a leaving backend server's requests are aborted once, when the
//! drain limit has passed, and not if the server returns before.

use std::collections::HashSet;
use std::time::Duration;

use ramp_state::fleet::Fleet;
use ramp_state::key::InstanceId;
use ramp_state::key::Version;
use ramp_state::routing_table::Member;
use ramp_state::routing_table::RoutingTable;
use ramp_state::time::Millis;
use ramp_transport::agent::drain_timer::DrainAction;
use ramp_transport::agent::drain_timer::DrainTimer;

const DRAIN_LIMIT: Duration = Duration::from_millis(5_000);

fn member(state: &str) -> Member {
    let text = format!(
        "[defaults]\ndrain_limit_ms = {}\n[data-centre dc]\nregion = r\n\
         [service s]\naddress = 10.0.0.1:80\n\
         [server s-1]\nservice = s\ndata_centre = dc\nagent = 127.0.0.1:1\n\
         control = 127.0.0.1:2\nstate = {state}\n",
        DRAIN_LIMIT.as_millis()
    );
    let fleet = Fleet::parse(Version(1), &text).unwrap();
    let routing_table = RoutingTable::compile(&fleet, &HashSet::new());
    let group = routing_table.group(fleet.services["s"].address).unwrap();
    group.member(InstanceId::of("s-1")).unwrap().clone()
}

#[test]
fn a_leaving_server_is_cut_once_at_its_drain_limit_and_resumes() {
    let (in_service, leaving) = (member("in"), member("leaving"));
    let mut timer = DrainTimer::default();
    let start = Millis(1_000);
    assert_eq!(timer.update(start, &in_service), DrainAction::Unchanged);
    assert_eq!(timer.update(start, &leaving), DrainAction::Unchanged);
    let just_before = start + DRAIN_LIMIT - Duration::from_millis(1);
    assert_eq!(timer.update(just_before, &leaving), DrainAction::Unchanged);
    assert_eq!(
        timer.update(start + DRAIN_LIMIT, &leaving),
        DrainAction::Abort
    );
    assert_eq!(
        timer.update(start + DRAIN_LIMIT * 2, &leaving),
        DrainAction::Unchanged
    );
    assert_eq!(
        timer.update(start + DRAIN_LIMIT * 2, &in_service),
        DrainAction::Resume
    );
    assert_eq!(
        timer.update(start + DRAIN_LIMIT * 3, &leaving),
        DrainAction::Unchanged
    );
}

#[test]
fn a_server_that_returns_in_time_is_not_cut() {
    let (in_service, leaving) = (member("in"), member("leaving"));
    let mut timer = DrainTimer::default();
    assert_eq!(timer.update(Millis(0), &leaving), DrainAction::Unchanged);
    assert_eq!(timer.update(Millis(1), &in_service), DrainAction::Unchanged);
    assert_eq!(
        timer.update(Millis(0) + DRAIN_LIMIT, &leaving),
        DrainAction::Unchanged
    );
}

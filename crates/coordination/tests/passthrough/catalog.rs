//! Tests of the catalog: what a process keeps of the platform's records, and
//! when a server that is no longer listed counts as gone.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_coordination::passthrough::published::Change;
use ramp_coordination::passthrough::published::Record;
use ramp_coordination::passthrough::published::RecordKey;
use ramp_coordination::passthrough::published::Revision;
use ramp_coordination::passthrough::published::ServerState;
use ramp_state::key::Version;
use ramp_state::time::Millis;

use crate::fixture::*;

#[test]
fn the_version_never_falls() {
    let mut catalog = catalog(&[1]);
    let newer = Record::Configuration(configuration(5));
    catalog.apply(Millis(1), written(101, newer));
    let older = Record::Configuration(configuration(4));
    catalog.apply(Millis(2), written(102, older));
    catalog.replace(Millis(3), listing(&[1]));
    assert_eq!(catalog.view(Millis(3)).unwrap().version, Version(5));
}

#[test]
fn a_listing_from_the_past_changes_nothing() {
    let mut catalog = catalog(&[1]);
    catalog.apply(Millis(1), written(200, record(2, FEEDS)));
    catalog.replace(Millis(2), listing(&[1]));
    assert_eq!(catalog.view(Millis(2)).unwrap().members().len(), 2);
    assert_eq!(catalog.cursor(), Revision(200));
}

/// Guards against old changes that undo newer ones. A process gets them from a
/// reader that is behind; if that reader then fails, nothing repeats the newer
/// changes.
#[test]
fn changes_from_the_past_undo_nothing() {
    let mut catalog = catalog(&[1, 2]);
    catalog.apply(Millis(1000), written(120, record(2, FEEDS)));
    let removed = Change::Removed(RecordKey::Server(id(2)));
    catalog.apply(Millis(1100), changes(110, vec![removed.clone()]));
    let view = catalog.view(Millis(1100)).unwrap();
    assert_eq!(view.members().len(), 2);
    assert_eq!(catalog.cursor(), Revision(120));

    let again = vec![removed, Change::Written(record(2, FEEDS))];
    catalog.apply(Millis(1200), changes(130, again));
    assert_eq!(catalog.view(Millis(1200)).unwrap().members().len(), 2);
}

/// Records that are older than the catalog don't show that the platform answers
/// now, so no server may count as gone by them.
#[test]
fn outdated_records_do_not_show_that_the_platform_answers() {
    let mut catalog = catalog(&[1]);
    catalog.apply(Millis(1000), written(120, record(2, FEEDS)));
    catalog.platform_failed();
    catalog.replace(Millis(2000), listing(&[1]));
    assert!(!catalog.is_current());
    catalog.apply(Millis(2000), changes(110, Vec::new()));
    assert!(!catalog.is_current());
    catalog.apply(Millis(2000), changes(120, Vec::new()));
    assert!(catalog.is_current());
}

/// Guards against servers that count as gone by an outdated listing. In a
/// one-way network partition no call fails, but no answer arrives either.
#[test]
fn a_stale_catalog_is_not_settled_until_the_next_answer() {
    let mut catalog = catalog(&[1]);
    assert!(!catalog.update_staleness(Millis(1500)));
    assert!(catalog.view(Millis(1500)).unwrap().is_settled(Millis(1500)));
    assert!(catalog.update_staleness(Millis(1600)));
    assert!(!catalog.update_staleness(Millis(1800)), "reported once");
    assert!(!catalog.view(Millis(1800)).unwrap().is_settled(Millis(1800)));
    assert!(!catalog.is_current());

    catalog.apply(Millis(2000), changes(100, Vec::new()));
    assert!(catalog.is_current());
    let view = catalog.view(Millis(2000)).unwrap();
    assert!(view.is_settled(Millis(2000)), "nothing had failed");
}

#[test]
fn a_removed_configuration_stays_in_force() {
    let mut catalog = catalog(&[1]);
    let removed = Change::Removed(RecordKey::Configuration);
    catalog.apply(Millis(1), changes(101, vec![removed]));
    assert!(catalog.view(Millis(1)).is_some());
}

#[test]
fn the_youngest_server_has_the_address() {
    let mut catalog = catalog(&[1]);
    let mut young = server(1, UPLOADS);
    young.born_ms = 500;
    catalog.apply(Millis(1), written(101, Record::Server(id(77), young)));
    let view = catalog.view(Millis(1)).unwrap();
    assert_eq!(view.members().len(), 1);
    assert_eq!(view.member(ip(1)).unwrap().service, UPLOADS);
}

#[test]
fn a_lapsed_server_may_return_before_it_counts_as_gone() {
    let mut catalog = catalog(&[1, 2]);
    let lapsed = Change::Removed(RecordKey::Server(id(2)));
    catalog.apply(Millis(1000), changes(101, vec![lapsed]));
    let view = catalog.view(Millis(1000)).unwrap();
    assert!(!view.is_gone(ip(2), Millis(3000)));
    assert!(view.holders().any(|h| h == ip(2)));
    assert!(view.is_gone(ip(2), Millis(3500)));
    assert!(!view.is_gone(ip(1), Millis(3500)));
}

/// After an outage of the platform all records have lapsed, and they are listed
/// again one by one.
#[test]
fn servers_that_lapsed_with_the_platform_away_still_get_new_flows() {
    let mut catalog = catalog(&[1, 2]);
    catalog.call_failed(Millis(8000));
    let lapsed = [1, 2].map(|last| Change::Removed(RecordKey::Server(id(last))));
    catalog.apply(Millis(8200), changes(101, lapsed.to_vec()));
    let view = catalog.view(Millis(8200)).unwrap();
    assert_eq!(view.members().len(), 0);
    assert_eq!(view.servers_of(FEEDS, Millis(8300)).count(), 2);
    assert!(view.member_or_lapsed(ip(1), Millis(8300)).is_some());
    assert_eq!(view.servers_of(FEEDS, Millis(10_200)).count(), 0, "missing");

    let back = written(102, record(1, FEEDS));
    catalog.apply(Millis(8400), back);
    let other = server(2, UPLOADS);
    let reused = written(103, Record::Server(id(9), other));
    catalog.apply(Millis(8500), reused);
    let view = catalog.view(Millis(8500)).unwrap();
    assert_eq!(view.servers_of(FEEDS, Millis(8600)).count(), 1);
    assert_eq!(
        view.member_or_lapsed(ip(2), Millis(8600)).unwrap().service,
        UPLOADS
    );
}

#[test]
fn a_server_that_left_or_vanished_by_itself_gets_no_new_flows() {
    let mut catalog = catalog(&[1, 2]);
    let mut draining = server(2, FEEDS);
    draining.state = ServerState::Draining;
    catalog.apply(Millis(100), written(101, Record::Server(id(2), draining)));
    let gone = |last| vec![Change::Removed(RecordKey::Server(id(last)))];
    catalog.apply(Millis(5000), changes(102, gone(1)));
    let view = catalog.view(Millis(5000)).unwrap();
    assert!(
        view.member_or_lapsed(ip(1), Millis(5001)).is_none(),
        "crashed"
    );
    catalog.call_failed(Millis(6000));
    catalog.apply(Millis(6100), changes(103, gone(2)));
    let view = catalog.view(Millis(6100)).unwrap();
    assert!(view.member_or_lapsed(ip(2), Millis(6101)).is_none(), "left");
}

/// Guards against resets of open flows when a record is removed though no call
/// fails: an instance that starts meanwhile can't know of the server.
#[test]
fn a_server_removed_without_draining_is_reported_missing_until_it_counts_as_gone() {
    let mut catalog = catalog(&[1, 2]);
    let removed = Change::Removed(RecordKey::Server(id(2)));
    catalog.apply(Millis(5000), changes(101, vec![removed]));
    let view = catalog.view(Millis(5000)).unwrap();
    assert!(view.misses_servers(Millis(5000)));
    assert!(view.misses_servers(Millis(7400)));
    assert!(!view.misses_servers(Millis(7500)), "gone");

    catalog.apply(Millis(5200), written(102, record(2, FEEDS)));
    let view = catalog.view(Millis(5200)).unwrap();
    assert!(!view.misses_servers(Millis(5200)), "listed again");
}

/// Guards against resets of flows whose server is cut off only from the
/// platform: the server keeps its flows, so it must still be asked for them.
#[test]
fn a_server_that_vanished_without_leaving_is_asked_as_long_as_flows_last() {
    let mut catalog = catalog(&[1, 2, 3]);
    let mut draining = server(3, FEEDS);
    draining.state = ServerState::Draining;
    catalog.apply(Millis(100), written(101, Record::Server(id(3), draining)));
    let removed = [2, 3].map(|last| Change::Removed(RecordKey::Server(id(last))));
    catalog.apply(Millis(5000), changes(102, removed.to_vec()));
    catalog.apply(Millis(60_000), changes(103, Vec::new()));
    let view = catalog.view(Millis(60_000)).unwrap();
    let holders: Vec<Ipv4Addr> = view.holders().collect();
    assert_eq!(holders, [ip(1), ip(2)], "the third left by plan");

    catalog.apply(Millis(66_000), changes(104, Vec::new()));
    let view = catalog.view(Millis(66_000)).unwrap();
    assert_eq!(view.holders().count(), 1);
}

/// Guards against late resets after a power failure: records of servers that no
/// longer run lapse only after everything has started again.
#[test]
fn a_server_removed_just_after_the_start_is_not_reported_missing() {
    let mut catalog = catalog(&[1, 2]);
    let removed = Change::Removed(RecordKey::Server(id(2)));
    catalog.apply(Millis(2000), changes(101, vec![removed]));
    let view = catalog.view(Millis(2000)).unwrap();
    assert!(!view.misses_servers(Millis(2000)));
}

#[test]
fn a_drained_server_is_not_reported_missing() {
    let mut catalog = catalog(&[1, 2]);
    let mut draining = server(2, FEEDS);
    draining.state = ServerState::Draining;
    catalog.apply(Millis(100), written(101, Record::Server(id(2), draining)));
    let removed = Change::Removed(RecordKey::Server(id(2)));
    catalog.apply(Millis(5000), changes(102, vec![removed]));
    let view = catalog.view(Millis(5000)).unwrap();
    assert!(!view.misses_servers(Millis(5000)));
}

#[test]
fn nobody_is_gone_while_the_platform_is_away_and_shortly_after() {
    let mut catalog = catalog(&[1, 2]);
    catalog.platform_failed();
    let away = catalog.view(Millis(1000)).unwrap();
    assert!(!away.is_gone(ip(9), Millis(60_000)));
    catalog.replace(Millis(10_000), listing(&[1]));
    let back = catalog.view(Millis(10_000)).unwrap();
    assert!(!back.is_gone(ip(2), Millis(12_000)));
    assert!(!back.is_gone(ip(9), Millis(12_000)));
    assert!(back.is_gone(ip(2), Millis(12_600)));
}

#[test]
fn a_start_while_the_platform_fails_waits_for_lapsed_servers() {
    let mut late = ramp_coordination::passthrough::catalog::Catalog::new();
    late.platform_failed();
    late.replace(Millis(500), listing(&[1]));
    let view = late.view(Millis(500)).unwrap();
    assert!(!view.is_settled(Millis(2_000)));
    assert!(view.is_settled(Millis(3_000)));
    assert!(catalog(&[1]).view(Millis(0)).unwrap().is_settled(Millis(0)));
}

/// In a short outage of the platform the first call can hang until the end, and
/// the second is answered at once; soak seed 301 shows it.
#[test]
fn a_start_whose_first_call_failed_waits_for_lapsed_servers() {
    let mut late = ramp_coordination::passthrough::catalog::Catalog::new();
    late.call_failed(Millis(400));
    late.replace(Millis(500), listing(&[1]));
    let view = late.view(Millis(500)).unwrap();
    assert!(!view.is_settled(Millis(2_900)));
    assert!(view.is_settled(Millis(3_000)));

    let mut running = catalog(&[1]);
    running.call_failed(Millis(400));
    running.apply(Millis(500), changes(101, Vec::new()));
    let view = running.view(Millis(500)).unwrap();
    assert!(view.is_settled(Millis(500)), "it knew all servers before");
}

#[test]
fn an_unchanged_record_does_not_make_a_server_cold_again() {
    let mut cold = server(1, FEEDS);
    cold.cold_for = Duration::from_secs(2);
    let mut catalog = catalog(&[]);
    let listed = Record::Server(id(1), cold);
    catalog.apply(Millis(0), written(101, listed.clone()));
    let mut again = listing(&[]);
    again.cursor = Revision(102);
    again.records.push(listed);
    catalog.replace(Millis(1500), again);
    let view = catalog.view(Millis(1500)).unwrap();
    assert!(view.member(ip(1)).unwrap().is_cold(Millis(1900)));
    assert!(!view.member(ip(1)).unwrap().is_cold(Millis(2100)));
}

#[test]
fn a_follower_learns_the_same() {
    let mut first = catalog(&[1, 2, 3]);
    let mut cold = server(2, FEEDS);
    cold.cold_for = Duration::from_secs(2);
    first.apply(Millis(1000), written(101, Record::Server(id(2), cold)));
    first.apply(Millis(1000), written(102, Record::Evacuation(EAST)));
    let mut second = ramp_coordination::passthrough::catalog::Catalog::new();
    second.replace(Millis(7), first.listing(Millis(2000)));
    let follower_view = second.view(Millis(7)).unwrap();
    let own = first.view(Millis(2000)).unwrap();
    assert_eq!(second.cursor(), first.cursor());
    assert_eq!(follower_view.newest, own.newest);
    assert!(follower_view.member(ip(1)).unwrap().evacuated);
    assert_eq!(
        follower_view.member(ip(2)).unwrap().cold_until,
        Millis(1007),
        "one of two seconds is left"
    );
}

/// With an idle limit of zero, an agent that restarts beside its server would at
/// once claim to know all flows, and deny those that it has not seen.
#[test]
fn without_an_idle_limit_flows_are_not_taken_for_idle() {
    let mut no_limit = configuration(2);
    no_limit.idle_limit = Duration::ZERO;
    let mut catalog = catalog(&[1]);
    catalog.apply(Millis(1), written(101, Record::Configuration(no_limit)));
    let view = catalog.view(Millis(1)).unwrap();
    assert!(view.idle_limit >= Duration::from_secs(60));
}

#[test]
fn weights_divide_the_new_flows() {
    let mut next = configuration(2);
    next.routes[0].shares[0].weight = 90;
    next.routes[0]
        .shares
        .push(ramp_coordination::passthrough::published::Share {
            service: UPLOADS,
            weight: 10,
        });
    let mut catalog = catalog(&[1]);
    catalog.apply(Millis(1), written(101, Record::Configuration(next)));
    let view = catalog.view(Millis(1)).unwrap();
    let route = view.route(feeds_address()).unwrap();
    let uploads = (1..10_000).filter(|port| route.service_of(&flow(*port)) == Some(UPLOADS));
    let uploads = uploads.count();
    assert!((800..1200).contains(&uploads), "{uploads}");
}

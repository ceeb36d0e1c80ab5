//! Tests of the catalog after the platform's store was restored from a stale copy.

use std::time::Duration;

use ramp_coordination::passthrough::catalog::Catalog;
use ramp_coordination::passthrough::published::Change;
use ramp_coordination::passthrough::published::Changes;
use ramp_coordination::passthrough::published::Epoch;
use ramp_coordination::passthrough::published::Listing;
use ramp_coordination::passthrough::published::Record;
use ramp_coordination::passthrough::published::RecordKey;
use ramp_coordination::passthrough::published::Revision;
use ramp_coordination::passthrough::published::Server;
use ramp_coordination::passthrough::published::ServerState;
use ramp_coordination::passthrough::view::View;
use ramp_state::key::Version;
use ramp_state::time::Millis;

use crate::fixture::*;

/// When the restored store answers first.
const RESTORED: Millis = Millis(10_000);

fn at_epoch(epoch: u16, number: u64) -> Revision {
    Revision::new(Epoch(epoch), number).unwrap()
}

fn ms_after(ms: u64) -> Millis {
    RESTORED + Duration::from_millis(ms)
}

/// First listing of epoch 1, with lower revisions than the catalog has.
fn copy(records: Vec<Record>) -> Listing {
    let mut copy = listing(&[]);
    copy.records.extend(records);
    Listing {
        cursor: at_epoch(1, 90),
        newest: at_epoch(1, 90),
        ..copy
    }
}

fn change_at(number: u64, change: Change) -> Changes {
    Changes {
        cursor: at_epoch(1, number),
        newest: at_epoch(1, number),
        changes: vec![change],
    }
}

fn started(last: u8, born_ms: u64, state: ServerState) -> Server {
    Server {
        state,
        born_ms,
        ..server(last, FEEDS)
    }
}

/// A catalog that has read servers 1 and 2, and then this record.
fn catalog_with(record: Record) -> Catalog {
    let mut catalog = catalog(&[1, 2]);
    catalog.apply(Millis(1000), written(150, record));
    catalog
}

fn view_at(catalog: &Catalog, ms: u64) -> View {
    catalog.view(ms_after(ms)).unwrap()
}

/// Guards against a comparison of revisions without the epoch, and against numbers
/// that reach into the bits of the epoch.
#[test]
fn revisions_are_ordered_by_epoch_first() {
    assert!(at_epoch(1, 1) > at_epoch(0, 1 << 40));
    assert_eq!(at_epoch(0, 7), Revision(7), "as before any restoration");
    let last = at_epoch(u16::MAX, (1 << 48) - 1);
    assert_eq!(
        (last.epoch(), last.number()),
        (Epoch(65_535), (1 << 48) - 1)
    );
    assert_eq!(Revision::new(Epoch(0), 1 << 48), None);
}

/// Guards against a late answer of the old epoch that undoes the new one, and
/// against changes of a new epoch applied to the records of the old one.
#[test]
fn only_a_listing_leads_to_a_new_epoch_and_nothing_leads_back() {
    let mut catalog = catalog(&[1, 2]);
    let removed = Change::Removed(RecordKey::Server(id(2)));
    catalog.apply(RESTORED, change_at(105, removed.clone()));
    assert_eq!(catalog.cursor(), Revision(100));
    assert_eq!(view_at(&catalog, 0).members().len(), 2);

    catalog.replace(RESTORED, copy(vec![record(1, FEEDS), record(2, FEEDS)]));
    let before = catalog.cursor();
    catalog.apply(ms_after(10), changes(900, vec![removed]));
    catalog.replace(ms_after(10), listing(&[1]));
    assert_eq!(catalog.cursor(), before);
    assert_eq!(view_at(&catalog, 10).members().len(), 2);
}

#[test]
fn an_older_configuration_in_the_copy_does_not_replace_the_one_in_force() {
    let mut catalog = catalog_with(Record::Configuration(configuration(5)));
    catalog.replace(RESTORED, copy(vec![]));
    assert_eq!(view_at(&catalog, 0).version, Version(5));
    let next = Change::Written(Record::Configuration(configuration(6)));
    catalog.apply(ms_after(10), change_at(91, next));
    assert_eq!(view_at(&catalog, 10).version, Version(6));
}

/// Guards against resets of flows, and a lack of members, before the servers that
/// the copy lacks have registered again.
#[test]
fn a_server_missing_in_the_copy_gets_new_flows_and_is_not_gone() {
    let mut catalog = catalog(&[1, 2]);
    catalog.replace(RESTORED, copy(vec![record(1, FEEDS)]));
    let view = view_at(&catalog, 0);
    assert!(view.member_or_lapsed(ip(2), ms_after(1900)).is_some());
    assert!(view.member_or_lapsed(ip(2), ms_after(2000)).is_none());
    assert!(view.holders().any(|h| h == ip(2)));
    assert!(view.misses_servers(ms_after(2400)));
    for server in [2, 9] {
        assert!(!view.is_gone(ip(server), ms_after(2400)), "{server}");
        assert!(view.is_gone(ip(server), ms_after(2500)), "{server}");
    }
}

/// Guards against new flows to a data centre whose evacuation the copy lacks, and
/// against an evacuation that never ends.
#[test]
fn an_evacuation_missing_in_the_copy_holds_for_its_time() {
    let mut catalog = catalog_with(Record::Evacuation(WEST));
    let servers = vec![record(1, FEEDS), record(2, FEEDS)];
    catalog.replace(RESTORED, copy(servers.clone()));
    let mut again = copy(servers);
    again.cursor = at_epoch(1, 95);
    catalog.replace(ms_after(1000), again);
    assert_eq!(catalog.end_holds(ms_after(4900)), None);
    assert!(view_at(&catalog, 4900).member(ip(2)).unwrap().evacuated);
    assert!(!view_at(&catalog, 4900).member(ip(1)).unwrap().evacuated);

    // A follower that joins now gets it too, and its end from this process.
    let mut follower = Catalog::new();
    follower.replace(ms_after(4900), catalog.listing(ms_after(4900)));
    assert!(view_at(&follower, 4900).member(ip(2)).unwrap().evacuated);
    let ended = catalog.end_holds(ms_after(5000)).unwrap();
    follower.apply(ms_after(5000), ended);
    for catalog in [&catalog, &follower] {
        let view = view_at(catalog, 5000);
        let member = view.member(ip(2)).unwrap();
        assert!(!member.evacuated);
        assert!(member.is_cold(ms_after(5100)), "as after any evacuation");
    }
}

#[test]
fn an_evacuation_that_is_written_again_or_ended_in_the_new_epoch_follows_the_store() {
    let mut catalog = catalog_with(Record::Evacuation(WEST));
    catalog.replace(RESTORED, copy(vec![record(2, FEEDS)]));
    let mut ended = catalog.clone();
    catalog.apply(
        ms_after(100),
        change_at(91, Change::Written(Record::Evacuation(WEST))),
    );
    assert_eq!(catalog.end_holds(ms_after(5000)), None);
    assert!(view_at(&catalog, 9000).member(ip(2)).unwrap().evacuated);

    let removed = Change::Removed(RecordKey::Evacuation(WEST));
    ended.apply(ms_after(100), change_at(91, removed));
    assert!(!view_at(&ended, 100).member(ip(2)).unwrap().evacuated);
}

/// Guards against new flows to a draining server that the copy shows as ready.
#[test]
fn a_drain_holds_until_the_record_is_written_in_the_new_epoch() {
    let draining = started(2, 1, ServerState::Draining);
    let mut catalog = catalog_with(Record::Server(id(2), draining));
    let ready = vec![record(1, FEEDS), record(2, FEEDS)];
    catalog.replace(RESTORED, copy(ready.clone()));
    assert_eq!(catalog.held_records().drains, 1);
    let mut later = copy(ready);
    later.cursor = at_epoch(1, 95);
    catalog.replace(ms_after(30_000), later);
    assert!(view_at(&catalog, 30_000).member(ip(2)).unwrap().draining);

    let mut new_server = catalog.clone();
    let same = Record::Server(id(2), started(2, 1, ServerState::Ready));
    catalog.apply(ms_after(30_100), change_at(96, Change::Written(same)));
    assert!(!view_at(&catalog, 30_100).member(ip(2)).unwrap().draining);

    let other = Record::Server(id(2), started(2, 500, ServerState::Ready));
    new_server.replace(
        ms_after(30_100),
        Listing {
            cursor: at_epoch(1, 96),
            ..copy(vec![other])
        },
    );
    assert!(!view_at(&new_server, 30_100).member(ip(2)).unwrap().draining);
}

/// Guards against a server that drained and left, and is ready in the copy.
#[test]
fn a_server_that_drained_and_left_does_not_return_with_the_copy() {
    let draining = started(2, 1, ServerState::Draining);
    let mut catalog = catalog_with(Record::Server(id(2), draining));
    let removed = Change::Removed(RecordKey::Server(id(2)));
    catalog.apply(Millis(5000), changes(160, vec![removed]));
    let mut reused = catalog.clone();
    catalog.replace(RESTORED, copy(vec![record(2, FEEDS)]));
    assert!(view_at(&catalog, 0).member(ip(2)).unwrap().draining);

    let later = Record::Server(id(77), started(2, 500, ServerState::Ready));
    reused.apply(Millis(6000), written(161, later));
    for ms in [0, 2400, 2600] {
        let mut stale = copy(vec![record(2, FEEDS)]);
        stale.cursor = at_epoch(1, 90 + ms);
        reused.replace(ms_after(ms), stale);
        reused.end_holds(ms_after(ms));
        let member = view_at(&reused, ms).member(ip(2)).copied();
        assert!(member.is_none_or(|m| m.draining), "after {ms} ms");
        assert_eq!(member.is_some(), ms == 2600, "set aside for its time");
    }
}

/// Guards against new flows of one service to a server of another one: the copy
/// lists the server that used the address before.
#[test]
fn an_entry_whose_address_has_a_later_server_is_set_aside() {
    let ended = Record::Server(id(77), started(2, 0, ServerState::Ready));
    let mut in_force = started(2, 500, ServerState::Ready);
    in_force.service = UPLOADS;
    for later_id in [id(2), id(77)] {
        let mut catalog = catalog(&[1]);
        let later = Record::Server(later_id, in_force);
        catalog.apply(Millis(1000), written(150, later.clone()));
        catalog.replace(RESTORED, copy(vec![record(1, FEEDS), ended.clone()]));
        assert_eq!(catalog.held_records().set_aside, 1);
        let view = view_at(&catalog, 0);
        let member = view.member_or_lapsed(ip(2), ms_after(100)).unwrap();
        assert_eq!(member.service, UPLOADS);
        assert_eq!(view.members().len(), 1);

        let mut registered = catalog.clone();
        registered.apply(ms_after(500), change_at(91, Change::Written(later)));
        for (catalog, service) in [(&mut registered, UPLOADS), (&mut catalog, FEEDS)] {
            catalog.end_holds(ms_after(2500));
            let view = view_at(catalog, 2500);
            assert_eq!(view.member(ip(2)).unwrap().service, service);
        }
    }
}

/// Guards against a second restoration that drops what the first one left in effect.
#[test]
fn what_is_held_survives_another_restoration() {
    let draining = started(2, 1, ServerState::Draining);
    let mut catalog = catalog_with(Record::Server(id(2), draining));
    catalog.apply(Millis(1100), written(151, Record::Evacuation(EAST)));
    for (epoch, at) in [(1, RESTORED), (2, ms_after(3000))] {
        let mut stale = copy(vec![record(1, FEEDS), record(2, FEEDS)]);
        stale.cursor = at_epoch(epoch, 50);
        catalog.replace(at, stale);
    }
    assert_eq!(catalog.end_holds(ms_after(7900)), None);
    let view = view_at(&catalog, 7900);
    assert!(view.member(ip(1)).unwrap().evacuated);
    assert!(view.member(ip(2)).unwrap().draining);
}

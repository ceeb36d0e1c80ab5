//! Metric and log lines of the control thread about the epoch of the platform's
//! store, which rises with each restoration from a copy.

use metrics::gauge;
use ramp_coordination::passthrough::catalog::Catalog;
use ramp_coordination::passthrough::published::Change;
use ramp_coordination::passthrough::published::Changes;
use ramp_coordination::passthrough::published::Epoch;
use ramp_coordination::passthrough::published::RecordKey;

/// Sets the metric of a process that has no records yet.
pub fn record_start() {
    set_epoch(Epoch::default());
}

fn set_epoch(epoch: Epoch) {
    gauge!("passthrough_store_epoch").set(f64::from(epoch.0));
}

/// Logs that the records are of a newer epoch than `before`, and what remains in
/// effect although the restored copy does not show it.
pub fn log_new_epoch(before: Epoch, catalog: &Catalog) {
    let revision = catalog.cursor();
    set_epoch(revision.epoch());
    let held = catalog.held_records();
    log::info!(
        epoch = revision.epoch().0,
        before = before.0,
        revision = revision.0,
        held_drains = held.drains,
        held_evacuations = held.evacuations,
        set_aside = held.set_aside;
        "records of a new epoch of the store in use"
    );
}

/// Logs what no longer remains in effect since the store was restored.
pub fn log_ended_holds(changes: &Changes) {
    for change in &changes.changes {
        if let Change::Removed(RecordKey::Evacuation(data_centre)) = change {
            log::warn!(
                data_centre = data_centre.0;
                "evacuation ended: it was not written again after the store's restoration"
            );
        }
    }
}

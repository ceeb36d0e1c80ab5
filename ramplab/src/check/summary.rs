//! Counts over a whole history.

use serde::Serialize;

/// Counts over a whole history; the verdict is none broken.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Broken promises.
    pub violations: u64,
    /// Callers' connections opened.
    pub flows_opened: u64,
    /// Connections broken that should have lived.
    pub flows_broken: u64,
    /// Connections given up because their data centre was taken out.
    pub flows_given_up: u64,
    /// Connections lost with a process that was killed or a server that fell.
    pub flows_lost: u64,
    /// Connections that were refused before they were open.
    pub flows_refused: u64,
    /// Attempts sent.
    pub requests_sent: u64,
    /// Attempts served.
    pub served: u64,
    /// Attempts told not to have run.
    pub not_run: u64,
    /// Attempts that may have run: told so, or told nothing.
    pub may_have_run: u64,
    /// Requests that are not idempotent and ran twice.
    pub run_twice: u64,
    /// Most over mean of open feeds at the servers of a service, just before
    /// the first change.
    pub imbalance: f64,
    /// Time from taking a data centre out to its last packet, in seconds.
    pub out_last_packet_s: f64,
}

//! Summary counts of a checked history, printed as JSON.

use serde::Serialize;

/// Counts over a whole history; a run passes when `violations` is zero.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Violated invariants, each occurrence counted.
    pub violations: u64,
    /// Callers' connections opened.
    pub flows_opened: u64,
    /// Connections that broke without an accepted reason.
    pub flows_broken: u64,
    /// Connections that ended because their data centre was taken out.
    pub flows_given_up: u64,
    /// Connections lost because a process was killed or a server crashed.
    pub flows_lost: u64,
    /// Connections whose handshake never completed.
    pub flows_refused: u64,
    /// Attempts sent by callers; a retry counts as another attempt.
    pub requests_sent: u64,
    /// Attempts that got a response of a backend server.
    pub served: u64,
    /// Attempts reported as not run.
    pub not_run: u64,
    /// Attempts that may have run: reported so, or ended without a response.
    pub may_have_run: u64,
    /// Requests that are not idempotent and ran more than once.
    pub run_twice: u64,
    /// Ratio of the maximum to the mean number of open feeds per server of the worst
    /// service, just before the first change.
    pub imbalance: f64,
    /// Longest time from taking a data centre out to a packet that still reached it,
    /// in seconds.
    pub out_last_packet_s: f64,
}

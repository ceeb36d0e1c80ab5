//! Aggregates answers as they arrive, so that memory use depends on the number of
//! services, servers and callers, and not on the number of processes.

use ramp_state::error_budget::ALERT_WINDOWS;
use ramp_state::ledger::counts::Counts;
use ramp_state::ledger::summary::Summary;
use ramp_transport::operator::ProcessReport;

use crate::report::names::Names;

/// Number of callers to keep individually. A sum is truncated to it when it
/// exceeds twice this number.
const MAX_CALLERS: usize = 100_000;

/// Sums of all answers so far.
#[derive(Debug)]
pub struct Sums {
    /// One summary for each window queried, in that order.
    pub merged: Vec<Summary>,
    /// Names that processes reported.
    pub names: Names,
}

impl Sums {
    /// Creates empty sums.
    pub fn new() -> Sums {
        Sums {
            merged: vec![Summary::default(); 1 + ALERT_WINDOWS.len()],
            names: Names::default(),
        }
    }

    /// Adds one answer and removes the added counts from it to free memory. The
    /// rest of the answer is used to find the gaps of its process.
    pub fn add(&mut self, process_report: &mut ProcessReport) {
        self.names.add_status(&process_report.status);
        process_report.status.services = Vec::new();
        for (sum, summary) in self.merged.iter_mut().zip(&mut process_report.summaries) {
            sum.merge(summary);
            if sum.callers.top.len() > 2 * MAX_CALLERS {
                sum.callers.truncate(MAX_CALLERS);
            }
            clear_counts(summary);
        }
        process_report.summaries.truncate(1);
    }
}

fn clear_counts(summary: &mut Summary) {
    summary.rows = Default::default();
    summary.other = Counts::default();
    summary.callers = Default::default();
    summary.slices = Vec::new();
}

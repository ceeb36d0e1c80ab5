//! Adding up results as they come, so that memory grows with the names and
//! callers there are, not with the processes that tell of them.

use ramp_state::error_budget::ALERT_WINDOWS;
use ramp_state::ledger::counts::Counts;
use ramp_state::ledger::summary::Summary;
use ramp_transport::operator::Account;

use crate::report::names::Names;

/// Callers kept singly; sums may hold twice as many before they are cut off.
const MAX_CALLERS: usize = 100_000;

/// Sums of all results so far.
#[derive(Debug)]
pub struct Sums {
    /// One summary for each window.
    pub merged: Vec<Summary>,
    /// Names that processes told.
    pub names: Names,
}

impl Sums {
    /// Sums of no answer.
    pub fn new() -> Sums {
        Sums {
            merged: vec![Summary::default(); 1 + ALERT_WINDOWS.len()],
            names: Names::default(),
        }
    }

    /// Adds one answer and takes out of it what is added up. OutcomeKind is left
    /// tells the gaps of its process.
    pub fn add(&mut self, account: &mut Account) {
        self.names.add_status(&account.status);
        account.status.services = Vec::new();
        for (sum, summary) in self.merged.iter_mut().zip(&mut account.summaries) {
            sum.merge(summary);
            if sum.callers.top.len() > 2 * MAX_CALLERS {
                sum.callers.truncate(MAX_CALLERS);
            }
            clear_counts(summary);
        }
        account.summaries.truncate(1);
    }
}

fn clear_counts(summary: &mut Summary) {
    summary.rows = Default::default();
    summary.other = Counts::default();
    summary.callers = Default::default();
    summary.slices = Vec::new();
}

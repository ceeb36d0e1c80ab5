//! Reading what the platform publishes: calls that its client offers.

use std::future::Future;
use std::time::Duration;

use quick_error::quick_error;

use super::published::Changes;
use super::published::Listing;
use super::published::Revision;

quick_error! {
    /// Why the platform gave nothing.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum PlatformError {
        /// The history after the revision is no longer kept: list again.
        HistoryExpired {
            display("the platform no longer has this history")
        }
        /// The platform refused the call for now.
        Refused(status: u16) {
            display("the platform refused the call with status {}", status)
        }
        /// No connection, or none that answers.
        Unreachable(reason: String) {
            display("the platform can't be reached: {}", reason)
        }
        /// An answer that can't be read.
        Malformed(reason: String) {
            display("the platform's answer can't be read: {}", reason)
        }
    }
}

/// A client of the platform.
pub trait PlatformClient {
    /// Reads all records.
    ///
    /// # Errors
    ///
    /// [`PlatformError`]; nothing is known then.
    fn list(&mut self) -> impl Future<Output = Result<Listing, PlatformError>>;

    /// Waits up to `wait` for changes after `after`; none are an empty answer.
    ///
    /// # Errors
    ///
    /// [`PlatformError`]; after [`PlatformError::HistoryExpired`] list again.
    fn watch(
        &mut self,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, PlatformError>>;
}

//! The calls by which a process reads the platform's records, as a trait, and
//! the errors of these calls. The client for the platform in use implements it.

use std::future::Future;
use std::time::Duration;

use quick_error::quick_error;

use super::published::Changes;
use super::published::Listing;
use super::published::Revision;

quick_error! {
    /// Why a call to the platform failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum PlatformError {
        /// The platform no longer has the changes after the given revision, so
        /// all records must be listed again.
        HistoryExpired {
            display("the platform no longer has the changes after this revision")
        }
        /// The platform's store was restored from a copy since the given revision
        /// was read, or during a listing. All records must be listed again.
        EpochChanged {
            display("the platform's store was restored from a copy")
        }
        /// The answer is from before a restoration of the store that is already
        /// known, so it is ignored.
        EpochOutdated {
            display("the answer is from before the restoration of the platform's store")
        }
        /// The platform refused the call with this HTTP status; a retry may
        /// succeed.
        Refused(status: u16) {
            display("the platform refused the call with HTTP status {}", status)
        }
        /// The platform did not accept a connection, or did not answer in time.
        Unreachable(reason: String) {
            display("the platform can't be reached: {}", reason)
        }
        /// The platform's answer can't be decoded.
        Malformed(reason: String) {
            display("the platform's answer can't be read: {}", reason)
        }
    }
}

/// A client that reads the platform's records.
pub trait PlatformClient {
    /// Reads all records.
    ///
    /// # Errors
    ///
    /// [`PlatformError`]; then no records were read.
    fn list(&mut self) -> impl Future<Output = Result<Listing, PlatformError>>;

    /// Waits up to `wait` for changes after revision `after`, as a long poll.
    /// If nothing changes in that time, the result holds no changes.
    ///
    /// # Errors
    ///
    /// [`PlatformError`]; after [`PlatformError::HistoryExpired`] and
    /// [`PlatformError::EpochChanged`] the caller has to list all records again.
    fn watch(
        &mut self,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, PlatformError>>;
}

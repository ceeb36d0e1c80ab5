//! Replies of the platform to a poll, as its client passes them on.
//!
//! The platform publishes versioned texts: the fleet document and the list of
//! instances. A poll asks one of its replicas for a text newer than a version.

use quick_error::quick_error;
use ramp_state::key::Version;

/// A text that the platform published, with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedText {
    /// Version that the platform assigned.
    pub version: Version,
    /// Unparsed text.
    pub text: String,
}

/// Reply of a platform replica to a poll for a newer text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformReply {
    /// The replica has a newer text.
    Newer(PublishedText),
    /// No newer text was published before the poll timed out.
    Unchanged {
        /// Version that the replica has; a stale replica has a lower one than
        /// the poll named.
        version: Version,
    },
}

quick_error! {
    /// Why a call to the platform failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum PlatformCallError {
        /// Connecting failed, or the connection broke.
        Unreachable(reason: String) {
            display("the platform can't be reached: {}", reason)
        }
        /// No answer before the timeout.
        TimedOut {
            display("the platform did not answer in time")
        }
        /// The answer had an unexpected HTTP status.
        Status(code: u16) {
            display("the platform answered with status {}", code)
        }
        /// The answer's version header is missing or not readable.
        NoVersion {
            display("the platform's answer has no version")
        }
        /// The text is above the size limit or not UTF-8.
        Unreadable {
            display("the platform's text is too long or not UTF-8")
        }
    }
}

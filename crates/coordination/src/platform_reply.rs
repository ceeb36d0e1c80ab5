//! What the platform publishes, as its client hands it to the decisions.

use quick_error::quick_error;
use ramp_state::key::Version;

/// A text with the version that the platform gave it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedText {
    /// Version.
    pub version: Version,
    /// The text as published.
    pub text: String,
}

/// Answer of a replica of the platform to "what is newer than this version?".
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformReply {
    /// A newer text.
    Newer(PublishedText),
    /// Nothing newer came within the wait.
    Unchanged {
        /// Version that the replica has; lower than the one asked with when
        /// the replica is stale.
        version: Version,
    },
}

quick_error! {
    /// Why a call of the platform gave no answer.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum PlatformCallError {
        /// No connection, or it broke.
        Unreachable(reason: String) {
            display("the platform can't be reached: {}", reason)
        }
        /// No answer in time.
        TimedOut {
            display("the platform did not answer in time")
        }
        /// An answer with a status that has no meaning here.
        Status(code: u16) {
            display("the platform answered with status {}", code)
        }
        /// An answer without a readable version.
        NoVersion {
            display("the platform's answer has no version")
        }
        /// A text above the limit, or not UTF-8.
        Unreadable {
            display("the platform's text is too long or not UTF-8")
        }
    }
}

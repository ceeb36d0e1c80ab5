//! Stores the newest fleet document and the versions before it.
//!
//! [`Store`] decides whether a document or delta is newer and without faults,
//! and makes deltas from earlier versions for peers.

use std::collections::VecDeque;
use std::sync::Arc;

use ramp_protocol::message::Delta;
use ramp_state::document::Document;
use ramp_state::fleet::Fleet;
use ramp_state::key::Version;
use ramp_state::validation::ValidationErrors;

use crate::delta;
use crate::delta::Versioned;
use crate::platform_reply::PublishedText;

/// Number of versions kept to make deltas from, the newest one included.
pub const HISTORY_VERSIONS: usize = 16;

/// Result of offering the text of a document to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum OfferOutcome {
    /// Not newer than the stored version, or refused before.
    NotNewer,
    /// Newer and without faults; now stored.
    Accepted(Arc<Fleet>),
    /// Newer, but with faults; not stored.
    Refused(ValidationErrors),
}

/// Result of applying a delta to the stored document.
#[derive(Clone, Debug, PartialEq)]
pub enum DeltaOutcome {
    /// It results in a version that is not newer.
    NotNewer,
    /// Applied; the resulting document is now stored.
    Accepted(Arc<Fleet>),
    /// It can't be applied to the stored document, or the result has faults;
    /// the whole document is needed.
    Unusable,
}

#[derive(Debug)]
struct StoredVersion {
    version: Version,
    document: Document,
}

/// The newest valid document with the versions before it, and the number of
/// the newest version that was refused.
#[derive(Debug, Default)]
pub struct Store {
    history: VecDeque<StoredVersion>,
    fleet: Option<Arc<Fleet>>,
    refused: Version,
}

impl Store {
    /// Newest valid version; zero when there is none.
    pub fn version(&self) -> Version {
        self.history
            .back()
            .map_or(Version(0), |stored| stored.version)
    }

    /// Newest version received, valid or refused.
    pub fn newest_seen(&self) -> Version {
        self.version().max(self.refused)
    }

    /// Whether `version` is newer than the stored one, and is not the one that
    /// was refused last.
    pub fn wants(&self, version: Version) -> bool {
        version > self.version() && version != self.refused
    }

    /// Fleet of the newest valid version.
    pub fn fleet(&self) -> Option<&Arc<Fleet>> {
        self.fleet.as_ref()
    }

    /// Text of the newest valid document, to send to another process.
    pub fn published(&self) -> Option<PublishedText> {
        let stored = self.history.back()?;
        Some(PublishedText {
            version: stored.version,
            text: stored.document.text(),
        })
    }

    /// Stores `published` if it is newer and without faults.
    pub fn offer(&mut self, published: &PublishedText) -> OfferOutcome {
        if !self.wants(published.version) {
            return OfferOutcome::NotNewer;
        }
        match Fleet::parse(published.version, &published.text) {
            Ok(fleet) => {
                OfferOutcome::Accepted(self.insert(fleet, Document::parse(&published.text)))
            }
            Err(faults) => {
                self.refused = self.refused.max(published.version);
                OfferOutcome::Refused(faults)
            }
        }
    }

    /// Applies `delta` to the newest document and stores the result.
    pub fn apply(&mut self, delta: &Delta) -> DeltaOutcome {
        if delta.to <= self.version() {
            return DeltaOutcome::NotNewer;
        }
        let Some(stored) = self.history.back() else {
            return DeltaOutcome::Unusable;
        };
        // The hash decides whether the delta applies, not the version that it
        // was made from: a delayed delta from an earlier version may still
        // result in the right document.
        let Ok(document) = delta::apply(&stored.document, delta) else {
            return DeltaOutcome::Unusable;
        };
        match Fleet::parse(delta.to, &document.text()) {
            Ok(fleet) => DeltaOutcome::Accepted(self.insert(fleet, document)),
            Err(_) => DeltaOutcome::Unusable,
        }
    }

    /// Delta from the version `have` to the newest; none when that version is
    /// no longer stored, or the delta does not fit into a datagram.
    pub fn delta_since(&self, have: Version) -> Option<Delta> {
        let from = self.history.iter().find(|stored| stored.version == have)?;
        let delta = delta::diff(from.versioned(), self.history.back()?.versioned());
        delta::fits(&delta).then_some(delta)
    }

    fn insert(&mut self, fleet: Fleet, mut document: Document) -> Arc<Fleet> {
        if let Some(stored) = self.history.back() {
            document.share_sections_with(&stored.document);
        }
        if self.history.len() == HISTORY_VERSIONS {
            self.history.pop_front();
        }
        self.history.push_back(StoredVersion {
            version: fleet.version,
            document,
        });
        let fleet = Arc::new(fleet);
        self.fleet = Some(fleet.clone());
        fleet
    }
}

impl StoredVersion {
    fn versioned(&self) -> Versioned<'_> {
        Versioned {
            version: self.version,
            document: &self.document,
        }
    }
}

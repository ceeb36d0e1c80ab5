//! The document in force and the versions before it.

use std::collections::VecDeque;
use std::sync::Arc;

use ramp_protocol::message::Delta;
use ramp_state::document::Document;
use ramp_state::fault::Faults;
use ramp_state::fleet::Fleet;
use ramp_state::key::Version;

use crate::delta;
use crate::delta::Versioned;
use crate::published::Published;

/// Versions from which a delta can be made, the newest one included.
pub const HISTORY_VERSIONS: usize = 16;

/// What became of a text that was offered.
#[derive(Clone, Debug, PartialEq)]
pub enum OfferOutcome {
    /// Nothing newer than what is known.
    NotNewer,
    /// Newer, and taken.
    Accepted(Arc<Fleet>),
    /// Newer, but with faults.
    Refused(Faults),
}

/// What became of a delta.
#[derive(Clone, Debug, PartialEq)]
pub enum DeltaOutcome {
    /// It leads to nothing newer.
    NotNewer,
    /// Applied.
    Accepted(Arc<Fleet>),
    /// It does not apply here; the whole document is needed.
    Unusable,
}

#[derive(Debug)]
struct StoredVersion {
    version: Version,
    document: Document,
}

/// Versions held, oldest first, and the newest one that was refused.
#[derive(Debug, Default)]
pub struct Store {
    history: VecDeque<StoredVersion>,
    fleet: Option<Arc<Fleet>>,
    refused: Version,
}

impl Store {
    /// Newest good version; zero when there is none.
    pub fn version(&self) -> Version {
        self.history
            .back()
            .map_or(Version(0), |stored| stored.version)
    }

    /// Newest version that was seen, good or not.
    pub fn newest_seen(&self) -> Version {
        self.version().max(self.refused)
    }

    /// Whether `version` is newer than what is held, and was not refused.
    pub fn wants(&self, version: Version) -> bool {
        version > self.version() && version != self.refused
    }

    /// Newest good fleet.
    pub fn fleet(&self) -> Option<&Arc<Fleet>> {
        self.fleet.as_ref()
    }

    /// Newest good document as text for another process.
    pub fn published(&self) -> Option<Published> {
        let stored = self.history.back()?;
        Some(Published {
            version: stored.version,
            text: stored.document.text(),
        })
    }

    /// Takes `published` if it is newer and without faults.
    pub fn offer(&mut self, published: &Published) -> OfferOutcome {
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

    /// Takes the document that `delta` leads to.
    pub fn apply(&mut self, delta: &Delta) -> DeltaOutcome {
        if delta.to <= self.version() {
            return DeltaOutcome::NotNewer;
        }
        let Some(stored) = self.history.back() else {
            return DeltaOutcome::Unusable;
        };
        // The hash tells whether the delta fits what is held; a late one that
        // was made for an earlier version may fit all the same.
        let Ok(document) = delta::apply(&stored.document, delta) else {
            return DeltaOutcome::Unusable;
        };
        match Fleet::parse(delta.to, &document.text()) {
            Ok(fleet) => DeltaOutcome::Accepted(self.insert(fleet, document)),
            Err(_) => DeltaOutcome::Unusable,
        }
    }

    /// Change from the version `have` to the newest; none when it is no
    /// longer held, or the change does not fit into a datagram.
    pub fn delta_since(&self, have: Version) -> Option<Delta> {
        let from = self.history.iter().find(|stored| stored.version == have)?;
        let delta = delta::diff(from.versioned(), self.history.back()?.versioned());
        delta::fits(&delta).then_some(delta)
    }

    fn insert(&mut self, fleet: Fleet, mut document: Document) -> Arc<Fleet> {
        if let Some(stored) = self.history.back() {
            document.share(&stored.document);
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

//! Computes and applies deltas between versions of the fleet document.
//!
//! Processes send each other deltas instead of whole documents. A delta lists
//! the sections that were changed, added or removed, and carries the hash of
//! the resulting document, so that a delta applied to the wrong document is
//! detected. A delta is sent only when it fits into one datagram.

use indexmap::IndexMap;
use quick_error::quick_error;
use ramp_protocol::auth::TAG_LEN_BYTES;
use ramp_protocol::codec;
use ramp_protocol::message::Delta;
use ramp_protocol::message::Envelope;
use ramp_protocol::message::Message;
use ramp_protocol::message::Section;
use ramp_state::document::Document;
use ramp_state::key::Incarnation;
use ramp_state::key::InstanceId;
use ramp_state::key::Version;

/// Limit on the size of a datagram with a delta, authentication tag included.
/// A datagram of this size passes any network without fragmentation.
pub const DELTA_LIMIT_BYTES: usize = 1400;

quick_error! {
    /// Why a delta was not applied.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ApplyError {
        /// The resulting document is not the one that the delta was made to
        /// produce.
        HashDiffers {
            display("the hash of the resulting document differs from the one in the delta")
        }
    }
}

/// A document and the version that the platform gave it.
#[derive(Clone, Copy, Debug)]
pub struct Versioned<'a> {
    /// Version under which the platform published it.
    pub version: Version,
    /// Parsed sections of the fleet document.
    pub document: &'a Document,
}

/// Computes the delta that turns `from` into `to`.
pub fn diff(from: Versioned<'_>, to: Versioned<'_>) -> Delta {
    let changed = to
        .document
        .sections()
        .filter(|(name, text)| from.document.section(name) != Some(text))
        .map(|(name, text)| Section {
            name: name.to_string(),
            text: text.to_string(),
        })
        .collect();
    let removed = from
        .document
        .sections()
        .filter(|(name, _)| to.document.section(name).is_none())
        .map(|(name, _)| name.to_string())
        .collect();
    Delta {
        from: from.version,
        to: to.version,
        hash: to.document.hash64(),
        changed,
        removed,
    }
}

/// Applies `delta` to `base` and returns the resulting document.
///
/// # Errors
///
/// [`ApplyError`] when the delta was made for another document than `base`, or
/// is damaged itself.
pub fn apply(base: &Document, delta: &Delta) -> Result<Document, ApplyError> {
    let mut sections: IndexMap<&str, &str> = base.sections().collect();
    for name in &delta.removed {
        sections.shift_remove(name.as_str());
    }
    for section in &delta.changed {
        sections.insert(&section.name, &section.text);
    }
    let text: String = sections
        .iter()
        .map(|(name, text)| format!("[{name}]\n{text}"))
        .collect();
    // Parses the text again, because the text of a section in a damaged delta
    // may contain the headers of other sections.
    let mut document = Document::parse(&text);
    if document.hash64() != delta.hash {
        return Err(ApplyError::HashDiffers);
    }
    document.share_sections_with(base);
    Ok(document)
}

/// Whether `delta` fits into one datagram, with the largest numbers that its
/// envelope can carry.
pub fn fits(delta: &Delta) -> bool {
    let envelope = Envelope {
        sender: InstanceId(u64::MAX),
        incarnation: Incarnation(u64::MAX),
        sequence: u64::MAX,
        message: Message::Delta(delta.clone()),
    };
    codec::encode(&envelope).len() + TAG_LEN_BYTES <= DELTA_LIMIT_BYTES
}

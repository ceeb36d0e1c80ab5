//! Changes between versions of the fleet document, as they travel between
//! processes.

use indexmap::IndexMap;
use quick_error::quick_error;
use ramp_protocol::codec;
use ramp_protocol::message::Delta;
use ramp_protocol::message::Envelope;
use ramp_protocol::message::Message;
use ramp_protocol::message::Section;
use ramp_protocol::seal::TAG_LEN_BYTES;
use ramp_state::document::Document;
use ramp_state::key::Incarnation;
use ramp_state::key::InstanceId;
use ramp_state::key::Version;

/// Longest datagram that carries a delta, sealed: it passes any network
/// without being split.
pub const DELTA_LIMIT_BYTES: usize = 1400;

quick_error! {
    /// Why a delta was not applied.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ApplyError {
        /// The result is not the document that the delta was made for.
        HashDiffers {
            display("the changed document does not have the hash that the delta names")
        }
    }
}

/// A document and the version that the platform gave it.
#[derive(Clone, Copy, Debug)]
pub struct Versioned<'a> {
    /// The version.
    pub version: Version,
    /// The document.
    pub document: &'a Document,
}

/// What changed between two versions.
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

/// The document that `delta` makes of `base`.
///
/// # Errors
///
/// [`ApplyError`] when `base` is not what the delta was made for, or the delta
/// itself is damaged.
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
    // Read anew, so that nothing in a damaged delta passes for a section.
    let mut document = Document::parse(&text);
    if document.hash64() != delta.hash {
        return Err(ApplyError::HashDiffers);
    }
    document.share(base);
    Ok(document)
}

/// Whether `delta` fits into one datagram.
pub fn fits(delta: &Delta) -> bool {
    let envelope = Envelope {
        sender: InstanceId(u64::MAX),
        incarnation: Incarnation(u64::MAX),
        sequence: u64::MAX,
        message: Message::Delta(delta.clone()),
    };
    codec::encode(&envelope).len() + TAG_LEN_BYTES <= DELTA_LIMIT_BYTES
}

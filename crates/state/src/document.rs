//! Canonical form of a fleet document: its sections in sorted order, without
//! comments and blank lines. Texts with the same content have the same canonical
//! form, and every process computes the same hash for it.

use std::hash::Hasher;
use std::sync::Arc;

use indexmap::IndexMap;
use siphasher::sip::SipHasher13;

use crate::ini;
use crate::ini::Section;

/// SipHash key of the document hash. It is public: the hash detects accidental
/// differences and is no protection against forged documents.
const DOCUMENT_HASH_KEY: (u64, u64) = (0x646f_6375_6d65_6e74, 0x7261_6d70_0000_0001);

/// Canonical form of a document: the lines of each section by heading, sorted by
/// heading.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Document {
    sections: IndexMap<Arc<str>, Arc<str>>,
}

impl Document {
    /// Canonical form of `text`, which [`crate::fleet::Fleet::parse`] should
    /// accept. Lines with invalid syntax are left out.
    pub fn parse(text: &str) -> Document {
        let (all, _) = ini::read(text);
        let mut sections: IndexMap<Arc<str>, Arc<str>> = all
            .iter()
            .map(|section| (section.heading.as_str().into(), lines(section).into()))
            .collect();
        sections.sort_unstable_keys();
        Document { sections }
    }

    /// Lines of the section with this heading.
    pub fn section(&self, heading: &str) -> Option<&str> {
        self.sections.get(heading).map(|text| &**text)
    }

    /// Headings with the lines of their sections, sorted by heading.
    pub fn sections(&self) -> impl Iterator<Item = (&str, &str)> {
        self.sections.iter().map(|(name, text)| (&**name, &**text))
    }

    /// The document as text that [`Document::parse`] reads back unchanged.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (heading, lines) in self.sections() {
            text.push_str(&format!("[{heading}]\n{lines}"));
        }
        text
    }

    /// Hash of the document; every process computes the same value.
    pub fn hash64(&self) -> u64 {
        let mut h = SipHasher13::new_with_keys(DOCUMENT_HASH_KEY.0, DOCUMENT_HASH_KEY.1);
        for (heading, lines) in self.sections() {
            // The lengths delimit the heading and the lines, which would
            // otherwise run together in the hash.
            h.write(&(heading.len() as u64).to_le_bytes());
            h.write(heading.as_bytes());
            h.write(&(lines.len() as u64).to_le_bytes());
            h.write(lines.as_bytes());
        }
        h.finish()
    }

    /// Shares the memory of sections that are the same in `other`.
    pub fn share_sections_with(&mut self, other: &Document) {
        for (heading, lines) in &mut self.sections {
            if let Some(same) = other.sections.get(heading).filter(|same| *same == lines) {
                *lines = same.clone();
            }
        }
    }
}

fn lines(section: &Section) -> String {
    section
        .entries
        .iter()
        .map(|entry| format!("{} = {}\n", entry.key, entry.value))
        .collect()
}

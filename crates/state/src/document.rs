//! Canonical form of a fleet document: what it says, without comments, blank
//! lines and the order of sections. Two texts that say the same have the same
//! canonical form and hash everywhere.

use std::hash::Hasher;
use std::sync::Arc;

use indexmap::IndexMap;
use siphasher::sip::SipHasher13;

use crate::ini;
use crate::ini::Section;

/// Salt of the hash of documents; it finds mistakes, it protects nothing.
const DOCUMENT_SALT: (u64, u64) = (0x646f_6375_6d65_6e74, 0x7261_6d70_0000_0001);

/// A document as its sections, by heading and in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Document {
    sections: IndexMap<Arc<str>, Arc<str>>,
}

impl Document {
    /// Canonical form of `text`, which [`crate::fleet::Fleet::parse`] accepts.
    /// Of a text with faults, lines without sense are left out.
    pub fn parse(text: &str) -> Document {
        let (all, _) = ini::read(text);
        let mut sections: IndexMap<Arc<str>, Arc<str>> = all
            .iter()
            .map(|section| (section.heading.as_str().into(), lines(section).into()))
            .collect();
        sections.sort_unstable_keys();
        Document { sections }
    }

    /// Lines below a heading.
    pub fn section(&self, heading: &str) -> Option<&str> {
        self.sections.get(heading).map(|text| &**text)
    }

    /// Headings and the lines below them, in order of headings.
    pub fn sections(&self) -> impl Iterator<Item = (&str, &str)> {
        self.sections.iter().map(|(name, text)| (&**name, &**text))
    }

    /// The whole as text that [`Document::parse`] reads back.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (heading, lines) in self.sections() {
            text.push_str(&format!("[{heading}]\n{lines}"));
        }
        text
    }

    /// Hash that every process computes alike.
    pub fn hash64(&self) -> u64 {
        let mut h = SipHasher13::new_with_keys(DOCUMENT_SALT.0, DOCUMENT_SALT.1);
        for (heading, lines) in self.sections() {
            // The lengths keep apart what is heading and what is text.
            h.write(&(heading.len() as u64).to_le_bytes());
            h.write(heading.as_bytes());
            h.write(&(lines.len() as u64).to_le_bytes());
            h.write(lines.as_bytes());
        }
        h.finish()
    }

    /// Takes over the memory of sections that `other` has too.
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

//! INI text as sections and entries that know their lines.
//!
//! The library stops at the first fault and forgets lines, so it is given one
//! line at a time. A line is blank, a comment (`;` or `#` first), a heading or
//! an entry; nothing goes on over several lines.

use ini::Ini;
use ini::ParseOption;

use crate::validation::ValidationError;
use crate::validation::ValidationErrors;

/// One `key = value` line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Line that it stands in, from 1.
    pub line: usize,
    /// Key, without surrounding blanks.
    pub key: String,
    /// Value, without surrounding blanks.
    pub value: String,
}

/// A heading and the entries below it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// Line of the heading, from 1.
    pub line: usize,
    /// Heading without brackets, its words parted by one blank.
    pub heading: String,
    /// Entries in the order of the text.
    pub entries: Vec<Entry>,
}

impl Section {
    /// Value of the first entry with this key.
    pub fn value(&self, key: &str) -> Option<&str> {
        self.entry(key).map(|entry| entry.value.as_str())
    }

    /// First entry with this key.
    pub fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.key == key)
    }

    /// First word of the heading.
    pub fn kind(&self) -> &str {
        self.heading.split(' ').next().unwrap_or_default()
    }

    /// What stands behind the first word of the heading; empty when nothing does.
    pub fn name(&self) -> &str {
        match self.heading.split_once(' ') {
            Some((_, name)) => name,
            None => "",
        }
    }

    /// Fault at the heading.
    pub fn fault(&self, found: impl Into<String>, allowed: impl Into<String>) -> ValidationError {
        ValidationError {
            file: None,
            line: self.line,
            section: self.heading.clone(),
            key: None,
            found: found.into(),
            allowed: allowed.into(),
        }
    }

    /// Fault at the first entry with this key, or at the heading without one.
    pub fn fault_at(
        &self,
        key: &str,
        found: impl Into<String>,
        allowed: impl Into<String>,
    ) -> ValidationError {
        ValidationError {
            line: self.entry(key).map_or(self.line, |entry| entry.line),
            key: Some(key.to_string()),
            ..self.fault(found, allowed)
        }
    }
}

/// Sections of `text` in its order, and the faults of its syntax. Sections
/// that have the same heading are not merged.
pub fn read(text: &str) -> (Vec<Section>, ValidationErrors) {
    let mut sections: Vec<Section> = Vec::new();
    let mut faults = ValidationErrors::default();
    for (i, raw) in text.lines().enumerate() {
        let line = i + 1;
        match read_line(raw) {
            Some(Line::Blank) => {}
            Some(Line::Heading(heading)) => sections.push(Section {
                line,
                heading,
                entries: Vec::new(),
            }),
            Some(Line::Entry { key, value }) => match sections.last_mut() {
                Some(section) => section.entries.push(Entry { line, key, value }),
                None => faults.push(stray(line, raw, "", "a heading before the first entry")),
            },
            None => {
                let heading = sections.last().map_or("", |s| s.heading.as_str());
                let allowed = "[HEADING], KEY = VALUE, or a comment behind ; or #";
                faults.push(stray(line, raw, heading, allowed));
            }
        }
    }
    (sections, faults)
}

enum Line {
    Blank,
    Heading(String),
    Entry { key: String, value: String },
}

/// Kind of one line; none when it has no sense.
fn read_line(raw: &str) -> Option<Line> {
    let line = raw.trim();
    if line.is_empty() || line.starts_with([';', '#']) {
        return Some(Line::Blank);
    }
    // The library takes a carriage return for the end of the line.
    if line.chars().any(|c| c.is_control() && c != '\t') {
        return None;
    }
    // The library accepts text behind the bracket and takes it for a key.
    if line.starts_with('[') && line.find(']') != Some(line.len() - 1) {
        return None;
    }
    let options = ParseOption {
        enabled_escape: false,
        enabled_quote: false,
        ..ParseOption::default()
    };
    let ini = Ini::load_from_str_opt(line, options).ok()?;
    if let Some(heading) = ini.sections().flatten().next() {
        let words: Vec<&str> = heading.split_whitespace().collect();
        return match words.is_empty() {
            true => None,
            false => Some(Line::Heading(words.join(" "))),
        };
    }
    let (key, value) = ini.general_section().iter().next()?;
    Some(Line::Entry {
        key: key.trim().to_string(),
        value: value.trim().to_string(),
    })
}

fn stray(line: usize, raw: &str, heading: &str, allowed: &str) -> ValidationError {
    ValidationError {
        file: None,
        line,
        section: heading.to_string(),
        key: None,
        found: quote(raw.trim()),
        allowed: allowed.to_string(),
    }
}

/// Characters of a value that a fault shows.
const SHOWN_CHARS: usize = 80;

/// `value` as a fault shows it: between quotes, cut when long.
pub fn quote(value: &str) -> String {
    if value.chars().count() <= SHOWN_CHARS {
        return format!("`{value}`");
    }
    let head: String = value.chars().take(SHOWN_CHARS).collect();
    format!("`{head}...`")
}

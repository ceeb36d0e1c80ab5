//! INI parser that keeps line numbers and reports all syntax errors.
//!
//! The `ini` library stops at the first error and drops line numbers, so each
//! line is passed to it separately. A line is blank, a comment (starting with
//! `;` or `#`), a heading or an entry; there are no continuation lines.

use ini::Ini;
use ini::ParseOption;

use crate::validation::ValidationError;
use crate::validation::ValidationErrors;

/// One `key = value` line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Line number, from 1.
    pub line: usize,
    /// Key, without surrounding blanks.
    pub key: String,
    /// Value, without surrounding blanks.
    pub value: String,
}

/// A heading and the entries below it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// Line number of the heading, from 1.
    pub line: usize,
    /// Heading without brackets, its words separated by one blank.
    pub heading: String,
    /// Entries in file order.
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

    /// Heading after its first word; empty when it has only one word.
    pub fn name(&self) -> &str {
        match self.heading.split_once(' ') {
            Some((_, name)) => name,
            None => "",
        }
    }

    /// Error at the line of the heading.
    pub fn error(&self, found: impl Into<String>, allowed: impl Into<String>) -> ValidationError {
        ValidationError {
            file: None,
            line: self.line,
            section: self.heading.clone(),
            key: None,
            found: found.into(),
            allowed: allowed.into(),
        }
    }

    /// Error at the first entry with this key, or at the heading when there is
    /// no such entry.
    pub fn error_at(
        &self,
        key: &str,
        found: impl Into<String>,
        allowed: impl Into<String>,
    ) -> ValidationError {
        ValidationError {
            line: self.entry(key).map_or(self.line, |entry| entry.line),
            key: Some(key.to_string()),
            ..self.error(found, allowed)
        }
    }
}

/// Sections of `text` in file order, and its syntax errors. Sections with the
/// same heading are not merged.
pub fn read(text: &str) -> (Vec<Section>, ValidationErrors) {
    let mut sections: Vec<Section> = Vec::new();
    let mut errors = ValidationErrors::default();
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
                None => errors.push(syntax_error(
                    line,
                    raw,
                    "",
                    "a heading before the first entry",
                )),
            },
            None => {
                let heading = sections.last().map_or("", |s| s.heading.as_str());
                let allowed = "[HEADING], KEY = VALUE, or a comment behind ; or #";
                errors.push(syntax_error(line, raw, heading, allowed));
            }
        }
    }
    (sections, errors)
}

enum Line {
    Blank,
    Heading(String),
    Entry { key: String, value: String },
}

/// Parses one line; `None` when its syntax is invalid.
fn read_line(raw: &str) -> Option<Line> {
    let line = raw.trim();
    if line.is_empty() || line.starts_with([';', '#']) {
        return Some(Line::Blank);
    }
    // The library treats a carriage return as the end of a line.
    if line.chars().any(|c| c.is_control() && c != '\t') {
        return None;
    }
    // The library accepts text after the closing bracket and treats it as a key.
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

fn syntax_error(line: usize, raw: &str, heading: &str, allowed: &str) -> ValidationError {
    ValidationError {
        file: None,
        line,
        section: heading.to_string(),
        key: None,
        found: quote(raw.trim()),
        allowed: allowed.to_string(),
    }
}

/// Characters of a value that an error message shows.
const MAX_QUOTED_CHARS: usize = 80;

/// `value` as error messages show it: in backquotes, truncated when long.
pub fn quote(value: &str) -> String {
    if value.chars().count() <= MAX_QUOTED_CHARS {
        return format!("`{value}`");
    }
    let head: String = value.chars().take(MAX_QUOTED_CHARS).collect();
    format!("`{head}...`")
}

//! Schema of configuration texts: tables of the sections and keys that a text may
//! have, and validation against them. The key reference is generated from the same
//! tables, and a test compares docs/CONFIGURATION.md with it.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use crate::ini::Section;
use crate::ini::quote;
use crate::key::FLEET_KEY_LEN_BYTES;
use crate::policy::POLICY_KEYS;
use crate::policy::PolicyKey;
use crate::validation::ValidationError;
use crate::validation::ValidationErrors;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_LEN_BYTES: usize = 64;

/// Format that a value must have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueFormat {
    /// IPv4 address and port that other processes connect to.
    Address,
    /// IPv4 address and port to listen on; with port 0 the kernel assigns one.
    Listen,
    /// Distinct addresses, separated by commas.
    Addresses,
    /// Name, such as that of a backend server or of a region.
    Name,
    /// One of these words.
    OneOf(&'static [&'static str]),
    /// Free text for people; must hold a letter or digit.
    Reason,
    /// Kind and name of what an exception covers.
    Scope,
    /// Secret key of the fleet in hexadecimal digits.
    HexKey,
}

impl ValueFormat {
    /// Whether `value` has this format.
    pub fn accepts(&self, value: &str) -> bool {
        match self {
            ValueFormat::Address => address(value).is_some(),
            ValueFormat::Listen => value.parse::<SocketAddrV4>().is_ok(),
            ValueFormat::Addresses => addresses(value).is_some(),
            ValueFormat::Name => is_name(value),
            ValueFormat::OneOf(words) => words.contains(&value),
            ValueFormat::Reason => value.chars().any(char::is_alphanumeric),
            ValueFormat::Scope => scope(value).is_some(),
            ValueFormat::HexKey => hex_key(value).is_some(),
        }
    }

    /// Description of the allowed values, for error messages and the key
    /// reference.
    pub fn allowed(&self) -> String {
        match self {
            ValueFormat::Address => "IPv4:PORT, not 0.0.0.0, port 1 to 65535".to_string(),
            ValueFormat::Listen => {
                "IPv4:PORT, port 0 to 65535 (0: the kernel gives one)".to_string()
            }
            ValueFormat::Addresses => "IPv4:PORT, IPv4:PORT, ..., each once".to_string(),
            ValueFormat::Name => {
                format!("a name of 1 to {MAX_NAME_LEN_BYTES} letters, digits, `-`, `_` or `.`")
            }
            ValueFormat::OneOf(words) => words.join(" or "),
            ValueFormat::Reason => "a reason in words, not blank".to_string(),
            ValueFormat::Scope => "service NAME, data-centre NAME or server NAME".to_string(),
            ValueFormat::HexKey => format!("{} hexadecimal digits", 2 * FLEET_KEY_LEN_BYTES),
        }
    }
}

/// A key that sections of one kind may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyInfo {
    /// Key as written in the text.
    pub name: &'static str,
    /// Format of its value.
    pub format: ValueFormat,
    /// Value when the key is absent; `None` when the key is mandatory.
    pub default: Option<&'static str>,
    /// Meaning of the key, for the key reference.
    pub description: &'static str,
}

/// One kind of section.
#[derive(Clone, Copy, Debug)]
pub struct SectionInfo {
    /// First word of the heading.
    pub kind: &'static str,
    /// Whether the heading has a name after its first word.
    pub has_name: bool,
    /// Whether the text must have at least one such section.
    pub mandatory: bool,
    /// Keys that such a section may have.
    pub keys: &'static [KeyInfo],
    /// Whether such a section may also have the keys of [`POLICY_KEYS`].
    pub accepts_policy_keys: bool,
    /// Meaning of the section, for the key reference.
    pub description: &'static str,
}

impl SectionInfo {
    /// Heading as error messages and the key reference show it.
    pub fn heading(&self) -> String {
        match self.has_name {
            true => format!("[{} NAME]", self.kind),
            false => format!("[{}]", self.kind),
        }
    }

    fn key(&self, name: &str) -> Option<&'static KeyInfo> {
        self.keys.iter().find(|key| key.name == name)
    }

    fn policy_key(&self, name: &str) -> Option<&'static PolicyKey> {
        POLICY_KEYS
            .iter()
            .find(|key| self.accepts_policy_keys && key.name == name)
    }

    /// Whether the heading of `section` is of this kind.
    pub fn matches(&self, section: &Section) -> bool {
        self.kind == section.kind() && self.has_name != section.name().is_empty()
    }

    fn key_names(&self) -> String {
        let own = self.keys.iter().map(|key| key.name);
        let policy = POLICY_KEYS.iter().map(|key| key.name);
        own.chain(policy.filter(|_| self.accepts_policy_keys))
            .collect::<Vec<&str>>()
            .join(", ")
    }
}

/// Validates `sections` against `table` and adds an error for each unknown,
/// repeated or missing section or key and each value in a wrong format.
pub fn check(sections: &[Section], table: &'static [SectionInfo], errors: &mut ValidationErrors) {
    let mut first: HashMap<&str, usize> = HashMap::new();
    for section in sections {
        let Some(info) = table.iter().find(|info| info.matches(section)) else {
            let heading = quote(&format!("[{}]", section.heading));
            errors.push(section.error(format!("section {heading}"), headings(table)));
            continue;
        };
        if let Some(line) = first.insert(&section.heading, section.line) {
            let found = format!("the section again, first in line {line}");
            errors.push(section.error(found, "each section once"));
        }
        if info.has_name && !is_name(section.name()) {
            errors.push(section.error(quote(section.name()), ValueFormat::Name.allowed()));
        }
        check_keys(section, info, errors);
    }
    for info in table.iter().filter(|info| info.mandatory) {
        if !sections.iter().any(|section| info.matches(section)) {
            errors.push(missing_section(info));
        }
    }
}

fn check_keys(section: &Section, info: &SectionInfo, errors: &mut ValidationErrors) {
    let mut first: HashMap<&str, usize> = HashMap::new();
    for entry in &section.entries {
        let mut report = |found: String, allowed: String| {
            let mut error = section.error_at(&entry.key, found, allowed);
            error.line = entry.line;
            errors.push(error);
        };
        if let Some(line) = first.insert(&entry.key, entry.line) {
            report(
                format!("the key again, first in line {line}"),
                "each key once in a section".to_string(),
            );
        }
        if let Some(key) = info.key(&entry.key) {
            if !key.format.accepts(&entry.value) {
                report(quote(&entry.value), key.format.allowed());
            }
        } else if let Some(key) = info.policy_key(&entry.key) {
            if key.parse(&entry.value).is_none() {
                report(quote(&entry.value), key.allowed());
            }
        } else {
            report("an unknown key".to_string(), info.key_names());
        }
    }
    for key in info.keys.iter().filter(|key| key.default.is_none()) {
        if section.entry(key.name).is_none() {
            errors.push(section.error_at(key.name, "no value", key.format.allowed()));
        }
    }
}

fn missing_section(info: &SectionInfo) -> ValidationError {
    ValidationError {
        file: None,
        line: 1,
        section: String::new(),
        key: None,
        found: format!("no section {}", info.heading()),
        allowed: match info.has_name {
            true => "at least one".to_string(),
            false => "exactly one".to_string(),
        },
    }
}

fn headings(table: &[SectionInfo]) -> String {
    table
        .iter()
        .map(SectionInfo::heading)
        .collect::<Vec<String>>()
        .join(", ")
}

/// Whether `value` is a valid name.
pub fn is_name(value: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    (1..=MAX_NAME_LEN_BYTES).contains(&value.len()) && value.bytes().all(allowed)
}

/// Parses an address that other processes can connect to.
pub fn address(value: &str) -> Option<SocketAddrV4> {
    let address: SocketAddrV4 = value.parse().ok()?;
    let usable = !address.ip().is_unspecified() && address.port() != 0;
    usable.then_some(address)
}

/// Parses distinct addresses separated by commas.
pub fn addresses(value: &str) -> Option<Vec<SocketAddrV4>> {
    let mut all = Vec::new();
    for part in value.split(',') {
        let one = address(part.trim())?;
        if all.contains(&one) {
            return None;
        }
        all.push(one);
    }
    Some(all)
}

/// Splits what an exception covers into its kind and name.
pub fn scope(value: &str) -> Option<(&str, &str)> {
    let (kind, name) = value.split_once(char::is_whitespace)?;
    let name = name.trim();
    let known = ["service", "data-centre", "server"].contains(&kind);
    (known && is_name(name)).then_some((kind, name))
}

/// Parses the secret key of the fleet from hexadecimal digits.
pub fn hex_key(value: &str) -> Option<[u8; FLEET_KEY_LEN_BYTES]> {
    if value.len() != 2 * FLEET_KEY_LEN_BYTES || !value.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    let number = u128::from_str_radix(value, 16).ok()?;
    Some(number.to_be_bytes())
}

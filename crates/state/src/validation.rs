//! Faults in settings and documents: where, what was found, what is allowed.

use std::error::Error;
use std::fmt;

/// One fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// File that it stands in, where one is known.
    pub file: Option<String>,
    /// Line that it stands in, from 1.
    pub line: usize,
    /// Heading of its section, without brackets; empty before the first one.
    pub section: String,
    /// Key that it concerns, if it concerns one.
    pub key: Option<String>,
    /// What was found.
    pub found: String,
    /// What is allowed there.
    pub allowed: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.file {
            Some(file) => write!(f, "{file}:{}: ", self.line)?,
            None => write!(f, "line {}: ", self.line)?,
        }
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if let Some(key) = &self.key {
            write!(f, "{key}: ")?;
        }
        write!(f, "found {}; allowed: {}", self.found, self.allowed)
    }
}

/// All faults of one text, in order of their lines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ValidationErrors(Vec<ValidationError>);

impl ValidationErrors {
    /// Adds a fault.
    pub fn push(&mut self, fault: ValidationError) {
        self.0.push(fault);
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// The faults, in order of their lines once [`ValidationErrors::into_result`] gave them.
    pub fn iter(&self) -> impl Iterator<Item = &ValidationError> {
        self.0.iter()
    }

    /// Names the file that the faults stand in.
    pub fn in_file(mut self, file: &str) -> ValidationErrors {
        for fault in &mut self.0 {
            fault.file = Some(file.to_string());
        }
        self
    }

    /// Gives `value` when there is no fault.
    ///
    /// # Errors
    ///
    /// All faults, in order of their lines.
    pub fn into_result<T>(mut self, value: T) -> Result<T, ValidationErrors> {
        if self.0.is_empty() {
            return Ok(value);
        }
        self.0.sort_by_key(|fault| fault.line);
        Err(self)
    }
}

impl fmt::Display for ValidationErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl Error for ValidationErrors {}

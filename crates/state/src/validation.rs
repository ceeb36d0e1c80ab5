//! Validation errors of settings files and documents: the place of each error,
//! what was found there and what is allowed.

use std::error::Error;
use std::fmt;

/// One invalid or missing line, section, key or value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// Name of the file; `None` when the text does not come from a file.
    pub file: Option<String>,
    /// Line number, from 1.
    pub line: usize,
    /// Heading of the section, without brackets; empty before the first heading.
    pub section: String,
    /// Key with the error; `None` when a whole line or section is wrong.
    pub key: Option<String>,
    /// What was found there, in words.
    pub found: String,
    /// What is allowed there, in words.
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

/// All validation errors of one text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ValidationErrors(Vec<ValidationError>);

impl ValidationErrors {
    /// Adds an error.
    pub fn push(&mut self, error: ValidationError) {
        self.0.push(error);
    }

    /// Whether the text is valid so far.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of errors.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// The errors; in order of lines once [`ValidationErrors::into_result`] has
    /// returned them.
    pub fn iter(&self) -> impl Iterator<Item = &ValidationError> {
        self.0.iter()
    }

    /// Sets the name of the file in all errors.
    pub fn in_file(mut self, file: &str) -> ValidationErrors {
        for error in &mut self.0 {
            error.file = Some(file.to_string());
        }
        self
    }

    /// Returns `value` when there is no error.
    ///
    /// # Errors
    ///
    /// All errors, in order of lines.
    pub fn into_result<T>(mut self, value: T) -> Result<T, ValidationErrors> {
        if self.0.is_empty() {
            return Ok(value);
        }
        self.0.sort_by_key(|error| error.line);
        Err(self)
    }
}

impl fmt::Display for ValidationErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, error) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl Error for ValidationErrors {}

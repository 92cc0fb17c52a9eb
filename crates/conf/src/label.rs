//! Labels of objects and the selectors that match them, with parsing and validation.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use base::prelude::*;

use crate::error::Error;

/// Labels of one object, by name.
pub type Labels = BTreeMap<String, String>;

/// Maximum length of a label name, in bytes.
pub const NAME_MAX_BYTES: usize = 63;
/// Maximum length of a label value, in bytes.
pub const VALUE_MAX_BYTES: usize = 63;
/// Maximum number of labels of one object.
pub const LABELS_MAX: usize = 32;
/// Maximum number of terms of one selector.
pub const TERMS_MAX: usize = 16;
/// Maximum length of the text of a selector, in bytes.
pub const SELECTOR_MAX_BYTES: usize = 2048;

/// One condition of a selector.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Term {
    /// `name=value`: the label is present with this value.
    Equal(String, String),
    /// `name!=value`: the label is absent or has another value.
    NotEqual(String, String),
    /// `name`: the label is present.
    Present(String),
    /// `!name`: the label is absent.
    Absent(String),
}

/// A conjunction of conditions on labels. A selector without terms matches nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selector {
    terms: Vec<Term>,
}

impl Selector {
    /// Makes a selector from terms and validates them.
    ///
    /// # Errors
    ///
    /// `BadLabel` when there are more than `TERMS_MAX` terms or one of them is malformed.
    pub fn new(terms: impl Into<Vec<Term>>) -> Result<Selector, Error> {
        let terms = terms.into();
        if terms.len() > TERMS_MAX {
            return Err(bad_label(format!(
                "selector has more than {TERMS_MAX} terms"
            )));
        }
        terms.iter().try_for_each(Term::check)?;
        Ok(Selector { terms })
    }

    /// Returns the terms in the order in which they were given.
    pub fn terms(&self) -> &[Term] {
        &self.terms
    }

    /// Returns whether there are terms and all of them hold for `labels`.
    pub fn matches(&self, labels: &Labels) -> bool {
        !self.terms.is_empty() && self.terms.iter().all(|term| term.matches(labels))
    }
}

impl Term {
    fn matches(&self, labels: &Labels) -> bool {
        match self {
            Term::Equal(name, value) => labels.get(name) == Some(value),
            Term::NotEqual(name, value) => labels.get(name) != Some(value),
            Term::Present(name) => labels.contains_key(name),
            Term::Absent(name) => !labels.contains_key(name),
        }
    }

    fn check(&self) -> Result<(), Error> {
        match self {
            Term::Equal(name, value) | Term::NotEqual(name, value) => check(name, value),
            Term::Present(name) | Term::Absent(name) => check_name(name),
        }
    }
}

/// Validates one label.
///
/// # Errors
///
/// `BadLabel` when the name or value is empty, too long, or has characters outside `[a-z0-9./_-]`
/// (names) or `[A-Za-z0-9._-]` (values).
pub fn check(name: &str, value: &str) -> Result<(), Error> {
    check_name(name)?;
    if value.is_empty() || value.len() > VALUE_MAX_BYTES {
        return Err(bad_label(format!(
            "{name}: value must have 1 to {VALUE_MAX_BYTES} bytes"
        )));
    }
    if !value.bytes().all(is_value_byte) {
        return Err(bad_label(format!(
            "{name}: value {value:?} has other characters"
        )));
    }
    Ok(())
}

/// Validates the name of a label.
///
/// # Errors
///
/// `BadLabel`, under the same rules as `check`.
pub fn check_name(name: &str) -> Result<(), Error> {
    if name.is_empty() || name.len() > NAME_MAX_BYTES {
        return Err(bad_label(format!(
            "label name must have 1 to {NAME_MAX_BYTES} bytes"
        )));
    }
    if !name.bytes().all(is_name_byte) {
        return Err(bad_label(format!(
            "label name {name:?} has other characters"
        )));
    }
    Ok(())
}

/// Validates all labels of an object.
///
/// # Errors
///
/// `BadLabel` when there are more than `LABELS_MAX` labels, or for the first label that `check`
/// rejects.
pub fn check_all(labels: &Labels) -> Result<(), Error> {
    if labels.len() > LABELS_MAX {
        return Err(bad_label(format!("more than {LABELS_MAX} labels")));
    }
    labels
        .iter()
        .try_for_each(|(name, value)| check(name, value))
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"./_-".contains(&byte)
}

fn is_value_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"._-".contains(&byte)
}

fn bad_label(detail: impl Into<String>) -> Error {
    Error::new(Code::BadLabel, detail)
}

impl FromStr for Term {
    type Err = Error;

    fn from_str(text: &str) -> Result<Term, Error> {
        let text = text.trim();
        let term = if let Some((name, value)) = text.split_once("!=") {
            Term::NotEqual(name.trim().into(), value.trim().into())
        } else if let Some((name, value)) = text.split_once('=') {
            Term::Equal(name.trim().into(), value.trim().into())
        } else if let Some(name) = text.strip_prefix('!') {
            Term::Absent(name.trim().into())
        } else {
            Term::Present(text.into())
        };
        term.check()?;
        Ok(term)
    }
}

impl FromStr for Selector {
    type Err = Error;

    fn from_str(text: &str) -> Result<Selector, Error> {
        if text.len() > SELECTOR_MAX_BYTES {
            return Err(bad_label(format!(
                "selector is longer than {SELECTOR_MAX_BYTES} bytes"
            )));
        }
        if text.trim().is_empty() {
            return Ok(Selector::default());
        }
        let terms: Result<Vec<Term>, Error> = text.split(',').map(str::parse).collect();
        Selector::new(terms?)
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Term::Equal(name, value) => write!(f, "{name}={value}"),
            Term::NotEqual(name, value) => write!(f, "{name}!={value}"),
            Term::Present(name) => write!(f, "{name}"),
            Term::Absent(name) => write!(f, "!{name}"),
        }
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, term) in self.terms.iter().enumerate() {
            if index > 0 {
                f.write_str(",")?;
            }
            term.fmt(f)?;
        }
        Ok(())
    }
}

//! Validation errors of objects, labels and selectors.

use std::fmt;

use base::prelude::*;

/// A failed validation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The result code of the violated rule.
    pub code: Code,
    /// The offending value or limit, for operators; at most `DETAIL_MAX_BYTES` bytes.
    pub detail: String,
}

/// Maximum length of `Error::detail`, in bytes.
pub const DETAIL_MAX_BYTES: usize = 200;

impl Error {
    /// Makes an error and truncates `detail` to `DETAIL_MAX_BYTES`.
    pub fn new(code: Code, detail: impl Into<String>) -> Error {
        let mut detail = detail.into();
        if detail.len() > DETAIL_MAX_BYTES {
            let mut end = DETAIL_MAX_BYTES;
            while !detail.is_char_boundary(end) {
                end -= 1;
            }
            detail.truncate(end);
        }
        Error { code, detail }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code, self.detail)
    }
}

impl std::error::Error for Error {}

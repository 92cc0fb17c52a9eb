//! Errors that carry a result code, and their text.

use std::fmt;

use base::prelude::*;

/// An error of a command, with its result code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The result code.
    pub code: Code,
    /// Description of the error, printed after the result code.
    pub detail: String,
}

impl Failure {
    /// Makes an error with this result code and description.
    pub fn new(code: Code, detail: impl Into<String>) -> Failure {
        let detail = detail.into();
        Failure { code, detail }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for Failure {}

/// Returns the first result code in the chain of causes, if there is one.
pub(crate) fn result_code(report: &eyre::Report) -> Option<Code> {
    report.chain().find_map(|error| {
        let own = error.downcast_ref::<Failure>().map(|error| error.code);
        let conf = || error.downcast_ref::<conf::error::Error>().map(|e| e.code);
        let plat = || error.downcast_ref::<plat::Error>().map(plat::Error::code);
        let edit = || {
            let refusal = error.downcast_ref::<plat::edit::Refusal>();
            refusal.map(plat::edit::Refusal::code)
        };
        own.or_else(conf).or_else(plat).or_else(edit)
    })
}

/// Formats an error and its causes as one line that starts with the result code.
pub(crate) fn format_report(report: &eyre::Report) -> String {
    let mut text = String::new();
    if let Some(code) = result_code(report) {
        text = format!("{code}: ");
    }
    let parts: Vec<String> = report
        .chain()
        .map(|error| match error.downcast_ref::<conf::error::Error>() {
            Some(error) => error.detail.clone(),
            None => error.to_string(),
        })
        .collect();
    format!("{text}{}\n", parts.join(": "))
}

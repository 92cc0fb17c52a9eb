//! Errors of requests.

use std::fmt;

use base::prelude::*;
use conf::raw;

/// A failed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The stored object, which is enclosed, has a different version. Nothing was written.
    Conflict(Box<raw::Object>),
    /// There is no such object. Nothing was written.
    NotFound,
    /// The revision is too old, or ahead of the store: a full listing is required.
    Gone,
    /// The response was lost: the write may have taken effect.
    OutcomeUnknown(String),
    /// The platform is unreachable or cannot serve the request. Nothing was written.
    Unavailable(String),
    /// The request is invalid or the platform refused it. Nothing was written.
    Refused(String),
}

impl Error {
    /// Returns the result code that operators see.
    pub fn code(&self) -> Code {
        match self {
            Error::Conflict(_) => Code::Conflict,
            Error::NotFound => Code::NotFound,
            Error::OutcomeUnknown(_) | Error::Unavailable(_) => Code::PlatformDown,
            Error::Gone | Error::Refused(_) => Code::PlatformRefused,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Conflict(stored) => {
                let raw::Object {
                    kind,
                    name,
                    version,
                    ..
                } = &**stored;
                write!(f, "{kind} {name} is at v{version} now")
            }
            Error::NotFound => f.write_str("there is no such object"),
            Error::Gone => f.write_str("the revision is no longer available"),
            Error::OutcomeUnknown(why) => write!(f, "the change may have taken effect: {why}"),
            Error::Unavailable(why) => write!(f, "the platform cannot be reached: {why}"),
            Error::Refused(why) => write!(f, "the platform refused: {why}"),
        }
    }
}

impl std::error::Error for Error {}

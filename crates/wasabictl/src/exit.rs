//! Exit codes of the process.

use base::prelude::*;
use strum::EnumIter;
use strum::EnumMessage;

use crate::failure;

/// An exit code. The doc comment of each variant is printed by `--help` and listed in
/// `docs/CODES.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, EnumMessage)]
#[repr(u8)]
pub enum Exit {
    /// Success.
    Success = 0,
    /// Any other failure; the result code, if there is one, is printed.
    Failed = 1,
    /// The command line is invalid.
    Usage = 2,
    /// The revision was not in force on all balancers before the time-out.
    Timeout = 3,
    /// Conflict with a change by another operator, which was not overwritten.
    Conflict = 4,
    /// The input is not valid; nothing was written.
    Invalid = 5,
    /// The platform or balancer cannot be reached.
    Unreachable = 6,
    /// The object, balancer or result code does not exist.
    NotFound = 7,
}

impl Exit {
    /// Returns the number that the process exits with.
    pub fn number(self) -> u8 {
        self as u8
    }

    /// Returns the meaning of the exit code, as one sentence.
    pub fn meaning(self) -> &'static str {
        self.get_documentation().unwrap_or_default()
    }

    /// Returns the exit code for an error.
    pub(crate) fn from_report(report: &eyre::Report) -> Exit {
        failure::result_code(report).map_or(Exit::Failed, Exit::from)
    }
}

impl From<Code> for Exit {
    fn from(code: Code) -> Exit {
        match code {
            Code::Ok => Exit::Success,
            Code::Usage => Exit::Usage,
            Code::WaitTimeout => Exit::Timeout,
            Code::Conflict | Code::OldVersion => Exit::Conflict,
            Code::PlatformDown | Code::BalancerDown => Exit::Unreachable,
            Code::NotFound | Code::UnknownCode => Exit::NotFound,
            // 4xx: invalid configuration object.
            code if (400..500).contains(&code.number()) => Exit::Invalid,
            _ => Exit::Failed,
        }
    }
}

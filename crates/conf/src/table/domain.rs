//! Table rows of failure domains.

use std::fmt;

use crate::object::State;

/// A failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Uid assigned by the platform.
    pub uid: u32,
    /// Name of the failure domain.
    pub name: String,
    /// Desired state: `In` or `Out`.
    pub state: State,
    /// Whether the object exists.
    pub is_present: bool,
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} uid {}: ", self.name, self.uid)?;
        match self.is_present {
            true => write!(f, "{}", self.state),
            false => f.write_str("gone"),
        }
    }
}

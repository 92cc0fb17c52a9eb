//! Faults: configuration objects that are not applied, or only in part.

use std::fmt;

use base::prelude::*;

use crate::place::Place;
use serde::Deserialize;
use serde::Serialize;

/// A validation fault of one object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fault {
    /// Kind of the object.
    pub kind: String,
    /// Name of the object.
    pub name: String,
    /// Version of the object that has the fault.
    pub version: u64,
    /// The result code of the violated rule.
    pub code: Code,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault {
            kind,
            name,
            version,
            code,
        } = self;
        let revision = Place::from(*version).revision();
        write!(f, "fault {kind} {name} v{revision}: {code}")
    }
}

//! Input of a gate: queued requests, how requests ended, results of health probes.

use std::fmt;

use base::prelude::*;

/// A queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Item {
    /// Identifies the request; chosen by the user of the gate, and unique in it.
    pub key: u32,
    /// Uid of its service.
    pub service: u32,
    /// When the caller stops waiting for the answer.
    pub deadline: Time,
}

impl fmt::Display for Item {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "req{} svc{} by {}",
            self.key, self.service, self.deadline
        )
    }
}

/// How a started request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server sent a complete answer that is not a server error.
    Done {
        /// Service time, from the first byte written to the last byte read.
        took: Span,
    },
    /// The server shed the request.
    Shed,
    /// The connection could not be opened or was closed by the server, or the answer was a server
    /// error.
    Failed,
    /// The request timed out.
    TimedOut {
        /// A new connection to the same server worked in the meantime.
        new_connection_works: bool,
    },
    /// The request was abandoned, or failed in a way that gives no information about the server.
    Cancelled,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::Done { took } => write!(f, "done in {took}"),
            Outcome::Shed => write!(f, "shed"),
            Outcome::Failed => write!(f, "failed"),
            Outcome::TimedOut {
                new_connection_works: true,
            } => write!(f, "timed out, a new connection works"),
            Outcome::TimedOut {
                new_connection_works: false,
            } => write!(f, "timed out"),
            Outcome::Cancelled => write!(f, "cancelled"),
        }
    }
}

/// Report of a backend server's health endpoint. It may be stale or wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Probe {
    /// The server reports a cold start.
    pub is_cold: bool,
    /// The server reports that it is draining and wants no new requests.
    pub is_draining: bool,
    /// Number of requests that the server reports to be running.
    pub busy: u32,
    /// Number of connections that the server reports to be open.
    pub connections: u32,
}

impl fmt::Display for Probe {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = match (self.is_draining, self.is_cold) {
            (true, _) => "draining",
            (false, true) => "cold",
            (false, false) => "warm",
        };
        write!(
            f,
            "{state} busy {} connections {}",
            self.busy, self.connections
        )
    }
}

//! Attribution of response time-outs to a connection or to its server.
//!
//! A connection can become unresponsive for good while new ones to the same server work, for
//! instance when a middlebox loses its state. A request without an answer within the time limit
//! makes its connection a suspect, and a test connection is opened. If the test connection works,
//! the suspects are at fault: they are replaced, and the server is not blamed. If it fails too, the
//! server is at fault.

use std::collections::BTreeMap;
use std::fmt;

use base::prelude::*;

/// The cause of a response time-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The connection: close it, and those opened before it.
    Connection,
    /// The server: it is gone or unresponsive.
    Server,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Cause::Connection => "connection",
            Cause::Server => "server",
        })
    }
}

/// An unanswered request on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Unanswered {
    /// When the request was written.
    since: Time,
    /// Start of the test connection that decides on this one, if it is a suspect.
    suspected_at: Option<Time>,
}

/// The connections of one backend server with unanswered requests.
#[derive(Clone, Debug)]
pub struct Diagnosis {
    limit: Span,
    /// Start of the test connection in progress.
    test_started: Option<Time>,
    /// By connection.
    unanswered: BTreeMap<u32, Unanswered>,
}

impl Diagnosis {
    /// Creates a diagnosis that suspects a connection after `limit` without an answer.
    pub fn new(limit: Span) -> Diagnosis {
        Diagnosis {
            limit,
            test_started: None,
            unanswered: BTreeMap::new(),
        }
    }

    /// Records a request written to a connection.
    pub fn record_request(&mut self, now: Time, connection: u32) {
        let request = Unanswered {
            since: now,
            suspected_at: None,
        };
        self.unanswered.insert(connection, request);
    }

    /// Records that data was received on a connection, or that it ended.
    pub fn record_activity(&mut self, connection: u32) {
        self.unanswered.remove(&connection);
    }

    /// Advances the time. Returns whether to open a test connection now.
    pub fn tick(&mut self, now: Time) -> bool {
        if self.test_started.is_some() {
            return false;
        }
        let limit = self.limit;
        let mut suspects = self
            .unanswered
            .values_mut()
            .filter(|request| now.since(request.since) >= limit)
            .peekable();
        if suspects.peek().is_none() {
            return false;
        }
        suspects.for_each(|request| request.suspected_at = Some(now));
        self.test_started = Some(now);
        true
    }

    /// Records the result of the test connection. Returns the suspects, each with the cause of its
    /// time-out.
    ///
    /// Connections that became unresponsive after the test connection was opened are left for the
    /// next one.
    pub fn finish_test(&mut self, succeeded: bool) -> Vec<(u32, Cause)> {
        let Some(started) = self.test_started.take() else {
            return Vec::new();
        };
        let cause = if succeeded {
            Cause::Connection
        } else {
            Cause::Server
        };
        let decided: Vec<(u32, Cause)> = self
            .unanswered
            .iter()
            .filter(|(_, request)| request.suspected_at == Some(started))
            .map(|(connection, _)| (*connection, cause))
            .collect();
        for (connection, _) in &decided {
            self.unanswered.remove(connection);
        }
        decided
    }
}

impl fmt::Display for Diagnosis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let suspects = self
            .unanswered
            .values()
            .filter(|request| request.suspected_at.is_some());
        write!(
            f,
            "{} waiting {} suspect",
            self.unanswered.len(),
            suspects.count()
        )
    }
}

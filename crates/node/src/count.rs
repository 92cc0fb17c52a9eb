//! Counters.

use base::prelude::*;
use std::collections::BTreeMap;
use strum::IntoStaticStr;

/// Kinds of counted events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Datagrams of callers.
    Datagrams,
    /// Datagrams relayed to an owner.
    Relays,
    /// Datagrams dropped because they have no hops left.
    HopsExceeded,
    /// Datagrams dropped because no owner is known or reachable.
    OwnerUnknown,
    /// Datagrams dropped because the node is not ready.
    NotReady,
    /// Duplicates of requests that have a record.
    Duplicates,
    /// Requests started at a backend server.
    Calls,
    /// Requests started again after a failure.
    Retries,
    /// Backend servers taken over from a dead owner, or without an owner.
    Takeovers,
    /// Backend servers handed over.
    Handovers,
    /// Deltas and listings, of the platform or of peers, that changed the configuration store.
    Deltas,
    /// Deltas requested from peers.
    Pulls,
}

/// Counters since the process started.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    kinds: BTreeMap<Kind, u64>,
    codes: BTreeMap<Code, u64>,
}

impl Counts {
    pub(crate) fn add(&mut self, kind: Kind) {
        *self.kinds.entry(kind).or_default() += 1;
    }

    pub(crate) fn add_code(&mut self, code: Code) {
        *self.codes.entry(code).or_default() += 1;
    }

    /// Returns the counters by kind.
    pub fn kinds(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        self.kinds.iter().map(|(kind, n)| (kind.into(), *n))
    }

    /// Returns how often each result code was the outcome of a datagram.
    pub fn codes(&self) -> impl Iterator<Item = (Code, u64)> + '_ {
        self.codes.iter().map(|(code, n)| (*code, *n))
    }
}

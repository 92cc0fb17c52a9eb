//! Counters.

use strum::EnumCount;
use strum::EnumIter;
use strum::IntoEnumIterator;
use strum::IntoStaticStr;

/// The counted events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Opening packets.
    Opening,
    /// Opening packets of flows that have been assigned to a server already.
    Copies,
    /// Flows moved to another server because the previous one did not answer.
    Moves,
    /// Opening packets dropped because no server could take them yet.
    Held,
    /// Flows without an entry because the table was full.
    Unrecorded,
    /// Packets of open flows that were forwarded.
    Passed,
    /// Packets whose token resolves to no server.
    Unknown,
    /// Packets dropped because their failure domain is out.
    Out,
    /// Flows that expired without an answer.
    Unanswered,
    /// Flows that expired after an idle time, without an end by the caller.
    Quiet,
    /// Reads of the platform.
    Reads,
    /// Reads that failed.
    ReadFailures,
    /// Checks of suspected servers.
    Checks,
    /// Flows assigned to a server of the failure domain to which they spill.
    Spilled,
    /// Frames about demand that were sent.
    DemandFrames,
    /// Frames about demand that were dropped because their sender may not send them.
    DemandRejected,
    /// Frames sent to peers.
    Sent,
    /// Frames received from peers.
    Received,
}

/// The counters, each since the start of the process.
#[derive(Clone, Debug, Default)]
pub struct Counts([u64; Kind::COUNT]);

impl Counts {
    /// Increments a counter.
    pub fn add(&mut self, kind: Kind) {
        self.0[kind as usize] += 1;
    }

    /// Returns a counter.
    pub fn get(&self, kind: Kind) -> u64 {
        self.0[kind as usize]
    }

    /// Returns all counters by name.
    pub fn iter(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        Kind::iter().map(|kind| (kind.into(), self.get(kind)))
    }
}

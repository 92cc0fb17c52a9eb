//! Counters.

use strum::EnumCount;
use strum::EnumIter;
use strum::IntoEnumIterator;
use strum::IntoStaticStr;

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Opening packets.
    Opening,
    /// Opening packets of flows that were given to a server before.
    Copies,
    /// Flows given to another server, since the first did not answer.
    Moves,
    /// Opening packets that no server could take yet.
    Held,
    /// Flows without an entry, since the table is full.
    Unrecorded,
    /// Packets of open flows sent on.
    Passed,
    /// Packets whose token names no server.
    Unknown,
    /// Packets for a failure domain that is out.
    Out,
    /// Flows that were never answered.
    Unanswered,
    /// Flows that went quiet without an end.
    Quiet,
    /// Reads of the platform.
    Reads,
    /// Reads that failed.
    ReadFailures,
    /// Checks of suspected servers.
    Checks,
    /// Frames to peers.
    Sent,
    /// Frames from peers.
    Received,
}

/// The counters, each since the start of the process.
#[derive(Clone, Debug, Default)]
pub struct Counts([u64; Kind::COUNT]);

impl Counts {
    /// Counts one.
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

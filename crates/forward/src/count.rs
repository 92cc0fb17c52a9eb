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
    /// Flows without an answer assigned anew because no route leads to their server any more.
    Rerouted,
    /// Opening packets dropped because no server could take them yet.
    Held,
    /// Flows that were admitted while their pool was short of capacity.
    AdmittedShort,
    /// Flows of priority 0 that were refused because their pool was short of capacity.
    RefusedPriority0,
    /// The same for priority 1.
    RefusedPriority1,
    /// The same for priority 2.
    RefusedPriority2,
    /// The same for all greater priorities.
    RefusedPriorityRest,
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
    /// Requests that a full server rejected, as far as the sizes of answers show.
    Rejected,
    /// Changes of a server to slow.
    Slowed,
    /// Reads of the platform.
    Reads,
    /// Reads that failed.
    ReadFailures,
    /// Answers of the platform that were ignored because they are older than the local state.
    StaleAnswers,
    /// Checks of suspected servers.
    Checks,
    /// Flows assigned to a server of the failure domain to which they spill.
    Spilled,
    /// Frames about demand that were sent.
    DemandFrames,
    /// Frames about demand that were dropped because their sender may not send them.
    DemandRejected,
    /// Snapshots sent to balancers that start.
    Snapshots,
    /// Frames about snapshots that were dropped: their sender is not a live member, nobody asked
    /// for them, or they do not decode.
    SnapshotsRejected,
    /// Frames sent to peers.
    Sent,
    /// Frames received from peers.
    Received,
    /// Flows that were refused because the host's link or processor was short.
    RefusedHost,
    /// Packets that were held because the host's link was short.
    PacedDelayed,
    /// Packets that were dropped because the host's link was short for too long.
    PacedDropped,
    /// Times that this host reported not ready because its link or processor stayed full.
    HostWithdrawn,
    /// Frames about the use of hosts that were dropped because their sender may not send them.
    HostUseRejected,
}

/// The counters, each since the start of the process.
#[derive(Clone, Debug)]
pub struct Counts([u64; Kind::COUNT]);

impl Default for Counts {
    fn default() -> Counts {
        Counts([0; Kind::COUNT])
    }
}

impl Kind {
    /// Returns the counter of refused flows of a priority.
    pub fn refused(priority: u8) -> Kind {
        match priority {
            0 => Kind::RefusedPriority0,
            1 => Kind::RefusedPriority1,
            2 => Kind::RefusedPriority2,
            _ => Kind::RefusedPriorityRest,
        }
    }
}

impl Counts {
    /// Increments a counter.
    pub fn add(&mut self, kind: Kind) {
        self.0[kind as usize] += 1;
    }

    /// Adds several events to a counter.
    pub fn add_many(&mut self, kind: Kind, count: u64) {
        self.0[kind as usize] += count;
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

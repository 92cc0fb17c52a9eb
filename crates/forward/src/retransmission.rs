//! Evidence that a backend server leaves its open flows unanswered.
//!
//! A server at its connection limit answers neither health checks nor opening packets, like one that
//! has ended, but it acknowledges data on its open flows at once. Callers retransmit data that is not
//! acknowledged. Two retransmissions without an answer of the server since the first tell the two
//! apart; a single one may be due to packet loss. They may be on one flow or on two, at one balancer
//! or at two.

use base::prelude::*;

/// The number of retransmissions from which the evidence is complete. The second on one flow follows
/// 600 ms after the data was sent, before two silent checks have ended.
pub const REQUIRED: u8 = 2;

/// The retransmissions that one balancer reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Their number, up to `REQUIRED`.
    pub count: u8,
    /// When the first of them arrived.
    pub since: Time,
}

/// The retransmissions of data to one server since its last answer, here and at peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    own: Report,
    /// The latest report of a peer, and of another one if there is any.
    peers: [Option<(Incarnation, Report)>; 2],
}

impl Tally {
    /// Records a retransmission that arrived here. Returns whether this is further evidence.
    pub fn record(&mut self, now: Time) -> bool {
        if self.own.count == 0 {
            self.own.since = now;
        }
        let is_further = self.own.count < REQUIRED;
        self.own.count += u8::from(is_further);
        is_further
    }

    /// Applies the report of a peer in place of its previous one. Two peers are enough: each reports
    /// one retransmission at least.
    pub fn apply_report(&mut self, from: Incarnation, report: Report) {
        if report.count == 0 {
            return;
        }
        let mut places = self.peers.iter_mut();
        let place = places.find(|place| place.is_none_or(|(by, _)| by == from));
        if let Some(place) = place {
            *place = Some((from, report));
        }
    }

    /// Returns whether the server leaves its open flows unanswered.
    pub fn is_complete(&self) -> bool {
        let counts = self.reports().map(|report| u32::from(report.count));
        counts.sum::<u32>() >= u32::from(REQUIRED)
    }

    /// Returns what to report to peers: this balancer's own retransmissions, or all of them if they
    /// are complete, which stays true wherever the report is counted.
    pub fn report(&self) -> Report {
        if !self.is_complete() {
            return self.own;
        }
        let counted = self.reports().filter(|report| report.count > 0);
        Report {
            count: REQUIRED,
            since: counted.map(|report| report.since).min().unwrap_or_default(),
        }
    }

    fn reports(&self) -> impl Iterator<Item = Report> + '_ {
        let peers = self.peers.iter().flatten().map(|&(_, report)| report);
        std::iter::once(self.own).chain(peers)
    }
}

//! Refused flows, whose further opening packets are refused too.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use base::prelude::*;

/// How long a refused flow is remembered. A caller sends no copy of an opening packet later than
/// 600 ms after the first, and abandons the attempt after 1.4 s.
const RETENTION: Span = Span::millis(1_500);
/// Bounds the number of remembered refusals. A balancer refuses some hundred flows per second.
const REFUSALS_MAX: usize = 4_096;

/// The flows that were refused a short while ago.
#[derive(Clone, Debug, Default)]
pub struct Refusals {
    /// When flows were refused, by their hashes.
    refused: BTreeMap<u64, Time>,
    /// The same with the times, in order.
    order: VecDeque<(Time, u64)>,
}

impl Refusals {
    /// Returns whether a flow was refused a short while ago, so that this is a copy of its opening
    /// packet.
    pub fn contains(&self, now: Time, flow: u64) -> bool {
        // Entries are only removed by later refusals, and a caller may use the flow's ports again.
        let refused_at = self.refused.get(&flow);
        refused_at.is_some_and(|&at| now.since(at) <= RETENTION)
    }

    /// Remembers a refused flow.
    pub fn insert(&mut self, now: Time, flow: u64) {
        while self
            .order
            .front()
            .is_some_and(|&(at, _)| now.since(at) > RETENTION || self.order.len() >= REFUSALS_MAX)
        {
            if let Some((_, expired)) = self.order.pop_front() {
                self.refused.remove(&expired);
            }
        }
        if self.refused.insert(flow, now).is_none() {
            self.order.push_back((now, flow));
        }
    }
}

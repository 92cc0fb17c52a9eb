//! Replicated table of the owner and load of each backend server.
//!
//! Owners publish load reports, which are piggybacked on membership messages. Of two reports on a
//! server, the one with the greater term replaces the other. Reports of equal terms are ordered by
//! owner, then by sequence number.

use std::collections::VecDeque;

use base::prelude::*;
use conf::key;
use cranelift_entity::SecondaryMap;
use wire::frame::Load;
use wire::frame::Ownership;

/// Maximum number of load reports piggybacked on one message.
const MAX_UPDATES_PER_MESSAGE: usize = 12;
/// Number of messages on which one load report is piggybacked.
const TRANSMISSIONS_PER_UPDATE: u8 = 4;

/// The newest load report on a backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry {
    pub(crate) load: Load,
    pub(crate) received: Time,
    /// Requests that this node has sent to the server since the report was received.
    pub(crate) sent: u16,
}

/// The newest load reports on all backend servers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    rows: SecondaryMap<key::Server, Option<Entry>>,
    /// Servers whose reports are to be piggybacked, with the number of transmissions left.
    queue: VecDeque<(key::Server, u8)>,
}

impl Table {
    pub(crate) fn get(&self, server: key::Server) -> Option<&Entry> {
        self.rows[server].as_ref()
    }

    /// Applies a load report unless it is stale; returns whether it was newer than the known one.
    pub(crate) fn apply(&mut self, now: Time, server: key::Server, load: Load) -> bool {
        if self.rows[server].is_some_and(|old| precedence(&load) <= precedence(&old.load)) {
            return false;
        }
        self.rows[server] = Some(Entry {
            load,
            received: now,
            sent: 0,
        });
        self.publish(server);
        true
    }

    /// Queues the known report on a server for piggybacking on the next messages.
    pub(crate) fn publish(&mut self, server: key::Server) {
        if !self.queue.iter().any(|(queued, _)| *queued == server) {
            self.queue.push_back((server, TRANSMISSIONS_PER_UPDATE));
        }
    }

    /// Records the successor of a server that was handed over, until the successor's own report
    /// arrives. Until then the server counts as accepting requests, with one slot.
    pub(crate) fn set_successor(
        &mut self,
        now: Time,
        server: key::Server,
        uid: u32,
        successor: Ownership,
    ) {
        let load = Load {
            server: uid,
            ownership: successor,
            seq: 0,
            open: 0,
            rate: 0,
            slots: 1,
        };
        if self.rows[server].is_none_or(|old| precedence(&load) > precedence(&old.load)) {
            self.rows[server] = Some(Entry {
                load,
                received: now,
                sent: 0,
            });
        }
    }

    /// Counts a request that was sent to the server's owner.
    pub(crate) fn count_sent(&mut self, server: key::Server) {
        if let Some(entry) = self.rows[server].as_mut() {
            entry.sent = entry.sent.saturating_add(1);
        }
    }

    /// Returns the reports to piggyback on one message.
    pub(crate) fn take_updates(&mut self) -> Vec<Load> {
        let mut loads = Vec::new();
        for _ in 0..self.queue.len().min(MAX_UPDATES_PER_MESSAGE) {
            let Some((server, left)) = self.queue.pop_front() else {
                break;
            };
            loads.extend(self.rows[server].map(|entry| entry.load));
            if left > 1 {
                self.queue.push_back((server, left - 1));
            }
        }
        loads
    }
}

/// Returns the sort key of a report: of two reports on a server, the greater one is kept.
fn precedence(load: &Load) -> (u32, Incarnation, u32) {
    (load.ownership.term, load.ownership.owner, load.seq)
}

/// Returns whether ownership `left` takes precedence over `right`.
pub(crate) fn supersedes(left: Ownership, right: Ownership) -> bool {
    (left.term, left.owner) > (right.term, right.owner)
}

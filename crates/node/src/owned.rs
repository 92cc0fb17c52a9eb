//! Backend servers that this node owns, or is handing over to another balancer.

use base::prelude::*;
use limit::gate::Gate;
use limit::setting::Setting as Limits;
use wire::frame::Handover;
use wire::frame::Ownership;
use wire::frame::Record;
use wire::frame::RecordKey;
use wire::token::Token;

use crate::record;
use crate::setting::Setting;

/// Maximum number of former owners whose route tokens are accepted for one server.
const MAX_FORMER_OWNERS: usize = 256;

/// State of a backend server that this node owns.
#[derive(Clone, Debug)]
pub(crate) struct Owned {
    pub(crate) ownership: Ownership,
    /// Former owners that handed the server over together with their records, oldest first.
    pub(crate) former: Vec<Ownership>,
    pub(crate) gate: Gate,
    pub(crate) records: record::Table,
    /// A probe has confirmed that the server serves the service that selects it.
    pub(crate) is_confirmed: bool,
    /// A probe was sent and has not ended yet.
    pub(crate) is_probing: bool,
    pub(crate) next_probe: Time,
    /// Its pooled connections were closed because nothing may be sent to it.
    pub(crate) is_disconnected: bool,
    /// Sequence number of the last load report.
    pub(crate) seq: u32,
    /// Start of the ownership.
    pub(crate) since: Time,
}

impl Owned {
    /// Starts an ownership without records from a former owner: the server counts as cold.
    pub(crate) fn new(setting: &Setting, ownership: Ownership, slots: u8, now: Time) -> Owned {
        Owned {
            ownership,
            former: Vec::new(),
            gate: Gate::new(Limits::new().with_slots(slots)),
            records: record::Table::new(setting.max_records, setting.answer_lifetime),
            is_confirmed: false,
            is_probing: false,
            next_probe: now,
            is_disconnected: false,
            seq: 0,
            since: now,
        }
    }

    /// Returns whether a non-idempotent request under `token` may run here.
    ///
    /// True only for tokens of this ownership and of former ownerships whose records were handed
    /// over. Tokens hold terms modulo 256.
    pub(crate) fn accepts_token(&self, token: &Token) -> bool {
        let is_named = |ownership: &Ownership| {
            ownership.owner == token.owner && ownership.term as u8 == token.term
        };
        is_named(&self.ownership) || self.former.iter().any(is_named)
    }

    /// Adds former owners, and evicts the oldest past the limit.
    pub(crate) fn add_former(&mut self, owners: impl IntoIterator<Item = Ownership>) {
        for ownership in owners {
            if ownership != self.ownership && !self.former.contains(&ownership) {
                self.former.push(ownership);
            }
        }
        let excess = self.former.len().saturating_sub(MAX_FORMER_OWNERS);
        self.former.drain(..excess);
    }
}

/// A hand-over in progress: nothing more is started for this backend server here.
#[derive(Clone, Debug)]
pub(crate) struct Outgoing {
    /// The next owner.
    pub(crate) successor: Incarnation,
    /// The hand-over as sent; after the acknowledgement, only with the records of requests that
    /// still run here.
    pub(crate) message: Handover,
    /// The next owner has acknowledged the hand-over, or died before it did.
    pub(crate) is_acknowledged: bool,
    /// When the hand-over, or after its acknowledgement the results, are sent again.
    pub(crate) next_send: Time,
    /// Requests that still run here.
    pub(crate) running: Vec<RecordKey>,
    /// Requests that ended here since, until the next owner has acknowledged them.
    pub(crate) ended: Vec<Record>,
}

impl Outgoing {
    /// Returns whether the next owner has acknowledged the hand-over and all results.
    pub(crate) fn is_complete(&self) -> bool {
        self.is_acknowledged && self.running.is_empty() && self.ended.is_empty()
    }
}

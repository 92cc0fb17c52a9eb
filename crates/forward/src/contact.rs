//! Contact with the other balancers of each failure domain.
//!
//! Servers that fall silent together may have restarted, or the network between them and this
//! balancer may have failed. In the second case this balancer loses the balancers there as well.

use std::collections::BTreeMap;

use base::prelude::*;

/// The time without a frame from a failure domain from which contact may be lost. The balancers of
/// the own domain send load reports every 13 to 25 ms in total, and a server is confirmed as
/// unresponsive some 450 ms after its last answer at the earliest: a retransmission after 200 ms
/// and a check of 250 ms.
pub const LOST_CONTACT: Span = Span::millis(400);

/// When frames of the balancers of one failure domain arrived.
#[derive(Clone, Copy, Debug)]
struct Contact {
    heard_at: Time,
    /// When the last loss of contact ended.
    restored_at: Option<Time>,
}

/// When frames of the balancers of each failure domain arrived.
#[derive(Clone, Debug, Default)]
pub struct Contacts {
    domains: BTreeMap<String, Contact>,
}

impl Contacts {
    /// Records a frame from a balancer of a failure domain, and whether contact had been lost.
    pub fn record_frame(&mut self, now: Time, domain: &str, was_lost: bool) {
        let Some(contact) = self.domains.get_mut(domain) else {
            let contact = Contact {
                heard_at: now,
                restored_at: None,
            };
            self.domains.insert(domain.to_owned(), contact);
            return;
        };
        contact.heard_at = now;
        if was_lost {
            contact.restored_at = Some(now);
        }
    }

    /// Returns whether no frame has arrived from a failure domain for `LOST_CONTACT`. Of a distant
    /// domain few arrive, so that this alone does not mean a loss of contact. False for a domain of
    /// which no frame ever arrived.
    pub fn is_silent(&self, now: Time, domain: &str) -> bool {
        let contact = self.domains.get(domain);
        contact.is_some_and(|contact| now.since(contact.heard_at) >= LOST_CONTACT)
    }

    /// Returns whether a loss of contact with a failure domain ended at `since` or later.
    pub fn was_restored(&self, domain: &str, since: Time) -> bool {
        let contact = self.domains.get(domain);
        let restored_at = contact.and_then(|contact| contact.restored_at);
        restored_at.is_some_and(|at| at >= since)
    }
}

//! Refusal of new flows while the host is short of link or processor.
//!
//! A share of the opening packets is refused, so that the use of the resource returns to its target:
//! of uploads first if the link is short, then of the least urgent priority. The caller's next attempt
//! has another port, which the fabric usually assigns to another host.

use std::fmt;

use base::prelude::*;
use conf::routing::Traffic;
use limit::share;
use limit::share::PRIORITIES;

use super::link;
use super::processor;
use super::shedding::limit_refusals;
use super::shedding::Shares;
use super::shedding::Shedding;
use super::shedding::CLASSES;
use super::shedding::WHOLE;
use crate::refusal::Refusals;

/// Bytes of a packet beside its data: the headers of IP, UDP and the platform.
pub const OVERHEAD_BYTES: u64 = 64;

/// Flows that are refused alike, by the kind and the priority of their route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Class {
    is_upload: bool,
    priority: u8,
}

impl Class {
    /// Returns the class of the flows of a route.
    pub fn new(kind: Traffic, priority: u8) -> Class {
        Class {
            is_upload: kind == Traffic::Upload,
            priority,
        }
    }

    /// Returns whether the flows are uploads.
    pub fn is_upload(self) -> bool {
        self.is_upload
    }

    /// Returns the priority of the flows. 0 is the most urgent.
    pub fn priority(self) -> u8 {
        self.priority
    }

    fn from_index(index: usize) -> Class {
        Class {
            is_upload: index >= PRIORITIES,
            priority: (index % PRIORITIES) as u8,
        }
    }

    /// Returns the index of the class: uploads after all others, and less urgent ones after more
    /// urgent ones.
    pub(super) fn index(self) -> usize {
        usize::from(self.is_upload) * PRIORITIES + share::index(self.priority)
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = if self.is_upload {
            "uploads"
        } else {
            "requests"
        };
        write!(f, "{kind} of priority {}", self.priority)
    }
}

/// Which new flows are refused.
#[derive(Clone, Debug)]
pub struct Gate {
    link: Shedding<{ link::WINDOWS }>,
    processor: Shedding<{ processor::WINDOWS }>,
    /// The shares that are refused for both resources.
    shares: Shares,
    /// For each class, the sum of the shares of its opening packets, in thousandths. One is refused
    /// when the sum reaches a whole flow.
    credits: Shares,
    refused: Refusals,
}

impl Default for Gate {
    fn default() -> Gate {
        let uploads_first = std::array::from_fn(|place| CLASSES - 1 - place);
        Gate {
            link: Shedding::new(uploads_first),
            processor: Shedding::new(least_urgent_first()),
            shares: Shares::default(),
            credits: Shares::default(),
            refused: Refusals::default(),
        }
    }
}

/// Returns the classes from the least urgent priority on, with the uploads of each priority before
/// the others, since they have more packets.
fn least_urgent_first() -> [usize; CLASSES] {
    std::array::from_fn(|place| {
        let priority = PRIORITIES - 1 - place / 2;
        priority + PRIORITIES * (1 - place % 2)
    })
}

impl Gate {
    /// Decides on an opening packet. Returns whether it is refused.
    pub fn decide(&mut self, now: Time, class: Class, flow: u64) -> bool {
        let index = class.index();
        let credit = self.credits[index] + self.shares[index];
        let is_refused = u64::from(credit) >= WHOLE;
        self.credits[index] = match is_refused {
            true => credit - WHOLE as u32,
            false => credit,
        };
        self.link.record_opening(class, is_refused);
        self.processor.record_opening(class, is_refused);
        if is_refused {
            self.refused.insert(now, flow);
        }
        is_refused
    }

    /// Returns whether a flow was refused a short while ago, so that this is a copy of its opening
    /// packet.
    pub fn is_refused(&self, now: Time, flow: u64) -> bool {
        self.refused.contains(now, flow)
    }

    /// Records a packet that is forwarded, with the length of its data in bytes.
    pub fn record_packet(&mut self, class: Class, length: u16) {
        let bytes = u64::from(length) + OVERHEAD_BYTES;
        self.link.record_packet(class, bytes);
        self.processor.record_packet(class, 1);
    }

    /// Returns the share of the opening packets of a class that is refused, in thousandths.
    pub fn share(&self, class: Class) -> u32 {
        self.shares[class.index()]
    }

    /// Returns whether any flows are refused.
    pub fn is_refusing(&self) -> bool {
        self.refused_classes().next().is_some()
    }

    /// Returns the classes of which some flows are refused, with the shares in thousandths.
    pub fn refused_classes(&self) -> impl Iterator<Item = (Class, u32)> + '_ {
        let shares = self.shares.iter().enumerate();
        shares
            .filter(|(_, &share)| share > 0)
            .map(|(index, &share)| (Class::from_index(index), share))
    }

    /// Ends a window of the link with its utilization in percent. Refusing starts only if `is_short`
    /// is set.
    pub fn close_link_window(&mut self, percent: u32, is_short: bool) {
        self.link.close_window(percent, is_short);
        self.combine();
    }

    /// Ends a window of the processor in the same way.
    pub fn close_processor_window(&mut self, percent: u32, is_short: bool) {
        self.processor.close_window(percent, is_short);
        self.combine();
    }

    /// Refuses nothing more because of the processor, whose use is no longer known.
    pub fn clear_processor(&mut self) {
        self.processor = Shedding::new(least_urgent_first());
        self.combine();
    }

    fn combine(&mut self) {
        let shares = self.link.shares().iter().zip(self.processor.shares());
        for (share, (&link, &processor)) in self.shares.iter_mut().zip(shares) {
            *share = link.max(processor);
        }
        // Windows of the link are shorter, but have no counts if its capacity is not known.
        let (link, processor) = (self.link.offered(), self.processor.offered());
        let offered = match link.iter().any(|&offered| offered > 0) {
            true => link,
            false => processor,
        };
        limit_refusals(&mut self.shares, &offered, &least_urgent_first());
    }
}

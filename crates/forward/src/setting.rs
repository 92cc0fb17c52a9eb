//! Settings of a balancer that forwards packets, and their defaults.

use std::net::SocketAddr;

use base::prelude::*;
use strum::EnumString;

use crate::cold::RateLimit;
use crate::host::Capacity;

/// The settings of a balancer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setting {
    /// Name of the balancer.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// The addresses that receive peers' messages.
    pub peer: Peer,
    /// The address of the admin interface.
    pub admin: SocketAddr,
    /// Addresses at which peers may be.
    pub seeds: Vec<SocketAddr>,
    /// The rate limit of cold backend servers.
    pub cold: RateLimit,
    /// How long after a failure domain is taken out packets of its open flows are still forwarded.
    pub out_after: Span,
    /// Bounds the duration of a planned stop.
    pub grace: Span,
    /// The capacity of the host.
    pub capacity: Capacity,
    /// Where a starting balancer takes the platform's objects from.
    pub start_from: StartFrom,
}

/// Where a starting balancer takes the platform's objects from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum StartFrom {
    /// The platform: one listing of each kind for each start. The soonest way for a small fleet.
    #[default]
    Platform,
    /// Peers, and the platform only where no peer answers. Spares a large fleet most listings.
    Peers,
}

/// The default factor on the rate of cold servers, in percent.
pub const COLD_OVERAGE_PERCENT: u32 = 100;
/// The default time until open flows into a failure domain that is out are cut: the domain has to
/// receive no more packets a few seconds after the operator's change.
pub const OUT_AFTER: Span = Span::secs(3);
/// The longest time until an operator's change is in force on every balancer that is reached. Open
/// flows into a failure domain that is out are cut this much before the operator's bound.
pub const CHANGE_DELAY_MAX: Span = Span::secs(2);
/// The default bound on the duration of a planned stop.
pub const GRACE: Span = Span::secs(5);

impl Setting {
    /// Returns settings with defaults for the rest.
    pub fn new(
        name: impl Into<String>,
        domain: impl Into<String>,
        peer: Peer,
        admin: SocketAddr,
    ) -> Setting {
        Setting {
            name: name.into(),
            domain: domain.into(),
            peer,
            admin,
            seeds: Vec::new(),
            cold: RateLimit {
                overage_percent: COLD_OVERAGE_PERCENT,
                slack: 0,
            },
            out_after: OUT_AFTER,
            grace: GRACE,
            capacity: Capacity::default(),
            start_from: StartFrom::default(),
        }
    }

    /// Sets addresses at which peers may be.
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Setting {
        self.seeds = seeds;
        self
    }

    /// Sets the rate limit of cold servers.
    pub fn with_cold(mut self, cold: RateLimit) -> Setting {
        self.cold = cold;
        self
    }

    /// Sets how long open flows into a failure domain that is out are still forwarded.
    pub fn with_out_after(mut self, out_after: Span) -> Setting {
        self.out_after = out_after;
        self
    }

    /// Sets the capacity of the host.
    pub fn with_capacity(mut self, capacity: Capacity) -> Setting {
        self.capacity = capacity;
        self
    }

    /// Sets the bound on the duration of a planned stop.
    pub fn with_grace(mut self, grace: Span) -> Setting {
        self.grace = grace;
        self
    }

    /// Sets where a starting balancer takes the platform's objects from.
    pub fn with_start_from(mut self, start_from: StartFrom) -> Setting {
        self.start_from = start_from;
        self
    }
}

//! Settings that a node is created with.

use std::net::SocketAddr;

use base::prelude::*;
use wire::token::KeyRing;

/// Maximum interval between two ticks.
pub const TICK_INTERVAL: Span = Span::millis(20);

/// How long a message may be duplicated in the network (RFC 7252 section 4.8.2).
pub const EXCHANGE_LIFETIME: Span = Span::secs(247);

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct Setting {
    /// Name of the balancer.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Addresses on which it receives frames from peers.
    pub peer: Peer,
    /// Address of its admin interface.
    pub admin: SocketAddr,
    /// When the process started.
    pub start: Time,
    /// Datagram addresses of the balancers to join through.
    pub seeds: Vec<SocketAddr>,
    /// Keys of route tokens.
    pub ring: KeyRing,
    /// Lifetime of a route token.
    pub token_lifetime: Span,
    /// Maximum number of duplicate records for one backend server.
    pub max_records: usize,
    /// Time for which the record of an idempotent request is kept.
    pub answer_lifetime: Span,
    /// Interval between probes of a backend server.
    pub probe_period: Span,
    /// Time without a live owner after which a backend server is taken over.
    pub takeover_delay: Span,
    /// The takeover delay for a backend server of another failure domain, whose balancers may not
    /// be known yet.
    pub foreign_takeover_delay: Span,
    /// Interval between retransmissions of a hand-over.
    pub handover_retry: Span,
}

impl Setting {
    /// Creates settings with default limits.
    pub fn new(
        name: impl Into<String>,
        domain: impl Into<String>,
        peer: Peer,
        admin: SocketAddr,
        start: Time,
    ) -> Setting {
        Setting {
            name: name.into(),
            domain: domain.into(),
            peer,
            admin,
            start,
            seeds: Vec::new(),
            ring: KeyRing::new([0; 32]),
            token_lifetime: Span::secs(86_400),
            max_records: 50_000,
            answer_lifetime: Span::secs(30),
            probe_period: Span::secs(1),
            takeover_delay: Span::secs(2),
            foreign_takeover_delay: Span::secs(30),
            handover_retry: Span::millis(200),
        }
    }

    /// Sets the datagram addresses of the balancers to join through.
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Setting {
        self.seeds = seeds;
        self
    }

    /// Sets the keys of route tokens: one to seal with, one more to open with.
    pub fn with_token_keys(mut self, current: [u8; 32], previous: Option<[u8; 32]>) -> Setting {
        self.ring = KeyRing::new(current).with_previous(previous);
        self
    }

    /// Sets the maximum number of duplicate records for one backend server.
    pub fn with_max_records(mut self, max_records: usize) -> Setting {
        self.max_records = max_records;
        self
    }

    /// Sets the lifetime of a route token.
    pub fn with_token_lifetime(mut self, lifetime: Span) -> Setting {
        self.token_lifetime = lifetime;
        self
    }
}

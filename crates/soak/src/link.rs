//! The state of links: those between failure domains, and each balancer's to the platform.

use std::collections::BTreeSet;
use std::time::Duration;

use base::prelude::*;

use crate::place::BALANCERS;

/// How a balancer's link to the platform is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Store {
    /// Well.
    #[default]
    Well,
    /// Slow by this much each way.
    Slow(Duration),
    /// Nothing passes, and nothing says so.
    Silent,
    /// Connections are reset.
    Reset,
}

/// The links of a run.
#[derive(Clone, Debug)]
pub struct Links {
    /// Each balancer's link to the platform.
    pub stores: [Store; BALANCERS],
    /// Connections to the platform that were opened before then are silent for good.
    pub silent_before: Time,
    /// Pairs of failure domains, from and to, between which nothing passes.
    pub cut: BTreeSet<(usize, usize)>,
    /// Datagrams lost, in 10,000.
    pub loss: u32,
    /// Longest delay of datagrams between balancers.
    pub delay: Duration,
}

impl Links {
    /// Makes links that are well, with the loss that a datagram always meets.
    pub fn new(loss: u32) -> Links {
        Links {
            stores: [Store::Well; BALANCERS],
            silent_before: Time::default(),
            cut: BTreeSet::new(),
            loss,
            delay: Duration::ZERO,
        }
    }

    /// Returns whether anything passes from one failure domain to another.
    pub fn is_open(&self, from: usize, to: usize) -> bool {
        !self.cut.contains(&(from, to))
    }
}

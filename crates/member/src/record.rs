//! The record of one balancer, and the order of two records.

use std::fmt;
use std::net::SocketAddr;

use base::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::FromRepr;

/// Membership state of a balancer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, FromRepr, Serialize, Deserialize)]
#[repr(u8)]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// It is up, as far as is known.
    Alive = 0,
    /// It did not acknowledge a probe, and has not refuted the suspicion yet.
    Suspect = 1,
    /// It is stopping gracefully: it takes over no backend servers, and hands over those it owns.
    Leaving = 2,
    /// It was declared dead. This incarnation never becomes alive again.
    Dead = 3,
    /// It has stopped gracefully. This incarnation never becomes alive again.
    Left = 4,
}

impl State {
    /// Returns whether the incarnation may still be running, so that messages to it make sense.
    pub const fn is_live(self) -> bool {
        !self.is_final()
    }

    /// Returns whether the state is final: the record is a tombstone.
    pub const fn is_final(self) -> bool {
        matches!(self, State::Dead | State::Left)
    }
}

impl From<State> for u8 {
    fn from(state: State) -> u8 {
        state as u8
    }
}

/// The error for a number that is no `State`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownState(pub u8);

impl fmt::Display for UnknownState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "unknown member state {}", self.0)
    }
}

impl std::error::Error for UnknownState {}

impl TryFrom<u8> for State {
    type Error = UnknownState;

    fn try_from(number: u8) -> Result<State, UnknownState> {
        State::from_repr(number).ok_or(UnknownState(number))
    }
}

/// The record of one balancer, as published by itself or by peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity of one run of the process.
    pub incarnation: Incarnation,
    /// Name from its settings.
    pub name: String,
    /// Failure domain from its settings.
    pub domain: String,
    /// Addresses for messages of peers.
    pub peer: Peer,
    /// Address of the admin endpoint.
    pub admin: SocketAddr,
    /// Version of the state that the balancer itself publishes. Only the balancer increases it: when
    /// it refutes a suspicion, and when it changes to `Leaving` or `Left`.
    pub epoch: u32,
    /// Membership state.
    pub state: State,
    /// Last known configuration revision in force at the balancer. Balancers of crate `forward` do
    /// not set it: theirs is 0.
    pub revision: u64,
}

impl Member {
    /// Makes the record of a process that starts at `now`, with a new incarnation.
    pub fn new(
        name: impl Into<String>,
        domain: impl Into<String>,
        peer: Peer,
        admin: SocketAddr,
        now: Time,
    ) -> Member {
        let name = name.into();
        Member {
            incarnation: Incarnation::new(now, &name),
            name,
            domain: domain.into(),
            peer,
            admin,
            epoch: 0,
            state: State::Alive,
            revision: 0,
        }
    }

    /// Returns the sort key of records of one incarnation. The greater record supersedes the other.
    ///
    /// Final states are greater than all others, whatever the epoch, so that an incarnation never
    /// becomes alive again. `Left` is greater than `Dead`, so that views that differ in this
    /// converge.
    ///
    /// Within an epoch, `Suspect` is greater than `Leaving`, and `Leaving` greater than `Alive`: only
    /// the balancer itself can clear a suspicion, by a new epoch. The revision has no influence.
    pub(crate) fn order(&self) -> (bool, u32, u8) {
        if self.state.is_final() {
            return (true, 0, self.state as u8);
        }
        let rank = match self.state {
            State::Suspect => 2,
            State::Leaving => 1,
            _ => 0,
        };
        (false, self.epoch, rank)
    }
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Member {
            incarnation,
            name,
            domain,
            peer,
            admin: _,
            epoch,
            state,
            revision,
        } = self;
        write!(
            f,
            "{incarnation} {name}@{domain} {peer} {state} e{epoch} r{revision}"
        )
    }
}

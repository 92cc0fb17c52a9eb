//! What is known of one balancer.

use std::fmt;
use std::net::SocketAddr;

use base::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::FromRepr;

/// Whether a balancer is alive.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, FromRepr, Serialize, Deserialize)]
#[repr(u8)]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// It answers.
    Alive = 0,
    /// It did not answer a probe, and has not refuted that yet.
    Suspect = 1,
    /// It stops gracefully: it owns nothing new, and hands over what it owns.
    Leaving = 2,
    /// It is given up for good.
    Dead = 3,
    /// It has stopped gracefully.
    Left = 4,
}

impl State {
    /// Returns whether messages to the balancer are of use.
    pub const fn is_live(self) -> bool {
        !self.is_final()
    }

    /// Returns whether the incarnation can never be alive again.
    pub const fn is_final(self) -> bool {
        matches!(self, State::Dead | State::Left)
    }
}

impl From<State> for u8 {
    fn from(state: State) -> u8 {
        state as u8
    }
}

/// A number that is no `State`.
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

/// One balancer, as told by itself or by peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// One run of its process.
    pub incarnation: Incarnation,
    /// Name from its settings.
    pub name: String,
    /// Failure domain from its settings.
    pub domain: String,
    /// Where it hears peers.
    pub peer: Peer,
    /// Where it shows its state.
    pub admin: SocketAddr,
    /// Counts its refutations; only the balancer itself raises it.
    pub epoch: u32,
    /// Its state.
    pub state: State,
    /// Configuration revision in force there, as far as known.
    pub revision: u64,
}

impl Member {
    /// Makes the record of a process that starts at `now`.
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

    /// Returns the order of records of one incarnation: the greater one is the newer.
    ///
    /// Final states are greater than all others, whatever the epoch, so that an incarnation never
    /// returns. `Left` is greater than `Dead`, so that views that differ in this agree in the end.
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

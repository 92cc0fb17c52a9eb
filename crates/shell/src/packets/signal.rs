//! Signals that the process takes.

use tokio::signal::unix::signal;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;

/// Signals that the process takes.
pub(crate) struct Signals {
    /// Asks for a planned stop.
    pub(crate) terminate: Signal,
    /// Asks for the same, from a terminal.
    pub(crate) interrupt: Signal,
    /// The settings file has changed.
    pub(crate) reload: Signal,
}

impl Signals {
    /// Takes the signals from now on.
    ///
    /// # Errors
    ///
    /// Fails when they cannot be taken.
    pub(crate) fn new() -> eyre::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }
}

//! Unix signals that the process handles.

use nix::sys::signal::SigSet;
use nix::sys::signal::Signal as Number;
use tokio::signal::unix::signal;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;

/// Streams of the signals that the process handles.
pub(crate) struct Signals {
    /// SIGTERM: requests a planned stop.
    pub(crate) terminate: Signal,
    /// SIGINT: requests the same from a terminal.
    pub(crate) interrupt: Signal,
    /// SIGHUP: requests a reload of the settings file.
    pub(crate) reload: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// Fails when a handler cannot be installed.
    pub(crate) fn new() -> eyre::Result<Signals> {
        let signals = Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        };
        reload_set().thread_unblock()?;
        Ok(signals)
    }
}

/// Holds back SIGHUP until its handler is installed. Without a handler it would end a process whose
/// settings change while it starts.
///
/// # Errors
///
/// Fails when the system does not permit it.
pub fn block_reload() -> eyre::Result<()> {
    Ok(reload_set().thread_block()?)
}

fn reload_set() -> SigSet {
    SigSet::from(Number::SIGHUP)
}

//! Waits for the signal to terminate.

use eyre::Result;
use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;

/// Returns when the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if a signal handler cannot be installed.
pub async fn wait_for_termination() -> Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = term.recv() => {}
        stopped = tokio::signal::ctrl_c() => stopped?,
    }
    Ok(())
}

//! Signals that end a daemon.

use std::io;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Waits for the first signal that asks the process to end.
///
/// # Errors
///
/// The signals can't be watched.
pub async fn wait_for_end() -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}

//! Signals that ask a daemon to end.
//!
//! A signal may arrive as soon as the process runs. Until the async runtime
//! handles signals, a flag records that the process was asked to end.

use std::io;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::flag;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Set by SIGTERM and SIGINT, so that a signal that arrives before
/// [`wait_for_shutdown`] is called is not lost.
static SHUTDOWN_REQUESTED: OnceLock<Arc<AtomicBool>> = OnceLock::new();

/// Installs handlers for SIGTERM, SIGINT and SIGHUP, so that these signals no
/// longer kill the process. To be called before anything else: a signal that
/// arrives earlier kills the process at once.
///
/// # Errors
///
/// A handler can't be installed.
pub fn install_handlers() -> io::Result<()> {
    let requested = SHUTDOWN_REQUESTED.get_or_init(Arc::default);
    flag::register(SIGTERM, Arc::clone(requested))?;
    flag::register(SIGINT, Arc::clone(requested))?;
    // SIGHUP, a request to reload, has no effect: the settings have not been read
    // yet, or stay in use until the next start.
    flag::register(SIGHUP, Arc::default())?;
    Ok(())
}

/// Waits for the first signal that asks the process to end. Returns at once if
/// one has arrived since [`install_handlers`].
///
/// # Errors
///
/// A handler can't be installed.
pub async fn wait_for_shutdown() -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let requested = SHUTDOWN_REQUESTED.get();
    if requested.is_some_and(|requested| requested.load(Ordering::Relaxed)) {
        return Ok(());
    }
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}

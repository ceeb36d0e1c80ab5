//! Signals that end a daemon.
//!
//! A process may be asked to end, or to reload, as soon as it runs. Until the
//! runtime watches for that, a flag keeps it.

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

/// Whether the process was asked to end before anybody waited for it.
static SHUTDOWN_REQUESTED: OnceLock<Arc<AtomicBool>> = OnceLock::new();

/// Keeps signals from ending the process from now on. To be called before
/// anything else: one that comes sooner ends it at once.
///
/// # Errors
///
/// The signals can't be watched.
pub fn install_handlers() -> io::Result<()> {
    let requested = SHUTDOWN_REQUESTED.get_or_init(Arc::default);
    flag::register(SIGTERM, Arc::clone(requested))?;
    flag::register(SIGINT, Arc::clone(requested))?;
    // The settings have not been read yet, or are in use until the next start.
    flag::register(SIGHUP, Arc::default())?;
    Ok(())
}

/// Waits for the first signal that asks the process to end, which may have come
/// since [`install_handlers`].
///
/// # Errors
///
/// The signals can't be watched.
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

//! Logs, written as one JSON object per line.
//!
//! Logging never blocks: lines go through a bounded queue to a writer thread,
//! and each log statement has a rate limit. Dropped lines are counted; the next
//! line of the same statement has their number in `left_out_before`.

mod line;
mod rate_limit;
mod writer;

use std::io;
use std::sync::OnceLock;

use log::LevelFilter;
use log::SetLoggerError;

use self::writer::Writer;

static WRITER: OnceLock<Writer> = OnceLock::new();

/// Stream that logs go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stream {
    /// Standard output, for daemons: they write nothing else to it.
    Stdout,
    /// Standard error, for tools: they write their results to standard output.
    Stderr,
}

/// Sends all logs of `level` and above to `stream`.
///
/// # Errors
///
/// A logger is already installed.
pub fn init(instance: &str, level: LevelFilter, stream: Stream) -> Result<(), SetLoggerError> {
    let instance = instance.to_string();
    let writer = match stream {
        Stream::Stdout => writer::start(io::stdout()),
        Stream::Stderr => writer::start(io::stderr()),
    };
    // Fails only if a logger is already installed; `apply` then fails too.
    let _ = WRITER.set(writer.clone());
    let logger = fern::Dispatch::new()
        .level(level)
        // These libraries log their internals at the lower levels.
        .level_for("hyper", LevelFilter::Warn)
        .level_for("mio", LevelFilter::Warn)
        .chain(fern::Output::call(move |record| {
            writer.write(record, |dropped| line::format(&instance, record, dropped));
        }));
    logger.apply()
}

/// Waits until the lines logged so far are written, but not longer than a short
/// timeout. To be called before the process exits.
pub fn flush() {
    if let Some(writer) = WRITER.get() {
        writer.flush();
    }
}

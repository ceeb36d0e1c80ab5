//! Logs: one JSON object a line.
//!
//! Whoever logs never waits: lines go through a bounded queue to one writer,
//! and each kind of line has a limit a second. What is left out is counted
//! and told in a line of its own.

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
    /// Standard output: of daemons, which write nothing else.
    Stdout,
    /// Standard error: of tools, whose output is their result.
    Stderr,
}

/// Sends all logs of `level` and above to `stream`.
///
/// # Errors
///
/// Logs were set up before.
pub fn init(instance: &str, level: LevelFilter, stream: Stream) -> Result<(), SetLoggerError> {
    let instance = instance.to_string();
    let writer = match stream {
        Stream::Stdout => writer::start(io::stdout()),
        Stream::Stderr => writer::start(io::stderr()),
    };
    // Set once: the logger itself can be set only once.
    let _ = WRITER.set(writer.clone());
    let logger = fern::Dispatch::new()
        .level(level)
        // Libraries tell of their own workings only when something is wrong.
        .level_for("hyper", LevelFilter::Warn)
        .level_for("mio", LevelFilter::Warn)
        .chain(fern::Output::call(move |record| {
            writer.write(record, |dropped| line::format(&instance, record, dropped));
        }));
    logger.apply()
}

/// Waits until everything logged so far is written, or a short time is over:
/// for the end of a process.
pub fn flush() {
    if let Some(writer) = WRITER.get() {
        writer.flush();
    }
}

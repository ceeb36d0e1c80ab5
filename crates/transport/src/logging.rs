//! Logs: one JSON object a line on standard error.

use std::io;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use log::LevelFilter;
use log::SetLoggerError;
use serde_json::json;

/// Sends all logs of `level` and above to standard error.
///
/// # Errors
///
/// Logs were set up before.
pub fn start(instance: &str, level: LevelFilter) -> Result<(), SetLoggerError> {
    let instance = instance.to_string();
    fern::Dispatch::new()
        .level(level)
        .format(move |out, message, record| {
            let line = json!({
                "at_ms": wall_clock_ms(),
                "level": record.level().as_str(),
                "instance": instance,
                "module": record.target(),
                "message": message.to_string(),
            });
            out.finish(format_args!("{line}"));
        })
        .chain(io::stderr())
        .apply()
}

fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

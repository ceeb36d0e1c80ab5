//! Limits for each kind of line, so that load can't grow the logs.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

/// Lines of one kind in a window.
const LINES_A_WINDOW: u32 = 200;

/// Length of a window.
const WINDOW: Duration = Duration::from_secs(1);

/// Lines of one kind.
#[derive(Clone, Copy, Debug)]
struct Kind {
    since: Instant,
    written: u32,
    left_out: u64,
}

/// Counts lines by their kind, which is where in the code they come from.
#[derive(Debug, Default)]
pub(super) struct Limits(IndexMap<(&'static str, u32), Kind>);

impl Limits {
    /// Whether one more line may be written now; then also how many were left
    /// out since the last.
    pub(super) fn allow(&mut self, file: &'static str, line: u32, now: Instant) -> Option<u64> {
        let kind = self.0.entry((file, line)).or_insert(Kind {
            since: now,
            written: 0,
            left_out: 0,
        });
        if now.duration_since(kind.since) >= WINDOW {
            kind.since = now;
            kind.written = 0;
        }
        if kind.written >= LINES_A_WINDOW {
            kind.left_out += 1;
            return None;
        }
        kind.written += 1;
        Some(std::mem::take(&mut kind.left_out))
    }

    /// Takes note that an allowed line was not written after all.
    pub(super) fn lost(&mut self, file: &'static str, line: u32, lines: u64) {
        if let Some(kind) = self.0.get_mut(&(file, line)) {
            kind.left_out += lines;
        }
    }
}

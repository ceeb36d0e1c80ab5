//! Limits for each kind of line, so that load can't grow the logs.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

/// Lines of one kind in a window.
const MAX_LINES_PER_WINDOW: u32 = 200;

/// Length of a window.
const WINDOW: Duration = Duration::from_secs(1);

/// Lines of one kind.
#[derive(Clone, Copy, Debug)]
struct CallSite {
    window_start: Instant,
    written: u32,
    dropped: u64,
}

/// Counts lines by their kind, which is where in the code they come from.
#[derive(Debug, Default)]
pub(super) struct RateLimits(IndexMap<(&'static str, u32), CallSite>);

impl RateLimits {
    /// Whether one more line may be written now; then also how many were left
    /// out since the last.
    pub(super) fn try_acquire(
        &mut self,
        file: &'static str,
        line: u32,
        now: Instant,
    ) -> Option<u64> {
        let call_site = self.0.entry((file, line)).or_insert(CallSite {
            window_start: now,
            written: 0,
            dropped: 0,
        });
        if now.duration_since(call_site.window_start) >= WINDOW {
            call_site.window_start = now;
            call_site.written = 0;
        }
        if call_site.written >= MAX_LINES_PER_WINDOW {
            call_site.dropped += 1;
            return None;
        }
        call_site.written += 1;
        Some(std::mem::take(&mut call_site.dropped))
    }

    /// Takes note that an allowed line was not written after all.
    pub(super) fn record_dropped(&mut self, file: &'static str, line: u32, lines: u64) {
        if let Some(call_site) = self.0.get_mut(&(file, line)) {
            call_site.dropped += lines;
        }
    }
}

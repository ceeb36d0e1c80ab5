//! Rate limit for each log statement, so that the size of the logs stays bounded
//! under load.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

/// Maximum number of lines that one log statement writes in a window.
const MAX_LINES_PER_WINDOW: u32 = 200;

/// Length of the window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Lines of one log statement.
#[derive(Clone, Copy, Debug)]
struct CallSite {
    window_start: Instant,
    written: u32,
    dropped: u64,
}

/// Counts lines by log statement, which its source file and line number identify.
#[derive(Debug, Default)]
pub(super) struct RateLimits(IndexMap<(&'static str, u32), CallSite>);

impl RateLimits {
    /// Counts one more line and returns how many lines of the same statement
    /// were dropped before it; none if the limit is reached and this line must
    /// be dropped too.
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

    /// Counts `lines` as dropped, because the line that would have reported them
    /// was dropped as well.
    pub(super) fn record_dropped(&mut self, file: &'static str, line: u32, lines: u64) {
        if let Some(call_site) = self.0.get_mut(&(file, line)) {
            call_site.dropped += lines;
        }
    }
}

//! Detection of pauses of this process by long gaps between ticks, so that its own
//! pause isn't counted as silence of others.

use std::time::Duration;

use ramp_state::time::Millis;

/// Longest time between two ticks of a process that was not paused.
const MAX_TICK_GAP: Duration = Duration::from_millis(1500);

/// Measures the time between calls and reports gaps that mean a pause.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TickGapDetector {
    last: Option<Millis>,
}

impl TickGapDetector {
    /// Time since the last call, if it is over [`MAX_TICK_GAP`].
    pub(super) fn long_gap(&mut self, now: Millis) -> Option<Duration> {
        let last = self.last.replace(now)?;
        let passed = now.since(last);
        (passed > MAX_TICK_GAP).then_some(passed)
    }
}

//! Detection of pauses of this process itself.

use std::time::Duration;

use ramp_state::time::Millis;

/// Time between two ticks beyond which the process was paused.
const MAX_TICK_GAP: Duration = Duration::from_millis(1500);

/// Tells by how much the process gap, so that its own pause is not
/// taken for the silence of others.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TickGapDetector {
    last: Option<Millis>,
}

impl TickGapDetector {
    /// Time slept too long since the last call.
    pub(super) fn long_gap(&mut self, now: Millis) -> Option<Duration> {
        let last = self.last.replace(now)?;
        let passed = now.since(last);
        (passed > MAX_TICK_GAP).then_some(passed)
    }
}

//! Detection of pauses of this process itself.

use std::time::Duration;

use ramp_state::time::Millis;

/// Time between two ticks beyond which the process was paused.
const TICK_LIMIT: Duration = Duration::from_millis(1500);

/// Tells by how much the process overslept, so that its own pause is not
/// taken for the silence of others.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PauseGuard {
    last: Option<Millis>,
}

impl PauseGuard {
    /// Time slept too long since the last call.
    pub(super) fn overslept(&mut self, now: Millis) -> Option<Duration> {
        let last = self.last.replace(now)?;
        let passed = now.since(last);
        (passed > TICK_LIMIT).then_some(passed)
    }
}

//! Drain limit of a backend server that operators set to leaving: decides when
//! its requests in progress are aborted, and when it accepts requests again.

use ramp_state::fleet::ServerState;
use ramp_state::routing_table::Member;
use ramp_state::time::Millis;

/// What the agent has to do after [`DrainTimer::update`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainAction {
    /// Nothing.
    Unchanged,
    /// The drain limit has passed: abort the requests in progress.
    Abort,
    /// The server is back in service after an abort: accept requests again.
    Resume,
}

/// Measures how long one backend server has been leaving.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainTimer {
    since: Option<Millis>,
    aborted: bool,
}

impl DrainTimer {
    /// Updates the timer with the server's state at `now`. Returns
    /// [`DrainAction::Abort`] only once per drain.
    pub fn update(&mut self, now: Millis, me: &Member) -> DrainAction {
        if me.state == ServerState::In {
            let was_aborted = self.aborted;
            *self = DrainTimer::default();
            return if was_aborted {
                DrainAction::Resume
            } else {
                DrainAction::Unchanged
            };
        }
        let since = *self.since.get_or_insert(now);
        if self.aborted || now.since(since) < me.policy.drain_limit {
            return DrainAction::Unchanged;
        }
        self.aborted = true;
        DrainAction::Abort
    }
}

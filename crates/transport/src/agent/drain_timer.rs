//! How long a backend server that operators let leave may keep its work.

use ramp_state::fleet::ServerState;
use ramp_state::routing_table::Member;
use ramp_state::time::Millis;

/// What follows from a moment of a server that leaves, or returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainAction {
    /// Nothing new.
    Unchanged,
    /// The drain limit has passed: cut what is left.
    Abort,
    /// Operators want the server's work again.
    Resume,
}

/// Watch over one server's leaving.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainTimer {
    since: Option<Millis>,
    aborted: bool,
}

impl DrainTimer {
    /// Takes note of how the server stands at `now`.
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

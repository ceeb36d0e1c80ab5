//! How long a backend server that operators let leave may keep its work.

use ramp_state::fleet::ServerState;
use ramp_state::routing_table::Member;
use ramp_state::time::Millis;

/// What follows from a moment of a server that leaves, or returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// Nothing new.
    Unchanged,
    /// The drain limit has passed: cut what is left.
    Cut,
    /// Operators want the server's work again.
    Resume,
}

/// Watch over one server's leaving.
#[derive(Clone, Copy, Debug, Default)]
pub struct Leaving {
    since: Option<Millis>,
    cut: bool,
}

impl Leaving {
    /// Takes note of how the server stands at `now`.
    pub fn turn(&mut self, now: Millis, me: &Member) -> Turn {
        if me.state == ServerState::In {
            let was_cut = self.cut;
            *self = Leaving::default();
            return if was_cut {
                Turn::Resume
            } else {
                Turn::Unchanged
            };
        }
        let since = *self.since.get_or_insert(now);
        if self.cut || now.since(since) < me.policy.drain_limit {
            return Turn::Unchanged;
        }
        self.cut = true;
        Turn::Cut
    }
}

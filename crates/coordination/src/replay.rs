//! Refusal of late, repeated and replayed control messages.
//!
//! Each sender numbers its messages within one incarnation. The guard keeps,
//! for each sender, the highest incarnation and a window of the newest
//! numbers: what lies below the window or was seen before is dropped.

use std::collections::HashMap;

use quick_error::quick_error;
use ramp_state::key::Incarnation;
use ramp_state::key::InstanceId;

/// Messages by which one may lag behind the newest of its sender.
const WINDOW_MESSAGES: u64 = u64::BITS as u64;

/// Senders that are remembered at most.
const SENDERS_LIMIT: usize = 16_384;

quick_error! {
    /// Why a message was dropped.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ReplayError {
        /// From an earlier start of the sender.
        OldIncarnation {
            display("from an earlier start of its sender")
        }
        /// Seen before, or too late to tell.
        Repeated {
            display("seen before, or too late")
        }
        /// More senders than can be remembered.
        TooManySenders {
            display("too many senders")
        }
    }
}

/// Window of one sender.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    incarnation: Incarnation,
    newest: u64,
    seen: u64,
}

/// Remembers what came from each sender.
#[derive(Debug, Default)]
pub struct ReplayGuard {
    windows: HashMap<InstanceId, Window>,
}

impl ReplayGuard {
    /// Accepts a message once.
    ///
    /// # Errors
    ///
    /// [`ReplayError`] when the message must be dropped.
    pub fn accept(
        &mut self,
        sender: InstanceId,
        incarnation: Incarnation,
        sequence: u64,
    ) -> Result<(), ReplayError> {
        if self.windows.len() >= SENDERS_LIMIT && !self.windows.contains_key(&sender) {
            return Err(ReplayError::TooManySenders);
        }
        self.windows
            .entry(sender)
            .or_default()
            .accept(incarnation, sequence)
    }
}

impl Window {
    fn accept(&mut self, incarnation: Incarnation, sequence: u64) -> Result<(), ReplayError> {
        if incarnation < self.incarnation {
            return Err(ReplayError::OldIncarnation);
        }
        if incarnation > self.incarnation {
            *self = Window {
                incarnation,
                ..Window::default()
            };
        }
        if sequence > self.newest {
            self.advance(sequence);
            return Ok(());
        }
        let age = self.newest - sequence;
        if age >= WINDOW_MESSAGES || self.seen & (1 << age) != 0 {
            return Err(ReplayError::Repeated);
        }
        self.seen |= 1 << age;
        Ok(())
    }

    fn advance(&mut self, sequence: u64) {
        let step = sequence - self.newest;
        self.seen = if step >= WINDOW_MESSAGES {
            1
        } else {
            self.seen << step | 1
        };
        self.newest = sequence;
    }
}

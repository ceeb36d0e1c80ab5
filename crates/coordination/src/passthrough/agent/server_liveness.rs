//! Whether the server is there at all.
//!
//! A server that has ended may bounce nothing, and what it had bounced before
//! tells nothing after its agent has ended too. Its machine knows better: it
//! refuses connections to a port that nobody listens on. While the server is not
//! listed, or does not answer packets that call for an answer, the driver tries
//! to connect. Refusals prove that it has no flows, but only where it has sent
//! nothing on one for long: a sick server may refuse as well.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_protocol::packet::Segment;
use ramp_state::time::Millis;

use super::Agent;
use super::action::LostFlow;
use crate::passthrough::view::View;

/// Silence of a server on all its flows without which refusals prove nothing.
const SILENCE: Duration = Duration::from_millis(1000);

/// Time that a server has to answer a packet before it is tried.
const ANSWER_LIMIT: Duration = Duration::from_millis(800);

/// Time between two tries of a server that is most likely there.
const TRY_EVERY: Duration = Duration::from_millis(300);

/// Time between two tries of one that refuses, or whose agent is about to end.
const TRY_AGAIN: Duration = Duration::from_millis(50);

/// Refusals in a row that prove something: a listener may just be opened.
const REFUSALS: u32 = 2;

/// What is known of the server's presence.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerLiveness {
    /// When the server last sent something on a flow.
    sent_at: Option<Millis>,
    /// First packet that calls for an answer since the server was heard.
    unheard_since: Option<Millis>,
    tried_at: Option<Millis>,
    refusals: u32,
    absent: bool,
}

/// What a try to connect to the server has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectResult {
    /// It was connected, or not refused: a server may be there.
    NotRefused,
    /// Its machine refused the connection.
    Refused,
}

impl ServerLiveness {
    pub(super) fn is_absent(&self) -> bool {
        self.absent
    }

    /// The server has sent something on a flow.
    pub(super) fn sent(&mut self, now: Millis) {
        self.sent_at = Some(now);
        self.unheard_since = None;
        self.refusals = 0;
        self.absent = false;
    }

    /// The server has bounced a packet, which shows nothing of its flows.
    pub(super) fn bounced(&mut self) {
        self.unheard_since = None;
    }

    /// A packet was given to the server.
    pub(super) fn passed(&mut self, now: Millis, seg: &Segment) {
        // A bare acknowledgement is not answered.
        if seg.opens || seg.len > 0 || seg.fin {
            self.unheard_since.get_or_insert(now);
        }
    }

    fn is_unheard(&self, now: Millis, limit: Duration) -> bool {
        self.unheard_since.is_some_and(|at| now.since(at) >= limit)
    }

    fn tried(&mut self, now: Millis, unlisted: bool, reached: ConnectResult) {
        if reached == ConnectResult::NotRefused {
            self.refusals = 0;
            self.absent = false;
            return;
        }
        self.refusals += 1;
        let silent = self.sent_at.is_none_or(|at| now.since(at) >= SILENCE);
        let gone = unlisted || self.is_unheard(now, SILENCE);
        self.absent |= self.refusals >= REFUSALS && silent && gone;
    }
}

impl Agent {
    /// Whether the driver is to try now whether the server takes connections.
    /// To be called several times a second.
    pub fn connect_check_due(&mut self, view: Option<&View>, now: Millis) -> bool {
        let unlisted = self.is_unlisted(view);
        let urgent = self.needs_frequent_connect_checks();
        let pause = if urgent { TRY_AGAIN } else { TRY_EVERY };
        let presence = &mut self.liveness;
        let due = presence.tried_at.is_none_or(|at| now.since(at) >= pause);
        if !due || !(urgent || unlisted || presence.is_unheard(now, ANSWER_LIMIT)) {
            return false;
        }
        presence.tried_at = Some(now);
        true
    }

    /// Whether the driver is to come back soon to try the server.
    pub fn needs_frequent_connect_checks(&self) -> bool {
        self.leaving || self.liveness.refusals > 0
    }

    /// Takes note of what a try has shown; gives the flows that are lost by it,
    /// whose callers can be told at once.
    pub fn record_connect_check(
        &mut self,
        view: Option<&View>,
        now: Millis,
        reached: ConnectResult,
    ) -> Vec<LostFlow> {
        let unlisted = self.is_unlisted(view);
        self.liveness.tried(now, unlisted, reached);
        if self.liveness.is_absent() {
            return self.forget_all();
        }
        Vec::new()
    }

    /// Whether no server is there, so that none of its flows is left.
    pub fn is_server_absent(&self) -> bool {
        self.liveness.is_absent()
    }

    /// Balancers that are to hear, as this process ends, that no server is left
    /// here; nobody while one may be.
    pub fn shutdown_notice_recipients(&self) -> &[Ipv4Addr] {
        if self.liveness.is_absent() {
            self.senders.addresses()
        } else {
            &[]
        }
    }

    fn is_unlisted(&self, view: Option<&View>) -> bool {
        view.is_some_and(|v| v.member(self.me).is_none())
    }
}

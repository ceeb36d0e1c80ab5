//! Detects whether the backend server's process is still running.
//!
//! A server that has ended may bounce nothing, and earlier bounces tell nothing
//! once its agent has restarted too. But the operating system of its machine
//! refuses connections to a port on which no process listens. So the driver
//! tries to connect while the server is not listed by the platform, or leaves
//! packets without the reply that they require.
//!
//! Refused connections show that the server has no flows, but only if it has
//! sent nothing on any flow for `MIN_SILENCE`: an unhealthy server may refuse
//! connections and still serve open flows.

use std::time::Duration;

use ramp_protocol::packet::Segment;
use ramp_state::time::Millis;

use super::Agent;
use super::action::LostFlow;
use crate::passthrough::view::View;

/// Time without a packet from the server on any flow before refused connections
/// count as proof that it has ended.
const MIN_SILENCE: Duration = Duration::from_millis(1000);

/// Time that a server has to reply to a packet before its connection is checked.
const REPLY_TIMEOUT: Duration = Duration::from_millis(800);

/// Time between two connection checks of a server that is most likely running.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Time between two checks of a server that refuses connections, or whose agent
/// is shutting down.
const FAST_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Refusals in a row that count as proof. A single one may come just before the
/// server opens its listening socket.
const MIN_CONSECUTIVE_REFUSALS: u32 = 2;

/// Evidence for and against a running server.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerLiveness {
    /// When the server last sent something on a flow.
    last_sent_at: Option<Millis>,
    /// When the first packet was forwarded that requires a reply and has none.
    awaiting_reply_since: Option<Millis>,
    last_check_at: Option<Millis>,
    consecutive_refusals: u32,
    absent: bool,
}

/// Result of an attempt to connect to the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectResult {
    /// It succeeded, timed out or failed otherwise: a server may be running.
    NotRefused,
    /// The server's machine refused the connection.
    Refused,
}

impl ServerLiveness {
    pub(super) fn is_absent(&self) -> bool {
        self.absent
    }

    /// Records a packet of the server on a flow, which proves that it runs.
    pub(super) fn on_server_packet(&mut self, now: Millis) {
        self.last_sent_at = Some(now);
        self.awaiting_reply_since = None;
        self.consecutive_refusals = 0;
        self.absent = false;
    }

    /// Records a bounced packet: it is a reply, but doesn't show that the server
    /// has any flow.
    pub(super) fn on_bounce(&mut self) {
        self.awaiting_reply_since = None;
    }

    /// Records a packet that was forwarded to the server.
    pub(super) fn on_packet_forwarded(&mut self, now: Millis, seg: &Segment) {
        // A bare acknowledgement gets no reply.
        if seg.opens || seg.len > 0 || seg.fin {
            self.awaiting_reply_since.get_or_insert(now);
        }
    }

    /// Whether the server refuses connections but does not yet count as ended.
    pub(super) fn is_proof_pending(&self) -> bool {
        self.consecutive_refusals > 0 && !self.absent
    }

    fn is_awaiting_reply_for(&self, now: Millis, limit: Duration) -> bool {
        self.awaiting_reply_since
            .is_some_and(|at| now.since(at) >= limit)
    }

    fn on_connect_result(&mut self, now: Millis, unlisted: bool, result: ConnectResult) {
        if result == ConnectResult::NotRefused {
            self.consecutive_refusals = 0;
            self.absent = false;
            return;
        }
        self.consecutive_refusals += 1;
        let silent = self
            .last_sent_at
            .is_none_or(|at| now.since(at) >= MIN_SILENCE);
        let gone = unlisted || self.is_awaiting_reply_for(now, MIN_SILENCE);
        self.absent |= self.consecutive_refusals >= MIN_CONSECUTIVE_REFUSALS && silent && gone;
    }
}

impl Agent {
    /// Whether the driver must now check that the server accepts connections; if
    /// so, the check counts as started. To be called several times a second.
    pub fn connect_check_due(&mut self, view: Option<&View>, now: Millis) -> bool {
        let unlisted = self.is_server_unlisted(view);
        let urgent = self.needs_frequent_connect_checks();
        let pause = if urgent {
            FAST_CHECK_INTERVAL
        } else {
            CHECK_INTERVAL
        };
        let liveness = &mut self.liveness;
        let due = liveness
            .last_check_at
            .is_none_or(|at| now.since(at) >= pause);
        if !due || !(urgent || unlisted || liveness.is_awaiting_reply_for(now, REPLY_TIMEOUT)) {
            return false;
        }
        liveness.last_check_at = Some(now);
        true
    }

    /// Whether checks are due every `FAST_CHECK_INTERVAL`, so that the driver
    /// must not wait longer for packets.
    pub fn needs_frequent_connect_checks(&self) -> bool {
        self.shutdown_since.is_some() || self.liveness.consecutive_refusals > 0
    }

    /// Records the result of a connection check. Returns the flows that are lost
    /// if the server has ended, so that their callers can be reset at once.
    pub fn record_connect_check(
        &mut self,
        view: Option<&View>,
        now: Millis,
        result: ConnectResult,
    ) -> Vec<LostFlow> {
        let unlisted = self.is_server_unlisted(view);
        self.liveness.on_connect_result(now, unlisted, result);
        if self.liveness.is_absent() {
            return self.remove_all_flows();
        }
        Vec::new()
    }

    /// Whether the server has ended, so that none of its flows is left.
    pub fn is_server_absent(&self) -> bool {
        self.liveness.is_absent()
    }

    fn is_server_unlisted(&self, view: Option<&View>) -> bool {
        view.is_some_and(|v| v.member(self.server_ip).is_none())
    }
}

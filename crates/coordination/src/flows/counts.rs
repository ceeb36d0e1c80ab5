//! Counters of the flow router: flows opened, packets dropped by reason, callers
//! reset by reason, and current table sizes.

use super::DropReason;
use super::ResetReason;

/// Packets dropped without a reply, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropCounts {
    /// See [`DropReason::NoSnapshot`].
    pub no_snapshot: u64,
    /// See [`DropReason::DataCentreOut`].
    pub data_centre_out: u64,
    /// See [`DropReason::ForeignService`].
    pub foreign_service: u64,
    /// See [`DropReason::NoHome`].
    pub no_home: u64,
    /// See [`DropReason::HopLimit`].
    pub hop_limit: u64,
    /// See [`DropReason::Asked`].
    pub asked: u64,
    /// See [`DropReason::QuestionLimited`].
    pub question_limited: u64,
    /// See [`DropReason::NotOwner`].
    pub not_owner: u64,
    /// See [`DropReason::ResetOfGone`].
    pub reset_of_gone: u64,
}

/// Flows whose caller was reset, by reason. Counts flows, not packets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResetCounts {
    /// See [`ResetReason::GivenUp`].
    pub given_up: u64,
    /// See [`ResetReason::OwnerLost`].
    pub owner_lost: u64,
    /// See [`ResetReason::Unowned`].
    pub unowned: u64,
    /// See [`ResetReason::Ended`].
    pub ended: u64,
    /// See [`ResetReason::Full`].
    pub full: u64,
}

/// Counters since the router was created, and current sizes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FlowCounts {
    /// Flows opened here.
    pub opened: u64,
    /// Flows that became established here.
    pub established: u64,
    /// Half-open flows removed before they became established: expired,
    /// evicted, or owned by another member.
    pub half_open_abandoned: u64,
    /// Packets forwarded to another agent.
    pub forwarded: u64,
    /// New flows that this agent, as their home, assigned to another member.
    pub placed_elsewhere: u64,
    /// New flows assigned to this agent that it reassigned to another member.
    pub reassigned: u64,
    /// Owner query messages sent, one per receiver.
    pub owner_queries_sent: u64,
    /// Owner queries of other members answered.
    pub owner_queries_answered: u64,
    /// Packets dropped because the limits allowed no owner query.
    pub owner_queries_limited: u64,
    /// Answers to owner queries not sent because of the rate limit.
    pub answers_limited: u64,
    /// Registrations of displaced flows sent, repetitions included.
    pub registered: u64,
    /// Messages in which another member states that it owns a flow that is
    /// established here.
    pub conflicts: u64,
    /// Packets dropped without a reply.
    pub drops: DropCounts,
    /// Flows whose caller was reset.
    pub resets: ResetCounts,
    /// Flows currently in the table, including half-open ones.
    pub flows: usize,
    /// Half-open flows currently in the table.
    pub half_open: usize,
    /// Pointers to other owners currently stored.
    pub pointers: usize,
    /// Owner queries currently remembered, concluded ones included.
    pub owner_queries: usize,
}

impl DropCounts {
    pub(super) fn add(&mut self, reason: DropReason) {
        let count = match reason {
            DropReason::NoSnapshot => &mut self.no_snapshot,
            DropReason::DataCentreOut => &mut self.data_centre_out,
            DropReason::ForeignService => &mut self.foreign_service,
            DropReason::NoHome => &mut self.no_home,
            DropReason::HopLimit => &mut self.hop_limit,
            DropReason::Asked => &mut self.asked,
            DropReason::QuestionLimited => &mut self.question_limited,
            DropReason::NotOwner => &mut self.not_owner,
            DropReason::ResetOfGone => &mut self.reset_of_gone,
        };
        *count += 1;
    }
}

impl ResetCounts {
    pub(super) fn add(&mut self, reason: ResetReason) {
        let count = match reason {
            ResetReason::GivenUp => &mut self.given_up,
            ResetReason::OwnerLost => &mut self.owner_lost,
            ResetReason::Unowned => &mut self.unowned,
            ResetReason::Ended => &mut self.ended,
            ResetReason::Full => &mut self.full,
        };
        *count += 1;
    }

    /// Resets for all reasons.
    pub fn total(&self) -> u64 {
        self.given_up + self.owner_lost + self.unowned + self.ended + self.full
    }
}

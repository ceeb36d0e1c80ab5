//! Counters of the router.

use super::DropReason;
use super::ResetReason;

/// Packets dropped without a word, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropCounts {
    /// See [`DropReason::NoPicture`].
    pub no_picture: u64,
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

/// Callers told that their flow is gone, by reason. Counts flows, not packets.
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

/// Counters since the start, and sizes at the moment of asking.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FlowCounts {
    /// Flows opened here.
    pub opened: u64,
    /// Flows that became established here.
    pub established: u64,
    /// Half-open flows that half_open_expired.
    pub half_open_expired: u64,
    /// Packets sent on to another agent.
    pub forwarded: u64,
    /// New flows that this home placed at another member.
    pub placed_elsewhere: u64,
    /// New flows passed on although meant for this agent.
    pub passed_on: u64,
    /// Messages sent to ask who owns a flow.
    pub owner_queries_sent: u64,
    /// OwnerQueries of other members answered.
    pub owner_queries_answered: u64,
    /// Packets whose question was not asked, because of the limits.
    pub owner_queries_limited: u64,
    /// Answers not given, because of the limits.
    pub answers_limited: u64,
    /// Flows registered with their new home.
    pub registered: u64,
    /// Claims of another member to own a flow that is established here.
    pub conflicts: u64,
    /// Packets dropped without a word.
    pub drops: DropCounts,
    /// Callers told that their flow is gone.
    pub resets: ResetCounts,
    /// Flows in the table now, half-open ones included.
    pub flows: usize,
    /// Half-open flows now.
    pub half_open: usize,
    /// Pointers to other owners now.
    pub pointers: usize,
    /// OwnerQueries remembered now.
    pub owner_queries: usize,
}

impl DropCounts {
    pub(super) fn add(&mut self, reason: DropReason) {
        let count = match reason {
            DropReason::NoPicture => &mut self.no_picture,
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

    /// All resets together.
    pub fn total(&self) -> u64 {
        self.given_up + self.owner_lost + self.unowned + self.ended + self.full
    }
}

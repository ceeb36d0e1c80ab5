//! What the traffic threads tell of their decisions: a log line for each that
//! touches a flow out of the ordinary way, and counters for all.

pub mod agent;
pub mod balancer;
pub mod view_changes;

use ramp_coordination::passthrough::balancer::DropReason;
use ramp_coordination::passthrough::balancer::PendingReason;
use ramp_coordination::passthrough::balancer::ResetReason;
use ramp_coordination::passthrough::balancer::ViewUncertainty;
use ramp_protocol::frame::Refusal;

/// Name of a refusal in logs and metrics.
pub fn refusal_name(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::Bounced => "bounced",
        Refusal::Draining => "draining",
        Refusal::Evacuated => "evacuated",
        Refusal::Cold => "cold",
        Refusal::OtherService => "other_service",
        Refusal::Leaving => "leaving",
        Refusal::Silent => "silent",
        Refusal::Busy => "busy",
        Refusal::Overloaded => "overloaded",
        Refusal::Lost => "lost",
    }
}

/// Name of a reset's reason in logs and metrics.
pub fn reset_name(reason: ResetReason) -> &'static str {
    match reason {
        ResetReason::NoRoute => "no_route",
        ResetReason::NoMember => "no_member",
        ResetReason::Overloaded => "overloaded",
        ResetReason::Unowned => "unowned",
        ResetReason::Lost => "lost",
    }
}

/// Name of a drop's reason in logs and metrics.
pub fn drop_name(reason: DropReason) -> &'static str {
    match reason {
        DropReason::Asked => "asked",
        DropReason::Unsettled => "unsettled",
        DropReason::AlreadyEnded => "already_ended",
        DropReason::OwnerFound => "owner_found",
        DropReason::Unanswered => "unanswered",
        DropReason::PlacedElsewhere => "placed_elsewhere",
        DropReason::Forged => "forged",
    }
}

/// Name in logs and metrics of why a holder has not denied a flow.
pub fn holdout_name(reason: PendingReason) -> &'static str {
    match reason {
        PendingReason::Silent => "silent",
        PendingReason::Unsure => "unsure",
        PendingReason::Unanswered => "unanswered",
        PendingReason::UnlistedSilent => "unlisted_silent",
        PendingReason::UnlistedHeard => "unlisted_heard",
    }
}

/// Name in logs and metrics of why there may be more holders.
pub fn doubt_name(doubt: ViewUncertainty) -> &'static str {
    match doubt {
        ViewUncertainty::Behind => "behind",
        ViewUncertainty::Unsettled => "unsettled",
        ViewUncertainty::MissedRecords => "missed_records",
    }
}

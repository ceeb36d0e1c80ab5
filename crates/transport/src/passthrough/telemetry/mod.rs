//! Metrics and log lines of the traffic threads. Events are counted; those that
//! concern more than forwarding a packet of a known flow are also logged: new
//! flows, searches for an owner, refusals, drops, resets and failures.

pub mod agent;
pub mod balancer;
pub mod egress;
pub mod store_epoch;
pub mod view_changes;

use ramp_coordination::passthrough::balancer::DropReason;
use ramp_coordination::passthrough::balancer::PendingReason;
use ramp_coordination::passthrough::balancer::ResetReason;
use ramp_coordination::passthrough::balancer::ViewUncertainty;
use ramp_protocol::frame::Refusal;

/// Refusal reason as written in logs and metrics.
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

/// Reset reason as written in logs and metrics.
pub fn reset_name(reason: ResetReason) -> &'static str {
    match reason {
        ResetReason::NoRoute => "no_route",
        ResetReason::NoMember => "no_member",
        ResetReason::Overloaded => "overloaded",
        ResetReason::Unowned => "unowned",
        ResetReason::Lost => "lost",
    }
}

/// Drop reason as written in logs and metrics.
pub fn drop_name(reason: DropReason) -> &'static str {
    match reason {
        DropReason::Asked => "asked",
        DropReason::Unsettled => "unsettled",
        DropReason::AlreadyEnded => "already_ended",
        DropReason::OwnerFound => "owner_found",
        DropReason::Unanswered => "unanswered",
        DropReason::PlacedElsewhere => "placed_elsewhere",
        DropReason::EarlierFlow => "earlier_flow",
        DropReason::Forged => "forged",
    }
}

/// Reason why an agent's reply is still pending, as written in logs and metrics.
pub fn pending_name(reason: PendingReason) -> &'static str {
    match reason {
        PendingReason::Silent => "silent",
        PendingReason::Unsure => "unsure",
        PendingReason::Unanswered => "unanswered",
        PendingReason::UnlistedSilent => "unlisted_silent",
        PendingReason::UnlistedHeard => "unlisted_heard",
    }
}

/// Reason why the view may lack agents, as written in logs and metrics.
pub fn uncertainty_name(uncertainty: ViewUncertainty) -> &'static str {
    match uncertainty {
        ViewUncertainty::Behind => "behind",
        ViewUncertainty::Unsettled => "unsettled",
        ViewUncertainty::MissedRecords => "missed_records",
    }
}

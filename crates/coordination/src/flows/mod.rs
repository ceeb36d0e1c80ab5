//! Routing of callers' packets among the agents of a group: for each packet an
//! agent decides whether to handle it, forward it, drop it or reset the caller.
//!
//! Each flow key has a *home*, chosen by rendezvous hashing among the members
//! of the group, and an *owner*, the agent that opened the flow and holds its
//! TCP endpoint until it ends. The home chooses the owner of each new flow. If
//! that is another member, the home stores a pointer to it. Pointers are soft
//! state; the owners' flow tables are authoritative. A home that has neither
//! the flow nor a pointer sends an owner query to every member that could own
//! the flow before it resets the caller.
//!
//! Three rules keep flows intact while members have different views:
//!
//! - A half-open flow becomes established only by a segment that acknowledges
//!   its initial sequence number. If two members opened the same flow, the
//!   caller's acknowledgement selects one, and the other expires without a
//!   reset. Initial sequence numbers must therefore be random.
//! - A flow is reset only after every member that could own it has denied
//!   ownership. Members deny only to the member that they consider the home,
//!   and no flow is reset while a newer configuration is known to exist.
//! - A flow is *displaced* when its home is not its owner. When the homes
//!   change, owners register their displaced flows with the new homes, so that
//!   owner queries are rarely needed.
//!
//! A driver calls [`FlowRouter::on_packet`] for each packet and performs the
//! returned [`Action`], calls [`FlowRouter::tick`] at
//! [`FlowRouter::next_timer`], and after each call drains the outbox, the
//! resets and the abandoned flows.

mod action;
mod counts;
mod directory;
mod ended_flows;
mod hash;
mod new_flows;
mod owner_lookup;
mod owner_queries;
mod peer_messages;
mod placement;
mod registration;
mod router;
mod table;
mod token_bucket;

pub use self::action::Action;
pub use self::action::Arrival;
pub use self::action::DropReason;
pub use self::action::Outgoing;
pub use self::action::Reset;
pub use self::action::ResetReason;
pub use self::counts::DropCounts;
pub use self::counts::FlowCounts;
pub use self::counts::ResetCounts;
pub use self::placement::Placement;
pub use self::router::FlowRouter;

//! Where a flow lives: the decision of an agent for each packet of a caller.
//!
//! Each flow key has a *home*, picked by rendezvous hashing among the members
//! of the group, and an *owner*, the agent that opened the flow and keeps it
//! for life. The home places new flows; where the owner is another member it
//! keeps a pointer to it. Pointers are soft state: the owners' tables are the
//! truth, and a home that knows nothing of a flow asks every member that
//! could own it before the caller is told that the flow is gone.
//!
//! Three rules keep a flow whole while views differ:
//!
//! - A half-open flow becomes established only by a segment that acknowledges
//!   its own initial sequence number. When a first packet was opened twice,
//!   the caller's acknowledgement picks one of the two, and the other fades
//!   without a word. Initial sequence numbers must therefore be random.
//! - A flow is reset only when every member that could own it has said that
//!   it does not, each of them agreeing that the asking member is the home,
//!   and while no newer configuration is known to be on its way.
//! - Owners register their displaced flows with the new home when the view
//!   changes, so that a question is the exception.
//!
//! A driver calls [`FlowRouter::on_packet`] for each packet and does what the
//! [`Action`] says, calls [`FlowRouter::tick`] at [`FlowRouter::next_timer`],
//! and after each call drains the outbox, the resets and the abandoned flows.

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

//! Requests at an agent: from a caller's flow, or handed on by another agent,
//! to the backend server and back.
//!
//! Everything here lives on the agent's traffic thread, a current-thread
//! runtime with a `LocalSet`, so shared state needs no lock. The decisions
//! themselves are in `ramp_coordination`; this module reads and writes HTTP.

mod body;
mod claim;
mod claim_desk;
mod context;
mod flow;
mod hand_on;
mod handoff;
mod head;
mod job;
mod local;
mod peer;
mod progress;
mod refusal;
mod send_body;
mod serve;
mod upstream;
mod visit;

pub use context::RequestConfig;
pub use context::RequestContext;
pub use flow::serve_flow;
pub use peer::serve_peers;

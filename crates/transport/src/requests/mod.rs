//! HTTP proxy of an agent: takes requests from callers' flows and from other
//! agents, sends them to a backend server and relays the responses.
//!
//! Everything here runs on the agent's traffic thread, a current-thread
//! runtime with a `LocalSet`, so shared state needs no lock. `ramp_coordination`
//! decides where a request runs; this module does the HTTP input and output.

mod active_request;
mod backend;
mod claim;
mod claim_dispatcher;
mod context;
mod flow;
mod forward;
mod forward_guard;
mod guards;
mod head;
mod peer_auth;
mod peer_listener;
mod request_body;
mod response_body;
mod serve;
mod upstream;
mod verdict_response;

pub use context::RequestConfig;
pub use context::RequestContext;
pub use flow::serve_flow;
pub use peer_listener::serve_peers;

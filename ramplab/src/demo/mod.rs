//! The demo: a whole fleet on loopback, planned changes under load, and the
//! promises judged at the end.

pub mod children;
pub mod documents;
mod launch;
pub mod layout;
pub mod operators;
pub mod plan;
pub mod run;
pub mod status_poller;

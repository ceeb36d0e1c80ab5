//! The demo: runs a whole fleet of real processes on loopback, makes planned
//! changes to it under load, and checks the recorded histories against the
//! invariants at the end.

pub mod children;
pub mod documents;
mod launch;
pub mod layout;
pub mod operators;
pub mod plan;
pub mod run;
pub mod status_poller;

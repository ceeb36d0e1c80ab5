//! State layer: keys, the fleet document and the tables compiled from it.
//!
//! Everything here is plain data. Nothing in this crate knows a socket, a
//! clock or a thread; times are passed in as [`time::Millis`].

pub mod fleet;
pub mod instances;
pub mod key;
pub mod ledger;
pub mod outcome;
pub mod settings;
pub mod time;
pub mod verdict;
pub mod view;

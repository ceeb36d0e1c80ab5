//! State layer: keys, the fleet document and the tables compiled from it.
//!
//! Everything here is plain data. Nothing in this crate knows a socket, a
//! clock or a thread; times are passed in as [`time::Millis`].

pub mod document;
pub mod document_kind;
pub mod error_budget;
pub mod fleet;
pub mod fleet_parse;
pub mod fleet_sections;
pub mod ini;
pub mod instances;
pub mod key;
pub mod key_reference;
pub mod ledger;
pub mod outcome;
pub mod policy;
pub mod routing_table;
pub mod schema;
pub mod settings;
pub mod time;
pub mod validation;
pub mod verdict;

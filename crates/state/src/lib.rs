//! Data model of the load balancer: configuration documents, the routing
//! table compiled from them, and the ledger of what became of requests.
//!
//! This crate opens no socket, reads no clock and starts no thread; callers
//! pass times in as [`time::Millis`].

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

//! Decisions where packets pass through: callers and backend servers own the
//! bytes of a flow, and the system only carries them.
//!
//! The servers themselves hold the truth about flows. A server that gets a
//! packet of a flow that it does not have bounces it to its agent; so any
//! balancer finds the owner of any flow by asking, and nothing has to be
//! written down or handed over when processes come and go.
//!
//! - [`published`]: what the platform publishes, as typed records
//! - [`catalog`]: those records as one process knows them
//! - [`view`]: immutable tables compiled from the catalog
//! - [`balancer`] and [`agent`]: the decisions for each packet
//! - [`readers`]: who reads the platform, and who follows whom
//! - [`platform_client`]: what the platform's client must offer

pub mod agent;
pub mod balancer;
pub mod catalog;
mod choice;
mod listed;
pub mod mark;
mod opening_queue;
pub mod platform_client;
pub mod published;
mod rate_limit;
pub mod reachability;
pub mod readers;
mod suspects;
mod sweep;
pub mod view;

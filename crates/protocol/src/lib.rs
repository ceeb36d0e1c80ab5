//! Types of everything that the processes send and receive, and their codecs.
//!
//! - [`packet`]: the IPv4 and TCP fields of callers' packets
//! - [`message`], [`codec`]: control messages between instances
//! - [`operator`], [`operator_codec`], [`summary_codec`]: replies to operators
//! - [`header`]: header of packets that one instance forwards to another
//! - [`frame`], [`mod@format`]: the same for passthrough mode, in which connections
//!   run end to end between caller and backend server
//! - [`capacity_report`]: what an agent reports about its server's capacity
//! - [`auth`]: authentication tags on datagrams between instances

#[allow(
    missing_docs,
    unsafe_code,
    clippy::all,
    clippy::pedantic,
    reason = "generated code"
)]
#[rustfmt::skip]
pub mod control_capnp;
#[allow(
    missing_docs,
    unsafe_code,
    clippy::all,
    clippy::pedantic,
    reason = "generated code"
)]
#[rustfmt::skip]
pub mod operator_capnp;
pub mod auth;
pub mod capacity_report;
pub mod codec;
pub mod format;
pub mod frame;
pub mod header;
pub mod message;
pub mod operator;
pub mod operator_codec;
pub mod packet;
pub mod summary_codec;

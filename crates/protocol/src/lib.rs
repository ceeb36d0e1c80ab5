//! Protocol layer: packets, typed messages between processes, and their codecs.

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
pub mod codec;
pub mod format;
pub mod frame;
pub mod header;
pub mod message;
pub mod operator;
pub mod operator_codec;
pub mod packet;
pub mod summary_codec;

//! Transport layer: sockets, threads, the platform client, and the glue to
//! the TCP and HTTP libraries. All decisions are made in the coordination
//! layer; this one carries them out.

pub mod hyper_io;
pub mod operator;
pub mod platform;
pub mod requests;

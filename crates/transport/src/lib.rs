//! Transport layer: sockets, threads, and the clients and servers on them.

pub mod hyper_io;
pub mod platform;

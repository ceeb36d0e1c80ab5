//! Transport layer: sockets, threads and the operator calls.

pub mod operator;

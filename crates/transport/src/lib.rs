//! Transport layer: sockets, threads and the HTTP glue around the decisions.

pub mod requests;

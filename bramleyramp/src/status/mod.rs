//! State of all processes: versions, members, limits, flows and drains.

pub mod beliefs;
pub mod build;
pub mod finding;
pub mod model;
pub mod text;

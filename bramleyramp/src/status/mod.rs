//! State of all processes: versions, members, limits, flows and drains.

pub mod build;
pub mod finding;
pub mod member_views;
pub mod model;
pub mod text;

//! The overview of all processes: versions, members, limits, flows and drains; as
//! text or JSON.

pub mod build;
pub mod finding;
pub mod member_views;
pub mod model;
pub mod text;

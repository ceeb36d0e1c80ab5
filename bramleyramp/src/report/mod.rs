//! The report: who got what, why, and how fast objectives are being spent.

pub mod build;
pub mod error_budget;
pub mod exceptions;
pub mod gap;
pub mod html;
pub mod model;
pub mod names;
pub mod plot;
pub mod sums;
pub mod text;

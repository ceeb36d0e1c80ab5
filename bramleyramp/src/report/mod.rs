//! The report: counts of requests and flows by outcome and reason, and burn rates
//! of the error budgets; as text, JSON or HTML.

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

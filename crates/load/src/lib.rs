//! Load against a running deployment, histories of what callers were told, and their checks.

pub mod arrival;
pub mod caller;
pub mod check;
pub mod class;
pub mod engine;
pub mod error;
pub mod event;
pub mod fault;
pub mod field;
pub mod gap;
pub mod history;
pub mod outcome;
pub mod overload;
pub mod plan;
pub mod plot;
pub mod process;
pub mod progress;
pub mod quantiles;
pub mod reads;
pub mod report;
pub mod scrape;
pub mod session;
pub mod template;

//! The subcommands.

pub mod check;
pub mod diff;
pub mod drain;
pub mod explain;
pub mod history;
pub mod metrics;
pub mod promote;
pub mod show;
pub mod status;
pub mod submit;
pub mod verifier;

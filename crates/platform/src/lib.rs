//! Clients of the platform: table service, object store, host list and database groups.
//!
//! The traits are the boundary of the process, so that tests can substitute small fakes. Decisions
//! based on the platform's data are made in `flamingopost-core`.

pub mod error;
pub mod fake;
pub mod group;
pub mod head;
pub mod hosts;
pub mod http;
pub mod object;
pub mod table;

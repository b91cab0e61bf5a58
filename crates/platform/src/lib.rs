//! Clients of the platform: table service, object store, list of hosts, database groups.
//!
//! The traits stand at the process's edge, so that tests put small fakes in their place; the
//! decisions that use what is read here live in `flamingopost-core`.

pub mod error;
pub mod fake;
pub mod group;
pub mod head;
pub mod hosts;
pub mod http;
pub mod object;
pub mod table;

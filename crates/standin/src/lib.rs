//! Stand-ins for what flamingopost's platform provides: database servers in groups, a table
//! service, an object store and a list of hosts, each with faults by command.
//!
//! They are for tests and trials. They keep nothing across a restart.

mod admin;
pub mod backend;
pub mod event;
pub mod panel;
pub mod platform;
pub mod pooled;
pub mod ports;
pub mod relay;

//! Messages and `jsonrpsee` interfaces between flamingopost processes.
//!
//! Names travel, never keys; durations travel as milliseconds; terms and positions as text
//! (`EPOCH.COUNT` and `EPOCH.COUNT/LOG`). Every message carries the configuration version that
//! its sender has in force, so one host that has seen a new version is enough for its zone.

pub mod authority;
pub mod close;
pub mod explanation;
pub mod host_status;
pub mod knowledge;
pub mod lease;
pub mod row;
pub mod rpc;
pub mod status;
pub mod submission;
pub mod view;

//! Messages and `jsonrpsee` interfaces between flamingopost processes.
//!
//! Messages contain names instead of interned keys, durations in milliseconds, and terms and
//! positions as text (`EPOCH.COUNT` and `EPOCH.COUNT/LOG`). Every message carries the configuration
//! version in force at its sender, so that one host with a new version suffices to spread it in its
//! zone.

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

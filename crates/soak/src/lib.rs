//! A randomised fault test that runs the real program as separate processes in front of a stand-in
//! platform, injects faults from outside, and checks what callers and backend servers observe.
//!
//! A seed determines a [`plan::Plan`]: the size of the fleet, and which [`fault::Fault`]s are
//! injected when, with overlaps. [`play`] starts the hosts, routes all their traffic through a
//! [`net::Net`] of loopback relays, keeps [`caller`]s at work for the whole run, and returns a
//! [`check::Verdict`]. Timing differs between runs: a seed reproduces the faults, not the exact
//! interleaving. [`gap`] measures the write outage after the loss of a primary.

pub mod caller;
pub mod check;
pub mod fault;
pub mod gap;
pub mod history;
mod inject;
pub mod net;
mod occupant;
pub mod plan;
pub mod play;
pub mod problem;
pub mod process;
pub mod session;
pub mod start;
mod starter;
pub mod teams;
mod testbed;

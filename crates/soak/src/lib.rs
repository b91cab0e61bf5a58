//! A soak: the real program as separate processes in front of a stand-in platform, faults from
//! outside, and checks of what callers and backend servers see.
//!
//! A seed draws a [`plan::Plan`]: how large the fleet is and which [`fault::Fault`]s strike when,
//! in series that overlap. [`play`] starts hosts, sends all their traffic through a
//! [`net::Net`] of loopback relays, lets [`caller`]s work all the while, and gives a
//! [`check::Verdict`]. Timing differs from run to run, so a seed repeats the faults and not each
//! moment. [`gap`] measures how long nothing is written when a primary goes.

pub mod caller;
pub mod check;
pub mod fault;
pub mod gap;
pub mod history;
mod inject;
pub mod net;
pub mod plan;
pub mod play;
pub mod problem;
pub mod process;
pub mod session;
mod testbed;

//! Pooled data path of an entry host.
//!
//! Callers' sessions share a few connections to each backend server, transaction by transaction.
//! The flow of a request is implemented here once, independent of any protocol: route it, wait for
//! a connection, restore the session's state there, run it, retry what did not run, and resolve
//! what is in doubt. A [`codec::Codec`] communicates with callers and servers, a
//! [`platform::Platform`] with the platform.
//!
//! Each host runs on one thread. Hosts have a fraction of a processor core, so threads would only
//! add context switches and locks.

pub mod acceptor;
pub mod attempt;
pub mod caller_connection;
pub mod caller_state;
pub mod codec;
pub mod election;
pub mod endpoint;
pub mod event;
pub mod fault;
pub mod feeds;
pub mod fleet;
pub mod gate;
pub mod host;
pub mod limits;
pub mod message;
pub mod meter;
pub mod open_sessions;
pub mod peer;
pub mod platform;
pub mod poll_state;
pub mod probe;
pub mod rejection;
pub mod relay;
pub mod reported_faults;
pub mod route;
pub mod server_connection;
pub mod service;
pub mod session;
pub mod shared_probe;
pub mod site;
pub mod socket;
pub mod team;
pub mod unusable;
pub mod watch;

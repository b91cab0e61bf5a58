//! The decision logic of flamingopost, a database proxy with session consistency.
//!
//! This crate performs no input or output. Each state machine takes an event and the current time
//! and returns what to do next. The daemons deliver events and carry out effects, so the same code
//! can be embedded elsewhere and tested by randomised runs with a manual clock.

pub mod admission;
pub mod adoption;
pub mod authority;
pub mod budget;
pub mod change_log;
pub mod clock;
pub mod config;
pub mod digest;
pub mod directory;
pub mod dispatch;
pub mod epoch;
pub mod extent;
pub mod feed;
pub mod fleet;
pub mod freshness;
pub mod health;
pub mod hedge;
pub mod history;
pub mod incarnation;
pub mod invariant;
pub mod key;
pub mod leader;
pub mod leadership;
pub mod lease;
pub mod limit;
pub mod membership;
pub mod names;
pub mod once;
pub mod position;
pub mod promotion;
pub mod quorum;
pub mod rate;
pub mod refusal;
pub mod retry;
pub mod route;
pub mod row;
pub mod rule;
pub mod serving_contact;
pub mod session;
pub mod statement;
pub mod submission;
pub mod succession;
pub mod suspicion;
pub mod term;
pub mod timing;
pub mod view;

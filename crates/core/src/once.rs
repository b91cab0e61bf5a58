//! Requests that must run at most once.
//!
//! A request with an idempotency key runs in the transaction that records the key
//! ([`keyed::Keyed`]). A request without a key is sent only once ([`single::Single`]).

pub mod keyed;
pub mod single;
pub mod sql;

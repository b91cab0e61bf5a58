//! Requests that must run at most once.
//!
//! A request with a key runs in one transaction with the record of its key ([`keyed::Keyed`]); one
//! without is sent a single time ([`single::Single`]).

pub mod keyed;
pub mod single;
pub mod sql;

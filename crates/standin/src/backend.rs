//! Stand-in for a database server of a group: PostgreSQL towards callers, SQLite inside.

mod channel;
mod copy;
mod engine;
mod error;
mod executor;
mod executor_copy;
mod executor_turn;
pub mod fault;
mod function;
mod group;
mod infer;
mod log;
mod parameter;
mod portal;
mod prepared;
mod registry;
mod replica;
mod server;
mod session;
mod shared;
mod sql;
mod startup;
mod state;
mod transaction;
mod translate;
mod value;

pub use self::server::{PromoteError, Server, Settings, StartError, Summary};
pub(crate) use self::server::{set_faults, summary};
pub(crate) use self::shared::Shared;

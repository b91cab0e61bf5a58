//! Building blocks shared by all flamingopost daemons: settings, clock, numbered log events,
//! metrics, health, remote calls, the HTTP server for operators and graceful shutdown.

pub mod clock;
pub mod compression;
pub mod event;
pub mod health;
pub mod http;
pub mod incarnation;
pub mod log;
pub mod metrics;
pub mod remote;
pub mod settings;
pub mod signals;
pub mod stop;
pub mod task;
pub mod token;
pub mod value;

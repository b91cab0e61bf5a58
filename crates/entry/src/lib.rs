//! The entry host: PostgreSQL to callers and backend servers, under leases from controllers.

pub mod adopted;
pub mod auth;
pub mod event;
pub mod link;
pub mod report;
pub mod rpc;
pub mod settings;
pub mod shared;
pub mod stream;
pub mod tls;

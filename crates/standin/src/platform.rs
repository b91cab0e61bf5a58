//! Stand-in for the platform's table service, object store and list of hosts.

mod fault;
mod hosts;
mod http;
mod service;
mod table;

pub use self::fault::Faults;
pub use self::hosts::{Announcement, State};
pub(crate) use self::http::keep_socket;
pub(crate) use self::service::Shared;
pub use self::service::{Service, Settings};

//! Stand-in for the users' platform: its metadata store, its orders, and groups of database
//! servers that speak statement lines.
//!
//! Everything runs in the caller's runtime on loopback ports and keeps nothing. Faults are
//! injected by method, for tests that drive the deployed program.

mod caller;
mod garbage;
mod group;
mod http;
mod log_event;
mod odd;
mod rollback;
mod server;
mod session;
mod site;
mod statement;
mod store;
mod team;

pub use self::caller::{Broken, Caller, Reply};
pub use self::garbage::Garbage;
pub use self::group::{Entry, Group, NOTICES, Replaced, Run};
pub use self::log_event::{LogChange, LogEvent};
pub use self::odd::Odd;
pub use self::rollback::Rollback;
pub use self::server::{Faults, Remains};
pub use self::site::{HeldClaim, Order, OrderMode, Site, Sizes};
pub use self::statement::{is_proved, is_same_statement};
pub use self::store::{Mode, Store};
pub use self::team::Team;

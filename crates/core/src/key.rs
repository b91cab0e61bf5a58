//! Small `Copy` keys that identify named objects of a fleet inside one process.
//!
//! Names travel between processes and appear in settings. Keys never leave the process that made
//! them, because each process numbers names in the order in which it first sees them.

slotmap::new_key_type! {
    /// A service: a group of database servers that callers reach under one database name.
    pub struct ServiceKey;
    /// A backend server.
    pub struct ServerKey;
    /// An entry host.
    pub struct HostKey;
    /// An availability zone.
    pub struct ZoneKey;
    /// A team, on whose behalf callers connect. The null key stands for no team.
    pub struct TeamKey;
    /// A customer, who pays for services.
    pub struct CustomerKey;
    /// A caller, who connects and is authenticated.
    pub struct CallerKey;
    /// A class of requests, with a weight and a deadline.
    pub struct ClassKey;
}

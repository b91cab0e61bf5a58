//! The configuration that is in force on this host.

use std::sync::Arc;

use flamingopost_core::fleet::Fleet;

/// One accepted version of the configuration, ready for use.
#[derive(Debug)]
pub struct Adopted {
    /// Its version.
    pub version: u64,
    /// SHA-256 of its body, hexadecimal.
    pub digest: String,
    /// Its text, which other hosts may ask for.
    pub body: Arc<str>,
    /// What it says.
    pub fleet: Arc<Fleet>,
}

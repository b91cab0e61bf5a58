//! The configuration that is in force in this process.

use std::sync::Arc;

use flamingopost_core::digest::Digest;
use flamingopost_core::fleet::Fleet;

/// One accepted version of the configuration, ready for use.
#[derive(Debug)]
pub struct Config {
    /// Its version.
    pub version: u64,
    /// Digest of its body.
    pub digest: Digest,
    /// Its text.
    pub body: Arc<str>,
    /// What it says.
    pub fleet: Arc<Fleet>,
}

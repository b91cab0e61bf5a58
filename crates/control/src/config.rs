//! The configuration that is in force in this process.

use std::sync::Arc;

use flamingopost_core::digest::Digest;
use flamingopost_core::fleet::Fleet;

/// One accepted version of the configuration, parsed and ready for use.
#[derive(Debug)]
pub struct Config {
    /// Version number.
    pub version: u64,
    /// Digest of the body.
    pub digest: Digest,
    /// Text of the configuration.
    pub body: Arc<str>,
    /// The fleet that the body describes.
    pub fleet: Arc<Fleet>,
}

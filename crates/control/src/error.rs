//! Why a control process cannot start or go on.

use std::net::SocketAddr;

use flamingopost_platform::error as platform;

/// Why a control process cannot start or go on.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// cannot listen on {0}: {1}
    Listen(SocketAddr, std::io::Error),
    /// {0}
    Platform(platform::Error),
    /// operators' HTTP failed: {0}
    Http(std::io::Error),
}

impl std::error::Error for Error {}

impl From<platform::Error> for Error {
    fn from(error: platform::Error) -> Error {
        Error::Platform(error)
    }
}

//! Errors of requests to the platform.

use std::time::Duration;

/// Why a request to a service of the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Error {
    /// the platform's service cannot be reached: {0}
    Unreachable(String),
    /// the platform's service refuses for now
    Refused,
    /// no answer came within {0:?}; whether the request took effect is unknown
    Timeout(Duration),
    /// the connection broke before the answer came ({0}); whether the request took effect is unknown
    Broken(String),
    /// the platform's service answered with status {0}
    Status(u16),
    /// the platform's service sent an answer that cannot be read: {0}
    Answer(String),
}

impl std::error::Error for Error {}

/// What an error implies about the effect of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// The request had no effect.
    None,
    /// The request may have taken effect. A writer finds out by reading back.
    Unknown,
}

impl Error {
    /// Returns whether the request may have taken effect.
    ///
    /// ```
    /// use std::time::Duration;
    /// use flamingopost_platform::error::{Effect, Error};
    ///
    /// assert_eq!(Error::Refused.effect(), Effect::None);
    /// assert_eq!(Error::Timeout(Duration::from_secs(1)).effect(), Effect::Unknown);
    /// ```
    pub fn effect(&self) -> Effect {
        match self {
            Error::Unreachable(_) | Error::Refused => Effect::None,
            // A 4xx status is a refusal before any effect. A gateway's 5xx status does not tell
            // what the service behind it did.
            Error::Status(status) if *status < 500 => Effect::None,
            Error::Status(_) | Error::Timeout(_) | Error::Broken(_) | Error::Answer(_) => {
                Effect::Unknown
            }
        }
    }
}

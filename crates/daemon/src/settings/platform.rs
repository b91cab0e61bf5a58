//! Settings of the connection to the platform's services.

use std::net::SocketAddr;
use std::time::Duration;

use super::Reader;

/// Default timeout of a request. The services respond within milliseconds, and within hundreds of
/// milliseconds while they are slow.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(1);

/// Settings of the connection to the platform's services.
#[derive(Debug, Clone, Copy)]
pub struct Platform {
    /// Address of the services.
    pub address: SocketAddr,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Interval between reads of the rows that the process watches.
    pub poll: Duration,
}

impl Platform {
    /// Returns the settings for the services at `address` with the poll interval `poll`, and
    /// defaults otherwise.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use flamingopost_daemon::settings::Platform;
    ///
    /// let address = "127.0.0.1:8400".parse().unwrap();
    /// let platform = Platform::at(address, Duration::from_secs(2));
    /// assert_eq!(platform.timeout, Duration::from_secs(1));
    /// ```
    pub fn at(address: SocketAddr, poll: Duration) -> Platform {
        Platform {
            address,
            timeout: DEFAULT_TIMEOUT,
            poll,
        }
    }

    /// Decodes the section `[platform]`. `poll` is the default poll interval.
    ///
    /// Returns `None` if the section has no valid address, which [`Reader::finish`] reports.
    pub fn read(reader: &mut Reader, poll: Duration) -> Option<Platform> {
        let address = reader.required("platform", "address", "10.1.0.2:8400");
        let timeout = reader.optional("platform", "timeout", DEFAULT_TIMEOUT);
        let poll = reader.optional("platform", "poll", poll);
        Some(Platform {
            address: address?,
            timeout,
            poll,
        })
    }
}

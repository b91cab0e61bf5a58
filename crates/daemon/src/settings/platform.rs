//! Where a process finds the platform's services.

use std::net::SocketAddr;
use std::time::Duration;

use super::Reader;

/// How long one request may take where the settings give no time: the services answer within
/// milliseconds, and hundreds of them while they are slow.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(1);

/// The platform's services.
#[derive(Debug, Clone, Copy)]
pub struct Platform {
    /// Their address.
    pub address: SocketAddr,
    /// How long one request may take.
    pub timeout: Duration,
    /// Time between two reads of the rows that the process follows.
    pub poll: Duration,
}

impl Platform {
    /// The services at `address`, read each `poll`, with everything else at its default.
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

    /// Decodes the section `[platform]`; `poll` holds where the section gives no other. `None`
    /// where the section is wrong, which `reader` reports at its end.
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

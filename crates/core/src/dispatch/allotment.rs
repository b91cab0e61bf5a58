//! How many connections one host may have to one server.

use std::time::Duration;

/// How long a server keeps counting the connections of a host that lost power, at the longest.
pub const DEAD_CONNECTION_LIFETIME: Duration = Duration::from_secs(3);

/// Divisor for the part of a server's connections that hosts keep open. After a power loss, servers
/// keep counting the connections of dead hosts, and the other part admits the hosts that start
/// meanwhile. With all connections kept open, no request was served for two seconds after such a
/// restart.
const KEPT_OPEN_DIVISOR: u16 = 2;

/// Maximum number of connections that a host keeps open to one server: one for each of the few
/// statements that a fraction of a core can have in flight.
const MAX_KEPT_OPEN: u16 = 4;

/// Percentage of a server's connections that all hosts together use at most if each host serves
/// for itself. With all of them in use, no host reached a primary for another second after a
/// power loss.
const MAX_USED_PERCENT_BY_ALL: u16 = 75;

/// The same if a few hosts serve on behalf of the others. The dead and the restarted connections
/// then fit side by side, so that a restarted fleet can open as many connections as it had.
const MAX_USED_PERCENT_BY_CHOSEN: u16 = 50;

/// Which hosts connect to the servers of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Serving {
    /// Each host, for its own callers.
    All,
    /// A few hosts of each zone, also for the callers of the others.
    Chosen,
}

/// Number of connections that one host may have to each server of a service.
///
/// ```
/// use flamingopost_core::dispatch::{Allotment, Serving};
///
/// let allotment = Allotment::new(46, 6, Serving::Chosen);
/// assert_eq!((allotment.base, allotment.most, allotment.restart), (3, 4, 3));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allotment {
    /// Connections that are kept open.
    pub base: u16,
    /// This host's fair share of the server's connection limit.
    pub fair: u16,
    /// Upper limit of connections, including those opened temporarily.
    pub most: u16,
    /// Upper limit for [`DEAD_CONNECTION_LIFETIME`] after this host has started, while servers may
    /// still count the connections of the hosts' former processes.
    pub restart: u16,
}

impl Allotment {
    /// Allotment of a host that serves the service for nobody, or does not know yet whether it
    /// does. One connection remains for when none of the serving hosts is reachable.
    pub const NOT_SERVING: Allotment = Allotment {
        base: 0,
        fair: 1,
        most: 1,
        restart: 1,
    };

    /// Returns the allotment of each of `hosts` that share a server with a limit of `connections`.
    pub fn new(connections: u16, hosts: u16, serving: Serving) -> Allotment {
        let hosts = hosts.max(1);
        let base = (connections / KEPT_OPEN_DIVISOR / hosts).clamp(1, MAX_KEPT_OPEN);
        let percent = match serving {
            Serving::All => MAX_USED_PERCENT_BY_ALL,
            Serving::Chosen => MAX_USED_PERCENT_BY_CHOSEN,
        };
        let most = share(connections, percent, hosts);
        let fair = (connections / hosts).clamp(1, most);
        let free = connections.saturating_sub(most.saturating_mul(hosts));
        let restart = match serving {
            Serving::All => most,
            Serving::Chosen => (free / hosts).clamp(1, most),
        };
        Allotment {
            base,
            fair,
            most,
            restart,
        }
    }
}

/// Returns how many of `percent` of `connections` each of `hosts` may use, rounded up.
fn share(connections: u16, percent: u16, hosts: u16) -> u16 {
    let used = u32::from(connections) * u32::from(percent) / 100;
    let share = used.div_ceil(u32::from(hosts)).max(1);
    u16::try_from(share).unwrap_or(u16::MAX)
}

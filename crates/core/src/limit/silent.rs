//! Hosts that may hold shares of an earlier grantor without the present one knowing.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::key::HostKey;

/// Time from when a host became the grantor until a report counts. A report that arrives later was
/// sent after the earlier grantor had stopped: datagrams between hosts take far less, and a grantor
/// that stands still for longer than its lease begins anew.
const REPORT_DELAY: Duration = Duration::from_secs(1);

/// Which hosts have reported that they hold no share of any grantor.
///
/// A process reports so only until it first asks a grantor. So a host that reported after the
/// present grantor took over can have obtained shares of this one only, which it knows.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::key::HostKey;
/// use flamingopost_core::limit::NoShares;
///
/// let (since, host) = (Duration::from_secs(10), HostKey::default());
/// let mut reports = NoShares::default();
/// reports.record(host, Duration::from_secs(9));
/// assert!(!reports.holds_none(host, since), "it may have asked the earlier grantor after that");
/// reports.record(host, Duration::from_secs(12));
/// assert!(reports.holds_none(host, since));
/// ```
#[derive(Debug, Default)]
pub struct NoShares {
    at: BTreeMap<HostKey, Duration>,
}

impl NoShares {
    /// Records a report of `host`.
    pub fn record(&mut self, host: HostKey, now: Duration) {
        self.at.insert(host, now);
    }

    /// Forgets `host`, which is not listed any more.
    pub fn remove(&mut self, host: HostKey) {
        self.at.remove(&host);
    }

    /// Reports whether `host` holds no share of a grantor before the one that grants since `since`.
    pub fn holds_none(&self, host: HostKey, since: Duration) -> bool {
        let at = self.at.get(&host);
        at.is_some_and(|at| *at >= since + REPORT_DELAY)
    }
}

/// Returns the fraction of hosts that may hold unknown shares: `silent` of `hosts` altogether, and
/// `silent_first` of the `first` hosts that zones ask first, which hold most of them.
///
/// ```
/// use flamingopost_core::limit::silent_fraction;
///
/// assert_eq!(silent_fraction((2, 80), (0, 4)), 0.025);
/// assert_eq!(silent_fraction((2, 80), (1, 4)), 0.25);
/// ```
pub fn silent_fraction(
    (silent, hosts): (usize, usize),
    (silent_first, first): (usize, usize),
) -> f64 {
    let of_all = silent as f64 / hosts.max(1) as f64;
    let of_first = silent_first as f64 / first.max(1) as f64;
    of_all.max(of_first)
}

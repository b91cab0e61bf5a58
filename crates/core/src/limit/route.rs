//! Which host a host obtains operations from.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Borrower, SILENCE_TIMEOUT};
use crate::key::HostKey;

/// Time for which a silent host is not asked, and interval between probes of it after that.
const SKIP_TIME: Duration = Duration::from_secs(1);

/// Where a host obtains operations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// Its own account, which asks the grantor.
    Own,
    /// Another host, which lends them.
    Lender(HostKey),
}

/// The lenders that this host asks, of all teams, and which of them are silent.
///
/// A silent host is probed before it is asked again, so that callers wait for it only once.
#[derive(Debug, Default)]
pub struct Lenders {
    /// Send time of the oldest request that was not answered.
    asked: BTreeMap<HostKey, Duration>,
    /// Silent hosts, and when to probe them.
    silent: BTreeMap<HostKey, Duration>,
}

impl Lenders {
    /// Records a request to `lender`.
    pub fn record_request(&mut self, lender: HostKey, now: Duration) {
        self.asked.entry(lender).or_insert(now);
    }

    /// Records a message of `lender`.
    pub fn record_answer(&mut self, lender: HostKey) {
        self.asked.remove(&lender);
        self.silent.remove(&lender);
    }

    /// Forgets the hosts that are not listed any more.
    pub fn retain(&mut self, is_listed: impl Fn(HostKey) -> bool) {
        self.asked.retain(|host, _| is_listed(*host));
        self.silent.retain(|host, _| is_listed(*host));
    }

    /// Returns the first of `sources` that is neither silent nor known to have nothing, or the own
    /// account if there is none. Hosts to probe are added to `probes`.
    pub fn choose(
        &mut self,
        sources: impl IntoIterator<Item = Source>,
        borrower: &Borrower,
        probes: &mut Vec<HostKey>,
        now: Duration,
    ) -> Source {
        for source in sources {
            if let Source::Lender(lender) = source
                && self.is_silent(lender, probes, now)
            {
                continue;
            }
            if !borrower.is_unavailable(source, now) {
                return source;
            }
        }
        Source::Own
    }

    fn is_silent(&mut self, lender: HostKey, probes: &mut Vec<HostKey>, now: Duration) -> bool {
        if let Some(probe_at) = self.silent.get_mut(&lender) {
            if *probe_at <= now {
                *probe_at = now + SKIP_TIME;
                probes.push(lender);
            }
            return true;
        }
        let asked = self.asked.get(&lender);
        let is_silent = asked.is_some_and(|asked| now >= *asked + SILENCE_TIMEOUT);
        if is_silent {
            self.silent.insert(lender, now + SKIP_TIME);
        }
        is_silent
    }
}

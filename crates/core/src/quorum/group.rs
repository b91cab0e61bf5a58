//! One of the sets of hosts of which a majority has to agree.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::key::HostKey;

/// A set of hosts as seen by one of them or by another host.
#[derive(Debug, Clone, Default)]
pub struct Group {
    others: BTreeSet<HostKey>,
    /// Number of hosts that are not listed, so that this host cannot reach them.
    unlisted: usize,
    has_self: bool,
}

impl Group {
    /// Returns the set of hosts `names`, of which `key` returns the keys, as seen by the host `own`.
    pub fn new(
        names: &BTreeSet<String>,
        own: &str,
        key: impl Fn(&str) -> Option<HostKey>,
    ) -> Group {
        let has_self = names.contains(own);
        let others = names.iter().filter(|name| *name != own);
        let others: BTreeSet<HostKey> = others.filter_map(|name| key(name)).collect();
        Group {
            unlisted: names.len() - others.len() - usize::from(has_self),
            others,
            has_self,
        }
    }

    /// Returns the other hosts that are listed.
    pub(super) fn others(&self) -> &BTreeSet<HostKey> {
        &self.others
    }

    /// Reports whether this host is one of them.
    pub(super) fn has_self(&self) -> bool {
        self.has_self
    }

    /// Returns the number of hosts.
    pub(super) fn size(&self) -> usize {
        self.others.len() + self.unlisted + usize::from(self.has_self)
    }

    /// Returns the smallest number of hosts that are a majority.
    fn majority(&self) -> usize {
        self.size() / 2 + 1
    }

    /// Returns the latest time at which a majority had done something that `done_at` tells of the other
    /// hosts, and `own` of this one.
    pub(super) fn done_by_most(
        &self,
        own: Option<Duration>,
        done_at: impl Fn(HostKey) -> Option<Duration>,
        order: Order,
    ) -> Option<Duration> {
        let others = self.others.iter().filter_map(|host| done_at(*host));
        let mut times: Vec<Duration> = others.chain(own.filter(|_| self.has_self)).collect();
        times.sort_unstable();
        if order == Order::Newest {
            times.reverse();
        }
        times.get(self.majority() - 1).copied()
    }

    /// Counts the hosts for which `holds` is true, with this one if `own` is.
    pub(super) fn count(&self, own: bool, holds: impl Fn(HostKey) -> bool) -> usize {
        let others = self.others.iter().filter(|host| holds(**host)).count();
        others + usize::from(own && self.has_self)
    }

    /// Reports whether `count` hosts are a majority.
    pub(super) fn is_majority(&self, count: usize) -> bool {
        count >= self.majority()
    }

    /// Reports whether each majority includes one of `count` hosts.
    pub(super) fn meets_each_majority(&self, count: usize) -> bool {
        self.size() - count < self.majority()
    }
}

/// Which times count towards a majority first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Order {
    /// The earliest.
    Oldest,
    /// The latest.
    Newest,
}

//! Failure detection of primaries from the reports of entry hosts.
//!
//! - A *dead or cut-off* primary: hosts of more than one zone cannot reach it, and they are more
//!   than half of the hosts that report.
//! - A *slow* primary answers, however late: each answer ends the silence that would make it
//!   suspect, and mere silence has to last longer than refused or broken connections.
//! - A *flapping* primary: after a promotion the next one waits, twice as long each time.
//! - A *fault of one host or zone* shows as one host, or one zone, that cannot reach the primary.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::key::{HostKey, ServerKey, ServiceKey, ZoneKey};
use crate::timing;

/// What one host observed of one server since its last report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Report {
    /// Attempts without an answer: refused, broken or timed out.
    pub failures: u32,
    /// Failures that were refused or broken connections, which slowness alone does not explain.
    pub broken: u32,
    /// Time since the last answer; `None` if there never was one.
    pub silent: Option<Duration>,
}

/// Collects the reports of hosts and decides which servers are unreachable.
#[derive(Debug, Default)]
pub struct FailureDetector {
    servers: BTreeMap<ServerKey, BTreeMap<HostKey, ReportEntry>>,
    hosts: BTreeMap<HostKey, HostContact>,
    listed_zones: BTreeSet<ZoneKey>,
    cooldowns: BTreeMap<ServiceKey, Cooldown>,
    /// Servers that some host could not reach recently. All others are skipped quickly, because a
    /// controller checks each primary of its shard at each step.
    suspects: BTreeSet<ServerKey>,
}

#[derive(Debug)]
struct ReportEntry {
    at: Duration,
    seen: Report,
}

#[derive(Debug)]
struct HostContact {
    zone: ZoneKey,
    at: Duration,
}

#[derive(Debug)]
struct Cooldown {
    last: Duration,
    pause: Duration,
}

/// Whether a server is reachable according to the reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// Enough hosts reach the server, or too few report that they do not.
    Reachable,
    /// Hosts of more than one zone, or all hosts of the only zone left, cannot reach the server.
    Unreachable,
}

impl FailureDetector {
    /// Sets the zones in which the platform lists hosts. The list lags, so it only shows whose
    /// silence is significant.
    pub fn set_listed_zones(&mut self, zones: BTreeSet<ZoneKey>) {
        self.listed_zones = zones;
    }

    /// Adds a report of a host that was just [recorded](FailureDetector::record_host).
    pub fn add_report(&mut self, host: HostKey, server: ServerKey, report: Report, now: Duration) {
        let hosts = self.servers.entry(server).or_default();
        let earlier = hosts.get(&host).map(|entry| entry.seen);
        let entry = ReportEntry {
            at: now,
            seen: report.merge_earlier(earlier),
        };
        if entry.seen.is_unreachable() {
            self.suspects.insert(server);
        }
        hosts.insert(host, entry);
    }

    /// Records that `host` sent a message at `now`, whatever it reports.
    pub fn record_host(&mut self, host: HostKey, zone: ZoneKey, now: Duration) {
        self.hosts.insert(host, HostContact { zone, at: now });
    }

    /// Removes hosts that have long been silent.
    pub fn expire(&mut self, now: Duration) {
        let gone = |at: Duration| now >= at + timing::COOL_DOWN_MAX;
        self.hosts.retain(|_, contact| !gone(contact.at));
        for hosts in self.servers.values_mut() {
            hosts.retain(|_, entry| !gone(entry.at));
        }
        let servers = &self.servers;
        self.suspects.retain(|server| {
            let hosts = servers.get(server);
            hosts.is_some_and(|hosts| hosts.values().any(|entry| entry.seen.is_unreachable()))
        });
    }

    /// Returns whether `server` is reachable at `now` according to the reports.
    ///
    /// ```
    /// use std::time::Duration;
    /// use flamingopost_core::key::ServerKey;
    /// use flamingopost_core::suspicion::{FailureDetector, Reachability};
    ///
    /// let detector = FailureDetector::default();
    /// let reachability = detector.reachability(ServerKey::default(), Duration::from_secs(1));
    /// assert_eq!(reachability, Reachability::Reachable);
    /// ```
    pub fn reachability(&self, server: ServerKey, now: Duration) -> Reachability {
        if !self.suspects.contains(&server) {
            return Reachability::Reachable;
        }
        let Some(hosts) = self.servers.get(&server) else {
            return Reachability::Reachable;
        };
        // Counts every host that has ever reported on the server and is still in contact, even if
        // its latest message does not mention the server: hosts report on healthy servers only in
        // turn.
        let total = hosts
            .keys()
            .filter(|host| self.is_host_fresh(**host, now))
            .count();
        let against: Vec<HostKey> = hosts
            .iter()
            .filter(|(host, _)| self.is_host_fresh(**host, now))
            .filter(|(_, entry)| {
                now < entry.at + timing::REPORT_MAX_AGE && entry.seen.is_unreachable()
            })
            .map(|(host, _)| *host)
            .collect();
        let zone = |host: &HostKey| self.hosts.get(host).map(|contact| contact.zone);
        let zones: BTreeSet<ZoneKey> = against.iter().filter_map(zone).collect();
        let unreachable = match zones.len() {
            0 => false,
            // A fault of the zone's own network looks the same, so all hosts of the zone must agree
            // and no host of another zone may be left to ask.
            1 => against.len() == total && self.is_only_zone_left(&zones, now),
            _ => against.len() * 2 > total,
        };
        match unreachable {
            true => Reachability::Unreachable,
            false => Reachability::Reachable,
        }
    }

    /// Reports whether a suspected failure may start a promotion of `service` at `now`.
    pub fn has_cooled_down(&self, service: ServiceKey, now: Duration) -> bool {
        let cooling = self.cooldowns.get(&service);
        cooling.is_none_or(|cooling| now >= cooling.last + cooling.pause)
    }

    /// Records that a suspected failure has led to a promotion of `service` at `now`.
    pub fn record_promotion(&mut self, service: ServiceKey, now: Duration) {
        let earlier = self.cooldowns.get(&service);
        let pause = match earlier {
            Some(earlier) if now < earlier.last + earlier.pause * 4 => earlier.pause * 2,
            _ => timing::COOL_DOWN,
        };
        let cooling = Cooldown {
            last: now,
            pause: pause.min(timing::COOL_DOWN_MAX),
        };
        self.cooldowns.insert(service, cooling);
    }

    fn is_host_fresh(&self, host: HostKey, now: Duration) -> bool {
        let contact = self.hosts.get(&host);
        contact.is_some_and(|contact| now < contact.at + timing::REPORT_MAX_AGE)
    }

    /// Reports whether no host of another zone has sent a message for a while. The time is longer
    /// where the platform lists live hosts elsewhere.
    fn is_only_zone_left(&self, zones: &BTreeSet<ZoneKey>, now: Duration) -> bool {
        let patience = match self.listed_zones.difference(zones).next() {
            Some(_) => timing::SINGLE_ZONE_WAIT,
            None => timing::REPORT_MAX_AGE,
        };
        let others = self.hosts.values().filter(|h| !zones.contains(&h.zone));
        let last = others.map(|contact| contact.at).max();
        last.is_none_or(|last| now >= last + patience)
    }
}

impl Report {
    /// Adds the failures of an earlier report to this one, unless an answer has come since: an
    /// attempt takes longer to fail than the interval between reports.
    fn merge_earlier(self, earlier: Option<Report>) -> Report {
        match earlier {
            Some(earlier) if !self.has_recent_answer() => Report {
                failures: self.failures.saturating_add(earlier.failures),
                broken: self.broken.saturating_add(earlier.broken),
                silent: self.silent,
            },
            _ => self,
        }
    }

    fn has_recent_answer(&self) -> bool {
        self.silent
            .is_some_and(|silent| silent < timing::SUSPICION_TIMEOUT)
    }

    fn is_unreachable(&self) -> bool {
        if self.failures == 0 {
            return false;
        }
        let limit = match self.broken {
            0 => timing::SILENT_SUSPICION_TIMEOUT,
            _ => timing::SUSPICION_TIMEOUT,
        };
        self.silent.is_none_or(|silent| silent >= limit)
    }
}

//! Whether a primary is dead, by what entry hosts report.
//!
//! - A *dead or cut-off* primary: hosts of more than one zone cannot reach it, and they are more
//!   than half of the hosts heard.
//! - A *slow* one answers, however late: each answer ends the silence that would make it suspect,
//!   and mere silence has to last longer than refused or broken connections.
//! - A *flapping* one: after a promotion the next one waits, twice as long each time.
//! - One *host's own trouble* shows as one host, or one zone, that cannot reach it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::key::{HostKey, ServerKey, ServiceKey, ZoneKey};
use crate::timing;

/// What one host saw of one server since its last report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Report {
    /// Attempts without an answer: refused, broken or timed out.
    pub failures: u32,
    /// Those of them that were refused or broken, which mere slowness does not explain.
    pub broken: u32,
    /// Time since the last answer; `None` when there never was one.
    pub silent: Option<Duration>,
}

/// Collects reports and judges by them.
#[derive(Debug, Default)]
pub struct FailureDetector {
    servers: BTreeMap<ServerKey, BTreeMap<HostKey, ReportEntry>>,
    hosts: BTreeMap<HostKey, HostContact>,
    listed_zones: BTreeSet<ZoneKey>,
    cooldowns: BTreeMap<ServiceKey, Cooldown>,
    /// Servers that some host could not reach lately. All others are passed over quickly: a
    /// controller judges each primary of its shard at each step.
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

/// What the reports say of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// Enough hosts reach it, or too few speak against it.
    Reachable,
    /// Hosts of more than one zone, or all of the only zone that is left, cannot reach it.
    Unreachable,
}

impl FailureDetector {
    /// Notes the zones in which the platform's list has hosts. The list lags, so it only says
    /// whose silence means something.
    pub fn set_listed_zones(&mut self, zones: BTreeSet<ZoneKey>) {
        self.listed_zones = zones;
    }

    /// Takes a report of a host that was just [heard](FailureDetector::heard).
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

    /// Notes that `host` was heard at `now`, whatever it reports.
    pub fn record_host(&mut self, host: HostKey, zone: ZoneKey, now: Duration) {
        self.hosts.insert(host, HostContact { zone, at: now });
    }

    /// Forgets hosts that have long been silent.
    pub fn expire(&mut self, now: Duration) {
        let gone = |at: Duration| now >= at + timing::COOL_DOWN_MAX;
        self.hosts.retain(|_, heard| !gone(heard.at));
        for hosts in self.servers.values_mut() {
            hosts.retain(|_, entry| !gone(entry.at));
        }
        let servers = &self.servers;
        self.suspects.retain(|server| {
            let hosts = servers.get(server);
            hosts.is_some_and(|hosts| hosts.values().any(|entry| entry.seen.is_unreachable()))
        });
    }

    /// What the reports say of `server` at `now`.
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
        // A host that has ever spoken of the server and is still heard counts, also when it says
        // nothing of it this time: hosts report on those without trouble only in turn.
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
        let zone = |host: &HostKey| self.hosts.get(host).map(|heard| heard.zone);
        let zones: BTreeSet<ZoneKey> = against.iter().filter_map(zone).collect();
        let unreachable = match zones.len() {
            0 => false,
            // A zone's own trouble looks the same, so all of it must agree and nobody else be
            // there to ask.
            1 => against.len() == total && self.is_only_zone_left(&zones, now),
            _ => against.len() * 2 > total,
        };
        match unreachable {
            true => Reachability::Unreachable,
            false => Reachability::Reachable,
        }
    }

    /// Whether suspicion may start a promotion of `service` at `now`.
    pub fn has_cooled_down(&self, service: ServiceKey, now: Duration) -> bool {
        let cooling = self.cooldowns.get(&service);
        cooling.is_none_or(|cooling| now >= cooling.last + cooling.pause)
    }

    /// Notes that suspicion has led to a promotion of `service` at `now`.
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
        let heard = self.hosts.get(&host);
        heard.is_some_and(|heard| now < heard.at + timing::REPORT_MAX_AGE)
    }

    /// Whether hosts of no other zone have been heard for a while. Where the platform lists live
    /// hosts elsewhere, that has to last longer.
    fn is_only_zone_left(&self, zones: &BTreeSet<ZoneKey>, now: Duration) -> bool {
        let patience = match self.listed_zones.difference(zones).next() {
            Some(_) => timing::SINGLE_ZONE_WAIT,
            None => timing::REPORT_MAX_AGE,
        };
        let others = self.hosts.values().filter(|h| !zones.contains(&h.zone));
        let last = others.map(|heard| heard.at).max();
        last.is_none_or(|last| now >= last + patience)
    }
}

impl Report {
    /// This report with the failures of an earlier one, unless an answer has come since: an
    /// attempt takes longer to fail than reports are apart.
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

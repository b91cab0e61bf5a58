//! When reports of entry hosts are enough to replace a primary.

use std::time::Duration;

use flamingopost_core::key::{HostKey, ServerKey, ServiceKey, ZoneKey};
use flamingopost_core::names::Names;
use flamingopost_core::suspicion::{FailureDetector, Reachability, Report};
use flamingopost_core::timing;

struct Fleet {
    detector: FailureDetector,
    server: ServerKey,
    /// Two hosts in each of three zones.
    hosts: Vec<(HostKey, ZoneKey)>,
}

fn fleet() -> Fleet {
    let mut hosts = Names::default();
    let mut zones = Names::default();
    let host = |i: usize| {
        let zone = zones.intern(["bole-hall", "akaki-hall", "kality-hall"][i % 3]);
        (hosts.intern(&format!("entry-{i}")), zone)
    };
    Fleet {
        detector: FailureDetector::default(),
        server: Names::default().intern("ledger-1"),
        hosts: (0..6).map(host).collect(),
    }
}

impl Fleet {
    fn report(&mut self, host: usize, report: Report, now: Duration) {
        let (host, zone) = self.hosts[host];
        self.detector.record_host(host, zone, now);
        self.detector.add_report(host, self.server, report, now);
    }

    fn verdict(&self, now: Duration) -> Reachability {
        self.detector.reachability(self.server, now)
    }
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn healthy() -> Report {
    Report {
        silent: Some(Duration::from_millis(50)),
        ..Report::default()
    }
}

fn broken() -> Report {
    Report {
        failures: 4,
        broken: 4,
        silent: Some(timing::SUSPICION_TIMEOUT),
    }
}

fn silent(millis: u64) -> Report {
    Report {
        failures: 2,
        broken: 0,
        silent: Some(Duration::from_millis(millis)),
    }
}

/// A primary dies and nobody does anything.
#[test]
fn a_primary_refused_by_hosts_of_all_zones_is_unreachable() {
    let mut fleet = fleet();
    (0..6).for_each(|host| fleet.report(host, broken(), secs(10)));
    assert_eq!(fleet.verdict(secs(10)), Reachability::Unreachable);
}

/// A healthy primary is replaced because one zone has lost its way to it.
#[test]
fn hosts_of_one_zone_are_not_enough() {
    let mut fleet = fleet();
    for host in 0..6 {
        let report = if host % 3 == 1 { broken() } else { healthy() };
        fleet.report(host, report, secs(10));
    }
    assert_eq!(fleet.verdict(secs(10)), Reachability::Reachable);
}

/// A healthy primary is replaced because one host in each of two zones has lost its way to it.
#[test]
fn a_minority_is_not_enough() {
    let mut fleet = fleet();
    for host in 0..6 {
        let report = if host < 2 { broken() } else { healthy() };
        fleet.report(host, report, secs(10));
    }
    assert_eq!(fleet.verdict(secs(10)), Reachability::Reachable);
}

/// A busy primary that answers after one and a half seconds is replaced, which makes all worse.
#[test]
fn a_slow_primary_is_reachable() {
    let mut fleet = fleet();
    for step in 0..20 {
        let now = secs(10) + Duration::from_millis(500) * step;
        // Probes time out again and again; each late answer ends the silence.
        let millis = 500 * u64::from(step % 4);
        (0..6).for_each(|host| fleet.report(host, silent(millis), now));
        assert_eq!(fleet.verdict(now), Reachability::Reachable, "step {step}");
    }
}

/// A primary behind a cut that swallows packets is never replaced, as nothing refuses.
#[test]
fn a_primary_that_is_silent_for_long_is_unreachable() {
    let mut fleet = fleet();
    (0..6).for_each(|host| fleet.report(host, silent(2_000), secs(10)));
    assert_eq!(fleet.verdict(secs(10)), Reachability::Unreachable);
}

/// The hosts that are left are those of one zone. They have to wait until the others would have
/// been heard again.
#[test]
fn hosts_of_the_only_zone_left_are_enough_after_a_while() {
    let mut fleet = fleet();
    let zones = fleet.hosts.iter().map(|(_, zone)| *zone).collect();
    fleet.detector.set_listed_zones(zones);
    (0..6).for_each(|host| fleet.report(host, healthy(), secs(10)));
    let soon = secs(12);
    for host in [0, 3] {
        fleet.report(host, broken(), soon);
    }
    assert_eq!(fleet.verdict(soon), Reachability::Reachable);
    let later = secs(10) + timing::SINGLE_ZONE_WAIT;
    for host in [0, 3] {
        fleet.report(host, broken(), later);
    }
    assert_eq!(fleet.verdict(later), Reachability::Unreachable);
}

/// Old reports replace a primary that has long been back.
#[test]
fn old_reports_do_not_count() {
    let mut fleet = fleet();
    (0..6).for_each(|host| fleet.report(host, broken(), secs(10)));
    assert_eq!(
        fleet.verdict(secs(10) + timing::REPORT_MAX_AGE),
        Reachability::Reachable
    );
}

/// Two servers that fail in turn are promoted back and forth, and no write gets through.
#[test]
fn the_pause_doubles_with_each_promotion_in_a_row() {
    let mut detector = FailureDetector::default();
    let service = ServiceKey::default();
    let mut now = secs(10);
    let mut pauses = Vec::new();
    for _ in 0..12 {
        detector.record_promotion(service, now);
        let from = now;
        while !detector.has_cooled_down(service, now) {
            now += Duration::from_millis(100);
        }
        pauses.push(now - from);
    }
    assert_eq!(pauses[0], timing::COOL_DOWN);
    assert!(
        pauses
            .windows(2)
            .all(|pair| pair[1] == (pair[0] * 2).min(timing::COOL_DOWN_MAX))
    );

    detector.record_promotion(service, now + secs(3_600));
    assert!(detector.has_cooled_down(service, now + secs(3_600) + timing::COOL_DOWN));
}

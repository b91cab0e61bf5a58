//! Routing of requests to servers.

use std::collections::BTreeMap;
use std::time::Duration;

use flamingopost_core::directory::Directory;
use flamingopost_core::health::HealthState;
use flamingopost_core::key::{ServerKey, ZoneKey};
use flamingopost_core::position::Position;
use flamingopost_core::refusal::Refusal;
use flamingopost_core::route::server::{Freshness, ServerSettings, Status};
use flamingopost_core::route::{LEAVING_GRACE, ReadRequest, Route, Table, TargetRole};
use flamingopost_core::session::need::Need;
use flamingopost_core::term::Term;
use flamingopost_core::view::{Service, State};

const TERM: Term = Term { epoch: 1, count: 0 };
const NEXT: Term = Term { epoch: 1, count: 1 };
const NOW: Duration = Duration::from_secs(1000);
const LEASE_END: Duration = Duration::from_secs(1003);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Three servers in three zones. The host is in the zone of `near`.
struct Scene {
    table: Table,
    settings: BTreeMap<ServerKey, ServerSettings>,
    primary: ServerKey,
    near: ServerKey,
    far: ServerKey,
}

impl Scene {
    fn new() -> Scene {
        let mut names = Directory::default();
        let zones = ["dumdum", "saltlake", "garia"].map(|zone| names.zones.intern(zone));
        let [primary, near, far] = ["one", "two", "three"].map(|name| names.servers.intern(name));
        let fact = |zone: ZoneKey| ServerSettings {
            zone,
            slots: 2,
            distance: ms(3),
            leaving: false,
        };
        let settings = BTreeMap::from([
            (primary, fact(zones[0])),
            (near, fact(zones[1])),
            (far, fact(zones[2])),
        ]);
        let mut table = Table::new(zones[1]);
        table.configure(&settings, NOW);
        table.adopt(open(TERM, primary), NOW);
        table.extend_lease(TERM, LEASE_END);
        let mut scene = Scene {
            table,
            settings,
            primary,
            near,
            far,
        };
        scene.report(primary, 100, 0);
        scene.report(near, 100, 50);
        scene.report(far, 100, 50);
        scene
    }

    fn report(&mut self, server: ServerKey, log: u64, age: u64) {
        self.report_at(server, log, age, NOW);
    }

    fn report_at(&mut self, server: ServerKey, log: u64, age: u64, now: Duration) {
        let fresh = Some(Freshness {
            term: TERM,
            age: ms(age),
        });
        let position = Position { term: TERM, log };
        self.table
            .record_status(server, Status { position, fresh }, now, now);
    }

    fn read(&self, need: Need) -> Route {
        self.read_at(need, NOW)
    }

    fn read_at(&self, need: Need, now: Duration) -> Route {
        let request = ReadRequest {
            need,
            max_wait: Duration::ZERO,
            random_bits: 7,
        };
        self.table.read(&request, now)
    }
}

fn open(term: Term, primary: ServerKey) -> Service {
    Service::new(State::Open { term, primary })
}

fn after(log: u64) -> Need {
    Need::Position {
        position: Position { term: TERM, log },
        max_age: None,
    }
}

fn aged(millis: u64) -> Need {
    Need::Any {
        max_age: Some(ms(millis)),
    }
}

fn replica(server: ServerKey) -> Route {
    Route::Go {
        server,
        part: TargetRole::Replica,
    }
}

fn primary(server: ServerKey) -> Route {
    Route::Go {
        server,
        part: TargetRole::Primary(TERM),
    }
}

#[test]
fn reads_prefer_the_local_zone_then_other_zones_then_the_primary() {
    let mut scene = Scene::new();
    assert_eq!(scene.read(after(100)), replica(scene.near));
    scene.report(scene.near, 90, 50);
    assert_eq!(scene.read(after(100)), replica(scene.far));
    scene.report(scene.far, 90, 50);
    assert_eq!(scene.read(after(100)), primary(scene.primary));
    assert_eq!(scene.read(after(90)), replica(scene.near));
}

#[test]
fn a_read_waits_for_a_replica_that_is_about_to_reach_the_position() {
    let mut scene = Scene::new();
    scene.report_at(scene.near, 150, 50, NOW + ms(100));
    let request = |max_wait| ReadRequest {
        need: after(155),
        max_wait,
        random_bits: 7,
    };
    let now = NOW + ms(101);
    let route = scene.table.read(&request(ms(50)), now);
    assert_eq!(route, Route::Wait { wait: ms(9) });
    let route = scene.table.read(&request(ms(5)), now);
    assert_eq!(route, primary(scene.primary));
}

#[test]
fn an_idle_remote_replica_is_preferred_to_a_busy_local_one() {
    let mut scene = Scene::new();
    for _ in 0..12 {
        scene.table.request_started(scene.near, NOW);
    }
    assert_eq!(scene.read(after(100)), replica(scene.far));
}

/// A zone is cut off. Its replica still answers probes and reports for how long it has received
/// nothing from its primary. Reads with an age limit below that are refused, others are served.
#[test]
fn a_partitioned_zone_refuses_only_reads_that_need_newer_data() {
    let mut scene = Scene::new();
    let now = LEASE_END + ms(500);
    scene.table.mark_unreachable(scene.primary, now);
    scene.table.mark_unreachable(scene.far, now);
    scene.report_at(scene.near, 100, 400, now);
    assert!(matches!(
        scene.read_at(aged(450), now),
        Route::Refuse(Refusal::DataTooOld { age: Some(age), .. }) if age == ms(500)
    ));
    assert_eq!(scene.read_at(aged(600), now), replica(scene.near));
    let any = Need::Any { max_age: None };
    assert_eq!(scene.read_at(any, now), replica(scene.near));
    assert_eq!(scene.read_at(after(100), now), replica(scene.near));
}

/// The host's lease has ended, so there may be another primary by now. The old primary still answers
/// and reports that its data are current. Their age counts from the end of the lease.
#[test]
fn a_primary_without_a_lease_ages_like_a_replica() {
    let mut scene = Scene::new();
    let now = LEASE_END + ms(100);
    scene.table.mark_unreachable(scene.near, now);
    scene.table.mark_unreachable(scene.far, now);
    scene.report_at(scene.primary, 120, 0, now);
    assert_eq!(scene.read_at(aged(150), now), replica(scene.primary));
    assert!(matches!(
        scene.read_at(aged(50), now),
        Route::Refuse(Refusal::DataTooOld { .. })
    ));
    assert!(matches!(
        scene.table.write(now),
        Route::Refuse(Refusal::NoPrimary { .. })
    ));
}

#[test]
fn a_session_without_a_position_reads_from_a_replica_proven_current_since_its_start() {
    let mut scene = Scene::new();
    let need = Need::Since {
        began: NOW + ms(1),
        max_age: None,
    };
    assert_eq!(scene.read(need), primary(scene.primary));
    let later = NOW + ms(100);
    scene.report_at(scene.near, 101, 40, later);
    assert_eq!(scene.read_at(need, later), replica(scene.near));
}

/// A replaced primary has writes that no later term contains. They must not be read, whatever
/// position it reports.
#[test]
fn no_read_goes_to_a_divergent_log() {
    let mut scene = Scene::new();
    scene.report(scene.primary, 130, 0);
    let mut service = open(NEXT, scene.near);
    service.history.open(TERM, 0);
    service.history.open(NEXT, 100);
    scene.table.adopt(service, NOW);
    scene.table.extend_lease(NEXT, LEASE_END);
    scene.table.mark_unreachable(scene.far, NOW);
    let any = Need::Any { max_age: None };
    let to_new = Route::Go {
        server: scene.near,
        part: TargetRole::Primary(NEXT),
    };
    assert_eq!(scene.read(any), to_new);
}

/// The answer to an older probe arrives late, after the server has dropped the tail of its old term.
/// If it were used, a read could miss the session's write.
#[test]
fn a_late_status_does_not_undo_a_newer_one() {
    let mut scene = Scene::new();
    scene.report_at(scene.near, 90, 50, NOW + ms(10));
    let old = Status {
        position: Position {
            term: TERM,
            log: 120,
        },
        fresh: None,
    };
    scene
        .table
        .record_status(scene.near, old, NOW, NOW + ms(20));
    assert_eq!(scene.read_at(after(100), NOW + ms(20)), replica(scene.far));
}

#[test]
fn a_closed_term_refuses_writes_and_replicas_still_serve_reads() {
    let mut scene = Scene::new();
    scene
        .table
        .adopt(Service::new(State::Closed { term: TERM }), NOW);
    assert!(matches!(
        scene.table.write(NOW),
        Route::Refuse(Refusal::NoPrimary { .. })
    ));
    assert_eq!(scene.read(after(100)), replica(scene.near));
}

/// An operator drains a server. Reads stop at once. A leaving primary takes writes only for the grace
/// period in which the controller promotes another server.
#[test]
fn a_leaving_server_gets_no_new_work() {
    let mut scene = Scene::new();
    for server in [scene.near, scene.primary] {
        scene.settings.get_mut(&server).unwrap().leaving = true;
    }
    scene.table.configure(&scene.settings, NOW);
    assert_eq!(scene.read(after(100)), replica(scene.far));
    assert_eq!(
        scene.table.write(NOW + LEAVING_GRACE),
        primary(scene.primary)
    );
    let later = NOW + LEAVING_GRACE + ms(1);
    scene.table.extend_lease(TERM, later + ms(1000));
    assert!(matches!(
        scene.table.write(later),
        Route::Refuse(Refusal::NoPrimary { .. })
    ));
}

#[test]
#[should_panic(expected = "no_new_work")]
fn work_on_a_leaving_server_violates_the_invariant() {
    let mut scene = Scene::new();
    scene.settings.get_mut(&scene.near).unwrap().leaving = true;
    scene.table.configure(&scene.settings, NOW);
    scene
        .table
        .request_started(scene.near, NOW + LEAVING_GRACE + ms(1));
}

#[test]
#[should_panic(expected = "read_your_writes")]
fn a_read_answered_from_older_data_violates_the_invariant() {
    let scene = Scene::new();
    scene.table.check_read(
        &after(100),
        Position {
            term: TERM,
            log: 99,
        },
    );
}

/// Under load every connection to the replica runs statements, so no probe gets through for a while.
/// Lot views with an age limit must not all move to the primary: the answers themselves show that
/// the replica has reached the primary's position.
#[test]
fn answers_prove_a_replica_current_without_probes() {
    let mut scene = Scene::new();
    let status = |log| Status {
        position: Position { term: TERM, log },
        fresh: None,
    };
    let asked = NOW + ms(1000);
    let now = asked + ms(5);
    scene
        .table
        .record_status(scene.primary, status(200), asked, now);
    let later = NOW + ms(1100);
    scene
        .table
        .record_status(scene.near, status(199), later, later);
    assert_eq!(scene.read_at(aged(150), later), primary(scene.primary));
    scene
        .table
        .record_status(scene.near, status(200), later, later);
    assert_eq!(scene.read_at(aged(150), later), replica(scene.near));
    assert_eq!(scene.read_at(aged(50), later), primary(scene.primary));
}

/// As above, but the primary answered without a valid lease: another primary may have taken writes
/// since.
#[test]
fn a_primary_without_a_lease_proves_nothing() {
    let mut scene = Scene::new();
    let now = LEASE_END + ms(200);
    let status = |log| Status {
        position: Position { term: TERM, log },
        fresh: None,
    };
    scene
        .table
        .record_status(scene.primary, status(200), now, now);
    scene.table.record_status(scene.near, status(200), now, now);
    assert!(matches!(
        scene.read_at(aged(300), now),
        Route::Refuse(Refusal::DataTooOld { .. })
    ));
}

#[test]
fn a_replica_set_aside_serves_only_when_nothing_else_can() {
    let mut scene = Scene::new();
    scene.table.set_health(scene.near, HealthState::Aside);
    assert_eq!(scene.read(after(100)), replica(scene.far));
    scene.report(scene.far, 10, 50);
    assert_eq!(scene.read(after(100)), replica(scene.near));
}

#[test]
fn a_replica_on_trial_gets_one_read_in_sixteen() {
    let mut scene = Scene::new();
    scene.table.set_health(scene.near, HealthState::Trial);
    let near = (0..1600)
        .filter(|random_bits| {
            let request = ReadRequest {
                need: after(100),
                max_wait: Duration::ZERO,
                random_bits: *random_bits,
            };
            scene.table.read(&request, NOW) == replica(scene.near)
        })
        .count();
    assert_eq!(near, 100);
}

#[test]
fn a_position_that_no_server_has_reached_is_refused_with_a_retry_time() {
    let mut scene = Scene::new();
    scene.table.mark_unreachable(scene.primary, NOW);
    let Route::Refuse(refusal) = scene.read(after(200)) else {
        panic!("served without the position");
    };
    assert_eq!(refusal.sqlstate(), "PF007");
    assert!(refusal.retry_after().is_some());
}

/// A read on the cheapest replica is late. Its hedge must not go to the same replica, which the
/// routing would otherwise always pick again with two replicas.
#[test]
fn a_hedge_goes_to_another_replica() {
    let scene = Scene::new();
    let request = ReadRequest {
        need: after(100),
        max_wait: Duration::ZERO,
        random_bits: 7,
    };
    let (near, far) = (scene.near, scene.far);
    assert_eq!(scene.table.hedge_target(&request, near, NOW), Some(far));
    assert_eq!(scene.table.hedge_target(&request, far, NOW), Some(near));
    let newer = ReadRequest {
        need: after(101),
        ..request
    };
    assert_eq!(scene.table.hedge_target(&newer, near, NOW), None);
}

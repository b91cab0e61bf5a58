//! Tests of the choice of a successor after several changes of a service's primary.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flamingopost_core::key::{HostKey, ServerKey};
use flamingopost_core::leader::Role;
use flamingopost_core::names::Names;
use flamingopost_core::position::Position;
use flamingopost_core::succession::{
    FencingToken, NextStep, Opinion, Order, Report, Succession, Trouble, View,
};
use flamingopost_core::term::Term;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn position(term: i64, log: u64) -> Position {
    Position {
        term: Term::from_number(term),
        log,
    }
}

/// The report of a server that follows the primary of `term`.
fn replica(term: i64, received: Position) -> Report {
    Report {
        role: Role::Replica,
        term: Term::from_number(term),
        received,
    }
}

/// One host of a fleet of six, and servers of which the first has led the first term.
struct Setup {
    succession: Succession,
    view: View,
    servers: Vec<ServerKey>,
    hosts: Vec<HostKey>,
    /// The token of the claims that the host wins.
    token: FencingToken,
}

fn setup(servers: &[&str]) -> Setup {
    let mut names: Names<ServerKey> = Names::default();
    let servers: Vec<ServerKey> = servers.iter().map(|name| names.intern(name)).collect();
    let mut names: Names<HostKey> = Names::default();
    let hosts: Vec<HostKey> = (2..=6)
        .map(|i| names.intern(&format!("entry-{i}")))
        .collect();
    let view = View {
        leader: Some(servers[0]),
        term: Term::from_number(1),
        leader_term: Term::from_number(1),
        terms_led: BTreeMap::new(),
        trouble: None,
        candidates: servers.iter().copied().collect(),
        leaving: BTreeSet::new(),
        peers: hosts.iter().copied().collect(),
        rank: 0,
        newest_token: None,
        leases_end: ms(0),
        in_contact: true,
        ordered_before: None,
        announced: None,
        synchronous: true,
        newest_position: position(1, 40),
        required_positions: BTreeMap::new(),
        may_lack_servers: false,
        previous_starts: BTreeMap::new(),
        distrusted: BTreeSet::new(),
    };
    Setup {
        succession: Succession::default(),
        view,
        servers,
        hosts,
        token: FencingToken(7),
    }
}

impl Setup {
    /// The second server is seen as the primary of the second term.
    fn observe_successor(&mut self, now: Duration) {
        self.view.leader = Some(self.servers[1]);
        self.view.term = Term::from_number(2);
        self.view.leader_term = Term::from_number(2);
        self.view.trouble = None;
        common::step(&mut self.succession, &self.view, now);
    }

    /// All hosts miss the primary from `from` on, and servers send `reports`. Returns the server of
    /// the first order before `until`, and when it was given.
    fn fail_primary(
        &mut self,
        reports: &[(ServerKey, Report)],
        from: Duration,
        until: Duration,
    ) -> Option<(ServerKey, Duration)> {
        self.view.trouble = Some(Trouble::Refuses { since: from });
        self.miss_primary(reports, from, until)
    }

    /// Does the same for a primary that has failed before.
    fn miss_primary(
        &mut self,
        reports: &[(ServerKey, Report)],
        from: Duration,
        until: Duration,
    ) -> Option<(ServerKey, Duration)> {
        let mut now = from;
        while now < until {
            let mut steps = common::step(&mut self.succession, &self.view, now);
            for host in &self.hosts {
                self.succession.record_opinion(*host, Opinion::Fails);
            }
            for (server, report) in reports {
                self.succession.record_report(*server, *report);
            }
            if steps.contains(&NextStep::Claim) {
                steps.extend(self.succession.claim_won(self.token, now));
            }
            for next in steps {
                if let NextStep::Promote { server, .. } = next {
                    return Some((server, now));
                }
            }
            now += ms(20);
        }
        None
    }
}

/// A primary is replaced. A host reads at a replica that has the second term's log before it learns
/// who leads that term, and still takes the first primary for the leader. The first primary comes
/// back and follows, and it alone has the last acknowledged commits when its successor dies. The
/// host recorded it as the primary of the second term and passed it over, so the commits were lost.
#[test]
fn a_term_seen_at_a_replica_is_not_attributed_to_the_old_primary() {
    let mut setup = setup(&["ledger-1", "ledger-2", "ledger-3"]);
    common::step(&mut setup.succession, &setup.view, ms(500));
    setup.view.term = Term::from_number(2);
    common::step(&mut setup.succession, &setup.view, ms(600));
    setup.observe_successor(ms(700));
    setup.view.newest_position = position(2, 60);
    let reports = [
        (setup.servers[0], replica(2, position(2, 60))),
        (setup.servers[2], replica(2, position(2, 50))),
    ];
    let ordered = setup.fail_primary(&reports, ms(30_000), ms(45_000));
    let server = ordered.map(|(server, _)| server);
    assert_eq!(server, Some(setup.servers[0]), "{ordered:?}");
}

/// A service of two servers. The primary was replaced, came back and follows. Nothing has been
/// written since, so its log still ends in the first term although it knows the second. Then the
/// successor dies and its entry stays listed. No other server is left, and none was promoted.
#[test]
fn a_replaced_primary_that_follows_is_promoted_if_it_is_the_last_server() {
    let mut setup = setup(&["ledger-1", "ledger-2"]);
    common::step(&mut setup.succession, &setup.view, ms(500));
    setup.observe_successor(ms(700));
    let reports = [(setup.servers[0], replica(2, position(1, 40)))];
    let ordered = setup.fail_primary(&reports, ms(30_000), ms(60_000));
    let server = ordered.map(|(server, _)| server);
    assert_eq!(server, Some(setup.servers[0]), "no promotion within 30 s");
}

/// The same change on a host that learned of the successor at once: the old primary is a candidate.
#[test]
fn a_replaced_primary_that_follows_is_a_candidate() {
    let mut setup = setup(&["ledger-1", "ledger-2", "ledger-3"]);
    common::step(&mut setup.succession, &setup.view, ms(500));
    setup.observe_successor(ms(700));
    setup.view.newest_position = position(2, 60);
    let reports = [
        (setup.servers[0], replica(2, position(2, 60))),
        (setup.servers[2], replica(2, position(2, 50))),
    ];
    let ordered = setup.fail_primary(&reports, ms(30_000), ms(45_000));
    let server = ordered.map(|(server, _)| server);
    assert_eq!(server, Some(setup.servers[0]), "{ordered:?}");
}

/// The store is unavailable, and a host orders the promotion of a replica under its token. The
/// answer is lost, the replica dies, and the host orders the other one under the same token, which
/// leads. Seconds later the platform carries out the first order, whose token is not lower than the
/// last one, and writes that the new primary has acknowledged are rolled back.
#[test]
fn an_unanswered_order_is_not_followed_by_another_under_its_token() {
    let mut setup = setup(&["ledger-1", "ledger-2", "ledger-3"]);
    setup.view.synchronous = false;
    setup.succession.reserve_token(FencingToken(7));
    setup.view.trouble = Some(Trouble::Refuses { since: ms(1_000) });
    let mut orders: Vec<(ServerKey, FencingToken)> = Vec::new();
    for now in (1_000..12_000).step_by(20).map(ms) {
        let steps = common::step(&mut setup.succession, &setup.view, now);
        for host in &setup.hosts {
            setup.succession.record_opinion(*host, Opinion::Fails);
        }
        let report = replica(1, position(1, 40));
        setup.succession.record_report(setup.servers[1], report);
        if orders.is_empty() {
            let report = replica(1, position(1, 43));
            setup.succession.record_report(setup.servers[2], report);
        }
        for next in steps {
            match next {
                NextStep::Claim | NextStep::RenewClaim { .. } => {
                    setup.succession.claim_undecided(0, now)
                }
                NextStep::Promote { server, token } => {
                    orders.push((server, token));
                    setup
                        .succession
                        .order_finished(Order::Unknown, now + ms(500));
                }
                NextStep::AskHosts | NextStep::AskServers | NextStep::EndTerm { .. } => {}
            }
        }
    }
    let (first, token) = orders[0];
    let others = orders.iter().filter(|(server, _)| *server != first);
    let again = others.filter(|(_, grant)| *grant == token).count();
    assert_eq!(again, 0, "{orders:?}");
}

/// A replaced primary is back and follows. Before anything is written under its successor, that one
/// dies too. The old primary has everything that was acknowledged, and the third server lags by
/// seconds. The lagging server was promoted, because the old primary's log still ends in the term
/// that it led, and 30 acknowledged writes were lost.
#[test]
fn a_replaced_primary_that_follows_is_preferred_to_a_lagging_replica() {
    let mut setup = setup(&["ledger-1", "ledger-2", "ledger-3"]);
    setup.view.synchronous = false;
    common::step(&mut setup.succession, &setup.view, ms(500));
    setup.observe_successor(ms(700));
    let reports = [
        (setup.servers[0], replica(2, position(1, 40))),
        (setup.servers[2], replica(2, position(1, 10))),
    ];
    let ordered = setup.fail_primary(&reports, ms(3_000), ms(20_000));
    let server = ordered.map(|(server, _)| server);
    assert_eq!(server, Some(setup.servers[0]), "{ordered:?}");
}

/// A replaced primary is back and follows, nothing was written under its successor, and no other
/// server is there. The successor is about to leave. It was never replaced, and commits in its last
/// moments were refused until a host missed it.
#[test]
fn a_replaced_primary_that_follows_replaces_a_leaving_primary() {
    let mut setup = setup(&["ledger-1", "ledger-2"]);
    setup.view.synchronous = false;
    common::step(&mut setup.succession, &setup.view, ms(500));
    setup.observe_successor(ms(700));
    setup.view.trouble = Some(Trouble::Leaving);
    let mut orders = Vec::new();
    for now in (3_000..5_000).step_by(20).map(ms) {
        let mut steps = common::step(&mut setup.succession, &setup.view, now);
        if steps.contains(&NextStep::Claim) {
            steps.extend(setup.succession.claim_won(FencingToken(7), now));
        }
        let report = replica(2, position(1, 40));
        setup.succession.record_report(setup.servers[0], report);
        orders.extend(steps.into_iter().filter_map(|it| match it {
            NextStep::Promote { server, .. } => Some(server),
            NextStep::Claim
            | NextStep::RenewClaim { .. }
            | NextStep::AskHosts
            | NextStep::AskServers
            | NextStep::EndTerm { .. } => None,
        }));
    }
    assert_eq!(orders, [setup.servers[0]]);
}

/// The store is unavailable, so hosts act in turn, and the third one waits 0.75 s. Meanwhile the
/// replica that had reported the longest log restarts without it. It was promoted on its old report
/// with an empty log, and everything that the other replica had was rolled back.
#[test]
fn an_order_does_not_rest_on_an_outdated_report() {
    let mut setup = setup(&["ledger-1", "ledger-2", "ledger-3"]);
    setup.view.synchronous = false;
    setup.succession.reserve_token(FencingToken(7));
    setup.view.trouble = Some(Trouble::Refuses { since: ms(1_000) });
    let mut orders = Vec::new();
    for now in (1_000..4_000).step_by(20).map(ms) {
        let steps = common::step(&mut setup.succession, &setup.view, now);
        for host in &setup.hosts {
            setup.succession.record_opinion(*host, Opinion::Fails);
        }
        for next in steps {
            match next {
                NextStep::Claim | NextStep::RenewClaim { .. } => {
                    setup.succession.claim_undecided(3, now)
                }
                NextStep::AskServers => {
                    let longest = if now < ms(1_300) { 43 } else { 0 };
                    let said = [(1, position(1, 40)), (2, position(1, longest))];
                    for (server, received) in said {
                        let report = replica(1, received);
                        setup
                            .succession
                            .record_report(setup.servers[server], report);
                    }
                }
                NextStep::Promote { server, .. } => orders.push((server, now)),
                NextStep::AskHosts | NextStep::EndTerm { .. } => {}
            }
        }
    }
    let servers: Vec<ServerKey> = orders.iter().map(|(server, _)| *server).collect();
    assert_eq!(servers, [setup.servers[1]], "{orders:?}");
}

/// What a server does when it is asked.
#[derive(Debug, Clone, Copy)]
enum Answer {
    Log(u64),
    Refuses,
    Silent,
}

/// The store is unavailable, so this host waits 0.75 s for its turn, and then asks again. One
/// replica has 40 entries, and the other one 43 at first; `later` tells what the other one does
/// when it is asked again. Returns the orders until 14 s.
fn orders_in_turn(later: impl Fn(Duration) -> Answer) -> Vec<(usize, Duration)> {
    let mut setup = setup(&["ledger-1", "ledger-2", "ledger-3"]);
    setup.view.synchronous = false;
    setup.succession.reserve_token(FencingToken(7));
    setup.view.trouble = Some(Trouble::Refuses { since: ms(1_000) });
    let mut orders = Vec::new();
    for now in (1_000..14_000).step_by(20).map(ms) {
        let steps = common::step(&mut setup.succession, &setup.view, now);
        for host in &setup.hosts {
            setup.succession.record_opinion(*host, Opinion::Fails);
        }
        for next in steps {
            match next {
                NextStep::Claim | NextStep::RenewClaim { .. } => {
                    setup.succession.claim_undecided(3, now)
                }
                NextStep::AskServers => {
                    let other = match now < ms(1_300) {
                        true => Answer::Log(43),
                        false => later(now),
                    };
                    for (server, answer) in [(1, Answer::Log(40)), (2, other)] {
                        let server = setup.servers[server];
                        match answer {
                            Answer::Log(log) => {
                                let report = replica(1, position(1, log));
                                setup.succession.record_report(server, report);
                            }
                            Answer::Refuses => setup.succession.record_refusal(server),
                            Answer::Silent => {}
                        }
                    }
                }
                NextStep::Promote { server, .. } => {
                    let number = setup.servers.iter().position(|it| *it == server);
                    orders.push((number.expect("a server"), now));
                }
                NextStep::AskHosts | NextStep::EndTerm { .. } => {}
            }
        }
    }
    orders
}

/// Guards against an order that rests on an old report of a server that does not answer again: it
/// may be restarting without its log, and everything that the other replica has would be rolled
/// back.
#[test]
fn a_server_that_does_not_answer_again_is_not_promoted() {
    let orders = orders_in_turn(|now| match now < ms(4_000) {
        true => Answer::Silent,
        false => Answer::Log(0),
    });
    let [(server, at)] = orders[..] else {
        panic!("{orders:?}");
    };
    assert_eq!(server, 1, "{orders:?}");
    assert!((ms(4_000)..ms(4_500)).contains(&at), "{orders:?}");
}

/// Guards against the loss of a longer log whose server is only too busy to answer for a while.
#[test]
fn a_server_that_answers_late_is_waited_for() {
    let orders = orders_in_turn(|now| match now < ms(4_000) {
        true => Answer::Silent,
        false => Answer::Log(43),
    });
    let [(server, at)] = orders[..] else {
        panic!("{orders:?}");
    };
    assert_eq!(server, 2, "{orders:?}");
    assert!((ms(4_000)..ms(4_500)).contains(&at), "{orders:?}");
}

/// Guards against a service without a primary for as long as the server with the longest log is
/// silent.
#[test]
fn the_wait_for_a_server_that_does_not_answer_again_is_bounded() {
    let orders = orders_in_turn(|_| Answer::Silent);
    let [(server, at)] = orders[..] else {
        panic!("{orders:?}");
    };
    assert_eq!(server, 1, "{orders:?}");
    assert!((ms(11_000)..ms(12_000)).contains(&at), "{orders:?}");
}

/// Guards against an order for a server whose process has ended since its report, and against a
/// wait for it: only a server that may have its log is worth one.
#[test]
fn a_server_that_refuses_connections_since_its_report_is_passed_over() {
    let orders = orders_in_turn(|_| Answer::Refuses);
    let [(server, at)] = orders[..] else {
        panic!("{orders:?}");
    };
    assert_eq!(server, 1, "{orders:?}");
    assert!(at < ms(2_500), "{orders:?}");
}

/// A primary steps down for a successor that dies before it leads. The only other server has
/// restarted without its log, and its entry is new to the list. The old primary has everything that
/// was acknowledged, but was passed over as replaced, and all data was lost.
#[test]
fn a_former_primary_with_its_log_is_preferred_to_an_empty_server() {
    let mut setup = setup(&["ledger-1", "ledger-2"]);
    setup.view.synchronous = false;
    common::step(&mut setup.succession, &setup.view, ms(500));
    setup.view.leader = None;
    let since = ms(1_000);
    let empty = replica(1, position(1, 0));
    let reports = [
        (setup.servers[0], replica(1, position(1, 40))),
        (setup.servers[1], empty),
    ];
    let mut ordered = None;
    for now in (1_000..20_000).step_by(20).map(ms) {
        setup.view.trouble = Some(Trouble::Absent { since });
        let mut steps = common::step(&mut setup.succession, &setup.view, now);
        for host in &setup.hosts {
            setup.succession.record_opinion(*host, Opinion::Fails);
        }
        for (server, report) in reports {
            setup.succession.record_report(server, report);
        }
        if steps.contains(&NextStep::Claim) {
            steps.extend(setup.succession.claim_won(FencingToken(7), now));
        }
        let server = steps.into_iter().find_map(|it| match it {
            NextStep::Promote { server, .. } => Some(server),
            NextStep::Claim
            | NextStep::RenewClaim { .. }
            | NextStep::AskHosts
            | NextStep::AskServers
            | NextStep::EndTerm { .. } => None,
        });
        ordered = ordered.or(server);
    }
    assert_eq!(ordered, Some(setup.servers[0]));
}

/// The successor of a former primary loses its log before it leads, and the only other server was cut
/// off two terms before. The former primary has everything that was acknowledged since, and
/// answers. It was passed over as replaced, and 47 commits were given up.
#[test]
fn a_former_primary_with_its_log_is_preferred_to_a_server_of_an_older_term() {
    let mut setup = setup(&["ledger-1", "ledger-2", "ledger-3"]);
    setup.view.synchronous = false;
    setup.view.term = Term::from_number(4);
    setup.view.leader_term = Term::from_number(4);
    setup.view.newest_position = position(4, 124);
    common::step(&mut setup.succession, &setup.view, ms(500));
    setup.view.leader = None;
    let former = replica(4, position(4, 124));
    let reports = [
        (setup.servers[0], former),
        (setup.servers[1], replica(4, position(4, 0))),
        (setup.servers[2], replica(2, position(2, 78))),
    ];
    let ordered = setup.fail_primary(&reports, ms(1_000), ms(20_000));
    assert_eq!(ordered.map(|(server, _)| server), Some(setup.servers[0]));
}

/// As above, but the other server followed the former primary and only lags: the former primary
/// may end with writes that its successor dropped, so it is passed over at once.
#[test]
fn a_former_primary_is_passed_over_for_a_lagging_replica_of_its_term() {
    let mut setup = setup(&["ledger-1", "ledger-2"]);
    setup.view.synchronous = false;
    common::step(&mut setup.succession, &setup.view, ms(500));
    setup.view.leader = None;
    let reports = [
        (setup.servers[0], replica(1, position(1, 40))),
        (setup.servers[1], replica(1, position(1, 38))),
    ];
    let (server, at) = setup
        .fail_primary(&reports, ms(1_000), ms(20_000))
        .expect("an order");
    assert_eq!(server, setup.servers[1]);
    assert!(at < ms(5_000), "{at:?}");
}

/// Two primaries leave one after the other, as in a rolling restart, and nothing else happens
/// between. No host waited for its turn at the second one: all claimed and asked at the same time,
/// which uses up the servers' connections.
#[test]
fn hosts_take_turns_at_a_second_leaving_primary() {
    let mut setup = setup(&["ledger-1", "ledger-2", "ledger-3"]);
    setup.view.rank = 2;
    setup.view.trouble = Some(Trouble::Leaving);
    assert_eq!(
        common::step(&mut setup.succession, &setup.view, ms(1_000)),
        []
    );
    setup.succession.defer_to_peer(ms(1_010));
    setup.observe_successor(ms(2_000));
    assert_eq!(
        common::step(&mut setup.succession, &setup.view, ms(50_000)),
        []
    );
    setup.view.trouble = Some(Trouble::Leaving);
    assert_eq!(
        common::step(&mut setup.succession, &setup.view, ms(60_000)),
        []
    );
}

/// A service of two servers on a host that reaches no other host, with the successor gone from the
/// list. The host may be the last one running, or be cut off together with the replaced primary
/// while others use the successor. It cannot tell, so it does not promote the replaced primary,
/// which would roll back what that server never received.
#[test]
fn an_isolated_host_does_not_promote_a_replaced_primary() {
    let mut setup = setup(&["ledger-1", "ledger-2"]);
    common::step(&mut setup.succession, &setup.view, ms(500));
    setup.observe_successor(ms(700));
    setup.view.leader = None;
    setup.view.candidates.remove(&setup.servers[1]);
    let since = ms(30_000);
    setup.view.trouble = Some(Trouble::Absent { since });
    for now in (30_000..90_000).step_by(20).map(ms) {
        let mut steps = common::step(&mut setup.succession, &setup.view, now);
        let report = replica(2, position(1, 40));
        setup.succession.record_report(setup.servers[0], report);
        if steps.contains(&NextStep::Claim) {
            steps.extend(setup.succession.claim_won(FencingToken(7), now));
        }
        let promotes = |it: &NextStep| matches!(it, NextStep::Promote { .. });
        assert!(!steps.iter().any(promotes), "{steps:?} at {now:?}");
    }
}

/// A host that has started after the first primary was replaced, and takes the second one for the
/// primary. Only the first server reports, and its log is the longest.
fn setup_with_a_replaced_primary() -> (Setup, [(ServerKey, Report); 1]) {
    let mut setup = setup(&["ledger-1", "ledger-2"]);
    setup.view.synchronous = false;
    setup.view.leader = Some(setup.servers[1]);
    setup.view.term = Term::from_number(2);
    setup.view.leader_term = Term::default();
    let report = replica(1, position(1, 45));
    let reports = [(setup.servers[0], report)];
    (setup, reports)
}

/// Guards against the promotion of a replaced primary that this host has never trusted: its log
/// ends with writes that the change has dropped.
#[test]
fn a_replaced_primary_that_was_never_trusted_is_passed_over() {
    let (mut setup, reports) = setup_with_a_replaced_primary();
    setup.view.terms_led = BTreeMap::from([(setup.servers[0], Term::from_number(1))]);
    assert_eq!(setup.fail_primary(&reports, ms(1_000), ms(9_000)), None);
}

/// As above, where only another host has seen it lead.
#[test]
fn a_replaced_primary_that_another_host_saw_lead_is_passed_over() {
    let (mut setup, reports) = setup_with_a_replaced_primary();
    setup
        .succession
        .record_leader(setup.servers[0], Term::from_number(1));
    assert_eq!(setup.fail_primary(&reports, ms(1_000), ms(9_000)), None);
}

/// Guards against a service that never gets a primary again, where the replaced one is the only
/// server left.
#[test]
fn a_replaced_primary_is_promoted_in_the_end_if_no_other_server_is_left() {
    let (mut setup, reports) = setup_with_a_replaced_primary();
    setup
        .succession
        .record_leader(setup.servers[0], Term::from_number(1));
    let ordered = setup.fail_primary(&reports, ms(1_000), ms(14_000));
    let server = ordered.map(|(server, _)| server);
    assert_eq!(server, Some(setup.servers[0]), "{ordered:?}");
}

/// Guards against the loss of the whole log: an empty server, which reports the newest term, was
/// promoted while the primary that has the log was down for a moment.
#[test]
fn an_empty_server_of_the_newest_term_is_not_promoted_at_once() {
    let mut setup = setup(&["ledger-1", "ledger-2"]);
    setup.view.synchronous = false;
    setup.view.term = Term::from_number(4);
    setup.view.leader_term = Term::from_number(4);
    setup.view.newest_position = position(4, 0);
    setup.view.required_positions = BTreeMap::from([(setup.servers[1], position(3, 391))]);
    let reports = [(setup.servers[1], replica(4, position(4, 0)))];
    assert_eq!(setup.fail_primary(&reports, ms(1_000), ms(9_000)), None);
    let ordered = setup.fail_primary(&reports, ms(9_000), ms(14_000));
    let server = ordered.map(|(server, _)| server);
    assert_eq!(server, Some(setup.servers[1]), "{ordered:?}");
}

/// A service whose last primary has come back without its log and still claims to lead, and whose
/// former primary has an empty log and has not followed it. Returns the reports of both.
fn setup_with_an_empty_former_primary() -> (Setup, [(ServerKey, Report); 2]) {
    let mut setup = setup(&["ledger-1", "ledger-2", "ledger-3"]);
    setup.view.candidates.remove(&setup.servers[2]);
    setup.view.synchronous = false;
    common::step(&mut setup.succession, &setup.view, ms(200));
    setup.observe_successor(ms(400));
    setup.view.leader = None;
    setup.view.distrusted = BTreeSet::from([setup.servers[1]]);
    setup.view.newest_position = position(2, 29);
    setup.view.required_positions = BTreeMap::from([(setup.servers[0], position(2, 0))]);
    let claims_to_lead = Report {
        role: Role::Primary,
        ..replica(2, position(2, 0))
    };
    let reports = [
        (setup.servers[0], replica(1, position(1, 0))),
        (setup.servers[1], claims_to_lead),
    ];
    (setup, reports)
}

/// Guards against a service without a primary for 20 s. Its only candidate was passed over for 10 s as
/// a replaced primary that does not follow its successor, and then waited for a server with a log for
/// another 10 s.
#[test]
fn an_empty_former_primary_is_promoted_after_one_wait() {
    let (mut setup, reports) = setup_with_an_empty_former_primary();
    assert_eq!(setup.fail_primary(&reports, ms(1_000), ms(10_900)), None);
    let ordered = setup.miss_primary(&reports, ms(10_900), ms(12_000));
    let server = ordered.map(|(server, _)| server);
    assert_eq!(server, Some(setup.servers[0]), "{ordered:?}");
}

/// Guards against the loss of the whole log: an empty server that is listed late must not profit from
/// the wait for another one.
#[test]
fn an_empty_server_that_is_listed_late_is_not_promoted_at_once() {
    let (mut setup, reports) = setup_with_an_empty_former_primary();
    let silent = &reports[1..];
    assert_eq!(setup.fail_primary(silent, ms(1_000), ms(12_000)), None);
    let late = setup.servers[2];
    setup.view.candidates.insert(late);
    setup.view.required_positions.insert(late, position(2, 29));
    let reports = [reports[1], (late, replica(2, position(2, 0)))];
    assert_eq!(setup.miss_primary(&reports, ms(12_000), ms(21_000)), None);
}

/// Guards against the loss of the whole log: an empty former primary that was down for long must not
/// be promoted as soon as it answers, as a server with the log may come back with it.
#[test]
fn an_empty_former_primary_that_answers_late_is_not_promoted_at_once() {
    let (mut setup, reports) = setup_with_an_empty_former_primary();
    let silent = &reports[1..];
    assert_eq!(setup.fail_primary(silent, ms(1_000), ms(12_000)), None);
    assert_eq!(setup.miss_primary(&reports, ms(12_000), ms(21_000)), None);
}

/// Guards against the loss of the whole log: a former primary with the longest log is passed over, and
/// a power loss restarts it without that log. The time for which it was passed over with its log
/// counted as waited for a better one, and it was promoted while the other server was restarting.
#[test]
fn a_former_primary_that_lost_its_log_is_not_promoted_at_once() {
    let mut setup = setup(&["ledger-1", "ledger-2", "ledger-3"]);
    setup.view.synchronous = false;
    common::step(&mut setup.succession, &setup.view, ms(200));
    setup.observe_successor(ms(400));
    let [former, _, other] = setup.servers[..] else {
        unreachable!("three servers")
    };
    let with_log = [(former, replica(1, position(1, 45)))];
    assert_eq!(setup.fail_primary(&with_log, ms(1_000), ms(10_500)), None);
    let empty = (former, replica(1, position(1, 0)));
    assert_eq!(setup.miss_primary(&[empty], ms(10_500), ms(13_000)), None);
    let reports = [empty, (other, replica(1, position(1, 40)))];
    let ordered = setup.miss_primary(&reports, ms(13_000), ms(14_000));
    assert_eq!(ordered.map(|(server, _)| server), Some(other));
}

/// Guards against the loss of the whole log: a server with the log is listed shortly before the end of
/// the wait, and an empty former primary was promoted before that server had the time to answer.
#[test]
fn an_empty_former_primary_is_not_promoted_while_a_late_server_may_answer() {
    let (mut setup, reports) = setup_with_an_empty_former_primary();
    assert_eq!(setup.fail_primary(&reports, ms(1_000), ms(10_500)), None);
    let late = setup.servers[2];
    setup.view.candidates.insert(late);
    assert_eq!(setup.miss_primary(&reports, ms(10_500), ms(13_000)), None);
    let reports = [reports[0], reports[1], (late, replica(2, position(2, 29)))];
    let ordered = setup.miss_primary(&reports, ms(13_000), ms(14_000));
    assert_eq!(ordered.map(|(server, _)| server), Some(late));
}

/// As above, where the server was listed before, and then not for some seconds in which the former
/// primary did not answer either.
#[test]
fn an_empty_former_primary_is_not_promoted_while_a_server_that_is_listed_again_may_answer() {
    let (mut setup, reports) = setup_with_an_empty_former_primary();
    let again = setup.servers[2];
    setup.view.candidates.insert(again);
    assert_eq!(setup.fail_primary(&reports, ms(1_000), ms(3_000)), None);
    setup.view.candidates.remove(&again);
    assert_eq!(
        setup.miss_primary(&reports[1..], ms(3_000), ms(10_500)),
        None
    );
    setup.view.candidates.insert(again);
    assert_eq!(setup.miss_primary(&reports, ms(10_500), ms(13_000)), None);
}

/// Guards against an order without the wait for a better candidate: a replica that qualified, and was
/// not ordered because the token was outdated, counted as passed over. The host then learns that the
/// replica lacks entries, which the silent one may have.
#[test]
fn a_candidate_that_was_not_ordered_does_not_count_as_passed_over() {
    let mut setup = setup(&["ledger-1", "ledger-2", "ledger-3"]);
    setup.view.synchronous = false;
    setup.view.newest_token = Some(FencingToken(8));
    let candidate = setup.servers[1];
    let reports = [(candidate, replica(1, position(1, 40)))];
    assert_eq!(setup.fail_primary(&reports, ms(1_000), ms(10_900)), None);
    setup.token = FencingToken(9);
    setup.view.required_positions = BTreeMap::from([(candidate, position(1, 43))]);
    assert_eq!(setup.miss_primary(&reports, ms(10_900), ms(19_000)), None);
}

/// Guards against a second wait of 10 s for an empty former primary that qualifies after the first one,
/// and is not ordered at once because the token is outdated.
#[test]
fn an_empty_former_primary_that_was_not_ordered_keeps_its_wait() {
    let (mut setup, reports) = setup_with_an_empty_former_primary();
    setup.view.newest_token = Some(FencingToken(8));
    assert_eq!(setup.fail_primary(&reports, ms(1_000), ms(12_500)), None);
    setup.token = FencingToken(9);
    let ordered = setup.miss_primary(&reports, ms(12_500), ms(14_000));
    let server = ordered.map(|(server, _)| server);
    assert_eq!(server, Some(setup.servers[0]), "{ordered:?}");
}

/// A service whose primary has failed, a replica that has lost its log, and one that is about to
/// leave and has the whole log.
fn setup_with_an_empty_and_a_leaving_replica() -> (Setup, [(ServerKey, Report); 2]) {
    let mut setup = setup(&["ledger-1", "ledger-2", "ledger-3"]);
    setup.view.synchronous = false;
    setup.view.candidates.remove(&setup.servers[2]);
    setup.view.leaving.insert(setup.servers[2]);
    let reports = [
        (setup.servers[1], replica(1, position(1, 0))),
        (setup.servers[2], replica(1, position(1, 40))),
    ];
    (setup, reports)
}

/// Guards against the loss of the whole log: the only server that had it was about to leave, or the
/// list said so by an entry from before its last restart. It was no candidate, and an empty server
/// was promoted.
#[test]
fn a_leaving_server_with_the_log_is_preferred_to_an_empty_one() {
    let (mut setup, reports) = setup_with_an_empty_and_a_leaving_replica();
    let ordered = setup.fail_primary(&reports, ms(1_000), ms(2_000));
    let server = ordered.map(|(server, _)| server);
    assert_eq!(server, Some(setup.servers[2]), "{ordered:?}");
}

/// Guards against two changes in a row: a leaving server is gone after some seconds, so any server
/// that stays and has entries goes first.
#[test]
fn a_leaving_server_is_passed_over_for_one_with_entries() {
    let (mut setup, mut reports) = setup_with_an_empty_and_a_leaving_replica();
    reports[0].1 = replica(1, position(1, 30));
    let ordered = setup.fail_primary(&reports, ms(1_000), ms(2_000));
    let server = ordered.map(|(server, _)| server);
    assert_eq!(server, Some(setup.servers[1]), "{ordered:?}");
}

/// Guards against the promotion of a leaving server while one that stays and may have the log has
/// not answered yet.
#[test]
fn a_leaving_server_is_not_promoted_while_another_may_answer() {
    let (mut setup, reports) = setup_with_an_empty_and_a_leaving_replica();
    let reports = &reports[1..];
    assert_eq!(setup.fail_primary(reports, ms(1_000), ms(9_000)), None);
}

/// Guards against the loss of the whole log: the former primary stepped down for a successor that
/// lost its log before it led, and was about to leave itself. The empty successor was the only
/// candidate and was promoted at once.
#[test]
fn an_empty_server_is_not_promoted_while_a_former_primary_with_the_log_is_leaving() {
    let (mut setup, reports) = setup_with_an_empty_and_a_leaving_replica();
    setup
        .succession
        .record_leader(setup.servers[2], Term::from_number(1));
    assert_eq!(setup.fail_primary(&reports, ms(1_000), ms(9_000)), None);
}

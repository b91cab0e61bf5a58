//! Tests of failover decisions: when a primary is replaced, by which host, and by which server.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flamingopost_core::key::{HostKey, ServerKey};
use flamingopost_core::leader::Role;
use flamingopost_core::names::Names;
use flamingopost_core::position::Position;
use flamingopost_core::succession::{
    DIVIDED_DELAY, FencingToken, INQUIRY_TIMEOUT, NextStep, OBJECTION_TIMEOUT, Opinion, Order,
    RETURN_TIMEOUT, Report, Succession, Trouble, View,
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

fn replica(log: u64) -> Report {
    Report {
        role: Role::Replica,
        term: Term::from_number(1),
        received: position(1, log),
    }
}

struct Setup {
    succession: Succession,
    view: View,
    servers: [ServerKey; 3],
    hosts: Vec<HostKey>,
}

/// Six hosts, a primary and two replicas. The primary has refused connections since 1 s.
fn setup() -> Setup {
    let mut servers: Names<ServerKey> = Names::default();
    let servers = ["ledger-1", "ledger-2", "ledger-3"].map(|name| servers.intern(name));
    let mut hosts: Names<HostKey> = Names::default();
    let hosts: Vec<HostKey> = (2..=6)
        .map(|i| hosts.intern(&format!("entry-{i}")))
        .collect();
    let view = View {
        leader: Some(servers[0]),
        term: Term::from_number(1),
        leader_term: Term::from_number(1),
        terms_led: BTreeMap::new(),
        trouble: Some(Trouble::Refuses { since: ms(1_000) }),
        candidates: servers.into_iter().collect(),
        leaving: BTreeSet::new(),
        peers: hosts.iter().copied().collect(),
        rank: 2,
        newest_token: None,
        leases_end: ms(0),
        in_contact: true,
        ordered_before: None,
        announced: None,
        synchronous: false,
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
    }
}

impl Setup {
    /// All hosts miss the primary, the claim is won, and only the first replica has reported.
    fn win_claim(&mut self) {
        self.step(ms(1_020));
        self.succession.record_report(self.servers[1], replica(40));
        self.record_opinions(5, 0);
        self.step(ms(1_025));
        self.succession.claim_won(FencingToken(7), ms(1_032));
    }

    /// The order that promotes the second replica.
    fn expected_order(&self) -> NextStep {
        NextStep::Promote {
            server: self.servers[2],
            token: FencingToken(7),
        }
    }

    fn step(&mut self, now: Duration) -> Vec<NextStep> {
        common::step(&mut self.succession, &self.view, now)
    }

    fn record_opinions(&mut self, fails: usize, reaches: usize) {
        let (missing, reaching) = (&self.hosts[..fails], &self.hosts[fails..fails + reaches]);
        for host in missing {
            self.succession.record_opinion(*host, Opinion::Fails);
        }
        for host in reaching {
            self.succession.record_opinion(*host, Opinion::Reaches);
        }
    }
}

/// The primary's process dies. All hosts see it within milliseconds, so the claim is made at once,
/// and the replica with the longest log is promoted as soon as the claim is won.
#[test]
fn a_dead_primary_is_replaced_by_the_replica_with_the_longest_log() {
    let mut setup = setup();
    assert_eq!(
        setup.step(ms(1_020)),
        [NextStep::AskHosts, NextStep::AskServers]
    );
    setup
        .succession
        .record_report(setup.servers[1], replica(40));
    setup
        .succession
        .record_report(setup.servers[2], replica(43));
    setup.record_opinions(5, 0);
    assert_eq!(setup.step(ms(1_025)), [NextStep::Claim]);
    assert_eq!(setup.step(ms(1_030)), [], "the store has not answered yet");
    setup.succession.claim_won(FencingToken(7), ms(1_032));
    let order = setup.expected_order();
    assert_eq!(setup.step(ms(1_032)), [order]);
    setup.succession.order_finished(Order::Accepted, ms(1_050));
    assert!(setup.succession.is_under_way());
    assert_eq!(
        setup.step(ms(1_500)),
        [],
        "a promotion takes about a second"
    );
}

/// Which server is ordered if both replicas have reported logs of these lengths, and an order of the same
/// change names the server with this number.
fn successor(logs: [u64; 2], named: usize, synchronous: bool) -> Option<usize> {
    let mut setup = setup();
    setup.view.synchronous = synchronous;
    setup.view.ordered_before = Some(setup.servers[named]);
    setup.win_claim();
    for (server, log) in setup.servers[1..].iter().zip(logs) {
        setup.succession.record_report(*server, replica(log));
    }
    let ordered = (1_040..3_000).step_by(20).find_map(|now| {
        let next = setup.step(ms(now));
        next.into_iter().find_map(|it| match it {
            NextStep::Promote { server, .. } => Some(server),
            _ => None,
        })
    });
    let number = |server| setup.servers.iter().position(|it| *it == server);
    ordered.and_then(number)
}

/// Guards against two orders of one change that name two servers: the platform may carry out the first
/// one after the second.
#[test]
fn a_server_that_was_ordered_before_is_preferred_to_a_longer_log() {
    assert_eq!(successor([40, 43], 1, false), Some(1));
    assert_eq!(successor([43, 40], 2, false), Some(2));
}

/// Guards against lost acknowledged commits of a service that acknowledges a commit once one replica has
/// it: the server that an earlier order named lacked them.
#[test]
fn the_longest_log_comes_first_where_commits_are_synchronous() {
    assert_eq!(successor([40, 43], 1, true), Some(2));
    assert_eq!(successor([43, 40], 2, true), Some(1));
    assert_eq!(successor([43, 43], 1, true), Some(1), "equal logs");
    assert_eq!(successor([43, 43], 2, true), Some(2), "equal logs");
}

/// Guards against the loss of the commits that only a leaving replica has: the other one was ordered once
/// the wait for them was over.
#[test]
fn a_leaving_replica_with_acknowledged_commits_is_ordered() {
    let mut setup = setup();
    setup.view.synchronous = true;
    setup.view.newest_position = position(1, 43);
    setup.view.leaving.insert(setup.servers[2]);
    setup.win_claim();
    setup
        .succession
        .record_report(setup.servers[2], replica(43));
    let order = setup.expected_order();
    assert!(
        (1_040..3_000)
            .step_by(20)
            .any(|now| setup.step(ms(now)) == [order])
    );
}

/// Guards against lost acknowledged commits of a service that acknowledges a commit once one
/// replica has it: the primary died, one replica was too busy to answer in time, and the other one,
/// which had received nothing for a while, was promoted. 60 acknowledged writes were lost.
#[test]
fn a_synchronous_service_waits_for_the_report_of_every_replica() {
    let mut setup = setup();
    setup.view.synchronous = true;
    setup.view.newest_position = position(1, 43);
    setup.win_claim();
    let mut asked = 0;
    for now in (1_040..2_000).step_by(20) {
        let next = setup.step(ms(now));
        assert!(
            !next.iter().any(|it| matches!(it, NextStep::Promote { .. })),
            "at {now}"
        );
        asked += usize::from(next.contains(&NextStep::AskServers));
    }
    assert!(asked >= 3, "the replica is asked again");
    setup
        .succession
        .record_report(setup.servers[2], replica(43));
    let order = setup.expected_order();
    assert_eq!(setup.step(ms(2_000)), [order]);
}

/// The only replica with the last commits restarts just when the primary dies. The host waits for
/// it for as long as a restart may take, not longer, since no caller can write meanwhile.
#[test]
fn the_wait_for_a_replica_with_acknowledged_commits_is_bounded() {
    let mut setup = setup();
    setup.view.synchronous = true;
    setup.view.newest_position = position(1, 43);
    setup.view.candidates.remove(&setup.servers[2]);
    setup.win_claim();
    let mut now = 1_040;
    let ordered = loop {
        let next = setup.step(ms(now));
        if next.iter().any(|it| matches!(it, NextStep::Promote { .. })) {
            break now;
        }
        assert!(now < 20_000, "the wait never ends");
        now += 20;
    };
    assert!((11_000..12_000).contains(&ordered), "at {ordered}");
}

/// Guards against the promotion of an empty replica: one replica had restarted without its log when
/// the primary died, the other was too busy to answer in time, and the empty one was the only
/// candidate, so all data was lost. It is passed over while the other may answer.
#[test]
fn a_replica_that_lost_its_log_is_passed_over_while_others_may_answer() {
    let mut setup = setup();
    setup
        .view
        .required_positions
        .insert(setup.servers[1], position(1, 40));
    setup.step(ms(1_020));
    setup.succession.record_report(setup.servers[1], replica(0));
    setup.record_opinions(5, 0);
    setup.step(ms(1_025));
    setup.succession.claim_won(FencingToken(7), ms(1_032));
    for now in (1_040..4_000).step_by(20) {
        let next = setup.step(ms(now));
        let promotes = next.iter().any(|it| matches!(it, NextStep::Promote { .. }));
        assert!(!promotes, "at {now}");
    }
    setup
        .succession
        .record_report(setup.servers[2], replica(38));
    let order = setup.expected_order();
    assert_eq!(setup.step(ms(4_000)), [order]);
}

/// As above, on a host that has started since and knows of no restart: an empty log alone is reason
/// enough to wait for a server that has not answered.
#[test]
fn a_host_that_has_just_started_does_not_choose_an_empty_log() {
    let mut setup = setup();
    setup.view.newest_position = Position::default();
    setup.step(ms(1_020));
    setup.succession.record_report(setup.servers[1], replica(0));
    setup.record_opinions(5, 0);
    setup.step(ms(1_025));
    setup.succession.claim_won(FencingToken(7), ms(1_032));
    assert_eq!(
        setup.step(ms(1_500)),
        [NextStep::AskHosts, NextStep::AskServers]
    );
    setup
        .succession
        .record_report(setup.servers[2], replica(38));
    let order = setup.expected_order();
    assert_eq!(setup.step(ms(1_510)), [order]);
}

/// Right after a change of primary nothing is written yet. A replica that has lost its log reports
/// the start of the new term, which compares greater than the positions of the others, and was
/// taken for the one with the longest log.
#[test]
fn an_empty_log_of_the_newest_term_ranks_below_a_log_of_the_previous_term() {
    let mut setup = setup();
    setup.step(ms(1_020));
    let empty = Report {
        received: position(2, 0),
        ..replica(0)
    };
    setup.succession.record_report(setup.servers[1], empty);
    setup
        .succession
        .record_report(setup.servers[2], replica(38));
    setup.record_opinions(5, 0);
    setup.step(ms(1_025));
    setup.succession.claim_won(FencingToken(7), ms(1_032));
    let order = setup.expected_order();
    assert_eq!(setup.step(ms(1_032)), [order]);
}

/// Guards against the promotion of an empty server by a host that has just started and does not
/// know the servers that have the log: they drop it to follow. It goes ahead when it has waited for
/// as long as servers take to come back.
#[test]
fn a_host_that_may_not_know_all_servers_claims_nothing_for_an_empty_one() {
    let mut setup = setup();
    setup.view.leader = None;
    setup.view.trouble = Some(Trouble::Absent { since: ms(0) });
    setup.view.candidates = BTreeSet::from([setup.servers[1]]);
    setup.view.may_lack_servers = true;
    let mut claimed_at = None;
    let mut now = ms(20_000);
    while claimed_at.is_none() && now < ms(40_000) {
        let next = setup.step(now);
        if next.contains(&NextStep::AskHosts) {
            setup.succession.record_report(setup.servers[1], replica(0));
            setup.record_opinions(5, 0);
        }
        if next.contains(&NextStep::Claim) {
            claimed_at = Some(now);
        }
        now += ms(20);
    }
    let waited = claimed_at.expect("a claim") - ms(20_000);
    assert!(waited >= RETURN_TIMEOUT, "claimed after {waited:?}");
    assert!(
        waited < RETURN_TIMEOUT + ms(1_000),
        "claimed after {waited:?}"
    );
}

/// Guards against a wait for unknown servers where a known one has the log.
#[test]
fn a_host_that_may_not_know_all_servers_promotes_one_with_a_log() {
    let mut setup = setup();
    setup.view.may_lack_servers = true;
    setup.step(ms(1_020));
    setup.record_opinions(5, 0);
    assert_eq!(setup.step(ms(1_021)), [], "no server has reported");
    for (server, log) in [(1, 0), (2, 43)] {
        let server = setup.servers[server];
        setup.succession.record_report(server, replica(log));
    }
    assert_eq!(setup.step(ms(1_025)), [NextStep::Claim]);
    setup.succession.claim_won(FencingToken(7), ms(1_032));
    let order = setup.expected_order();
    assert_eq!(setup.step(ms(1_032)), [order]);
}

/// Guards against an order for an empty server under a claim that was won while the list of servers
/// was complete.
#[test]
fn no_empty_server_is_ordered_once_an_entry_of_the_list_is_unusable() {
    let mut setup = setup();
    setup.view.candidates = BTreeSet::from([setup.servers[1]]);
    setup.step(ms(1_020));
    setup.succession.record_report(setup.servers[1], replica(0));
    setup.record_opinions(5, 0);
    assert_eq!(setup.step(ms(1_025)), [NextStep::Claim]);
    setup.succession.claim_won(FencingToken(7), ms(1_032));
    setup.view.may_lack_servers = true;
    assert_eq!(setup.step(ms(1_040)), []);
    let asks = [NextStep::AskHosts, NextStep::AskServers];
    assert_eq!(setup.step(ms(1_300)), asks);
}

/// All remaining servers have lost their logs. Callers wait for a server with more for as long as a
/// restart takes, not longer.
#[test]
fn an_empty_replica_is_promoted_when_no_other_server_comes_back() {
    let mut setup = setup();
    setup
        .view
        .required_positions
        .insert(setup.servers[1], position(1, 40));
    setup.view.candidates.remove(&setup.servers[2]);
    setup.step(ms(1_020));
    setup.succession.record_report(setup.servers[1], replica(0));
    setup.record_opinions(5, 0);
    setup.step(ms(1_025));
    setup.succession.claim_won(FencingToken(7), ms(1_032));
    let mut now = 1_040;
    let ordered = loop {
        let next = setup.step(ms(now));
        if next.iter().any(|it| matches!(it, NextStep::Promote { .. })) {
            break now;
        }
        assert!(now < 20_000, "the wait never ends");
        now += 20;
    };
    assert!((11_000..12_000).contains(&ordered), "at {ordered}");
}

/// Guards against failover by an isolated host: one host was cut off from the primary and from all
/// other hosts, but not from the platform's store. It had a replica promoted while the others kept
/// writing to the primary, and what they had acknowledged within the second of the change was lost.
#[test]
fn an_isolated_host_does_not_replace_the_primary() {
    let mut setup = setup();
    setup.view.trouble = Some(Trouble::Silent { since: ms(1_000) });
    let mut now = ms(1_450);
    while now < ms(12_000) {
        let next = setup.step(now);
        assert!(!next.contains(&NextStep::Claim), "at {now:?}");
        setup
            .succession
            .record_report(setup.servers[1], replica(40));
        now += ms(20);
    }
}

/// Guards against writes acknowledged during a promotion: a zone is cut off together with the
/// primary, and its hosts keep writing there. The other hosts order a successor only when those can
/// no longer acknowledge anything. Without that wait, the writes acknowledged in the second that a
/// promotion takes were lost.
#[test]
fn an_order_waits_until_the_leases_of_unreachable_hosts_have_ended() {
    let mut setup = setup();
    setup.view.leases_end = ms(2_000);
    setup.step(ms(1_020));
    setup
        .succession
        .record_report(setup.servers[1], replica(40));
    setup
        .succession
        .record_report(setup.servers[2], replica(40));
    setup.record_opinions(3, 0);
    let over = ms(1_020) + INQUIRY_TIMEOUT;
    assert_eq!(setup.step(over), [NextStep::Claim]);
    setup.succession.claim_won(FencingToken(7), over);
    assert_eq!(
        setup.step(ms(1_990)),
        [NextStep::AskServers],
        "another round of requests, and no order"
    );
    setup
        .succession
        .record_report(setup.servers[1], replica(40));
    setup
        .succession
        .record_report(setup.servers[2], replica(40));
    assert_eq!(setup.step(ms(1_999)), []);
    let order = setup.expected_order();
    assert_eq!(setup.step(ms(2_000)), [order]);
}

/// The hosts of one zone are cut off together. Two matching opinions of six are no majority.
#[test]
fn a_minority_does_not_replace_the_primary() {
    let mut setup = setup();
    setup.step(ms(1_020));
    setup.record_opinions(1, 0);
    assert_eq!(setup.step(ms(1_020) + INQUIRY_TIMEOUT), []);
    assert!(!setup.succession.is_under_way());
}

/// A zone is cut off. Callers reach its hosts, which reach no primary, and were refused for six
/// seconds. Hosts that know that they are outvoted report that they are not ready, and callers go
/// to other zones.
#[test]
fn a_host_records_since_when_it_is_outvoted() {
    let mut setup = setup();
    assert_eq!(setup.succession.outvoted(), None);
    setup.step(ms(1_020));
    setup.record_opinions(1, 0);
    let over = ms(1_020) + INQUIRY_TIMEOUT;
    setup.step(over);
    assert_eq!(setup.succession.outvoted(), Some(over));
    setup.step(ms(3_000));
    assert_eq!(
        setup.succession.outvoted(),
        Some(over),
        "unchanged since the first inquiry"
    );
    setup.view.trouble = None;
    setup.step(ms(3_100));
    assert_eq!(
        setup.succession.outvoted(),
        None,
        "this host reaches the primary again"
    );
}

/// Most hosts agree that the primary is gone, so none of them is outvoted.
#[test]
fn a_host_in_the_majority_is_not_outvoted() {
    let mut setup = setup();
    setup.step(ms(1_020));
    setup.record_opinions(5, 0);
    assert_eq!(setup.step(ms(1_030)), [NextStep::Claim]);
    assert_eq!(setup.succession.outvoted(), None);
}

/// All other hosts were lost for good, and then the primary. The last host has to act in the end, or the
/// service never accepts writes again: once it is the only elector, it waits for nobody.
#[test]
fn the_last_host_acts_once_it_is_the_only_elector() {
    let mut setup = setup();
    setup.view.leader = None;
    setup.view.trouble = Some(Trouble::Absent { since: ms(1_000) });
    for now in (1_020..30_000).step_by(20) {
        let next = setup.step(ms(now));
        assert!(!next.contains(&NextStep::Claim), "one of six, at {now}");
    }
    setup.view.peers.clear();
    let claims = |now| setup.step(ms(now)).contains(&NextStep::Claim);
    assert!((30_000..30_500).step_by(20).any(claims));
}

/// Most hosts miss the primary and some reach it. The change waits, because the network path may
/// heal, but not for ever: most requests come through the hosts that miss the primary.
#[test]
fn a_majority_waits_while_some_hosts_reach_the_primary() {
    let mut setup = setup();
    setup.step(ms(1_020));
    setup.record_opinions(3, 2);
    assert_eq!(setup.step(ms(1_020) + INQUIRY_TIMEOUT), []);
    setup.step(ms(1_000) + DIVIDED_DELAY);
    setup.record_opinions(3, 2);
    assert_eq!(
        setup.step(ms(1_000) + DIVIDED_DELAY + INQUIRY_TIMEOUT),
        [NextStep::Claim]
    );
}

/// A host that was replaced never answers. When the primary's machine refuses connections of most
/// other hosts, none waits for it: each such host would add a fifth of a second without writes.
#[test]
fn a_closed_port_seen_by_a_majority_is_enough() {
    let mut setup = setup();
    setup.step(ms(1_020));
    setup.record_opinions(4, 0);
    assert_eq!(
        setup.step(ms(1_030)),
        [],
        "a host that reaches the primary may object"
    );
    assert_eq!(setup.step(ms(1_020) + OBJECTION_TIMEOUT), [NextStep::Claim]);
}

/// Another host has already acted: a server leads a newer term that this host does not know.
#[test]
fn a_completed_change_of_primary_is_not_repeated() {
    let mut setup = setup();
    setup.step(ms(1_020));
    setup.record_opinions(5, 0);
    let leads = Report {
        role: Role::Primary,
        term: Term::from_number(2),
        received: position(2, 44),
    };
    setup.succession.record_report(setup.servers[1], leads);
    assert_eq!(setup.step(ms(1_025)), []);
}

/// The platform's store is unavailable when the primary dies. Hosts act one after the other, with
/// tokens that they reserved before, so that usually only one order is given.
#[test]
fn without_the_store_hosts_act_in_turn() {
    let mut setup = setup();
    setup.succession.reserve_token(FencingToken(3));
    setup.step(ms(1_020));
    setup
        .succession
        .record_report(setup.servers[1], replica(40));
    setup
        .succession
        .record_report(setup.servers[2], replica(40));
    setup.record_opinions(5, 0);
    assert_eq!(setup.step(ms(1_025)), [NextStep::Claim]);
    setup.succession.claim_undecided(2, ms(1_275));
    assert_eq!(setup.step(ms(1_300)), [], "two hosts act first");
    setup.succession.defer_to_peer(ms(1_310));
    assert_eq!(setup.step(ms(2_000)), [], "one of them has acted");
}

/// The host that won the claim was killed before it gave the order. The others wait for a while and
/// then start another inquiry.
#[test]
fn another_host_acts_after_the_holder_of_the_claim_has_died() {
    let mut setup = setup();
    setup.step(ms(1_020));
    setup.record_opinions(5, 0);
    assert_eq!(setup.step(ms(1_025)), [NextStep::Claim]);
    setup.succession.claim_lost(ms(1_030));
    assert_eq!(setup.step(ms(1_500)), []);
    let again = setup.step(ms(1_030) + ms(1_800));
    assert_eq!(again, [NextStep::AskHosts, NextStep::AskServers]);
}

/// An order is refused because its token is outdated. The token is never used again, with or
/// without the store.
#[test]
fn a_refused_token_is_not_used_again() {
    let mut setup = setup();
    setup.succession.reserve_token(FencingToken(3));
    setup.step(ms(1_020));
    setup
        .succession
        .record_report(setup.servers[1], replica(40));
    setup
        .succession
        .record_report(setup.servers[2], replica(40));
    setup.record_opinions(5, 0);
    setup.step(ms(1_025));
    setup.succession.claim_undecided(0, ms(1_275));
    assert_eq!(
        setup.step(ms(1_280)),
        [],
        "its turn has come, and the reports are evaluated"
    );
    let order = NextStep::Promote {
        server: setup.servers[2],
        token: FencingToken(3),
    };
    assert_eq!(setup.step(ms(1_281)), [order]);
    setup.succession.order_finished(Order::Refused, ms(1_300));
    let mut now = ms(1_320);
    while now < ms(4_000) {
        for next in setup.step(now) {
            assert!(!matches!(
                next,
                NextStep::Promote {
                    token: FencingToken(3),
                    ..
                }
            ));
            if next == NextStep::Claim {
                setup.succession.claim_undecided(0, now);
            }
        }
        setup
            .succession
            .record_report(setup.servers[1], replica(40));
        setup.record_opinions(5, 0);
        now += ms(20);
    }
}

/// A leaving primary is replaced without an inquiry, by the replica with the longest log, once all
/// replicas have reported. Sixty hosts that claim and ask at the same time use up the servers'
/// connections, so each waits for its turn, here the third.
#[test]
fn a_leaving_primary_is_replaced_while_it_serves() {
    let mut setup = setup();
    setup.view.trouble = Some(Trouble::Leaving);
    setup.view.candidates = BTreeSet::from([setup.servers[1], setup.servers[2]]);
    assert_eq!(setup.step(ms(1_000)), [], "two hosts act first");
    assert_eq!(setup.step(ms(1_040)), [NextStep::Claim]);
    assert_eq!(
        setup.succession.claim_won(FencingToken(9), ms(1_045)),
        [NextStep::AskServers]
    );
    setup
        .succession
        .record_report(setup.servers[1], replica(50));
    assert_eq!(
        setup.step(ms(1_048)),
        [],
        "the other replica may have a longer log"
    );
    setup
        .succession
        .record_report(setup.servers[2], replica(51));
    let order = NextStep::Promote {
        server: setup.servers[2],
        token: FencingToken(9),
    };
    assert_eq!(setup.step(ms(1_050)), [order]);
}

/// Guards against the promotion of a replaced primary: a zone was cut off together with the primary
/// while the store was unavailable. The other hosts had a replica promoted, so the primary refused
/// writes, and its zone knew no primary. Hosts there ordered the only server that they reached, the
/// replaced primary, and the order was carried out when the partition healed. Writes acknowledged
/// since were lost, writes dropped by the change were back, and callers had read stale data
/// meanwhile.
#[test]
fn an_isolated_replaced_primary_is_not_promoted_again() {
    let mut setup = setup();
    setup.view.trouble = None;
    setup.step(ms(500));
    setup.view.leader = None;
    setup.view.trouble = Some(Trouble::Absent { since: ms(1_000) });
    let mut now = ms(1_020);
    while now < ms(9_000) {
        for next in setup.step(now) {
            assert!(
                !matches!(next, NextStep::Promote { .. }),
                "{next:?} at {now:?}"
            );
            if next == NextStep::Claim {
                setup.succession.claim_won(FencingToken(7), now);
            }
        }
        setup
            .succession
            .record_report(setup.servers[0], replica(56));
        now += ms(20);
    }
}

/// As above, with the path healed: most hosts miss a primary just after a change, since none knows
/// the successor yet. The replaced primary has the longest log, with writes that no other server
/// has. It was promoted again within a second of its replacement.
#[test]
fn the_longest_log_is_passed_over_if_its_server_was_replaced() {
    let mut setup = setup();
    setup.view.trouble = None;
    setup.step(ms(500));
    setup.view.leader = None;
    setup.view.trouble = Some(Trouble::Absent { since: ms(1_000) });
    let mut orders = Vec::new();
    let mut now = ms(1_020);
    while now < ms(2_500) {
        for next in setup.step(now) {
            match next {
                NextStep::Claim | NextStep::RenewClaim { .. } => {
                    orders.extend(setup.succession.claim_won(FencingToken(7), now))
                }
                NextStep::Promote { .. } => orders.push(next),
                NextStep::AskHosts | NextStep::AskServers | NextStep::EndTerm { .. } => {}
            }
        }
        setup.record_opinions(5, 0);
        setup
            .succession
            .record_report(setup.servers[0], replica(56));
        setup
            .succession
            .record_report(setup.servers[1], replica(40));
        setup
            .succession
            .record_report(setup.servers[2], replica(43));
        now += ms(20);
    }
    assert_eq!(orders, [setup.expected_order()]);
}

/// A replaced primary restarts with its log before it has followed its successor. Its log ends with
/// writes that no other server has. It counted as a server that had never led and was promoted, and
/// what its successor had acknowledged was lost.
#[test]
fn a_restarted_replaced_primary_is_not_promoted_again() {
    let mut setup = setup();
    setup.view.trouble = None;
    setup.step(ms(500));
    let mut names: Names<ServerKey> = Names::default();
    let starts = ["ledger-1", "ledger-2", "ledger-3", "ledger-1 again"];
    let again = starts.map(|name| names.intern(name))[3];
    setup.view.previous_starts.insert(again, setup.servers[0]);
    setup.view.candidates = BTreeSet::from([again, setup.servers[1], setup.servers[2]]);
    setup.view.leader = None;
    setup.view.trouble = Some(Trouble::Absent { since: ms(1_000) });
    let mut orders = Vec::new();
    let mut now = ms(1_020);
    while now < ms(2_500) {
        for next in setup.step(now) {
            match next {
                NextStep::Claim | NextStep::RenewClaim { .. } => {
                    orders.extend(setup.succession.claim_won(FencingToken(7), now))
                }
                NextStep::Promote { .. } => orders.push(next),
                NextStep::AskHosts | NextStep::AskServers | NextStep::EndTerm { .. } => {}
            }
        }
        setup.record_opinions(5, 0);
        setup.succession.record_report(again, replica(56));
        setup
            .succession
            .record_report(setup.servers[1], replica(40));
        setup
            .succession
            .record_report(setup.servers[2], replica(43));
        now += ms(20);
    }
    assert_eq!(orders, [setup.expected_order()]);
}

/// A primary is about to leave, and its only replica has just restarted without its log. The hosts
/// have just started as well and do not know this. The primary has the whole log and seconds to
/// send it, but the empty replica was promoted at once.
#[test]
fn a_leaving_primary_is_not_replaced_by_an_empty_replica() {
    let mut setup = setup();
    setup.view.trouble = Some(Trouble::Leaving);
    setup.view.candidates = BTreeSet::from([setup.servers[1]]);
    setup.step(ms(1_000));
    assert_eq!(setup.step(ms(1_040)), [NextStep::Claim]);
    setup.succession.claim_won(FencingToken(7), ms(1_045));
    setup.succession.record_report(setup.servers[1], replica(0));
    for now in (1_060..3_000).step_by(20) {
        let next = setup.step(ms(now));
        let promotes = next.iter().any(|it| matches!(it, NextStep::Promote { .. }));
        assert!(!promotes, "at {now}");
    }
    setup
        .succession
        .record_report(setup.servers[1], replica(40));
    let next = setup.step(ms(3_000));
    assert!(matches!(next[..], [NextStep::Promote { .. }]), "{next:?}");
}

/// The store is unavailable, and another host has replaced the primary before, under a token of its
/// own. The platform carries out every order: one under the lower token that this host had reserved
/// at its start undid the later change.
#[test]
fn no_order_is_given_under_a_lower_token_than_one_used_before() {
    let mut setup = setup();
    setup.succession.reserve_token(FencingToken(4));
    setup.view.newest_token = Some(FencingToken(18));
    setup.step(ms(1_020));
    setup
        .succession
        .record_report(setup.servers[2], replica(43));
    setup.record_opinions(5, 0);
    assert_eq!(setup.step(ms(1_025)), [NextStep::Claim]);
    setup.succession.claim_undecided(2, ms(1_275));
    for now in (1_280..3_000).step_by(20) {
        let next = setup.step(ms(now));
        let orders = next.iter().any(|it| matches!(it, NextStep::Promote { .. }));
        assert!(!orders, "at {now}: {next:?}");
    }
}

/// As above, with the claim won: while this host waited for a better candidate, another one took
/// over the claim and acted.
#[test]
fn a_claim_that_was_taken_over_is_not_acted_on() {
    let mut setup = setup();
    setup.win_claim();
    setup
        .succession
        .record_report(setup.servers[2], replica(43));
    setup.view.newest_token = Some(FencingToken(9));
    let next = setup.step(ms(1_300));
    assert!(!next.contains(&setup.expected_order()), "{next:?}");
}

/// A host is suspended between its claim and its order. When it resumes, another host has taken
/// over the claim, and a server that this host does not know leads.
#[test]
fn a_host_that_was_paused_drops_its_claim() {
    let mut setup = setup();
    setup.win_claim();
    setup
        .succession
        .record_report(setup.servers[2], replica(43));
    setup.succession.resume_after_pause(ms(6_000));
    let next = setup.step(ms(6_000));
    assert_eq!(next, [], "a paused host starts over");
}

/// Hosts were asked about one primary. Before the order is given, a replica's log shows a newer
/// term: another server leads, about which no host was asked.
#[test]
fn an_inquiry_about_one_primary_does_not_replace_the_next() {
    let mut setup = setup();
    setup.win_claim();
    setup
        .succession
        .record_report(setup.servers[2], replica(43));
    setup.view.term = Term::from_number(2);
    assert_eq!(setup.step(ms(1_300)), []);
    assert!(!setup.succession.is_under_way());
}

/// Two hosts of six are cut off from the others, with the store and the replicas on their side. The
/// primary and most hosts are on the other side, keep each other's leases and keep writing. The
/// list loses the primary, which does not reach the store, and 1.5 s later the two had it replaced,
/// while the others acknowledged 19 more writes.
#[test]
fn a_minority_with_the_store_replaces_no_primary_however_long_the_list_lacks_it() {
    let mut setup = setup();
    setup.view.leader = None;
    setup.view.trouble = Some(Trouble::Absent { since: ms(1_000) });
    for now in (1_020..60_000).step_by(20) {
        setup.record_opinions(1, 0);
        let next = setup.step(ms(now));
        assert!(!next.contains(&NextStep::Claim), "at {now}");
    }
}

//! Tests of the end of a primary's term, which other hosts confirm before a successor is ordered.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flamingopost_core::key::{HostKey, ServerKey};
use flamingopost_core::leader::Role;
use flamingopost_core::names::Names;
use flamingopost_core::position::Position;
use flamingopost_core::quorum::Closing;
use flamingopost_core::succession::{
    FencingToken, NextStep, Opinion, Report, Succession, Trouble, View,
};
use flamingopost_core::term::Term;

const TOKEN: FencingToken = FencingToken(7);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn position(log: u64) -> Position {
    Position {
        term: Term::from_number(1),
        log,
    }
}

fn report(role: Role, log: u64) -> Report {
    Report {
        role,
        term: Term::from_number(1),
        received: position(log),
    }
}

struct Setup {
    succession: Succession,
    view: View,
    servers: [ServerKey; 3],
    hosts: Vec<HostKey>,
    now: Duration,
}

impl Setup {
    /// Three hosts, a primary in `trouble` and two replicas. Commits wait for a replica.
    fn new(trouble: Trouble) -> Setup {
        let mut servers: Names<ServerKey> = Names::default();
        let servers = ["ledger-1", "ledger-2", "ledger-3"].map(|name| servers.intern(name));
        let mut hosts: Names<HostKey> = Names::default();
        let hosts = ["entry-2", "entry-3"].map(|name| hosts.intern(name));
        let view = View {
            leader: Some(servers[0]),
            term: Term::from_number(1),
            leader_term: Term::from_number(1),
            terms_led: BTreeMap::new(),
            trouble: Some(trouble),
            candidates: servers.into_iter().collect(),
            leaving: BTreeSet::new(),
            peers: hosts.into_iter().collect(),
            rank: 0,
            newest_token: None,
            leases_end: ms(0),
            in_contact: true,
            ordered_before: None,
            announced: None,
            synchronous: true,
            newest_position: position(40),
            required_positions: BTreeMap::new(),
            may_lack_servers: false,
            previous_starts: BTreeMap::new(),
            distrusted: BTreeSet::new(),
        };
        Setup {
            succession: Succession::default(),
            view,
            servers,
            hosts: hosts.to_vec(),
            now: ms(1_000),
        }
    }

    /// Advances by `after` and returns the steps.
    fn step(&mut self, after: Duration) -> Vec<NextStep> {
        self.now += after;
        self.succession.step(&self.view, self.now)
    }

    /// The servers answer with the ends of their logs.
    fn report(&mut self, logs: [u64; 3]) {
        for (server, log) in self.servers.into_iter().zip(logs) {
            let role = match server == self.servers[0] {
                true => Role::Primary,
                false => Role::Replica,
            };
            self.succession.record_report(server, report(role, log));
        }
    }

    /// Wins the claim on a leaving primary, whose replicas have caught up, and ends the term.
    fn end_term_of_leaving_primary(&mut self) {
        assert_eq!(self.step(ms(20)), [NextStep::Claim]);
        assert_eq!(
            self.succession.claim_won(TOKEN, self.now),
            [NextStep::AskServers]
        );
        self.report([40, 40, 39]);
        assert_eq!(self.step(ms(5)), [NextStep::AskServers], "a second round");
        self.report([43, 41, 42]);
        let server = self.servers[2];
        let ends_term = NextStep::EndTerm {
            server,
            token: TOKEN,
        };
        assert_eq!(self.step(ms(5)), [ends_term]);
        let closing = Closing::announced(self.now, ms(70));
        self.succession.record_end_of_term(closing);
        self.view.leases_end = self.now + ms(75);
    }

    /// All hosts miss the primary, and the claim is won.
    fn win_claim_on_failed_primary(&mut self) {
        let asks = [NextStep::AskHosts, NextStep::AskServers];
        assert_eq!(self.step(ms(20)), asks);
        for host in self.hosts.clone() {
            self.succession.record_opinion(host, Opinion::Fails);
        }
        self.report([40, 40, 38]);
        assert_eq!(self.step(ms(5)), [NextStep::Claim]);
        self.succession.claim_won(TOKEN, self.now);
    }

    fn order(&self, server: usize) -> NextStep {
        NextStep::Promote {
            server: self.servers[server],
            token: TOKEN,
        }
    }
}

/// Guards against commits that only one replica receives after the other's last report: the servers are
/// asked again once no host writes any more, and the one that has all commits is ordered.
#[test]
fn a_synchronous_successor_is_chosen_by_reports_from_after_the_end_of_the_term() {
    let mut setup = Setup::new(Trouble::Leaving);
    setup.end_term_of_leaving_primary();
    assert_eq!(setup.step(ms(70)), [], "answers in flight still count");
    assert_eq!(setup.step(ms(5)), [NextStep::AskServers]);
    let (second, third) = (setup.servers[1], setup.servers[2]);
    let replica = report(Role::Replica, 43);
    setup.succession.record_report(third, replica);
    assert_eq!(setup.step(ms(5)), [], "the other one may have more");
    let replica = report(Role::Replica, 45);
    setup.succession.record_report(second, replica);
    let order = setup.order(1);
    assert_eq!(setup.step(ms(5)), [order]);
}

/// Guards against the same loss by an answer to an earlier question that arrives late.
#[test]
fn a_late_report_from_before_the_end_of_the_term_does_not_count() {
    let mut setup = Setup::new(Trouble::Leaving);
    setup.end_term_of_leaving_primary();
    let asked_before = setup.now;
    assert!(setup.succession.counts_status(asked_before));
    assert_eq!(setup.step(ms(75)), [NextStep::AskServers]);
    assert!(!setup.succession.counts_status(asked_before));
    assert!(setup.succession.counts_status(setup.now));
}

/// Guards against a service that is held for a replica which hears nothing: the leaving primary goes on
/// serving until one has caught up.
#[test]
fn the_term_of_a_leaving_primary_does_not_end_before_a_replica_has_caught_up() {
    let mut setup = Setup::new(Trouble::Leaving);
    setup.step(ms(20));
    setup.succession.claim_won(TOKEN, setup.now);
    let mut asked = 0;
    for round in 0..50 {
        setup.report([100 + round, 40, 30]);
        let steps = setup.step(ms(20));
        assert!(
            !steps
                .iter()
                .any(|it| matches!(it, NextStep::EndTerm { .. }))
        );
        asked += usize::from(steps.contains(&NextStep::AskServers));
    }
    assert!(
        (10..=30).contains(&asked),
        "asked {asked} times in a second"
    );
}

/// Guards against reads and writes at a replaced primary by a host that is cut off after it has given
/// its opinion: the order waits for its confirmation, or for its lease to end.
#[test]
fn an_order_waits_for_hosts_that_do_not_confirm_the_end_of_the_term() {
    let mut setup = Setup::new(Trouble::Refuses { since: ms(900) });
    setup.view.synchronous = false;
    setup.win_claim_on_failed_primary();
    let ends_term = NextStep::EndTerm {
        server: setup.servers[1],
        token: TOKEN,
    };
    assert_eq!(setup.step(ms(5)), [ends_term]);
    let closing = Closing::announced(setup.now, Duration::ZERO);
    setup.succession.record_end_of_term(closing);
    setup.view.leases_end = ms(1_100);
    assert_eq!(setup.step(ms(5)), []);
    let [first, second] = [setup.hosts[0], setup.hosts[1]];
    let now = setup.now;
    let term = Some(setup.view.term);
    setup
        .succession
        .record_closed(first, (term, TOKEN), [], now);
    let earlier = FencingToken(TOKEN.0 - 1);
    setup
        .succession
        .record_closed(second, (term, earlier), [], now);
    let closing = setup.succession.closing().expect("an announced end");
    assert!(closing.is_confirmed(first));
    assert!(
        !closing.is_confirmed(second),
        "it has confirmed another one"
    );
    setup.view.leases_end = now;
    let order = setup.order(1);
    assert_eq!(setup.step(ms(5)), [order]);
}

/// Guards against a change that is claimed and announced on the opinions of hosts from before this one was
/// cut off from them.
#[test]
fn a_host_out_of_contact_claims_and_announces_no_change() {
    let mut setup = Setup::new(Trouble::Silent { since: ms(500) });
    setup.view.in_contact = false;
    let asks = [NextStep::AskHosts, NextStep::AskServers];
    assert_eq!(setup.step(ms(20)), asks);
    for host in setup.hosts.clone() {
        setup.succession.record_opinion(host, Opinion::Fails);
    }
    setup.report([40, 40, 38]);
    assert_eq!(setup.step(ms(5)), []);
    let mut setup = Setup::new(Trouble::Silent { since: ms(500) });
    setup.win_claim_on_failed_primary();
    setup.view.in_contact = false;
    assert_eq!(setup.step(ms(5)), []);
    assert!(setup.succession.closing().is_none());
    let mut leaving = Setup::new(Trouble::Leaving);
    leaving.view.in_contact = false;
    assert_eq!(leaving.step(ms(20)), []);
    assert_eq!(
        leaving.step(ms(2_000)),
        [NextStep::Claim],
        "seconds are left"
    );
}

/// Guards against a late confirmation of an earlier end: a host that acts in turn, without the store, uses
/// one token for successive orders.
#[test]
fn a_confirmation_of_another_term_under_the_same_token_does_not_count() {
    let mut setup = Setup::new(Trouble::Silent { since: ms(500) });
    setup.win_claim_on_failed_primary();
    assert!(matches!(setup.step(ms(5))[..], [NextStep::EndTerm { .. }]));
    let closing = Closing::announced(setup.now, Duration::ZERO);
    setup.succession.record_end_of_term(closing);
    let (host, now) = (setup.hosts[0], setup.now);
    let is_confirmed = |setup: &Setup| {
        let closing = setup.succession.closing();
        closing.expect("an announced end").is_confirmed(host)
    };
    let earlier = Some(Term::default());
    setup
        .succession
        .record_closed(host, (earlier, TOKEN), [], now);
    assert!(!is_confirmed(&setup));
    let term = Some(setup.view.term);
    setup.succession.record_closed(host, (term, TOKEN), [], now);
    assert!(is_confirmed(&setup));
}

/// Guards against a service without a primary: once its term was announced to end, hosts do not go back
/// to a primary that is well again, so its successor is ordered all the same.
#[test]
fn an_announced_change_is_carried_out_although_the_primary_is_well_again() {
    let mut setup = Setup::new(Trouble::Silent { since: ms(500) });
    setup.view.synchronous = false;
    setup.win_claim_on_failed_primary();
    assert!(matches!(setup.step(ms(5))[..], [NextStep::EndTerm { .. }]));
    let closing = Closing::announced(setup.now, Duration::ZERO);
    setup.succession.record_end_of_term(closing);
    setup.view.leases_end = setup.now + ms(50);
    setup.view.trouble = None;
    assert_eq!(setup.step(ms(20)), []);
    let order = setup.order(1);
    assert_eq!(setup.step(ms(40)), [order]);
}

/// Guards against a service that is held until a silent primary reports: hosts stop believing that it
/// leads once its term has ended, and it counted as a replica that may have more. 5 s without commits.
#[test]
fn a_replaced_primary_that_nobody_believes_any_more_is_not_waited_for() {
    let mut setup = Setup::new(Trouble::Silent { since: ms(500) });
    setup.win_claim_on_failed_primary();
    assert!(matches!(setup.step(ms(5))[..], [NextStep::EndTerm { .. }]));
    let closing = Closing::announced(setup.now, Duration::ZERO);
    setup.succession.record_end_of_term(closing);
    setup.view.leases_end = setup.now + ms(5);
    setup.view.leader = None;
    setup.view.trouble = Some(Trouble::Absent { since: setup.now });
    assert_eq!(setup.step(ms(5)), [NextStep::AskServers]);
    for (server, log) in [(1, 40), (2, 38)] {
        let server = setup.servers[server];
        let report = report(Role::Replica, log);
        setup.succession.record_report(server, report);
    }
    let order = setup.order(1);
    assert_eq!(setup.step(ms(5)), [order]);
}

/// Guards against a change that a host orders as soon as it has started, by an entry from a backup of the
/// store that says that the primary leaves: it waits until the primary has shown its term, and until the
/// servers have written their entries again.
#[test]
fn a_leaving_primary_is_not_replaced_by_a_host_that_does_not_know_its_term() {
    for is_list_copied in [false, true] {
        let mut setup = Setup::new(Trouble::Leaving);
        setup.view.may_lack_servers = is_list_copied;
        if !is_list_copied {
            setup.view.leader_term = Term::default();
        }
        for _ in 0..100 {
            assert_eq!(setup.step(ms(20)), []);
        }
        setup.view.may_lack_servers = false;
        setup.view.leader_term = Term::from_number(1);
        assert_eq!(setup.step(ms(20)), [NextStep::Claim]);
    }
}

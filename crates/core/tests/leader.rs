//! Tests of the current primary where the platform's list, refusals and the servers' answers
//! disagree.

use flamingopost_core::key::ServerKey;
use flamingopost_core::leader::{LeaderTracker, Role};
use flamingopost_core::names::Names;
use flamingopost_core::term::Term;
use std::time::Duration;

fn servers() -> (ServerKey, ServerKey) {
    let mut names: Names<ServerKey> = Names::default();
    (names.intern("ledger-1"), names.intern("ledger-2"))
}

fn term(number: i64) -> Term {
    Term::from_number(number)
}

/// Writes go to a primary that was replaced a moment ago, because its list entry still says that it
/// leads. It refuses the first one, and from then on nothing more is sent there.
#[test]
fn a_refusal_overrides_an_older_list_entry() {
    let (old, new) = servers();
    let mut leader = LeaderTracker::default();
    leader.record_listing(old, Role::Primary, 4);
    leader.record_not_primary(old);
    assert_eq!(leader.primary(), None);
    leader.record_listing(old, Role::Primary, 4);
    assert_eq!(leader.primary(), None, "an unchanged entry carries no news");
    leader.record_listing(new, Role::Primary, 9);
    assert_eq!(leader.primary(), Some(new));
}

/// A primary crashes and its entry stays listed for seconds, while a successor reports itself. Both
/// entries say that they lead. The one that changed last counts, and later the one of the higher
/// term.
#[test]
fn a_successor_is_preferred_to_the_entry_of_a_dead_primary() {
    let (dead, successor) = servers();
    let mut leader = LeaderTracker::default();
    leader.record_listing(dead, Role::Primary, 3);
    leader.record_listing(successor, Role::Primary, 8);
    assert_eq!(leader.primary(), Some(successor));
    leader.record_log_term(dead, term(1));
    leader.record_log_term(successor, term(2));
    assert_eq!(leader.primary(), Some(successor));
}

/// A primary that was cut off while it was replaced answers with its old term. That must not make
/// it the primary again on a host that has seen the new term.
#[test]
fn a_primary_of_an_ended_term_does_not_lead() {
    let (old, new) = servers();
    let mut leader = LeaderTracker::default();
    leader.record_listing(old, Role::Replica, 3);
    leader.record_listing(new, Role::Replica, 4);
    leader.record_role(new, Role::Primary, term(2));
    leader.record_role(old, Role::Primary, term(1));
    assert_eq!(leader.primary(), Some(new));
}

#[test]
fn each_change_is_returned_once_with_the_previous_primary() {
    let (first, _) = servers();
    let mut leader = LeaderTracker::default();
    leader.record_listing(first, Role::Primary, 1);
    let change = leader.refresh(Duration::from_secs(2)).unwrap();
    assert_eq!((change.before, change.after), (None, Some(first)));
    assert_eq!(leader.refresh(Duration::from_secs(3)), None);
    leader.remove_server(first);
    let change = leader.refresh(Duration::from_secs(5)).unwrap();
    assert_eq!((change.before, change.after), (Some(first), None));
    assert_eq!(change.lasted, Duration::from_secs(3));
}

/// A primary restarts without its log, and its new list entry says that it leads. Writes went
/// there, and were lost with the next change of primary. The server has to show the log first,
/// whatever it reports.
#[test]
fn a_distrusted_claim_to_lead_does_not_count() {
    let (empty, other) = servers();
    let mut leader = LeaderTracker::default();
    leader.record_listing(other, Role::Replica, 3);
    leader.record_listing(empty, Role::Primary, 7);
    leader.distrust(empty);
    assert_eq!(leader.primary(), None);
    leader.record_listing(empty, Role::Primary, 9);
    leader.record_role(empty, Role::Primary, term(1));
    assert_eq!(leader.primary(), None, "a repeated claim proves nothing");
    leader.record_role(other, Role::Primary, term(2));
    assert_eq!(leader.primary(), Some(other));
    leader.trust(empty);
    assert_eq!(leader.primary(), Some(other), "its term has ended");
}

/// An empty primary was replaced and follows its successor. Later it is promoted, and nothing is
/// written at first. It was still distrusted for what it had lost, and the service had no primary.
#[test]
fn a_server_that_has_followed_is_trusted_again() {
    let (empty, other) = servers();
    let mut leader = LeaderTracker::default();
    leader.record_listing(other, Role::Replica, 3);
    leader.record_listing(empty, Role::Primary, 7);
    leader.distrust(empty);
    leader.record_listing(empty, Role::Replica, 9);
    assert!(!leader.is_distrusted(empty));
    leader.record_listing(empty, Role::Primary, 12);
    assert_eq!(leader.primary(), Some(empty));
    leader.distrust(empty);
    leader.record_role(empty, Role::Replica, term(1));
    leader.record_role(empty, Role::Primary, term(2));
    assert_eq!(leader.primary(), Some(empty));
}

/// A server restarts under its id. Its entries are ordered by the version of the list, but the
/// previous start was refused and unlisted for a while. None of that applies to the newer start,
/// which has a key of its own.
#[test]
fn a_restarted_server_inherits_no_state_of_its_previous_start() {
    let (former, newer) = servers();
    let mut leader = LeaderTracker::default();
    leader.record_listing(former, Role::Primary, 9);
    leader.record_not_primary(former);
    leader.remove_server(former);
    leader.record_role(former, Role::Primary, term(5));
    assert_eq!(
        leader.primary(),
        None,
        "a late answer of the previous start"
    );
    leader.record_listing(newer, Role::Primary, 4);
    assert_eq!(leader.primary(), Some(newer));
}

/// A primary is replaced on a platform where it keeps leading its own term. It lists itself and
/// answers as before, and hosts alternated between it and its successor, whose term they had not
/// seen yet.
#[test]
fn any_other_claim_is_preferred_to_a_replaced_primary_that_keeps_leading() {
    let (old, new) = servers();
    let mut leader = LeaderTracker::default();
    leader.record_listing(old, Role::Primary, 3);
    leader.record_role(old, Role::Primary, term(1));
    leader.record_listing(new, Role::Replica, 4);
    leader.record_order(term(1), Some(new));
    assert_eq!(leader.primary(), Some(old), "no other server leads yet");
    leader.record_listing(new, Role::Primary, 9);
    assert_eq!(leader.primary(), Some(new));
    leader.record_role(old, Role::Primary, term(1));
    leader.record_listing(old, Role::Primary, 10);
    assert_eq!(leader.primary(), Some(new));
    assert!(leader.is_term_ended(old));
    assert!(!leader.is_term_ended(new));
}

/// A host learns of an order, but no successor appears. The order may still be carried out after
/// seconds, so the old primary is not accepted again, not even when it reports that it leads.
#[test]
fn a_primary_of_an_ended_term_is_not_accepted_again() {
    let (old, new) = servers();
    let mut leader = LeaderTracker::default();
    leader.record_listing(old, Role::Primary, 3);
    leader.record_order(term(1), Some(new));
    leader.give_up_ended_terms();
    assert_eq!(leader.primary(), None);
    leader.record_role(old, Role::Primary, term(1));
    assert_eq!(leader.primary(), None);
    leader.record_role(old, Role::Replica, term(2));
    leader.record_role(old, Role::Primary, term(3));
    assert_eq!(leader.primary(), Some(old), "it was promoted again");
}

/// A host missed the order and sees only that some replica's log has reached the next term.
#[test]
fn a_newer_term_ends_older_ones() {
    let (old, new) = servers();
    let mut leader = LeaderTracker::default();
    leader.record_role(old, Role::Primary, term(1));
    leader.record_listing(old, Role::Primary, 3);
    leader.record_role(old, Role::Primary, term(1));
    leader.record_listing(new, Role::Primary, 2);
    leader.record_term_start(term(2));
    assert_eq!(leader.primary(), Some(new));
}

/// A primary that was cut off restarts under another id, with its log, just after its successor was
/// seen to lead. It lists itself as the primary, later than the successor did, and its term is not
/// known yet. Hosts wrote to it until they had asked for its term.
#[test]
fn a_replaced_primary_under_another_id_is_not_trusted_before_it_shows_its_term() {
    let mut names: Names<ServerKey> = Names::default();
    let [old, new, again] = ["ledger-1", "ledger-2", "ledger-4"].map(|name| names.intern(name));
    let mut leader = LeaderTracker::default();
    leader.record_listing(old, Role::Primary, 3);
    leader.record_listing(new, Role::Replica, 4);
    leader.record_order(term(1), Some(new));
    leader.record_listing(new, Role::Primary, 9);
    leader.remove_server(old);
    leader.record_listing(again, Role::Primary, 12);
    assert_eq!(leader.primary(), Some(new));
    leader.record_role(again, Role::Primary, term(1));
    assert_eq!(leader.primary(), Some(new));
    leader.record_role(again, Role::Primary, term(3));
    assert_eq!(leader.primary(), Some(again), "it has been promoted since");
}

/// Hosts are cut off before the successor that they ordered leads, and order another one. They do
/// not know that a term has begun meanwhile, so their order names the previous one. A host on the
/// other side learned of it when the partition ended and kept reading at the first successor: 4 to
/// 8 stale reads in three of four runs of a simulated day.
#[test]
fn an_order_ends_the_term_that_the_previous_order_began() {
    let mut names: Names<ServerKey> = Names::default();
    let [old, first, second] = ["ledger-1", "ledger-2", "ledger-3"].map(|name| names.intern(name));
    let mut leader = LeaderTracker::default();
    for server in [old, first, second] {
        leader.record_listing(server, Role::Replica, 1);
    }
    leader.record_role(old, Role::Primary, term(1));
    leader.record_order(term(1), Some(first));
    leader.record_role(first, Role::Primary, term(2));
    assert_eq!(leader.primary(), Some(first));
    assert!(!leader.is_term_ended(first));
    leader.record_order(term(1), Some(second));
    assert!(leader.is_term_ended(first));
    leader.record_role(second, Role::Primary, term(3));
    assert_eq!(leader.primary(), Some(second));
    leader.record_role(first, Role::Replica, term(3));
    leader.record_role(first, Role::Primary, term(4));
    assert!(!leader.is_term_ended(first), "it was promoted again");
}

/// A server is promoted and listed as the primary. The replaced primary does not know yet, and a
/// moment later refreshes its entry, as with each heartbeat: it leads. Hosts returned to it for 18
/// ms, and what it acknowledged was lost.
#[test]
fn a_repeated_claim_to_lead_does_not_hide_the_successor() {
    let (old, new) = servers();
    let mut leader = LeaderTracker::default();
    leader.record_listing(old, Role::Primary, 3);
    leader.record_listing(new, Role::Replica, 4);
    leader.record_listing(new, Role::Primary, 9);
    assert_eq!(leader.primary(), Some(new));
    leader.record_listing(old, Role::Primary, 10);
    assert_eq!(leader.primary(), Some(new));
    leader.record_listing(old, Role::Replica, 11);
    leader.record_listing(old, Role::Primary, 15);
    assert_eq!(leader.primary(), Some(old), "it was promoted again");
}

/// Guards against a service that never gets a primary again: its successor never came to lead, and
/// hosts kept returning to a new start of the replaced primary, which they refuse to rely on.
#[test]
fn a_restarted_replaced_primary_is_not_accepted_again() {
    let (old, successor) = servers();
    let mut names: Names<ServerKey> = Names::default();
    let again = ["ledger-1", "ledger-2", "ledger-1 again"].map(|name| names.intern(name))[2];
    let mut leader = LeaderTracker::default();
    leader.record_listing(old, Role::Primary, 3);
    leader.record_listing(successor, Role::Replica, 4);
    leader.record_role(old, Role::Primary, term(4));
    leader.record_order(term(4), Some(successor));
    leader.give_up_ended_terms();
    leader.remove_server(old);
    leader.record_listing(again, Role::Primary, 9);
    assert_eq!(leader.primary(), None);
    leader.record_role(again, Role::Primary, term(4));
    assert_eq!(leader.primary(), None);
    leader.record_role(again, Role::Primary, term(6));
    assert_eq!(leader.primary(), Some(again), "it was promoted");
}

/// Two entries say that their servers lead, and the one that changed last is that of a process which is no
/// server. It must not keep a host that has just started from the primary, nor lead once that is gone.
#[test]
fn an_entry_whose_server_gives_invalid_answers_is_no_claim_to_lead() {
    let (primary, other) = servers();
    let mut leader = LeaderTracker::default();
    leader.record_listing(primary, Role::Primary, 3);
    leader.record_listing(other, Role::Primary, 8);
    leader.record_invalid_answer(other);
    assert_eq!(leader.primary(), Some(primary));
    leader.remove_server(primary);
    leader.record_listing(other, Role::Primary, 9);
    assert_eq!(leader.primary(), None);
    leader.record_role(other, Role::Primary, term(2));
    assert_eq!(leader.primary(), Some(other), "a valid answer counts");
}

/// A primary that has shown its term stays the primary after an invalid answer. Whether it is missed is for a
/// majority of hosts to decide.
#[test]
fn a_primary_that_has_led_is_kept_after_an_invalid_answer() {
    let (primary, _) = servers();
    let mut leader = LeaderTracker::default();
    leader.record_listing(primary, Role::Primary, 3);
    leader.record_role(primary, Role::Primary, term(2));
    leader.record_invalid_answer(primary);
    leader.record_listing(primary, Role::Primary, 4);
    assert_eq!(leader.primary(), Some(primary));
}

//! Which server leads, where the platform's list, refusals and servers' own words disagree.

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

/// Bids go to a primary that was replaced a moment ago, because its entry in the list still says
/// that it leads. It refuses the first; from then on nothing more is sent there.
#[test]
fn a_refusal_overrides_an_older_list_entry() {
    let (old, new) = servers();
    let mut leader = LeaderTracker::default();
    leader.record_listing(old, Role::Primary, 4);
    leader.record_not_primary(old);
    assert_eq!(leader.primary(), None);
    leader.record_listing(old, Role::Primary, 4);
    assert_eq!(leader.primary(), None, "the same entry is no news");
    leader.record_listing(new, Role::Primary, 9);
    assert_eq!(leader.primary(), Some(new));
}

/// A primary crashes and its entry stays for seconds, while a successor reports itself. Both say
/// that they lead; the one whose entry changed last, and later the one of the higher term, does.
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

/// A primary that was cut off while it was replaced answers a question with its old term. That
/// must not make it the leader again on a host that has seen the new term.
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

/// A primary starts again without its log, and its new entry in the list says that it leads. Bids
/// went there, and were gone with the next change of primary. It has to show the log first,
/// whatever it says of itself.
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
    assert_eq!(leader.primary(), None, "saying so again proves nothing");
    leader.record_role(other, Role::Primary, term(2));
    assert_eq!(leader.primary(), Some(other));
    leader.trust(empty);
    assert_eq!(leader.primary(), Some(other), "its term has ended");
}

/// An empty primary was replaced and follows its successor. Later it is promoted, and
/// nothing is written at first; it was still doubted for what it had lost, and nobody led.
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

/// A server starts again under its id. The count by which its entries are told apart is that of
/// the list, but the former start was refused and gone for a while: nothing of that holds for the
/// newer one, which is known under a key of its own.
#[test]
fn a_restarted_server_inherits_no_state_of_its_previous_start() {
    let (former, newer) = servers();
    let mut leader = LeaderTracker::default();
    leader.record_listing(former, Role::Primary, 9);
    leader.record_not_primary(former);
    leader.remove_server(former);
    leader.record_role(former, Role::Primary, term(5));
    assert_eq!(leader.primary(), None, "a late word of the former start");
    leader.record_listing(newer, Role::Primary, 4);
    assert_eq!(leader.primary(), Some(newer));
}

/// A primary is replaced on a platform where it goes on leading its own term. It lists itself as
/// before and answers as before, and hosts went back and forth between it and its successor, whose
/// term they had not seen yet.
#[test]
fn any_other_claim_is_preferred_to_a_replaced_primary_that_keeps_leading() {
    let (old, new) = servers();
    let mut leader = LeaderTracker::default();
    leader.record_listing(old, Role::Primary, 3);
    leader.record_role(old, Role::Primary, term(1));
    leader.record_listing(new, Role::Replica, 4);
    leader.record_order(term(1), Some(new));
    assert_eq!(leader.primary(), Some(old), "nobody else leads yet");
    leader.record_listing(new, Role::Primary, 9);
    assert_eq!(leader.primary(), Some(new));
    leader.record_role(old, Role::Primary, term(1));
    leader.record_listing(old, Role::Primary, 10);
    assert_eq!(leader.primary(), Some(new));
    assert!(leader.is_term_ended(old));
    assert!(!leader.is_term_ended(new));
}

/// A host hears of an order, but no successor shows. The order may still be carried out after
/// seconds, so the old primary is not gone back to, not even when it says that it leads.
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

/// A primary that was cut off starts again under another id, with its log, just after its successor
/// was seen to lead. It lists itself as the primary, later than the successor did, and its term is not
/// known yet: hosts wrote to it until they had asked.
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
    assert_eq!(leader.primary(), Some(again), "it was promoted since");
}

/// Hosts are cut off before the successor that they ordered leads, and order another one. They do not
/// know that a term has begun meanwhile, so their order names the one before. A host on the other side
/// hears of it when the cut ends, and went on reading at the first successor: buses that had been given
/// away since were shown as free, 4 to 8 reads in three of four plays of a day.
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

/// A server is promoted and the list says so. The one that it replaced does not know yet, and writes its
/// entry anew a moment later, as it does with each heartbeat: it leads. Hosts went back to it for 18 ms, and
/// what it acknowledged was gone.
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

/// Guards against a service without a primary for good: its successor never came to lead, and hosts went back
/// to a new start of the replaced one again and again, which they refuse to rely on.
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

//! Tests of host leases, which allow a host to rely on a primary.

use std::collections::BTreeSet;
use std::time::Duration;

use flamingopost_core::key::HostKey;
use flamingopost_core::names::Names;
use flamingopost_core::quorum::{
    Basis, CLOCK_MARGIN, Closing, Electorate, Evidence, GONE_TIMEOUT, Group, HEARTBEAT_INTERVAL,
    LEASE_DURATION, Number, Prospect, Quorum, RENEWAL_LIFETIME, Standing, Step, StoreLease,
    UNANIMOUS_LIFETIME,
};
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn hosts(count: usize) -> Vec<HostKey> {
    let mut names: Names<HostKey> = Names::default();
    (0..count)
        .map(|i| names.intern(&format!("entry-{i}")))
        .collect()
}

/// The name of the host whose view a test takes.
const OWN: &str = "entry-own";

/// Adopts an electorate of this host, if `takes_part`, and `others`, as a process that has caught up.
fn elect(quorum: &mut Quorum, others: &[HostKey], takes_part: bool, now: Duration) {
    let name = |host: &HostKey| format!("{host:?}");
    let names: BTreeSet<String> = others.iter().map(name).collect();
    let own = takes_part.then(|| OWN.to_owned());
    let electors = names.into_iter().chain(own).collect();
    let before = Electorate::first(electors, 1);
    let formed = before.replaced_by(before.electors.clone(), 1);
    quorum.set_hosts(others.iter().copied().collect(), now);
    quorum.record_formation(before.formation);
    for electorate in [before, formed] {
        let key = |wanted: &str| others.iter().find(|it| name(it) == wanted).copied();
        let group = Group::new(&electorate.electors, OWN, key);
        assert!(quorum.adopt(&electorate, [group.clone(), group], now));
    }
    quorum.record_renewal(now);
}

/// Records an answer under the present electorate.
fn reply(quorum: &mut Quorum, host: HostKey, sent: Duration) {
    let number = quorum.number();
    quorum.record_reply(host, sent, number);
}

/// Two hosts of six are cut off together with a primary. Without the lease they would keep
/// acknowledging writes that the successor of that primary does not have.
#[test]
fn a_minority_partition_loses_its_lease() {
    let others = hosts(5);
    let mut quorum = Quorum::default();
    elect(&mut quorum, &others, true, ms(0));
    others
        .iter()
        .for_each(|host| reply(&mut quorum, *host, ms(1_000)));
    assert!(quorum.holds_lease(ms(1_000) + LEASE_DURATION - ms(1)));
    reply(&mut quorum, others[0], ms(1_500));
    assert!(
        !quorum.holds_lease(ms(1_000) + LEASE_DURATION),
        "two of six are no majority"
    );
}

/// A host has started, and has not learned from the store yet which other hosts there are. It took
/// itself for the whole fleet and wrote to a primary that most hosts had replaced.
#[test]
fn a_host_that_does_not_know_the_others_holds_no_lease() {
    let mut quorum = Quorum::default();
    assert!(!quorum.knows_hosts());
    assert!(!quorum.holds_lease(ms(1_000)));
    quorum.set_hosts(BTreeSet::new(), ms(1_000));
    assert!(quorum.knows_hosts());
    assert!(!quorum.holds_lease(ms(1_000)), "no electorate is known");
    elect(&mut quorum, &[], true, ms(1_000));
    assert!(quorum.holds_lease(ms(1_000)), "it is the only host");
}

/// In a large fleet all hosts ask the same few electors. A host that is none of them counts only
/// those: its own opinion is no part of a majority.
#[test]
fn a_host_that_is_no_elector_counts_only_electors() {
    let others = hosts(3);
    let mut quorum = Quorum::default();
    elect(&mut quorum, &others, false, ms(0));
    assert!(!quorum.is_elector());
    reply(&mut quorum, others[0], ms(1_000));
    assert!(!quorum.holds_lease(ms(1_100)), "one of three");
    reply(&mut quorum, others[1], ms(1_000));
    assert!(quorum.holds_lease(ms(1_100)));
}

/// Most hosts are killed at once. The one that is left has no host to ask, but the platform's store
/// confirms that no host replaces the primary, so writes continue.
#[test]
fn a_store_lease_replaces_the_majority() {
    let mut quorum = Quorum::default();
    elect(&mut quorum, &hosts(5), true, ms(0));
    assert!(!quorum.holds_lease(ms(2_000)));
    let mut lease = StoreLease::default();
    assert!(!lease.holds_lease(ms(2_000)));
    lease.renew(ms(2_000));
    assert!(lease.holds_lease(ms(2_100)));
    assert!(!lease.holds_lease(ms(2_000) + LEASE_DURATION));
}

/// Guards against two majorities that share no host: hosts that one host had not heard for long did not
/// count for it, and counted for others.
#[test]
fn silent_hosts_count_until_a_majority_has_agreed_to_leave_them_out() {
    let others = hosts(6);
    let mut quorum = Quorum::default();
    elect(&mut quorum, &others, true, ms(0));
    let now = GONE_TIMEOUT * 2;
    quorum.record_renewal(now);
    for host in &others[..2] {
        quorum.record_message(*host, now);
        reply(&mut quorum, *host, now);
    }
    assert_eq!(
        quorum.gone_hosts(now),
        others[2..].iter().copied().collect()
    );
    assert!(!quorum.holds_lease(now), "three of seven");
    reply(&mut quorum, others[2], now);
    assert!(quorum.holds_lease(now), "four of seven");
}

/// A host that is alone in its fleet, or that all others have answered, waits for no lease. When
/// the time of the request was returned instead of zero, a step that had begun earlier never found
/// all leases ended.
#[test]
fn no_lease_is_waited_for_when_all_hosts_have_answered() {
    let others = hosts(2);
    let mut quorum = Quorum::default();
    assert_eq!(quorum.leases_end(&BTreeSet::new()), ms(0));
    quorum.set_hosts(others.iter().copied().collect(), ms(0));
    let answered = others.into_iter().collect();
    assert_eq!(quorum.leases_end(&answered), ms(0));
}

/// A host that gets messages from no other host is itself cut off, however long that lasts.
#[test]
fn an_isolated_host_holds_no_lease() {
    let mut quorum = Quorum::default();
    elect(&mut quorum, &hosts(4), true, ms(0));
    quorum.record_renewal(GONE_TIMEOUT * 4);
    assert!(!quorum.holds_lease(GONE_TIMEOUT * 4));
}

/// Minimum duration of a promotion from its order, in every known deployment.
const PROMOTION: Duration = Duration::from_millis(300);

/// Hosts exchange heartbeats over links that lose, delay and cut messages, also in one direction.
/// As soon as one part may order a promotion, it does, and its heartbeats announce it. When the
/// successor leads, no host that was cut off and has not been notified may rely on the previous
/// primary.
///
/// In a one-way partition, a host whose messages do not arrive may still receive answers, and one
/// whose messages arrive may not. So both directions of a contact count: the order waits from the
/// last message of a host, and the lease runs from when the request was sent.
#[test]
fn no_host_relies_on_a_primary_whose_successor_leads() {
    for seed in 0..300 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(3..8);
        let keys = hosts(count);
        let mut quorums: Vec<Quorum> = (0..count)
            .map(|own| {
                let mut quorum = Quorum::default();
                let others = keys.iter().enumerate().filter(|(i, _)| *i != own);
                let others: Vec<HostKey> = others.map(|(_, key)| *key).collect();
                elect(&mut quorum, &others, true, ms(0));
                quorum
            })
            .collect();
        // From some moment on, the last hosts receive nothing from the others, or their messages do
        // not arrive.
        let cut = rng.random_range(1..=count / 2);
        let cut_at = ms(rng.random_range(500..3_000));
        let (inward, outward) = match rng.random_range(0..3) {
            0 => (true, false),
            1 => (false, true),
            _ => (true, true),
        };
        let mut ordered = None;
        let mut informed = vec![false; count];
        let mut now = ms(0);
        while now < ms(8_000) {
            for from in 0..count {
                for to in 0..count {
                    let crosses = (from >= count - cut) != (to >= count - cut);
                    let asks_in = to >= count - cut;
                    let severed = crosses && now >= cut_at;
                    let blocked = |into: bool| severed && if into { inward } else { outward };
                    if from == to || rng.random_bool(0.1) || blocked(asks_in) {
                        continue;
                    }
                    quorums[to].record_message(keys[from], now + ms(2));
                    if !blocked(!asks_in) {
                        reply(&mut quorums[from], keys[to], now);
                        quorums[from].record_message(keys[to], now + ms(4));
                        informed[from] |= ordered.is_some() && to < count - cut;
                    }
                }
            }
            now += HEARTBEAT_INTERVAL;
            // The first host orders a promotion, with answers from all hosts that are not cut off.
            let answered: BTreeSet<HostKey> = keys[..count - cut].iter().copied().collect();
            let leases_ended = now >= quorums[0].leases_end(&answered);
            if now >= cut_at && leases_ended {
                ordered.get_or_insert(now);
            }
            let late = leases_ended && now >= cut_at + LEASE_DURATION + CLOCK_MARGIN + ms(10);
            let successor_leads = ordered.is_some_and(|at| now >= at + PROMOTION);
            for (writer, informed) in quorums.iter().zip(&informed).skip(count - cut) {
                let is_minority = cut * 2 < count;
                assert!(
                    !(successor_leads && is_minority && !informed && writer.holds_lease(now)),
                    "seed {seed}: a write at {now:?} while the successor leads"
                );
                assert!(
                    !(late && is_minority && writer.holds_lease(now)),
                    "seed {seed}: a write at {now:?} after the order"
                );
            }
        }
    }
}

/// Time for which a lease may last that began at some moment, by the clock of another host.
const LEASE: Duration = LEASE_DURATION.saturating_add(CLOCK_MARGIN);

/// When `quorum` lets an order go, or `None` if too few hosts have confirmed the end of the term.
fn order_from(quorum: &Quorum, closing: &Closing, now: Duration) -> Option<Duration> {
    quorum.order_from(closing, now).map(|it| it.from)
}

/// Five hosts, of which this one hears all others at 1 s.
fn five_hosts() -> (Quorum, Vec<HostKey>) {
    let others = hosts(4);
    let mut quorum = Quorum::default();
    elect(&mut quorum, &others, true, ms(0));
    for host in &others {
        quorum.record_message(*host, ms(1_000));
    }
    (quorum, others)
}

/// Guards against a wait for hosts that stop by themselves.
#[test]
fn an_order_waits_for_no_lease_of_hosts_that_confirm_the_end_of_a_term() {
    let (quorum, others) = five_hosts();
    let mut closing = Closing::announced(ms(1_100), ms(0));
    for (host, at) in others.iter().zip([1_102, 1_103, 1_110, 1_104]) {
        closing.confirm(*host, [], ms(at));
    }
    assert_eq!(order_from(&quorum, &closing, ms(1_110)), Some(ms(1_110)));
}

/// Guards against a host that one host does not hear, and whose lease the others extend: it is waited
/// for as long as they have heard it.
#[test]
fn an_order_waits_for_the_lease_of_a_host_that_only_others_hear() {
    let (quorum, others) = five_hosts();
    let mut closing = Closing::announced(ms(1_600), ms(0));
    closing.confirm(others[0], [(others[3], ms(1_500))], ms(1_602));
    closing.confirm(others[1], [(others[3], ms(1_400))], ms(1_602));
    closing.confirm(others[2], [], ms(1_602));
    assert_eq!(
        order_from(&quorum, &closing, ms(1_610)),
        Some(ms(1_500) + LEASE)
    );
}

/// Guards against an order by a host that is cut off from all others: it took their silence for the end of
/// their leases, which they extend for each other.
#[test]
fn no_order_is_given_before_a_majority_has_confirmed_the_end_of_the_term() {
    let (mut quorum, others) = five_hosts();
    let mut closing = Closing::announced(ms(1_950), ms(0)).with_claim(Some(ms(1_100)));
    let later = ms(1_950) + GONE_TIMEOUT * 4;
    quorum.record_renewal(later);
    assert_eq!(order_from(&quorum, &closing, later), None, "all are silent");
    closing.confirm(others[0], [], later);
    assert_eq!(order_from(&quorum, &closing, later), None, "two of five");
    closing.confirm(others[1], [], later);
    assert_eq!(order_from(&quorum, &closing, later), Some(later));
}

/// Guards against a leaving primary that is never replaced: too few hosts can be asked, and it has stepped
/// down itself.
#[test]
fn a_lone_host_orders_once_the_primary_has_stepped_down() {
    let (quorum, _) = five_hosts();
    let claimed = Closing::announced(ms(1_950), ms(0)).with_claim(Some(ms(1_900)));
    assert_eq!(
        order_from(&quorum, &claimed, ms(14_000)),
        None,
        "a claim alone"
    );
    let mut leaving = claimed;
    leaving.record_step_down(ms(2_100));
    let clearance = quorum
        .order_from(&leaving, ms(2_100))
        .expect("an answer of the primary");
    assert_eq!(
        (clearance.from, clearance.basis),
        (ms(2_100), Basis::SteppedDown)
    );
}

/// Guards against an order under an electorate that others may have replaced: its record in the store
/// was not renewed for long, and one host does not answer.
#[test]
fn no_order_is_given_under_an_electorate_that_may_be_replaced() {
    let (mut quorum, others) = five_hosts();
    let now = ms(0) + RENEWAL_LIFETIME;
    let mut closing = Closing::announced(now, ms(0));
    for host in &others[..3] {
        reply(&mut quorum, *host, now);
        closing.confirm(*host, [], now);
    }
    assert_eq!(order_from(&quorum, &closing, now), None);
    assert!(!quorum.holds_lease(now), "four of five");
    reply(&mut quorum, others[3], now);
    assert!(
        quorum.holds_lease(now),
        "all answer, so none has replaced it"
    );
    assert!(order_from(&quorum, &closing, now).is_some());
}

/// Guards against an order that waits for no lease of a host which this one has not heard for long, and
/// which keeps its lease by the answers of others.
#[test]
fn an_order_waits_for_a_host_that_counts_as_gone_here_and_is_heard_elsewhere() {
    let (mut quorum, others) = five_hosts();
    let now = ms(1_000) + GONE_TIMEOUT + ms(500);
    quorum.record_renewal(now);
    for host in &others[..3] {
        quorum.record_message(*host, now - ms(100));
    }
    assert!(quorum.gone_hosts(now).contains(&others[3]));
    let mut closing = Closing::announced(now, ms(0));
    for host in &others[..3] {
        closing.confirm(*host, [], now);
    }
    assert_eq!(
        order_from(&quorum, &closing, now),
        Some(now),
        "nobody hears it"
    );
    closing.confirm(others[0], [(others[3], now - ms(200))], now);
    assert_eq!(
        order_from(&quorum, &closing, now),
        Some(now - ms(200) + LEASE)
    );
}

/// Guards against an order that is never given: a host that is heard all the time and hears nothing
/// itself keeps no lease once most others tell it of the end.
#[test]
fn a_host_that_is_heard_and_does_not_confirm_is_waited_for_once() {
    let (mut quorum, others) = five_hosts();
    let mut closing = Closing::announced(ms(1_600), ms(0));
    closing.confirm(others[0], [(others[3], ms(1_590))], ms(1_602));
    quorum.record_message(others[3], ms(2_000));
    let until = order_from(&quorum, &closing, ms(2_000));
    assert_eq!(until, None, "two of five: the others extend leases");
    closing.confirm(others[1], [(others[3], ms(2_010))], ms(1_604));
    assert_eq!(
        order_from(&quorum, &closing, ms(2_020)),
        Some(ms(1_604) + LEASE)
    );
}

/// Guards against a lease from the store, which a host that hears no other renews until the change is
/// claimed.
#[test]
fn an_order_waits_for_leases_that_rest_on_the_claims_in_the_store() {
    let (quorum, others) = five_hosts();
    let mut closing = Closing::announced(ms(3_000), ms(0)).with_claim(Some(ms(2_990)));
    for host in &others[..3] {
        closing.confirm(*host, [], ms(3_002));
    }
    assert_eq!(
        order_from(&quorum, &closing, ms(3_010)),
        Some(ms(2_990) + LEASE)
    );
    closing.confirm(others[3], [], ms(3_020));
    assert_eq!(order_from(&quorum, &closing, ms(3_020)), Some(ms(3_020)));
}

/// Guards against hosts of a large fleet that confirm nothing: their leases end after most electors know.
#[test]
fn an_order_waits_for_leases_of_hosts_that_are_no_electors() {
    let (quorum, others) = five_hosts();
    let mut closing = Closing::announced(ms(1_100), ms(0)).with_other_hosts(true);
    for (host, at) in others.iter().zip([1_102, 1_103, 1_104, 1_105]) {
        closing.confirm(*host, [], ms(at));
    }
    assert_eq!(
        order_from(&quorum, &closing, ms(1_110)),
        Some(ms(1_103) + LEASE)
    );
}

/// Guards against an order that takes effect while hosts that know of the end still serve.
#[test]
fn an_order_waits_until_hosts_that_serve_on_have_stopped() {
    let (quorum, others) = five_hosts();
    let mut closing = Closing::announced(ms(1_100), ms(70));
    for host in &others {
        closing.confirm(*host, [], ms(1_104));
    }
    assert_eq!(order_from(&quorum, &closing, ms(1_110)), Some(ms(1_174)));
}

/// Guards against two electors that have confirmed the end of a term and are both started again: they knew
/// nothing of it, and extended the lease of a host that had not heard of it.
#[test]
fn a_process_that_starts_extends_leases_once_each_majority_includes_one_that_has_told_it() {
    for (others, told) in [(1, 1), (2, 2), (3, 2), (4, 3), (5, 3), (6, 4)] {
        let others = hosts(others);
        let name = |host: &HostKey| format!("{host:?}");
        let electors = others.iter().map(name).chain([OWN.to_owned()]).collect();
        let electorate = Electorate::first(electors, 1);
        let key = |wanted: &str| others.iter().find(|it| name(it) == wanted).copied();
        let group = Group::new(&electorate.electors, OWN, key);
        let mut quorum = Quorum::default();
        quorum.set_hosts(others.iter().copied().collect(), ms(0));
        assert!(quorum.adopt(&electorate, [group.clone(), group], ms(0)));
        for host in &others[..told] {
            assert!(!quorum.is_caught_up(), "of {} others", others.len());
            reply(&mut quorum, *host, ms(100));
        }
        assert!(quorum.is_caught_up(), "{told} of {} others", others.len());
    }
}

/// Guards against an electorate that knows nothing of what the last one but one has confirmed: it may share
/// no host with that.
#[test]
fn an_electorate_is_followed_once_a_majority_knows_what_was_confirmed_before() {
    let others = hosts(4);
    let mut quorum = Quorum::default();
    elect(&mut quorum, &others, true, ms(0));
    let now = ms(1_000);
    let prospect = Prospect {
        is_change_due: true,
        ..Prospect::default()
    };
    quorum.record_renewal(now);
    let number = quorum.number().expect("an electorate");
    for (host, step) in others[..2].iter().zip([Step::Wait, Step::Change]) {
        reply(&mut quorum, *host, now);
        let told = Standing {
            number,
            is_caught_up: true,
            is_settled: false,
        };
        quorum.record_standing(*host, 1, told, now);
        assert_eq!(quorum.next_step(&prospect, now), Step::Wait);
        let is_settled = true;
        quorum.record_standing(*host, 1, Standing { is_settled, ..told }, now);
        assert_eq!(quorum.next_step(&prospect, now), step);
    }
}

/// Guards against answers under another electorate, which may share no majority with the present one.
#[test]
fn an_answer_under_another_electorate_extends_no_lease() {
    let others = hosts(2);
    let mut quorum = Quorum::default();
    elect(&mut quorum, &others, true, ms(0));
    let number = quorum.number().expect("an electorate");
    for count in [number.count - 1, number.count + 1] {
        let other = Number { count, ..number };
        quorum.record_reply(others[0], ms(1_000), Some(other));
    }
    assert!(!quorum.holds_lease(ms(1_100)));
    quorum.record_reply(others[0], ms(1_000), Some(number));
    assert!(quorum.holds_lease(ms(1_100)));
}

/// Guards against a process that takes itself for older than an electorate: a host that was behind told it
/// of an earlier one, and then others of the one under which its former process had confirmed the end of a
/// term.
#[test]
fn only_the_store_shows_that_an_electorate_was_formed_since_a_process_started() {
    let others = hosts(2);
    let name = |host: &HostKey| format!("{host:?}");
    let electors: BTreeSet<String> = others.iter().map(name).chain([OWN.to_owned()]).collect();
    let first = Electorate::first(electors.clone(), 1);
    let formed = first.replaced_by(electors, 2);
    let key = |wanted: &str| others.iter().find(|it| name(it) == wanted).copied();
    for is_recorded in [false, true] {
        let mut quorum = Quorum::default();
        quorum.set_hosts(others.iter().copied().collect(), ms(0));
        for electorate in [&first, &formed] {
            let group = Group::new(&electorate.electors, OWN, key);
            assert!(quorum.adopt(electorate, [group.clone(), group], ms(0)));
            assert_eq!(quorum.is_caught_up(), is_recorded && *electorate == formed);
            if is_recorded {
                quorum.record_formation(electorate.formation);
            }
        }
    }
}

/// Guards against two electorates in force at once after a restore: the copy had an electorate of before, and
/// hosts that its successor had left out replaced it, while that one needed no renewal.
#[test]
fn an_electorate_that_a_copy_may_lack_is_not_replaced_while_it_may_be_in_force() {
    let others = hosts(2);
    let mut quorum = Quorum::default();
    elect(&mut quorum, &others, true, ms(0));
    for (may_be_copied, lifetime) in [(false, RENEWAL_LIFETIME), (true, UNANIMOUS_LIFETIME)] {
        let prospect = Prospect {
            unchanged_since: Some(ms(1_000)),
            may_be_copied,
            ..Prospect::default()
        };
        let before = ms(1_000) + lifetime - LEASE_DURATION;
        assert_eq!(quorum.next_step(&prospect, before), Step::Wait);
        let replaced = Step::Replace(Evidence::Unrenewed);
        assert_eq!(quorum.next_step(&prospect, before + lifetime / 8), replaced);
    }
}

/// Guards against electors that wait for 12 s although all is well: the only host that knew when their
/// electorate was recorded does not tell them, and a lease needs a renewal.
#[test]
fn a_majority_that_knows_of_no_renewal_renews_the_electorate() {
    let others = hosts(2);
    let mut quorum = Quorum::default();
    elect(&mut quorum, &others, true, ms(0));
    let now = RENEWAL_LIFETIME + ms(100);
    let renewed = |may_be_copied| Prospect {
        unchanged_since: Some(now - ms(100)),
        may_be_copied,
        ..Prospect::default()
    };
    assert_eq!(quorum.next_step(&renewed(false), now), Step::Wait);
    reply(&mut quorum, others[0], now);
    assert!(!quorum.holds_lease(now));
    assert_eq!(quorum.next_step(&renewed(true), now), Step::Wait);
    assert_eq!(quorum.next_step(&renewed(false), now), Step::Renew);
}

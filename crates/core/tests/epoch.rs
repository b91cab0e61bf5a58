//! Tests of hosts that replace a primary while the store is restored from a copy.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flamingopost_core::epoch::{Epoch, EpochStatus, EpochTracker};
use flamingopost_core::key::{HostKey, ServerKey};
use flamingopost_core::leader::Role;
use flamingopost_core::names::Names;
use flamingopost_core::position::Position;
use flamingopost_core::succession::{
    CLAIM_HOLDER_TIMEOUT, FencingToken, NextStep, Opinion, Report, Succession, Trouble, View,
};
use flamingopost_core::term::Term;

/// Number of hosts that are asked. The others learn of an epoch by themselves.
const ELECTORS: usize = 7;

const STEP: Duration = ms(20);

/// Tokens of claims in the epoch before the restore and in the one after it.
const BEFORE: FencingToken = FencingToken(900);
const AFTER: FencingToken = FencingToken((1 << 40) + 3);

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn report() -> Report {
    let term = Term::from_number(1);
    Report {
        role: Role::Replica,
        term,
        received: Position { term, log: 40 },
    }
}

struct Host {
    succession: Succession,
    epochs: EpochTracker,
    others: BTreeSet<HostKey>,
    orders: Vec<(Duration, FencingToken)>,
    claims: usize,
}

struct Fleet {
    keys: Vec<HostKey>,
    servers: Vec<ServerKey>,
    hosts: Vec<Host>,
}

impl Fleet {
    fn new(count: usize) -> Fleet {
        let mut names: Names<HostKey> = Names::default();
        let keys = (0..count).map(|n| names.intern(&format!("entry-{n}")));
        let keys: Vec<HostKey> = keys.collect();
        let mut names: Names<ServerKey> = Names::default();
        let servers = (0..3).map(|n| names.intern(&format!("ledger-{n}")));
        let host = |own: usize| {
            let mut epochs = EpochTracker::default();
            assert_eq!(
                epochs.record_store_epoch(Epoch(0), ms(0)),
                EpochStatus::Current
            );
            let others = keys.iter().enumerate();
            let others = others.filter(|(n, _)| *n != own).map(|(_, key)| *key);
            Host {
                succession: Succession::default(),
                epochs,
                others: others.collect(),
                orders: Vec::new(),
                claims: 0,
            }
        };
        Fleet {
            servers: servers.collect(),
            hosts: (0..count).map(host).collect(),
            keys,
        }
    }

    /// Returns the view of host `number`, with leases of other hosts that last until `leases`.
    fn view(&self, number: usize, leases: Duration) -> View {
        let host = &self.hosts[number];
        let electors = self.keys.iter().take(ELECTORS).copied();
        View {
            leader: Some(self.servers[0]),
            term: Term::from_number(1),
            leader_term: Term::from_number(1),
            terms_led: BTreeMap::new(),
            trouble: Some(Trouble::Silent { since: ms(0) }),
            candidates: self.servers.iter().copied().collect(),
            leaving: BTreeSet::new(),
            peers: electors.filter(|key| host.others.contains(key)).collect(),
            rank: 0,
            newest_token: None,
            leases_end: leases.max(host.epochs.orders_allowed_from(&host.others)),
            in_contact: true,
            ordered_before: None,
            announced: None,
            synchronous: false,
            newest_position: Position::default(),
            required_positions: BTreeMap::new(),
            may_lack_servers: false,
            previous_starts: BTreeMap::new(),
            distrusted: BTreeSet::new(),
        }
    }

    /// Host `number` takes a step. Its requests are answered at once, and a claim is won with
    /// `grant`.
    fn step(&mut self, number: usize, leases: Duration, grant: FencingToken, now: Duration) {
        let view = self.view(number, leases);
        let servers = self.servers.clone();
        let host = &mut self.hosts[number];
        let mut pending = common::step(&mut host.succession, &view, now);
        while let Some(next) = pending.pop() {
            match next {
                NextStep::AskHosts => view.peers.iter().for_each(|peer| {
                    host.succession.record_opinion(*peer, Opinion::Fails);
                }),
                NextStep::AskServers => servers[1..].iter().for_each(|server| {
                    host.succession.record_report(*server, report());
                }),
                NextStep::Claim | NextStep::RenewClaim { .. } => {
                    host.claims += 1;
                    pending.extend(host.succession.claim_won(grant, now));
                }
                NextStep::EndTerm { .. } => {}
                NextStep::Promote { token, .. } => host.orders.push((now, token)),
            }
        }
    }

    /// Host `number` learns that the store was restored.
    fn observe_restore(&mut self, number: usize, now: Duration) {
        let host = &mut self.hosts[number];
        let before = Epoch(0);
        let was_told = host.epochs.newest_epoch() == Epoch(1);
        assert_eq!(
            host.epochs.record_store_epoch(Epoch(1), now),
            EpochStatus::Restored { before, was_told }
        );
        host.succession.invalidate_claim(now);
    }

    /// Host `from` reports the epoch that it knows to host `number`.
    fn report_epoch(&mut self, from: usize, number: usize) {
        let (key, epoch) = (self.keys[from], self.hosts[from].epochs.newest_epoch());
        self.hosts[number]
            .epochs
            .record_peer_epoch(key, epoch, ms(0));
    }
}

/// A host has claimed to replace a silent primary and waits for the leases of other hosts. The
/// store is restored from a copy without that claim, and another host wins it again. Both ordered a
/// successor of their own, and what the first one had acknowledged was rolled back. The second host
/// has to wait until the first has learned of the restore, and the first has to claim again.
fn a_lost_claim_causes_no_order(hosts: usize) {
    let (first, second) = (0, hosts - 1);
    let mut fleet = Fleet::new(hosts);
    let (leases, restore_at, others_informed_at) = (ms(950), ms(700), ms(1_300));
    let mut now = ms(400);
    while now < ms(6_000) {
        if now == restore_at {
            fleet.observe_restore(second, now);
        }
        if now == others_informed_at {
            (0..hosts)
                .filter(|host| *host != second)
                .for_each(|host| fleet.observe_restore(host, now));
            let electors = (0..hosts).take(ELECTORS).filter(|host| *host != second);
            electors.for_each(|host| fleet.report_epoch(host, second));
        }
        let claims = fleet.hosts[first].claims;
        if now < others_informed_at || claims < 2 {
            fleet.step(first, leases, BEFORE, now);
        }
        if now >= restore_at {
            fleet.step(second, leases, AFTER, now);
        }
        now += STEP;
    }
    // Without the restore, the first host would have given its order when the leases ended, 0.35 s
    // before it learned of the restore.
    let orders = &fleet.hosts[second].orders;
    let (at, grant) = orders.first().copied().expect("an order");
    assert_eq!(grant, AFTER);
    assert!(at >= others_informed_at, "{at:?}");
    assert!(
        at <= restore_at + CLAIM_HOLDER_TIMEOUT + STEP,
        "{at:?}: no host has to be waited for"
    );
}

#[test]
fn a_lost_claim_causes_no_order_with_six_hosts() {
    a_lost_claim_causes_no_order(6);
}

#[test]
fn a_lost_claim_causes_no_order_with_seventy_four_hosts() {
    a_lost_claim_causes_no_order(74);
}

/// A host that waits for leases under a claim learns of a restore. It gives no order under that
/// claim and claims again at once, without another inquiry.
#[test]
fn a_claim_is_made_again_after_a_restore() {
    let mut fleet = Fleet::new(6);
    let mut now = ms(400);
    while now < ms(800) {
        fleet.step(0, ms(900), BEFORE, now);
        now += STEP;
    }
    assert_eq!(fleet.hosts[0].claims, 1);
    (0..6).for_each(|host| fleet.observe_restore(host, now));
    (1..6).for_each(|host| fleet.report_epoch(host, 0));
    while now < ms(1_600) {
        fleet.step(0, ms(900), AFTER, now);
        now += STEP;
    }
    assert_eq!(fleet.hosts[0].claims, 2);
    let grants: Vec<FencingToken> = fleet.hosts[0].orders.iter().map(|it| it.1).collect();
    assert_eq!(grants, [AFTER]);
}

/// A host that starts after a restore sees the new epoch first and takes it for the only one.
/// Another host, which knows the previous epoch, reports that claims may be missing.
#[test]
fn a_host_that_has_just_started_learns_of_a_restore() {
    let mut fleet = Fleet::new(6);
    let others = fleet.hosts[0].others.clone();
    let epochs = &mut fleet.hosts[0].epochs;
    *epochs = EpochTracker::default();
    epochs.record_store_epoch(Epoch(1), ms(2_000));
    assert_eq!(epochs.orders_allowed_from(&others), ms(0));
    epochs.record_restore(Epoch(0), ms(1_000));
    assert_eq!(epochs.restored_at(), None, "an epoch that has ended");
    epochs.record_restore(Epoch(1), ms(1_500));
    assert_eq!(
        epochs.orders_allowed_from(&others),
        ms(1_500) + CLAIM_HOLDER_TIMEOUT
    );
    assert!(epochs.may_store_be_stale(ms(2_000)));
    assert!(!epochs.are_claims_complete(ms(2_000)));
}

/// A host of another fleet, at an address that a host had before, reports an epoch that the store
/// never had. Hosts trusted it, ignored every answer of the store, and asked it again at once,
/// 6,000 times a second each.
#[test]
fn an_epoch_reported_by_a_host_does_not_outdate_the_store() {
    let fleet = Fleet::new(6);
    let mut epochs = EpochTracker::default();
    epochs.record_store_epoch(Epoch(2), ms(0));
    assert!(
        epochs.record_peer_epoch(fleet.keys[1], Epoch(9), ms(500)),
        "the store has to be asked again"
    );
    assert_eq!(
        epochs.record_store_epoch(Epoch(2), ms(510)),
        EpochStatus::Current
    );
    assert_eq!(epochs.store_epoch(), Epoch(2));
    assert!(
        !epochs.record_peer_epoch(fleet.keys[2], Epoch(9), ms(520)),
        "the store was already asked"
    );
    assert_eq!(
        epochs.orders_allowed_from(&fleet.hosts[0].others),
        ms(500) + CLAIM_HOLDER_TIMEOUT
    );
    let before = Epoch(2);
    let next = epochs.record_store_epoch(Epoch(3), ms(9_000));
    let restored = |was_told| EpochStatus::Restored { before, was_told };
    assert_eq!(next, restored(false), "the store never was in epoch 9");
    assert_eq!(epochs.restored_at(), Some(ms(9_000)));
    assert_eq!(
        epochs.record_store_epoch(Epoch(2), ms(9_100)),
        EpochStatus::Outdated
    );
}

/// Guards against calls that are cancelled although they were made after the restore: a host was told of it
/// by another one first, and then by the store.
#[test]
fn a_host_that_was_told_of_a_restore_has_repeated_its_calls() {
    for was_told in [false, true] {
        let fleet = Fleet::new(2);
        let mut epochs = EpochTracker::default();
        epochs.record_store_epoch(Epoch(2), ms(0));
        if was_told {
            assert!(epochs.record_peer_epoch(fleet.keys[1], Epoch(3), ms(500)));
        }
        let before = Epoch(2);
        assert_eq!(
            epochs.record_store_epoch(Epoch(3), ms(510)),
            EpochStatus::Restored { before, was_told }
        );
    }
}

//! Claims on changes of a primary, kept in the platform's store.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::epoch::Epoch;
use flamingopost_core::key::ServerKey;
use flamingopost_core::succession::{
    CLAIM_HOLDER_TIMEOUT, FencingToken, PROMOTION_TIMEOUT, Succession, Trouble,
};
use flamingopost_core::term::Term;
use flamingopost_daemon::task;

use super::{CLAIM_TIMEOUT, Election, in_time};
use crate::codec::Codec;
use crate::event::Event;
use crate::platform::{
    Claim, ClaimRecord, ClaimState, Claims, Error, Platform, Read, Revision, Settlement, Token,
};
use crate::service::Service;

/// How long a change of primary is remembered. This exceeds the age of the backup that a store is
/// restored from, which is a few seconds.
const CHANGE_RETENTION: Duration = Duration::from_secs(30);

/// Number of hosts, by rank, that rewrite a claim made by another host in case that host is gone.
/// More than one, since the first of them may be gone too.
const CLAIM_REWRITERS: u32 = 2;

/// Interval between two attempts to claim changes that were ordered without a claim.
const LATE_CLAIM_INTERVAL: Duration = Duration::from_secs(1);

/// Name by which hosts are ranked for recording the verification of claims.
const CLAIMS_VERIFIER: &str = "claims";

/// Pause after a failed attempt to record the verification of claims.
const VERIFICATION_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// A change of primary known to this host.
#[derive(Debug, Clone, Copy)]
pub(super) struct Change {
    at: Duration,
    own: bool,
}

/// The newest claim on a change of a service's primary.
#[derive(Debug, Clone)]
pub(super) struct NewestClaim {
    attempt: u64,
    claim: ClaimRecord,
}

impl NewestClaim {
    /// Returns the term whose primary is claimed to be replaced.
    fn term(&self) -> Term {
        Term::from_number(self.attempt.cast_signed())
    }

    /// Returns the newest term whose primary may have been replaced.
    fn newest_replaced(&self) -> Term {
        match self.claim.state {
            ClaimState::Claimed | ClaimState::Named(_) => self.term(),
            ClaimState::Settled => self.term().predecessor(),
        }
    }

    /// Returns the server that the claim names as the one to be ordered, and the term whose primary it is
    /// to replace.
    fn named(&self) -> Option<(Term, &str)> {
        match &self.claim.state {
            ClaimState::Named(successor) => Some((self.term(), successor)),
            ClaimState::Claimed | ClaimState::Settled => None,
        }
    }
}

/// Whether this host still holds a claim that it has won.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Confirmation {
    /// It does.
    Held,
    /// Another host may have taken the claim over.
    Lost,
    /// The store has not answered.
    NoAnswer,
}

impl<C: Codec, P: Platform> Election<C, P> {
    /// Returns the newest store epoch that the store itself has reported to this host.
    pub(super) fn epoch(&self) -> Epoch {
        self.fleet.with_epochs(|epochs, _| epochs.store_epoch())
    }

    /// Returns the newest store epoch reported by the store or by any other host.
    pub(super) fn newest_known_epoch(&self) -> Epoch {
        self.fleet.with_epochs(|epochs, _| epochs.newest_epoch())
    }

    /// Claims change `attempt` of the primary of `service` and continues the failover according to
    /// the outcome.
    pub(super) async fn claim(
        self: Rc<Self>,
        service: Rc<Service<C>>,
        succession: Rc<RefCell<Succession>>,
        attempt: u64,
    ) {
        let epoch = self.epoch();
        let claimed = in_time(async {
            let (claim, since) = self.claim_or_take_over(&service, attempt).await?;
            Ok((self.require_epoch(epoch, claim)?, since))
        });
        let claimed = claimed.await;
        let now = self.site.now();
        let outcome = match claimed {
            Ok((Claim::Won(token), since)) => {
                if let Some(since) = since {
                    succession.borrow_mut().record_earlier_claim(since);
                }
                self.reserve_token(token);
                self.record_own_claim(&service.name, attempt);
                let next = succession
                    .borrow_mut()
                    .claim_won(FencingToken(token.0), now);
                let view = self.view(&service, &succession);
                for next in next {
                    self.perform(&service, &succession, next, &view);
                }
                format!("won with token {}", token.0)
            }
            Ok((Claim::Held { by, .. }, _)) => {
                succession.borrow_mut().claim_lost(now);
                self.hold_unless_holder_answers(&service, &by);
                format!("held by {by}")
            }
            Err(why) => {
                let rank = self.fleet.rank(&service.name);
                succession.borrow_mut().claim_undecided(rank, now);
                format!("{why}; turn {rank}")
            }
        };
        self.site.log(&Event::Claimed {
            service: service.name.clone(),
            attempt,
            outcome,
        });
        service.failover_notify.notify_one();
    }

    /// Claims a change, or takes over the claim of a holder that has not acted on it. A holder that
    /// was killed between its claim and its order would otherwise leave the service without a
    /// primary forever. A holder that is merely slow is fenced by its lower token.
    ///
    /// The previous holder may have given its order, so requests for a leaving primary are held, unless
    /// it is this process. The server that it was about to order is preferred as the successor: an order
    /// that is still in transit then changes nothing. Returns besides since when the claim of the previous
    /// holder was known here, if it was taken over.
    pub(super) async fn claim_or_take_over(
        &self,
        service: &Service<C>,
        attempt: u64,
    ) -> Result<(Claim, Option<Duration>), Error> {
        let (name, host) = (&service.name, &self.site.host);
        let claim = self.platform.claim(name, attempt, host, None).await?;
        let Claim::Held {
            by,
            revision,
            won_at,
            state,
        } = &claim
        else {
            return Ok((claim, None));
        };
        if let ClaimState::Named(successor) = state {
            self.record_named_successor(service, attempt, successor, *won_at);
        }
        let now = self.site.now();
        let seen = self.record_claim(name, *won_at, now);
        let is_outdated = revision.epoch() != self.epoch();
        let may_act = by != host && *state != ClaimState::Settled;
        if is_outdated || may_act && now < seen + CLAIM_HOLDER_TIMEOUT {
            return Ok((claim, None));
        }
        if self.trouble(service) == Some(Trouble::Leaving) && !self.is_own_claim(by, name, attempt)
        {
            service.hold_for_unknown_order();
        }
        let over = Some(*revision);
        let taken = self.platform.claim(name, attempt, host, over).await?;
        Ok((taken, Some(seen)))
    }

    /// Records that another host holds the claim on a change of the primary of `service`, which it has won
    /// at `won_at`. Returns when this host first saw or heard of that claim.
    pub(super) fn record_claim(&self, service: &str, won_at: Revision, now: Duration) -> Duration {
        let key = (service.to_owned(), won_at);
        let mut claims = self.known_claims.borrow_mut();
        claims.retain(|_, seen| now < *seen + CHANGE_RETENTION);
        *claims.entry(key).or_insert(now)
    }

    /// Records that the claim won at `won_at` names `successor`.
    ///
    /// A claim from before the primary was last well belongs to an earlier change, which never took place,
    /// and says nothing of the present one. Guards against the order of a server that has fallen behind
    /// since, in place of one with the whole log.
    fn record_named_successor(
        &self,
        service: &Service<C>,
        attempt: u64,
        successor: &str,
        won_at: Revision,
    ) {
        let well_at = self.well_at.borrow().get(&service.name).copied();
        if well_at.is_some_and(|well_at| won_at <= well_at) {
            return;
        }
        let key = (service.name.clone(), attempt);
        let mut named = self.named_successors.borrow_mut();
        named.retain(|(other, number), _| *other != service.name || *number >= attempt);
        named.insert(key, successor.to_owned());
    }

    /// Returns the server that the claim on the present change of the primary of `service` names, as far as
    /// this host has read it.
    pub(super) fn ordered_before(&self, service: &Service<C>) -> Option<ServerKey> {
        let attempt = service.newest_term().number().unsigned_abs();
        let key = (service.name.clone(), attempt);
        let named = self.named_successors.borrow();
        service.find_server(named.get(&key)?)
    }

    /// Records that the primary of `service` is well: claims that the store has by now are not about its
    /// next failure.
    pub(super) fn record_well(&self, service: &Service<C>) {
        let Some(revision) = self.known_revision() else {
            return;
        };
        let mut well_at = self.well_at.borrow_mut();
        match well_at.get_mut(&service.name) {
            Some(known) => *known = revision.max(*known),
            None => drop(well_at.insert(service.name.clone(), revision)),
        }
    }

    /// Records in the claim that this host has won under `token` that it is about to order `successor`.
    /// Returns whether the order may be given: not if another host has taken the claim over. A store that
    /// does not answer in time leaves that to the hosts which have confirmed the end of the term.
    pub(super) async fn confirm_claim(
        &self,
        service: &Service<C>,
        attempt: u64,
        token: Token,
        successor: &str,
    ) -> Confirmation {
        let asked = self.site.now();
        let (name, host) = (&service.name, &self.site.host);
        let named = self
            .platform
            .name_successor(name, attempt, host, token, successor);
        let named = in_time(named).await;
        // After a pause of this process the claim may have been taken over since.
        let is_recent = self.site.now() < asked + CLAIM_TIMEOUT * 2;
        let is_held = match &named {
            Ok(Claim::Won(_)) => true,
            Ok(Claim::Held { by, won_at, .. }) => by == host && *won_at == token.revision(),
            Err(_) if is_recent => return Confirmation::NoAnswer,
            Err(_) => false,
        };
        match is_held && is_recent {
            true => Confirmation::Held,
            false => Confirmation::Lost,
        }
    }

    /// Returns `claim` unless the store was restored since `epoch`. In that case the claim may have
    /// been won in a history that no longer exists, and another host could win it again.
    fn require_epoch(&self, epoch: Epoch, claim: Claim) -> Result<Claim, Error> {
        let Claim::Won(token) = &claim else {
            return Ok(claim);
        };
        let won = token.revision().epoch();
        let holds = self.fleet.observe_epoch(won);
        match holds && won == epoch {
            true => Ok(claim),
            false => Err(Error::Lost("the store was restored meanwhile".to_owned())),
        }
    }

    /// Reads the claims in the store, as pairs of service and change number. Returns `None` if the
    /// store does not answer in time. A store that may lack claims tells nothing about orders given
    /// before this host started.
    pub(super) async fn read_claims(self: &Rc<Self>) -> Option<BTreeSet<(String, u64)>> {
        let read = in_time(self.platform.claims()).await.ok()?;
        self.apply_claims(read)
    }

    /// Applies the claims as read from the store, and returns the changes that may be carried out.
    pub(super) fn apply_claims(
        self: &Rc<Self>,
        read: Read<Claims>,
    ) -> Option<BTreeSet<(String, u64)>> {
        let epoch = read.revision.epoch();
        if !self.fleet.observe_epoch(epoch) {
            return None;
        }
        for unusable in &read.value.unusable {
            self.fleet.report_unusable_claim(unusable);
        }
        let are_complete = read.value.are_complete(epoch);
        let recorded = read.value.electorate.as_ref();
        self.apply_recorded(recorded);
        let formation = match recorded {
            Some(recorded) => recorded.electorate.as_ref().map(|it| it.formation),
            None => Some(0),
        };
        if let Some(formation) = formation.filter(|_| are_complete) {
            self.fleet
                .with_quorum(|it, _| it.record_formation(formation));
        }
        let is_complete = are_complete && !self.fleet.has_started_in_outage();
        let claims = read.value.changes;
        let open = claims
            .iter()
            .filter(|(_, claim)| claim.state != ClaimState::Settled);
        let changes: BTreeSet<(String, u64)> = open.map(|(change, _)| change.clone()).collect();
        if !is_complete {
            return Some(changes);
        }
        self.claims_verified_in.set(epoch);
        let mut newest: BTreeMap<String, NewestClaim> = BTreeMap::new();
        for ((service, attempt), claim) in claims {
            // The numbers of a service's changes ascend.
            newest.insert(service, NewestClaim { attempt, claim });
        }
        *self.newest_claims.borrow_mut() = Some(newest);
        self.update_all_known_orders();
        Some(changes)
    }

    /// Records that another host, connected to a majority for `in_touch`, has reported the orders
    /// it knows of. If that time is long enough, any order unknown to it has already taken effect.
    pub(super) fn peer_knows_orders(self: &Rc<Self>, in_touch: Duration) {
        if in_touch >= PROMOTION_TIMEOUT && !self.orders_known.replace(true) {
            self.update_all_known_orders();
        }
    }

    /// Forgets what is known of earlier orders, because the hosts that may have given some did not consent
    /// to the present electorate. The claims in the store are read again.
    pub(super) fn forget_prior_orders(&self) {
        self.orders_known.set(false);
        self.orders_check.set(None);
        *self.newest_claims.borrow_mut() = None;
        for service in self.fleet.services() {
            service.forget_prior_orders();
        }
    }

    /// Passes on to all services what is known of orders given before this host started.
    fn update_all_known_orders(self: &Rc<Self>) {
        for service in self.fleet.services() {
            self.update_known_orders(&service);
        }
    }

    /// Passes on to `service` what is known of orders given before this host started.
    pub(super) fn update_known_orders(self: &Rc<Self>, service: &Rc<Service<C>>) {
        if self.orders_known.get() {
            service.record_orders_known();
        } else if let Some(claims) = &*self.newest_claims.borrow() {
            let claim = claims.get(&service.name);
            if let Some((term, successor)) = claim.and_then(NewestClaim::named)
                && service.bind_to_order(term, successor)
            {
                self.watch_open_order(service);
            }
            service.record_claims(claim.map(NewestClaim::newest_replaced));
        }
    }

    /// Records in the store that no order under the open claim on the primary of `service` is carried out
    /// any more, for the reason `how`. Two hosts do, since one may be gone.
    pub(super) fn settle_claim(self: &Rc<Self>, service: &Rc<Service<C>>, how: Settlement) {
        if self.fleet.rank(&service.name) >= CLAIM_REWRITERS {
            return;
        }
        let claims = self.newest_claims.borrow();
        let newest = claims.as_ref().and_then(|it| it.get(&service.name));
        let is_open = |it: &&NewestClaim| it.newest_replaced() >= service.newest_term();
        let Some(open) = newest.filter(is_open).cloned() else {
            return;
        };
        let (election, service) = (Rc::clone(self), Rc::clone(service));
        task::spawn("claim_settlement", async move {
            let (attempt, revision) = (open.attempt, open.claim.revision);
            let (platform, host) = (&election.platform, &election.site.host);
            let settled = platform.settle_claim(&service.name, attempt, host, revision, how);
            let outcome = match in_time(settled).await {
                Ok(Claim::Won(_)) => "recorded".to_owned(),
                Ok(Claim::Held { by, .. }) => format!("{by} has changed it"),
                Err(why) => why,
            };
            election.site.log(&Event::ClaimSettled {
                service: service.name.clone(),
                attempt,
                how: how.to_string(),
                outcome,
            });
        });
    }

    /// Records that this host orders a change of the primary of `service` without a claim, because
    /// the store does not answer.
    pub(super) fn record_unclaimed_change(&self, service: &str, attempt: u64) {
        self.record_own_claim(service, attempt);
        let mut unclaimed = self.unclaimed_changes.borrow_mut();
        unclaimed.insert((service.to_owned(), attempt));
    }

    /// Claims the changes that this host ordered without a claim, once the store answers again.
    ///
    /// Guards against a replaced primary that keeps leading its term: if all hosts restart, only
    /// the claims show that it was replaced.
    pub(super) fn claim_ordered_changes(self: &Rc<Self>) {
        let now = self.site.now();
        let is_due = now >= self.late_claims_at.get() + LATE_CLAIM_INTERVAL;
        if !is_due || self.unclaimed_changes.borrow().is_empty() {
            return;
        }
        self.late_claims_at.set(now);
        for (service, attempt) in self.unclaimed_changes.borrow().iter() {
            self.rewrite_claim(service.clone(), *attempt);
        }
    }

    /// Records that this host claimed a change of the primary of `service`.
    fn record_own_claim(&self, service: &str, attempt: u64) {
        self.record_change(service, attempt, true);
    }

    /// Reports whether the claim of change `attempt` that `host` holds was won by this process, which
    /// then knows of each order under it.
    fn is_own_claim(&self, host: &str, service: &str, attempt: u64) -> bool {
        let key = (service.to_owned(), attempt);
        let changes = self.changes.borrow();
        host == self.site.host && changes.get(&key).is_some_and(|change| change.own)
    }

    /// Records that another host ordered a change of the primary of `service`.
    pub(super) fn record_peer_change(&self, service: &str, attempt: u64) {
        self.record_change(service, attempt, false);
    }

    /// Records a change of primary, and forgets those older than [`CHANGE_RETENTION`].
    fn record_change(&self, service: &str, attempt: u64, own: bool) {
        let at = self.site.now();
        let mut changes = self.changes.borrow_mut();
        changes.retain(|_, change| at < change.at + CHANGE_RETENTION);
        let key = (service.to_owned(), attempt);
        changes.entry(key).or_insert(Change { at, own });
    }

    /// Rewrites claims that a restored store may lack.
    ///
    /// Guards against a host that is partitioned together with a replaced primary. It asks the
    /// store whether that primary is being replaced, and would keep relying on it if the backup is
    /// older than the claim.
    pub(super) fn rewrite_claims(self: &Rc<Self>) {
        let epoch = self.epoch();
        let before = self.claims_checked_in.replace(epoch);
        let restored = self.fleet.with_epochs(|epochs, _| epochs.restored_at());
        if before >= epoch || restored.is_none() {
            return;
        }
        let now = self.site.now();
        for ((service, attempt), change) in self.changes.borrow().iter() {
            let writes = change.own || self.fleet.rank(service) < CLAIM_REWRITERS;
            if writes && now < change.at + CHANGE_RETENTION {
                self.rewrite_claim(service.clone(), *attempt);
            }
        }
    }

    /// Records in the store that no claim is missing, once per epoch and after the hosts that know
    /// of claims have written them again.
    ///
    /// If all hosts restart later, the store's claims tell them about earlier orders again.
    pub(super) fn record_claims_verified_if_due(self: &Rc<Self>) {
        let (epoch, now) = (self.epoch(), self.site.now());
        let is_known = self.claims_verified_in.get() >= epoch;
        if is_known || self.fleet.rank(CLAIMS_VERIFIER) >= CLAIM_REWRITERS {
            return;
        }
        let is_complete = self
            .fleet
            .with_epochs(|it, now| it.are_claims_complete(now));
        let is_claimed = self.unclaimed_changes.borrow().is_empty();
        let is_known = is_complete && is_claimed && self.has_known_orders_for(PROMOTION_TIMEOUT);
        if !is_known || !self.is_electorate_recorded_in(epoch) {
            return;
        }
        let attempted_at = self.verification_attempted_at.get();
        if attempted_at.is_some_and(|at| now < at + VERIFICATION_RETRY_INTERVAL) {
            return;
        }
        self.verification_attempted_at.set(Some(now));
        let election = Rc::clone(self);
        task::spawn("claim_verification", async move {
            let host = &election.site.host;
            let recorded = in_time(election.platform.record_claims_verified(epoch, host)).await;
            let outcome = match recorded {
                Ok(()) => {
                    election.claims_verified_in.set(epoch);
                    "recorded".to_owned()
                }
                Err(why) => why,
            };
            election.site.log(&Event::ClaimsVerified {
                epoch: epoch.0,
                outcome,
            });
        });
    }

    /// Rewrites the claim of one change, and logs whether the store lacked it.
    fn rewrite_claim(self: &Rc<Self>, service: String, attempt: u64) {
        let election = Rc::clone(self);
        task::spawn("claim", async move {
            let host = &election.site.host;
            let claim = election.platform.claim(&service, attempt, host, None);
            let claimed = in_time(claim).await;
            let change = (service.clone(), attempt);
            match claimed.is_ok() {
                true => election.unclaimed_changes.borrow_mut().remove(&change),
                false => election.unclaimed_changes.borrow_mut().insert(change),
            };
            let outcome = match claimed {
                Ok(Claim::Won(_)) => "it was missing".to_owned(),
                Ok(Claim::Held { by, .. }) => format!("held by {by}"),
                Err(why) => why,
            };
            election.site.log(&Event::ClaimRewritten {
                service,
                attempt,
                outcome,
            });
        });
    }
}

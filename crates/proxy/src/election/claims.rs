//! Claims on changes of a primary in the platform's store.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::epoch::Epoch;
use flamingopost_core::succession::{
    CLAIM_HOLDER_TIMEOUT, FencingToken, PROMOTION_TIMEOUT, Succession, Trouble,
};
use flamingopost_core::term::Term;

use super::{Election, in_time};
use crate::codec::Codec;
use crate::event::Event;
use crate::platform::{Claim, Error, Platform};
use crate::service::Service;

/// For how long a change of primary is remembered: longer than a copy of the store is old from which
/// it is restored, which is some seconds.
const REMEMBERED: Duration = Duration::from_secs(30);

/// So many hosts write the claim of a change that another one made anew, in case that one has gone:
/// more than one, since the first of them may have gone too.
const WRITERS: u32 = 2;

/// A change of primary that this host has heard of.
#[derive(Debug, Clone, Copy)]
pub(super) struct Change {
    at: Duration,
    own: bool,
}

impl<C: Codec, P: Platform> Election<C, P> {
    /// The newest epoch of the store by its own word.
    pub(super) fn epoch(&self) -> Epoch {
        self.fleet.with_epochs(|epochs, _| epochs.store_epoch())
    }

    /// The newest epoch of the store by anybody's word.
    pub(super) fn epoch_heard(&self) -> Epoch {
        self.fleet.with_epochs(|epochs, _| epochs.newest_epoch())
    }

    /// Claims change `attempt` of the primary of `service`, and goes on by how that ends.
    pub(super) async fn claim(
        self: Rc<Self>,
        service: Rc<Service<C>>,
        succession: Rc<RefCell<Succession>>,
        attempt: u64,
    ) {
        let epoch = self.epoch();
        let claimed = in_time(async {
            let claim = self.claim_or_take_over(&service, attempt).await?;
            self.in_epoch(epoch, claim)
        });
        let claimed = claimed.await;
        let now = self.site.now();
        let outcome = match claimed {
            Ok(Claim::Won(token)) => {
                self.reserve(token);
                self.claimed(&service.name, attempt);
                let next = succession
                    .borrow_mut()
                    .claim_won(FencingToken(token.0), now);
                let view = self.view(&service, &succession);
                for next in next {
                    self.act(&service, &succession, next, &view);
                }
                format!("won with token {}", token.0)
            }
            Ok(Claim::Held { by, .. }) => {
                succession.borrow_mut().claim_lost(now);
                self.hold_unless_heard(&service, &by);
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
        service.alarm.notify_one();
    }

    /// Claims a change, or takes the claim over from a holder that has not acted on it: one that
    /// was killed between its claim and its order would leave the service without a primary for
    /// good. A holder that is only slow is fenced by its lower token.
    ///
    /// Whoever held it may have ordered, so a primary that is about to leave serves no longer.
    async fn claim_or_take_over(&self, service: &Service<C>, attempt: u64) -> Result<Claim, Error> {
        let (name, host) = (&service.name, &self.site.host);
        let claim = self.platform.claim(name, attempt, host, None).await?;
        let Claim::Held { by, revision } = &claim else {
            return Ok(claim);
        };
        let now = self.site.now();
        let key = (name.clone(), *revision);
        let seen = *self.held.borrow_mut().entry(key).or_insert(now);
        let is_outdated = revision.epoch() != self.epoch();
        if is_outdated || by != host && now < seen + CLAIM_HOLDER_TIMEOUT {
            return Ok(claim);
        }
        if self.trouble(service) == Some(Trouble::Leaving) {
            service.hold_for_unheard_order();
        }
        let over = Some(*revision);
        self.platform.claim(name, attempt, host, over).await
    }

    /// `claim`, unless the store was restored since `epoch`: it may have been won in a history that is
    /// gone, and another host wins it again.
    fn in_epoch(&self, epoch: Epoch, claim: Claim) -> Result<Claim, Error> {
        let Claim::Won(token) = &claim else {
            return Ok(claim);
        };
        let won = token.revision().epoch();
        let holds = self.fleet.saw_epoch(won);
        match holds && won == epoch {
            true => Ok(claim),
            false => Err(Error::Lost("the store was restored meanwhile".to_owned())),
        }
    }

    /// The claims that the store holds: services and numbers of changes. Nothing where it does not tell in
    /// time.
    pub(super) async fn read_claims(&self) -> Option<BTreeSet<(String, u64)>> {
        let read = in_time(self.platform.claims()).await.ok()?;
        if !self.fleet.saw_epoch(read.revision.epoch()) {
            return None;
        }
        let mut newest: BTreeMap<String, Term> = BTreeMap::new();
        for (service, attempt) in &read.value {
            let term = Term::from_number(attempt.cast_signed());
            let known = newest.entry(service.clone()).or_default();
            *known = term.max(*known);
        }
        *self.claimed_terms.borrow_mut() = Some(newest);
        self.tell_all_of_orders();
        Some(read.value)
    }

    /// Another host has told which orders it knows of. It has been in touch with most others for
    /// `in_touch`; where that is long enough, any order that it has not heard of has taken effect.
    pub(super) fn told_of_orders(&self, in_touch: Duration) {
        if in_touch >= PROMOTION_TIMEOUT && !self.orders_heard.replace(true) {
            self.tell_all_of_orders();
        }
    }

    fn tell_all_of_orders(&self) {
        for service in self.fleet.services() {
            self.tell_of_orders(&service);
        }
    }

    /// Tells `service` what is known of orders that were given before this host started.
    pub(super) fn tell_of_orders(&self, service: &Service<C>) {
        if self.orders_heard.get() {
            service.told_of_orders();
        } else if let Some(claimed) = &*self.claimed_terms.borrow() {
            service.told_of_claims(claimed.get(&service.name).copied());
        }
    }

    /// A change of the primary of `service` was claimed by this host.
    fn claimed(&self, service: &str, attempt: u64) {
        self.remember(service, attempt, true);
    }

    /// Another host has ordered a change of the primary of `service`.
    pub(super) fn changed(&self, service: &str, attempt: u64) {
        self.remember(service, attempt, false);
    }

    fn remember(&self, service: &str, attempt: u64, own: bool) {
        let at = self.site.now();
        let mut changes = self.changes.borrow_mut();
        changes.retain(|_, change| at < change.at + REMEMBERED);
        let key = (service.to_owned(), attempt);
        changes.entry(key).or_insert(Change { at, own });
    }

    /// Writes claims anew that a restored store may lack.
    ///
    /// Guards against a host that is cut off together with a primary that was replaced: it asks the
    /// store whether somebody claims to replace it, and would rely on that primary where the copy is
    /// older than the claim.
    pub(super) fn rewrite_claims(self: &Rc<Self>) {
        let epoch = self.epoch();
        let before = self.claimed_in.replace(epoch);
        let restored = self.fleet.with_epochs(|epochs, _| epochs.restored_at());
        if before >= epoch || restored.is_none() {
            return;
        }
        let now = self.site.now();
        for ((service, attempt), change) in self.changes.borrow().iter() {
            let writes = change.own || self.fleet.rank(service) < WRITERS;
            if writes && now < change.at + REMEMBERED {
                self.rewrite_claim(service.clone(), *attempt);
            }
        }
    }

    fn rewrite_claim(self: &Rc<Self>, service: String, attempt: u64) {
        let election = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let host = &election.site.host;
            let claim = election.platform.claim(&service, attempt, host, None);
            let outcome = match in_time(claim).await {
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

//! Search for orders that were given before this host started, where no running host knows them.

use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::leader::Role;
use flamingopost_core::succession::{ClaimRecord, Finding, PROMOTION_TIMEOUT, UnheardOrder};
use flamingopost_daemon::task;
use tokio::time::sleep;

use super::{Election, Probe, in_time};
use crate::codec::Codec;
use crate::event::Event;
use crate::message::Status;
use crate::platform::{Claim, Platform, Promotion, Settlement, Token};
use crate::server_connection::Target;
use crate::service::{MissingEvidence, Service};

/// Interval between two rounds of questions to the other servers. Each round takes a connection and
/// a slot at each of them.
const SEARCH_INTERVAL: Duration = Duration::from_millis(500);

/// Pause after a failed attempt to order the primary. It is longer than the host that holds the
/// claim observes the effect of its order.
const ORDER_RETRY_INTERVAL: Duration = PROMOTION_TIMEOUT.saturating_add(Duration::from_secs(1));

/// Result of a search.
#[derive(Debug, Clone, Copy, displaydoc::Display)]
pub enum Outcome {
    /// was not replaced
    NotReplaced,
    /// was replaced
    Replaced,
    /// was ordered to lead and leads
    Ordered,
    /// is not the primary of that term any more
    Superseded,
}

impl<C: Codec, P: Platform> Election<C, P> {
    /// Finds out whether a successor of the primary `target`, which reports `status`, was ordered
    /// before this host started. The claims in the store tell, unless the store does not answer or
    /// may lack some. Otherwise a search is started.
    pub(super) async fn check_for_unheard_order(
        self: &Rc<Self>,
        service: &Rc<Service<C>>,
        target: &Target,
        status: &Status,
    ) {
        if self.newest_claims.borrow().is_none() {
            self.read_claims().await;
        }
        if service.missing_evidence(target.server, status) != MissingEvidence::Orders {
            return;
        }
        let Some(search) = service.start_search(target.server, status.term) else {
            return;
        };
        self.site.log(&Event::OrderUnheard {
            service: service.name.clone(),
            term: status.term.number(),
        });
        let (election, service) = (Rc::clone(self), Rc::clone(service));
        let target = target.clone();
        // Only the result of the search ends the hold.
        task::complete("order_search", move || {
            let (election, service) = (Rc::clone(&election), Rc::clone(&service));
            let target = target.clone();
            async move {
                let outcome = election.search(&service, &target, search).await;
                let lasted = election.site.now().saturating_sub(search.since());
                election.site.log(&Event::OrderSearched {
                    service: service.name.clone(),
                    term: search.term().number(),
                    outcome: outcome.to_string(),
                    millis: lasted.as_millis(),
                });
            }
        });
    }

    /// Searches until it is known whether the primary `target` was replaced.
    async fn search(
        self: &Rc<Self>,
        service: &Rc<Service<C>>,
        target: &Target,
        search: UnheardOrder,
    ) -> Outcome {
        let mut order_at = search.since();
        loop {
            sleep(SEARCH_INTERVAL).await;
            let confirmed_at = self.ask_other_servers(service).await;
            let claims = self.claim_record();
            match service.conclude_search(search, target.server, confirmed_at, claims) {
                None => return Outcome::Superseded,
                Some(Finding::NotReplaced) => {
                    if !service.is_bound() {
                        self.settle_claim(service, Settlement::NotNamed);
                    }
                    return Outcome::NotReplaced;
                }
                Some(Finding::Replaced) => return Outcome::Replaced,
                Some(Finding::Inconclusive)
                    if self.site.now() >= order_at && self.trouble(service).is_none() =>
                {
                    if self.order_present_primary(service, target, search).await {
                        service.keep_primary(search);
                        return Outcome::Ordered;
                    }
                    order_at = self.site.now() + ORDER_RETRY_INTERVAL;
                }
                Some(Finding::Pending | Finding::Inconclusive) => {}
            }
        }
    }

    /// Reports whether the store has a claim for each order that was given before this host
    /// started.
    fn claim_record(&self) -> ClaimRecord {
        match self.newest_claims.borrow().is_some() {
            true => ClaimRecord::Complete,
            false => ClaimRecord::Incomplete,
        }
    }

    /// Returns when all other servers were asked and reported that they follow in no newer term, if
    /// they did.
    async fn ask_other_servers(&self, service: &Rc<Service<C>>) -> Option<Duration> {
        let is_list_complete = self.fleet.knows_all_servers() && !self.may_list_be_copied();
        let confirmed_at = service.confirm_primary(self.site.now()).await;
        confirmed_at.filter(|_| is_list_complete)
    }

    /// Reports whether the list of servers may be that of a copy, on a host that has just started
    /// and was not told when the store was restored. It is not once the claims in the store were
    /// verified in the same epoch.
    pub(super) fn may_list_be_copied(&self) -> bool {
        let is_verified = self.claims_verified_in.get() >= self.epoch();
        let is_recent = self.fleet.with_epochs(|epochs, now| {
            epochs.restored_at().is_none() && epochs.is_epoch_recent(now)
        });
        !is_verified && is_recent
    }

    /// Orders the primary that nobody can vouch for to lead. Returns whether it leads after that: a
    /// new term if it was replaced, or else the same one.
    async fn order_present_primary(
        &self,
        service: &Rc<Service<C>>,
        target: &Target,
        search: UnheardOrder,
    ) -> bool {
        // Hosts that know of a change of this primary would tell this one.
        if !self.has_quorum() {
            return false;
        }
        let attempt = search.term().number().unsigned_abs();
        let claim = in_time(self.claim_or_take_over(service, attempt)).await;
        let Ok((Claim::Won(token), _)) = claim else {
            return false;
        };
        self.order_and_observe(service, target, search, token).await
    }

    /// Orders `target` to lead under `token`, and reports whether it leads once the order has taken
    /// effect: a term after that of `search`, or still that one after the time that an order takes.
    async fn order_and_observe(
        &self,
        service: &Rc<Service<C>>,
        target: &Target,
        search: UnheardOrder,
        token: Token,
    ) -> bool {
        let host = &self.site.host;
        let order = in_time(
            self.platform
                .promote(&service.name, &target.id, host, token),
        )
        .await;
        self.site.log(&Event::PrimaryReordered {
            service: service.name.clone(),
            server: target.id.clone(),
            token: token.0,
            outcome: format!("{order:?}"),
        });
        if order != Ok(Promotion::Accepted) {
            return false;
        }
        let effective = self.site.now() + PROMOTION_TIMEOUT;
        while self.site.now() < effective {
            sleep(SEARCH_INTERVAL).await;
            if self.leads_newer_term(service, target, search).await == Some(true) {
                return true;
            }
        }
        self.leads_newer_term(service, target, search)
            .await
            .is_some()
    }

    /// Reports whether `target` leads a term after that of `search`, or `None` if it does not lead
    /// or does not answer.
    async fn leads_newer_term(
        &self,
        service: &Rc<Service<C>>,
        target: &Target,
        search: UnheardOrder,
    ) -> Option<bool> {
        match self.query_status(service, target).await {
            Probe::Status(status) if status.role == Role::Primary => {
                Some(status.term > search.term())
            }
            Probe::Status(_) | Probe::Alive | Probe::Refused | Probe::Silent => None,
        }
    }
}

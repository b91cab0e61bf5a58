//! Orders the promotion of a server.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::key::ServerKey;
use flamingopost_core::position::Position;
use flamingopost_core::succession::{FencingToken, Order, Succession};
use flamingopost_core::term::Term;
use tokio::time::timeout;

use super::claims::Confirmation;
use super::{Election, ORDER_ANNOUNCEMENT_LEAD, ORDER_TIMEOUT, target};
use crate::codec::Codec;
use crate::event::Event;
use crate::peer::{EndedTerm, Payload};
use crate::platform::{Platform, Promotion, Token};
use crate::service::Service;

/// Longest time that an order waits until the successor of a leaving primary has received the log. One
/// that receives nothing is ordered all the same.
const RECEIPT_TIMEOUT: Duration = Duration::from_millis(500);

impl<C: Codec, P: Platform> Election<C, P> {
    /// Orders `server` to lead after the current term, and follows the order up.
    pub(super) async fn promote(
        self: Rc<Self>,
        service: Rc<Service<C>>,
        succession: Rc<RefCell<Succession>>,
        server: ServerKey,
        token: FencingToken,
    ) {
        let id = service.name_of(Some(server));
        let replaced = service.leader().and_then(|leader| target(&service, leader));
        let term = service.newest_term();
        let position = succession.borrow().successor_position(server);
        self.announce_order(&service, server, position, token);
        if succession.borrow().acts_without_claim()
            && !self.has_highest_token(&service, token).await
        {
            succession
                .borrow_mut()
                .order_finished(Order::Refused, self.site.now());
            self.site.log(&Event::TurnGivenUp {
                service: service.name.clone(),
                server: id,
                token: token.0,
            });
            return;
        }
        if succession.borrow().acts_without_claim() {
            let attempt = term.number().unsigned_abs();
            self.record_unclaimed_change(&service.name, attempt);
        }
        if let Some(replaced) = &replaced
            && let Some(successor) = target(&service, server)
            && service.handover_token() == Some(token.0)
        {
            let receipt = self.await_receipt(&service, replaced, &successor);
            let _ = timeout(RECEIPT_TIMEOUT, receipt).await;
        }
        let platform_token = Token(token.0);
        if !self
            .may_still_order(&service, &succession, term, &id, platform_token)
            .await
        {
            succession
                .borrow_mut()
                .order_finished(Order::Refused, self.site.now());
            self.site.log(&Event::ClaimLost {
                service: service.name.clone(),
                server: id,
                token: token.0,
            });
            return;
        }
        let sent = self.site.now();
        let host = &self.site.host;
        let ordered = timeout(
            ORDER_TIMEOUT,
            self.platform
                .promote(&service.name, &id, host, platform_token),
        );
        let order = match ordered.await {
            Ok(Ok(Promotion::Accepted)) => Order::Accepted,
            Ok(Ok(Promotion::Refused)) => Order::Refused,
            Ok(Err(_)) | Err(_) => Order::Unknown,
        };
        let now = self.site.now();
        succession.borrow_mut().order_finished(order, now);
        if order == Order::Accepted {
            let next = term.successor();
            let is_used = service.handover_token() == Some(token.0);
            if !is_used && let Some(replaced) = &replaced {
                self.step_down(&service, replaced, next);
            }
            if let Some(successor) = target(&service, server) {
                let used = replaced.filter(|_| is_used);
                self.await_promotion(&service, successor, term, sent, used);
            }
        }
        self.site.log(&Event::Ordered {
            service: service.name.clone(),
            server: id,
            token: token.0,
            outcome: format!("{order:?}"),
            millis: now.saturating_sub(sent).as_millis(),
        });
        service.failover_notify.notify_one();
    }

    /// Reports whether this host still holds the claim under which it is about to order the server with
    /// `id`, and names that server in it. Without an answer of the store the order may rest on the hosts
    /// that have confirmed the end of the term, if those are a majority.
    ///
    /// Guards against an order by a host that was cut off or paused after the last confirmation, and
    /// against a later order of another server beside it.
    async fn may_still_order(
        &self,
        service: &Rc<Service<C>>,
        succession: &Rc<RefCell<Succession>>,
        term: Term,
        id: &str,
        token: Token,
    ) -> bool {
        let (acts_without_claim, rests_on_claim) = {
            let succession = succession.borrow();
            (succession.acts_without_claim(), succession.rests_on_claim())
        };
        if acts_without_claim {
            return true;
        }
        let attempt = term.number().unsigned_abs();
        match self.confirm_claim(service, attempt, token, id).await {
            Confirmation::Held => true,
            Confirmation::Lost => false,
            Confirmation::NoAnswer => !rests_on_claim,
        }
    }

    /// Announces the order of `server`, unless all that it tells was just announced with the end of the
    /// term.
    fn announce_order(
        &self,
        service: &Rc<Service<C>>,
        server: ServerKey,
        position: Position,
        token: FencingToken,
    ) {
        let Some(named) = service.to_peer_server(server) else {
            return;
        };
        let (term, serves) = (service.newest_term(), service.remaining_service_time());
        let name = service.name.clone();
        let ended_term = EndedTerm::new(name, term, token.0, (named, position), serves);
        if service.end_term(&ended_term) {
            self.record_ended_term(&service.name);
        } else if !service.renew_hold(&ended_term) {
            return;
        }
        for (_, peer) in self.fleet.peers().iter() {
            let ended_term = ended_term.clone();
            let payload = Payload::PromotionStarted { ended_term };
            self.send(service, payload, peer.address);
        }
    }

    /// Reports whether no other host announces an order with a higher token at the same moment.
    ///
    /// Guards against two hosts that both reach their turn while waiting for the leases of others
    /// to expire. On a platform that carries out every order, the one with the lower token would
    /// arrive second and undo the change made by the first.
    pub(super) async fn has_highest_token(
        &self,
        service: &Rc<Service<C>>,
        token: FencingToken,
    ) -> bool {
        tokio::time::sleep(ORDER_ANNOUNCEMENT_LEAD).await;
        service.newest_order().is_none_or(|newest| newest <= token)
    }
}

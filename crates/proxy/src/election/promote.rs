//! Orders the promotion of a server.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::key::ServerKey;
use flamingopost_core::succession::{FencingToken, Order, Succession, Trouble};
use flamingopost_core::term::Term;
use tokio::time::timeout;

use super::{Election, ORDER_ANNOUNCEMENT_LEAD, ORDER_TIMEOUT, handover, target};
use crate::codec::Codec;
use crate::event::Event;
use crate::peer::{EndedTerm, Payload};
use crate::platform::{Platform, Promotion, Token};
use crate::service::Service;

impl<C: Codec, P: Platform> Election<C, P> {
    /// Announces the end of the current term to the other hosts, then orders `server` to lead.
    pub(super) async fn promote(
        self: Rc<Self>,
        service: Rc<Service<C>>,
        succession: Rc<RefCell<Succession>>,
        server: ServerKey,
        token: FencingToken,
    ) {
        let id = service.name_of(Some(server));
        let serves = match self.trouble(&service) {
            Some(Trouble::Leaving) => service.remaining_service_time(),
            _ => Duration::ZERO,
        };
        let replaced = service.leader().and_then(|leader| target(&service, leader));
        let term = service.newest_term();
        if let Some(named) = service.to_peer_server(server) {
            let successor = (named, succession.borrow().successor_position());
            let ended_term = EndedTerm::new(service.name.clone(), term, token.0, successor, serves);
            if service.end_term(&ended_term) {
                self.record_ended_term(&service.name);
            }
            for (_, peer) in self.fleet.peers().iter() {
                let ended_term = ended_term.clone();
                self.send(
                    &service,
                    Payload::PromotionStarted { ended_term },
                    peer.address,
                );
            }
        }
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
        let sent = self.site.now();
        let platform_token = Token(token.0);
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
            let next = Term::from_number(term.number() + 1);
            if let Some(replaced) = replaced {
                self.step_down(
                    &service,
                    &replaced,
                    next,
                    handover::step_down_at(sent, serves),
                );
            }
            if let Some(successor) = target(&service, server) {
                self.await_promotion(&service, successor, term, sent);
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

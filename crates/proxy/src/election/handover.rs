//! What follows an order: the successor is asked until it leads, and the primary before it is told to
//! step down.

use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::key::ServerKey;
use flamingopost_core::leader::Role;
use flamingopost_core::succession::{PROMOTION_TIMEOUT, PromotionTimer};
use flamingopost_core::term::Term;
use tokio::time::timeout;

use super::{ASK, Election, STEP};
use crate::back::{self, Back, Target};
use crate::codec::Codec;
use crate::event::Event;
use crate::message::Status;
use crate::peer::Word;
use crate::platform::Platform;
use crate::service::Service;

/// A primary that leaves is told to step down this long after the last write was sent there, so
/// that its replicas receive what it has acknowledged: half of the time that is left until the
/// earliest moment at which its successor leads.
const DELIVERY: Duration = Duration::from_millis(30);

/// How often a replaced primary is tried to be told of it: it may be cut off for a moment, and
/// notices by itself a second after it can reach its successor.
const STEP_DOWNS: u32 = 8;

/// When a primary is told to step down whose successor was ordered at `ordered`: at once, or where it
/// serves for `serves` more, [`DELIVERY`] after that.
pub(super) fn moment(ordered: Duration, serves: Duration) -> Duration {
    match serves.is_zero() {
        true => ordered,
        false => ordered + serves + DELIVERY,
    }
}

impl<C: Codec, P: Platform> Election<C, P> {
    /// Asks the server that was ordered to lead at `ordered` until it does, in a term after `term`,
    /// and tells the other hosts.
    ///
    /// The platform's list tells as well, but is away or late at times: on a day with an outage of
    /// the store, hosts found out 1.1 s after the change, and nothing was written until then.
    pub(super) fn look_for_effect(
        self: &Rc<Self>,
        service: &Rc<Service<C>>,
        successor: Target,
        term: Term,
        ordered: Duration,
    ) {
        let (election, service) = (Rc::clone(self), Rc::clone(service));
        tokio::task::spawn_local(async move {
            let mut effect = PromotionTimer::start(ordered);
            let until = ordered + PROMOTION_TIMEOUT;
            while election.site.now() < until {
                let seen = election.watch_lead(&service, &successor, term, &mut effect);
                if let Ok(led) = seen.await {
                    let took = effect.min_duration(election.site.now());
                    election.tell_of_lead(&service, successor.server, led, took);
                    return;
                }
                tokio::time::sleep(STEP).await;
            }
        });
    }

    /// Asks a server on one connection until it leads a term after `term`; `effect` is told when it
    /// did not.
    async fn watch_lead(
        &self,
        service: &Rc<Service<C>>,
        target: &Target,
        term: Term,
        effect: &mut PromotionTimer,
    ) -> Result<Term, back::Error> {
        let timed_out = |_| back::Error::Io(std::io::ErrorKind::TimedOut.into());
        let id = self.site.next_id();
        let back = timeout(ASK, Back::<C>::connect(id, target, &self.site.host)).await;
        let mut back = back.map_err(timed_out)??;
        loop {
            let asked = self.site.now();
            let status = timeout(ASK, back.status()).await;
            let status = status.map_err(timed_out)??;
            service.said(target.server, &status, asked);
            if status.role == Role::Primary && status.term > term {
                return Ok(status.term);
            }
            effect.record_replica(asked);
            tokio::time::sleep(STEP).await;
        }
    }

    fn tell_of_lead(
        &self,
        service: &Rc<Service<C>>,
        server: ServerKey,
        term: Term,
        took: Option<Duration>,
    ) {
        if let Some(took) = took {
            self.site.promoted(took);
        }
        let Some(server) = service.named(server) else {
            return;
        };
        for (_, peer) in self.fleet.peers() {
            let word = Word::Leads {
                server: server.clone(),
                term: term.number(),
                took: took.and_then(|took| u32::try_from(took.as_millis()).ok()),
            };
            self.send(service, word, peer.address);
        }
    }

    /// Tells a primary whose successor leads from `term` on, or is about to, to follow it, at `at` or
    /// as soon as it can be reached after that.
    ///
    /// Guards against hosts that have not heard of the change: on some platforms a replaced primary
    /// goes on leading its own term until it is told, and they would go on writing to it.
    pub(super) fn step_down(
        self: &Rc<Self>,
        service: &Rc<Service<C>>,
        target: &Target,
        term: Term,
        at: Duration,
    ) {
        let (election, service) = (Rc::clone(self), Rc::clone(service));
        let target = target.clone();
        tokio::task::spawn_local(async move {
            for _ in 0..STEP_DOWNS {
                let Ok(status) = election.tell_to_step_down(&target, term, at).await else {
                    tokio::time::sleep(ASK).await;
                    continue;
                };
                service.said(target.server, &status, election.site.now());
                election.site.log(&Event::SteppedDown {
                    service: service.name.clone(),
                    server: target.id.clone(),
                    term: term.number(),
                    role: status.role,
                });
                return;
            }
        });
    }

    async fn tell_to_step_down(
        &self,
        target: &Target,
        term: Term,
        at: Duration,
    ) -> Result<Status, back::Error> {
        let id = self.site.next_id();
        let timed_out = |_| back::Error::Io(std::io::ErrorKind::TimedOut.into());
        let back = timeout(ASK, Back::<C>::connect(id, target, &self.site.host)).await;
        let mut back = back.map_err(timed_out)??;
        tokio::time::sleep(at.saturating_sub(self.site.now())).await;
        let status = timeout(ASK, back.step_down(term)).await;
        status.map_err(timed_out)?
    }
}

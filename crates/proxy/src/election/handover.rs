//! Follows up on an order: polls the successor until it leads, and tells the replaced primary to
//! step down.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::key::ServerKey;
use flamingopost_core::leader::Role;
use flamingopost_core::quorum::{CLOCK_MARGIN, LEASE_DURATION};
use flamingopost_core::succession::{PROMOTION_TIMEOUT, Succession, Trouble};
use flamingopost_core::term::Term;
use flamingopost_daemon::task;
use tokio::time::timeout;

use super::{ACTIVE_STEP_INTERVAL, Election, STATUS_TIMEOUT, target};
use crate::codec::Codec;
use crate::event::Event;
use crate::message::Status;
use crate::peer::Payload;
use crate::platform::Platform;
use crate::server_connection::{self, ServerConnection, Target};
use crate::service::Service;

/// Interval between two requests to step down that a host sends to a server which reports that it leads
/// an older term. Each request takes a connection and a slot at that server.
pub(super) const REPLACEMENT_NOTICE_INTERVAL: Duration = Duration::from_millis(500);

/// How many hosts send such requests: enough that one of them reaches the server. All hosts of a large
/// fleet would take its slots.
pub(super) const NOTIFYING_HOSTS: u32 = 3;

/// Number of attempts to tell a replaced primary to step down. It may be partitioned for a moment,
/// and notices the change by itself one second after it can reach its successor.
const STEP_DOWN_ATTEMPTS: u32 = 8;

impl<C: Codec, P: Platform> Election<C, P> {
    /// Polls the server ordered to lead at `ordered` until it leads a term after `term`, then notifies
    /// the other hosts, and tells `replaced` to step down, if that was used until then.
    ///
    /// The platform's list reports the change as well, but may be late or unavailable: during a
    /// store outage, hosts learned of a change 1.1 s late, and nothing was written until then.
    pub(super) fn await_promotion(
        self: &Rc<Self>,
        service: &Rc<Service<C>>,
        successor: Target,
        term: Term,
        ordered: Duration,
        replaced: Option<Target>,
    ) {
        let (election, service) = (Rc::clone(self), Rc::clone(service));
        task::spawn("handover", async move {
            let until = ordered + PROMOTION_TIMEOUT;
            while election.site.now() < until {
                let seen = election.poll_until_leading(&service, &successor, term);
                if let Ok(led) = seen.await {
                    election.announce_lead(&service, successor.server, led);
                    if let Some(replaced) = replaced {
                        election.step_down(&service, &replaced, led);
                    }
                    return;
                }
                tokio::time::sleep(ACTIVE_STEP_INTERVAL).await;
            }
        });
    }

    /// Polls a server on one connection until it leads a term after `term`.
    async fn poll_until_leading(
        &self,
        service: &Rc<Service<C>>,
        target: &Target,
        term: Term,
    ) -> Result<Term, server_connection::Error> {
        let id = self.site.next_id();
        let back = timeout(
            STATUS_TIMEOUT,
            ServerConnection::<C>::connect(id, target, &self.site.host),
        )
        .await;
        let mut back = back??;
        loop {
            let asked = self.site.now();
            let status = timeout(STATUS_TIMEOUT, back.status()).await??;
            service.record_status(target.server, &status, asked);
            if status.role == Role::Primary && status.term > term {
                return Ok(status.term);
            }
            tokio::time::sleep(ACTIVE_STEP_INTERVAL).await;
        }
    }

    /// Notifies the other hosts that `server` leads `term`.
    pub(super) fn announce_lead(&self, service: &Rc<Service<C>>, server: ServerKey, term: Term) {
        let Some(server) = service.to_peer_server(server) else {
            return;
        };
        for (_, peer) in self.fleet.peers().iter() {
            let payload = Payload::PrimaryObserved {
                server: server.clone(),
                term: term.number(),
                took: None,
            };
            self.send(service, payload, peer.address);
        }
    }

    /// Tells a primary whose successor leads `term`, or is about to, to follow it, as soon as it is
    /// reachable.
    ///
    /// Guards against hosts that do not know of the change yet. On some platforms a replaced
    /// primary keeps leading its own term until it is told to stop, and those hosts would keep
    /// writing to it.
    pub(super) fn step_down(
        self: &Rc<Self>,
        service: &Rc<Service<C>>,
        target: &Target,
        term: Term,
    ) {
        let (election, service) = (Rc::clone(self), Rc::clone(service));
        let target = target.clone();
        task::spawn("step_down", async move {
            for _ in 0..STEP_DOWN_ATTEMPTS {
                let Ok(status) = election.send_step_down(&target, term).await else {
                    tokio::time::sleep(STATUS_TIMEOUT).await;
                    continue;
                };
                election.record_step_down(&service, &target, term, &status);
                return;
            }
        });
    }

    /// Asks the leaving primary of `service` to step down, if its end was announced for longer than a lease
    /// lasts and too few hosts have confirmed that: no host can use it then, whichever do not answer.
    pub(super) fn fence_leaving_primary(
        self: &Rc<Self>,
        service: &Rc<Service<C>>,
        succession: &Rc<RefCell<Succession>>,
    ) {
        let (announced_at, token) = match succession.borrow().closing_under() {
            Some((closing, token)) => (closing.announced_at(), token),
            None => return,
        };
        let now = self.site.now();
        let is_leaving = self.trouble(service) == Some(Trouble::Leaving);
        let replaced = service.leader().and_then(|leader| target(service, leader));
        let Some(replaced) = replaced.filter(|_| is_leaving) else {
            return;
        };
        if now < announced_at + LEASE_DURATION + CLOCK_MARGIN {
            return;
        }
        let next = service.newest_term().successor();
        self.site.log(&Event::StepDownForced {
            service: service.name.clone(),
            server: replaced.id.clone(),
        });
        let (election, service) = (Rc::clone(self), Rc::clone(service));
        let succession = Rc::clone(succession);
        task::spawn("step_down", async move {
            let Ok(status) = election.send_step_down(&replaced, next).await else {
                return;
            };
            election.record_step_down(&service, &replaced, next, &status);
            if status.role == Role::Replica {
                let now = election.site.now();
                succession.borrow_mut().record_step_down(token, now);
                service.failover_notify.notify_one();
            }
        });
    }

    /// Records the answer of `target` to the request to step down for `term`.
    fn record_step_down(
        &self,
        service: &Rc<Service<C>>,
        target: &Target,
        term: Term,
        status: &Status,
    ) {
        service.record_status(target.server, status, self.site.now());
        self.site.log(&Event::SteppedDown {
            service: service.name.clone(),
            server: target.id.clone(),
            term: term.number(),
            role: status.role,
        });
    }

    /// Tells `replaced` servers, which report that they lead an older term, to follow the primary.
    ///
    /// Guards against the loss of what the primary acknowledges meanwhile. The host that gave the order
    /// tells only the primary that it replaced. A server that was replaced earlier, or was not believed,
    /// and restarts as the primary of its term receives nothing until it notices by itself. In a run of
    /// the soak test that took more than a second, in which its successor acknowledged 29 writes and then
    /// lost its log.
    pub(super) fn notify_replaced_primaries(
        self: &Rc<Self>,
        service: &Rc<Service<C>>,
        replaced: Vec<Target>,
    ) {
        let term = service.newest_term_led();
        for target in replaced {
            let (election, service) = (Rc::clone(self), Rc::clone(service));
            task::spawn("step_down", async move {
                if let Ok(status) = election.send_step_down(&target, term).await {
                    election.record_step_down(&service, &target, term, &status);
                }
            });
        }
    }

    /// Connects to a primary and sends it the request to step down.
    async fn send_step_down(
        &self,
        target: &Target,
        term: Term,
    ) -> Result<Status, server_connection::Error> {
        let id = self.site.next_id();
        let back = timeout(
            STATUS_TIMEOUT,
            ServerConnection::<C>::connect(id, target, &self.site.host),
        )
        .await;
        let mut back = back??;
        timeout(STATUS_TIMEOUT, back.step_down(term)).await?
    }
}

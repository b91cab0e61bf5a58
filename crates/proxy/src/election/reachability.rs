//! Answers other hosts that ask whether this one reaches a server.

use std::net::SocketAddr;
use std::rc::Rc;

use flamingopost_core::key::ServerKey;
use flamingopost_daemon::task;

use super::{Election, Probe, RECENT_CONTACT, target};
use crate::codec::Codec;
use crate::peer::{Payload, Server};
use crate::platform::Platform;
use crate::service::{ResolvedServer, Service};

/// A host that asks about a server, and the server as it was named by that host.
pub(super) type Asker = (SocketAddr, Option<Server>);

impl<C: Codec, P: Platform> Election<C, P> {
    /// Answers whether this host reaches `server`, after probing it. Questions that arrive at the
    /// same time share a probe.
    pub(super) fn answer_reachability(
        self: &Rc<Self>,
        service: Rc<Service<C>>,
        server: Option<Server>,
        from: SocketAddr,
    ) {
        let meant = match &server {
            Some(server) => service.resolve_server(server),
            None => service
                .leader()
                .map_or(ResolvedServer::Unknown, ResolvedServer::Listed),
        };
        let asker = (from, server);
        let key = match meant {
            ResolvedServer::Listed(key) => key,
            // A former incarnation is over, no matter what answers at its address now.
            ResolvedServer::Former | ResolvedServer::Unknown => {
                return self.tell_reachability(&service, asker, false);
            }
            // Nothing is known about an incarnation that is not listed here yet.
            ResolvedServer::Newer => return,
        };
        let probe = self.probes.borrow_mut().ask(key, asker, self.site.now());
        let Some(probe) = probe else {
            return;
        };
        let (election, panicked) = (Rc::clone(self), Rc::clone(self));
        let query = async move {
            let reaches = election.reaches(&service, key).await;
            let askers = election.probes.borrow_mut().finish(probe);
            for asker in askers {
                election.tell_reachability(&service, asker, reaches);
            }
        };
        task::spawn_or_else("reachability_query", query, move || {
            // Nothing is known, so nobody is told anything.
            panicked.probes.borrow_mut().finish(probe);
        });
    }

    fn tell_reachability(&self, service: &Rc<Service<C>>, (to, server): Asker, reaches: bool) {
        let payload = Payload::ReachabilityReply {
            server,
            furthest: service.furthest_position().into(),
            reaches,
        };
        self.send(service, payload, to);
    }

    /// Reports whether this host reaches a server and trusts that it has the service's log.
    async fn reaches(&self, service: &Rc<Service<C>>, server: ServerKey) -> bool {
        let Some(target) = target(service, server) else {
            return false;
        };
        match self.query_status(service, &target).await {
            Probe::Status(_) => !service.is_distrusted(server),
            Probe::Alive => true,
            Probe::Refused => false,
            // A server too busy to answer a query in time may still answer statements.
            Probe::Silent => {
                let now = self.site.now();
                let contact = service.contact(server).unwrap_or_default();
                contact
                    .answer_age(now)
                    .is_some_and(|age| age < RECENT_CONTACT)
            }
        }
    }
}

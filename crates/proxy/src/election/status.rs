//! Status queries to servers.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::dispatch::ServerState;
use flamingopost_core::leader::Role;
use flamingopost_core::succession::{Report, Succession, Trouble};
use flamingopost_daemon::task;
use tokio::time::timeout;

use super::{Election, STATUS_TIMEOUT};
use crate::codec::Codec;
use crate::message::Status;
use crate::platform::Platform;
use crate::server_connection::{self, ServerConnection, Target};
use crate::service::Service;

/// Outcome of a status query to a server.
pub(super) enum Probe {
    Status(Status),
    /// The server rejected the query, so it is running.
    Alive,
    /// The server's host refused or closed the connection.
    Refused,
    Silent,
}

impl<C: Codec, P: Platform> Election<C, P> {
    /// Probes a silent primary on a separate connection. This distinguishes a slow primary from a
    /// dead one long before pending statements reach their timeout.
    pub(super) fn probe_primary(
        self: &Rc<Self>,
        service: &Rc<Service<C>>,
        target: Target,
        since: Duration,
    ) {
        let (election, service) = (Rc::clone(self), Rc::clone(service));
        task::spawn("status_query", async move {
            if let Probe::Silent = election.query_status(&service, &target).await {
                service.record_silence(target.server, since);
            }
        });
    }

    /// Queries the status of all servers. While the primary is only leaving, other leaving servers are
    /// no candidates and left out, unless the service has synchronous commits: any of them may be the
    /// only one that holds a commit.
    pub(super) fn ask_servers(
        self: &Rc<Self>,
        service: &Rc<Service<C>>,
        succession: &Rc<RefCell<Succession>>,
    ) {
        let all = self.fleet.is_synchronous(&service.name)
            || self.trouble(service) != Some(Trouble::Leaving);
        for (target, state) in service.targets() {
            if state != ServerState::Serving && !all {
                continue;
            }
            let (election, service) = (Rc::clone(self), Rc::clone(service));
            let succession = Rc::clone(succession);
            let asked = self.site.now();
            task::spawn("status_query", async move {
                let status = match election.query_status(&service, &target).await {
                    Probe::Status(status) => status,
                    Probe::Refused => {
                        succession.borrow_mut().record_refusal(target.server);
                        return;
                    }
                    Probe::Alive | Probe::Silent => return,
                };
                let report = Report {
                    role: status.role,
                    term: status.term,
                    received: status.received,
                };
                if !succession.borrow().counts_status(asked) {
                    return;
                }
                succession.borrow_mut().record_report(target.server, report);
                service.failover_notify.notify_one();
            });
        }
    }

    /// Queries the status of a server on a separate connection, because pooled connections may be
    /// stuck.
    pub(super) async fn query_status(&self, service: &Rc<Service<C>>, target: &Target) -> Probe {
        let sent = self.site.now();
        let asked = timeout(STATUS_TIMEOUT, async {
            let id = self.site.next_id();
            let mut back = ServerConnection::<C>::connect(id, target, &self.site.host).await?;
            let status = back.status().await?;
            let newest = service.newest_term();
            match status.role {
                // A replaced primary is back or reachable again.
                Role::Primary if status.term < newest => {
                    service.record_status(target.server, &status, sent);
                    back.step_down(newest).await
                }
                Role::Primary | Role::Replica => Ok(status),
            }
        });
        let error = match asked.await {
            Ok(Ok(status)) => {
                service.record_status(target.server, &status, sent);
                return Probe::Status(status);
            }
            Ok(Err(error)) => error,
            Err(elapsed) => elapsed.into(),
        };
        service.record_failure(target.server, &error, sent);
        match error {
            server_connection::Error::Io(error) if error.kind() == std::io::ErrorKind::TimedOut => {
                Probe::Silent
            }
            server_connection::Error::Io(_) => Probe::Refused,
            server_connection::Error::Codec(_) | server_connection::Error::Refused(_) => {
                Probe::Alive
            }
        }
    }
}

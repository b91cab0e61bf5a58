//! Detects a primary with an empty log. A primary that shows no write of its term is checked by its
//! own answer and by the store's record of services that were written to.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::epoch::Epoch;
use flamingopost_core::position::Position;
use flamingopost_daemon::task;
use tokio::time::{sleep, timeout};

use super::{ACTIVE_STEP_INTERVAL, CLAIM_TIMEOUT, Election, Probe, STATUS_TIMEOUT, in_time};
use crate::codec::Codec;
use crate::event::Event;
use crate::message::Status;
use crate::platform::{Platform, Recorded};
use crate::server_connection::{self, ServerConnection, Target};
use crate::service::{MissingEvidence, Service};

/// Number of times a primary is asked whether its log is empty. Its request slots may be busy.
const EMPTY_LOG_ATTEMPTS: u32 = 3;

/// Pause after a failed attempt to write a record to the store.
const RECORD_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// How long one read of the store's records serves all services. A starting host checks many
/// primaries at once.
const RECORD_CACHE_TTL: Duration = Duration::from_secs(1);

/// Services that the store records as written to, as of `read_at`.
#[derive(Debug)]
pub(super) struct WrittenServices {
    read_at: Duration,
    services: BTreeSet<String>,
}

/// What this host knows of the records in the store.
#[derive(Debug, Default)]
pub(super) struct Records {
    /// The newest store epoch in which each service's record is known to exist.
    recorded_in: BTreeMap<String, Epoch>,
    /// When this host last began to write each service's record.
    attempted_at: BTreeMap<String, Duration>,
}

impl Records {
    /// Reports whether the record of `service` should be written at `now`.
    fn is_due(&self, service: &str, epoch: Epoch, now: Duration) -> bool {
        let there = self
            .recorded_in
            .get(service)
            .is_some_and(|there| *there >= epoch);
        let tried = self.attempted_at.get(service);
        !there && tried.is_none_or(|tried| now >= *tried + RECORD_RETRY_INTERVAL)
    }
}

impl<C: Codec, P: Platform> Election<C, P> {
    /// Queries a server that is believed to be the primary and evaluates its status. If the server
    /// shows no write of its term, it is asked whether its log is empty, whatever is known of
    /// orders. Requests for a primary that is not known to have its log wait for the next attempt.
    pub(super) fn check_primary(self: &Rc<Self>, service: &Rc<Service<C>>, target: Target) {
        let (election, service) = (Rc::clone(self), Rc::clone(service));
        let (server, panicked) = (target.server, Rc::clone(&service));
        let check = async move {
            if let Probe::Status(status) = election.query_status(&service, &target).await {
                election.gather_evidence(&service, &target, &status).await;
            }
            service.finish_check(target.server);
        };
        task::spawn_or_else("empty_log_query", check, move || {
            panicked.finish_check(server);
        });
    }

    /// Gathers the evidence needed to believe a primary that reports `status`.
    async fn gather_evidence(
        self: &Rc<Self>,
        service: &Rc<Service<C>>,
        target: &Target,
        status: &Status,
    ) {
        if service.missing_evidence(target.server, status) == MissingEvidence::Orders {
            self.check_for_unheard_order(service, target, status).await;
        }
        if service.missing_log_evidence(target.server, status) == MissingEvidence::Record {
            self.read_record(service).await;
        }
        match service.missing_log_evidence(target.server, status) {
            MissingEvidence::Record | MissingEvidence::Proof => {
                self.check_log_empty(service, target, status.received).await;
            }
            // Other hosts report where a term began, if any knows.
            MissingEvidence::Nothing | MissingEvidence::Orders | MissingEvidence::TermStart => {}
        }
    }

    /// Asks a primary that shows no more than `position` whether its log is empty.
    async fn check_log_empty(&self, service: &Rc<Service<C>>, target: &Target, position: Position) {
        for _ in 0..EMPTY_LOG_ATTEMPTS {
            match timeout(STATUS_TIMEOUT, self.has_entries(target)).await {
                Ok(Ok(has_entries)) => {
                    service.record_log_check(target.server, position, has_entries);
                    return;
                }
                Ok(Err(_)) => sleep(ACTIVE_STEP_INTERVAL).await,
                Err(_) => {}
            }
        }
    }

    /// Asks a server on a separate connection whether its log has entries.
    async fn has_entries(&self, target: &Target) -> Result<bool, server_connection::Error> {
        let id = self.site.next_id();
        let mut back = ServerConnection::<C>::connect(id, target, &self.site.host).await?;
        back.has_entries().await
    }

    /// Passes on to `service` whether the store records it as written to.
    async fn read_record(&self, service: &Rc<Service<C>>) {
        // If the store does not answer, its list of servers is no newer than the last read either.
        if let Ok(Some(is_written)) = timeout(CLAIM_TIMEOUT, self.is_recorded(&service.name)).await
        {
            service.apply_store_record(is_written);
        }
    }

    /// Reports whether `service` is recorded as written to, or `None` if the store does not answer.
    /// Concurrent callers share one read.
    async fn is_recorded(&self, service: &str) -> Option<bool> {
        let now = self.site.now();
        let mut written = self.written_services.lock().await;
        let is_fresh = |it: &WrittenServices| now < it.read_at + RECORD_CACHE_TTL;
        if !written.as_ref().is_some_and(is_fresh) {
            let read_at = self.site.now();
            let services = self.platform.written_services().await.ok()?.value;
            *written = Some(WrittenServices { read_at, services });
        }
        written.as_ref().map(|it| it.services.contains(service))
    }

    /// Records once per store epoch that `service` was written to. The record is written by the
    /// host with `rank` 0 for this service.
    pub(super) fn write_record_if_due(self: &Rc<Self>, service: &Rc<Service<C>>, rank: u32) {
        if rank > 0 {
            return;
        }
        let (epoch, now) = (self.epoch(), self.site.now());
        let name = &service.name;
        let is_due = self.records.borrow().is_due(name, epoch, now);
        if !is_due || !service.has_seen_entries() {
            return;
        }
        let mut records = self.records.borrow_mut();
        records.attempted_at.insert(name.clone(), now);
        drop(records);
        let (election, name) = (Rc::clone(self), name.clone());
        task::spawn("written_record", async move {
            election.write_record(name, epoch).await
        });
    }

    /// Records in the store that `service` was written to.
    async fn write_record(&self, service: String, epoch: Epoch) {
        let host = &self.site.host;
        let recorded = in_time(self.platform.record_written(&service, host)).await;
        let outcome = match recorded {
            Ok(recorded) => {
                let mut records = self.records.borrow_mut();
                records.recorded_in.insert(service.clone(), epoch);
                match recorded {
                    Recorded::New => "it is new".to_owned(),
                    Recorded::AlreadyPresent => "it was there".to_owned(),
                }
            }
            Err(why) => why,
        };
        self.site.log(&Event::Recorded { service, outcome });
    }
}

//! Primaries that show no write of their term: whether they have a log, by their own answer and by the
//! store's record of services that were written to.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::epoch::Epoch;
use flamingopost_core::position::Position;
use tokio::time::{sleep, timeout};

use super::{ACTIVE_STEP_INTERVAL, CLAIM_TIMEOUT, Election, Probe, STATUS_TIMEOUT, in_time};
use crate::back::{self, Back, Target};
use crate::codec::Codec;
use crate::event::Event;
use crate::message::Status;
use crate::platform::{Platform, Recorded};
use crate::service::{Missing, Service};

/// So many times a primary is asked whether its log is empty; its slots may be busy.
const EMPTY_LOG_ATTEMPTS: u32 = 3;

/// Pause after a record that the store has not taken.
const RECORD_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// For how long what was read of the records serves all services: a host that starts checks many
/// primaries at once.
const RECORD_CACHE_TTL: Duration = Duration::from_secs(1);

/// Services that are recorded as written to.
#[derive(Debug)]
pub(super) struct WrittenServices {
    read_at: Duration,
    services: BTreeSet<String>,
}

/// What this host knows of the records in the store.
#[derive(Debug, Default)]
pub(super) struct Records {
    /// By service: the epoch of the store in which its record is there.
    recorded_in: BTreeMap<String, Epoch>,
    /// By service: when this host last began to write it.
    attempted_at: BTreeMap<String, Duration>,
}

impl Records {
    /// Whether the record of `service` is to be written at `now`, as far as is known.
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
    /// Asks a server that is believed to lead what it is; its answer is weighed as it comes. Where it
    /// shows no write of its term, this goes on until it is known whether its log is empty.
    pub(super) fn check_primary(self: &Rc<Self>, service: &Rc<Service<C>>, target: Target) {
        let (election, service) = (Rc::clone(self), Rc::clone(service));
        tokio::task::spawn_local(async move {
            let Probe::Status(status) = election.query_status(&service, &target).await else {
                return;
            };
            if service.missing(target.server, &status) == Missing::Orders {
                election
                    .check_for_unheard_order(&service, &target, &status)
                    .await;
                return;
            }
            if service.missing(target.server, &status) == Missing::Record {
                election.read_record(&service).await;
            }
            if service.missing(target.server, &status) == Missing::Proof {
                election
                    .check_log_empty(&service, &target, status.received)
                    .await;
            }
        });
    }

    /// Finds out by the claims in the store whether the successor of a primary may be ordered already.
    async fn check_for_unheard_order(
        &self,
        service: &Rc<Service<C>>,
        target: &Target,
        status: &Status,
    ) {
        let is_read = self.claimed_terms.borrow().is_some();
        if !is_read && self.read_claims().await.is_none() {
            return;
        }
        if service.missing(target.server, status) == Missing::Orders {
            service.hold_for_unheard_order();
            self.site.log(&Event::OrderUnheard {
                service: service.name.clone(),
                term: status.term.number(),
            });
        }
    }

    /// Asks whether the log of a primary that shows no more than `position` is empty.
    async fn check_log_empty(&self, service: &Rc<Service<C>>, target: &Target, position: Position) {
        for _ in 0..EMPTY_LOG_ATTEMPTS {
            match timeout(STATUS_TIMEOUT, self.has_entries(target)).await {
                Ok(Ok(has_entries)) => {
                    service.proved(target.server, position, has_entries);
                    return;
                }
                Ok(Err(_)) => sleep(ACTIVE_STEP_INTERVAL).await,
                Err(_) => {}
            }
        }
    }

    async fn has_entries(&self, target: &Target) -> Result<bool, back::Error> {
        let id = self.site.next_id();
        let mut back = Back::<C>::connect(id, target, &self.site.host).await?;
        back.has_entries().await
    }

    async fn read_record(&self, service: &Rc<Service<C>>) {
        // Where the store does not tell, what it knows of the servers is no newer either.
        if let Ok(Some(is_written)) = timeout(CLAIM_TIMEOUT, self.is_recorded(&service.name)).await
        {
            service.recorded(is_written);
        }
    }

    /// Whether `service` is recorded as written to; nothing where the store does not tell. All that ask
    /// at the same time wait for one answer.
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

    /// Records that something was written to `service`, once for each epoch of the store. The host that
    /// comes first in the service's order does that: the one of `rank` 0.
    pub(super) fn write_record_if_due(self: &Rc<Self>, service: &Rc<Service<C>>, rank: u32) {
        if rank > 0 {
            return;
        }
        let (epoch, now) = (self.epoch(), self.site.now());
        let name = &service.name;
        let is_due = self.records.borrow().is_due(name, epoch, now);
        if !is_due || !service.is_seen() {
            return;
        }
        let mut records = self.records.borrow_mut();
        records.attempted_at.insert(name.clone(), now);
        drop(records);
        let (election, name) = (Rc::clone(self), name.clone());
        tokio::task::spawn_local(async move { election.write_record(name, epoch).await });
    }

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

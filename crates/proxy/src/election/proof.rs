//! Primaries that show no write of their term: whether they have a log, by their own answer and by the
//! store's record of services that were written to.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::epoch::Epoch;
use flamingopost_core::position::Position;
use tokio::time::{sleep, timeout};

use super::{ASK, CLAIM, Election, Probe, STEP, in_time};
use crate::codec::Codec;
use crate::event::Event;
use crate::message::Status;
use crate::platform::{Platform, Recorded};
use crate::server_connection::{self, ServerConnection, Target};
use crate::service::{MissingEvidence, Service};

/// So many times a primary is asked whether its log is empty; its slots may be busy.
const QUESTIONS: u32 = 3;

/// Pause after a record that the store has not taken.
const RECORD_PAUSE: Duration = Duration::from_secs(1);

/// For how long what was read of the records serves all services: a host that starts checks many
/// primaries at once.
const RECORD_AGE: Duration = Duration::from_secs(1);

/// Services that are recorded as written to.
#[derive(Debug)]
pub(super) struct Written {
    asked: Duration,
    services: BTreeSet<String>,
}

/// What this host knows of the records in the store.
#[derive(Debug, Default)]
pub(super) struct Records {
    /// By service: the epoch of the store in which its record is there.
    there: BTreeMap<String, Epoch>,
    /// By service: when this host last began to write it.
    tried: BTreeMap<String, Duration>,
}

impl Records {
    /// Whether the record of `service` is to be written at `now`, as far as is known.
    fn is_due(&self, service: &str, epoch: Epoch, now: Duration) -> bool {
        let there = self.there.get(service).is_some_and(|there| *there >= epoch);
        let tried = self.tried.get(service);
        !there && tried.is_none_or(|tried| now >= *tried + RECORD_PAUSE)
    }
}

impl<C: Codec, P: Platform> Election<C, P> {
    /// Asks a server that is believed to lead what it is; its answer is weighed as it comes. Where it
    /// shows no write of its term, this goes on until it is known whether its log is empty.
    pub(super) fn check(self: &Rc<Self>, service: &Rc<Service<C>>, target: Target) {
        let (election, service) = (Rc::clone(self), Rc::clone(service));
        tokio::task::spawn_local(async move {
            let Probe::Status(status) = election.ask(&service, &target).await else {
                return;
            };
            if service.missing_evidence(target.server, &status) == MissingEvidence::Orders {
                election.find_order(&service, &target, &status).await;
                return;
            }
            if service.missing_evidence(target.server, &status) == MissingEvidence::Record {
                election.read_record(&service).await;
            }
            if service.missing_evidence(target.server, &status) == MissingEvidence::Proof {
                election.prove(&service, &target, status.received).await;
            }
        });
    }

    /// Finds out by the claims in the store whether the successor of a primary may be ordered already.
    async fn find_order(&self, service: &Rc<Service<C>>, target: &Target, status: &Status) {
        let is_read = self.claimed_terms.borrow().is_some();
        if !is_read && self.read_claims().await.is_none() {
            return;
        }
        if service.missing_evidence(target.server, status) == MissingEvidence::Orders {
            service.hold_for_unknown_order();
            self.site.log(&Event::OrderUnheard {
                service: service.name.clone(),
                term: status.term.number(),
            });
        }
    }

    /// Asks whether the log of a primary that shows no more than `position` is empty.
    async fn prove(&self, service: &Rc<Service<C>>, target: &Target, position: Position) {
        for _ in 0..QUESTIONS {
            match timeout(ASK, self.has_entries(target)).await {
                Ok(Ok(has_entries)) => {
                    service.record_log_check(target.server, position, has_entries);
                    return;
                }
                Ok(Err(_)) => sleep(STEP).await,
                Err(_) => {}
            }
        }
    }

    async fn has_entries(&self, target: &Target) -> Result<bool, server_connection::Error> {
        let id = self.site.next_id();
        let mut back = ServerConnection::<C>::connect(id, target, &self.site.host).await?;
        back.has_entries().await
    }

    async fn read_record(&self, service: &Rc<Service<C>>) {
        // Where the store does not tell, what it knows of the servers is no newer either.
        if let Ok(Some(is_written)) = timeout(CLAIM, self.is_recorded(&service.name)).await {
            service.apply_store_record(is_written);
        }
    }

    /// Whether `service` is recorded as written to; nothing where the store does not tell. All that ask
    /// at the same time wait for one answer.
    async fn is_recorded(&self, service: &str) -> Option<bool> {
        let now = self.site.now();
        let mut written = self.written.lock().await;
        let is_fresh = |it: &Written| now < it.asked + RECORD_AGE;
        if !written.as_ref().is_some_and(is_fresh) {
            let asked = self.site.now();
            let services = self.platform.written_services().await.ok()?.value;
            *written = Some(Written { asked, services });
        }
        written.as_ref().map(|it| it.services.contains(service))
    }

    /// Records that something was written to `service`, once for each epoch of the store. The host that
    /// comes first in the service's order does that: the one of `rank` 0.
    pub(super) fn keep_record(self: &Rc<Self>, service: &Rc<Service<C>>, rank: u32) {
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
        records.tried.insert(name.clone(), now);
        drop(records);
        let (election, name) = (Rc::clone(self), name.clone());
        tokio::task::spawn_local(async move { election.record(name, epoch).await });
    }

    async fn record(&self, service: String, epoch: Epoch) {
        let host = &self.site.host;
        let recorded = in_time(self.platform.record_written(&service, host)).await;
        let outcome = match recorded {
            Ok(recorded) => {
                let mut records = self.records.borrow_mut();
                records.there.insert(service.clone(), epoch);
                match recorded {
                    Recorded::New => "it is new".to_owned(),
                    Recorded::Before => "it was there".to_owned(),
                }
            }
            Err(why) => why,
        };
        self.site.log(&Event::Recorded { service, outcome });
    }
}

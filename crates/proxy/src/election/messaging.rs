//! Messages between this host and the other entry hosts.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::quorum::{HEARTBEAT_INTERVAL, STORE_RENEWAL_INTERVAL};

use super::Election;
use crate::codec::Codec;
use crate::event::Event;
use crate::peer::{EndedTerm, Message, Payload, Sample, micros};
use crate::platform::Platform;
use crate::service::Service;

/// How long hosts repeat the notification of a change of primary. Datagrams are lost, and a host
/// that received none of them for this long has lost its lease as well.
pub(super) const PROPAGATION_WINDOW: Duration = Duration::from_millis(1_000);

/// Maximum number of changes in one message, which has to fit into a datagram. The remaining ones
/// follow in later messages, when earlier changes have expired.
const MAX_ENDED_TERMS: usize = 12;

/// Maximum number of services whose samples one message requests or contains, which has to fit into
/// a datagram.
const MAX_SAMPLES: usize = 16;

impl<C: Codec, P: Platform> Election<C, P> {
    /// Sends heartbeats to the other hosts, forever.
    pub async fn send_heartbeats(self: Rc<Self>) {
        let mut interval = tokio::time::interval(HEARTBEAT_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            // A host that has just started has no quorum until its first heartbeat is
            // acknowledged, and refuses writes until then.
            tokio::select! {
                _ = interval.tick() => {}
                () = self.fleet.contact_due.notified() => {}
            }
            self.fleet.check_feeds();
            let now = self.site.now();
            let has_quorum = self.has_quorum();
            self.rewrite_claims();
            self.claim_ordered_changes();
            self.record_claims_verified_if_due();
            let beat = self.heartbeat(now);
            let needs_logs = self.needs_log_reports(has_quorum, now);
            let reports_no_shares = self.reports_no_shares(now);
            for (_, peer) in self.fleet.electors().iter() {
                self.send_message(String::new(), beat.clone(), peer.address);
                if needs_logs {
                    self.send_message(String::new(), Payload::LogQuery, peer.address);
                }
                if reports_no_shares {
                    self.send_message(String::new(), Payload::NoShares, peer.address);
                }
            }
            if !has_quorum {
                self.check_claims_in_store();
            }
        }
    }

    /// Reports whether this host is in contact with a majority of hosts.
    pub(super) fn has_quorum(&self) -> bool {
        self.fleet
            .with_quorum(|quorum, now| quorum.holds_lease(now))
    }

    /// Builds a heartbeat of this host at `now`.
    pub(super) fn heartbeat(&self, now: Duration) -> Payload {
        Payload::Heartbeat {
            sent: micros(now),
            out_of_touch: self.quorum_age_ms(now),
            epoch: self.newest_known_epoch().0,
            sample_requests: self.sample_requests(),
            ended_terms: self.recent_ended_terms(PROPAGATION_WINDOW),
        }
    }

    /// Returns for how many milliseconds this host may have missed notifications, because it was
    /// not in contact with a majority.
    fn quorum_age_ms(&self, now: Duration) -> u32 {
        let has_quorum = self.has_quorum();
        self.log_lease_change(has_quorum, now);
        if has_quorum {
            self.last_quorum_at.set(Some(now));
        }
        let since = self.last_quorum_at.get().map(|at| now.saturating_sub(at));
        let millis = since.and_then(|since| u32::try_from(since.as_millis()).ok());
        millis.unwrap_or(u32::MAX)
    }

    /// Returns for how many milliseconds this host has been in contact with a majority without a
    /// break, or 0 if it does not know itself which orders were given before.
    pub(super) fn quorum_held_ms(&self) -> u32 {
        let millis = self.quorum_held().as_millis();
        u32::try_from(millis).unwrap_or(u32::MAX)
    }

    /// Reports whether this host has known for `time` which orders were given.
    pub(super) fn has_known_orders_for(&self, time: Duration) -> bool {
        self.quorum_held() >= time
    }

    fn quorum_held(&self) -> Duration {
        let (holds, since) = self.lease_state.get();
        match holds && self.has_quorum() && self.knows_prior_orders() {
            true => self.site.now().saturating_sub(since),
            false => Duration::ZERO,
        }
    }

    /// Reports whether this host knows for each service whether its primary was replaced before this
    /// host started.
    fn knows_prior_orders(&self) -> bool {
        let services = self.fleet.services();
        !services.is_empty() && services.iter().all(|it| it.knows_prior_orders())
    }

    /// Logs that this host has lost or regained its lease.
    fn log_lease_change(&self, holds: bool, now: Duration) {
        let (held_before, since) = self.lease_state.get();
        if held_before == holds {
            return;
        }
        self.lease_state.set((holds, now));
        let (heard, hosts) = self
            .fleet
            .with_quorum(|quorum, now| (quorum.recently_heard(now).len(), quorum.host_count()));
        self.site.log(&Event::Lease {
            outcome: if holds { "back" } else { "lost" },
            millis: now.saturating_sub(since).as_millis(),
            heard,
            hosts,
        });
    }

    /// Returns the services whose reads wait for a sample of the primary's replication position.
    fn sample_requests(&self) -> Vec<String> {
        let services = self.fleet.services();
        let lacking = services.iter().filter(|service| service.lacks_sample.get());
        let names = lacking.map(|service| service.name.clone());
        names.take(MAX_SAMPLES).collect()
    }

    /// Returns this host's newest samples of the primaries of `services`.
    pub(super) fn samples(&self, services: &[String]) -> Vec<Sample> {
        let sample = |name: &String| {
            let (position, age) = self.fleet.find_service(name)?.newest_sample()?;
            Some(Sample {
                service: name.clone(),
                position: position.into(),
                age: u32::try_from(age.as_millis() + 1).ok()?,
            })
        };
        services
            .iter()
            .take(MAX_SAMPLES)
            .filter_map(sample)
            .collect()
    }

    /// Records samples from a host that answered the message sent at `sent`. A sample's age counts
    /// back from the answer, which came no earlier than `sent`, so the primary was queried no
    /// earlier than that age before `sent`.
    pub(super) fn apply_samples(&self, samples: &[Sample], sent: Duration) {
        let sent = sent.min(self.site.now());
        for sample in samples {
            if let Some(service) = self.fleet.find_service(&sample.service) {
                let age = Duration::from_millis(u64::from(sample.age));
                service.record_peer_sample(sample.position.into(), sent.saturating_sub(age));
            }
        }
    }

    /// Returns the changes of primaries that this host has learned of within `age`.
    ///
    /// An order is announced to each host by a single datagram, which may be lost or miss a host
    /// that is partitioned. So the messages that keep a lease alive carry the change as well.
    pub(super) fn recent_ended_terms(&self, age: Duration) -> Vec<EndedTerm> {
        let services = self.fleet.services();
        let ended = services
            .iter()
            .filter_map(|service| service.recent_replacement(age));
        ended.take(MAX_ENDED_TERMS).collect()
    }

    /// Records that another host reports a primary as replaced.
    pub(super) fn apply_ended_term(&self, host: &str, ended: &EndedTerm) {
        let Some(service) = self.fleet.find_service(&ended.service) else {
            return;
        };
        if !service.end_term(ended) {
            return;
        }
        self.record_peer_change(&service.name, ended.term().number().unsigned_abs());
        self.site.log(&Event::OtherActs {
            service: service.name.clone(),
            host: host.to_owned(),
        });
        if let Some(succession) = self.services.borrow().get(&service.name) {
            succession.borrow_mut().defer_to_peer(self.site.now());
        }
    }

    /// Asks the store which primaries are being replaced. While most hosts are silent, only the
    /// store can show that this host is not the partitioned one.
    fn check_claims_in_store(self: &Rc<Self>) {
        let now = self.site.now();
        let read_at = self.claims_read_at.get();
        let is_recent = read_at.is_some_and(|at| now < at + STORE_RENEWAL_INTERVAL);
        if is_recent || self.is_reading_claims.replace(true) {
            return;
        }
        let election = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let sent = election.site.now();
            let claims = election.read_claims().await;
            election.is_reading_claims.set(false);
            let Some(claims) = claims else {
                return;
            };
            // A restored store may lack a claim that is being acted on, for good if no host that
            // made one has run since.
            let fleet = &election.fleet;
            let is_verified = election.claims_verified_in.get() >= election.epoch();
            let is_complete = fleet.with_epochs(|epochs, now| {
                epochs.are_claims_complete(now) && (is_verified || epochs.restored_at().is_some())
            });
            if !is_complete {
                return;
            }
            let mut is_every_lease_extended = true;
            for service in election.fleet.services() {
                let attempt = service.newest_term().number().unsigned_abs();
                match claims.contains(&(service.name.clone(), attempt)) {
                    true => is_every_lease_extended = false,
                    false => service.record_no_claims(sent),
                }
            }
            if is_every_lease_extended {
                election.claims_read_at.set(Some(sent));
            }
        });
    }

    /// Notifies the hosts that may have more than one connection to each server of those to which
    /// this host lacks connections.
    pub(super) fn send_shortages(&self, service: &Rc<Service<C>>) {
        let short = service.take_connection_shortages();
        for server in short
            .into_iter()
            .filter_map(|it| service.to_peer_server(it))
        {
            for address in self.fleet.connection_holders(&service.name).iter() {
                let server = server.clone();
                self.send(service, Payload::ConnectionShortage { server }, *address);
            }
        }
    }

    /// Sends a message about `service`.
    pub(super) fn send(&self, service: &Rc<Service<C>>, payload: Payload, to: SocketAddr) {
        self.send_message(service.name.clone(), payload, to);
    }

    /// Sends a message about the service named `service`, or about none if the name is empty.
    pub(super) fn send_message(&self, service: String, payload: Payload, to: SocketAddr) {
        let host = self.site.host.clone();
        let message = Message {
            host,
            service,
            payload,
        };
        self.socket.send(&message, to);
    }
}

//! Messages between this host and the other entry hosts.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::quorum::{HEARTBEAT_INTERVAL, STORE_RENEWAL_INTERVAL};
use flamingopost_daemon::task;

use super::Election;
use crate::codec::Codec;
use crate::event::Event;
use crate::meter;
use crate::peer::{ELECTORATE_PROTOCOL, Message, PAGED_PROTOCOL, Payload, Sample, micros, pages};
use crate::platform::{Peer, Platform};
use crate::service::Service;

/// How long hosts repeat the notification of a change of primary. Datagrams are lost, and a host
/// that received none of them for this long has lost its lease as well.
pub(super) const PROPAGATION_WINDOW: Duration = Duration::from_millis(1_000);

/// Maximum number of services whose samples one message requests or contains, which has to fit into
/// a datagram.
const MAX_SAMPLES: usize = 16;

/// Interval between two heartbeats while this process is not caught up with the electorate.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time for which a host that has just started is not ready because there is no electorate yet.
const FORMING_TIME: Duration = Duration::from_secs(1);

/// Longest time for which it is not because no majority has answered it yet: several round trips between
/// zones.
const CONTACT_TIME: Duration = Duration::from_millis(150);

/// Interval between two checks whether all prior orders are known, while they are not.
const ORDERS_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Result of asking all services whether their prior orders are known.
#[derive(Debug, Clone, Copy)]
pub(super) struct OrdersCheck {
    /// Number of changes of primaries, and of services, at that time.
    state: (u64, usize),
    at: Duration,
    known: bool,
}

/// Messages of the same meaning for hosts of different builds.
pub(super) struct Versions {
    /// For hosts that announce no version of their messages.
    pub former: Vec<Payload>,
    /// For hosts of an earlier build that name their processes.
    pub paged: Vec<Payload>,
    /// For hosts of this build.
    pub current: Vec<Payload>,
}

impl Versions {
    /// Returns the messages that `peer` understands.
    fn to(&self, peer: &Peer) -> &[Payload] {
        match peer.protocol {
            ELECTORATE_PROTOCOL.. => &self.current,
            PAGED_PROTOCOL.. => &self.paged,
            _ => &self.former,
        }
    }
}

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
                () = tokio::time::sleep(CATCH_UP_INTERVAL), if self.is_catching_up() => {}
            }
            self.fleet.check_feeds();
            let now = self.site.now();
            let has_quorum = self.has_quorum();
            self.rewrite_claims();
            self.claim_ordered_changes();
            self.record_claims_verified_if_due();
            self.drive_electorate();
            let beats = self.heartbeats(now);
            let log_queries = self.log_queries(has_quorum, now);
            let reports_no_shares = self.reports_no_shares(now);
            self.report_duties();
            for (_, peer) in self.fleet.electors().iter() {
                let messages = beats.to(peer).iter().chain(log_queries.to(peer));
                for message in messages.chain(reports_no_shares.then_some(&Payload::NoShares)) {
                    self.send_message(String::new(), message.clone(), peer.address);
                }
            }
            if !has_quorum && self.has_known_hosts_for(HEARTBEAT_INTERVAL) {
                self.check_claims_in_store();
            }
        }
    }

    /// Reports the duties of this host as metrics.
    fn report_duties(&self) {
        let is_elector = self.fleet.with_quorum(|quorum, _| quorum.is_elector());
        let services = self.fleet.services();
        let followed: Vec<_> = services.iter().filter(|it| it.is_followed()).collect();
        let served = followed.iter().filter(|it| self.fleet.serves(&it.name));
        meter::duties(is_elector, followed.len(), served.count());
    }

    /// Sends a heartbeat to `peer` at `now`, besides those sent at intervals.
    pub(super) fn send_heartbeat(&self, peer: &Peer, now: Duration) {
        for message in self.heartbeats(now).to(peer) {
            self.send_message(String::new(), message.clone(), peer.address);
        }
    }

    /// Reports whether this host has just started and is not in contact with a majority yet. Callers are
    /// served better by another host for that moment.
    pub fn is_starting(&self) -> bool {
        let is_new = self.last_quorum_at.get().is_none() && !self.has_quorum();
        let time = match self.fleet.electorate() {
            Some(_) => CONTACT_TIME,
            None => FORMING_TIME,
        };
        is_new && !self.has_known_hosts_for(time)
    }

    /// Reports whether this host has known the other hosts for `time`. Before that, nothing is served,
    /// and the electors have not had the time to answer.
    pub(super) fn has_known_hosts_for(&self, time: Duration) -> bool {
        let now = self.site.now();
        if self.hosts_known_since.get().is_none() && self.fleet.knows_hosts() {
            self.hosts_known_since.set(Some(now));
        }
        let since = self.hosts_known_since.get();
        since.is_some_and(|since| now >= since + time)
    }

    /// Reports whether this host is in contact with a majority of hosts.
    pub(super) fn has_quorum(&self) -> bool {
        self.fleet
            .with_quorum(|quorum, now| quorum.holds_lease(now))
    }

    /// Builds a heartbeat of this host at `now`, and the messages that precede it.
    fn heartbeats(&self, now: Duration) -> Versions {
        let (sent, epoch) = (micros(now), self.newest_known_epoch().0);
        let out_of_touch = self.quorum_age_ms(now);
        let sample_requests = self.sample_requests();
        let mut pages = pages(self.recent_ended_terms(PROPAGATION_WINDOW));
        let ended_terms = match pages.is_empty() {
            true => Vec::new(),
            false => pages.remove(0),
        };
        let former = Payload::Heartbeat {
            sent,
            out_of_touch,
            epoch,
            sample_requests: sample_requests.clone(),
            ended_terms: ended_terms.clone(),
        };
        let more = pages
            .into_iter()
            .map(|ended_terms| Payload::EndedTerms { ended_terms });
        let mut paged: Vec<Payload> = more.collect();
        let mut current = paged.clone();
        current.push(Payload::ElectorHeartbeat {
            process: self.process,
            sent,
            out_of_touch,
            epoch,
            sample_requests: sample_requests.clone(),
            ended_terms: ended_terms.clone(),
            standing: self.standing(),
        });
        paged.push(Payload::ProcessHeartbeat {
            process: self.process,
            sent,
            out_of_touch,
            epoch,
            sample_requests,
            ended_terms,
        });
        Versions {
            former: vec![former],
            paged,
            current,
        }
    }

    /// Returns for how many milliseconds this host may have missed notifications, because it was
    /// not in contact with a majority. Until most others have answered, that is since ever: hosts that
    /// start together would otherwise wait for each other.
    pub(super) fn quorum_age_ms(&self, now: Duration) -> u32 {
        let has_quorum = self.has_quorum();
        self.log_lease_change(has_quorum, now);
        if has_quorum {
            self.last_quorum_at.set(Some(now));
        }
        let last = self
            .last_quorum_at
            .get()
            .filter(|_| self.fleet.with_quorum(|it, _| it.is_caught_up()));
        let since = last.map(|at| now.saturating_sub(at));
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
    ///
    /// Each acknowledgement of a heartbeat reports it, so the services are only asked again after a
    /// change, or after [`ORDERS_CHECK_INTERVAL`] while the answer is no.
    fn knows_prior_orders(&self) -> bool {
        let now = self.site.now();
        let state = (self.site.primary_changes(), self.fleet.service_count());
        let last = self.orders_check.get();
        if let Some(last) = last.filter(|it| it.state == state)
            && (last.known || now < last.at + ORDERS_CHECK_INTERVAL)
        {
            return last.known;
        }
        let services = self.fleet.services();
        let known = !services.is_empty() && services.iter().all(|it| it.knows_prior_orders());
        let at = now;
        self.orders_check
            .set(Some(OrdersCheck { state, at, known }));
        known
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
        let (standing, renewed) = self
            .fleet
            .with_quorum(|quorum, now| (quorum.standing(), quorum.renewal_age(now)));
        self.site.log(&Event::Lease {
            outcome: if holds { "back" } else { "lost" },
            millis: now.saturating_sub(since).as_millis(),
            heard,
            hosts,
            electorate: standing.number.to_string(),
            renewed: renewed.map(|age| age.as_millis()),
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

    /// Asks the store which primaries are being replaced. While most hosts are silent, only the
    /// store can show that this host is not the partitioned one.
    fn check_claims_in_store(self: &Rc<Self>) {
        let now = self.site.now();
        let read_at = self.claims_read_at.get();
        let is_recent = read_at.is_some_and(|at| now < at + STORE_RENEWAL_INTERVAL);
        if is_recent || self.is_reading_claims.replace(true) {
            return;
        }
        let (election, panicked) = (Rc::clone(self), Rc::clone(self));
        let read = async move {
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
        };
        task::spawn_or_else("claim_read", read, move || {
            panicked.is_reading_claims.set(false);
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

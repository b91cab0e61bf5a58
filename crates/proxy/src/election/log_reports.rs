//! How far the logs of services reach, as hosts report it to each other.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::Election;
use super::messaging::{PROPAGATION_WINDOW, Versions};
use crate::codec::Codec;
use crate::peer::{LedTerm, LogReport, Payload};
use crate::platform::Platform;
use crate::service::{ResolvedServer, Service};

/// Maximum number of log reports in one message, which has to fit into a datagram.
const MAX_LOG_REPORTS: usize = 8;

/// Maximum number of services that one message asks for, which has to fit into a datagram.
const MAX_QUERIED_SERVICES: usize = 16;

impl<C: Codec, P: Platform> Election<C, P> {
    /// Reports whether this host has to ask the others how far logs reach, because it may have
    /// missed that.
    ///
    /// Guards against a primary that restarted without its log, on a host that has just started or
    /// was partitioned. Such a host does not know what the primary lacks: one wrote to it for 350
    /// ms while other hosts did not trust it, and the acknowledged writes were rolled back.
    fn needs_log_reports(&self, has_quorum: bool, now: Duration) -> bool {
        if self.servers_known_since.get().is_none() && self.fleet.is_known() {
            self.servers_known_since.set(Some(now));
        }
        let is_new = self
            .servers_known_since
            .get()
            .is_none_or(|known| now < known + PROPAGATION_WINDOW);
        let (_, since) = self.lease_state.get();
        is_new || !has_quorum || now < since + PROPAGATION_WINDOW
    }

    /// Returns the messages that ask how far logs reach, if this host may have missed that.
    ///
    /// It asks for the services that it follows. Reports of all services to each host that starts
    /// would take the electors more than a second if half of a large fleet starts at once.
    pub(super) fn log_queries(&self, has_quorum: bool, now: Duration) -> Versions {
        let needs_all = self.needs_log_reports(has_quorum, now);
        let services = self.fleet.services();
        let asked = services.iter().filter(|service| {
            let is_new = service
                .followed_for()
                .is_some_and(|it| it < PROPAGATION_WINDOW);
            is_new || needs_all && service.is_followed()
        });
        let names: Vec<String> = asked.map(|service| service.name.clone()).collect();
        let queries = names.chunks(MAX_QUERIED_SERVICES).map(|names| {
            let services = names.to_vec();
            Payload::ServiceLogQuery { services }
        });
        let current: Vec<Payload> = queries.collect();
        Versions {
            former: needs_all.then_some(Payload::LogQuery).into_iter().collect(),
            paged: current.clone(),
            current,
        }
    }

    /// Sends `to` how far this host has seen the logs of `services` reach.
    pub(super) fn send_logs(&self, services: &[Rc<Service<C>>], to: SocketAddr) {
        // A host that knows from the store alone that there were writes may have found a primary
        // empty.
        let logs = services.iter().filter(|service| {
            service.has_seen_entries() || service.is_written() && !service.distrusted().is_empty()
        });
        let logs: Vec<LogReport> = logs
            .map(|service| LogReport {
                service: service.name.clone(),
                furthest: service.furthest_position().into(),
                term_start: service.newest_term_start(),
                doubted: service.distrusted_servers(),
                led: self.led_terms(service),
            })
            .collect();
        for logs in logs.chunks(MAX_LOG_REPORTS) {
            let logs = logs.to_vec();
            self.send_message(String::new(), Payload::LogReply { logs }, to);
        }
    }

    /// Returns the servers of `service` that were seen to lead, with their terms.
    pub(super) fn led_terms(&self, service: &Rc<Service<C>>) -> Vec<LedTerm> {
        let services = self.services.borrow();
        let Some(succession) = services.get(&service.name) else {
            return Vec::new();
        };
        let succession = succession.borrow();
        let led = succession.known_leaders().iter();
        led.filter_map(|(server, term)| Some(LedTerm::new(service.to_peer_server(*server)?, *term)))
            .collect()
    }

    /// Records the terms that another host has seen servers of `service` lead.
    pub(super) fn apply_led_terms(&self, service: &Rc<Service<C>>, led: &[LedTerm]) {
        let services = self.services.borrow();
        let Some(succession) = services.get(&service.name) else {
            return;
        };
        for it in led {
            if let ResolvedServer::Listed(server) = service.resolve_server(&it.server) {
                succession.borrow_mut().record_leader(server, it.term());
            }
        }
    }

    /// Records how far another host has seen logs reach.
    pub(super) fn apply_logs(&self, logs: &[LogReport]) {
        for log in logs {
            if let Some(service) = self.fleet.find_service(&log.service) {
                service.record_peer_position(log.furthest.into());
                // A report without a position is sent only if there were writes.
                service.apply_store_record(true);
                log.term_start
                    .iter()
                    .for_each(|it| service.record_term_start(it));
                log.doubted
                    .iter()
                    .for_each(|it| service.record_peer_distrust(it));
                self.apply_led_terms(&service, &log.led);
            }
        }
    }
}

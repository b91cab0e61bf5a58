//! The task that runs the failover of one service.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::succession::{NextStep, PAUSE_THRESHOLD, Succession};
use tokio::time::timeout;

use super::handover::{NOTIFYING_HOSTS, REPLACEMENT_NOTICE_INTERVAL};
use super::pace::{FREQUENT_HOSTS, Pace};
use super::{ACTIVE_STEP_INTERVAL, Election, STATUS_TIMEOUT};
use crate::codec::Codec;
use crate::platform::Platform;
use crate::service::Service;

impl<C: Codec, P: Platform> Election<C, P> {
    /// Starts a task for each service that does not have one yet.
    pub fn start_new_services(self: &Rc<Self>) {
        for service in self.fleet.services() {
            if self.services.borrow().contains_key(&service.name) {
                continue;
            }
            let mut succession = Succession::default();
            if let Some(reserved_token) = *self.reserved_token.borrow() {
                succession.reserve_token(reserved_token);
            }
            let succession = Rc::new(RefCell::new(succession));
            let mut services = self.services.borrow_mut();
            services.insert(service.name.clone(), Rc::clone(&succession));
            drop(services);
            let election = Rc::clone(self);
            tokio::task::spawn_local(
                async move { election.run_service(service, succession).await },
            );
        }
    }

    /// Runs the failover of one service, forever: observes it, advances its state machine, and
    /// performs the resulting actions.
    async fn run_service(
        self: Rc<Self>,
        service: Rc<Service<C>>,
        succession: Rc<RefCell<Succession>>,
    ) {
        let mut last_search = Duration::ZERO;
        let mut last_probe = Duration::ZERO;
        let mut last_shortage_report = Duration::ZERO;
        let mut last_notice = Duration::ZERO;
        let mut last_step = self.site.now();
        let mut epoch = self.newest_known_epoch();
        self.update_known_orders(&service);
        loop {
            let now = self.site.now();
            if now >= last_step + PAUSE_THRESHOLD {
                succession.borrow_mut().resume_after_pause(now);
            }
            last_step = now;
            let before = std::mem::replace(&mut epoch, self.newest_known_epoch());
            if before < epoch {
                succession.borrow_mut().invalidate_claim(now);
            }
            let view = self.view(&service, &succession);
            let pace = self.pace(&service);
            let pause = if view.trouble.is_some() {
                ACTIVE_STEP_INTERVAL
            } else {
                pace.idle_step
            };
            if now >= last_shortage_report + pace.shortage_report {
                last_shortage_report = now;
                self.send_shortages(&service);
            }
            if let Some((target, since)) = service.overdue_statement()
                && now >= last_probe + STATUS_TIMEOUT
            {
                last_probe = now;
                self.probe_primary(&service, target, since);
            }
            if !self.fleet.serves(&service.name) {
                service.end_unserved_check_hold();
            } else if let Some(target) = service.take_due_check() {
                self.check_primary(&service, target);
            }
            self.write_record_if_due(&service, view.rank);
            if view.leader.is_none() && now >= last_search + pace.search {
                last_search = now;
                self.ask_servers(&service, &succession);
            }
            if view.rank < NOTIFYING_HOSTS
                && now >= last_notice + REPLACEMENT_NOTICE_INTERVAL
                && let replaced = service.replaced_primaries()
                && !replaced.is_empty()
            {
                last_notice = now;
                self.notify_replaced_primaries(&service, replaced);
            }
            let answered = succession.borrow().answered_hosts();
            let next = succession.borrow_mut().step(&view, now);
            for next in next {
                if let NextStep::Promote { server, .. } = next {
                    self.log_order_basis(&service, server, &answered);
                }
                self.perform(&service, &succession, next, &view);
            }
            // A change of the service's state ends the pause early.
            let _ = timeout(pause, service.failover_notify.notified()).await;
        }
    }

    /// Returns how often this host does the periodic work for `service`.
    fn pace(&self, service: &Service<C>) -> Pace {
        let is_involved = self.fleet.serves(&service.name)
            || service.has_requests()
            || self.fleet.rank(&service.name) < FREQUENT_HOSTS;
        match is_involved {
            true => Pace::INVOLVED,
            false => Pace::BYSTANDER,
        }
    }
}

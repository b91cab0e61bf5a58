//! The task that runs the failover of one service.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::succession::{NextStep, PAUSE_THRESHOLD, Succession};
use flamingopost_daemon::task;
use tokio::time::timeout;

use super::handover::{NOTIFYING_HOSTS, REPLACEMENT_NOTICE_INTERVAL};
use super::{ACTIVE_STEP_INTERVAL, Election, STATUS_TIMEOUT};
use crate::codec::Codec;
use crate::platform::{Platform, Settlement};
use crate::service::Service;

/// Interval between two steps of the state machine while the primary is healthy.
const IDLE_STEP_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two status queries to all servers while the service has no primary.
const SEARCH_INTERVAL: Duration = Duration::from_millis(120);

/// Interval between two checks whether a leaving primary has to be asked to step down.
const FENCE_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between two connection shortage reports. Each report is in effect for one second.
const SHORTAGE_REPORT_INTERVAL: Duration = Duration::from_millis(200);

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
            self.apply_kept_term(&service.name);
            let election = Rc::clone(self);
            let last_step = Rc::new(Cell::new(self.site.now()));
            task::keep("service", move || {
                let (service, succession) = (Rc::clone(&service), Rc::clone(&succession));
                Rc::clone(&election).run_service(service, succession, Rc::clone(&last_step))
            });
        }
    }

    /// Runs the failover of one service, forever: observes it, advances its state machine, and
    /// performs the resulting actions. A step counts as late by the time since `last_step`, also where an
    /// earlier task made that.
    async fn run_service(
        self: Rc<Self>,
        service: Rc<Service<C>>,
        succession: Rc<RefCell<Succession>>,
        last_step: Rc<Cell<Duration>>,
    ) {
        let mut last_search = Duration::ZERO;
        let mut last_probe = Duration::ZERO;
        let mut last_shortage_report = Duration::ZERO;
        let mut last_notice = Duration::ZERO;
        let mut last_closing = Duration::ZERO;
        let mut last_fence = Duration::ZERO;
        let mut epoch = self.newest_known_epoch();
        self.update_known_orders(&service);
        loop {
            let has_waited = self.wait_until_followed(&service, &succession).await;
            let now = self.site.now();
            if !has_waited && now >= last_step.get() + PAUSE_THRESHOLD {
                succession.borrow_mut().resume_after_pause(now);
            }
            last_step.set(now);
            let before = std::mem::replace(&mut epoch, self.newest_known_epoch());
            if before < epoch {
                succession.borrow_mut().invalidate_claim(now);
            }
            let view = self.view(&service, &succession);
            if view.trouble.is_none() && view.leader.is_some() {
                self.record_well(&service);
            }
            if service.take_expired_binding() {
                self.settle_claim(&service, Settlement::NotCarriedOut);
            }
            let ends_term = succession.borrow().closing().is_some();
            let pause = if view.trouble.is_some() || ends_term {
                ACTIVE_STEP_INTERVAL
            } else {
                IDLE_STEP_INTERVAL
            };
            if ends_term && now >= last_closing + ACTIVE_STEP_INTERVAL {
                last_closing = now;
                self.repeat_closing(&service, &succession);
            }
            if ends_term && view.leases_end == Duration::MAX && now >= last_fence + FENCE_INTERVAL {
                last_fence = now;
                self.fence_leaving_primary(&service, &succession);
            }
            if now >= last_shortage_report + SHORTAGE_REPORT_INTERVAL {
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
            if view.leader.is_none() && now >= last_search + SEARCH_INTERVAL {
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
            let closing = succession.borrow().closing().cloned();
            let next = succession.borrow_mut().step(&view, now);
            for next in next {
                if let (NextStep::Promote { server, .. }, Some(closing)) = (next, &closing) {
                    let ground = succession.borrow().ground();
                    self.log_order_basis(&service, server, closing, ground);
                }
                self.perform(&service, &succession, next, &view);
            }
            // A change of the service's state ends the pause early.
            let _ = timeout(pause, service.failover_notify.notified()).await;
        }
    }

    /// Waits for as long as this host does not follow `service` and no change of its primary is
    /// pending here. Returns whether it had to wait.
    ///
    /// Guards against work that grows with the number of services on every host: with 1,000
    /// services, steps and searches of hosts that neither serve nor decide took most of a small
    /// host's processor, and their searches filled the servers.
    async fn wait_until_followed(
        &self,
        service: &Service<C>,
        succession: &RefCell<Succession>,
    ) -> bool {
        let mut has_waited = false;
        while !self.fleet.follows(&service.name)
            && !service.is_in_use()
            && succession.borrow_mut().suspend()
        {
            service.wait_until_needed().await;
            has_waited = true;
        }
        if service.set_followed() {
            // The electors are asked how far its log reaches.
            self.fleet.contact_due.notify_one();
        }
        has_waited
    }
}

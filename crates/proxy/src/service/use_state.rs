//! Whether a service is in use on this host, and what has to run for it.

use std::cell::Cell;
use std::time::Duration;

use flamingopost_core::dispatch::Allotment;

use super::{Service, State};
use crate::codec::Codec;

/// How long a service counts as in use after a request for it.
const USE_RETENTION: Duration = Duration::from_secs(5);

/// Interval between two ticks of a service that waits for nothing. It is ticked at every occasion
/// again from the next request or change of its primary on.
const QUIET_TICK_INTERVAL: Duration = Duration::from_secs(1);

/// When a service was last used, and when it has to be ticked next.
#[derive(Debug, Default)]
pub(super) struct UseState {
    last_request_at: Cell<Option<Duration>>,
    next_tick_at: Cell<Duration>,
    /// Whether the task of the service waits until the host follows it.
    is_task_waiting: Cell<bool>,
    /// Since when this host has followed the service, if it does.
    followed_since: Cell<Option<Duration>>,
}

impl<C: Codec> Service<C> {
    /// Reports whether this host has requests for the service, or had some a moment ago.
    pub fn is_in_use(&self) -> bool {
        let now = self.site.now();
        let last = self.usage.last_request_at.get();
        last.is_some_and(|at| now < at + USE_RETENTION) || self.has_requests()
    }

    /// Reports whether this host follows the service.
    pub fn is_followed(&self) -> bool {
        self.usage.followed_since.get().is_some()
    }

    /// Returns for how long this host has followed the service, if it does.
    pub fn followed_for(&self) -> Option<Duration> {
        let now = self.site.now();
        let since = self.usage.followed_since.get();
        since.map(|since| now.saturating_sub(since))
    }

    /// Records that this host follows the service from now on. Returns whether that is new.
    pub fn set_followed(&self) -> bool {
        let is_new = !self.is_followed();
        if is_new {
            self.usage.followed_since.set(Some(self.site.now()));
        }
        is_new
    }

    /// Waits until something has happened to the service that may require this host to follow it.
    pub async fn wait_until_needed(&self) {
        self.usage.followed_since.set(None);
        self.usage.is_task_waiting.set(true);
        self.failover_notify.notified().await;
        self.usage.is_task_waiting.set(false);
    }

    /// Ends [`Service::wait_until_needed`], because this host has to follow the service.
    pub fn start_following(&self) {
        if self.usage.is_task_waiting.get() {
            self.failover_notify.notify_one();
        }
    }

    /// Records a request for the service.
    pub(super) fn record_use(&self, now: Duration) {
        self.usage.last_request_at.set(Some(now));
        self.require_tick();
        self.start_following();
    }

    /// Lets the next tick of the host include this service.
    pub(super) fn require_tick(&self) {
        self.usage.next_tick_at.set(Duration::ZERO);
    }

    /// Reports whether the service has to be ticked at `now`.
    pub(super) fn is_tick_due(&self, now: Duration) -> bool {
        now >= self.usage.next_tick_at.get()
    }

    /// Sets when the service has to be ticked next, after a tick at `now`.
    pub(super) fn schedule_tick(&self, now: Duration) {
        let next = match self.state.borrow().is_quiet() {
            true => now + QUIET_TICK_INTERVAL,
            false => now,
        };
        self.usage.next_tick_at.set(next);
    }
}

impl<C: Codec> State<C> {
    /// Reports whether nothing here depends on the passage of time.
    fn is_quiet(&self) -> bool {
        let is_connected =
            !self.idle.is_empty() || self.servers.values().any(|it| !it.outstanding.is_empty());
        let is_held = self.check_hold.is_some()
            || self.successor_hold.is_some()
            || self.unheard_order.is_some();
        !is_connected
            && !is_held
            && self.waiters.is_empty()
            && self.allotment == Allotment::NOT_SERVING
    }
}

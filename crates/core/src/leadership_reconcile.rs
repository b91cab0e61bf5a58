//! How a controller reacts to the state of servers, hosts and the configuration.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Lead;
use crate::key::{ServerKey, ServiceKey};
use crate::leadership::{Action, Group, Leaving};
use crate::promotion::{Reason, Status};
use crate::suspicion::Reachability;
use crate::term::Term;
use crate::timing;
use crate::view::State;

impl Lead {
    /// Compares the servers' statuses with the row, and starts the promotions that are needed.
    pub(super) fn reconcile(
        &mut self,
        groups: &BTreeMap<ServiceKey, Group>,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        if self
            .last_status_query
            .is_none_or(|asked| now >= asked + timing::STATUS_INTERVAL)
        {
            self.last_status_query = Some(now);
            self.suspicion.expire(now);
            let servers = groups.values().flat_map(|group| group.servers.keys());
            actions.extend(servers.map(|server| Action::QueryStatus(*server)));
        }
        for (key, group) in groups {
            if !self.view.services.contains_key(key) {
                self.adopt_service(*key, group, now);
                self.advance_view();
            }
            match self.service_state(*key) {
                Some(State::Open { term, primary }) => {
                    self.reconcile_open(*key, group, term, primary, now, actions);
                }
                _ => continue,
            }
        }
    }

    fn reconcile_open(
        &mut self,
        key: ServiceKey,
        group: &Group,
        term: Term,
        primary: ServerKey,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let unreachable = self.suspicion.reachability(primary, now) == Reachability::Unreachable;
        let dead = unreachable && self.suspicion.has_cooled_down(key, now);
        if let Some(running) = self.promotions.get_mut(&key) {
            if dead {
                running.promotion.on_primary_unreachable();
            }
            return;
        }
        if dead {
            self.suspicion.record_promotion(key, now);
            self.begin_promotion(key, group, Reason::Unreachable, now);
        } else if self.has_rival(group, term, primary) {
            self.begin_promotion(key, group, Reason::Rival, now);
        } else if self.is_leaving(group, primary) && self.has_replacement(group, primary) {
            self.begin_promotion(key, group, Reason::Leaving, now);
        } else {
            self.order_followers(group, term, primary, actions);
        }
    }

    /// Reports whether a server knows a greater term than the row, or the primary does not lead the
    /// row's term.
    fn has_rival(&self, group: &Group, term: Term, primary: ServerKey) -> bool {
        group.servers.keys().any(|server| {
            let Some(status) = self.statuses.get(server) else {
                return false;
            };
            let leads = status.leads && status.term == term;
            // A term of a later epoch belongs to a successor, which this process will learn of from
            // the table.
            let ours = status.term.epoch <= self.authority.epoch();
            ours && (status.term > term || (*server == primary && !leads))
        })
    }

    pub(super) fn is_leaving(&self, group: &Group, server: ServerKey) -> bool {
        let stays = group.servers.get(&server) == Some(&Leaving::No);
        !stays || self.leaving_servers.contains(&server)
    }

    /// Reports whether another server has reported its status and is not leaving.
    fn has_replacement(&self, group: &Group, primary: ServerKey) -> bool {
        let mut others = group.servers.keys().filter(|server| **server != primary);
        others.any(|s| !self.is_leaving(group, *s) && self.statuses.contains_key(s))
    }

    /// Orders servers that are behind the row's term, or still lead one, to follow the primary.
    fn order_followers(
        &mut self,
        group: &Group,
        term: Term,
        primary: ServerKey,
        actions: &mut Vec<Action>,
    ) {
        for server in group.servers.keys().filter(|server| **server != primary) {
            let behind = |status: &Status| status.term < term || status.leads;
            if self.statuses.get(server).is_some_and(behind) {
                // Ordered again only after the next status, so that one order at a time is in
                // progress.
                self.statuses.remove(server);
                actions.push(Action::Follow {
                    server: *server,
                    primary,
                    term,
                });
            }
        }
    }

    /// Updates the view's lists of leaving servers, and drops services that are not configured.
    pub(super) fn refresh_leaving(&mut self, groups: &BTreeMap<ServiceKey, Group>) {
        let mut changed = false;
        for (key, group) in groups {
            let leaving = group.servers.keys().filter(|s| self.is_leaving(group, **s));
            let leaving: BTreeSet<ServerKey> = leaving.copied().collect();
            if let Some(shown) = self.view.services.get_mut(key)
                && shown.leaving != leaving
            {
                shown.leaving = leaving;
                changed = true;
            }
        }
        // The row keeps services that are no longer configured. Otherwise a controller with an
        // outdated configuration would forget a service's terms and recorded losses.
        let before = self.view.services.len();
        self.view.services.retain(|key, _| groups.contains_key(key));
        self.promotions.retain(|key, _| groups.contains_key(key));
        if changed || before != self.view.services.len() {
            self.advance_view();
        }
    }
}

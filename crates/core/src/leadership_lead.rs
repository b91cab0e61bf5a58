#[path = "leadership_promote.rs"]
mod promote;
#[path = "leadership_reconcile.rs"]
mod reconcile;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{Action, Group, Note, Renewal, Reply};
use crate::authority::{Released, ShardAuthority};
use crate::key::{HostKey, ServerKey, ServiceKey};
use crate::lease::{Instance, Ledger};
use crate::position::Position;
use crate::promotion::{OrderOutcome, Promotion, Reason, Status};
use crate::row::Service;
use crate::suspicion::FailureDetector;
use crate::term::Term;
use crate::timing;
use crate::view::{self, State, Version};

/// State of a process while it is the controller of a shard.
#[derive(Debug)]
pub(super) struct Lead {
    pub(super) authority: ShardAuthority,
    pub(super) suspicion: FailureDetector,
    phase: Phase,
    view: view::Shard,
    /// Whether `view` has changed since it was last published.
    view_changed: bool,
    promotions: BTreeMap<ServiceKey, RunningPromotion>,
    statuses: BTreeMap<ServerKey, Status>,
    /// Servers whose last status said that they are leaving.
    leaving_servers: BTreeSet<ServerKey>,
    /// When each service's newest term was opened. Statuses requested earlier are ignored.
    opened_at: BTreeMap<ServiceKey, Duration>,
    /// The position that each open service's primary last reported.
    primary_positions: BTreeMap<ServiceKey, PrimaryPosition>,
    last_status_query: Option<Duration>,
    /// Whether the claim has been logged.
    claim_announced: bool,
    last_write_sent: Option<Duration>,
    notes: Vec<Note>,
}

#[derive(Debug)]
enum Phase {
    /// Asking the hosts and servers that may know of promotions that the row does not show.
    Survey {
        /// When the survey began.
        since: Duration,
        /// When the hosts and servers were last asked.
        asked: Option<Duration>,
        /// Hosts that have not answered the release request.
        unreleased: BTreeSet<HostKey>,
        /// Servers that have reported their status.
        answered: BTreeSet<ServerKey>,
        /// The epoch of the replaced authority.
        replaced_epoch: u32,
        /// Whether this process, or a host that has answered, is a witness of that epoch.
        witnessed: bool,
    },
    /// The survey is complete and leases are granted.
    Settled,
}

#[derive(Debug)]
struct RunningPromotion {
    promotion: Promotion,
    started: Duration,
    /// Version of the view that closes the term, once there is one.
    closing_version: Option<Version>,
}

/// The end of a primary's log, as reported by the primary.
#[derive(Debug, Clone, Copy)]
struct PrimaryPosition {
    /// When the status query was sent.
    sent: Duration,
    position: Position,
}

impl Lead {
    pub(super) fn new(
        authority: ShardAuthority,
        replaced_epoch: u32,
        witnessed: bool,
        now: Duration,
    ) -> Lead {
        let version = Version {
            epoch: authority.epoch(),
            change: 0,
        };
        Lead {
            phase: Phase::Survey {
                since: now,
                asked: None,
                unreleased: authority.possible_witnesses(),
                answered: BTreeSet::new(),
                replaced_epoch,
                witnessed,
            },
            authority,
            suspicion: FailureDetector::default(),
            view: view::Shard {
                version,
                services: BTreeMap::new(),
            },
            view_changed: false,
            promotions: BTreeMap::new(),
            statuses: BTreeMap::new(),
            leaving_servers: BTreeSet::new(),
            opened_at: BTreeMap::new(),
            primary_positions: BTreeMap::new(),
            last_status_query: None,
            claim_announced: false,
            last_write_sent: None,
            notes: Vec::new(),
        }
    }

    pub(super) fn is_leading(&self, now: Duration) -> bool {
        matches!(self.phase, Phase::Settled) && self.authority.may_act(now)
    }

    pub(super) fn view(&self) -> &view::Shard {
        &self.view
    }

    pub(super) fn step(
        &mut self,
        groups: &BTreeMap<ServiceKey, Group>,
        candidates: &[HostKey],
        ledger: &Ledger,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        self.note_claim(actions);
        self.survey(groups, now, actions);
        if self.is_leading(now) {
            self.reconcile(groups, now, actions);
            self.step_promotions(ledger, now, actions);
            self.refresh_leaving(groups);
            self.publish_view(ledger, now, actions);
        }
        self.maintain_row(groups, candidates, now, actions);
        actions.extend(self.notes.drain(..).map(Action::Note));
    }

    pub(super) fn on_released(&mut self, host: HostKey, released: &Released, now: Duration) {
        if let Phase::Survey {
            unreleased,
            replaced_epoch,
            witnessed,
            ..
        } = &mut self.phase
        {
            unreleased.remove(&host);
            *witnessed |= released.witnessed_epoch == *replaced_epoch;
            self.authority.on_released(host, released, now);
        }
    }

    pub(super) fn on_renewal(
        &mut self,
        renewal: &Renewal,
        ledger: &mut Ledger,
        now: Duration,
    ) -> Reply {
        let host = renewal.holder.host;
        self.suspicion.record_host(host, renewal.zone, now);
        for (server, report) in &renewal.reports {
            self.suspicion.add_report(host, *server, *report, now);
        }
        if renewal.stopping {
            ledger.end(renewal.holder, now);
        }
        let ahead = renewal.version > Some(self.view.version);
        if !self.is_leading(now) || ahead {
            return Reply::Refused {
                controller: Some(self.authority.row().controller),
            };
        }
        let valid = match renewal.stopping {
            true => Duration::ZERO,
            false => self.authority.max_lease(now),
        };
        if !valid.is_zero() {
            ledger.grant(renewal.holder, valid, now);
        }
        let newer = renewal.version < Some(self.view.version);
        Reply::Granted {
            version: self.view.version,
            valid,
            view: newer.then(|| self.view.clone()),
        }
    }

    pub(super) fn on_closed(
        &mut self,
        holder: Instance,
        version: Version,
        acknowledged: &BTreeMap<ServiceKey, Position>,
    ) {
        for (key, running) in &mut self.promotions {
            // An answer to an earlier revocation does not count for this one.
            if running
                .closing_version
                .is_some_and(|closing| version >= closing)
            {
                let position = acknowledged.get(key).copied();
                running.promotion.on_closed(holder, position);
            }
        }
    }

    pub(super) fn on_status(
        &mut self,
        groups: &BTreeMap<ServiceKey, Group>,
        server: ServerKey,
        sent: Duration,
        status: Option<Status>,
    ) {
        let service = groups.iter().find(|(_, g)| g.servers.contains_key(&server));
        let Some((key, _)) = service else {
            return;
        };
        if self.opened_at.get(key).is_some_and(|opened| sent < *opened) {
            return;
        }
        let key = *key;
        match status {
            Some(status) => self.record_status(key, server, sent, status),
            None => {
                self.statuses.remove(&server);
            }
        }
        if let Some(running) = self.promotions.get_mut(&key) {
            running.promotion.on_status(server, status);
        }
    }

    pub(super) fn on_promoted(
        &mut self,
        server: ServerKey,
        term: Term,
        order: OrderOutcome,
        now: Duration,
    ) {
        for running in self.promotions.values_mut() {
            running.promotion.on_promoted(server, term, order, now);
        }
    }

    pub(super) fn switch_over(
        &mut self,
        groups: &BTreeMap<ServiceKey, Group>,
        key: ServiceKey,
        now: Duration,
    ) {
        if let Some(group) = groups.get(&key)
            && self.is_leading(now)
            && matches!(self.service_state(key), Some(State::Open { .. }))
            && !self.promotions.contains_key(&key)
        {
            self.begin_promotion(key, group, Reason::Leaving, now);
        }
    }

    /// Records a server's status, and the position if the server is the primary of the open term.
    fn record_status(
        &mut self,
        key: ServiceKey,
        server: ServerKey,
        sent: Duration,
        status: Status,
    ) {
        self.statuses.insert(server, status);
        if let Phase::Survey { answered, .. } = &mut self.phase {
            answered.insert(server);
        }
        if let Some(State::Open { term, primary }) = self.service_state(key)
            && (primary, term, true) == (server, status.term, status.leads)
        {
            let position = status.position;
            let written = self
                .primary_positions
                .entry(key)
                .or_insert(PrimaryPosition { sent, position });
            if sent >= written.sent {
                *written = PrimaryPosition { sent, position };
            }
        }
        match status.leaving {
            true => self.leaving_servers.insert(server),
            false => self.leaving_servers.remove(&server),
        };
    }

    fn note_claim(&mut self, actions: &mut Vec<Action>) {
        if !self.claim_announced {
            self.claim_announced = true;
            let epoch = self.authority.epoch();
            actions.push(Action::Note(Note::Claimed { epoch }));
        }
    }

    /// Before the first lease, asks every host and server that may know of a promotion that the row
    /// does not show. Such a promotion may have been made while the table was unavailable.
    fn survey(
        &mut self,
        groups: &BTreeMap<ServiceKey, Group>,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let epoch = self.authority.epoch();
        let Phase::Survey {
            since,
            asked,
            unreleased,
            answered,
            witnessed,
            ..
        } = &mut self.phase
        else {
            return;
        };
        if asked.is_none_or(|asked| now >= asked + timing::RESEND_INTERVAL) {
            *asked = Some(now);
            let release = |host: &HostKey| Action::Release { host: *host, epoch };
            actions.extend(unreleased.iter().map(release));
            let servers = groups.values().flat_map(|group| group.servers.keys());
            let unanswered = servers.filter(|server| !answered.contains(server));
            actions.extend(unanswered.map(|server| Action::QueryStatus(*server)));
        }
        let servers = groups.values().flat_map(|group| group.servers.keys());
        let all_servers = servers.into_iter().all(|server| answered.contains(server));
        let gathered = unreleased.is_empty() || now >= *since + timing::GATHER_TIMEOUT;
        // If no witness is left, a server that does not answer may lead a term that was opened
        // during an outage of the table. Its writes would be lost in favor of the row's primary.
        let timed_out = now >= *since + timing::UNKNOWN_HISTORY_WAIT;
        let witness_answered = *witnessed && now >= *since + timing::GATHER_TIMEOUT;
        let surveyed = (all_servers && gathered) || witness_answered || timed_out;
        let committed = self.authority.committed_revision() >= self.authority.row().revision;
        if surveyed && committed && self.authority.may_act(now) {
            self.phase = Phase::Settled;
            self.notes.push(Note::Settled { epoch });
            self.build_first_view(groups, now);
        }
    }

    /// Builds the first view from the row and starts promotions of services that are not open.
    fn build_first_view(&mut self, groups: &BTreeMap<ServiceKey, Group>, now: Duration) {
        for (key, group) in groups {
            self.adopt_service(*key, group, now);
        }
        self.advance_view();
    }

    /// Adds a service to the view, and starts a promotion if it is new or its term is closed.
    fn adopt_service(&mut self, key: ServiceKey, group: &Group, now: Duration) {
        let service = self.authority.row().services.get(&key).cloned();
        let reason = match &service {
            None => Some(Reason::Created(group.first_primary)),
            Some(service) => match service.state {
                State::Open { .. } => None,
                State::Closed { .. } if service.primary.is_none() => {
                    Some(Reason::Created(group.first_primary))
                }
                State::Closed { .. } => Some(Reason::Resumed),
            },
        };
        let service = service.unwrap_or_else(Service::without_primary);
        let shown = view::Service {
            state: service.state,
            history: service.history.clone(),
            leaving: BTreeSet::new(),
        };
        self.view.services.insert(key, shown);
        if let Some(reason) = reason {
            self.authority.set_service(key, service);
            self.begin_promotion(key, group, reason, now);
        }
    }

    fn publish_view(&mut self, ledger: &Ledger, now: Duration, actions: &mut Vec<Action>) {
        if !self.view_changed {
            return;
        }
        self.view_changed = false;
        let to: Vec<Instance> = ledger.running(now).into_keys().collect();
        if !to.is_empty() {
            let view = self.view.clone();
            actions.push(Action::Publish { to, view });
        }
    }

    /// Sends the row to the table, and heartbeats to standbys and candidates.
    fn maintain_row(
        &mut self,
        groups: &BTreeMap<ServiceKey, Group>,
        candidates: &[HostKey],
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        if !groups.is_empty() {
            self.authority.choose_standbys(candidates, now);
        }
        let pause = timing::RESEND_INTERVAL;
        let paced = self.last_write_sent.is_none_or(|sent| now >= sent + pause);
        if (self.authority.may_write_at_once() || paced)
            && let Some(write) = self.authority.next_write(now)
        {
            self.last_write_sent = Some(now);
            let (row, replaces) = (write.row, Some(write.replaces));
            actions.push(Action::Write { row, replaces });
        }
        for (host, heartbeat) in self.authority.heartbeats(candidates, now) {
            actions.push(Action::Heartbeat { host, heartbeat });
        }
    }

    fn service_state(&self, key: ServiceKey) -> Option<State> {
        self.view.services.get(&key).map(|service| service.state)
    }

    /// Gives the changed view a new version, to be published.
    fn advance_view(&mut self) {
        self.view.version.change += 1;
        self.view_changed = true;
    }
}

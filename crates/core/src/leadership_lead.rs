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

/// What a controller keeps while it has a shard.
#[derive(Debug)]
pub(super) struct Lead {
    pub(super) holder: ShardAuthority,
    pub(super) judge: FailureDetector,
    phase: Phase,
    view: view::Shard,
    /// Whether `view` has changed since it was last sent to holders.
    changed: bool,
    promotions: BTreeMap<ServiceKey, Running>,
    statuses: BTreeMap<ServerKey, Status>,
    /// Servers that last said that they are leaving.
    leaving: BTreeSet<ServerKey>,
    /// When each service was last opened: an older status says nothing of how it is now.
    opened: BTreeMap<ServiceKey, Duration>,
    /// How far each open service's primary had written when it was last asked.
    written: BTreeMap<ServiceKey, Written>,
    status_asked: Option<Duration>,
    announced: bool,
    write_sent: Option<Duration>,
    notes: Vec<Note>,
}

#[derive(Debug)]
enum Phase {
    /// Asking those who may know more than the row.
    Survey {
        since: Duration,
        asked: Option<Duration>,
        missing: BTreeSet<HostKey>,
        /// Servers that have answered.
        heard: BTreeSet<ServerKey>,
        /// The epoch that is replaced.
        replaced: u32,
        /// Whether somebody who was asked, or this process, knows all that was decided under it.
        witnessed: bool,
    },
    /// Granting leases.
    Settled,
}

#[derive(Debug)]
struct Running {
    promotion: Promotion,
    began: Duration,
    /// Version of the view that closes the term.
    closing: Option<Version>,
}

/// What a primary said of its log.
#[derive(Debug, Clone, Copy)]
struct Written {
    /// When it was asked.
    sent: Duration,
    position: Position,
}

impl Lead {
    pub(super) fn new(
        holder: ShardAuthority,
        replaced: u32,
        witnessed: bool,
        now: Duration,
    ) -> Lead {
        let version = Version {
            epoch: holder.epoch(),
            change: 0,
        };
        Lead {
            phase: Phase::Survey {
                since: now,
                asked: None,
                missing: holder.possible_witnesses(),
                heard: BTreeSet::new(),
                replaced,
                witnessed,
            },
            holder,
            judge: FailureDetector::default(),
            view: view::Shard {
                version,
                services: BTreeMap::new(),
            },
            changed: false,
            promotions: BTreeMap::new(),
            statuses: BTreeMap::new(),
            leaving: BTreeSet::new(),
            opened: BTreeMap::new(),
            written: BTreeMap::new(),
            status_asked: None,
            announced: false,
            write_sent: None,
            notes: Vec::new(),
        }
    }

    pub(super) fn is_leading(&self, now: Duration) -> bool {
        matches!(self.phase, Phase::Settled) && self.holder.may_act(now)
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
        self.announce(actions);
        self.survey(groups, now, actions);
        if self.is_leading(now) {
            self.reconcile(groups, now, actions);
            self.promote(ledger, now, actions);
            self.refresh(groups);
            self.publish(ledger, now, actions);
        }
        self.keep_row(groups, candidates, now, actions);
        actions.extend(self.notes.drain(..).map(Action::Note));
    }

    pub(super) fn on_released(&mut self, host: HostKey, released: &Released, now: Duration) {
        if let Phase::Survey {
            missing,
            replaced,
            witnessed,
            ..
        } = &mut self.phase
        {
            missing.remove(&host);
            *witnessed |= released.witnessed_epoch == *replaced;
            self.holder.on_released(host, released, now);
        }
    }

    pub(super) fn on_renewal(
        &mut self,
        renewal: &Renewal,
        ledger: &mut Ledger,
        now: Duration,
    ) -> Reply {
        let host = renewal.holder.host;
        self.judge.record_host(host, renewal.zone, now);
        for (server, report) in &renewal.reports {
            self.judge.add_report(host, *server, *report, now);
        }
        if renewal.stopping {
            ledger.end(renewal.holder, now);
        }
        let ahead = renewal.version > Some(self.view.version);
        if !self.is_leading(now) || ahead {
            return Reply::Refused {
                controller: Some(self.holder.row().controller),
            };
        }
        let valid = match renewal.stopping {
            true => Duration::ZERO,
            false => self.holder.max_lease(now),
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
            // An answer to an earlier revocation says nothing of this one.
            if running.closing.is_some_and(|closing| version >= closing) {
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
        if self.opened.get(key).is_some_and(|opened| sent < *opened) {
            return;
        }
        let key = *key;
        match status {
            Some(status) => self.remember(key, server, sent, status),
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
            && matches!(self.state(key), Some(State::Open { .. }))
            && !self.promotions.contains_key(&key)
        {
            self.begin(key, group, Reason::Leaving, now);
        }
    }

    fn remember(&mut self, key: ServiceKey, server: ServerKey, sent: Duration, status: Status) {
        self.statuses.insert(server, status);
        if let Phase::Survey { heard, .. } = &mut self.phase {
            heard.insert(server);
        }
        if let Some(State::Open { term, primary }) = self.state(key)
            && (primary, term, true) == (server, status.term, status.leads)
        {
            let position = status.position;
            let written = self
                .written
                .entry(key)
                .or_insert(Written { sent, position });
            if sent >= written.sent {
                *written = Written { sent, position };
            }
        }
        match status.leaving {
            true => self.leaving.insert(server),
            false => self.leaving.remove(&server),
        };
    }

    fn announce(&mut self, actions: &mut Vec<Action>) {
        if !self.announced {
            self.announced = true;
            let epoch = self.holder.epoch();
            actions.push(Action::Note(Note::Claimed { epoch }));
        }
    }

    /// Before the first lease, hear from everybody who may know of a promotion that the row does
    /// not show: it may have been made while the table was gone.
    fn survey(
        &mut self,
        groups: &BTreeMap<ServiceKey, Group>,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let epoch = self.holder.epoch();
        let Phase::Survey {
            since,
            asked,
            missing,
            heard,
            witnessed,
            ..
        } = &mut self.phase
        else {
            return;
        };
        if asked.is_none_or(|asked| now >= asked + timing::RESEND_INTERVAL) {
            *asked = Some(now);
            let release = |host: &HostKey| Action::Release { host: *host, epoch };
            actions.extend(missing.iter().map(release));
            let servers = groups.values().flat_map(|group| group.servers.keys());
            let unheard = servers.filter(|server| !heard.contains(server));
            actions.extend(unheard.map(|server| Action::QueryStatus(*server)));
        }
        let servers = groups.values().flat_map(|group| group.servers.keys());
        let all_servers = servers.into_iter().all(|server| heard.contains(server));
        let gathered = missing.is_empty() || now >= *since + timing::GATHER_TIMEOUT;
        // With all memory of the old authority lost, a server that does not answer may lead a
        // term that was opened in an outage. Its writes would be lost beside those of the row's.
        let forgotten = now >= *since + timing::UNKNOWN_HISTORY_WAIT;
        let told = *witnessed && now >= *since + timing::GATHER_TIMEOUT;
        let surveyed = (all_servers && gathered) || told || forgotten;
        let committed = self.holder.committed_revision() >= self.holder.row().revision;
        if surveyed && committed && self.holder.may_act(now) {
            self.phase = Phase::Settled;
            self.notes.push(Note::Settled { epoch });
            self.show(groups, now);
        }
    }

    /// The first view: what the row says, with promotions for what is not open.
    fn show(&mut self, groups: &BTreeMap<ServiceKey, Group>, now: Duration) {
        for (key, group) in groups {
            self.adopt(*key, group, now);
        }
        self.bump();
    }

    fn adopt(&mut self, key: ServiceKey, group: &Group, now: Duration) {
        let service = self.holder.row().services.get(&key).cloned();
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
            self.holder.set_service(key, service);
            self.begin(key, group, reason, now);
        }
    }

    fn publish(&mut self, ledger: &Ledger, now: Duration, actions: &mut Vec<Action>) {
        if !self.changed {
            return;
        }
        self.changed = false;
        let to: Vec<Instance> = ledger.running(now).into_keys().collect();
        if !to.is_empty() {
            let view = self.view.clone();
            actions.push(Action::Publish { to, view });
        }
    }

    fn keep_row(
        &mut self,
        groups: &BTreeMap<ServiceKey, Group>,
        candidates: &[HostKey],
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        if !groups.is_empty() {
            self.holder.choose_standbys(candidates, now);
        }
        let pause = timing::RESEND_INTERVAL;
        let paced = self.write_sent.is_none_or(|sent| now >= sent + pause);
        if (self.holder.may_write_at_once() || paced)
            && let Some(write) = self.holder.next_write(now)
        {
            self.write_sent = Some(now);
            let (row, over) = (write.row, Some(write.replaces));
            actions.push(Action::Write {
                row,
                replaces: over,
            });
        }
        for (host, ask) in self.holder.heartbeats(candidates, now) {
            actions.push(Action::Heartbeat {
                host,
                heartbeat: ask,
            });
        }
    }

    fn state(&self, key: ServiceKey) -> Option<State> {
        self.view.services.get(&key).map(|service| service.state)
    }

    fn bump(&mut self) {
        self.view.version.change += 1;
        self.changed = true;
    }
}

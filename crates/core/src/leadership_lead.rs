use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{Action, Group, Leaving, Note, Renewal, Reply};
use crate::authority::{Holder, Released};
use crate::key::{HostKey, ServerKey, ServiceKey};
use crate::lease::{Instance, Ledger};
use crate::position::Position;
use crate::promotion::{Next, Order, Promotion, Reason, Status};
use crate::row::Service;
use crate::suspicion::{Judge, Verdict};
use crate::term::Term;
use crate::timing;
use crate::view::{self, State, Version};

/// What a controller keeps while it has a shard.
#[derive(Debug)]
pub(super) struct Lead {
    pub(super) holder: Holder,
    pub(super) judge: Judge,
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
    pub(super) fn new(holder: Holder, now: Duration) -> Lead {
        let version = Version {
            epoch: holder.epoch(),
            change: 0,
        };
        Lead {
            phase: Phase::Survey {
                since: now,
                asked: None,
                missing: holder.witnesses(),
            },
            holder,
            judge: Judge::default(),
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

    pub(super) fn leads(&self, now: Duration) -> bool {
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
        if self.leads(now) {
            self.reconcile(groups, now, actions);
            self.promote(ledger, now, actions);
            self.refresh(groups);
            self.publish(ledger, now, actions);
        }
        self.keep_row(groups, candidates, now, actions);
        actions.extend(self.notes.drain(..).map(Action::Note));
    }

    pub(super) fn released(&mut self, host: HostKey, released: &Released, now: Duration) {
        if let Phase::Survey { missing, .. } = &mut self.phase {
            missing.remove(&host);
            self.holder.released(host, released, now);
        }
    }

    pub(super) fn renewal(
        &mut self,
        renewal: &Renewal,
        ledger: &mut Ledger,
        now: Duration,
    ) -> Reply {
        let host = renewal.holder.host;
        self.judge.heard(host, renewal.zone, now);
        for (server, report) in &renewal.reports {
            self.judge.report(host, *server, *report, now);
        }
        if renewal.stopping {
            ledger.end(renewal.holder, now);
        }
        let ahead = renewal.version > Some(self.view.version);
        if !self.leads(now) || ahead {
            return Reply::Refused {
                controller: Some(self.holder.row().controller),
            };
        }
        let valid = match renewal.stopping {
            true => Duration::ZERO,
            false => self.holder.lease(now),
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

    pub(super) fn closed(
        &mut self,
        holder: Instance,
        version: Version,
        acknowledged: &BTreeMap<ServiceKey, Position>,
    ) {
        for (key, running) in &mut self.promotions {
            // An answer to an earlier revocation says nothing of this one.
            if running.closing.is_some_and(|closing| version >= closing) {
                let position = acknowledged.get(key).copied();
                running.promotion.closed(holder, position);
            }
        }
    }

    pub(super) fn status(
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
            running.promotion.status(server, status);
        }
    }

    pub(super) fn promoted(&mut self, server: ServerKey, term: Term, order: Order, now: Duration) {
        for running in self.promotions.values_mut() {
            running.promotion.promoted(server, term, order, now);
        }
    }

    pub(super) fn switch_over(
        &mut self,
        groups: &BTreeMap<ServiceKey, Group>,
        key: ServiceKey,
        now: Duration,
    ) {
        if let Some(group) = groups.get(&key)
            && self.leads(now)
            && matches!(self.state(key), Some(State::Open { .. }))
            && !self.promotions.contains_key(&key)
        {
            self.begin(key, group, Reason::Leaving, now);
        }
    }

    fn remember(&mut self, key: ServiceKey, server: ServerKey, sent: Duration, status: Status) {
        self.statuses.insert(server, status);
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
        } = &mut self.phase
        else {
            return;
        };
        if asked.is_none_or(|asked| now >= asked + timing::RETRY) {
            *asked = Some(now);
            let release = |host: &HostKey| Action::Release { host: *host, epoch };
            actions.extend(missing.iter().map(release));
            let servers = groups.values().flat_map(|group| group.servers.keys());
            let unheard = servers.filter(|server| !self.statuses.contains_key(server));
            actions.extend(unheard.map(|server| Action::Status(*server)));
        }
        let servers = groups.values().flat_map(|group| group.servers.keys());
        let all = missing.is_empty() && servers.into_iter().all(|s| self.statuses.contains_key(s));
        let surveyed = all || now >= *since + timing::GATHER;
        let committed = self.holder.committed() >= self.holder.row().revision;
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
        let service = service.unwrap_or_else(Service::fresh);
        let shown = view::Service {
            state: service.state,
            history: service.history.clone(),
            leaving: BTreeSet::new(),
        };
        self.view.services.insert(key, shown);
        if let Some(reason) = reason {
            self.holder.set(key, service);
            self.begin(key, group, reason, now);
        }
    }

    fn begin(&mut self, key: ServiceKey, group: &Group, reason: Reason, now: Duration) {
        let Some(service) = self.holder.row().services.get(&key).cloned() else {
            return;
        };
        let servers = group.servers.keys().copied().collect();
        let promotion = Promotion::new(key, servers, service, reason, now);
        let running = Running {
            promotion,
            began: now,
            closing: None,
        };
        self.promotions.insert(key, running);
        let service = key;
        self.notes.push(Note::Promoting { service, reason });
    }

    /// Compares what servers say of themselves with the row, and starts what is needed.
    fn reconcile(
        &mut self,
        groups: &BTreeMap<ServiceKey, Group>,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        if self
            .status_asked
            .is_none_or(|asked| now >= asked + timing::STATUS)
        {
            self.status_asked = Some(now);
            self.judge.tidy(now);
            let servers = groups.values().flat_map(|group| group.servers.keys());
            actions.extend(servers.map(|server| Action::Status(*server)));
        }
        for (key, group) in groups {
            if !self.view.services.contains_key(key) {
                self.adopt(*key, group, now);
                self.bump();
            }
            match self.state(*key) {
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
        let unreachable = self.judge.verdict(primary, now) == Verdict::Unreachable;
        let dead = unreachable && self.judge.is_cool(key, now);
        if let Some(running) = self.promotions.get_mut(&key) {
            if dead {
                running.promotion.urge();
            }
            return;
        }
        if dead {
            self.judge.promoted(key, now);
            self.begin(key, group, Reason::Unreachable, now);
        } else if self.has_rival(group, term, primary) {
            self.begin(key, group, Reason::Rival, now);
        } else if self.is_leaving(group, primary) && self.has_heir(group, primary) {
            self.begin(key, group, Reason::Leaving, now);
        } else {
            self.follow(group, term, primary, actions);
        }
    }

    fn has_rival(&self, group: &Group, term: Term, primary: ServerKey) -> bool {
        group.servers.keys().any(|server| {
            let Some(status) = self.statuses.get(server) else {
                return false;
            };
            let leads = status.leads && status.term == term;
            // A term of a later epoch is a successor's; this process will learn of it.
            let ours = status.term.epoch <= self.holder.epoch();
            ours && (status.term > term || (*server == primary && !leads))
        })
    }

    fn is_leaving(&self, group: &Group, server: ServerKey) -> bool {
        let stays = group.servers.get(&server) == Some(&Leaving::No);
        !stays || self.leaving.contains(&server)
    }

    fn has_heir(&self, group: &Group, primary: ServerKey) -> bool {
        let mut others = group.servers.keys().filter(|server| **server != primary);
        others.any(|s| !self.is_leaving(group, *s) && self.statuses.contains_key(s))
    }

    fn follow(&mut self, group: &Group, term: Term, primary: ServerKey, actions: &mut Vec<Action>) {
        for server in group.servers.keys().filter(|server| **server != primary) {
            let behind = |status: &Status| status.term < term || status.leads;
            if self.statuses.get(server).is_some_and(behind) {
                // Asked again only after the next status, so that one order is under way.
                self.statuses.remove(server);
                actions.push(Action::Follow {
                    server: *server,
                    primary,
                    term,
                });
            }
        }
    }

    fn promote(&mut self, ledger: &Ledger, now: Duration, actions: &mut Vec<Action>) {
        let keys: Vec<ServiceKey> = self.promotions.keys().copied().collect();
        for key in keys {
            // Removed while it runs, so that it and the rest can be changed side by side.
            let Some(mut running) = self.promotions.remove(&key) else {
                continue;
            };
            let (epoch, committed) = (self.holder.epoch(), self.holder.committed());
            let mut done = false;
            for next in running.promotion.next(epoch, committed, now) {
                done |= next == Next::Done;
                self.carry_out(key, &mut running, next, ledger, now, actions);
            }
            match done {
                true => self.opened(key, &running, now, actions),
                false => {
                    self.promotions.insert(key, running);
                }
            }
        }
    }

    fn carry_out(
        &mut self,
        key: ServiceKey,
        running: &mut Running,
        next: Next,
        ledger: &Ledger,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        match next {
            Next::Commit(service) => self.commit(key, running, service, ledger, now),
            Next::Revoke(to) => actions.push(Action::Close {
                to,
                view: self.view.clone(),
            }),
            Next::Ask(servers) => actions.extend(servers.into_iter().map(Action::Status)),
            Next::Promote {
                server,
                term,
                at_least,
            } => actions.push(Action::Promote {
                server,
                term,
                at_least,
            }),
            Next::Done => {}
        }
    }

    fn commit(
        &mut self,
        key: ServiceKey,
        running: &mut Running,
        service: Service,
        ledger: &Ledger,
        now: Duration,
    ) {
        let revision = self.holder.set(key, service.clone());
        match service.state {
            State::Closed { term } => {
                if let Some(shown) = self.view.services.get_mut(&key) {
                    shown.state = State::Closed { term };
                }
                // Holders are told before the row is committed; leases from here on are granted
                // on the view that closes the term.
                self.bump();
                running.closing = Some(self.view.version);
                self.tell_written(key, running, ledger, now);
                running.promotion.closing(revision, ledger.running(now));
            }
            State::Open { .. } => running.promotion.opening(revision),
        }
    }

    /// Holders whose leases are over cannot be asked what they acknowledged; but it was written
    /// by the time the primary was asked last, if their leases were over by then.
    fn tell_written(
        &mut self,
        key: ServiceKey,
        running: &mut Running,
        ledger: &Ledger,
        now: Duration,
    ) {
        let written = self
            .written
            .remove(&key)
            .filter(|w| w.sent >= self.holder.settled());
        let Some(written) = written else {
            running.promotion.written(Position::default(), false);
            return;
        };
        let since = |lapse| lapse >= written.sent;
        let complete = !ledger.last_lapse(now).is_some_and(since);
        running.promotion.written(written.position, complete);
    }

    fn opened(
        &mut self,
        key: ServiceKey,
        running: &Running,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(service) = self.holder.row().services.get(&key) else {
            return;
        };
        let State::Open { term, primary } = service.state else {
            return;
        };
        if let Some(shown) = self.view.services.get_mut(&key) {
            shown.state = service.state;
            shown.history = service.history.clone();
        }
        let loss = service.losses.iter().find(|loss| loss.opened == term);
        let lost = loss.map(|loss| Note::Lost {
            service: key,
            loss: *loss,
        });
        self.notes.extend(lost);
        self.notes.push(Note::Opened {
            service: key,
            term,
            primary,
            took: now.saturating_sub(running.began),
        });
        self.opened.insert(key, now);
        if let Some((_, start)) = service.history.starts().last() {
            let position = Position { term, log: start };
            self.written.insert(
                key,
                Written {
                    sent: now,
                    position,
                },
            );
        }
        // What was known of the servers is from before; the others are to follow at once.
        self.statuses.remove(&primary);
        for server in running.promotion.servers().filter(|s| *s != primary) {
            actions.push(Action::Follow {
                server,
                primary,
                term,
            });
            self.statuses.remove(&server);
        }
        self.bump();
    }

    /// Shows which servers receive no new work.
    fn refresh(&mut self, groups: &BTreeMap<ServiceKey, Group>) {
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
        // The row keeps what is no longer configured: a controller whose configuration is behind
        // would otherwise forget a service's terms, and with them what was lost.
        let before = self.view.services.len();
        self.view.services.retain(|key, _| groups.contains_key(key));
        self.promotions.retain(|key, _| groups.contains_key(key));
        if changed || before != self.view.services.len() {
            self.bump();
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
            self.holder.name(candidates, now);
        }
        let pause = timing::RETRY;
        let paced = self.write_sent.is_none_or(|sent| now >= sent + pause);
        if (self.holder.is_urgent() || paced)
            && let Some(write) = self.holder.write(now)
        {
            self.write_sent = Some(now);
            let (row, over) = (write.row, Some(write.over));
            actions.push(Action::Write { row, over });
        }
        for (host, ask) in self.holder.asks(candidates, now) {
            actions.push(Action::Ask { host, ask });
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

//! Which backend server answers a request.

pub mod head;
pub mod server;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::health::Standing;
use crate::history::{History, Survival};
use crate::invariant::{self, Invariant};
use crate::key::{ServerKey, ZoneKey};
use crate::position::Position;
use crate::refusal::Refusal;
use crate::session::need::Need;
use crate::term::Term;
use crate::view::{self, State};
use head::Heads;
use server::{Facts, Server, Status};

/// A server that is leaving may finish what runs; statements of transactions that are open may
/// go on, but nothing begins on it this long after this host learnt that it leaves.
pub const LEAVING_GRACE: Duration = Duration::from_secs(2);
/// When to ask again while no primary is known: the usual time of a promotion.
const PROMOTION: Duration = Duration::from_millis(500);
/// When to ask again for a position or an age: a few probes later.
const FRESHER: Duration = Duration::from_millis(250);
/// One read in so many goes to a replica on trial.
const TRICKLE: u64 = 16;
/// Terms whose leases are remembered for the age of data that they wrote.
const KEPT_LEASES: usize = 8;

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// To this server.
    Go {
        /// The server.
        server: ServerKey,
        /// What it is to the request.
        part: Part,
    },
    /// Nowhere yet: a replica should have the position soon. Ask again after `wait`, or when a
    /// status arrives, whichever is first.
    Wait {
        /// The greatest wait before asking again.
        wait: Duration,
    },
    /// Nowhere.
    Refuse(Refusal),
}

/// What a chosen server is to the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// The primary of this term, under a write lease that was valid when it was chosen.
    Primary(Term),
    /// A replica.
    Replica,
}

/// One read that looks for a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ask {
    /// What the server must be.
    pub need: Need,
    /// How long the read can still wait for a replica before it takes the primary.
    pub patience: Duration,
    /// Random bits, which pick the two candidates that are compared.
    pub dice: u64,
}

/// What one entry host knows of the servers of one service.
#[derive(Debug, Clone)]
pub struct Table {
    zone: ZoneKey,
    service: view::Service,
    servers: BTreeMap<ServerKey, Server>,
    leases: BTreeMap<Term, Duration>,
    heads: Heads,
}

impl Table {
    /// A host in `zone` that knows nothing yet.
    pub fn new(zone: ZoneKey) -> Table {
        Table {
            zone,
            service: view::Service {
                state: State::Closed {
                    term: Term::default(),
                },
                history: History::default(),
                leaving: Default::default(),
            },
            servers: BTreeMap::new(),
            leases: BTreeMap::new(),
            heads: Heads::default(),
        }
    }

    /// Adopts the servers of a configuration; those gone from it receive nothing more.
    pub fn configure(&mut self, servers: &BTreeMap<ServerKey, Facts>, now: Duration) {
        self.servers.retain(|key, _| servers.contains_key(key));
        for (key, facts) in servers {
            self.servers
                .entry(*key)
                .or_insert_with(|| Server::new(*facts))
                .facts = *facts;
        }
        self.mark_leaving(now);
    }

    /// Adopts a controller's view of the service.
    pub fn adopt(&mut self, service: view::Service, now: Duration) {
        if let State::Closed { term } = service.state {
            self.end_lease(term, now);
        }
        self.service = service;
        self.mark_leaving(now);
    }

    /// The write lease of `term` runs until `until`. A lease only ever ends later, or is ended.
    pub fn lease(&mut self, term: Term, until: Duration) {
        let end = self.leases.entry(term).or_insert(until);
        *end = (*end).max(until);
        while self.leases.len() > KEPT_LEASES {
            self.leases.pop_first();
        }
    }

    /// The write lease of `term` was revoked at `now`.
    pub fn end_lease(&mut self, term: Term, now: Duration) {
        if let Some(end) = self.leases.get_mut(&term) {
            *end = (*end).min(now);
        }
    }

    /// A server told its status, in answer to something sent at `sent`.
    ///
    /// Probes need a connection, and when statements use all of them only statements are
    /// answered, which tell a position and no age. So a replica also proves itself by having
    /// reached what the primary had: whatever was acknowledged before the primary was asked is
    /// in its answer's position.
    pub fn status(&mut self, server: ServerKey, status: Status, sent: Duration, now: Duration) {
        if self.primary(now).map(|(primary, _)| primary) == Some(server) {
            self.heads.note(status.position, sent);
        }
        let reached = self.heads.reached(status.position, &self.service.history);
        if let Some(server) = self.servers.get_mut(&server) {
            server.heard(status, sent, now);
            if let Some(proof) = reached {
                server.prove(proof);
            }
        }
    }

    /// A server could not be reached.
    pub fn unreachable(&mut self, server: ServerKey, now: Duration) {
        if let Some(server) = self.servers.get_mut(&server) {
            server.lost(now);
        }
    }

    /// [`crate::health`] found that `server` should get this much work.
    pub fn set_standing(&mut self, server: ServerKey, standing: Standing) {
        if let Some(server) = self.servers.get_mut(&server) {
            server.standing = standing;
        }
    }

    /// A request starts on `server`.
    pub fn started(&mut self, server: ServerKey, now: Duration) {
        let Some(server) = self.servers.get_mut(&server) else {
            return;
        };
        let late = server
            .leaving
            .is_some_and(|since| now > since + LEAVING_GRACE);
        invariant::check(Invariant::NoNewWork, !late, || {
            format!(
                "a server that left at {:?} gets work at {now:?}",
                server.leaving
            )
        });
        server.running += 1;
    }

    /// A request ended on `server`, after `took` where it was answered.
    pub fn finished(&mut self, server: ServerKey, took: Option<Duration>) {
        if let Some(server) = self.servers.get_mut(&server) {
            server.finished(took);
        }
    }

    /// Asserts that a read that needed `need` was answered from data at `position`, as the server
    /// told with its answer. Between choice and answer a server's data only grow, but for what a
    /// promotion drops, which is no part of any position that was not refused as lost.
    pub fn check_read(&self, need: &Need, position: Position) {
        let holds = need
            .position()
            .is_none_or(|wanted| self.service.history.covers(position, wanted));
        invariant::check(Invariant::ReadYourWrites, holds, || {
            format!("a read that needs {need:?} was answered at {position}")
        });
    }

    /// The service's history, for positions.
    pub fn history(&self) -> &History {
        &self.service.history
    }

    /// The servers as this host knows them.
    pub fn servers(&self) -> &BTreeMap<ServerKey, Server> {
        &self.servers
    }

    /// The primary and its term, where the service is open and this host's write lease is valid.
    pub fn primary(&self, now: Duration) -> Option<(ServerKey, Term)> {
        let State::Open { term, primary } = self.service.state else {
            return None;
        };
        let leased = self.leases.get(&term).is_some_and(|until| now < *until);
        leased.then_some((primary, term))
    }

    /// Where a write, or anything that must see the newest data, goes.
    pub fn write(&self, now: Duration) -> Route {
        let refuse = Route::Refuse(Refusal::NoPrimary {
            retry_after: PROMOTION,
        });
        let Some((server, term)) = self.primary(now) else {
            return refuse;
        };
        match self.servers.get(&server) {
            Some(known) if known.takes_work(now) && known.is_reachable(now) => Route::Go {
                server,
                part: Part::Primary(term),
            },
            _ => refuse,
        }
    }

    /// Where a read goes: a replica in the host's zone that satisfies it, else one elsewhere,
    /// else a short wait where one is about to, else the primary.
    pub fn read(&self, ask: &Ask, now: Duration) -> Route {
        if ask.need == Need::Primary {
            return self.write(now);
        }
        let able = self.able(&ask.need, now);
        if let Some(server) = self.pick(&able, ask.dice) {
            return Route::Go {
                server,
                part: self.part(server, now),
            };
        }
        if let Some(wait) = self.catches_up(&ask.need, now)
            && wait <= ask.patience
        {
            return Route::Wait { wait };
        }
        match self.write(now) {
            Route::Refuse(refusal) => Route::Refuse(self.why(&ask.need, refusal, now)),
            route => route,
        }
    }

    /// A replica other than `taken` that satisfies a read now, for a second copy of it.
    pub fn other(&self, ask: &Ask, taken: ServerKey, now: Duration) -> Option<ServerKey> {
        let mut able = self.able(&ask.need, now);
        able.retain(|server| *server != taken);
        self.pick(&able, ask.dice)
    }

    /// What `server` is at `now`.
    fn part(&self, server: ServerKey, now: Duration) -> Part {
        match self.primary(now) {
            Some((primary, term)) if primary == server => Part::Primary(term),
            _ => Part::Replica,
        }
    }

    /// Servers other than the leased primary that satisfy `need`.
    fn able(&self, need: &Need, now: Duration) -> Vec<ServerKey> {
        let primary = self.primary(now).map(|(server, _)| server);
        self.servers
            .iter()
            .filter(|(key, _)| Some(**key) != primary)
            .filter(|(_, server)| server.leaving.is_none() && server.is_reachable(now))
            .filter(|(_, server)| self.satisfies(server, need, now))
            .map(|(key, _)| *key)
            .collect()
    }

    fn satisfies(&self, server: &Server, need: &Need, now: Duration) -> bool {
        let Some(position) = server.position() else {
            return false;
        };
        if !self.is_in_log(position) {
            return false;
        }
        let reached = need
            .position()
            .is_none_or(|wanted| self.service.history.covers(position, wanted));
        let young = need
            .proven_since(now)
            .is_none_or(|since| self.proven(server).is_some_and(|proven| proven >= since));
        reached && young
    }

    /// Whether data at `position` are part of the service's log. A primary that was replaced may
    /// hold writes that no later term has; nothing is read from it until it follows again.
    fn is_in_log(&self, position: Position) -> bool {
        !matches!(
            self.service.history.survival(position),
            Survival::Lost { .. }
        )
    }

    /// The moment at which the data of `server` were last proven current. A server's own proof
    /// only says that it had everything of the primary it follows; that primary was the only one
    /// for as long as a write lease of its term was valid, so the proof counts no further.
    fn proven(&self, server: &Server) -> Option<Duration> {
        let proof = server.proof()?;
        let lease = self.leases.get(&proof.term)?;
        Some(proof.at.min(*lease))
    }

    /// Among those in good standing, the cheaper of two picked at random, where another zone
    /// costs its distance. One on trial gets a trickle, and one set aside is used when there is
    /// nothing else.
    fn pick(&self, able: &[ServerKey], dice: u64) -> Option<ServerKey> {
        let trial = self.of_standing(able, Standing::Trial);
        if let Some(server) = trial.first()
            && dice.is_multiple_of(TRICKLE)
        {
            return Some(*server);
        }
        let full = self.of_standing(able, Standing::Full);
        let pool = [full.as_slice(), &trial, able]
            .into_iter()
            .find(|pool| !pool.is_empty())?;
        let near: Vec<ServerKey> = pool
            .iter()
            .copied()
            .filter(|key| self.servers[key].facts.zone == self.zone)
            .collect();
        let near = self.cheaper_of_two(&near, dice / TRICKLE);
        let any = self.cheaper_of_two(pool, dice >> 32);
        match (near, any) {
            (Some(near), Some(any)) if self.cost(near) <= self.cost(any) => Some(near),
            (near, any) => any.or(near),
        }
    }

    fn of_standing(&self, able: &[ServerKey], standing: Standing) -> Vec<ServerKey> {
        able.iter()
            .copied()
            .filter(|key| self.servers[key].standing == standing)
            .collect()
    }

    fn cheaper_of_two(&self, pool: &[ServerKey], dice: u64) -> Option<ServerKey> {
        let count = pool.len() as u64;
        if count == 0 {
            return None;
        }
        let first = dice % count;
        let step = 1 + (dice / count) % count.saturating_sub(1).max(1);
        let second = (first + step) % count;
        [first, second]
            .map(|index| pool[index as usize])
            .into_iter()
            .min_by_key(|key| self.cost(*key))
    }

    fn cost(&self, key: ServerKey) -> Duration {
        let server = &self.servers[&key];
        let distance = if server.facts.zone == self.zone {
            Duration::ZERO
        } else {
            server.facts.distance
        };
        distance + server.expected()
    }

    /// The shortest time after which a replica should satisfy `need`, where one should.
    fn catches_up(&self, need: &Need, now: Duration) -> Option<Duration> {
        let wanted = need.position()?;
        // The leased primary has the position already; waiting for it would never end.
        let primary = self.primary(now).map(|(server, _)| server);
        self.servers
            .iter()
            .filter(|(key, _)| Some(**key) != primary)
            .map(|(_, server)| server)
            .filter(|server| server.leaving.is_none() && server.is_reachable(now))
            .filter(|server| self.primary_lag(server).is_some())
            .filter_map(|server| server.reaches(wanted, now))
            .min()
    }

    fn primary_lag(&self, server: &Server) -> Option<u64> {
        let State::Open { primary, .. } = self.service.state else {
            return None;
        };
        let head = self.servers.get(&primary)?.position()?;
        Some(head.log.saturating_sub(server.position()?.log))
    }

    fn why(&self, need: &Need, no_primary: Refusal, now: Duration) -> Refusal {
        if !self.servers.values().any(|server| server.is_reachable(now)) {
            return Refusal::NoServer {
                retry_after: PROMOTION,
            };
        }
        if let Some(position) = need.position()
            && !self.anyone_has(position, now)
        {
            return Refusal::PositionNotReached {
                position,
                retry_after: FRESHER,
            };
        }
        if need.proven_since(now).is_none() {
            return no_primary;
        }
        let youngest = self
            .servers
            .values()
            .filter(|server| server.is_reachable(now))
            .filter_map(|server| self.proven(server))
            .max();
        Refusal::DataTooOld {
            age: youngest.map(|proven| now.saturating_sub(proven)),
            limit: need.max_age(),
            retry_after: FRESHER,
        }
    }

    fn anyone_has(&self, wanted: Position, now: Duration) -> bool {
        let need = Need::Position {
            position: wanted,
            max_age: None,
        };
        self.servers
            .values()
            .filter(|server| server.is_reachable(now))
            .any(|server| self.satisfies(server, &need, now))
    }

    /// The leaving mark counts from when this host first learnt of it.
    fn mark_leaving(&mut self, now: Duration) {
        for (key, server) in &mut self.servers {
            let leaving = server.facts.leaving || self.service.leaving.contains(key);
            server.leaving = match (leaving, server.leaving) {
                (true, since) => since.or(Some(now)),
                (false, _) => None,
            };
        }
    }
}

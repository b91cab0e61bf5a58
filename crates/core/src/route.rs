//! Routing: which backend server answers a request.

pub mod primary_positions;
pub mod server;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::health::HealthState;
use crate::history::{History, Survival};
use crate::invariant::{self, Invariant};
use crate::key::{ServerKey, ZoneKey};
use crate::position::Position;
use crate::refusal::Refusal;
use crate::session::need::Need;
use crate::term::Term;
use crate::view::{self, State};
use primary_positions::PrimaryPositions;
use server::{Server, ServerSettings, Status};

/// Time after which nothing new may start on a leaving server, counted from the moment at which this
/// host learnt that it is leaving. Running requests and open transactions may go on.
pub const LEAVING_GRACE: Duration = Duration::from_secs(2);
/// Retry time of a refusal while no primary is known: the usual duration of a promotion.
const PROMOTION_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry time of a refusal for a position or an age: a few probes later.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(250);
/// One read in this many goes to a replica on trial.
const TRIAL_READ_INTERVAL: u64 = 16;
/// Number of terms whose leases are kept, to bound the age of data written in them.
const MAX_LEASES: usize = 8;

/// The destination of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// Send it to this server.
    Go {
        /// The server.
        server: ServerKey,
        /// The role of the server for this request.
        part: TargetRole,
    },
    /// Wait: a replica should reach the position soon. Route again after `wait`, or when a status
    /// arrives, whichever is first.
    Wait {
        /// The longest wait before routing again.
        wait: Duration,
    },
    /// Refuse it.
    Refuse(Refusal),
}

/// The role of the chosen server for the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetRole {
    /// The primary of this term, whose write lease was valid when the server was chosen.
    Primary(Term),
    /// A replica.
    Replica,
}

/// A read that has to be routed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadRequest {
    /// What the server has to satisfy.
    pub need: Need,
    /// Longest time that the read can still wait for a replica before it goes to the primary.
    pub max_wait: Duration,
    /// Random bits that pick the two candidates to compare.
    pub random_bits: u64,
}

/// The routing table of one service on one entry host.
#[derive(Debug, Clone)]
pub struct Table {
    zone: ZoneKey,
    service: view::Service,
    servers: BTreeMap<ServerKey, Server>,
    leases: BTreeMap<Term, Duration>,
    primary_positions: PrimaryPositions,
}

impl Table {
    /// Returns an empty table for a host in `zone`.
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
            primary_positions: PrimaryPositions::default(),
        }
    }

    /// Adopts the servers of a configuration. Servers that it no longer lists get no requests.
    pub fn configure(&mut self, servers: &BTreeMap<ServerKey, ServerSettings>, now: Duration) {
        self.servers.retain(|key, _| servers.contains_key(key));
        for (key, settings) in servers {
            self.servers
                .entry(*key)
                .or_insert_with(|| Server::new(*settings))
                .settings = *settings;
        }
        self.mark_leaving(now);
    }

    /// Adopts the controller's view of the service.
    pub fn adopt(&mut self, service: view::Service, now: Duration) {
        if let State::Closed { term } = service.state {
            self.end_lease(term, now);
        }
        self.service = service;
        self.mark_leaving(now);
    }

    /// Extends the write lease of `term` to `until`. A lease is never shortened here, only by
    /// [`Table::end_lease`].
    pub fn extend_lease(&mut self, term: Term, until: Duration) {
        let end = self.leases.entry(term).or_insert(until);
        *end = (*end).max(until);
        while self.leases.len() > MAX_LEASES {
            self.leases.pop_first();
        }
    }

    /// Ends the write lease of `term`, which was revoked at `now`.
    pub fn end_lease(&mut self, term: Term, now: Duration) {
        if let Some(end) = self.leases.get_mut(&term) {
            *end = (*end).min(now);
        }
    }

    /// Records a server's status, which came with the answer to a message sent at `sent`.
    ///
    /// Probes need a connection. When statements use all connections, only statements are answered,
    /// and their answers contain a position but no age. So a replica is also proven current when it
    /// has reached a position of the primary: the position in the primary's answer covers every
    /// write that was acknowledged before the message to the primary was sent.
    pub fn record_status(
        &mut self,
        server: ServerKey,
        status: Status,
        sent: Duration,
        now: Duration,
    ) {
        if self.primary(now).map(|(primary, _)| primary) == Some(server) {
            self.primary_positions.record(status.position, sent);
        }
        let reached = self
            .primary_positions
            .reached(status.position, &self.service.history);
        if let Some(server) = self.servers.get_mut(&server) {
            server.record_status(status, sent, now);
            if let Some(proof) = reached {
                server.record_proof(proof);
            }
        }
    }

    /// Records that a server could not be reached.
    pub fn mark_unreachable(&mut self, server: ServerKey, now: Duration) {
        if let Some(server) = self.servers.get_mut(&server) {
            server.record_failure(now);
        }
    }

    /// Sets the health state of `server`, as evaluated by [`crate::health`].
    pub fn set_health(&mut self, server: ServerKey, health: HealthState) {
        if let Some(server) = self.servers.get_mut(&server) {
            server.health = health;
        }
    }

    /// Records that a request starts on `server`.
    pub fn request_started(&mut self, server: ServerKey, now: Duration) {
        let Some(server) = self.servers.get_mut(&server) else {
            return;
        };
        let late = server
            .leaving
            .is_some_and(|since| now > since + LEAVING_GRACE);
        invariant::check(Invariant::NoNewWork, !late, || {
            format!(
                "a server that has been leaving since {:?} gets work at {now:?}",
                server.leaving
            )
        });
        server.running += 1;
    }

    /// Records that a request ended on `server`. `took` is its latency if it was answered.
    pub fn request_finished(&mut self, server: ServerKey, took: Option<Duration>) {
        if let Some(server) = self.servers.get_mut(&server) {
            server.request_finished(took);
        }
    }

    /// Asserts that a read was answered from data that satisfy `need`. `position` is the position
    /// that the server reported with its answer.
    ///
    /// Between routing and answer a server's position only grows, except for writes that a promotion
    /// drops. Reads that need such writes are refused because their position is lost.
    pub fn check_read(&self, need: &Need, position: Position) {
        let holds = need
            .position()
            .is_none_or(|wanted| self.service.history.covers(position, wanted));
        invariant::check(Invariant::ReadYourWrites, holds, || {
            format!("a read that needs {need:?} was answered at {position}")
        });
    }

    /// Returns the service's history of terms, for comparisons of positions.
    pub fn history(&self) -> &History {
        &self.service.history
    }

    /// Returns the servers as this host knows them.
    pub fn servers(&self) -> &BTreeMap<ServerKey, Server> {
        &self.servers
    }

    /// Returns the primary and its term, if the service is open and this host's write lease is
    /// valid.
    pub fn primary(&self, now: Duration) -> Option<(ServerKey, Term)> {
        let State::Open { term, primary } = self.service.state else {
            return None;
        };
        let leased = self.leases.get(&term).is_some_and(|until| now < *until);
        leased.then_some((primary, term))
    }

    /// Routes a write, or a read that must see the newest data.
    pub fn write(&self, now: Duration) -> Route {
        let refuse = Route::Refuse(Refusal::NoPrimary {
            retry_after: PROMOTION_RETRY_AFTER,
        });
        let Some((server, term)) = self.primary(now) else {
            return refuse;
        };
        match self.servers.get(&server) {
            Some(known) if known.takes_work(now) && known.is_reachable(now) => Route::Go {
                server,
                part: TargetRole::Primary(term),
            },
            _ => refuse,
        }
    }

    /// Routes a read: to a replica in the host's zone that satisfies it, else to a replica in another
    /// zone, else it waits if a replica is about to satisfy it, else to the primary.
    pub fn read(&self, request: &ReadRequest, now: Duration) -> Route {
        if request.need == Need::Primary {
            return self.write(now);
        }
        let candidates = self.candidates(&request.need, now);
        if let Some(server) = self.pick(&candidates, request.random_bits) {
            return Route::Go {
                server,
                part: self.part(server, now),
            };
        }
        if let Some(wait) = self.catch_up_wait(&request.need, now)
            && wait <= request.max_wait
        {
            return Route::Wait { wait };
        }
        match self.write(now) {
            Route::Refuse(refusal) => Route::Refuse(self.refusal_for(&request.need, refusal, now)),
            route => route,
        }
    }

    /// Returns a replica other than `taken` that satisfies a read now, for a hedged request.
    pub fn hedge_target(
        &self,
        request: &ReadRequest,
        taken: ServerKey,
        now: Duration,
    ) -> Option<ServerKey> {
        let mut candidates = self.candidates(&request.need, now);
        candidates.retain(|server| *server != taken);
        self.pick(&candidates, request.random_bits)
    }

    /// Returns the role of `server` at `now`.
    fn part(&self, server: ServerKey, now: Duration) -> TargetRole {
        match self.primary(now) {
            Some((primary, term)) if primary == server => TargetRole::Primary(term),
            _ => TargetRole::Replica,
        }
    }

    /// Returns the servers that satisfy `need`, without the leased primary.
    fn candidates(&self, need: &Need, now: Duration) -> Vec<ServerKey> {
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
            .is_none_or(|since| self.proven_at(server).is_some_and(|proven| proven >= since));
        reached && young
    }

    /// Returns whether data at `position` are part of the service's log.
    ///
    /// A replaced primary may have writes that no later term contains. Nothing is read from it until
    /// it follows the new primary.
    fn is_in_log(&self, position: Position) -> bool {
        !matches!(
            self.service.history.survival(position),
            Survival::Lost { .. }
        )
    }

    /// Returns the latest time at which the data of `server` are proven to have been current.
    ///
    /// A server's own proof only shows that it had all data of the primary that it follows. That
    /// primary was the only one while a write lease of its term was valid, so the proof counts until
    /// the end of that lease at most.
    fn proven_at(&self, server: &Server) -> Option<Duration> {
        let proof = server.proof()?;
        let lease = self.leases.get(&proof.term)?;
        Some(proof.at.min(*lease))
    }

    /// Picks one of the candidates.
    ///
    /// It is the cheaper of two random ones in full health (power of two choices), where a server in
    /// another zone costs its distance in addition. A replica on trial gets one read in
    /// [`TRIAL_READ_INTERVAL`], and one that was set aside is used only if there is no other.
    fn pick(&self, candidates: &[ServerKey], random_bits: u64) -> Option<ServerKey> {
        let trial = self.in_health_state(candidates, HealthState::Trial);
        if let Some(server) = trial.first()
            && random_bits.is_multiple_of(TRIAL_READ_INTERVAL)
        {
            return Some(*server);
        }
        let full = self.in_health_state(candidates, HealthState::Full);
        let pool = [full.as_slice(), &trial, candidates]
            .into_iter()
            .find(|pool| !pool.is_empty())?;
        let near: Vec<ServerKey> = pool
            .iter()
            .copied()
            .filter(|key| self.servers[key].settings.zone == self.zone)
            .collect();
        let near = self.cheaper_of_two(&near, random_bits / TRIAL_READ_INTERVAL);
        let any = self.cheaper_of_two(pool, random_bits >> 32);
        match (near, any) {
            (Some(near), Some(any)) if self.cost(near) <= self.cost(any) => Some(near),
            (near, any) => any.or(near),
        }
    }

    fn in_health_state(&self, candidates: &[ServerKey], health: HealthState) -> Vec<ServerKey> {
        candidates
            .iter()
            .copied()
            .filter(|key| self.servers[key].health == health)
            .collect()
    }

    fn cheaper_of_two(&self, pool: &[ServerKey], random_bits: u64) -> Option<ServerKey> {
        let count = pool.len() as u64;
        if count == 0 {
            return None;
        }
        let first = random_bits % count;
        let step = 1 + (random_bits / count) % count.saturating_sub(1).max(1);
        let second = (first + step) % count;
        [first, second]
            .map(|index| pool[index as usize])
            .into_iter()
            .min_by_key(|key| self.cost(*key))
    }

    fn cost(&self, key: ServerKey) -> Duration {
        let server = &self.servers[&key];
        let distance = if server.settings.zone == self.zone {
            Duration::ZERO
        } else {
            server.settings.distance
        };
        distance + server.expected_latency()
    }

    /// Returns the shortest time after which a replica should satisfy `need`, if one should.
    fn catch_up_wait(&self, need: &Need, now: Duration) -> Option<Duration> {
        let wanted = need.position()?;
        // The leased primary already has the position, so there is no catch-up to wait for.
        let primary = self.primary(now).map(|(server, _)| server);
        self.servers
            .iter()
            .filter(|(key, _)| Some(**key) != primary)
            .map(|(_, server)| server)
            .filter(|server| server.leaving.is_none() && server.is_reachable(now))
            .filter(|server| self.primary_lag(server).is_some())
            .filter_map(|server| server.time_to_reach(wanted, now))
            .min()
    }

    fn primary_lag(&self, server: &Server) -> Option<u64> {
        let State::Open { primary, .. } = self.service.state else {
            return None;
        };
        let head = self.servers.get(&primary)?.position()?;
        Some(head.log.saturating_sub(server.position()?.log))
    }

    fn refusal_for(&self, need: &Need, no_primary: Refusal, now: Duration) -> Refusal {
        if !self.servers.values().any(|server| server.is_reachable(now)) {
            return Refusal::NoServer {
                retry_after: PROMOTION_RETRY_AFTER,
            };
        }
        if let Some(position) = need.position()
            && !self.is_position_reachable(position, now)
        {
            return Refusal::PositionNotReached {
                position,
                retry_after: STALE_RETRY_AFTER,
            };
        }
        if need.proven_since(now).is_none() {
            return no_primary;
        }
        let youngest = self
            .servers
            .values()
            .filter(|server| server.is_reachable(now))
            .filter_map(|server| self.proven_at(server))
            .max();
        Refusal::DataTooOld {
            age: youngest.map(|proven| now.saturating_sub(proven)),
            limit: need.max_age(),
            retry_after: STALE_RETRY_AFTER,
        }
    }

    fn is_position_reachable(&self, wanted: Position, now: Duration) -> bool {
        let need = Need::Position {
            position: wanted,
            max_age: None,
        };
        self.servers
            .values()
            .filter(|server| server.is_reachable(now))
            .any(|server| self.satisfies(server, &need, now))
    }

    /// Updates since when each server is leaving, counted from the time at which this host first
    /// learnt of it.
    fn mark_leaving(&mut self, now: Duration) {
        for (key, server) in &mut self.servers {
            let leaving = server.settings.leaving || self.service.leaving.contains(key);
            server.leaving = match (leaving, server.leaving) {
                (true, since) => since.or(Some(now)),
                (false, _) => None,
            };
        }
    }
}

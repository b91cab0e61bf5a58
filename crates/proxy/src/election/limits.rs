//! Requests for operations within the limits of teams, and their grants, between hosts.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::key::{HostKey, TeamKey};
use flamingopost_core::limit::{self, Grant, Request, passed_over_since};

use super::Election;
use crate::codec::Codec;
use crate::fleet::Grantor;
use crate::limits::{Exchange, own_host};
use crate::peer::{Payload, TeamGrant, TeamRequest, nanos};
use crate::platform::Platform;

/// Interval between checks for requests that are due by time alone.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of teams in one message, which has to fit into a datagram.
const MAX_TEAMS: usize = 16;

impl<C: Codec, P: Platform> Election<C, P> {
    /// Asks grantors for operations ahead of need, forever.
    pub async fn request_operations(self: Rc<Self>) {
        let mut interval = tokio::time::interval(CHECK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = interval.tick() => {}
                () = self.fleet.limits.request_due.notified() => {}
            }
            self.send_requests();
            self.exchange().run_due();
        }
    }

    /// Returns the exchange of operations with hosts that are no grantors.
    pub(super) fn exchange(&self) -> Exchange<'_, C> {
        Exchange::new(&self.site, &self.fleet, &self.socket)
    }

    fn send_requests(self: &Rc<Self>) {
        let now = self.site.now();
        let mut remote: Vec<(SocketAddr, Vec<TeamRequest>)> = Vec::new();
        for (team, request) in self.fleet.limits.due_requests(now) {
            let name = self.site.client_name(team);
            match self.grantor(&name, now) {
                Some(Grantor::Local) => {
                    let grant = self.grant(&name, own_host(), &request);
                    let grants: Vec<(TeamKey, Grant)> =
                        grant.into_iter().map(|grant| (team, grant)).collect();
                    self.fleet.limits.record_grants(None, &grants, now);
                }
                Some(Grantor::Remote(_, address)) => {
                    let request = TeamRequest::new(name, &request);
                    match remote.iter_mut().find(|(to, _)| *to == address) {
                        Some((_, requests)) => requests.push(request),
                        None => remote.push((address, vec![request])),
                    }
                }
                None => {}
            }
        }
        for (address, requests) in remote {
            for requests in requests.chunks(MAX_TEAMS) {
                let payload = Payload::OperationRequest {
                    incarnation: self.fleet.limits.incarnation,
                    sent: nanos(now),
                    requests: requests.to_vec(),
                };
                self.send_message(String::new(), payload, address);
            }
        }
    }

    /// Reports whether to tell the electors that this host holds no share of any team. Hosts of a
    /// small fleet do not.
    pub(super) fn reports_no_shares(&self, now: Duration) -> bool {
        let fleet = &self.fleet;
        !fleet.is_small() && fleet.has_limits() && fleet.limits.is_report_due(now)
    }

    /// Returns the host that grants operations of the team called `name`, as far as this host knows.
    fn grantor(&self, name: &str, now: Duration) -> Option<Grantor> {
        let grantors = self.fleet.grantors(name);
        grantors
            .iter()
            .copied()
            .find(|it| passed_over_since(self.age(it), now).is_none())
    }

    /// Returns the time since `grantor` was last heard.
    fn age(&self, grantor: &Grantor) -> Duration {
        let Grantor::Remote(host, _) = grantor else {
            return Duration::ZERO;
        };
        let age = self.fleet.with_quorum(|quorum, now| quorum.age(*host, now));
        age.unwrap_or(Duration::MAX)
    }

    /// Returns since when this host is the grantor of the team called `name`, if it is.
    fn grants_since(&self, name: &str, now: Duration) -> Option<Duration> {
        let (holds, since) = self.lease_state.get();
        if !holds || !self.has_quorum() {
            return None;
        }
        let grantors = self.fleet.grantors(name);
        let place = grantors.iter().position(|it| *it == Grantor::Local)?;
        let ages = grantors[..place].iter().map(|it| self.age(it));
        limit::grants_since(since, ages, now)
    }

    fn grant(&self, name: &str, host: HostKey, request: &Request) -> Option<Grant> {
        let now = self.site.now();
        let limit = self.fleet.limit(name)?;
        let since = self.grants_since(name, now)?;
        let team = self.site.team(name);
        let silent = self.fleet.silent_hosts(team, since, now);
        let limits = &self.fleet.limits;
        limits.grant((team, limit), (host, request), (since, silent), now)
    }

    /// Answers the requests of another host, which it sent at `sent` by its clock.
    pub(super) fn answer_requests<'a>(
        &self,
        host: HostKey,
        sent: u64,
        requests: impl Iterator<Item = (&'a str, Request)>,
        from: SocketAddr,
    ) {
        let answer = |(team, request): (&str, Request)| {
            let grant = self.grant(team, host, &request)?;
            Some(TeamGrant::new(team.to_owned(), &grant))
        };
        let grants: Vec<TeamGrant> = requests.filter_map(answer).collect();
        if !grants.is_empty() {
            let payload = Payload::OperationGrant { sent, grants };
            self.send_message(String::new(), payload, from);
        }
    }

    /// Applies the answers of the grantor `host` to the requests that were sent at `sent`.
    pub(super) fn apply_grants(&self, host: HostKey, sent: u64, grants: &[TeamGrant]) {
        let grants: Vec<(TeamKey, Grant)> = grants
            .iter()
            .map(|it| (self.site.team(&it.team), it.grant(sent)))
            .collect();
        let limits = &self.fleet.limits;
        limits.record_grants(Some(host), &grants, self.site.now());
        self.exchange().run_due();
    }
}

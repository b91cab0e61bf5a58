//! Limits of teams on this host: what its callers may use, and what it grants to other hosts.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flamingopost_core::key::{HostKey, TeamKey};
use flamingopost_core::limit::{Account, Admission, Grant, Grantor, Limit, Request};
use tokio::sync::Notify;

use crate::site::Site;

/// How early requests are sent together with one that is due, so that a datagram carries several.
const EARLY: Duration = Duration::from_millis(120);

/// Longest time that an operation waits for the grantor, in addition to the time after which this
/// host uses its share.
const WAIT_MARGIN: Duration = Duration::from_millis(1);

/// Accounts of this host's callers, and the grantors of the teams that this host grants for.
pub struct Limits {
    /// Identifies this process to grantors.
    pub incarnation: u64,
    accounts: RefCell<BTreeMap<TeamKey, TeamAccount>>,
    grantors: RefCell<BTreeMap<TeamKey, Grantor>>,
    /// Notified when an operation waits for a request to a grantor.
    pub request_due: Notify,
    /// Notified when a grantor has answered.
    granted: Notify,
}

struct TeamAccount {
    account: Account,
    /// The host that granted the share, unless it is this one.
    issuer: Option<HostKey>,
    /// Operations that wait for an answer of the grantor.
    waiting: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            incarnation: rand::random(),
            accounts: RefCell::default(),
            grantors: RefCell::default(),
            request_due: Notify::new(),
            granted: Notify::new(),
        }
    }
}

impl Limits {
    /// Waits until an operation of `team` is within the team's limit. `contact` returns when the
    /// newest message was sent that a host has answered.
    ///
    /// # Errors
    /// Returns the time after which the next operation will be, if this one is not.
    pub async fn admit(
        &self,
        site: &Site,
        team: TeamKey,
        contact: impl Fn(HostKey) -> Option<Duration>,
    ) -> Result<(), Duration> {
        self.with_account(site, team, |it, now| it.account.record_arrival(now));
        loop {
            let granted = self.granted.notified();
            let admission = self.with_account(site, team, |it, now| {
                let contact = it.issuer.map_or(Some(now), &contact);
                it.account.admit(contact, now)
            });
            match admission {
                Admission::Admitted => return Ok(()),
                Admission::Refused { retry_after } => return Err(retry_after),
                Admission::Wait { until } => {
                    let wait = until.saturating_sub(site.now()) + WAIT_MARGIN;
                    let _waiting = Waiting::new(self, site, team);
                    // Either way, the account is asked again.
                    let _ = tokio::time::timeout(wait, granted).await;
                }
            }
        }
    }

    fn with_account<T>(
        &self,
        site: &Site,
        team: TeamKey,
        change: impl FnOnce(&mut TeamAccount, Duration) -> T,
    ) -> T {
        let now = site.now();
        let mut accounts = self.accounts.borrow_mut();
        let account = accounts.entry(team).or_insert_with(|| TeamAccount {
            account: Account::new(self.incarnation, now),
            issuer: None,
            waiting: 0,
        });
        change(account, now)
    }

    /// Returns the share of this host in the limit of `team`, in operations per second, and the time
    /// since the grantor's last answer.
    pub fn share(&self, team: TeamKey, now: Duration) -> Option<(f64, Option<Duration>)> {
        let accounts = self.accounts.borrow();
        let account = &accounts.get(&team)?.account;
        Some((account.share().rate, account.answer_age(now)))
    }

    /// Returns the requests that are due now.
    pub fn due_requests(&self, now: Duration) -> Vec<(TeamKey, Request)> {
        let mut accounts = self.accounts.borrow_mut();
        let is_due = |it: &TeamAccount, early| it.account.is_request_due(it.waiting, early, now);
        if !accounts.values().any(|it| is_due(it, Duration::ZERO)) {
            return Vec::new();
        }
        let due = accounts.iter_mut().filter(|(_, it)| is_due(it, EARLY));
        due.map(|(team, it)| (*team, it.account.request(it.waiting, now)))
            .collect()
    }

    /// Applies the answers of the grantor `issuer`, which is this host if there is none.
    pub fn record_grants(
        &self,
        issuer: Option<HostKey>,
        grants: &[(TeamKey, Grant)],
        now: Duration,
    ) {
        let mut accounts = self.accounts.borrow_mut();
        for (team, grant) in grants {
            if let Some(it) = accounts.get_mut(team) {
                it.issuer = issuer;
                it.account.record_grant(grant, now);
            }
        }
        self.granted.notify_waiters();
    }

    /// Answers the request of `host` for operations of `team`, which has `limit`, as the grantor
    /// since `since`. `silent` is the fraction of all hosts that this host hears nothing of.
    pub fn grant(
        &self,
        (team, limit): (TeamKey, Limit),
        (host, request): (HostKey, &Request),
        (since, silent): (Duration, f64),
        now: Duration,
    ) -> Option<Grant> {
        let mut grantors = self.grantors.borrow_mut();
        let grantor = grantors
            .entry(team)
            .or_insert_with(|| Grantor::new(limit, term(), since));
        if grantor.since() < since {
            *grantor = Grantor::new(limit, term(), since);
        }
        grantor.set_limit(limit);
        grantor.grant(host, request, silent, now)
    }

    /// Records a message of `host` that is no request. `silent` returns the fraction of all hosts
    /// that this host hears nothing of.
    pub fn record_contact(&self, host: HostKey, silent: impl Fn() -> f64, now: Duration) {
        for grantor in self.grantors.borrow_mut().values_mut() {
            // This host is in contact with itself.
            for host in [host, own_host()] {
                grantor.record_contact(host, &silent, now);
            }
        }
    }

    /// Forgets the teams that are not in `teams`.
    pub fn retain(&self, teams: &BTreeSet<TeamKey>) {
        let mut accounts = self.accounts.borrow_mut();
        accounts.retain(|team, it| it.waiting > 0 || teams.contains(team));
        let mut grantors = self.grantors.borrow_mut();
        grantors.retain(|team, _| teams.contains(team));
    }
}

/// Returns the key of this host among those that ask it. Listed hosts have other keys.
pub fn own_host() -> HostKey {
    HostKey::default()
}

/// Returns a new term of a grantor.
fn term() -> u32 {
    rand::random::<u32>().max(1)
}

/// Counts an operation that waits for an answer.
struct Waiting<'a> {
    limits: &'a Limits,
    site: &'a Site,
    team: TeamKey,
}

impl<'a> Waiting<'a> {
    fn new(limits: &'a Limits, site: &'a Site, team: TeamKey) -> Waiting<'a> {
        limits.with_account(site, team, |it, _| it.waiting += 1);
        limits.request_due.notify_one();
        Waiting { limits, site, team }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let (limits, site) = (self.limits, self.site);
        limits.with_account(site, self.team, |it, _| {
            it.waiting = it.waiting.saturating_sub(1);
        });
    }
}

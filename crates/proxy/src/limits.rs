//! Limits of teams on this host: what its callers may use, and what it grants and lends to other
//! hosts.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use flamingopost_core::key::{HostKey, TeamKey};
use flamingopost_core::limit::{
    Account, Admission, Borrower, Grant, Grantor, Lender, Lenders, Limit, Request, Source,
};
use tokio::sync::Notify;

use crate::site::Site;

mod exchange;
mod loans;

pub use exchange::Exchange;

/// How early requests are sent together with one that is due, so that a datagram carries several.
const EARLY: Duration = Duration::from_millis(120);

/// Longest time that an operation waits for the grantor, in addition to the time after which this
/// host uses its share.
const WAIT_MARGIN: Duration = Duration::from_millis(1);

/// Interval between reports that this host holds no share.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Accounts of this host's callers, and the grantors of the teams that this host grants for.
pub struct Limits {
    /// Identifies this process to grantors.
    pub incarnation: u64,
    accounts: RefCell<BTreeMap<TeamKey, TeamAccount>>,
    grantors: RefCell<BTreeMap<TeamKey, Grantor>>,
    /// The limits in force.
    in_force: RefCell<BTreeMap<TeamKey, Limit>>,
    /// The hosts that lend to this one.
    lenders: RefCell<Lenders>,
    /// Silent lenders that are to be asked whether they answer.
    probes: RefCell<Vec<HostKey>>,
    /// Whether this process has asked a grantor, so that it may hold a share.
    has_asked: Cell<bool>,
    /// When this host last reported that it holds no share.
    reported_at: Cell<Option<Duration>>,
    /// Notified when an operation waits for a request to a grantor or lender.
    pub request_due: Notify,
    /// Notified when a grantor or lender has answered.
    granted: Notify,
}

struct TeamAccount {
    account: Account,
    /// The host that granted the share, unless it is this one.
    issuer: Option<HostKey>,
    /// Operations that wait for an answer of the grantor.
    waiting: u32,
    /// What other hosts borrow from the account.
    lender: Lender,
    /// What this host borrows from others.
    borrower: Borrower,
    /// Operations that wait for an answer of a lender.
    borrowing: u32,
}

impl TeamAccount {
    fn new(incarnation: u64, now: Duration) -> TeamAccount {
        TeamAccount {
            account: Account::new(incarnation, now),
            issuer: None,
            waiting: 0,
            lender: Lender::default(),
            borrower: Borrower::new(incarnation, now),
            borrowing: 0,
        }
    }

    /// Removes what the account holds, has borrowed and lends. Reports whether it is to be kept for
    /// the counts that other hosts know.
    fn clear(&mut self, now: Duration) -> bool {
        self.account.clear(now);
        self.borrower.clear(now);
        self.issuer = None;
        self.lender = Lender::default();
        self.account.has_counts() || self.borrower.has_counts()
    }

    /// Returns when the newest message was sent that the grantor of the share has answered.
    fn contact(
        &self,
        contact: impl Fn(HostKey) -> Option<Duration>,
        now: Duration,
    ) -> Option<Duration> {
        self.issuer.map_or(Some(now), contact)
    }

    /// Returns the operations that wait for an answer of the grantor, here and at borrowers.
    fn waiting(&self) -> u32 {
        self.waiting.saturating_add(self.lender.waiting())
    }

    /// Returns the number of operations that wait for an answer of `source`.
    fn waiting_for(&mut self, source: Source) -> &mut u32 {
        match source {
            Source::Own => &mut self.waiting,
            Source::Lender(_) => &mut self.borrowing,
        }
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            incarnation: rand::random(),
            accounts: RefCell::default(),
            grantors: RefCell::default(),
            in_force: RefCell::default(),
            lenders: RefCell::default(),
            probes: RefCell::default(),
            has_asked: Cell::new(false),
            reported_at: Cell::new(None),
            request_due: Notify::new(),
            granted: Notify::new(),
        }
    }
}

impl Limits {
    /// Waits until an operation of `team` is within the team's limit. `sources` returns where this
    /// host obtains operations of the team, in order, and `contact` when the newest message was sent
    /// that a host has answered.
    ///
    /// # Errors
    /// Returns the time after which the next operation will be, if this one is not.
    pub async fn admit(
        &self,
        site: &Site,
        team: TeamKey,
        sources: impl Fn() -> Vec<Source>,
        contact: impl Fn(HostKey) -> Option<Duration>,
    ) -> Result<(), Duration> {
        let since = site.now();
        let source = self.choose((team, &sources()), since, &contact, since);
        self.with_account(team, since, |it| match source {
            Source::Own => it.account.record_arrival(since),
            Source::Lender(_) => it.borrower.record_arrival(since),
        });
        loop {
            let granted = self.granted.notified();
            let now = site.now();
            let source = self.choose((team, &sources()), since, &contact, now);
            let admission = self.with_account(team, now, |it| match source {
                Source::Own => it.account.admit(it.contact(&contact, now), now),
                Source::Lender(lender) => it.borrower.admit(lender, now),
            });
            match admission {
                Admission::Admitted => return Ok(()),
                Admission::Refused { retry_after } => return Err(retry_after),
                Admission::Wait { until } => {
                    let wait = until.saturating_sub(site.now()) + WAIT_MARGIN;
                    let _waiting = Waiting::new(self, site, (team, source));
                    // Either way, the account is asked again.
                    let _ = tokio::time::timeout(wait, granted).await;
                }
            }
        }
    }

    fn with_account<T>(
        &self,
        team: TeamKey,
        now: Duration,
        change: impl FnOnce(&mut TeamAccount) -> T,
    ) -> T {
        let mut accounts = self.accounts.borrow_mut();
        let account = accounts.entry(team).or_insert_with(|| {
            let mut created = TeamAccount::new(self.incarnation, now);
            if let Some(limit) = self.in_force.borrow().get(&team) {
                created.account.set_limit(*limit, now);
            }
            created
        });
        change(account)
    }

    /// Returns the share of this host in the limit of `team`, in operations per second, and the time
    /// since the grantor's last answer.
    pub fn share(&self, team: TeamKey, now: Duration) -> Option<(f64, Option<Duration>)> {
        let accounts = self.accounts.borrow();
        let account = &accounts.get(&team)?.account;
        Some((account.share().rate, account.answer_age(now)))
    }

    /// Returns the requests to grantors that are due now.
    pub fn due_requests(&self, now: Duration) -> Vec<(TeamKey, Request)> {
        let mut accounts = self.accounts.borrow_mut();
        let is_due = |it: &TeamAccount, early| it.account.is_request_due(it.waiting(), early, now);
        if !accounts.values().any(|it| is_due(it, Duration::ZERO)) {
            return Vec::new();
        }
        self.has_asked.set(true);
        let due = accounts.iter_mut().filter(|(_, it)| is_due(it, EARLY));
        due.map(|(team, it)| {
            let waiting = it.waiting();
            (*team, it.account.request(waiting, now))
        })
        .collect()
    }

    /// Reports whether to tell the electors now that this host holds no share, since it has not
    /// asked for any.
    pub fn is_report_due(&self, now: Duration) -> bool {
        let reported_at = self.reported_at.get();
        let is_due = !self.has_asked.get()
            && reported_at.is_none_or(|reported_at| now >= reported_at + REPORT_INTERVAL);
        if is_due {
            self.reported_at.set(Some(now));
        }
        is_due
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
    /// since `since`. `silent` is the fraction of all hosts that may hold shares of earlier grantors
    /// and that this host hears nothing of.
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
    /// that may hold shares of a team from before the given time, and that this host hears nothing
    /// of.
    pub fn record_contact(
        &self,
        host: HostKey,
        silent: impl Fn(TeamKey, Duration) -> f64,
        now: Duration,
    ) {
        for (team, grantor) in self.grantors.borrow_mut().iter_mut() {
            let since = grantor.since();
            // This host is in contact with itself.
            for host in [host, own_host()] {
                grantor.record_contact(host, || silent(*team, since), now);
            }
        }
    }

    /// Applies the limits of `teams` and forgets all other teams.
    pub fn set_limits(&self, teams: &BTreeMap<TeamKey, Limit>, now: Duration) {
        self.in_force.replace(teams.clone());
        let mut accounts = self.accounts.borrow_mut();
        accounts.retain(|team, it| {
            let is_kept = it.waiting > 0 || it.borrowing > 0 || teams.contains_key(team);
            is_kept || it.clear(now)
        });
        for (team, it) in accounts.iter_mut() {
            if let Some(limit) = teams.get(team) {
                it.account.set_limit(*limit, now);
            }
        }
        let mut grantors = self.grantors.borrow_mut();
        grantors.retain(|team, _| teams.contains_key(team));
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
    source: Source,
}

impl<'a> Waiting<'a> {
    fn new(limits: &'a Limits, site: &'a Site, (team, source): (TeamKey, Source)) -> Waiting<'a> {
        limits.with_account(team, site.now(), |it| *it.waiting_for(source) += 1);
        limits.request_due.notify_one();
        Waiting {
            limits,
            site,
            team,
            source,
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let (limits, site) = (self.limits, self.site);
        limits.with_account(self.team, site.now(), |it| {
            let waiting = it.waiting_for(self.source);
            *waiting = waiting.saturating_sub(1);
        });
    }
}
